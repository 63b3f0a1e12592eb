"""Runs the writes and transactions of sessions on backend servers, with retries."""

from dataclasses import replace
from typing import TYPE_CHECKING

from figcrank.coordination.admission import Demand, Stage
from figcrank.coordination.sessions import (
    HostLifetime,
    RefusalReason,
    RetryAction,
    after_write,
)
from figcrank.protocol.sessions import SessionFailure, StatementReply, TransactionState
from figcrank.state._catalog import DatabaseRoute
from figcrank.state._clock import Clock
from figcrank.transport.streams._acquirer import RETRY_PAUSE_MS, ConnectionAcquirer
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._pool import ServerPool
from figcrank.transport.streams._preparer import ConnectionPreparer
from figcrank.transport.streams._read_runner import ReadRunner
from figcrank.transport.streams._replies import ReplyObserver, release_or_discard
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._statements import WORKSPACE_LEFT, Answer, Statement

if TYPE_CHECKING:
    from figcrank.transport.streams._session import CallerSession
    from figcrank.transport.streams._session_state import Transaction

# Told to a transaction that was open when the configuration changed.
REGION_LEFT = "the server is in a region that is no longer allowed"
# Forms of operations, as in the log.
TRANSACTION = "transaction"
COMMIT = "commit"
ROLLBACK_TIMEOUT_MS = 300  # ten times a usual statement; the connection is closed after it
# Beyond the idle time of a transaction, which its session enforces as long as it reads its caller.
IDLE_MARGIN_MS = 1_000


