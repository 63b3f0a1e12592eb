"""A host's view of the members: states, incarnations and updates to gossip."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from figcrank.protocol import MemberUpdate
from figcrank.state import Host, HostState

CONTACTS_PER_CELL = 2
MAX_INCARNATION_STEP = 100_000
MAX_UPDATES_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 3
TOMBSTONE_MS = 600_000

# Of two updates with the same incarnation, the one with the higher severity wins.
_SEVERITY = {HostState.ALIVE: 0, HostState.SUSPECT: 1, HostState.LEAVING: 2, HostState.DEAD: 3}


@dataclass(frozen=True, slots=True)
class Member:
    """A host with its state in this host's view.

    :param host: the host.
    :param state: current state.
    :param incarnation: newest incarnation received.
    :param since_ms: time at which this host learned the state, in milliseconds.
    :param has_left: whether the host announced that it leaves, or another process answers at its
        address.
    """

    host: Host
    state: HostState
    incarnation: int
    since_ms: int
    has_left: bool = False

    @property
    def is_dead(self) -> bool:
        """Return whether the entry is a tombstone of a dead host."""
        return self.state is HostState.DEAD

    def to_update(self) -> MemberUpdate:
        """Return the gossip update for this member."""
        return MemberUpdate(
            self.host.name,
            self.host.availability_zone,
            self.host.gossip_address,
            self.host.peer_address,
            self.incarnation,
            self.state,
            self.host.cell,
        )


def host_of(update: MemberUpdate) -> Host:
    """Return the host that an update is about."""
    return Host(
        update.host,
        update.availability_zone,
        update.gossip_address,
        update.peer_address,
        update.cell,
    )


def is_well_formed(update: MemberUpdate) -> bool:
    """Return whether an update has a host name, addresses with ports and a valid incarnation."""
    if not update.host or ":" not in update.gossip_address or ":" not in update.peer_address:
        return False
    return update.incarnation >= 0


def can_refer_to(update: MemberUpdate, known: Member) -> bool:
    """Return whether an update can refer to the same host as ``known``."""
    if update.gossip_address != known.host.gossip_address:
        return False
    return update.incarnation <= known.incarnation + MAX_INCARNATION_STEP


@dataclass(frozen=True, slots=True)
class MemberViews:
    """The members of a table, grouped by role and state.

    :param assignable_hosts: hosts of the cell that may be assigned work, including this host,
        sorted by name.
    :param peers: other hosts of the cell that are not dead, including leaving ones.
    :param contacts: known hosts of other cells.
    :param cell_members: members and tombstones of the cell, including this host.
    :param suspects: suspected members.
    :param dead: tombstones.
    """

    assignable_hosts: tuple[Host, ...]
    peers: tuple[Host, ...]
    contacts: tuple[Host, ...]
    cell_members: tuple[Member, ...]
    suspects: tuple[Member, ...]
    dead: tuple[Member, ...]

    @classmethod
    def from_members(cls, members: Iterable[Member], own_host: Host) -> "MemberViews":
        """Return the views of ``members`` for the host ``own_host``."""
        all_members = tuple(members)
        cell_members = tuple(m for m in all_members if m.host.cell == own_host.cell)
        usable = [m.host for m in cell_members if m.state in (HostState.ALIVE, HostState.SUSPECT)]
        return cls(
            assignable_hosts=tuple(sorted(usable, key=lambda host: host.name)),
            peers=tuple(
                m.host for m in cell_members if not m.is_dead and m.host.name != own_host.name
            ),
            contacts=tuple(m.host for m in all_members if m.host.cell != own_host.cell),
            cell_members=cell_members,
            suspects=tuple(m for m in all_members if m.state is HostState.SUSPECT),
            dead=tuple(m for m in all_members if m.is_dead),
        )

    def count_contacts(self, cell: str) -> int:
        """Return the number of contacts in ``cell``."""
        return sum(1 for host in self.contacts if host.cell == cell)


class MemberTable:
    """The members of this host's cell, and a few contacts in each other cell.

    :param own_host: this host.
    :param suspicion_ms: time within which a suspected host must refute the suspicion, in
        milliseconds.
    """

    def __init__(self, own_host: Host, suspicion_ms: int) -> None:
        self._own_host = own_host
        self._cell = own_host.cell
        self._suspicion_ms = suspicion_ms
        self._members = {own_host.name: Member(own_host, HostState.ALIVE, 0, 0)}
        self._transmissions_left: dict[str, int] = {}
        self._views: MemberViews | None = None

    def get(self, name: str) -> Member | None:
        """Return a member or its tombstone."""
        return self._members.get(name)

    def add(self, member: Member, is_gossiped: bool = True) -> bool:
        """Add an unknown host, unless there are enough contacts in its cell.

        :param is_gossiped: whether to gossip the new member to peers.
        :returns: whether the table changed.
        """
        name = member.host.name
        if name in self._members or not self.has_room(member.host.cell):
            return False
        self._members[name] = member
        self._views = None
        if is_gossiped:
            self._queue_update(name)
        return True

    def has_room(self, cell: str) -> bool:
        """Return whether one more host of ``cell`` can be added."""
        if cell == self._cell:
            return True
        return self.views().count_contacts(cell) < CONTACTS_PER_CELL

    def views(self) -> MemberViews:
        """Return the grouped members; the same object until the table changes."""
        if self._views is None:
            self._views = MemberViews.from_members(self._members.values(), self._own_host)
        return self._views

    def apply(self, update: MemberUpdate, now_ms: int) -> bool:
        """Apply an update about a known host if it takes precedence over the current state.

        :returns: whether the table changed.
        """
        known = self._members.get(update.host)
        if known is None or not can_refer_to(update, known):
            return False
        if _precedence(update.incarnation, update.state) <= _precedence(
            known.incarnation, known.state
        ):
            return False
        self._replace_member(
            replace(known, state=update.state, incarnation=update.incarnation), now_ms
        )
        return True

    def raise_severity(self, name: str, state: HostState, now_ms: int) -> bool:
        """Set a state of higher severity at the known incarnation.

        :returns: whether the table changed.
        """
        known = self._members.get(name)
        if known is None or _SEVERITY[state] <= _SEVERITY[known.state]:
            return False
        self._replace_member(replace(known, state=state), now_ms)
        return True

    def mark_replaced(self, name: str, now_ms: int) -> bool:
        """Mark a host as dead after another process has answered at its address.

        :returns: whether the table changed.
        """
        known = self._members.get(name)
        if known is None:
            return False
        if known.is_dead:
            self._members[name] = replace(known, has_left=True)
            self._views = None
            return False
        self._replace_member(replace(known, state=HostState.DEAD, has_left=True), now_ms)
        return True

    def announce(self, name: str, state: HostState, incarnation: int, now_ms: int) -> None:
        """Set this host's own state and incarnation and gossip them."""
        known = self._members[name]
        self._replace_member(replace(known, state=state, incarnation=incarnation), now_ms)

    def expire(self, now_ms: int) -> tuple[Member, ...]:
        """Mark as dead the members that did not refute a suspicion in time; drop old tombstones.

        :returns: the members that were marked as dead.
        """
        views = self.views()
        late = [m for m in views.suspects if self._has_suspicion_expired(m, now_ms)]
        for member in late:
            self.raise_severity(member.host.name, HostState.DEAD, now_ms)
        old = [m for m in views.dead if now_ms - m.since_ms >= TOMBSTONE_MS]
        for member in old:
            self._forget(member.host.name)
        return tuple(late)

    def extend_suspicions(self, gap_ms: int) -> None:
        """Extend the time to refute by ``gap_ms`` milliseconds for all suspected hosts."""
        for member in self.views().suspects:
            later = replace(member, since_ms=member.since_ms + gap_ms)
            self._members[member.host.name] = later
        self._views = None

    def take_updates(self, first: Iterable[str] = ()) -> tuple[MemberUpdate, ...]:
        """Return the updates for one message: those of ``first``, then the least transmitted ones.

        :param first: names of the hosts whose state the message must carry.
        """
        names = [name for name in first if name in self._members]
        waiting = sorted(self._transmissions_left, key=lambda name: -self._transmissions_left[name])
        names += [name for name in waiting if name not in names]
        chosen = names[:MAX_UPDATES_PER_MESSAGE]
        for name in chosen:
            self._count_transmission(name)
        return tuple(self._members[name].to_update() for name in chosen)

    def _replace_member(self, member: Member, now_ms: int) -> None:
        name = member.host.name
        if member.is_dead and member.host.cell != self._cell:
            self._forget(name)
            return
        has_left = member.has_left or member.state is HostState.LEAVING
        if member.state in (HostState.ALIVE, HostState.SUSPECT):
            has_left = False
        self._members[name] = replace(member, since_ms=now_ms, has_left=has_left)
        self._views = None
        self._queue_update(name)

    def _queue_update(self, name: str) -> None:
        if self._members[name].host.cell != self._cell:
            return
        self._transmissions_left[name] = RETRANSMIT_FACTOR * len(self._members).bit_length()

    def _count_transmission(self, name: str) -> None:
        if name not in self._transmissions_left:
            return
        self._transmissions_left[name] -= 1
        if self._transmissions_left[name] <= 0:
            del self._transmissions_left[name]

    def _forget(self, name: str) -> None:
        self._members.pop(name, None)
        self._views = None
        self._transmissions_left.pop(name, None)

    def _has_suspicion_expired(self, member: Member, now_ms: int) -> bool:
        return now_ms - member.since_ms >= self._suspicion_ms


def _precedence(incarnation: int, state: HostState) -> tuple[int, int]:
    return incarnation, _SEVERITY[state]
