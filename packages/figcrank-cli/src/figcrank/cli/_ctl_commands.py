"""The commands of figcrankctl; each returns whether it achieved what was asked for."""

import argparse
import os
import secrets

from figcrank.cli._ctl_client import (
    MissingUrlError,
    OperatorClient,
    RefusedError,
    SpreadReport,
    UnreachableError,
    wait_for_spread,
)
from figcrank.cli._ctl_objects import FileValue, changes, read_objects
from figcrank.cli._ctl_tables import CheckedFile, CreatedKey, Printer, describe, without_secrets
from figcrank.protocol import (
    Accepted,
    DecisionList,
    DrainServer,
    EditConflict,
    EditDone,
    EditObject,
    Explain,
    OperatorRequest,
    SwitchPrimary,
)
from figcrank.state import (
    ConfigObject,
    ConfigValue,
    Key,
    ObjectId,
    PresentedKey,
    Profile,
    ProfileMode,
    Workspace,
)
from figcrank.transport import Settings

URL_VARIABLE = "FIGCRANK_OPERATOR_URL"
KEY_ID_BYTES = 6
SALT_BYTES = 16
SECRET_BYTES = 24


def status(options: argparse.Namespace) -> bool:
    """Show everything that a host knows."""
    _printer(options).status(_client(options).status())
    return True


def hosts(options: argparse.Namespace) -> bool:
    """Show the hosts."""
    _printer(options).hosts(_client(options).status())
    return True


def groups(options: argparse.Namespace) -> bool:
    """Show the database groups."""
    _printer(options).groups(_client(options).status())
    return True


def explain(options: argparse.Namespace) -> bool:
    """Show decisions about a subject."""
    reply = _client(options).send(Explain(options.subject))
    _printer(options).decisions(reply.decisions if isinstance(reply, DecisionList) else ())
    return True


def get_config(options: argparse.Namespace) -> bool:
    """Show configuration objects in force."""
    found = _client(options).config(options.kind)
    wanted = [o for o in found.objects if options.name in ("", o.object_id.name)]
    if options.name and not wanted:
        raise RefusedError(f"There is no {options.kind} {options.name!r}; see config get.")
    _printer(options).config([o for o in wanted if o.value is not None])
    return True


def set_workspace(options: argparse.Namespace) -> bool:
    """Create or edit a workspace."""
    return _set(options, Workspace(options.name, options.rate, options.burst), "workspace")


def set_profile(options: argparse.Namespace) -> bool:
    """Create or edit a profile."""
    profile = Profile(options.name, ProfileMode(options.mode), options.max_staleness_ms)
    return _set(options, profile, "profile")


def list_keys(options: argparse.Namespace) -> bool:
    """List the keys, without their digests."""
    _printer(options).keys(_client(options).config("key"))
    return True


def create_key(options: argparse.Namespace) -> bool:
    """Create a key and show it this once."""
    client = _client(options)
    if not _in_force(client, ObjectId("workspace", options.workspace)):
        raise RefusedError(f"There is no workspace {options.workspace!r}; see workspace list.")
    presented = PresentedKey(secrets.token_hex(KEY_ID_BYTES), secrets.token_hex(SECRET_BYTES))
    salt = secrets.token_hex(SALT_BYTES)
    key = Key.from_secret(presented.key_id, options.workspace, salt, presented.secret)
    stored = _edit(client, options, ObjectId("key", key.key_id), 0, key)
    printer = _printer(options)
    if not printer.json(CreatedKey(presented.to_text(), stored.version)):
        printer.line(presented.to_text())
        printer.line("The key is not shown again.")
    return _wait(options, stored.version)


def withdraw_key(options: argparse.Namespace) -> bool:
    """Withdraw a key for good."""
    client = _client(options)
    identity = ObjectId("key", options.key_id)
    current = _in_force(client, identity)
    if current is None or not isinstance(current.value, Key):
        raise RefusedError(f"There is no key {options.key_id!r}; see key list.")
    key = current.value
    withdrawn = Key(key.key_id, key.workspace, key.salt, key.digest, withdrawn=True)
    stored = _edit(client, options, identity, current.version, withdrawn)
    _report_edit(options, stored)
    return _wait(options, stored.version)