class StatementRunner:
    """Runs statements on the servers that the router selects.

    :param router: server pools.
    :param clock: this host's clock.
    :param metrics: counts the proxy's own statements.
    :param log: log of failed attempts.
    :param lifetime: how long this host runs.
    """

    def __init__(
        self,
        router: Router,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        lifetime: HostLifetime | None = None,
    ) -> None:
        self._log = log
        self._router = router
        self._codec = router.codec
        self._clock = clock
        self._preparer = ConnectionPreparer(router.codec, metrics)
        self._acquirer = ConnectionAcquirer(
            router, clock, self._preparer, lifetime or HostLifetime()
        )
        self._observer = ReplyObserver(router, clock)
        self._reads = ReadRunner(router, clock, self._preparer, self._acquirer, self._observer, log)

    def run_single(
        self, session: "CallerSession", statement: Statement, route: DatabaseRoute, workspace: str
    ) -> Answer:
        """Run a statement outside a transaction."""
        form = "write" if statement.is_write else "read"
        demand = self._acquirer.demand(session, route, workspace, form)
        if statement.is_write:
            answer = self._run_write(session, statement, route, demand)
        else:
            answer = self._reads.run(session, statement, route, demand)
        return self._with_times(answer, demand, form)

    def _with_times(self, answer: Answer, demand: Demand, form: str) -> Answer:
        took_ms = self._clock.now_ms() - demand.arrived_ms
        return replace(answer, took_ms=took_ms, form=form, stages=demand.stages)

    def _send_and_wait(
        self, connection: ServerConnection, data: bytes, demand: Demand
    ) -> StatementReply | None:
        reply = connection.send_and_wait(data, demand.deadline_ms - self._clock.now_ms())
        demand.stages.add(Stage.SERVER, self._clock.now_ms() - connection.sent_ms)
        return reply

    def _withdrawal(self, demand: Demand) -> OpenError | None:
        """Return why a statement that would take effect is no longer sent, ``None`` to send it.

        Its caller may have given up while this host was suspended, with the request unread or
        waiting, and may have written something newer since. Its key may belong to another
        workspace since it arrived.
        """
        if not demand.connected():
            detail, reason = "the caller has disconnected", RefusalReason.DISCONNECTED
        elif self._clock.now_ms() >= demand.deadline_ms:
            detail, reason = "its time was over before it was sent", RefusalReason.DEADLINE
        elif not demand.acts_for_workspace():
            detail, reason = WORKSPACE_LEFT, RefusalReason.CONFIGURATION
        else:
            return None
        return OpenError(SessionFailure.BUSY, detail, reason=reason)

    def _run_write(
        self,
        session: "CallerSession",
        statement: Statement,
        route: DatabaseRoute,
        demand: Demand,
    ) -> Answer:
        deadline_ms = demand.deadline_ms
        tries = 0
        while True:
            try:
                pool, connection = self._acquirer.acquire_primary(session, route, demand)
            except OpenError as error:
                return Answer(b"", SessionFailure.BUSY, str(error), tries, refusal=error.reason)
            if connection.is_lost():
                self._router.discard_failed_connection(pool, connection)
                continue
            try:
                data = self._preparer.encode(connection, statement, None)
            except OpenError as error:
                tries += 1
                self._log_unsent(statement, pool, error)
                self._router.discard_failed_connection(pool, connection)
                continue
            # The lease may have expired while the connection was prepared.
            if not self._acquirer.is_usable_primary(pool, route.group):
                pool.release(connection)
                continue
            withdrawal = self._withdrawal(demand)
            if withdrawal is not None:
                pool.release(connection)
                failure, detail = withdrawal.failure, str(withdrawal)
                return Answer(b"", failure, detail, tries, refusal=withdrawal.reason)
            tries += 1
            session.statement_sent = True
            reply = self._send_and_wait(connection, data, demand)
            if reply is None:
                self._router.discard_failed_connection(pool, connection)
                detail = "the primary did not answer"
                return Answer(b"", SessionFailure.IN_DOUBT, detail, tries, pool.entry.server_id)
            self._observer.observe(pool, connection, reply)
            if reply.failure is None:
                self._record_commit_position(session, route, reply)
            release_or_discard(pool, connection)
            if reply.failure is None or not self._wait_for_retry(
                after_write(reply.failure, tries), deadline_ms
            ):
                return Answer(
                    reply.payload, reply.failure, reply.detail, tries, pool.entry.server_id
                )
            session.statement_sent = False  # each failure that is retried says that it has not run
            if reply.failure is SessionFailure.UNKNOWN_STATEMENT:
                connection.prepared.clear()

    def _wait_for_retry(self, action: RetryAction, deadline_ms: int) -> bool:
        """Return whether to retry, after waiting if the action requires it."""
        if action is RetryAction.TELL or self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
            return False
        if action is RetryAction.WAIT_AND_RETRY:
            self._router.wait_for_primary_change(RETRY_PAUSE_MS)
        return True

    def _await_lease(self, pool: ServerPool, deadline_ms: int) -> bool:
        """Wait until this host has a lease on a transaction's primary; return whether it has one.

        A transaction may end while its primary is being replaced, until its connection is closed.
        """
        while self._router.is_primary(pool):
            if self._router.has_lease():
                return True
            if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                return False
            self._router.wait_for_primary_change(RETRY_PAUSE_MS)
        return False

    def _send(
        self,
        session: "CallerSession",
        pool: ServerPool,
        connection: ServerConnection,
        statement: Statement,
        demand: Demand,
    ) -> StatementReply | None:
        """Send a statement and return the reply, ``None`` if there was none.

        :raises OpenError: if preparing the statement failed or its server's zone is evacuated; it
            was not sent.
        """
        data = self._preparer.encode(connection, statement, None)
        if not self._router.may_send_to(pool.entry):
            detail = "nothing may be sent to the server now"
            raise OpenError(SessionFailure.BUSY, detail, reason=RefusalReason.EVACUATED)
        session.statement_sent = True
        return self._send_and_wait(connection, data, demand)

    def _record_commit_position(
        self, session: "CallerSession", route: DatabaseRoute, reply: StatementReply
    ) -> None:
        if reply.position is not None:
            session.last_commit[route.group] = reply.position

    def run_in_transaction(
        self, session: "CallerSession", statement: Statement, transaction: "Transaction"
    ) -> Answer:
        """Run a statement in a transaction; the first one also begins it on a server."""
        demand = self._transaction_demand(session, transaction)
        answer = self._try_in_transaction(session, statement, transaction, demand)
        return self._with_times(answer, demand, TRANSACTION)

    def _transaction_demand(self, session: "CallerSession", transaction: "Transaction") -> Demand:
        return self._acquirer.demand(session, transaction.route, transaction.workspace, TRANSACTION)

    def _try_in_transaction(
        self,
        session: "CallerSession",
        statement: Statement,
        transaction: "Transaction",
        demand: Demand,
    ) -> Answer:
        deadline_ms = demand.deadline_ms
        tries = 0
        while True:
            first = transaction.connection is None
            if first:
                refused = self._open_transaction(session, transaction, demand)
                if refused is not None:
                    transaction.failed = True
                    # A first statement whose answer was lost may have run.
                    failure = SessionFailure.ABORTED if tries else SessionFailure.BUSY
                    return replace(refused, failure=failure, tries=tries)
            pool, connection = transaction.pool, transaction.connection
            if not demand.acts_for_workspace():
                transaction.failed = True
                self.abort(transaction)
                failure = SessionFailure.ABORTED
                return Answer(b"", failure, WORKSPACE_LEFT, tries, pool.entry.server_id)
            if not self._router.may_run(pool, transaction.route, transaction.workspace):
                transaction.failed = True
                self.abort(transaction)
                failure = SessionFailure.ABORTED
                return Answer(b"", failure, REGION_LEFT, tries, pool.entry.server_id)
            tries += 1
            transaction.wrote = transaction.wrote or statement.is_write
            self._router.await_evacuations()
            self._router.record_at_cold(pool)
            pool.extend_use(connection, deadline_ms)
            reply = self._send_in_transaction(session, pool, connection, statement, demand)
            server_id = pool.entry.server_id
            if reply is None:
                self._router.discard_failed_connection(pool, connection)
                transaction.connection = None
                may_retry = first and not statement.is_write and tries == 1
                if may_retry and self._clock.now_ms() + RETRY_PAUSE_MS < deadline_ms:
                    continue
                transaction.failed = True
                detail = self._lost_detail(pool)
                return Answer(b"", SessionFailure.ABORTED, detail, tries, server_id)
            self._observer.observe(pool, connection, reply)
            if reply.state is TransactionState.OPEN:
                idle_ms = self._router.transaction_idle_ms + IDLE_MARGIN_MS
                pool.extend_use(connection, self._clock.now_ms() + idle_ms)
            else:
                transaction.failed = True
                self.abort(transaction)
            return Answer(reply.payload, reply.failure, reply.detail, tries, server_id)

    def _lost_detail(self, pool: ServerPool) -> str:
        if self._router.is_evacuated(pool.entry):
            return f"availability zone {pool.entry.availability_zone} is evacuated"
        return "the connection to the server was lost"

    def _send_in_transaction(
        self,
        session: "CallerSession",
        pool: ServerPool,
        connection: ServerConnection,
        statement: Statement,
        demand: Demand,
    ) -> StatementReply | None:
        if not self._preparer.apply_variables(session, connection):
            return None
        try:
            return self._send(session, pool, connection, statement, demand)
        except OpenError as error:
            self._log_unsent(statement, pool, error)
            return None  # aborts the transaction, as a lost connection does

    def _log_unsent(self, statement: Statement, pool: ServerPool, error: OpenError) -> None:
        self._log.event(
            "try_failed",
            id=statement.request.request_id,
            server=pool.entry.server_id,
            group=pool.entry.group,
            failure=error.failure.name.lower(),
            reason=str(error),
        )

    def _open_transaction(
        self, session: "CallerSession", transaction: "Transaction", demand: Demand
    ) -> Answer | None:
        """Begin a transaction at a server; return the refusal, ``None`` on success."""
        deadline_ms = demand.deadline_ms
        tried: set[str] = set()
        refusal = RefusalReason.NO_SERVER
        force_primary = not transaction.read_only
        while self._clock.now_ms() < deadline_ms:
            try:
                attempt = self._acquirer.acquire_server(
                    session, transaction.route, demand, tried, force_primary
                )
            except OpenError as error:
                detail = f"the transaction could not be started: {error}"
                return Answer(b"", SessionFailure.BUSY, detail, refusal=error.reason)
            if not demand.acts_for_workspace():
                release_or_discard(attempt.pool, attempt.connection)
                failure, reason = SessionFailure.BUSY, RefusalReason.CONFIGURATION
                return Answer(b"", failure, WORKSPACE_LEFT, refusal=reason)
            text = self._codec.begin(transaction.read_only)
            data = self._codec.query(transaction.begin.request_id, text, attempt.min_position)
            if not self._router.may_send_to(attempt.pool.entry):
                attempt.pool.discard(attempt.connection)
                continue
            transaction.sent = True
            reply = self._send_and_wait(attempt.connection, data, demand)
            if reply is None:
                self._router.discard_failed_connection(attempt.pool, attempt.connection)
                tried.add(attempt.pool.entry.server_id)
                continue
            self._router.observe_reply(
                attempt.pool, attempt.connection.sent_ms, reply, measured=False
            )
            if reply.failure is None:
                transaction.pool = attempt.pool
                transaction.connection = attempt.connection
                return None
            release_or_discard(attempt.pool, attempt.connection)
            if reply.failure is SessionFailure.LAGGING:
                force_primary = True
            else:
                if reply.failure is SessionFailure.BUSY:
                    refusal = RefusalReason.SERVER_BUSY
                self._router.wait_for_primary_change(RETRY_PAUSE_MS)
        detail = "the transaction could not be started"
        return Answer(b"", SessionFailure.BUSY, detail, refusal=refusal)

    def commit(
        self, session: "CallerSession", statement: Statement, transaction: "Transaction"
    ) -> Answer:
        """Commit a transaction.

        The failure is ``UNREACHABLE`` if the commit was sent but not answered; the caller of this
        method derives the failure to report from it.
        """
        route = transaction.route
        demand = self._transaction_demand(session, transaction)
        deadline_ms = demand.deadline_ms
        if transaction.connection is None:
            refused = self._open_transaction(session, transaction, demand)
            if refused is not None:
                return refused
        pool, connection = transaction.pool, transaction.connection
        server_id = pool.entry.server_id
        transaction.connection = None
        pool.extend_use(connection, deadline_ms)
        self._router.await_evacuations()
        if not self._router.may_run(pool, route, transaction.workspace):
            pool.discard(connection)  # the commit was not sent; the server rolls back
            return Answer(b"", SessionFailure.ABORTED, REGION_LEFT, 0, server_id)
        if transaction.wrote and not self._await_lease(pool, deadline_ms):
            pool.discard(connection)  # the server rolls back
            detail = "this host has no lease on the primary"
            return Answer(b"", SessionFailure.ABORTED, detail, 0, server_id)
        if not self._router.may_send_to(pool.entry):
            pool.discard(connection)  # the commit was not sent; the server rolls back
            detail = "the server's availability zone is evacuated"
            return Answer(b"", SessionFailure.ABORTED, detail, 0, server_id)
        if connection.is_lost():
            self._router.discard_failed_connection(pool, connection)
            detail = "the connection to the server was lost before the commit was sent"
            return Answer(b"", SessionFailure.ABORTED, detail, 0, server_id)
        self._router.record_at_cold(pool)
        try:
            withdrawal = self._withdrawal(demand)
            if withdrawal is not None:
                raise withdrawal
            reply = self._send(session, pool, connection, statement, demand)
        except OpenError as error:
            pool.discard(connection)  # the commit was not sent; the server rolls back
            return Answer(b"", SessionFailure.ABORTED, str(error), 0, server_id)
        if reply is None:
            self._router.discard_failed_connection(pool, connection)
            return self._with_times(
                Answer(b"", SessionFailure.UNREACHABLE, "", 1, server_id), demand, COMMIT
            )
        self._observer.observe(pool, connection, reply)
        if reply.failure is None and transaction.wrote:
            self._record_commit_position(session, route, reply)
        release_or_discard(pool, connection)
        return self._with_times(
            Answer(reply.payload, reply.failure, reply.detail, 1, server_id), demand, COMMIT
        )

    def roll_back(self, request_id: str, transaction: "Transaction") -> None:
        """Roll back a transaction at the caller's request."""
        pool, connection = transaction.pool, transaction.connection
        transaction.connection = None
        data = self._codec.query(request_id, self._codec.rollback())
        reply = connection.send_and_wait(data, ROLLBACK_TIMEOUT_MS)
        if reply is None or reply.failure is not None:
            pool.discard(connection)
        else:
            release_or_discard(pool, connection)

    def abort(self, transaction: "Transaction") -> None:
        """Roll back a transaction without a caller request, by closing its connection."""
        if transaction.connection is not None:
            transaction.pool.discard(transaction.connection)
            transaction.connection = None
