"""The ``config`` commands: show, check, compare and apply configurations."""

import argparse
from pathlib import Path
from typing import Any

import json5
import msgspec

from figcrank.cli._ctl_client import OperatorClient
from figcrank.cli._ctl_edits import Editor, live_objects
from figcrank.cli._ctl_errors import CtlError, FileError
from figcrank.cli._ctl_output import Output
from figcrank.cli._ctl_tables import new_table, summary
from figcrank.cli._ctl_wait import InForce, wait_in_force
from figcrank.protocol import ConfigList, ListConfig
from figcrank.protocol.objects import CONFIG_KINDS
from figcrank.state import (
    ConfigObject,
    ConfigValue,
    Key,
    ObjectId,
    Profile,
    Route,
    Service,
    Workspace,
)
from figcrank.transport import Settings

MAX_FILE_BYTES = 16 * 1_048_576
_VALUE_TYPES: dict[str, type] = {
    "key": Key,
    "profile": Profile,
    "route": Route,
    "service": Service,
    "workspace": Workspace,
}
_ENTRY_KEYS = frozenset({"kind", "name", "value", "version"})


class DesiredObject(msgspec.Struct, frozen=True, omit_defaults=True):
    """Configuration object as specified in a file.

    :param value: the object; ``None`` to delete it.
    :param version: version that the edit is based on; ``None`` for the current version.
    """

    kind: str
    name: str
    value: ConfigValue | None
    version: int | None = None

    @property
    def object_id(self) -> ObjectId:
        """Return kind and name as an identifier."""
        return ObjectId(self.kind, self.name)


class Difference(msgspec.Struct, frozen=True):
    """Difference between one object of a file and the configuration in force.

    :param change: ``add``, ``change``, ``delete`` or ``same``.
    """

    kind: str
    name: str
    change: str
    version: int
    in_force: ConfigValue | None
    in_file: ConfigValue | None


class ApplyReport(msgspec.Struct, frozen=True):
    """Result of applying a file.

    :param stored: objects that were stored, in file order.
    :param unchanged: kind and name of objects that were already stored with the same value.
    :param in_force: result of ``--wait``, ``None`` without it.
    """

    stored: tuple[ConfigObject, ...]
    unchanged: tuple[str, ...]
    in_force: InForce | None = None


class CheckReport(msgspec.Struct, frozen=True):
    """Summary of a valid settings file."""

    file: str
    fleet: str
    host: str
    groups: tuple[str, ...]


class ApplyError(CtlError):
    """Storing an object of a file failed; the objects before it have been stored.

    :param stored: number of objects stored before the failure.
    :param failed: kind and name of the object that could not be stored.
    :param cause: the error.
    """

    def __init__(self, stored: int, failed: str, cause: CtlError) -> None:
        super().__init__(
            f"{failed}: {cause} Stored before it: {stored} of the file's objects; "
            "the remaining objects were not attempted."
        )
        self.exit_code = cause.exit_code


def check_settings(options: argparse.Namespace, output: Output) -> None:
    """Validate a host's settings file."""
    settings = Settings.from_file(options.file)
    groups = tuple(group.name for group in settings.groups)
    report = CheckReport(options.file, settings.fleet, settings.host.name, groups)
    line = f"{options.file}: valid settings for host {report.host} in fleet {report.fleet}"
    output.show(report, f"{line}, {len(groups)} groups")


