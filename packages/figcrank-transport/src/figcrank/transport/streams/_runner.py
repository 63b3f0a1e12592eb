"""Runs the statements of sessions on backend servers, with retries and hedged reads."""

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import eventlet
from eventlet.queue import Empty, LightQueue

from figcrank.coordination.sessions import (
    RetryAction,
    after_failed_connect,
    after_read,
    after_write,
)
from figcrank.protocol.sessions import (
    Request,
    SessionFailure,
    StatementReply,
    TransactionState,
)
from figcrank.state._catalog import DatabaseRoute, ReadMode
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._pool import ServerPool
from figcrank.transport.streams._preparer import ConnectionPreparer
from figcrank.transport.streams._router import Router

if TYPE_CHECKING:
    from figcrank.transport.streams._session import CallerSession, Transaction

RETRY_PAUSE_MS = 25  # about one statement's duration; then a slot or connection is likely free
SLOW_ANSWER_MS = 300  # ten times a usual read; the answer is lost or the server is stuck
HEDGE_ACQUIRE_MS = 40  # a hedged read only helps if a connection is free at once
ANSWER_MARGIN_MS = 20  # time to send the answer before the caller's timeout


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement to run.

    :param request: the caller's request.
    :param is_write: whether it changes data.
    :param definition: definition of the prepared statement to execute, ``None`` if not prepared.
    """

    request: Request
    is_write: bool
    definition: str | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a statement.

    :param payload: server reply to forward; empty if this host answers itself.
    :param failure: ``None`` on success.
    :param detail: reason for a failure.
    :param tries: number of attempts.
    :param server_id: server that was used last.
    :param took_ms: time since the request was received.
    :param required: minimum position required of a replica.
    """

    payload: bytes
    failure: SessionFailure | None = None
    detail: str = ""
    tries: int = 0
    server_id: str = ""
    took_ms: int = 0
    required: Position | None = None


@dataclass(slots=True)
class _Attempt:
    pool: ServerPool
    connection: ServerConnection
    min_position: Position | None


