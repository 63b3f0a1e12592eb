"""Edits of single configuration objects, with optimistic locking by version."""

import argparse
import secrets
from collections.abc import Callable

import msgspec

from figcrank.cli._ctl_client import OperatorClient
from figcrank.cli._ctl_errors import ConflictError, CtlError, NoReplyError, UsageError
from figcrank.cli._ctl_output import Output
from figcrank.cli._ctl_tables import new_table, objects_table, summary
from figcrank.cli._ctl_wait import InForce, wait_in_force
from figcrank.protocol import ConfigList, EditConflict, EditDone, EditObject, ListConfig
from figcrank.state import (
    ConfigObject,
    ConfigValue,
    Key,
    ObjectId,
    PresentedKey,
    Profile,
    ProfileMode,
    Service,
    Workspace,
)

KEY_ID_BYTES = 6
SALT_BYTES = 16
SECRET_BYTES = 32

Change = Callable[[ConfigValue | None], ConfigValue]


class ObjectNotFoundError(CtlError):
    """The configuration has no object of this kind and name.

    :param object_id: the object.
    """

    def __init__(self, object_id: ObjectId) -> None:
        super().__init__(
            f"No such {object_id.kind}: {object_id.name!r}; "
            f"see 'figcrankctl {object_id.kind} list'. Nothing was changed."
        )


class EditReport(msgspec.Struct, frozen=True):
    """Result of a stored edit.

    :param stored: the object after the edit.
    :param in_force: result of ``--wait``, ``None`` without it.
    """

    stored: ConfigObject
    in_force: InForce | None = None


class ConflictReport(msgspec.Struct, frozen=True):
    """Both sides of an edit conflict.

    :param expected_version: version that the rejected edit was based on.
    :param yours: value of the rejected edit.
    :param current: the current object, ``None`` if there is none.
    """

    expected_version: int
    yours: ConfigValue | None
    current: ConfigObject | None


class NewKeyReport(msgspec.Struct, frozen=True):
    """A new key, including the full key text, which is not shown again.

    :param key: full key text, which callers send to authenticate.
    """

    key_id: str
    workspace: str
    key: str
    version: int


class KeyRow(msgspec.Struct, frozen=True):
    """A key as listed, without salt and digest."""

    key_id: str
    workspace: str
    withdrawn: bool
    version: int


class Editor:
    """Sends edits on behalf of an operator.

    :param client: client of the operator API.
    :param output: output for conflicts.
    :param operator: operator name recorded in the audit entry.
    """

    def __init__(self, client: OperatorClient, output: Output, operator: str) -> None:
        self._client = client
        self._output = output
        self._operator = operator

    def find(self, object_id: ObjectId) -> ConfigObject:
        """Return the current object, or one of version 0 without a value if there is none."""
        listed = self._client.query(ListConfig(object_id.kind), ConfigList)
        for entry in listed.objects:
            if entry.object_id == object_id:
                return entry
        return ConfigObject(object_id, 0, None)

    def store(
        self, object_id: ObjectId, value: ConfigValue | None, expected_version: int
    ) -> ConfigObject:
        """Store a value and return the stored object.

        :param value: the new value, ``None`` to delete the object.
        :param expected_version: version that the edit is based on.
        :raises ConflictError: if the current version is another one; the values of both sides
            are shown first.
        """
        request = EditObject(
            object_id.kind, object_id.name, expected_version, value, self._operator
        )
        reply = self._client.execute(request, EditDone | EditConflict)
        if isinstance(reply, EditDone):
            return reply.stored
        self._show_conflict(ConflictReport(expected_version, value, reply.current))
        version = reply.current.version if reply.current else 0
        raise ConflictError(f"{object_id.kind} {object_id.name}", version)

    def _show_conflict(self, report: ConflictReport) -> None:
        table = new_table("Conflict", "side", "version", "value", numbers=("version",))
        table.add_row("yours, based on", str(report.expected_version), summary(report.yours))
        if report.current is None:
            table.add_row("in force", "0", "(absent)")
        else:
            table.add_row("in force", str(report.current.version), summary(report.current.value))
        self._output.show(report, table)


