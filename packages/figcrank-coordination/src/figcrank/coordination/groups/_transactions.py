"""Callers' interactive transactions, each pinned to one connection to the primary."""

from collections.abc import Callable

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._lost_commits import commit_record_key
from figcrank.coordination.groups._majority import MajorityWait
from figcrank.coordination.groups._open_transactions import (
    OnAnswer,
    OpenTransaction,
    PendingStep,
    make_transaction_id,
    refusal_of,
    step_failure,
    transaction_lost_failure,
    unknown_transaction_failure,
)
from figcrank.coordination.groups._pool import Connection, ConnectionPool
from figcrank.coordination.groups._queues import FairQueue, QueueEntry
from figcrank.coordination.groups._settlement import CommitAttempt, Settlement
from figcrank.coordination.groups._writes import (
    ANSWER_MARGIN_MS,
    MAX_QUEUED_PER_WORKSPACE,
    RETRY_AFTER_MS,
    WriteExecutor,
    attempt_timeout_ms,
)
from figcrank.protocol import (
    BeginWork,
    CommitWork,
    Failure,
    FailureKind,
    OwnedAnswer,
    RecordReply,
    RollbackWork,
    StatementResult,
    StatementsWork,
    TransactionStep,
    Work,
    WorkDone,
    WorkFailed,
    WorkFailureKind,
    WorkResult,
)
from figcrank.state import ORIGIN, Group, Position, RandomSource

ROLLBACK_TIMEOUT_MS = 200
TRANSACTION_ID_BITS = 64