def get_config(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show the configuration in force; ``config apply`` accepts the ``--json`` output."""
    objects = [
        entry
        for entry in live_objects(client, options.kind or "")
        if options.name in (None, entry.object_id.name)
    ]
    desired = [
        DesiredObject(entry.object_id.kind, entry.object_id.name, entry.value, entry.version)
        for entry in objects
    ]
    table = new_table("Configuration", "kind", "name", "version", "value", numbers=("version",))
    for entry in desired:
        table.add_row(entry.kind, entry.name, str(entry.version), summary(entry.value))
    output.show(desired, table)


def diff_config(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Compare the objects of a file with the configuration in force."""
    desired = read_objects(options.file)
    current_objects = _current_objects(client)
    differences = [_difference(entry, current_objects) for entry in desired]
    table = new_table("Differences", "change", "kind", "name", "in force", "in file")
    for entry in differences:
        in_force = "(absent)" if entry.in_force is None else summary(entry.in_force)
        table.add_row(entry.change, entry.kind, entry.name, in_force, summary(entry.in_file))
    output.show(differences, table)


def apply_config(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Store the objects of a file that differ from the current ones, in file order."""
    desired = read_objects(options.file)
    current_objects = _current_objects(client)
    editor = Editor(client, output, options.operator_name)
    stored: list[ConfigObject] = []
    unchanged: list[str] = []
    for entry in desired:
        if _difference(entry, current_objects).change == "same":
            unchanged.append(f"{entry.kind} {entry.name}")
            continue
        stored.append(_apply(entry, current_objects, editor, len(stored)))
    in_force = _wait_if_requested(stored, current_objects, options.wait, client, output)
    report = ApplyReport(tuple(stored), tuple(unchanged), in_force)
    output.show(report, *_apply_lines(report))


def read_objects(path: str) -> tuple[DesiredObject, ...]:
    """Read and validate the configuration objects of a file.

    :raises FileError: for the first invalid entry, or if the file cannot be read.
    """
    entries = _load_json(path)
    if not isinstance(entries, list):
        raise FileError(path, "", 'a list of objects {"kind", "name", "value"}')
    desired = tuple(_parse_entry(path, number, entry) for number, entry in enumerate(entries))
    seen: set[ObjectId] = set()
    for number, entry in enumerate(desired):
        if entry.object_id in seen:
            raise FileError(path, f"[{number}]", f"{entry.kind} {entry.name} only once")
        seen.add(entry.object_id)
    return desired


def _load_json(path: str) -> Any:
    try:
        if Path(path).stat().st_size > MAX_FILE_BYTES:
            raise FileError(path, "", f"at most {MAX_FILE_BYTES} bytes")
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise FileError(path, "", f"a readable UTF-8 file ({type(error).__name__})") from error
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        reason = str(error).splitlines()[0] if str(error) else type(error).__name__
        raise FileError(path, "", f"JSON with comments ({reason})") from error


def _parse_entry(path: str, number: int, entry: Any) -> DesiredObject:
    place = f"[{number}]"
    if not isinstance(entry, dict) or not {"kind", "name", "value"} <= entry.keys():
        raise FileError(path, place, "an object with the keys kind, name and value")
    unknown = sorted(entry.keys() - _ENTRY_KEYS)
    if unknown:
        known = ", ".join(sorted(_ENTRY_KEYS))
        raise FileError(path, f"{place}.{unknown[0]}", f"one of the keys {known}")
    kind = entry["kind"]
    if kind not in CONFIG_KINDS:
        raise FileError(path, f"{place}.kind", f"one of {', '.join(CONFIG_KINDS)}")
    if not isinstance(entry["name"], str) or not entry["name"]:
        raise FileError(path, f"{place}.name", "a non-empty string")
    version = entry.get("version")
    if version is not None and (type(version) is not int or version < 0):
        raise FileError(path, f"{place}.version", "an integer of at least 0")
    value = _parse_value(path, place, kind, entry["value"])
    return DesiredObject(kind, entry["name"], value, version)


def _parse_value(path: str, place: str, kind: str, value: Any) -> ConfigValue | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise FileError(path, f"{place}.value", f"a {kind} or null")
    value_type = _VALUE_TYPES[kind]
    names = {field.name for field in msgspec.structs.fields(value_type)} | {"type"}
    unknown = sorted(str(name) for name in value.keys() - names)
    if unknown:
        raise FileError(path, f"{place}.value.{unknown[0]}", f"one of {', '.join(sorted(names))}")
    try:
        return msgspec.convert({"type": kind, **value}, value_type, strict=True)
    except msgspec.ValidationError as error:
        raise FileError(path, f"{place}.value", f"a {kind} ({error})") from error


def _current_objects(client: OperatorClient) -> dict[ObjectId, ConfigObject]:
    listed = client.query(ListConfig(), ConfigList)
    return {entry.object_id: entry for entry in listed.objects}


def _difference(entry: DesiredObject, current_objects: dict[ObjectId, ConfigObject]) -> Difference:
    current = current_objects.get(entry.object_id, ConfigObject(entry.object_id, 0, None))
    if current.value == entry.value:
        change = "same"
    elif current.value is None:
        change = "add"
    else:
        change = "delete" if entry.value is None else "change"
    return Difference(entry.kind, entry.name, change, current.version, current.value, entry.value)


def _apply(
    entry: DesiredObject,
    current_objects: dict[ObjectId, ConfigObject],
    editor: Editor,
    stored_before: int,
) -> ConfigObject:
    current = current_objects.get(entry.object_id)
    version = entry.version
    if version is None:
        version = current.version if current else 0
    try:
        return editor.store(entry.object_id, entry.value, version)
    except CtlError as error:
        raise ApplyError(stored_before, f"{entry.kind} {entry.name}", error) from error


def _wait_if_requested(
    stored: list[ConfigObject],
    current_objects: dict[ObjectId, ConfigObject],
    timeout_s: float | None,
    client: OperatorClient,
    output: Output,
) -> InForce | None:
    if timeout_s is None:
        return None
    versions = [entry.version for entry in (*stored, *current_objects.values())]
    return wait_in_force(client, max(versions, default=0), timeout_s, output)


def _apply_lines(report: ApplyReport) -> tuple[str, ...]:
    lines = [
        f"{entry.object_id.kind} {entry.object_id.name}: stored as version {entry.version}"
        for entry in report.stored
    ]
    lines.append(f"{len(report.stored)} stored, {len(report.unchanged)} unchanged")
    if report.in_force is not None:
        hosts = len(report.in_force.hosts)
        lines.append(f"In force at {hosts} of {hosts} live hosts.")
    return tuple(lines)
