"""The views of several hosts side by side, and where they disagree."""

import msgspec

from figcrank.protocol import FleetStatus, GroupStatus, HostStatus, LimitStatus
from figcrank.state import HostState

LIVE_STATES = frozenset({HostState.ALIVE, HostState.SUSPECT})


class HostRow(msgspec.Struct, frozen=True):
    """What the asked hosts believe of one host.

    :param name: the host.
    :param states: every state that it is believed to be in.
    :param config_revision: newest revision that a host reports for it, -1 if none does.
    :param listed_by: asked hosts that may give it work.
    :param missing_from: asked hosts that do not list it.
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
        """Return whether the asked hosts believe the same."""
        return len(self.states) == 1 and not self.missing_from


class GroupView(msgspec.Struct, frozen=True):
    """One host's belief of a database group.

    :param host: whose belief it is.
    :param is_owner: whether it owns the group; other hosts do not watch the group's servers, and
        what they last knew may be old.
    :param status: the belief.
    """

    host: str
    is_owner: bool
    status: GroupStatus


class GroupRow(msgspec.Struct, frozen=True):
    """What the asked hosts believe of one database group.

    :param name: the group.
    :param agreed: whether the asked owners believe in the same primary and term.
    :param views: one belief for each asked host.
    """

    name: str
    agreed: bool
    views: tuple[GroupView, ...]

    @property
    def beliefs(self) -> tuple[GroupView, ...]:
        """Return the views that count: the owners', or all if no owner was asked."""
        return tuple(view for view in self.views if view.is_owner) or self.views

    @property
    def has_owner(self) -> bool:
        """Return whether an owner of the group was asked."""
        return any(view.is_owner for view in self.views)

    @property
    def newest(self) -> GroupStatus:
        """Return the belief with the highest term."""
        return max((view.status for view in self.beliefs), key=lambda status: status.term)

    @property
    def disagreement(self) -> str:
        """Return who believes what."""
        beliefs = (
            f"{view.host}: {view.status.primary or 'no primary'} at term {view.status.term}"
            for view in self.beliefs
        )
        return f"{self.name}: hosts disagree: {'; '.join(beliefs)}"


class LimitRow(msgspec.Struct, frozen=True):
    """A workspace's limit over the asked hosts.

    :param homes: every host that is believed to lend the tokens.
    :param admitted: requests admitted by the asked hosts.
    :param refused: requests refused by the asked hosts.
    """

    workspace: str
    rate_per_s: int
    burst: int
    homes: tuple[str, ...]
    held_milli: int
    admitted: int
    refused: int


class HostView(msgspec.Struct, frozen=True):
    """One asked host of its own.

    :param url: URL that was asked.
    :param host: its name, empty if it did not answer.
    :param problem: why it did not answer.
    """

    url: str
    host: str = ""
    ready: bool = False
    config_revision: int = -1
    platform_reachable: bool = False
    problem: str = ""


class FleetView(msgspec.Struct, frozen=True):
    """What all asked hosts believe of the fleet."""

    asked: tuple[HostView, ...]
    hosts: tuple[HostRow, ...]
    groups: tuple[GroupRow, ...]
    limits: tuple[LimitRow, ...]

    @classmethod
    def from_statuses(cls, asked: tuple[HostView, ...], statuses: list[FleetStatus]) -> "FleetView":
        """Put the hosts' statuses side by side."""
        return cls(asked, _host_rows(statuses), _group_rows(statuses), _limit_rows(statuses))

    @property
    def disagreements(self) -> tuple[str, ...]:
        """Return one line for each group whose primary or term the hosts disagree on."""
        return tuple(row.disagreement for row in self.groups if not row.agreed)

    def revisions(self) -> dict[str, int]:
        """Return the newest revision reported for each live host."""
        live = (row for row in self.hosts if LIVE_STATES.intersection(row.states))
        return {row.name: row.config_revision for row in live}


def _host_rows(statuses: list[FleetStatus]) -> tuple[HostRow, ...]:
    listed: dict[str, dict[str, HostStatus]] = {}
    for status in statuses:
        for host in status.hosts:
            listed.setdefault(host.name, {})[status.host] = host
    askers = [status.host for status in statuses]
    return tuple(_host_row(name, listed[name], askers) for name in sorted(listed))


def _host_row(name: str, beliefs: dict[str, HostStatus], askers: list[str]) -> HostRow:
    newest = max(beliefs.values(), key=lambda belief: belief.incarnation)
    return HostRow(
        name,
        newest.availability_zone,
        tuple(sorted({belief.state for belief in beliefs.values()})),
        newest.incarnation,
        max(belief.config_revision for belief in beliefs.values()),
        tuple(beliefs),
        tuple(asker for asker in askers if asker not in beliefs),
    )


def _group_rows(statuses: list[FleetStatus]) -> tuple[GroupRow, ...]:
    views: dict[str, list[GroupView]] = {}
    for status in statuses:
        for group in status.groups:
            is_owner = status.host in group.owners
            views.setdefault(group.name, []).append(GroupView(status.host, is_owner, group))
    return tuple(_group_row(name, tuple(views[name])) for name in sorted(views))


def _group_row(name: str, views: tuple[GroupView, ...]) -> GroupRow:
    counted = GroupRow(name, True, views).beliefs
    beliefs = {(view.status.primary, view.status.term) for view in counted}
    return GroupRow(name, len(beliefs) == 1, views)


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
