"""Status of a group's servers: polling rounds, covering positions and failure detection."""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.protocol import GroupReport, QueryStatus, ServerReply, StatusReply
from figcrank.state import ORIGIN, Group, Position, ServerRole, ServerStatus

# A server counts as unresponsive once a query has been unanswered for this long.
QUERY_UNANSWERED_MS = 100
# A round with a majority of replies closes after this time without waiting for the others.
ROUND_CLOSE_MS = 10
COVERING_POSITION_RETENTION_MS = 60_000
COVERING_POSITION_SPACING_MS = 20

Listener = Callable[[int], None]


@dataclass(frozen=True, slots=True)
class CoveringPosition:
    """A log position that covers every write acknowledged before a given time.

    :param started_ms: start of the round that established the position.
    :param position: a server that has applied this position holds all writes acknowledged before
        ``started_ms``.
    """

    started_ms: int
    position: Position


@dataclass(slots=True)
class _StatusRound:
    started_ms: int
    pending: set[str]
    replies: dict[str, ServerStatus] = field(default_factory=dict)


class GroupView:
    """Polls a group's servers in rounds and caches their statuses.

    :param settings: static settings of this host.
    :param outbox: sends the status queries.
    :param group: the group.
    """

    def __init__(self, settings: CoreSettings, outbox: Outbox, group: Group) -> None:
        self._timings = settings.timings
        self._outbox = outbox
        self._group = group
        self._statuses: dict[str, ServerStatus] = {}
        self._query_sent_ms: dict[str, int] = {}
        self._unresponsive_since_ms: dict[str, int] = {}
        # Drained servers by reporting host; the empty name is for operators of this host.
        self._drained_by: dict[str, frozenset[str]] = {}
        self._round: _StatusRound | None = None
        self._round_requested = False
        self._next_round_ms = 0
        self._covering_positions: deque[CoveringPosition] = deque()
        self._listeners: list[Listener] = []
        self._no_primary_since_ms: int | None = None
        self._committed = ORIGIN
        self._stalled_since_ms: int | None = None

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with the time after each status and each closed round."""
        self._listeners.append(listener)

    # Statuses

    @property
    def statuses(self) -> tuple[ServerStatus, ...]:
        """Return the newest status of each server that has reported one."""
        return tuple(self._statuses.values())

    def status(self, server: str) -> ServerStatus | None:
        """Return the newest status of a server."""
        return self._statuses.get(server)

    @property
    def highest_term(self) -> int:
        """Return the highest term that any server has accepted."""
        return max((status.term for status in self._statuses.values()), default=0)

    def primary(self) -> ServerStatus | None:
        """Return the primary of the highest term, ``None`` if a majority is in a later term."""
        primaries = [s for s in self._statuses.values() if s.role is ServerRole.PRIMARY]
        if not primaries:
            return None
        newest = max(primaries, key=lambda status: status.term)
        later = sum(status.term > newest.term for status in self._statuses.values())
        return None if later >= self._group.majority else newest

    def is_unresponsive(self, server: str, now_ms: int) -> bool:
        """Return whether a server did not answer its last query."""
        return self.unresponsive_ms(server, now_ms) > 0

    def is_draining(self, server: str) -> bool:
        """Return whether a server must get no new work."""
        if any(server in drained for drained in self._drained_by.values()):
            return True
        status = self._statuses.get(server)
        return status is not None and status.leaving

    def drain(self, server: str, draining: bool) -> None:
        """Drain a server at the request of an operator of this host, or end the drain."""
        drained = self._drained_by.get("", frozenset())
        self._drained_by[""] = drained | {server} if draining else drained - {server}

    @property
    def has_drain_requests(self) -> bool:
        """Return whether an operator of this host has ever drained a server or ended a drain.

        Once this is true the host sends reports, so that the probing hosts receive both changes.
        """
        return "" in self._drained_by

    def with_local_drain(self, status: ServerStatus) -> ServerStatus:
        """Return a status for a report, marked as leaving if this host drains the server."""
        drained = status.server in self._drained_by.get("", frozenset())
        return replace(status, leaving=status.leaving or drained)

    def record(self, status: ServerStatus, now_ms: int) -> None:
        """Store a status that a server sent to this host."""
        self._unresponsive_since_ms.pop(status.server, None)
        known = self._statuses.get(status.server)
        # Replies may arrive out of order; a server's term never decreases.
        if known is None or status.term >= known.term:
            self._statuses[status.server] = status
        self._update_stall(now_ms)
        self._notify(now_ms)

    def merge_report(self, sender: str, report: GroupReport, now_ms: int) -> None:
        """Store the newer statuses from another host's report and its set of drained servers."""
        drained = frozenset(status.server for status in report.statuses if status.leaving)
        self._drained_by[sender] = drained
        for status in report.statuses:
            known = self._statuses.get(status.server)
            if known is None or _progress_key(status) > _progress_key(known):
                self._statuses[status.server] = status
        self._update_stall(now_ms)
        self._notify(now_ms)

    # Polling rounds

    def tick(self, now_ms: int) -> None:
        """Close the current round and start the next one when they are due."""
        if self._round is not None and now_ms - self._round.started_ms >= ROUND_CLOSE_MS:
            self._try_close_round(now_ms)
        if now_ms >= self._next_round_ms or self._round_requested:
            self._start_round(now_ms)

    def request_round(self, now_ms: int) -> None:
        """Start a round now, or as soon as the current one has closed."""
        self._round_requested = True
        if self._round is None:
            self._start_round(now_ms)

    def position_covering(self, since_ms: int) -> Position | None:
        """Return a position that covers every write acknowledged before ``since_ms``."""
        index = bisect_left(
            self._covering_positions, since_ms, key=lambda covering: covering.started_ms
        )
        return (
            self._covering_positions[index].position
            if index < len(self._covering_positions)
            else None
        )

    def _start_round(self, now_ms: int) -> None:
        if self._round is not None:
            return
        unqueried = [s for s in self._group.servers if s.name not in self._query_sent_ms]
        self._round_requested = False
        self._next_round_ms = now_ms + self._timings.status_interval_ms
        if not unqueried:
            return
        started = _StatusRound(now_ms, {server.name for server in unqueried})
        self._round = started
        for server in unqueried:
            self._query_sent_ms[server.name] = now_ms
            replied = self._round_reply(started, server.name)
            timeout_ms = self._timings.server_timeout_ms
            self._outbox.call_server(server, QueryStatus(), timeout_ms, now_ms, replied)

    def _round_reply(
        self, status_round: _StatusRound, server: str
    ) -> Callable[[ServerReply, int], None]:
        def replied(reply: ServerReply, now_ms: int) -> None:
            self._query_sent_ms.pop(server, None)
            status_round.pending.discard(server)
            if isinstance(reply, StatusReply):
                status_round.replies[server] = reply.status
                self.record(reply.status, now_ms)
            else:
                self._unresponsive_since_ms.setdefault(server, status_round.started_ms)
            if not status_round.pending and status_round is self._round:
                self._try_close_round(now_ms)

        return replied

    def _try_close_round(self, now_ms: int) -> None:
        closed = self._round
        if closed is None:
            return
        position = self._find_covering_position(closed)
        if position is None and closed.pending and now_ms - closed.started_ms < QUERY_UNANSWERED_MS:
            return
        self._round = None
        if position is not None:
            self._add_covering_position(CoveringPosition(closed.started_ms, position))
        if self._round_requested:
            self._start_round(now_ms)
        self._notify(now_ms)

    def _find_covering_position(self, closed: _StatusRound) -> Position | None:
        """Return a position that covers the writes acknowledged before the round.

        A majority in the primary's term proves that no later term had acknowledged a write when
        the round started. An acknowledged write of that term is durable on a majority, so the
        reported durable positions give an upper bound for it. A server that did not report is
        assumed to hold everything that the primary holds.

        :returns: ``None`` if the replies prove no position.
        """
        primaries = [s for s in closed.replies.values() if s.role is ServerRole.PRIMARY]
        if not primaries:
            return None
        primary = max(primaries, key=lambda status: status.term)
        agreeing = sum(status.term == primary.term for status in closed.replies.values())
        if agreeing < self._group.majority:
            return None
        missing = len(self._group.servers) - len(closed.replies)
        durable_positions = [status.durable for status in closed.replies.values()]
        durable_positions += [primary.durable] * missing
        return sorted(durable_positions, reverse=True)[self._group.majority - 1]

    def _add_covering_position(self, covering: CoveringPosition) -> None:
        covering_positions = self._covering_positions
        has_two = len(covering_positions) >= 2
        if (
            has_two
            and covering_positions[-1].started_ms - covering_positions[-2].started_ms
            < COVERING_POSITION_SPACING_MS
        ):
            covering_positions.pop()
        if covering_positions:
            covering = CoveringPosition(
                covering.started_ms, max(covering.position, covering_positions[-1].position)
            )
        covering_positions.append(covering)
        while (
            covering_positions[0].started_ms < covering.started_ms - COVERING_POSITION_RETENTION_MS
        ):
            covering_positions.popleft()

    # Failure detection

    def primary_failed_ms(self, now_ms: int) -> int:
        """Return how long the group has had no responsive primary, 0 if the primary answers."""
        primary = self.primary()
        if primary is not None:
            self._no_primary_since_ms = None
            return self.unresponsive_ms(primary.server, now_ms)
        if self._no_primary_since_ms is None:
            self._no_primary_since_ms = now_ms
        return now_ms - self._no_primary_since_ms

    def stalled_ms(self, now_ms: int) -> int:
        """Return how long writes of the primary have not become durable on a majority, else 0."""
        return 0 if self._stalled_since_ms is None else now_ms - self._stalled_since_ms

    def unresponsive_ms(self, server: str, now_ms: int) -> int:
        """Return how long a server has not answered queries, 0 if it answers."""
        since_ms = self._unresponsive_since_ms.get(server, now_ms)
        sent_ms = self._query_sent_ms.get(server, now_ms)
        if now_ms - sent_ms >= QUERY_UNANSWERED_MS:
            since_ms = min(since_ms, sent_ms)
        return now_ms - since_ms

    def _update_stall(self, now_ms: int) -> None:
        primary = self.primary()
        if primary is None:
            self._stalled_since_ms = None
            return
        positions_in_term = [s.durable for s in self._statuses.values() if s.term == primary.term]
        positions_in_term += [ORIGIN] * self._group.majority
        committed = sorted(positions_in_term, reverse=True)[self._group.majority - 1]
        if committed >= primary.durable:
            self._stalled_since_ms = None
        elif committed != self._committed or self._stalled_since_ms is None:
            self._stalled_since_ms = now_ms
        self._committed = committed

    def _notify(self, now_ms: int) -> None:
        for listener in self._listeners:
            listener(now_ms)


def _progress_key(status: ServerStatus) -> tuple[int, bool, Position, Position]:
    """Return the sort key that orders a server's statuses from older to newer.

    It never decreases, except when the server truncates a log tail that a new primary replaced.
    """
    unfenced = status.role is not ServerRole.FENCED
    return status.term, unfenced, status.durable, status.applied
