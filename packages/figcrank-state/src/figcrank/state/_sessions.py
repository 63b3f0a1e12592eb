"""Sessions: the log positions that a caller's reads must include."""

from dataclasses import dataclass

from figcrank.state._positions import ORIGIN, Position


@dataclass(frozen=True, slots=True)
class GroupPosition:
    """The position that a session's reads must include in one database group.

    :param group: name of the database group.
    :param position: oldest position at which the session's reads may be served.
    """

    group: str
    position: Position


@dataclass(frozen=True, slots=True)
class Session:
    """The consistency requirement that a caller carries from host to host.

    :param workspace: workspace that the session belongs to.
    :param positions: one entry per database group that the session has used, sorted by group name.
    """

    workspace: str
    positions: tuple[GroupPosition, ...] = ()

    def position_in(self, group: str) -> Position:
        """Return the required position in ``group``, :data:`ORIGIN` if it was never used."""
        for entry in self.positions:
            if entry.group == group:
                return entry.position
        return ORIGIN

    def advanced(self, group: str, position: Position) -> "Session":
        """Return a session that requires at least ``position`` in ``group``."""
        latest = max(position, self.position_in(group))
        others = [entry for entry in self.positions if entry.group != group]
        entries = sorted([*others, GroupPosition(group, latest)], key=lambda entry: entry.group)
        return Session(self.workspace, tuple(entries))