class TransactionManager:
    """Begins, runs and ends callers' interactive transactions.

    :param settings: static settings of this host.
    :param outbox: records decisions.
    :param group: the group.
    :param view: statuses of its servers.
    :param pool: connections to the servers.
    :param majority_wait: waits until a position is durable on a majority.
    :param settlement: settles commits with an unknown outcome.
    :param writes: provides the primary that accepts work.
    :param random: random source for transaction ids.
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
        writes: WriteExecutor,
        random: RandomSource,
    ) -> None:
        self._random = random
        self._settings = settings
        self._outbox = outbox
        self._group = group
        self._view = view
        self._pool = pool
        self._majority_wait = majority_wait
        self._settlement = settlement
        self._writes = writes
        self._open: dict[str, OpenTransaction] = {}
        self._begin_queue: FairQueue[PendingStep] = FairQueue(MAX_QUEUED_PER_WORKSPACE)
        self._step_queue: FairQueue[PendingStep] = FairQueue(MAX_QUEUED_PER_WORKSPACE)
        self._running: set[PendingStep] = set()

    @property
    def unanswered(self) -> int:
        """Return the number of open transactions and unanswered steps."""
        return len(self._open) + len(self._begin_queue) + len(self._step_queue) + len(self._running)

    def step(
        self, step: TransactionStep, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Run a step of a transaction; calls back exactly once."""
        pending = PendingStep(step, deadline_ms, on_answer)
        if step.action == "begin":
            self._enqueue(self._begin_queue, pending, now_ms)
            return
        transaction = self._open.get(step.transaction)
        refusal = refusal_of(step, transaction)
        if refusal is not None or transaction is None:
            on_answer(refusal or unknown_transaction_failure(), now_ms)
            return
        pending.transaction = transaction
        transaction.pending_step = pending
        self._enqueue(self._step_queue, pending, now_ms)

    def dispatch(self, now_ms: int) -> None:
        """Start queued steps while slots are free; steps of open transactions go first."""
        while self._step_queue:
            if self._must_wait():
                return
            entry = self._step_queue.pop()
            if entry is not None and entry.item.transaction is not None:
                self._run_step(entry.item, entry.item.transaction, now_ms)
        while self._begin_queue:
            primary = self._writes.usable_primary(now_ms)
            if primary is None or not self._pool.can_start(primary.server, now_ms):
                return
            entry = self._begin_queue.pop()
            if entry is not None:
                self._begin(entry.item, primary.server, primary.term, now_ms)

    def tick(self, now_ms: int) -> None:
        """End idle transactions and fail the steps whose deadline has passed."""
        for entry in [*self._begin_queue.expire(now_ms), *self._step_queue.expire(now_ms)]:
            self._expire(entry.item, now_ms)
        limit_ms = now_ms + ANSWER_MARGIN_MS // 2
        for pending in [pending for pending in self._running if pending.deadline_ms <= limit_ms]:
            self._expire(pending, now_ms)
        self._end_transactions_of_replaced_primary(now_ms)
        idle_ms = self._settings.timings.transaction_idle_ms
        for transaction in list(self._open.values()):
            if transaction.pending_step is None and now_ms - transaction.idle_since_ms >= idle_ms:
                self._roll_back(transaction, "The transaction exceeded its idle timeout.", now_ms)
        self.dispatch(now_ms)

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """Refuse the queued steps of a withdrawn key and end its transactions."""
        failure = Failure.not_run(FailureKind.BAD_KEY, "The key was withdrawn.")
        for entry in [*self._begin_queue.remove_key(key_id), *self._step_queue.remove_key(key_id)]:
            self._answer(entry.item, failure, now_ms)
        for transaction in list(self._open.values()):
            if transaction.key_id != key_id:
                continue
            pending = transaction.pending_step
            if pending is not None and pending.commit_sent:
                continue
            self._end(transaction)
            self._pool.close(transaction.connection)
            if pending is not None:
                self._answer(pending, failure, now_ms)

    # Steps

    def _enqueue(self, queue: FairQueue[PendingStep], pending: PendingStep, now_ms: int) -> None:
        request = pending.request
        deadline_ms = pending.deadline_ms - ANSWER_MARGIN_MS
        if queue.push(
            QueueEntry(request.workspace, request.weight, request.key_id, deadline_ms, pending)
        ):
            self.dispatch(now_ms)
            return
        message = "Too many requests of the workspace are queued."
        self._answer(
            pending, Failure.not_run(FailureKind.QUEUE_FULL, message, RETRY_AFTER_MS), now_ms
        )

    def _must_wait(self) -> bool:
        """Return whether steps must wait for a slot of the primary.

        A former owner has no slots; its remaining steps run without waiting.
        """
        primary = self._view.primary()
        if primary is None or self._pool.share.slots == 0:
            return False
        return not self._pool.has_slot(primary.server)

    def flush(self, failure: Failure, now_ms: int) -> None:
        """Refuse the queued begin steps with ``failure``."""
        while self._begin_queue:
            entry = self._begin_queue.pop()
            if entry is not None:
                self._answer(entry.item, failure, now_ms)

    def _begin(self, pending: PendingStep, server: str, term: int, now_ms: int) -> None:
        connection = self._pool.acquire(server)
        connection.pinned = True
        self._running.add(pending)

        def finished(result: WorkResult, at_ms: int) -> None:
            self._running.discard(pending)
            if isinstance(result, WorkDone) and not pending.answered:
                self._on_begun(pending, connection, term, at_ms)
            else:
                self._pool.unpin(connection)
                self._begin_failed(pending, connection, result, at_ms)
            self.dispatch(at_ms)

        self._run(pending, connection, BeginWork(term), now_ms, finished)

    def _on_begun(
        self, pending: PendingStep, connection: Connection, term: int, now_ms: int
    ) -> None:
        number = self._random.getrandbits(TRANSACTION_ID_BITS)
        transaction_id = make_transaction_id(self._settings.host.name, self._group.name, number)
        transaction = OpenTransaction(
            transaction_id,
            pending.request.workspace,
            pending.request.key_id,
            connection,
            term,
            now_ms,
        )
        self._open[transaction_id] = transaction
        self._answer(pending, self._make_answer(transaction, (), ORIGIN), now_ms)

    def _begin_failed(
        self, pending: PendingStep, connection: Connection, result: WorkResult, now_ms: int
    ) -> None:
        if pending.answered:
            self._pool.close(connection)
            return
        if isinstance(result, WorkFailed) and result.kind is WorkFailureKind.STALE_TERM:
            self._writes.pause_briefly(now_ms)
        if isinstance(result, WorkFailed) and result.kind is WorkFailureKind.SQL:
            self._answer(pending, step_failure(result), now_ms)
            return
        self._enqueue(self._begin_queue, pending, now_ms)

    def _run_step(self, pending: PendingStep, transaction: OpenTransaction, now_ms: int) -> None:
        if pending.answered or transaction.ended:
            return
        action = pending.request.action
        if action == "rollback":
            self._answer_rollback(pending, transaction, now_ms)
            return
        work: Work = StatementsWork(pending.request.statements)
        if action == "commit":
            work = CommitWork(commit_record_key(transaction.workspace, transaction.transaction_id))
            pending.commit_sent = True
        self._running.add(pending)

        def finished(result: WorkResult, at_ms: int) -> None:
            self._on_result(pending, transaction, result, at_ms)
            self.dispatch(at_ms)

        self._run(pending, transaction.connection, work, now_ms, finished)

    def _run(
        self,
        pending: PendingStep,
        connection: Connection,
        work: Work,
        now_ms: int,
        finished: Callable[[WorkResult, int], None],
    ) -> None:
        timeout_ms = attempt_timeout_ms(pending.deadline_ms, now_ms)
        self._pool.run(connection, work, timeout_ms, pending.request.traceparent, now_ms, finished)

    def _on_result(
        self, pending: PendingStep, transaction: OpenTransaction, result: WorkResult, now_ms: int
    ) -> None:
        if pending.commit_sent:
            self._on_commit(pending, transaction, result, now_ms)
            return
        self._running.discard(pending)
        if transaction.ended:
            return
        transaction.pending_step = None
        transaction.idle_since_ms = now_ms
        if isinstance(result, WorkDone):
            answer = self._make_answer(transaction, result.results, ORIGIN)
            self._answer(pending, answer, now_ms)
            return
        self._end(transaction)
        self._release(transaction, result)
        self._answer(pending, step_failure(result), now_ms)

    # Commit and rollback

    def _on_commit(
        self, pending: PendingStep, transaction: OpenTransaction, result: WorkResult, now_ms: int
    ) -> None:
        connection = transaction.connection
        self._end(transaction)
        if isinstance(result, WorkDone):
            self._pool.unpin(connection)
            self._await_majority(
                pending, transaction, connection.server, result.position, None, now_ms
            )
            return
        self._release(transaction, result)
        if result.kind is WorkFailureKind.LOST and result.commit_sent:
            self._settle(pending, transaction, connection.session_pid, now_ms)
            return
        self._running.discard(pending)
        self._answer(pending, step_failure(result), now_ms)

    def _await_majority(
        self,
        pending: PendingStep,
        transaction: OpenTransaction,
        server: str,
        position: Position,
        session_pid: int | None,
        now_ms: int,
    ) -> None:
        def durable(at_ms: int) -> None:
            self._running.discard(pending)
            answer = OwnedAnswer((), position, server, self._group.name)
            self._answer(pending, answer, at_ms)

        def replaced(at_ms: int) -> None:
            if not pending.answered:
                self._settle(pending, transaction, session_pid, at_ms)

        self._majority_wait.wait(server, position, now_ms, durable, replaced)

    def _settle(
        self,
        pending: PendingStep,
        transaction: OpenTransaction,
        session_pid: int | None,
        now_ms: int,
    ) -> None:
        request_id = commit_record_key(transaction.workspace, transaction.transaction_id)
        server = transaction.connection.server
        attempt = CommitAttempt(request_id, server, transaction.term, session_pid)

        def settled(record: RecordReply, record_server: str, at_ms: int) -> None:
            if pending.answered:
                return
            if record.found:
                self._await_majority(
                    pending, transaction, record_server, record.position, None, at_ms
                )
                return
            self._running.discard(pending)
            message = "The commit was lost with its primary; the transaction is rolled back."
            self._answer(pending, Failure.not_run(FailureKind.TRANSACTION_LOST, message), at_ms)

        self._settlement.settle(attempt, pending.deadline_ms, now_ms, settled)

    def _answer_rollback(
        self, pending: PendingStep, transaction: OpenTransaction, now_ms: int
    ) -> None:
        self._roll_back(transaction, "", now_ms)
        self._answer(pending, OwnedAnswer((), ORIGIN, "", self._group.name), now_ms)

    def _roll_back(self, transaction: OpenTransaction, reason: str, now_ms: int) -> None:
        self._end(transaction)
        connection = transaction.connection
        if reason:
            self._outbox.record_decision(now_ms, "transaction", transaction.transaction_id, reason)

        def finished(result: WorkResult, at_ms: int) -> None:
            self._release(transaction, result)
            self.dispatch(at_ms)

        self._pool.run(connection, RollbackWork(), ROLLBACK_TIMEOUT_MS, "", now_ms, finished)

    def _end_transactions_of_replaced_primary(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None:
            return
        for transaction in list(self._open.values()):
            pending = transaction.pending_step
            if transaction.term >= primary.term or (pending is not None and pending.commit_sent):
                continue
            self._end(transaction)
            self._pool.close(transaction.connection)
            if pending is not None:
                self._answer(pending, transaction_lost_failure("The primary was replaced."), now_ms)

    def _release(self, transaction: OpenTransaction, result: WorkResult) -> None:
        """Release a connection, or close it if its session may still hold the transaction."""
        session_clean = isinstance(result, WorkDone) or result.kind is not WorkFailureKind.LOST
        if session_clean:
            self._pool.unpin(transaction.connection)
        else:
            self._pool.close(transaction.connection)

    def _end(self, transaction: OpenTransaction) -> None:
        transaction.ended = True
        self._open.pop(transaction.transaction_id, None)

    # Answers

    def _expire(self, pending: PendingStep, now_ms: int) -> None:
        """Fail a step whose deadline has passed; ends the transaction unless a commit was sent."""
        if pending.answered:
            return
        if pending.commit_sent:
            failure = Failure.unknown(
                "The outcome of the commit was not known before its deadline."
            )
        else:
            message = "The step did not finish before its deadline."
            failure = Failure.not_run(FailureKind.HELD_TOO_LONG, message, RETRY_AFTER_MS)
        transaction = pending.transaction
        if transaction is not None and not transaction.ended and not pending.commit_sent:
            self._end(transaction)
            self._pool.close(transaction.connection)
            failure = transaction_lost_failure(
                "One of its steps did not finish before its deadline."
            )
        self._answer(pending, failure, now_ms)

    def _answer(self, pending: PendingStep, answer: OwnedAnswer | Failure, now_ms: int) -> None:
        self._running.discard(pending)
        if pending.answered:
            return
        pending.answered = True
        pending.on_answer(answer, now_ms)

    def _make_answer(
        self, transaction: OpenTransaction, results: tuple[StatementResult, ...], position: Position
    ) -> OwnedAnswer:
        server = transaction.connection.server
        return OwnedAnswer(
            results, position, server, self._group.name, transaction=transaction.transaction_id
        )
