"""What the operators' command line prints."""

from collections.abc import Iterable, Sequence
from dataclasses import replace

import msgspec
from rich.console import Console
from rich.table import Table

from figcrank.cli._ctl_client import SpreadReport
from figcrank.cli._ctl_objects import Change
from figcrank.protocol import ConfigList, Decision, FleetStatus, GroupStatus
from figcrank.state import MILLI, ConfigObject, Key, ServerRole

WIDTH_COLUMNS = 80
_NEVER = -1


class Printer:
    """Prints results as tables of at most 80 columns, or as JSON, one object a line.

    :param as_json: whether to print JSON.
    """

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json
        self._console = Console(width=WIDTH_COLUMNS, highlight=False)

    def json(self, value: object) -> bool:
        """Print ``value`` if JSON is wanted; return whether it was."""
        if self._as_json:
            print(msgspec.json.encode(value).decode())
        return self._as_json

    def line(self, text: str) -> None:
        """Print one line of text."""
        self._console.print(text, markup=False, soft_wrap=True)

    def status(self, status: FleetStatus) -> None:
        """Print everything that one host knows."""
        if self.json(status):
            return
        ready = "ready" if status.ready else "not ready"
        platform = "reachable" if status.platform_reachable else "not reachable"
        self.line(f"{status.host}: {ready}, configuration {status.config_revision}")
        self.line(f"Platform: {platform}")
        self._hosts(status)
        self._groups(status.groups)
        self._limits(status)

    def hosts(self, status: FleetStatus) -> None:
        """Print the hosts."""
        if not self.json(status.hosts):
            self._hosts(status)

    def groups(self, status: FleetStatus) -> None:
        """Print the database groups."""
        if not self.json(status.groups):
            self._groups(status.groups)

    def config(self, objects: Sequence[ConfigObject]) -> None:
        """Print configuration objects with their versions."""
        if self.json([without_secrets(item) for item in objects]):
            return
        rows = [(o.object_id.kind, o.object_id.name, o.version, describe(o.value)) for o in objects]
        self._table("Configuration", ("kind", "name", "version", "value"), rows)

    def keys(self, found: ConfigList) -> None:
        """Print the keys without what could help to guess one."""
        rows = [_key_row(item) for item in found.objects if isinstance(item.value, Key)]
        if self.json([KeyRow(*row) for row in rows]):
            return
        self._table("Keys", ("key id", "workspace", "version", "state"), rows)

    def changes(self, changes: Iterable[Change]) -> None:
        """Print what differs from the configuration in force."""
        changes = tuple(changes)
        if self.json(changes):
            return
        for change in changes:
            self.line(f"{change.object_id.kind} {change.object_id.name}")
            if change.before is not None:
                self.line(f"  - {describe(change.before)}")
            self.line(f"  + {describe(change.after)}")
        if not changes:
            self.line("No differences.")

    def decisions(self, decisions: Sequence[Decision]) -> None:
        """Print decisions, oldest first, each with what it was decided on."""
        if self.json(decisions):
            return
        for decision in decisions:
            inputs = ", ".join(f"{name} {value}" for name, value in decision.inputs.items())
            self.line(f"{decision.at_ms} ms  {decision.kind}  {decision.subject}")
            self.line(f"    {decision.reason}" + (f" ({inputs})" if inputs else ""))
        if not decisions:
            self.line("No decisions are known; other hosts keep their own.")

    def spread(self, report: SpreadReport) -> None:
        """Print which hosts have a revision in force."""
        if self.json(report):
            return
        self.line(f"Revision {report.revision} is in force at: {', '.join(report.there) or '-'}")
        if report.missing:
            self.line(f"Not there yet: {', '.join(report.missing)}")

    def _hosts(self, status: FleetStatus) -> None:
        rows = [
            (host.name, host.availability_zone, host.state, host.incarnation, _revision(host))
            for host in status.hosts
        ]
        headings = ("host", "availability zone", "state", "incarnation", "config")
        self._table("Hosts", headings, rows)

    def _groups(self, groups: Sequence[GroupStatus]) -> None:
        rows = []
        for group in groups:
            rows.append((group.name, group.term, "", "owners", ", ".join(group.owners)))
            rows += _server_rows(group)
        self._table("Groups", ("group", "term", "server", "role", "behind by"), rows)

    def _limits(self, status: FleetStatus) -> None:
        rows = [
            (
                limit.workspace,
                f"{limit.rate_per_s}/s",
                limit.burst,
                limit.home,
                limit.held_milli // MILLI,
                limit.admitted,
                limit.refused,
            )
            for limit in status.limits
        ]
        headings = ("workspace", "rate", "burst", "home", "held", "admitted", "refused")
        self._table("Limits", headings, rows)

    def _table(self, title: str, headings: Sequence[str], rows: Iterable[Sequence]) -> None:
        table = Table(title=title, title_justify="left")
        for heading in headings:
            table.add_column(heading, overflow="fold")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        self._console.print(table)


class KeyRow(msgspec.Struct, frozen=True):
    """A key as operators see it."""

    key_id: str
    workspace: str
    version: int
    state: str


class CreatedKey(msgspec.Struct, frozen=True):
    """A key on the only occasion that it is shown."""

    key: str
    version: int


class CheckedFile(msgspec.Struct, frozen=True):
    """The result of checking a settings file."""

    file: str
    ok: bool


def without_secrets(item: ConfigObject) -> ConfigObject:
    """Return the object without what could help to guess a key."""
    if not isinstance(item.value, Key):
        return item
    return replace(item, value=msgspec.structs.replace(item.value, salt="", digest=""))


def describe(value: object) -> str:
    """Return a configuration value on one line, without its name and without secrets."""
    if value is None:
        return "deleted"
    if isinstance(value, Key):
        return f"workspace={value.workspace} {_key_state(value)}"
    fields = msgspec.structs.asdict(value)
    return " ".join(f"{name}={item}" for name, item in fields.items() if name != "name")


def _key_row(item: ConfigObject) -> tuple[str, str, int, str]:
    return item.value.key_id, item.value.workspace, item.version, _key_state(item.value)


def _key_state(key: Key) -> str:
    return "withdrawn" if key.withdrawn else "valid"


def _revision(host: object) -> str:
    return "?" if host.config_revision == _NEVER else str(host.config_revision)


def _server_rows(group: GroupStatus) -> list[tuple]:
    durable = [s.durable.offset for s in group.statuses if s.role is ServerRole.PRIMARY]
    newest = max(durable, default=max((s.durable.offset for s in group.statuses), default=0))
    return [
        ("", s.term, s.server, s.role, max(0, newest - s.applied.offset)) for s in group.statuses
    ]
