"""Writes: queued for a primary, run, acknowledged by a majority; unknown outcomes are settled."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from figcrank.coordination._call import RETRY_AFTER_MS
from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._majority import MajorityWait
from figcrank.coordination.groups._pool import Connection, ConnectionPool
from figcrank.coordination.groups._queues import FairQueue, QueueEntry
from figcrank.coordination.groups._settlement import CommitAttempt, Settlement
from figcrank.protocol import (
    Failure,
    FailureKind,
    OwnedAnswer,
    OwnedRequest,
    RecordReply,
    StatementResult,
    WorkDone,
    WorkFailed,
    WorkFailureKind,
    WorkResult,
    WriteWork,
)
from figcrank.state import Group, Position, ServerStatus

OnAnswer = Callable[[OwnedAnswer | Failure, int], None]

MAX_QUEUED_PER_WORKSPACE = 256
# Time reserved so that a refusal reaches the entry host before the request times out there.
ANSWER_MARGIN_MS = 10
MIN_ATTEMPT_MS = 50
# Pause after a server refused a stale term, to wait for a newer status.
STALE_TERM_PAUSE_MS = 10
# No writes are sent to a primary that has made no progress for this long.
STALL_PAUSE_MS = 150
SERVICE_TIME_SMOOTHING = 0.1


@dataclass(slots=True, eq=False)
class _PendingWrite:
    """A write that has not been answered yet.

    :param attempt: latest attempt that may have taken effect, ``None`` if there is none.
    :param replayed: whether the answer comes from the stored record of an earlier request.
    """

    request: OwnedRequest
    deadline_ms: int
    on_answer: OnAnswer
    attempt: CommitAttempt | None = None
    results: tuple[StatementResult, ...] = ()
    replayed: bool = False


class WriteExecutor:
    """Runs every write at most once and answers it when its outcome is known.

    A write whose deadline passes first is answered with an unknown outcome if it was sent.

    :param settings: static settings of this host.
    :param outbox: sends requests and emits actions.
    :param group: the group.
    :param view: statuses of its servers.
    :param pool: connections to the servers.
    :param majority_wait: waits until a position is durable on a majority.
    :param settlement: settles writes with an unknown outcome.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        group: Group,
        view: GroupView,
        pool: ConnectionPool,
        majority_wait: MajorityWait,
        settlement: Settlement,
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._group = group
        self._view = view
        self._pool = pool
        self._majority_wait = majority_wait
        self._settlement = settlement
        self._queue: FairQueue[_PendingWrite] = FairQueue(MAX_QUEUED_PER_WORKSPACE)
        self._in_flight: set[_PendingWrite] = set()
        self._paused_until_ms = 0
        self._paused = False
        self._mean_service_ms = 5.0

    @property
    def queued(self) -> int:
        """Return the number of writes that wait to be sent."""
        return len(self._queue)

    @property
    def unanswered(self) -> int:
        """Return the number of unanswered writes."""
        return len(self._queue) + len(self._in_flight)

    @property
    def in_flight(self) -> int:
        """Return the number of sent writes with a pending outcome."""
        return len(self._in_flight)

    def set_paused(self, paused: bool) -> None:
        """Stop sending queued writes during a planned switch, or resume sending them."""
        self._paused = paused

    def submit(
        self, request: OwnedRequest, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Run a write; calls back exactly once."""
        wait_ms = self._expected_wait_ms()
        if now_ms + wait_ms > deadline_ms - ANSWER_MARGIN_MS:
            message = "The request cannot start before its deadline."
            on_answer(Failure.not_run(FailureKind.HELD_TOO_LONG, message, wait_ms), now_ms)
            return
        write = _PendingWrite(request, deadline_ms, on_answer)
        if self._push(write):
            self.dispatch(now_ms)
            return
        message = "Too many requests of the workspace are queued."
        retry_ms = max(RETRY_AFTER_MS, wait_ms)
        on_answer(Failure.not_run(FailureKind.QUEUE_FULL, message, retry_ms), now_ms)

    def dispatch(self, now_ms: int) -> None:
        """Send queued writes while the primary has slots for them."""
        while self._queue:
            primary = self.usable_primary(now_ms)
            if primary is None or not self._pool.can_start(primary.server, now_ms):
                return
            entry = self._queue.pop()
            if entry is None:
                return
            self._start(entry.item, primary, now_ms)

    def usable_primary(self, now_ms: int) -> ServerStatus | None:
        """Return the primary if work may be sent to it now, ``None`` otherwise."""
        if self._paused or now_ms < self._paused_until_ms:
            return None
        primary = self._view.primary()
        if primary is None or self._view.is_unresponsive(primary.server, now_ms):
            return None
        return None if self._view.stalled_ms(now_ms) >= STALL_PAUSE_MS else primary

    def pause_briefly(self, now_ms: int) -> None:
        """Stop sending writes briefly while the status of the primary is refreshed."""
        self._paused_until_ms = now_ms + STALE_TERM_PAUSE_MS
        self._view.request_round(now_ms)

    def tick(self, now_ms: int) -> None:
        """Fail the writes whose deadline has passed."""
        for entry in self._queue.expire(now_ms):
            self._finish(entry.item, _deadline_failure(), now_ms)
        limit_ms = now_ms + ANSWER_MARGIN_MS // 2
        for write in [write for write in self._in_flight if write.deadline_ms <= limit_ms]:
            failure = Failure.unknown(
                "The outcome of the write was not known before its deadline.", RETRY_AFTER_MS
            )
            self._finish(write, failure, now_ms)

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """Refuse the queued writes of a withdrawn key."""
        for entry in self._queue.remove_key(key_id):
            failure = Failure.not_run(FailureKind.BAD_KEY, "The key was withdrawn.")
            self._finish(entry.item, failure, now_ms)

    def flush(self, failure: Failure, now_ms: int) -> None:
        """Refuse the queued writes with ``failure``."""
        while self._queue:
            entry = self._queue.pop()
            if entry is not None:
                self._finish(entry.item, failure, now_ms)

    def _expected_wait_ms(self) -> int:
        slots = max(1, self._pool.share.slots)
        return int(len(self._queue) * self._mean_service_ms / slots)

    def _push(self, write: _PendingWrite) -> bool:
        request = write.request
        deadline_ms = write.deadline_ms - ANSWER_MARGIN_MS
        return self._queue.push(
            QueueEntry(request.workspace, request.weight, request.key_id, deadline_ms, write)
        )

    # Attempts

    def _start(self, write: _PendingWrite, primary: ServerStatus, now_ms: int) -> None:
        connection = self._pool.acquire(primary.server)
        request = write.request
        write.attempt = CommitAttempt(
            request.request_id, primary.server, primary.term, connection.session_pid
        )
        self._in_flight.add(write)
        work = WriteWork(request.request_id, primary.term, request.statements)
        timeout_ms = attempt_timeout_ms(write.deadline_ms, now_ms)

        def finished(result: WorkResult, at_ms: int) -> None:
            self._update_service_time(at_ms - now_ms)
            self._on_result(write, connection, result, at_ms)

        self._pool.run(connection, work, timeout_ms, request.traceparent, now_ms, finished)

    def _on_result(
        self, write: _PendingWrite, connection: Connection, result: WorkResult, now_ms: int
    ) -> None:
        if write not in self._in_flight:
            self.dispatch(now_ms)
            return
        if isinstance(result, WorkDone):
            write.results = result.results
            self._clear_session_pid(write)
            self._await_majority(write, connection.server, result.position, now_ms)
        else:
            self._on_failed(write, result, now_ms)
        self.dispatch(now_ms)

    def _on_failed(self, write: _PendingWrite, failed: WorkFailed, now_ms: int) -> None:
        if failed.kind is WorkFailureKind.SQL:
            failure = Failure.not_run(FailureKind.STATEMENT_FAILED, failed.message)
            self._finish(write, failure, now_ms)
        elif failed.kind is WorkFailureKind.DUPLICATE:
            write.replayed = True
            self._clear_session_pid(write)
            self._settle(write, now_ms)
        elif failed.kind is WorkFailureKind.LOST and failed.commit_sent:
            self._settle(write, now_ms)
        else:
            if failed.kind is WorkFailureKind.STALE_TERM:
                self.pause_briefly(now_ms)
            self._requeue(write, now_ms)

    def _clear_session_pid(self, write: _PendingWrite) -> None:
        """Clear the process id, so that no look-up ends a session that has finished its work."""
        if write.attempt is not None:
            write.attempt = replace(write.attempt, session_pid=None)

    def _await_majority(
        self, write: _PendingWrite, server: str, position: Position, now_ms: int
    ) -> None:
        def durable(at_ms: int) -> None:
            answer = OwnedAnswer(write.results, position, server, self._group.name, write.replayed)
            self._finish(write, answer, at_ms)

        def replaced(at_ms: int) -> None:
            if write in self._in_flight:
                self._settle(write, at_ms)

        self._majority_wait.wait(server, position, now_ms, durable, replaced)

    def _settle(self, write: _PendingWrite, now_ms: int) -> None:
        """Determine whether the newest attempt committed, before any further attempt."""
        attempt = write.attempt
        if attempt is None:
            self._requeue(write, now_ms)
            return

        def settled(record: RecordReply, server: str, at_ms: int) -> None:
            if write not in self._in_flight:
                return
            if not record.found:
                self._requeue(write, at_ms)
                return
            write.results = record.results
            self._await_majority(write, server, record.position, at_ms)

        self._settlement.settle(attempt, write.deadline_ms, now_ms, settled)

    def _requeue(self, write: _PendingWrite, now_ms: int) -> None:
        """Queue a write again; requires that no earlier attempt took effect."""
        self._in_flight.discard(write)
        write.attempt = None
        write.replayed = False
        if now_ms >= write.deadline_ms - ANSWER_MARGIN_MS or not self._push(write):
            write.on_answer(_deadline_failure(), now_ms)
            return
        self.dispatch(now_ms)

    def _finish(self, write: _PendingWrite, answer: OwnedAnswer | Failure, now_ms: int) -> None:
        was_sent = write in self._in_flight
        if write.attempt is not None and not was_sent:
            return
        self._in_flight.discard(write)
        write.on_answer(answer, now_ms)

    def _update_service_time(self, elapsed_ms: int) -> None:
        self._mean_service_ms += SERVICE_TIME_SMOOTHING * (elapsed_ms - self._mean_service_ms)


def attempt_timeout_ms(deadline_ms: int, now_ms: int) -> int:
    """Return the time limit of one attempt: half of the remaining time, to allow for a retry."""
    remaining_ms = deadline_ms - now_ms - ANSWER_MARGIN_MS
    return max(1, min(remaining_ms, max(MIN_ATTEMPT_MS, remaining_ms // 2)))


def _deadline_failure() -> Failure:
    message = "The request's deadline passed before it could run."
    return Failure.not_run(FailureKind.HELD_TOO_LONG, message, RETRY_AFTER_MS)
