"""Which servers hold every acknowledged commit of a group with synchronous replicas.

A commit is acknowledged once it is in the logs of the primary and of ``sync_replicas`` others.
Which ones is not known. Of a group of ``n`` members, however, any ``n - sync_replicas`` include one
of them, so the newest position that so many report covers every acknowledged commit. The reports
must be final: their servers receive nothing more from the old primary.

A member that is no longer registered still counts, as its log may be the only one with a commit
that was acknowledged before it left. It is forgotten once enough of the others have reached a
position that the primary reported after the departure.
"""

from collections.abc import Collection, Iterable, Mapping, Set

from figcrank.protocol.sessions import ServerReport
from figcrank.state._catalog import ServerEntry
from figcrank.state._positions import Position


def complete_position(
    members: Set[str], sync_replicas: int, reports: Mapping[str, ServerReport | None]
) -> Position | None:
    """Return a position that covers every acknowledged commit, ``None`` if the reports prove none.

    :param members: ids of the group's members, including the old primary.
    :param sync_replicas: number of replicas that must hold a commit before it is acknowledged.
    :param reports: final report of each server that was asked, ``None`` if it did not answer.
    """
    positions = [
        report.position
        for server_id, report in reports.items()
        if server_id in members and report is not None and report.position is not None
    ]
    if not positions or len(positions) < len(members) - sync_replicas:
        return None
    return max(positions)


class GroupMembers:
    """The servers of one group whose logs may hold a commit that another one lacks."""

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._present: frozenset[str] = frozenset()
        self._leaving: dict[str, str] = {}  # ids of servers that were about to leave, by address

    @property
    def ids(self) -> frozenset[str]:
        """Return the ids of all members."""
        return frozenset(self._ids)

    @property
    def departed(self) -> frozenset[str]:
        """Return the ids of the members that are no longer registered."""
        return frozenset(self._ids - self._present)

    def observe(self, entries: Iterable[ServerEntry]) -> None:
        """Record the servers that are registered now, or were a moment ago.

        A server that leaves passes its log to a new one at its address, which takes its place.
        """
        entries = tuple(entries)
        self._present = frozenset(entry.server_id for entry in entries)
        for entry in entries:
            predecessor = self._leaving.get(entry.address)
            if predecessor is not None and predecessor not in self._present:
                self._ids.discard(predecessor)
                del self._leaving[entry.address]
            if entry.draining:
                self._leaving[entry.address] = entry.server_id
        self._ids |= self._present

    def add(self, server_ids: Iterable[str]) -> None:
        """Add members that another host has recorded."""
        self._ids.update(server_ids)

    def forget_departed(
        self,
        sync_replicas: int,
        primary: ServerReport | None,
        replicas: Collection[ServerReport | None],
    ) -> bool:
        """Forget the departed members if the others have their commits; return whether they do.

        :param sync_replicas: number of replicas that must hold a commit before it is acknowledged.
        :param primary: report of the primary, requested after the departure.
        :param replicas: reports of the registered replicas, requested after the primary's.
        """
        if primary is None or not primary.is_primary or primary.position is None:
            return False
        reached = sum(
            report is not None
            and report.position is not None
            and report.position >= primary.position
            for report in replicas
        )
        if reached < sync_replicas:
            return False
        self._ids &= self._present
        return True