def diff_config(options: argparse.Namespace) -> bool:
    """Compare a file of objects with the configuration in force; say whether they agree."""
    found = changes(read_objects(options.file), _client(options).config())
    _printer(options).changes(found)
    return not found


def check_config(options: argparse.Namespace) -> bool:
    """Check a host's settings file."""
    Settings.from_file(options.file)
    printer = _printer(options)
    if not printer.json(CheckedFile(options.file, ok=True)):
        printer.line(f"{options.file}: ok")
    return True


def apply_config(options: argparse.Namespace) -> bool:
    """Make the edits that a file of objects asks for, in its order."""
    wanted = read_objects(options.file)
    client = _client(options)
    version = 0
    for change in changes(wanted, client.config()):
        identity = change.object_id
        stored = _edit(client, options, identity, change.expected_version, change.after)
        _report_edit(options, stored)
        version = max(version, stored.version)
    if not version:
        _printer(options).changes(())
        return True
    return _wait(options, version)


def drain_server(options: argparse.Namespace) -> bool:
    """Give a server no new work, or take it back into use."""
    return _order(options, DrainServer(options.group, options.server, not options.restore))


def switch_primary(options: argparse.Namespace) -> bool:
    """Move a group's primary."""
    return _order(options, SwitchPrimary(options.group, options.server))


def _set(options: argparse.Namespace, value: FileValue, kind: str) -> bool:
    client = _client(options)
    identity = ObjectId(kind, value.name)
    version = options.expected_version
    if version is None:
        current = _in_force(client, identity)
        version = current.version if current else 0
    stored = _edit(client, options, identity, version, value)
    _report_edit(options, stored)
    return _wait(options, stored.version)


def _edit(
    client: OperatorClient,
    options: argparse.Namespace,
    identity: ObjectId,
    expected_version: int,
    value: ConfigValue,
) -> ConfigObject:
    edit = EditObject(identity.kind, identity.name, expected_version, value, options.operator)
    reply = client.send(edit)
    if isinstance(reply, EditDone):
        return reply.stored
    if isinstance(reply, EditConflict):
        raise RefusedError(_conflict_text(identity, expected_version, value, reply.current))
    raise UnreachableError(client.url, f"unexpected reply {type(reply).__name__}")


def _conflict_text(
    identity: ObjectId, version: int, value: ConfigValue, current: ConfigObject | None
) -> str:
    stands = "deleted" if current is None else f"version {current.version}, "
    stands += describe(current.value) if current else ""
    return (
        f"{identity.kind} {identity.name} was changed by someone else. "
        f"It stands at {stands}; your edit of version {version} was {describe(value)}. "
        "Look at both and repeat the command."
    )


def _in_force(client: OperatorClient, identity: ObjectId) -> ConfigObject | None:
    found = client.config(identity.kind).objects
    return next((item for item in found if item.object_id == identity), None)


def _report_edit(options: argparse.Namespace, stored: ConfigObject) -> None:
    printer = _printer(options)
    if not printer.json(without_secrets(stored)):
        identity = stored.object_id
        printer.line(f"{identity.kind} {identity.name} is stored as version {stored.version}.")


def _wait(options: argparse.Namespace, version: int) -> bool:
    if not options.wait:
        return True
    report: SpreadReport = wait_for_spread(_clients(options), version, options.wait_ms)
    _printer(options).spread(report)
    return not report.missing


def _order(options: argparse.Namespace, request: OperatorRequest) -> bool:
    reply = _client(options).send(request)
    printer = _printer(options)
    if not printer.json(reply) and isinstance(reply, Accepted):
        printer.line(reply.message)
    return True


def _client(options: argparse.Namespace) -> OperatorClient:
    return _clients(options)[0]


def _clients(options: argparse.Namespace) -> list[OperatorClient]:
    urls = options.operator_url or os.environ.get(URL_VARIABLE, "").replace(",", " ").split()
    if not urls:
        raise MissingUrlError(URL_VARIABLE)
    return [OperatorClient(url, options.operator_key) for url in urls]


def _printer(options: argparse.Namespace) -> Printer:
    return Printer(options.json)
