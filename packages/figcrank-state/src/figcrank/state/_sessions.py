"""Sessions: what a caller must be able to see of its own changes."""

from dataclasses import dataclass

from figcrank.state._positions import ORIGIN, Position


@dataclass(frozen=True, slots=True)
class GroupPosition:
    """The position that a session must see in one database group.

    :param group: name of the database group.
    :param position: oldest position that may answer the session.
    """

    group: str
    position: Position


@dataclass(frozen=True, slots=True)
class Session:
    """The consistency requirement that a caller carries between hosts.

    :param workspace: workspace that the session is bound to.
    :param positions: one entry per database group touched, sorted by group name.
    """

    workspace: str
    positions: tuple[GroupPosition, ...] = ()

    def position_in(self, group: str) -> Position:
        """Return the position to see in ``group``, :data:`ORIGIN` if it was never touched."""
        for entry in self.positions:
            if entry.group == group:
                return entry.position
        return ORIGIN

    def advanced(self, group: str, position: Position) -> "Session":
        """Return a session that sees at least ``position`` in ``group``."""
        latest = max(position, self.position_in(group))
        others = [entry for entry in self.positions if entry.group != group]
        entries = sorted([*others, GroupPosition(group, latest)], key=lambda entry: entry.group)
        return Session(self.workspace, tuple(entries))
