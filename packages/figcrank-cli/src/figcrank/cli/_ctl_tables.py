"""Tables for terminal output, at most 80 columns wide."""

from collections.abc import Iterable

from rich import box
from rich.table import Table

from figcrank.cli._ctl_views import FleetView, GroupRow, HostRow
from figcrank.protocol import DecisionList, GroupStatus
from figcrank.state import MILLI, ConfigObject, Key, Profile, ServerStatus, Service, Workspace

UNKNOWN_REVISION = -1


def new_table(title: str, *columns: str, numbers: Iterable[str] = ()) -> Table:
    """Return an empty table.

    :param title: table title.
    :param columns: column headings.
    :param numbers: headings of the columns to right-align.
    """
    table = Table(title=title, title_justify="left", box=box.SIMPLE_HEAD, pad_edge=False)
    for column in columns:
        justify = "right" if column in numbers else "left"
        table.add_column(column, justify=justify, overflow="fold")
    return table


def queried_hosts_table(view: FleetView) -> Table:
    """Return a table of the queried hosts."""
    table = new_table("Queried hosts", "url", "host", "ready", "revision", "platform")
    for asked in view.asked:
        if asked.problem:
            table.add_row(asked.url, "no answer", "", "", "")
            continue
        reachable = "reachable" if asked.platform_reachable else "unreachable"
        table.add_row(
            asked.url, asked.host, _yes_or_no(asked.ready), str(asked.config_revision), reachable
        )
    return table


def hosts_table(rows: Iterable[HostRow]) -> Table:
    """Return a table of the fleet's hosts as reported by the queried hosts."""
    table = new_table(
        "Hosts", "host", "availability zone", "state", "revision", "views", numbers=("revision",)
    )
    for row in rows:
        revision = (
            "unknown" if row.config_revision == UNKNOWN_REVISION else str(row.config_revision)
        )
        views = "agree" if row.agreed else f"DISAGREE: not listed by {', '.join(row.missing_from)}"
        if not row.agreed and not row.missing_from:
            views = "DISAGREE"
        table.add_row(row.name, row.availability_zone, "/".join(row.states), revision, views)
    return table


def groups_table(rows: Iterable[GroupRow]) -> Table:
    """Return a table with one row per database group."""
    table = new_table(
        "Groups", "group", "term", "primary", "owners", "queued", "lag", "views",
        numbers=("term", "queued", "lag"),
    )  # fmt: skip
    for row in rows:
        status = row.newest
        table.add_row(
            row.name,
            str(status.term),
            _primary(status),
            ", ".join(status.owners),
            str(sum(view.status.queued for view in row.views)),
            str(max((lag(status, server) for server in status.statuses), default=0)),
            _agreement(row),
        )
    return table


def servers_table(rows: Iterable[GroupRow]) -> Table:
    """Return a table with one row per backend server."""
    table = new_table(
        "Backend servers", "group", "server", "role", "term", "durable", "applied", "lag",
        "state", numbers=("term", "durable", "applied", "lag"),
    )  # fmt: skip
    for row in rows:
        for server in sorted(row.newest.statuses, key=lambda status: status.server):
            table.add_row(
                row.name,
                server.server,
                server.role,
                str(server.term),
                str(server.durable.offset),
                str(server.applied.offset),
                str(lag(row.newest, server)),
                _state(row.newest, server),
            )
    return table


def limits_table(view: FleetView) -> Table:
    """Return a table with one row per workspace limit."""
    numbers = ("rate/s", "burst", "held", "admitted", "refused")
    table = new_table("Limits", "workspace", "home", *numbers, numbers=numbers)
    for row in view.limits:
        table.add_row(
            row.workspace,
            "/".join(row.homes),
            str(row.rate_per_s),
            str(row.burst),
            str(row.held_milli // MILLI),
            str(row.admitted),
            str(row.refused),
        )
    return table


def objects_table(title: str, objects: Iterable[ConfigObject]) -> Table:
    """Return a table with one row per configuration object."""
    table = new_table(title, "name", "version", "value", numbers=("version",))
    for entry in objects:
        table.add_row(entry.object_id.name, str(entry.version), summary(entry.value))
    return table


def decisions_table(url: str, decisions: DecisionList) -> Table:
    """Return a table of one host's decisions, oldest first."""
    table = new_table(
        f"Decisions at {url}", "at ms", "kind", "subject", "reason", numbers=("at ms",)
    )
    for decision in decisions.decisions:
        inputs = " ".join(f"{name}={value}" for name, value in decision.inputs.items())
        reason = f"{decision.reason} [{inputs}]" if inputs else decision.reason
        table.add_row(str(decision.at_ms), decision.kind, decision.subject, reason)
    return table


def lag(group: GroupStatus, server: ServerStatus) -> int:
    """Return the number of log entries that a server has not applied yet."""
    newest = max(status.durable.offset for status in group.statuses)
    return max(newest - server.applied.offset, 0)


def summary(value: object) -> str:
    """Return a short description of a configuration value, without a key's digest."""
    match value:
        case None:
            return "(deleted)"
        case Workspace():
            return f"{value.rate_per_s} requests/s, burst {value.burst}"
        case Profile(max_staleness_ms=0):
            return str(value.mode)
        case Profile():
            return f"{value.mode}, at most {value.max_staleness_ms} ms old"
        case Service():
            return f"group {value.group}"
        case Key():
            return f"workspace {value.workspace}, {'withdrawn' if value.withdrawn else 'in use'}"
        case _:
            return f"service {value.service}, profile {value.profile}: {value.sql}"


def _primary(group: GroupStatus) -> str:
    return f"{group.primary} (silent)" if group.primary in group.silent else group.primary or "none"


def _state(group: GroupStatus, server: ServerStatus) -> str:
    if server.server in group.silent:
        return "silent"
    return "leaving" if server.leaving else "in use"


def _agreement(row: GroupRow) -> str:
    if not row.agreed:
        return "DISAGREE"
    return "agree" if row.has_owner else "no owner queried"


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"
