"""What a host believes of the others: states, incarnations and updates still to be spread."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from figcrank.protocol import MemberUpdate
from figcrank.state import Host, HostState

CONTACTS_PER_CELL = 2
MAX_INCARNATION_STEP = 100_000
MAX_UPDATES = 6
SPREAD_FACTOR = 3
TOMBSTONE_MS = 600_000

# A worse state overrides a better one of the same incarnation.
_SEVERITY = {HostState.ALIVE: 0, HostState.SUSPECT: 1, HostState.LEAVING: 2, HostState.DEAD: 3}


@dataclass(frozen=True, slots=True)
class Member:
    """A host and what is believed of it.

    :param host: the host.
    :param state: believed state.
    :param incarnation: newest incarnation heard of.
    :param since_ms: time at which the state was learned, in milliseconds.
    :param is_gone: whether it said that it leaves, or another process has its address.
    """

    host: Host
    state: HostState
    incarnation: int
    since_ms: int
    is_gone: bool = False

    @property
    def is_dead(self) -> bool:
        """Return whether only a tombstone is left."""
        return self.state is HostState.DEAD

    def to_update(self) -> MemberUpdate:
        """Return the form that gossip carries."""
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


def is_plausible(update: MemberUpdate) -> bool:
    """Return whether an update can have come from a working host."""
    if not update.host or ":" not in update.gossip_address or ":" not in update.peer_address:
        return False
    return update.incarnation >= 0


def is_possible(update: MemberUpdate, known: Member) -> bool:
    """Return whether an update can be about the very host that is ``known``."""
    if update.gossip_address != known.host.gossip_address:
        return False
    return update.incarnation <= known.incarnation + MAX_INCARNATION_STEP


@dataclass(frozen=True, slots=True)
class MemberViews:
    """The members of a table, sorted out.

    :param workers: hosts of the cell that may be given work, this one included, by name.
    :param peers: other hosts of the cell that are not dead, leaving ones included.
    :param contacts: hosts of other cells.
    :param cell: members and tombstones of the cell, this host included.
    :param suspects: members under suspicion.
    :param dead: tombstones.
    """

    workers: tuple[Host, ...]
    peers: tuple[Host, ...]
    contacts: tuple[Host, ...]
    cell: tuple[Member, ...]
    suspects: tuple[Member, ...]
    dead: tuple[Member, ...]

    @classmethod
    def from_members(cls, members: Iterable[Member], myself: Host) -> "MemberViews":
        """Return the views of ``members`` as the host ``myself`` has them."""
        every = tuple(members)
        cell = tuple(m for m in every if m.host.cell == myself.cell)
        usable = [m.host for m in cell if m.state in (HostState.ALIVE, HostState.SUSPECT)]
        return cls(
            workers=tuple(sorted(usable, key=lambda host: host.name)),
            peers=tuple(m.host for m in cell if not m.is_dead and m.host.name != myself.name),
            contacts=tuple(m.host for m in every if m.host.cell != myself.cell),
            cell=cell,
            suspects=tuple(m for m in every if m.state is HostState.SUSPECT),
            dead=tuple(m for m in every if m.is_dead),
        )

    def contacts_of(self, cell: str) -> int:
        """Return the number of contacts in ``cell``."""
        return sum(1 for host in self.contacts if host.cell == cell)


class MemberTable:
    """Members of this host's cell, and a few contacts in each other cell.

    :param myself: this host.
    :param suspicion_ms: time that a suspected host has to refute, in milliseconds.
    """

    def __init__(self, myself: Host, suspicion_ms: int) -> None:
        self._myself = myself
        self._cell = myself.cell
        self._suspicion_ms = suspicion_ms
        self._members = {myself.name: Member(myself, HostState.ALIVE, 0, 0)}
        self._unspread: dict[str, int] = {}
        self._views: MemberViews | None = None

    def get(self, name: str) -> Member | None:
        """Return a member or its tombstone."""
        return self._members.get(name)

    def add(self, member: Member, is_news: bool = True) -> bool:
        """Take in a host not known so far, unless its cell has contacts enough.

        :param is_news: whether peers are to be told of it.
        :returns: whether the table changed.
        """
        name = member.host.name
        if name in self._members or not self.has_room(member.host.cell):
            return False
        self._members[name] = member
        self._views = None
        if is_news:
            self._spread(name)
        return True

    def has_room(self, cell: str) -> bool:
        """Return whether one more host of ``cell`` can be taken in."""
        if cell == self._cell:
            return True
        return self.views().contacts_of(cell) < CONTACTS_PER_CELL

    def views(self) -> MemberViews:
        """Return the members sorted out; the same object until the table changes."""
        if self._views is None:
            self._views = MemberViews.from_members(self._members.values(), self._myself)
        return self._views

    def apply(self, update: MemberUpdate, now_ms: int) -> bool:
        """Take an update about a known host if it overrides what is believed.

        :returns: whether the table changed.
        """
        known = self._members.get(update.host)
        if known is None or not is_possible(update, known):
            return False
        if _rank(update.incarnation, update.state) <= _rank(known.incarnation, known.state):
            return False
        self._put(replace(known, state=update.state, incarnation=update.incarnation), now_ms)
        return True

    def mark(self, name: str, state: HostState, now_ms: int) -> bool:
        """Set a worse state at the incarnation that is known.

        :returns: whether the table changed.
        """
        known = self._members.get(name)
        if known is None or _SEVERITY[state] <= _SEVERITY[known.state]:
            return False
        self._put(replace(known, state=state), now_ms)
        return True

    def mark_gone(self, name: str, now_ms: int) -> bool:
        """Set a host dead that certainly runs no more.

        :returns: whether the table changed.
        """
        known = self._members.get(name)
        if known is None:
            return False
        if known.is_dead:
            self._members[name] = replace(known, is_gone=True)
            self._views = None
            return False
        self._put(replace(known, state=HostState.DEAD, is_gone=True), now_ms)
        return True

    def announce(self, name: str, state: HostState, incarnation: int, now_ms: int) -> None:
        """Set this host's own state and incarnation and spread them."""
        known = self._members[name]
        self._put(replace(known, state=state, incarnation=incarnation), now_ms)

    def expire(self, now_ms: int) -> tuple[Member, ...]:
        """Declare dead whoever did not refute in time, and forget old tombstones.

        :returns: the members that were declared dead.
        """
        views = self.views()
        late = [m for m in views.suspects if self._is_past_suspicion(m, now_ms)]
        for member in late:
            self.mark(member.host.name, HostState.DEAD, now_ms)
        old = [m for m in views.dead if now_ms - m.since_ms >= TOMBSTONE_MS]
        for member in old:
            self._forget(member.host.name)
        return tuple(late)

    def postpone(self, gap_ms: int) -> None:
        """Give suspected hosts ``gap_ms`` milliseconds more."""
        for member in self.views().suspects:
            later = replace(member, since_ms=member.since_ms + gap_ms)
            self._members[member.host.name] = later
        self._views = None

    def take_updates(self, first: Iterable[str] = ()) -> tuple[MemberUpdate, ...]:
        """Return the updates for one message, the least spread ones after ``first``.

        :param first: names whose state the message must carry.
        """
        names = [name for name in first if name in self._members]
        waiting = sorted(self._unspread, key=lambda name: -self._unspread[name])
        names += [name for name in waiting if name not in names]
        chosen = names[:MAX_UPDATES]
        for name in chosen:
            self._count_down(name)
        return tuple(self._members[name].to_update() for name in chosen)

    def _put(self, member: Member, now_ms: int) -> None:
        name = member.host.name
        if member.is_dead and member.host.cell != self._cell:
            self._forget(name)
            return
        is_gone = member.is_gone or member.state is HostState.LEAVING
        if member.state in (HostState.ALIVE, HostState.SUSPECT):
            is_gone = False
        self._members[name] = replace(member, since_ms=now_ms, is_gone=is_gone)
        self._views = None
        self._spread(name)

    def _spread(self, name: str) -> None:
        if self._members[name].host.cell != self._cell:
            return
        self._unspread[name] = SPREAD_FACTOR * len(self._members).bit_length()

    def _count_down(self, name: str) -> None:
        if name not in self._unspread:
            return
        self._unspread[name] -= 1
        if self._unspread[name] <= 0:
            del self._unspread[name]

    def _forget(self, name: str) -> None:
        self._members.pop(name, None)
        self._views = None
        self._unspread.pop(name, None)

    def _is_past_suspicion(self, member: Member, now_ms: int) -> bool:
        return now_ms - member.since_ms >= self._suspicion_ms


def _rank(incarnation: int, state: HostState) -> tuple[int, int]:
    return incarnation, _SEVERITY[state]
