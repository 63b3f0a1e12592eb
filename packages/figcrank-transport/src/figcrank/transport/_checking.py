"""Validates plain JSON values against frozen data classes and reports all problems together."""

import dataclasses
import types
import typing
from typing import Any

import msgspec

from figcrank.protocol import SettingProblem

HIDDEN = "(hidden)"
MAX_VALUE_CHARS = 60
_SECRET_NAMES = ("secret", "key", "password")


def find_problems(value: Any, expected_type: Any, path: str = "") -> list[SettingProblem]:
    """Return every problem of ``value``, compared with ``expected_type``.

    Nested data classes and homogeneous tuples are checked recursively. Problems are missing keys
    without a default, unknown keys and values of the wrong type.

    :param path: dotted path of ``value`` in the settings, empty at the top level.
    """
    if dataclasses.is_dataclass(expected_type):
        return _object_problems(value, expected_type, path)
    if typing.get_origin(expected_type) is tuple:
        return _list_problems(value, typing.get_args(expected_type)[0], path)
    return _scalar_problems(value, expected_type, path)


def make_problem(path: str, value: Any, expected: str) -> SettingProblem:
    """Return a problem with its value truncated, or hidden if it may be a secret."""
    text = HIDDEN if _is_secret(path) else repr(value)
    if len(text) > MAX_VALUE_CHARS:
        text = f"{text[:MAX_VALUE_CHARS]}…"
    return SettingProblem(path or "(top level)", text, expected)


def _object_problems(value: Any, expected_type: type, path: str) -> list[SettingProblem]:
    if not isinstance(value, dict):
        return [make_problem(path, value, "an object")]
    problems = []
    field_types = typing.get_type_hints(expected_type)
    fields = {field.name: field for field in dataclasses.fields(expected_type)}
    for name in value.keys() - fields.keys():
        allowed = ", ".join(sorted(fields))
        problems.append(
            make_problem(_join_path(path, name), value[name], f"one of the keys {allowed}")
        )
    for name, field in fields.items():
        if name in value:
            problems += find_problems(value[name], field_types[name], _join_path(path, name))
        elif not _has_default(field):
            problems.append(
                SettingProblem(_join_path(path, name), "(absent)", _type_name(field_types[name]))
            )
    return problems


def _list_problems(value: Any, item_type: Any, path: str) -> list[SettingProblem]:
    if not isinstance(value, list):
        return [make_problem(path, value, "a list")]
    problems = []
    for index, item in enumerate(value):
        problems += find_problems(item, item_type, f"{path}[{index}]")
    return problems


def _scalar_problems(value: Any, expected_type: Any, path: str) -> list[SettingProblem]:
    try:
        msgspec.convert(value, expected_type, strict=True)
    except msgspec.ValidationError:
        return [make_problem(path, value, _type_name(expected_type))]
    return []


def _has_default(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _type_name(expected_type: Any) -> str:
    names = {int: "an integer", str: "a string", bool: "true or false", float: "a number"}
    if expected_type in names:
        return names[expected_type]
    if isinstance(expected_type, types.GenericAlias):
        return "a list"
    return "an object" if dataclasses.is_dataclass(expected_type) else str(expected_type)


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else str(name)


def _is_secret(path: str) -> bool:
    last = path.rsplit(".", 1)[-1].lower()
    return any(name in last for name in _SECRET_NAMES)