def list_objects(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """List the objects of one kind."""
    objects = live_objects(client, options.kind)
    output.show(objects, objects_table(f"{options.kind.title()}s", objects))


def list_keys(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """List the id, workspace and state of every key."""
    objects = live_objects(client, "key")
    rows = tuple(
        KeyRow(entry.value.key_id, entry.value.workspace, entry.value.withdrawn, entry.version)
        for entry in objects
        if isinstance(entry.value, Key)
    )
    output.show(rows, objects_table("Keys", objects))


def set_workspace(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Create a workspace or change its rate limit and burst."""

    def change(current: ConfigValue | None) -> Workspace:
        existing = current if isinstance(current, Workspace) else None
        rate_per_s = _given_or_current(
            options.rate_per_s, existing and existing.rate_per_s, "--rate-per-s"
        )
        burst = _given_or_current(options.burst, existing and existing.burst, "--burst")
        return Workspace(options.name, rate_per_s, burst)

    if options.rate_per_s is None and options.burst is None:
        raise UsageError("Nothing to change; specify --rate-per-s, --burst or both.")
    _set_object(options, client, output, "workspace", change)


def set_profile(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Create a profile or replace its settings."""
    is_bounded = options.mode is ProfileMode.BOUNDED
    if is_bounded and options.max_staleness_ms is None:
        raise UsageError("--mode bounded requires --max-staleness-ms.")
    if not is_bounded and options.max_staleness_ms is not None:
        raise UsageError("--max-staleness-ms is only allowed with --mode bounded.")
    profile = Profile(options.name, options.mode, options.max_staleness_ms or 0)
    _set_object(options, client, output, "profile", lambda current: profile)


def set_service(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Create a service or assign it to another database group."""
    service = Service(options.name, options.group)
    _set_object(options, client, output, "service", lambda current: service)


def create_key(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Create a key for a workspace and print its text, which cannot be shown again."""
    key_id = options.key_id or secrets.token_hex(KEY_ID_BYTES)
    presented = PresentedKey(key_id, secrets.token_hex(SECRET_BYTES))
    salt = secrets.token_hex(SALT_BYTES)
    key = Key.from_secret(key_id, options.workspace, salt, presented.secret)
    editor = Editor(client, output, options.operator_name)
    try:
        stored = editor.store(ObjectId("key", key_id), key, 0)
    except NoReplyError:
        output.note(f"key {key_id} may have been stored; if 'key list' shows it, withdraw it")
        raise
    _show_new_key(presented, options.workspace, stored.version, output)
    # The key text cannot be shown again, so it is printed before a wait that may fail.
    for line in _in_force_lines(_wait_if_requested(options, client, output, stored.version)):
        output.note(line)


def withdraw_key(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Withdraw a key permanently."""
    object_id = ObjectId("key", options.key_id)

    def change(current: ConfigValue | None) -> Key:
        if not isinstance(current, Key):
            raise ObjectNotFoundError(object_id)
        return msgspec.structs.replace(current, withdrawn=True)

    _edit(options, client, output, object_id, change)


def live_objects(client: OperatorClient, kind: str = "") -> tuple[ConfigObject, ...]:
    """Return all objects that are not deleted, sorted by kind and name."""
    listed = client.query(ListConfig(kind), ConfigList)
    live = (entry for entry in listed.objects if entry.value is not None)
    return tuple(sorted(live, key=lambda entry: (entry.object_id.kind, entry.object_id.name)))


def _set_object(
    options: argparse.Namespace,
    client: OperatorClient,
    output: Output,
    kind: str,
    change: Change,
) -> None:
    _edit(options, client, output, ObjectId(kind, options.name), change)


def _edit(
    options: argparse.Namespace,
    client: OperatorClient,
    output: Output,
    object_id: ObjectId,
    change: Change,
) -> None:
    editor = Editor(client, output, options.operator_name)
    current = editor.find(object_id)
    value = change(current.value)
    version = current.version if options.version is None else options.version
    stored = editor.store(object_id, value, version)
    in_force = _wait_if_requested(options, client, output, stored.version)
    line = f"{object_id.kind} {object_id.name}: stored as version {stored.version}"
    output.show(
        EditReport(stored, in_force), f"{line}: {summary(stored.value)}", *_in_force_lines(in_force)
    )


def _wait_if_requested(
    options: argparse.Namespace, client: OperatorClient, output: Output, revision: int
) -> InForce | None:
    if options.wait is None:
        return None
    return wait_in_force(client, revision, options.wait, output)


def _in_force_lines(in_force: InForce | None) -> tuple[str, ...]:
    if in_force is None:
        return ()
    count = len(in_force.hosts)
    return (f"In force at {count} of {count} live hosts after {in_force.waited_ms} ms.",)


def _show_new_key(presented: PresentedKey, workspace: str, version: int, output: Output) -> None:
    text = presented.to_text()
    lines = (
        f"key {presented.key_id} of workspace {workspace}: stored as version {version}",
        "The key text below is not stored and cannot be shown again:",
    )
    report = NewKeyReport(presented.key_id, workspace, text, version)
    output.show(report, *lines, text)


def _given_or_current(given: int | None, current: int | None, option: str) -> int:
    if given is not None:
        return given
    if current is None:
        raise UsageError(f"A new workspace also requires {option}.")
    return current
