"""Reads: the position that each must see, the server that serves it, retries elsewhere."""

from collections.abc import Callable
from dataclasses import dataclass, field

from figcrank.coordination._actions import CountMetric
from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._pool import Pool
from figcrank.coordination.groups._queues import FairQueue, Queued
from figcrank.coordination.groups._writes import (
    ANSWER_MARGIN_MS,
    MAX_QUEUED_PER_WORKSPACE,
    RETRY_AFTER_MS,
    SERVICE_WEIGHT,
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

# A read that a replica can serve waits this long for the replica's slot before the primary may
# serve it.
SPILL_MS = 20
# A bounded read is sent with this much of its age bound still to go.
AGE_MARGIN_MS = 20
SLOW_MS = 50
# A read that found no server that is far enough waits this long before all are tried again.
CATCH_UP_MS = 5
MAX_PARKED = 64
RETRY_BUDGET = 20.0
RETRY_RATIO = 0.2


@dataclass(slots=True, eq=False)
class _Read:
    """A read in hand.

    :param failed: servers that failed it since all were tried last.
    :param not_before_ms: time before which it is not tried again.
    """

    request: OwnedRequest
    deadline_ms: int
    arrived_ms: int
    on_answer: OnAnswer
    failed: set[str] = field(default_factory=set)
    not_before_ms: int = 0
    answered: bool = False


class Reads:
    """Sends each read to the best server that provably holds what it must see.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param group: the group.
    :param view: statuses of its servers and the positions that cover acknowledged writes.
    :param pool: connections to the servers.
    """

    def __init__(
        self, settings: CoreSettings, port: Port, group: Group, view: GroupView, pool: Pool
    ) -> None:
        self._zone = settings.host.availability_zone
        self._port = port
        self._group = group
        self._view = view
        self._pool = pool
        self._uncovered: list[_Read] = []
        self._queue: FairQueue[_Read] = FairQueue(MAX_QUEUED_PER_WORKSPACE)
        self._parked: list[_Read] = []
        self._running: set[_Read] = set()
        self._slow_ms: dict[str, int] = {}
        self._service_ms = 5.0
        self._retries_left = RETRY_BUDGET
        self._dispatching = False

    @property
    def in_hand(self) -> int:
        """Return the number of reads that are not answered yet."""
        waiting = len(self._uncovered) + len(self._queue) + len(self._parked)
        return waiting + len(self._running)

    def submit(
        self, request: OwnedRequest, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Run a read; calls back exactly once."""
        self._retries_left = min(RETRY_BUDGET, self._retries_left + RETRY_RATIO)
        wait_ms = self._expected_wait_ms(now_ms)
        if now_ms + wait_ms > deadline_ms - ANSWER_MARGIN_MS:
            message = "The request could not start within its time."
            on_answer(Failure.not_run(FailureKind.HELD_TOO_LONG, message, wait_ms), now_ms)
            return
        read = _Read(request, deadline_ms, now_ms, on_answer)
        self._enqueue(read, now_ms)
        self.dispatch(now_ms)

    def dispatch(self, now_ms: int) -> None:
        """Start the reads that a server can serve now."""
        if self._dispatching:
            return
        self._dispatching = True
        self._cover(now_ms)
        parked, self._parked = self._parked, []
        for read in parked:
            self._try(read, now_ms)
        while self._queue and len(self._parked) < MAX_PARKED and self._has_capacity(now_ms):
            entry = self._queue.pop()
            if entry is not None:
                self._try(entry.item, now_ms)
        self._dispatching = False

    def tick(self, now_ms: int) -> None:
        """Refuse the reads whose time has passed."""
        for entry in self._queue.expire(now_ms):
            self._finish(entry.item, _too_late(), now_ms)
        limit_ms = now_ms + ANSWER_MARGIN_MS
        for read in [*self._uncovered, *self._parked, *self._running]:
            if read.deadline_ms <= limit_ms:
                self._finish(read, _too_late(), now_ms)
        if self._uncovered:
            self._view.request_round(now_ms)
        self.dispatch(now_ms)

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """Refuse the waiting reads of a key."""
        queued = [entry.item for entry in self._queue.remove_key(key_id)]
        others = [r for r in [*self._uncovered, *self._parked] if r.request.key_id == key_id]
        for read in queued + others:
            failure = Failure.not_run(FailureKind.BAD_KEY, "The key was withdrawn.")
            self._finish(read, failure, now_ms)

    def flush(self, failure: Failure, now_ms: int) -> None:
        """Refuse the waiting reads."""
        queued = []
        while self._queue:
            entry = self._queue.pop()
            if entry is not None:
                queued.append(entry.item)
        for read in [*queued, *self._uncovered, *self._parked]:
            self._finish(read, failure, now_ms)

    def _expected_wait_ms(self, now_ms: int) -> int:
        slots = max(1, self._pool.share.slots * len(self._usable(now_ms)))
        return int((len(self._queue) + len(self._parked)) * self._service_ms / slots)

    # What a read must see

    def _required(self, read: _Read, now_ms: int, margin_ms: int = 0) -> Position | None:
        """Return the oldest position that may answer, ``None`` if no round proves one yet."""
        profile = read.request.profile
        since_ms = read.arrived_ms
        if profile.mode is ProfileMode.BOUNDED:
            # What covers the time of arrival serves a fresh read, so it serves this one.
            since_ms = min(since_ms, now_ms - profile.max_staleness_ms + margin_ms)
        covered = self._view.bound_since(since_ms)
        return None if covered is None else max(covered, read.request.position)

    def _enqueue(self, read: _Read, now_ms: int) -> None:
        if self._required(read, now_ms, AGE_MARGIN_MS) is None:
            self._uncovered.append(read)
            self._view.request_round(now_ms)
            return
        self._push(read, now_ms)

    def _cover(self, now_ms: int) -> None:
        uncovered, self._uncovered = self._uncovered, []
        for read in uncovered:
            if self._required(read, now_ms, AGE_MARGIN_MS) is None:
                self._uncovered.append(read)
            else:
                self._push(read, now_ms)

    def _push(self, read: _Read, now_ms: int) -> None:
        request = read.request
        deadline_ms = read.deadline_ms - ANSWER_MARGIN_MS
        queued = Queued(request.workspace, request.weight, request.key_id, deadline_ms, read)
        if not self._queue.push(queued):
            message = "Too many requests of the workspace are waiting."
            failure = Failure.not_run(FailureKind.QUEUE_FULL, message, RETRY_AFTER_MS)
            self._finish(read, failure, now_ms)

    # Which server serves it

    def _has_capacity(self, now_ms: int) -> bool:
        return any(self._pool.can_start(s.name, now_ms) for s in self._usable(now_ms))

    def _usable(self, now_ms: int) -> list[Server]:
        return [
            server
            for server in self._group.servers
            if not self._view.is_leaving(server.name)
            and not self._view.is_failing(server.name, now_ms)
        ]

    def _try(self, read: _Read, now_ms: int) -> None:
        if read.answered:
            return
        required = self._required(read, now_ms, AGE_MARGIN_MS)
        if required is None:
            self._uncovered.append(read)
            self._view.request_round(now_ms)
            return
        status = self._choose(read, required, now_ms)
        if status is None:
            self._parked.append(read)
            return
        self._start(read, status, required, now_ms)

    def _choose(self, read: _Read, required: Position, now_ms: int) -> ServerStatus | None:
        if now_ms < read.not_before_ms:
            return None
        eligible = self._eligible(read, required, now_ms)
        ready = [s for s in eligible if self._pool.can_start(s.server, now_ms)]
        replicas = [status for status in ready if status.role is not ServerRole.PRIMARY]
        if replicas:
            return min(replicas, key=self._cost)
        only_primary = all(status.role is ServerRole.PRIMARY for status in eligible)
        if only_primary or now_ms - read.arrived_ms >= SPILL_MS:
            return min(ready, key=self._cost, default=None)
        return None

    def _eligible(self, read: _Read, required: Position, now_ms: int) -> list[ServerStatus]:
        usable = {server.name for server in self._usable(now_ms)} - read.failed
        found = [status for status in self._view.statuses if status.server in usable]
        primary = self._view.primary()
        return [s for s in found if s.applied >= required or s is primary]

    def _cost(self, status: ServerStatus) -> tuple[bool, int, int]:
        server = self._group.server(status.server)
        elsewhere = server.availability_zone != self._zone
        in_flight = self._pool.in_flight(status.server)
        return elsewhere, in_flight, self._slow_ms.get(status.server, 0)

    # Attempts

    def _start(self, read: _Read, status: ServerStatus, required: Position, now_ms: int) -> None:
        connection = self._pool.acquire(status.server)
        self._running.add(read)
        is_primary = status.role is ServerRole.PRIMARY
        primary_term = status.term if is_primary else None
        work = ReadWork(read.request.statements, required, primary_term)
        timeout_ms = attempt_timeout_ms(read.deadline_ms, now_ms)

        def finished(result: WorkResult, at_ms: int) -> None:
            self._service_ms += SERVICE_WEIGHT * (at_ms - now_ms - self._service_ms)
            if at_ms - now_ms >= SLOW_MS:
                self._slow_ms[status.server] = at_ms
            self._running.discard(read)
            if not read.answered:
                self._on_result(read, status, result, at_ms)
            self.dispatch(at_ms)

        trace = read.request.traceparent
        self._pool.run(connection, work, timeout_ms, trace, now_ms, finished)

    def _on_result(
        self, read: _Read, status: ServerStatus, result: WorkResult, now_ms: int
    ) -> None:
        if isinstance(result, WorkFailed):
            self._on_failed(read, status.server, result, now_ms)
            return
        if self._has_aged(read, result, now_ms):
            self._enqueue(read, now_ms)
            return
        replica = status.role is not ServerRole.PRIMARY
        self._port.emit(CountMetric("reads.replica" if replica else "reads.primary"))
        answer = OwnedAnswer(result.results, result.position, status.server, self._group.name)
        self._finish(read, answer, now_ms)

    def _has_aged(self, read: _Read, done: WorkDone, now_ms: int) -> bool:
        """Return whether a bounded answer has become too old while it was under way."""
        if read.request.profile.mode is not ProfileMode.BOUNDED:
            return False
        required = self._required(read, now_ms)
        return required is None or done.position < required

    def _on_failed(self, read: _Read, server: str, failed: WorkFailed, now_ms: int) -> None:
        if failed.kind in (WorkFailureKind.SQL, WorkFailureKind.DUPLICATE):
            failure = Failure.not_run(FailureKind.STATEMENT_FAILED, failed.message)
            self._finish(read, failure, now_ms)
            return
        if failed.kind is WorkFailureKind.LOST and not self._may_retry():
            message = "The read failed and the budget for retries is used up."
            failure = Failure.not_run(FailureKind.HELD_TOO_LONG, message, RETRY_AFTER_MS)
            self._finish(read, failure, now_ms)
            return
        read.failed.add(server)
        if failed.kind is WorkFailureKind.STALE_TERM:
            self._view.request_round(now_ms)
        if not self._eligible_left(read, now_ms):
            read.failed.clear()
            read.not_before_ms = now_ms + CATCH_UP_MS
        self._parked.append(read)

    def _eligible_left(self, read: _Read, now_ms: int) -> bool:
        required = self._required(read, now_ms, AGE_MARGIN_MS)
        return required is not None and bool(self._eligible(read, required, now_ms))

    def _may_retry(self) -> bool:
        if self._retries_left < 1:
            return False
        self._retries_left -= 1
        return True

    def _finish(self, read: _Read, answer: OwnedAnswer | Failure, now_ms: int) -> None:
        if read.answered:
            return
        read.answered = True
        for waiting in (self._uncovered, self._parked):
            if read in waiting:
                waiting.remove(read)
        self._running.discard(read)
        read.on_answer(answer, now_ms)


def _too_late() -> Failure:
    message = "The read's time passed before a server could answer it."
    return Failure.not_run(FailureKind.HELD_TOO_LONG, message, RETRY_AFTER_MS)
