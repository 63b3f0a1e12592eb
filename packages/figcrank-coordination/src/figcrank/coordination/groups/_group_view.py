"""What is known of a group's servers: statuses, status rounds, age bounds, signs of failure."""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.protocol import GroupReport, QueryStatus, ServerReply, StatusReply
from figcrank.state import ORIGIN, Group, Position, ServerRole, ServerStatus

# A server that leaves a query open for this long counts as failing since it was asked.
SLOW_REPLY_MS = 100
# A round that has its majority closes after this time without the servers still missing.
ROUND_CLOSE_MS = 10
BOUNDS_KEPT_MS = 60_000
BOUND_SPACING_MS = 20

Listener = Callable[[int], None]


@dataclass(frozen=True, slots=True)
class Bound:
    """A position that covers every write acknowledged before a time.

    :param started_ms: the time.
    :param position: a server that has applied it holds all of those writes.
    """

    started_ms: int
    position: Position


@dataclass(slots=True)
class _Round:
    started_ms: int
    open: set[str]
    replies: dict[str, ServerStatus] = field(default_factory=dict)


class GroupView:
    """Queries a group's servers in rounds and keeps what they report.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param group: the group.
    """

    def __init__(self, settings: CoreSettings, port: Port, group: Group) -> None:
        self._timings = settings.timings
        self._port = port
        self._group = group
        self._statuses: dict[str, ServerStatus] = {}
        self._open_since_ms: dict[str, int] = {}
        self._failing_since_ms: dict[str, int] = {}
        self._drained_by: dict[str, frozenset[str]] = {}
        self._round: _Round | None = None
        self._round_wanted = False
        self._next_round_ms = 0
        self._bounds: deque[Bound] = deque()
        self._listeners: list[Listener] = []
        self._no_primary_since_ms: int | None = None
        self._committed = ORIGIN
        self._stalled_since_ms: int | None = None

    def when_changed(self, listener: Listener) -> None:
        """Call ``listener`` with the time after each status and each closed round."""
        self._listeners.append(listener)

    # Statuses

    @property
    def statuses(self) -> tuple[ServerStatus, ...]:
        """Return the newest status of each server that was ever heard of."""
        return tuple(self._statuses.values())

    def status(self, server: str) -> ServerStatus | None:
        """Return the newest status of a server."""
        return self._statuses.get(server)

    @property
    def highest_term(self) -> int:
        """Return the highest term that any server has accepted."""
        return max((status.term for status in self._statuses.values()), default=0)

    def primary(self) -> ServerStatus | None:
        """Return the primary of the highest term, unless a majority has moved past that term."""
        primaries = [s for s in self._statuses.values() if s.role is ServerRole.PRIMARY]
        if not primaries:
            return None
        newest = max(primaries, key=lambda status: status.term)
        later = sum(status.term > newest.term for status in self._statuses.values())
        return None if later >= self._group.majority else newest

    def is_failing(self, server: str, now_ms: int) -> bool:
        """Return whether a server has left the last query unanswered."""
        return self.silent_ms(server, now_ms) > 0

    def is_leaving(self, server: str) -> bool:
        """Return whether a server is to get no new work."""
        if any(server in drained for drained in self._drained_by.values()):
            return True
        status = self._statuses.get(server)
        return status is not None and status.leaving

    def drain(self, server: str, draining: bool) -> None:
        """Note that an operator of this host wants a server to get no new work, or work again."""
        drained = self._drained_by.get("", frozenset())
        self._drained_by[""] = drained | {server} if draining else drained - {server}

    @property
    def has_orders(self) -> bool:
        """Return whether an operator of this host ever drained a server or took one back.

        The host reports from then on, so that the probing hosts learn of either.
        """
        return "" in self._drained_by

    def reported(self, status: ServerStatus) -> ServerStatus:
        """Return a status as others are to hear it: marked if this host drains the server."""
        drained = status.server in self._drained_by.get("", frozenset())
        return replace(status, leaving=status.leaving or drained)

    def take(self, status: ServerStatus, now_ms: int) -> None:
        """Take a status that a server gave this host."""
        self._failing_since_ms.pop(status.server, None)
        known = self._statuses.get(status.server)
        # Replies may overtake each other; a server's term never falls.
        if known is None or status.term >= known.term:
            self._statuses[status.server] = status
        self._note_progress(now_ms)
        self._notify(now_ms)

    def merge(self, sender: str, report: GroupReport, now_ms: int) -> None:
        """Take the statuses that another host was given, where they are newer."""
        drained = frozenset(status.server for status in report.statuses if status.leaving)
        self._drained_by[sender] = drained
        for status in report.statuses:
            known = self._statuses.get(status.server)
            if known is None or _progress(status) > _progress(known):
                self._statuses[status.server] = status
        self._note_progress(now_ms)
        self._notify(now_ms)

    # Rounds

    def tick(self, now_ms: int) -> None:
        """Close and start rounds that are due."""
        if self._round is not None and now_ms - self._round.started_ms >= ROUND_CLOSE_MS:
            self._close_round(now_ms)
        if now_ms >= self._next_round_ms or self._round_wanted:
            self._start_round(now_ms)

    def request_round(self, now_ms: int) -> None:
        """Start a round now, or as soon as the one that is running has closed."""
        self._round_wanted = True
        if self._round is None:
            self._start_round(now_ms)

    def bound_since(self, since_ms: int) -> Position | None:
        """Return a position that covers every write acknowledged before ``since_ms``."""
        index = bisect_left(self._bounds, since_ms, key=lambda bound: bound.started_ms)
        return self._bounds[index].position if index < len(self._bounds) else None

    def _start_round(self, now_ms: int) -> None:
        if self._round is not None:
            return
        free = [s for s in self._group.servers if s.name not in self._open_since_ms]
        self._round_wanted = False
        self._next_round_ms = now_ms + self._timings.status_interval_ms
        if not free:
            return
        started = _Round(now_ms, {server.name for server in free})
        self._round = started
        for server in free:
            self._open_since_ms[server.name] = now_ms
            replied = self._round_reply(started, server.name)
            timeout_ms = self._timings.server_timeout_ms
            self._port.call_server(server, QueryStatus(), timeout_ms, now_ms, replied)

    def _round_reply(self, asked: _Round, server: str) -> Callable[[ServerReply, int], None]:
        def replied(reply: ServerReply, now_ms: int) -> None:
            self._open_since_ms.pop(server, None)
            asked.open.discard(server)
            if isinstance(reply, StatusReply):
                asked.replies[server] = reply.status
                self.take(reply.status, now_ms)
            else:
                self._failing_since_ms.setdefault(server, asked.started_ms)
            if not asked.open and asked is self._round:
                self._close_round(now_ms)

        return replied

    def _close_round(self, now_ms: int) -> None:
        closed = self._round
        if closed is None:
            return
        position = self._covering_position(closed)
        if position is None and closed.open and now_ms - closed.started_ms < SLOW_REPLY_MS:
            return
        self._round = None
        if position is not None:
            self._keep(Bound(closed.started_ms, position))
        if self._round_wanted:
            self._start_round(now_ms)
        self._notify(now_ms)

    def _covering_position(self, closed: _Round) -> Position | None:
        """Return what covers the writes acknowledged before the round, if it proves that.

        Its majority, with the primary, shows that no later term could acknowledge by then. A write
        of that term was durable on a majority, so the servers that reported bound it from above; a
        server that did not report may hold all that the primary holds.
        """
        primaries = [s for s in closed.replies.values() if s.role is ServerRole.PRIMARY]
        if not primaries:
            return None
        primary = max(primaries, key=lambda status: status.term)
        agreeing = sum(status.term == primary.term for status in closed.replies.values())
        if agreeing < self._group.majority:
            return None
        missing = len(self._group.servers) - len(closed.replies)
        held = [status.durable for status in closed.replies.values()]
        held += [primary.durable] * missing
        return sorted(held, reverse=True)[self._group.majority - 1]

    def _keep(self, bound: Bound) -> None:
        bounds = self._bounds
        crowded = len(bounds) >= 2
        if crowded and bounds[-1].started_ms - bounds[-2].started_ms < BOUND_SPACING_MS:
            bounds.pop()
        if bounds:
            bound = Bound(bound.started_ms, max(bound.position, bounds[-1].position))
        bounds.append(bound)
        while bounds[0].started_ms < bound.started_ms - BOUNDS_KEPT_MS:
            bounds.popleft()

    # Signs of failure

    def primary_failed_ms(self, now_ms: int) -> int:
        """Return how long there has been no primary that answers, 0 if it does."""
        primary = self.primary()
        if primary is not None:
            self._no_primary_since_ms = None
            return self.silent_ms(primary.server, now_ms)
        if self._no_primary_since_ms is None:
            self._no_primary_since_ms = now_ms
        return now_ms - self._no_primary_since_ms

    def stalled_ms(self, now_ms: int) -> int:
        """Return how long writes of the primary have not become durable on a majority."""
        return 0 if self._stalled_since_ms is None else now_ms - self._stalled_since_ms

    def silent_ms(self, server: str, now_ms: int) -> int:
        """Return how long a server has left queries unanswered, 0 if it answers."""
        since_ms = self._failing_since_ms.get(server, now_ms)
        asked_ms = self._open_since_ms.get(server, now_ms)
        if now_ms - asked_ms >= SLOW_REPLY_MS:
            since_ms = min(since_ms, asked_ms)
        return now_ms - since_ms

    def _note_progress(self, now_ms: int) -> None:
        primary = self.primary()
        if primary is None:
            self._stalled_since_ms = None
            return
        following = [s.durable for s in self._statuses.values() if s.term == primary.term]
        following += [ORIGIN] * self._group.majority
        committed = sorted(following, reverse=True)[self._group.majority - 1]
        if committed >= primary.durable:
            self._stalled_since_ms = None
        elif committed != self._committed or self._stalled_since_ms is None:
            self._stalled_since_ms = now_ms
        self._committed = committed

    def _notify(self, now_ms: int) -> None:
        for listener in self._listeners:
            listener(now_ms)


def _progress(status: ServerStatus) -> tuple[int, bool, Position, Position]:
    """Return what only grows in a server's statuses, save when it drops a replaced tail."""
    settled = status.role is not ServerRole.FENCED
    return status.term, settled, status.durable, status.applied
