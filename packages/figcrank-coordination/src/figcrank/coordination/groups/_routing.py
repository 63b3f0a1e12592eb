"""Read routing: required positions, choice of a server, and retries on other servers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from figcrank.coordination._actions import CountMetric
from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._pool import ConnectionPool
from figcrank.coordination.groups._queues import FairQueue, QueueEntry
from figcrank.coordination.groups._writes import (
    ANSWER_MARGIN_MS,
    MAX_QUEUED_PER_WORKSPACE,
    RETRY_AFTER_MS,
    SERVICE_TIME_SMOOTHING,
    attempt_timeout_ms,
)
from figcrank.protocol import (
    Failure,
    FailureKind,
    OwnedAnswer,
    OwnedRequest,
    ReadWork,
    WorkDone,
    WorkFailed,
    WorkFailureKind,
    WorkResult,
)
from figcrank.state import Group, Position, ProfileMode, Server, ServerRole, ServerStatus

OnAnswer = Callable[[OwnedAnswer | Failure, int], None]

# A read that a replica can serve waits this long for a slot there before it may go to the primary.
PRIMARY_FALLBACK_MS = 20
# A bounded read is sent only while this much of its staleness bound is left.
STALENESS_MARGIN_MS = 20
SLOW_READ_MS = 50
# Delay before a read that failed on every eligible server is retried, so that replicas catch up.
CATCH_UP_WAIT_MS = 5
MAX_PARKED_READS = 64
RETRY_BUDGET = 20.0
RETRY_RATIO = 0.2


@dataclass(slots=True, eq=False)
class _PendingRead:
    """A read that has not been answered yet.

    :param failed_servers: servers on which it failed, cleared once no eligible server is left.
    :param not_before_ms: time before which it is not retried.
    """

    request: OwnedRequest
    deadline_ms: int
    arrived_ms: int
    on_answer: OnAnswer
    failed_servers: set[str] = field(default_factory=set)
    not_before_ms: int = 0
    answered: bool = False


class ReadRouter:
    """Sends each read to the best server that provably holds the data it must see.

    :param settings: static settings of this host.
    :param outbox: emits metrics.
    :param group: the group.
    :param view: statuses of its servers and the positions that cover acknowledged writes.
    :param pool: connections to the servers.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        group: Group,
        view: GroupView,
        pool: ConnectionPool,
    ) -> None:
        self._zone = settings.host.availability_zone
        self._outbox = outbox
        self._group = group
        self._view = view
        self._pool = pool
        self._awaiting_round: list[_PendingRead] = []
        self._queue: FairQueue[_PendingRead] = FairQueue(MAX_QUEUED_PER_WORKSPACE)
        self._parked: list[_PendingRead] = []
        self._running: set[_PendingRead] = set()
        self._last_slow_ms: dict[str, int] = {}
        self._mean_service_ms = 5.0
        self._retries_left = RETRY_BUDGET
        self._dispatching = False

    @property
    def unanswered(self) -> int:
        """Return the number of unanswered reads."""
        waiting = len(self._awaiting_round) + len(self._queue) + len(self._parked)
        return waiting + len(self._running)

    def submit(
        self, request: OwnedRequest, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Run a read; calls back exactly once."""
        self._retries_left = min(RETRY_BUDGET, self._retries_left + RETRY_RATIO)
        wait_ms = self._expected_wait_ms(now_ms)
        if now_ms + wait_ms > deadline_ms - ANSWER_MARGIN_MS:
            message = "The request cannot start before its deadline."
            on_answer(Failure.not_run(FailureKind.HELD_TOO_LONG, message, wait_ms), now_ms)
            return
        read = _PendingRead(request, deadline_ms, now_ms, on_answer)
        self._enqueue(read, now_ms)
        self.dispatch(now_ms)

    def dispatch(self, now_ms: int) -> None:
        """Start the reads for which an eligible server has a free slot."""
        if self._dispatching:
            return
        self._dispatching = True
        self._enqueue_reads_with_position(now_ms)
        parked, self._parked = self._parked, []
        for read in parked:
            self._try_start(read, now_ms)
        while self._queue and len(self._parked) < MAX_PARKED_READS and self._has_capacity(now_ms):
            entry = self._queue.pop()
            if entry is not None:
                self._try_start(entry.item, now_ms)
        self._dispatching = False

    def tick(self, now_ms: int) -> None:
        """Refuse the reads whose deadline has passed and start others."""
        for entry in self._queue.expire(now_ms):
            self._finish(entry.item, _deadline_failure(), now_ms)
        limit_ms = now_ms + ANSWER_MARGIN_MS
        for read in [*self._awaiting_round, *self._parked, *self._running]:
            if read.deadline_ms <= limit_ms:
                self._finish(read, _deadline_failure(), now_ms)
        if self._awaiting_round:
            self._view.request_round(now_ms)
        self.dispatch(now_ms)

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """Refuse the waiting reads of a withdrawn key."""
        queued = [entry.item for entry in self._queue.remove_key(key_id)]
        others = [r for r in [*self._awaiting_round, *self._parked] if r.request.key_id == key_id]
        for read in queued + others:
            failure = Failure.not_run(FailureKind.BAD_KEY, "The key was withdrawn.")
            self._finish(read, failure, now_ms)

    def flush(self, failure: Failure, now_ms: int) -> None:
        """Refuse all waiting reads with ``failure``."""
        queued = []
        while self._queue:
            entry = self._queue.pop()
            if entry is not None:
                queued.append(entry.item)
        for read in [*queued, *self._awaiting_round, *self._parked]:
            self._finish(read, failure, now_ms)

    def _expected_wait_ms(self, now_ms: int) -> int:
        slots = max(1, self._pool.share.slots * len(self._usable_servers(now_ms)))
        return int((len(self._queue) + len(self._parked)) * self._mean_service_ms / slots)

    # Required position

    def _required_position(
        self, read: _PendingRead, now_ms: int, margin_ms: int = 0
    ) -> Position | None:
        """Return the lowest position that a server must have applied to serve a read.

        :returns: ``None`` if no polling round has established it yet.
        """
        profile = read.request.profile
        since_ms = read.arrived_ms
        if profile.mode is ProfileMode.BOUNDED:
            # A position that covers the arrival time is fresh enough for every profile, so a
            # bounded read never needs a later one.
            since_ms = min(since_ms, now_ms - profile.max_staleness_ms + margin_ms)
        covered = self._view.position_covering(since_ms)
        return None if covered is None else max(covered, read.request.position)

    def _enqueue(self, read: _PendingRead, now_ms: int) -> None:
        if self._required_position(read, now_ms, STALENESS_MARGIN_MS) is None:
            self._awaiting_round.append(read)
            self._view.request_round(now_ms)
            return
        self._push(read, now_ms)

    def _enqueue_reads_with_position(self, now_ms: int) -> None:
        awaiting_round, self._awaiting_round = self._awaiting_round, []
        for read in awaiting_round:
            if self._required_position(read, now_ms, STALENESS_MARGIN_MS) is None:
                self._awaiting_round.append(read)
            else:
                self._push(read, now_ms)

    def _push(self, read: _PendingRead, now_ms: int) -> None:
        request = read.request
        deadline_ms = read.deadline_ms - ANSWER_MARGIN_MS
        queued = QueueEntry(request.workspace, request.weight, request.key_id, deadline_ms, read)
        if not self._queue.push(queued):
            message = "Too many requests of the workspace are queued."
            failure = Failure.not_run(FailureKind.QUEUE_FULL, message, RETRY_AFTER_MS)
            self._finish(read, failure, now_ms)

    # Server selection

    def _has_capacity(self, now_ms: int) -> bool:
        return any(self._pool.can_start(s.name, now_ms) for s in self._usable_servers(now_ms))

    def _usable_servers(self, now_ms: int) -> list[Server]:
        return [
            server
            for server in self._group.servers
            if not self._view.is_draining(server.name)
            and not self._view.is_unresponsive(server.name, now_ms)
        ]

    def _try_start(self, read: _PendingRead, now_ms: int) -> None:
        if read.answered:
            return
        required = self._required_position(read, now_ms, STALENESS_MARGIN_MS)
        if required is None:
            self._awaiting_round.append(read)
            self._view.request_round(now_ms)
            return
        status = self._choose(read, required, now_ms)
        if status is None:
            self._parked.append(read)
            return
        self._start(read, status, required, now_ms)

    def _choose(self, read: _PendingRead, required: Position, now_ms: int) -> ServerStatus | None:
        if now_ms < read.not_before_ms:
            return None
        eligible = self._eligible(read, required, now_ms)
        ready = [s for s in eligible if self._pool.can_start(s.server, now_ms)]
        replicas = [status for status in ready if status.role is not ServerRole.PRIMARY]
        if replicas:
            return min(replicas, key=self._server_preference)
        only_primary = all(status.role is ServerRole.PRIMARY for status in eligible)
        if only_primary or now_ms - read.arrived_ms >= PRIMARY_FALLBACK_MS:
            return min(ready, key=self._server_preference, default=None)
        return None

    def _eligible(self, read: _PendingRead, required: Position, now_ms: int) -> list[ServerStatus]:
        usable = {server.name for server in self._usable_servers(now_ms)} - read.failed_servers
        found = [status for status in self._view.statuses if status.server in usable]
        primary = self._view.primary()
        return [s for s in found if s.applied >= required or s is primary]

    def _server_preference(self, status: ServerStatus) -> tuple[bool, int, int]:
        server = self._group.server(status.server)
        elsewhere = server.availability_zone != self._zone
        in_flight = self._pool.in_flight(status.server)
        return elsewhere, in_flight, self._last_slow_ms.get(status.server, 0)

    # Attempts

    def _start(
        self, read: _PendingRead, status: ServerStatus, required: Position, now_ms: int
    ) -> None:
        connection = self._pool.acquire(status.server)
        self._running.add(read)
        is_primary = status.role is ServerRole.PRIMARY
        primary_term = status.term if is_primary else None
        work = ReadWork(read.request.statements, required, primary_term)
        timeout_ms = attempt_timeout_ms(read.deadline_ms, now_ms)

        def finished(result: WorkResult, at_ms: int) -> None:
            self._mean_service_ms += SERVICE_TIME_SMOOTHING * (
                at_ms - now_ms - self._mean_service_ms
            )
            if at_ms - now_ms >= SLOW_READ_MS:
                self._last_slow_ms[status.server] = at_ms
            self._running.discard(read)
            if not read.answered:
                self._on_result(read, status, result, at_ms)
            self.dispatch(at_ms)

        trace = read.request.traceparent
        self._pool.run(connection, work, timeout_ms, trace, now_ms, finished)

    def _on_result(
        self, read: _PendingRead, status: ServerStatus, result: WorkResult, now_ms: int
    ) -> None:
        if isinstance(result, WorkFailed):
            self._on_failed(read, status.server, result, now_ms)
            return
        if self._exceeds_staleness_bound(read, result, now_ms):
            self._enqueue(read, now_ms)
            return
        replica = status.role is not ServerRole.PRIMARY
        self._outbox.emit(CountMetric("reads.replica" if replica else "reads.primary"))
        answer = OwnedAnswer(result.results, result.position, status.server, self._group.name)
        self._finish(read, answer, now_ms)

    def _exceeds_staleness_bound(self, read: _PendingRead, done: WorkDone, now_ms: int) -> bool:
        """Return whether the result of a bounded read became older than its bound in transit."""
        if read.request.profile.mode is not ProfileMode.BOUNDED:
            return False
        required = self._required_position(read, now_ms)
        return required is None or done.position < required

    def _on_failed(self, read: _PendingRead, server: str, failed: WorkFailed, now_ms: int) -> None:
        if failed.kind in (WorkFailureKind.SQL, WorkFailureKind.DUPLICATE):
            failure = Failure.not_run(FailureKind.STATEMENT_FAILED, failed.message)
            self._finish(read, failure, now_ms)
            return
        if failed.kind is WorkFailureKind.LOST and not self._consume_retry():
            message = "The read failed and the retry budget is exhausted."
            failure = Failure.not_run(FailureKind.HELD_TOO_LONG, message, RETRY_AFTER_MS)
            self._finish(read, failure, now_ms)
            return
        read.failed_servers.add(server)
        if failed.kind is WorkFailureKind.STALE_TERM:
            self._view.request_round(now_ms)
        if not self._has_eligible_server(read, now_ms):
            read.failed_servers.clear()
            read.not_before_ms = now_ms + CATCH_UP_WAIT_MS
        self._parked.append(read)

    def _has_eligible_server(self, read: _PendingRead, now_ms: int) -> bool:
        required = self._required_position(read, now_ms, STALENESS_MARGIN_MS)
        return required is not None and bool(self._eligible(read, required, now_ms))

    def _consume_retry(self) -> bool:
        if self._retries_left < 1:
            return False
        self._retries_left -= 1
        return True

    def _finish(self, read: _PendingRead, answer: OwnedAnswer | Failure, now_ms: int) -> None:
        if read.answered:
            return
        read.answered = True
        for waiting in (self._awaiting_round, self._parked):
            if read in waiting:
                waiting.remove(read)
        self._running.discard(read)
        read.on_answer(answer, now_ms)


def _deadline_failure() -> Failure:
    message = "The read's deadline passed before a server answered it."
    return Failure.not_run(FailureKind.HELD_TOO_LONG, message, RETRY_AFTER_MS)