class StatementRunner:
    """Runs statements on the servers that the router selects.

    :param router: server pools.
    :param clock: this host's clock.
    :param metrics: counts the proxy's own statements.
    :param log: log of failed attempts.
    """

    def __init__(self, router: Router, clock: Clock, metrics: Metrics, log: EventLog) -> None:
        self._log = log
        self._router = router
        self._codec = router.codec
        self._clock = clock
        self._preparer = ConnectionPreparer(router.codec, metrics)

    def run_single(
        self, session: "CallerSession", statement: Statement, route: DatabaseRoute, workspace: str
    ) -> Answer:
        """Run a statement outside a transaction."""
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + route.timeout_ms - ANSWER_MARGIN_MS
        if statement.is_write:
            answer = self._run_write(session, statement, route, workspace, deadline_ms)
        else:
            answer = self._run_read(session, statement, route, workspace, deadline_ms)
        return self._with_duration(answer, started_ms)

    def _with_duration(self, answer: Answer, started_ms: int) -> Answer:
        took_ms = self._clock.now_ms() - started_ms
        return replace(answer, took_ms=took_ms)

    def _run_write(
        self,
        session: "CallerSession",
        statement: Statement,
        route: DatabaseRoute,
        workspace: str,
        deadline_ms: int,
    ) -> Answer:
        tries = 0
        while True:
            try:
                pool, connection = self._acquire_primary(session, route, workspace, deadline_ms)
            except OpenError as error:
                return Answer(b"", SessionFailure.BUSY, str(error), tries)
            if connection.is_lost():
                self._router.discard_failed_connection(pool, connection)
                continue
            try:
                data = self._preparer.encode(connection, statement, None)
            except OpenError:
                tries += 1
                self._router.discard_failed_connection(pool, connection)
                continue
            # The lease may have expired while the connection was prepared.
            if not self._is_usable_primary(pool, route.group):
                pool.release(connection)
                continue
            tries += 1
            reply = connection.send_and_wait(data, deadline_ms - self._clock.now_ms())
            if reply is None:
                self._router.discard_failed_connection(pool, connection)
                detail = "the primary did not answer"
                return Answer(b"", SessionFailure.IN_DOUBT, detail, tries, pool.entry.server_id)
            self._observe_reply(pool, connection, reply)
            if reply.failure is None:
                self._record_commit_position(session, route, reply)
            self._release_or_discard(pool, connection)
            if reply.failure is None or not self._wait_for_retry(
                after_write(reply.failure, tries), deadline_ms
            ):
                return Answer(
                    reply.payload, reply.failure, reply.detail, tries, pool.entry.server_id
                )
            if reply.failure is SessionFailure.UNKNOWN_STATEMENT:
                connection.prepared.clear()

    def _wait_for_retry(self, action: RetryAction, deadline_ms: int) -> bool:
        """Return whether to retry, after waiting if the action requires it."""
        if action is RetryAction.TELL or self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
            return False
        if action is RetryAction.WAIT_AND_RETRY:
            self._router.wait_for_primary_change(RETRY_PAUSE_MS)
        return True

    def _acquire_primary(
        self, session: "CallerSession", route: DatabaseRoute, workspace: str, deadline_ms: int
    ) -> tuple[ServerPool, ServerConnection]:
        """Return a connection to the primary with the session's variables set.

        :raises OpenError: if no connection is available by the deadline.
        """
        while True:
            self._router.await_evacuations()
            pool = self._router.await_primary(route.group, deadline_ms)
            try:
                connection = pool.acquire(workspace, route.priority, session.variables, deadline_ms)
            except OpenError as error:
                if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                    raise
                if after_failed_connect(error.failure) is RetryAction.WAIT_AND_RETRY:
                    eventlet.sleep(RETRY_PAUSE_MS / 1_000)
                continue
            # The primary may have been fenced while the connection was opened.
            if not self._is_usable_primary(pool, route.group):
                pool.release(connection)
                continue
            if self._preparer.apply_variables(session, connection):
                return pool, connection
            self._router.discard_failed_connection(pool, connection)

    def _is_usable_primary(self, pool: ServerPool, group: str) -> bool:
        if not self._router.may_send_to(pool.entry):
            return False
        return self._router.is_primary(pool) and self._router.primary_usable(group)

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
        pool: ServerPool,
        connection: ServerConnection,
        statement: Statement,
        deadline_ms: int,
    ) -> StatementReply | None:
        """Send a statement and return the reply, ``None`` if there was none.

        :raises OpenError: if preparing the statement failed or its server's zone is evacuated; it
            was not sent.
        """
        data = self._preparer.encode(connection, statement, None)
        if not self._router.may_send_to(pool.entry):
            raise OpenError(SessionFailure.BUSY, "nothing may be sent to the server now")
        return connection.send_and_wait(data, deadline_ms - self._clock.now_ms())

    def _observe_reply(
        self, pool: ServerPool, connection: ServerConnection, reply: StatementReply
    ) -> None:
        self._router.observe_reply(pool, connection.sent_ms, reply)

    def _record_commit_position(
        self, session: "CallerSession", route: DatabaseRoute, reply: StatementReply
    ) -> None:
        if reply.position is not None:
            session.last_commit[route.group] = reply.position

    def _release_or_discard(self, pool: ServerPool, connection: ServerConnection) -> None:
        if connection.state is TransactionState.IDLE:
            pool.release(connection)
        else:
            pool.discard(connection)

    def _run_read(
        self,
        session: "CallerSession",
        statement: Statement,
        route: DatabaseRoute,
        workspace: str,
        deadline_ms: int,
    ) -> Answer:
        tried: set[str] = set()
        results: LightQueue = LightQueue()
        running = 0
        tries = 0
        failure, detail = SessionFailure.BUSY, "no server is available"
        force_primary = False
        while self._clock.now_ms() < deadline_ms:
            acquire_deadline_ms = deadline_ms
            if running:
                acquire_deadline_ms = min(deadline_ms, self._clock.now_ms() + HEDGE_ACQUIRE_MS)
            try:
                attempt = self._acquire_server(
                    session, route, workspace, acquire_deadline_ms, tried, force_primary
                )
            except OpenError as error:
                if not running:
                    return Answer(b"", SessionFailure.BUSY, str(error), tries)
                attempt = None
            if attempt is not None:
                tries += 1
                try:
                    data = self._preparer.encode(
                        attempt.connection, statement, attempt.min_position
                    )
                except OpenError:
                    self._router.discard_failed_connection(attempt.pool, attempt.connection)
                    tried.add(attempt.pool.entry.server_id)
                    continue
                if not self._router.may_send_to(attempt.pool.entry):
                    attempt.pool.discard(attempt.connection)
                    tries -= 1
                    continue
                running += 1
                attempt.connection.send(data, self._reply_handler(results, attempt))
            wait_ms = deadline_ms - self._clock.now_ms()
            if attempt is not None and running == 1:
                wait_ms = min(wait_ms, SLOW_ANSWER_MS)
            try:
                finished_attempt, reply = results.get(timeout=max(0.001, wait_ms / 1_000))
            except Empty:
                if attempt is None:
                    break
                tried.add(attempt.pool.entry.server_id)
                continue
            running -= 1
            server_id = finished_attempt.pool.entry.server_id
            if reply is None:
                failure, detail = SessionFailure.UNREACHABLE, "the server did not answer"
            elif reply.failure is None:
                return Answer(
                    reply.payload, None, "", tries, server_id, 0, finished_attempt.min_position
                )
            else:
                failure, detail = reply.failure, reply.detail
            action = after_read(failure, tries)
            self._log_failed_attempt(statement, finished_attempt, failure, detail, action)
            if action is RetryAction.TELL:
                payload = reply.payload if reply else b""
                return Answer(
                    payload, failure, detail, tries, server_id, 0, finished_attempt.min_position
                )
            if action is RetryAction.TRY_PRIMARY:
                force_primary = not self._router.is_primary(finished_attempt.pool)
            elif action is RetryAction.TRY_ELSEWHERE:
                tried.add(server_id)
            elif action is RetryAction.WAIT_AND_RETRY:
                self._router.wait_for_primary_change(RETRY_PAUSE_MS)
            elif action is RetryAction.PREPARE_AGAIN:
                finished_attempt.connection.prepared.clear()
        if running:
            detail = "no server answered within the statement timeout"
            return Answer(b"", SessionFailure.TIMEOUT, detail, tries)
        return Answer(b"", SessionFailure.BUSY, detail, tries)

    def _log_failed_attempt(
        self,
        statement: Statement,
        finished_attempt: _Attempt,
        failure: SessionFailure,
        detail: str,
        action: RetryAction,
    ) -> None:
        self._log.event(
            "try_failed",
            id=statement.request.request_id,
            server=finished_attempt.pool.entry.server_id,
            group=finished_attempt.pool.entry.group,
            failure=failure.name.lower(),
            reason=detail,
            required=finished_attempt.min_position,
            held=finished_attempt.pool.position,
            next=action.name.lower(),
        )

    def _reply_handler(self, results: LightQueue, attempt: _Attempt):  # noqa: ANN202
        def handle(connection: ServerConnection, reply: StatementReply | None) -> None:
            if reply is None:
                self._router.discard_failed_connection(attempt.pool, connection)
            else:
                self._observe_reply(attempt.pool, connection, reply)
                self._release_or_discard(attempt.pool, connection)
            results.put((attempt, reply))

        return handle

    def _acquire_server(
        self,
        session: "CallerSession",
        route: DatabaseRoute,
        workspace: str,
        deadline_ms: int,
        tried: set[str],
        force_primary: bool,
    ) -> _Attempt:
        """Return a connection for a read, on which the read has not been sent yet.

        :raises OpenError: if no connection is available by the deadline.
        """
        while True:
            self._router.await_evacuations()
            if route.mode is ReadMode.PRIMARY or force_primary:
                pool, connection = self._acquire_primary(session, route, workspace, deadline_ms)
                return _Attempt(pool, connection, None)
            last_commit = session.last_commit.get(route.group)
            pools = self._router.read_pools(route, last_commit, workspace, tried)
            if not pools and len(tried) > 0:
                tried.clear()
                pools = self._router.read_pools(route, last_commit, workspace, tried)
            if not pools:
                force_primary = True
                continue
            pool, min_position = pools[0]
            try:
                connection = pool.acquire(workspace, route.priority, session.variables, deadline_ms)
            except OpenError as error:
                if after_failed_connect(error.failure) is RetryAction.TRY_ELSEWHERE:
                    tried.add(pool.entry.server_id)
                if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                    raise
                if after_failed_connect(error.failure) is RetryAction.WAIT_AND_RETRY:
                    eventlet.sleep(RETRY_PAUSE_MS / 1_000)
                continue
            if self._router.must_leave(pool, route, last_commit, workspace, tried):
                pool.release(connection)
                continue
            if min_position is None and not self._router.primary_usable(route.group):
                pool.release(connection)
                continue
            if self._preparer.apply_variables(session, connection):
                return _Attempt(pool, connection, min_position)
            self._router.discard_failed_connection(pool, connection)

    def run_in_transaction(
        self, session: "CallerSession", statement: Statement, transaction: "Transaction"
    ) -> Answer:
        """Run a statement in a transaction; the first one also begins it on a server."""
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + transaction.route.timeout_ms - ANSWER_MARGIN_MS
        answer = self._try_in_transaction(session, statement, transaction, deadline_ms)
        return self._with_duration(answer, started_ms)

    def _try_in_transaction(
        self,
        session: "CallerSession",
        statement: Statement,
        transaction: "Transaction",
        deadline_ms: int,
    ) -> Answer:
        tries = 0
        while True:
            first = transaction.connection is None
            if first:
                refusal = self._open_transaction(session, transaction, deadline_ms)
                if refusal is not None:
                    transaction.failed = True
                    return Answer(b"", SessionFailure.BUSY, refusal, tries)
            tries += 1
            pool, connection = transaction.pool, transaction.connection
            transaction.wrote = transaction.wrote or statement.is_write
            self._router.await_evacuations()
            reply = self._send_in_transaction(session, pool, connection, statement, deadline_ms)
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
            self._observe_reply(pool, connection, reply)
            if reply.state is not TransactionState.OPEN:
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
        deadline_ms: int,
    ) -> StatementReply | None:
        if not self._preparer.apply_variables(session, connection):
            return None
        try:
            return self._send(pool, connection, statement, deadline_ms)
        except OpenError:
            return None  # aborts the transaction, as a lost connection does

    def _open_transaction(
        self, session: "CallerSession", transaction: "Transaction", deadline_ms: int
    ) -> str | None:
        """Begin a transaction on a server; return the reason if it could not be started."""
        route = transaction.route
        tried: set[str] = set()
        force_primary = not transaction.read_only
        while self._clock.now_ms() < deadline_ms:
            try:
                attempt = self._acquire_server(
                    session, route, transaction.workspace, deadline_ms, tried, force_primary
                )
            except OpenError as error:
                return f"the transaction could not be started: {error}"
            text = self._codec.begin(transaction.read_only)
            data = self._codec.query(transaction.begin.request_id, text, attempt.min_position)
            if not self._router.may_send_to(attempt.pool.entry):
                attempt.pool.discard(attempt.connection)
                continue
            transaction.sent = True
            reply = attempt.connection.send_and_wait(data, deadline_ms - self._clock.now_ms())
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
            self._release_or_discard(attempt.pool, attempt.connection)
            if reply.failure is SessionFailure.LAGGING:
                force_primary = True
            else:
                self._router.wait_for_primary_change(RETRY_PAUSE_MS)
        return "the transaction could not be started"

    def commit(
        self, session: "CallerSession", statement: Statement, transaction: "Transaction"
    ) -> Answer:
        """Commit a transaction.

        The failure is ``UNREACHABLE`` if the commit was sent but not answered; the caller of this
        method derives the failure to report from it.
        """
        started_ms = self._clock.now_ms()
        route = transaction.route
        deadline_ms = started_ms + route.timeout_ms - ANSWER_MARGIN_MS
        if transaction.connection is None:
            refusal = self._open_transaction(session, transaction, deadline_ms)
            if refusal is not None:
                return Answer(b"", SessionFailure.BUSY, refusal)
        pool, connection = transaction.pool, transaction.connection
        server_id = pool.entry.server_id
        transaction.connection = None
        self._router.await_evacuations()
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
        reply = self._send(pool, connection, statement, deadline_ms)
        if reply is None:
            self._router.discard_failed_connection(pool, connection)
            return self._with_duration(
                Answer(b"", SessionFailure.UNREACHABLE, "", 1, server_id), started_ms
            )
        self._observe_reply(pool, connection, reply)
        if reply.failure is None and transaction.wrote:
            self._record_commit_position(session, route, reply)
        self._release_or_discard(pool, connection)
        return self._with_duration(
            Answer(reply.payload, reply.failure, reply.detail, 1, server_id), started_ms
        )

    def roll_back(self, request_id: str, transaction: "Transaction") -> None:
        """Roll back a transaction at the caller's request."""
        pool, connection = transaction.pool, transaction.connection
        transaction.connection = None
        data = self._codec.query(request_id, self._codec.rollback())
        reply = connection.send_and_wait(data, SLOW_ANSWER_MS)
        if reply is None or reply.failure is not None:
            pool.discard(connection)
        else:
            self._release_or_discard(pool, connection)

    def abort(self, transaction: "Transaction") -> None:
        """Roll back a transaction without a caller request, by closing its connection."""
        if transaction.connection is not None:
            transaction.pool.discard(transaction.connection)
            transaction.connection = None
