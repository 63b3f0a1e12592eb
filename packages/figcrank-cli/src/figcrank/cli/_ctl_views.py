"""Combined view of the fleet from the status reports of several hosts."""

import msgspec

from figcrank.protocol import FleetStatus, GroupStatus, HostStatus, LimitStatus
from figcrank.state import HostState

LIVE_STATES = frozenset({HostState.ALIVE, HostState.SUSPECT})


class HostRow(msgspec.Struct, frozen=True):
    """State of one host as reported by the queried hosts.

    :param name: name of the host.
    :param states: every state that is reported for it.
    :param config_revision: newest configuration revision reported for it, -1 if unknown.
    :param listed_by: queried hosts that list it and may send it work.
    :param missing_from: queried hosts that do not list it.
    """

    name: str
    availability_zone: str
    states: tuple[HostState, ...]
    incarnation: int
    config_revision: int
    listed_by: tuple[str, ...]
    missing_from: tuple[str, ...]

    @property
    def agreed(self) -> bool:
        """Return whether the queried hosts report the same state."""
        return len(self.states) == 1 and not self.missing_from


class GroupView(msgspec.Struct, frozen=True):
    """Status of a database group as reported by one host.

    :param host: name of the reporting host.
    :param is_owner: whether it owns the group; other hosts do not monitor the group's servers, and
        their status may be stale.
    :param status: the reported status.
    """

    host: str
    is_owner: bool
    status: GroupStatus


class GroupRow(msgspec.Struct, frozen=True):
    """Status of one database group as reported by the queried hosts.

    :param name: name of the group.
    :param agreed: whether the queried owners report the same primary and term.
    :param views: one view for each queried host.
    """

    name: str
    agreed: bool
    views: tuple[GroupView, ...]

    @property
    def authoritative_views(self) -> tuple[GroupView, ...]:
        """Return the views of the owners, or all views if no owner was queried."""
        return tuple(view for view in self.views if view.is_owner) or self.views

    @property
    def has_owner(self) -> bool:
        """Return whether an owner of the group was queried."""
        return any(view.is_owner for view in self.views)

    @property
    def newest(self) -> GroupStatus:
        """Return the authoritative status with the highest term."""
        return max(
            (view.status for view in self.authoritative_views), key=lambda status: status.term
        )

    @property
    def disagreement(self) -> str:
        """Return a line with the primary and term that each host reports."""
        reports = (
            f"{view.host}: {view.status.primary or 'no primary'} at term {view.status.term}"
            for view in self.authoritative_views
        )
        return f"{self.name}: hosts disagree: {'; '.join(reports)}"


class LimitRow(msgspec.Struct, frozen=True):
    """Rate limit of a workspace, combined over the queried hosts.

    :param homes: every host that is reported as the home of the limit, which lends the tokens.
    :param held_milli: thousandths of tokens held by the queried hosts.
    :param admitted: requests admitted by the queried hosts.
    :param refused: requests rejected by the queried hosts.
    """

    workspace: str
    rate_per_s: int
    burst: int
    homes: tuple[str, ...]
    held_milli: int
    admitted: int
    refused: int


class HostView(msgspec.Struct, frozen=True):
    """State of a queried host as reported by itself.

    :param url: URL of its operator API.
    :param host: name of the host, empty if it did not respond.
    :param problem: the error, empty if it responded.
    """

    url: str
    host: str = ""
    ready: bool = False
    config_revision: int = -1
    platform_reachable: bool = False
    problem: str = ""


class FleetView(msgspec.Struct, frozen=True):
    """State of the fleet as reported by the queried hosts.

    :param asked: the queried hosts.
    """

    asked: tuple[HostView, ...]
    hosts: tuple[HostRow, ...]
    groups: tuple[GroupRow, ...]
    limits: tuple[LimitRow, ...]

    @classmethod
    def from_statuses(cls, asked: tuple[HostView, ...], statuses: list[FleetStatus]) -> "FleetView":
        """Combine the status reports of the queried hosts."""
        return cls(asked, _host_rows(statuses), _group_rows(statuses), _limit_rows(statuses))

    @property
    def disagreements(self) -> tuple[str, ...]:
        """Return one line for each group on whose primary or term the hosts disagree."""
        return tuple(row.disagreement for row in self.groups if not row.agreed)

    def revisions(self) -> dict[str, int]:
        """Return the newest reported configuration revision of each live host."""
        live = (row for row in self.hosts if LIVE_STATES.intersection(row.states))
        return {row.name: row.config_revision for row in live}


def _host_rows(statuses: list[FleetStatus]) -> tuple[HostRow, ...]:
    listed: dict[str, dict[str, HostStatus]] = {}
    for status in statuses:
        for host in status.hosts:
            listed.setdefault(host.name, {})[status.host] = host
    queried_hosts = [status.host for status in statuses]
    return tuple(_host_row(name, listed[name], queried_hosts) for name in sorted(listed))


def _host_row(name: str, reports: dict[str, HostStatus], queried_hosts: list[str]) -> HostRow:
    newest = max(reports.values(), key=lambda report: report.incarnation)
    return HostRow(
        name,
        newest.availability_zone,
        tuple(sorted({report.state for report in reports.values()})),
        newest.incarnation,
        max(report.config_revision for report in reports.values()),
        tuple(reports),
        tuple(queried_host for queried_host in queried_hosts if queried_host not in reports),
    )


def _group_rows(statuses: list[FleetStatus]) -> tuple[GroupRow, ...]:
    views: dict[str, list[GroupView]] = {}
    for status in statuses:
        for group in status.groups:
            is_owner = status.host in group.owners
            views.setdefault(group.name, []).append(GroupView(status.host, is_owner, group))
    return tuple(_group_row(name, tuple(views[name])) for name in sorted(views))


def _group_row(name: str, views: tuple[GroupView, ...]) -> GroupRow:
    authoritative = GroupRow(name, True, views).authoritative_views
    primaries = {(view.status.primary, view.status.term) for view in authoritative}
    return GroupRow(name, len(primaries) == 1, views)


def _limit_rows(statuses: list[FleetStatus]) -> tuple[LimitRow, ...]:
    limits: dict[str, list[LimitStatus]] = {}
    for status in statuses:
        for limit in status.limits:
            limits.setdefault(limit.workspace, []).append(limit)
    return tuple(_limit_row(limits[name]) for name in sorted(limits))


def _limit_row(limits: list[LimitStatus]) -> LimitRow:
    first = limits[0]
    return LimitRow(
        first.workspace,
        first.rate_per_s,
        first.burst,
        tuple(sorted({limit.home for limit in limits})),
        sum(limit.held_milli for limit in limits),
        sum(limit.admitted for limit in limits),
        sum(limit.refused for limit in limits),
    )
