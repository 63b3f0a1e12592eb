"""Checks plain JSON values against frozen data classes and finds every fault at once."""

import dataclasses
import types
import typing
from typing import Any

import msgspec

from figcrank.protocol import SettingProblem

HIDDEN = "(hidden)"
MAX_VALUE_CHARS = 60
_SECRET_NAMES = ("secret", "key", "password")


def find_problems(value: Any, kind: Any, path: str = "") -> list[SettingProblem]:
    """Return every fault of ``value``, compared with the type ``kind``.

    Nested data classes and tuples of one type are checked member by member; a missing key without
    default, an unknown key and a value of another type are faults.
    """
    if dataclasses.is_dataclass(kind):
        return _object_problems(value, kind, path)
    if typing.get_origin(kind) is tuple:
        return _list_problems(value, typing.get_args(kind)[0], path)
    return _leaf_problems(value, kind, path)


def problem(path: str, value: Any, expected: str) -> SettingProblem:
    """Return a fault whose value is shortened, and hidden if it may be a secret."""
    text = HIDDEN if _is_secret(path) else repr(value)
    if len(text) > MAX_VALUE_CHARS:
        text = f"{text[:MAX_VALUE_CHARS]}…"
    return SettingProblem(path or "(top level)", text, expected)


def _object_problems(value: Any, kind: type, path: str) -> list[SettingProblem]:
    if not isinstance(value, dict):
        return [problem(path, value, "an object")]
    found = []
    types_of = typing.get_type_hints(kind)
    fields = {field.name: field for field in dataclasses.fields(kind)}
    for name in value.keys() - fields.keys():
        known = ", ".join(sorted(fields))
        found.append(problem(_joined(path, name), value[name], f"one of the keys {known}"))
    for name, field in fields.items():
        if name in value:
            found += find_problems(value[name], types_of[name], _joined(path, name))
        elif not _has_default(field):
            found.append(SettingProblem(_joined(path, name), "(absent)", _name_of(types_of[name])))
    return found


def _list_problems(value: Any, item_kind: Any, path: str) -> list[SettingProblem]:
    if not isinstance(value, list):
        return [problem(path, value, "a list")]
    found = []
    for index, item in enumerate(value):
        found += find_problems(item, item_kind, f"{path}[{index}]")
    return found


def _leaf_problems(value: Any, kind: Any, path: str) -> list[SettingProblem]:
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError:
        return [problem(path, value, _name_of(kind))]
    return []


def _has_default(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _name_of(kind: Any) -> str:
    names = {int: "a whole number", str: "a text", bool: "true or false", float: "a number"}
    if kind in names:
        return names[kind]
    if isinstance(kind, types.GenericAlias):
        return "a list"
    return "an object" if dataclasses.is_dataclass(kind) else str(kind)


def _joined(path: str, name: str) -> str:
    return f"{path}.{name}" if path else str(name)


def _is_secret(path: str) -> bool:
    last = path.rsplit(".", 1)[-1].lower()
    return any(name in last for name in _SECRET_NAMES)
