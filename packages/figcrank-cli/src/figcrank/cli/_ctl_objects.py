"""Files of configuration objects, and how they differ from what is in force."""

from dataclasses import dataclass
from pathlib import Path

import json5
import msgspec

from figcrank.protocol import ConfigList, FigcrankError
from figcrank.state import ConfigObject, ObjectId, Profile, Route, Service, Workspace

FileValue = Profile | Workspace | Service | Route


class ObjectsFileError(FigcrankError):
    """A file of configuration objects that can't be used.

    :param path: path of the file.
    :param reason: what is wrong with it, and where.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")


@dataclass(frozen=True, slots=True)
class Change:
    """An edit that makes the configuration in force match a file.

    :param object_id: object to change.
    :param expected_version: version in force, 0 if there is none.
    :param before: value in force, ``None`` if there is none.
    :param after: value in the file.
    """

    object_id: ObjectId
    expected_version: int
    before: FileValue | None
    after: FileValue


def read_objects(path: str) -> tuple[FileValue, ...]:
    """Read a JSON list, with comments, of profiles, workspaces, services and routes.

    :raises ObjectsFileError: if the file can't be read or a value is wrong.
    """
    try:
        values = json5.loads(Path(path).read_text(encoding="utf-8"), allow_duplicate_keys=False)
    except OSError as error:
        raise ObjectsFileError(path, f"{error.strerror}.") from error
    except ValueError as error:
        raise ObjectsFileError(path, f"not JSON with comments: {error}.") from error
    try:
        objects = msgspec.convert(values, tuple[FileValue, ...], strict=True)
    except msgspec.ValidationError as error:
        raise ObjectsFileError(path, f"{error}.") from error
    _check_unique(path, objects)
    return objects


def changes(wanted: tuple[FileValue, ...], in_force: ConfigList) -> tuple[Change, ...]:
    """Return what must change; objects that the file doesn't name stay as they are."""
    known = {found.object_id: found for found in in_force.objects}
    found = [_change(value, known) for value in wanted]
    return tuple(change for change in found if change.before != change.after)


def object_id(value: FileValue) -> ObjectId:
    """Return the identity of a value."""
    return ObjectId(type(value).__struct_config__.tag, value.name)


def _change(value: FileValue, known: dict[ObjectId, ConfigObject]) -> Change:
    identity = object_id(value)
    current = known.get(identity)
    if current is None:
        return Change(identity, 0, None, value)
    return Change(identity, current.version, current.value, value)


def _check_unique(path: str, objects: tuple[FileValue, ...]) -> None:
    seen: set[ObjectId] = set()
    for value in objects:
        identity = object_id(value)
        if identity in seen:
            raise ObjectsFileError(path, f"{identity.kind} {identity.name} is given twice.")
        seen.add(identity)
