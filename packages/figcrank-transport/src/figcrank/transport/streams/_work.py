"""Runs a session's statements at servers, with what is tried again when one fails."""

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import eventlet
from eventlet.queue import Empty, LightQueue

from figcrank.coordination.sessions import (
    Step,
    after_failed_start,
    after_read,
    after_write,
)
from figcrank.protocol.sessions import (
    Request,
    ServerReply,
    SessionFailure,
    TransactionState,
)
from figcrank.state._catalog import DatabaseRoute, ReadMode
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._pool import ServerPool
from figcrank.transport.streams._preparing import ConnectionPreparer
from figcrank.transport.streams._router import Router

if TYPE_CHECKING:
    from figcrank.transport.streams._session import CallerSession, Transaction

RETRY_PAUSE_MS = 25  # about one statement's work: a slot or a connection comes free in that time
SECOND_TRY_MS = 300  # ten times a read's usual work; its answer is lost or its server is stuck
SECOND_BEGIN_MS = 40  # a second try is of use only where a connection is free at once
ANSWER_MARGIN_MS = 20  # the answer must reach the caller within the statement's time


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement to run.

    :param request: the caller's request.
    :param is_write: whether it changes data.
    :param shape: shape of the prepared statement that it executes, ``None`` if it is no such.
    """

    request: Request
    is_write: bool
    shape: str | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """What came of a statement.

    :param payload: a server's answer to pass on; empty if this host answers itself.
    :param failure: ``None`` for a success.
    :param detail: reason of a failure.
    :param tries: how often it was sent.
    :param server_id: server that answered.
    :param took_ms: time since the request came.
    :param required: position that a replica had to hold.
    """

    payload: bytes
    failure: SessionFailure | None = None
    detail: str = ""
    tries: int = 0
    server_id: str = ""
    took_ms: int = 0
    required: Position | None = None


@dataclass(slots=True)
class _Try:
    pool: ServerPool
    connection: ServerConnection
    after: Position | None


class StatementRunner:
    """Runs statements.

    :param router: the servers.
    :param clock: this host's clock.
    :param metrics: where tries are counted.
    :param log: where failed tries are written.
    """

    def __init__(self, router: Router, clock: Clock, metrics: Metrics, log: EventLog) -> None:
        self._log = log
        self._router = router
        self._codec = router.codec
        self._clock = clock
        self._preparer = ConnectionPreparer(router.codec, metrics)

    # Single statements.

    def run_single(
        self, session: "CallerSession", statement: Statement, route: DatabaseRoute, workspace: str
    ) -> Answer:
        """Run a statement that is an operation of its own."""
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + route.timeout_ms - ANSWER_MARGIN_MS
        if statement.is_write:
            answer = self._write(session, statement, route, workspace, deadline_ms)
        else:
            answer = self._read(session, statement, route, workspace, deadline_ms)
        return self._timed(answer, started_ms)

    def _timed(self, answer: Answer, started_ms: int) -> Answer:
        took_ms = self._clock.now_ms() - started_ms
        return replace(answer, took_ms=took_ms)

    def _write(
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
                pool, connection = self._primary_connection(session, route, workspace, deadline_ms)
            except OpenError as error:
                return Answer(b"", SessionFailure.BUSY, str(error), tries)
            if connection.is_lost():
                self._router.lost(pool, connection)
                continue
            tries += 1
            try:
                reply = self._send(connection, statement, deadline_ms)
            except OpenError:
                self._router.lost(pool, connection)
                continue
            if reply is None:
                self._router.lost(pool, connection)
                detail = "the answer of the primary did not come"
                return Answer(b"", SessionFailure.IN_DOUBT, detail, tries, pool.entry.server_id)
            self._learn(pool, connection, reply)
            if reply.failure is None:
                self._note_written(session, route, reply)
            self._finish(pool, connection)
            if reply.failure is None or not self._again(
                after_write(reply.failure, tries), deadline_ms
            ):
                return Answer(
                    reply.payload, reply.failure, reply.detail, tries, pool.entry.server_id
                )
            if reply.failure is SessionFailure.UNKNOWN_STATEMENT:
                connection.prepared.clear()

    def _again(self, step: Step, deadline_ms: int) -> bool:
        if step is Step.TELL or self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
            return False
        if step is Step.WAIT_AND_RETRY:
            self._router.pause(RETRY_PAUSE_MS)
        return True

    def _primary_connection(
        self, session: "CallerSession", route: DatabaseRoute, workspace: str, deadline_ms: int
    ) -> tuple[ServerPool, ServerConnection]:
        """Return a connection to the primary that has the session's values.

        :raises OpenError: if there is none before the deadline.
        """
        while True:
            pool = self._router.await_primary(route.group, deadline_ms)
            try:
                connection = pool.acquire(workspace, route.priority, session.values, deadline_ms)
            except OpenError as error:
                if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                    raise
                if after_failed_start(error.failure) is Step.WAIT_AND_RETRY:
                    eventlet.sleep(RETRY_PAUSE_MS / 1_000)
                continue
            # Opening took time; the primary may have been fenced meanwhile.
            if not self._router.is_primary(pool) or not self._router.primary_usable(route.group):
                pool.release(connection)
                continue
            if self._preparer.apply_values(session, connection):
                return pool, connection
            self._router.lost(pool, connection)

    def _send(
        self, connection: ServerConnection, statement: Statement, deadline_ms: int
    ) -> ServerReply | None:
        """Run a statement; ``None`` says that no answer came.

        :raises OpenError: if it could not be prepared and was not sent.
        """
        data = self._preparer.encode(connection, statement, None)
        return connection.ask(data, deadline_ms - self._clock.now_ms())

    def _learn(self, pool: ServerPool, connection: ServerConnection, reply: ServerReply) -> None:
        self._router.learn(pool, connection.sent_ms, reply)

    def _note_written(
        self, session: "CallerSession", route: DatabaseRoute, reply: ServerReply
    ) -> None:
        if reply.position is not None:
            session.written[route.group] = reply.position

    def _finish(self, pool: ServerPool, connection: ServerConnection) -> None:
        if connection.state is TransactionState.IDLE:
            pool.release(connection)
        else:
            pool.discard(connection)

    # Reads.

    def _read(
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
        failure, detail = SessionFailure.BUSY, "no server is free"
        force_primary = False
        while self._clock.now_ms() < deadline_ms:
            begin_by_ms = deadline_ms
            if running:
                begin_by_ms = min(deadline_ms, self._clock.now_ms() + SECOND_BEGIN_MS)
            try:
                attempt = self._begin_read(
                    session, route, workspace, begin_by_ms, tried, force_primary
                )
            except OpenError as error:
                if not running:
                    return Answer(b"", SessionFailure.BUSY, str(error), tries)
                attempt = None
            if attempt is not None:
                tries += 1
                try:
                    data = self._preparer.encode(attempt.connection, statement, attempt.after)
                except OpenError:
                    self._router.lost(attempt.pool, attempt.connection)
                    tried.add(attempt.pool.entry.server_id)
                    continue
                running += 1
                attempt.connection.send(data, self._collector(results, attempt))
            wait_ms = deadline_ms - self._clock.now_ms()
            if attempt is not None and running == 1:
                wait_ms = min(wait_ms, SECOND_TRY_MS)
            try:
                done, reply = results.get(timeout=max(0.001, wait_ms / 1_000))
            except Empty:
                if attempt is None:
                    break
                tried.add(attempt.pool.entry.server_id)
                continue
            running -= 1
            server_id = done.pool.entry.server_id
            if reply is None:
                failure, detail = SessionFailure.UNREACHABLE, "the server's answer did not come"
            elif reply.failure is None:
                return Answer(reply.payload, None, "", tries, server_id, 0, done.after)
            else:
                failure, detail = reply.failure, reply.detail
            step = after_read(failure, tries)
            self._log_try(statement, done, failure, detail, step)
            if step is Step.TELL:
                payload = reply.payload if reply else b""
                return Answer(payload, failure, detail, tries, server_id, 0, done.after)
            if step is Step.TRY_PRIMARY:
                force_primary = not self._router.is_primary(done.pool)
            elif step is Step.TRY_ELSEWHERE:
                tried.add(server_id)
            elif step is Step.WAIT_AND_RETRY:
                self._router.pause(RETRY_PAUSE_MS)
            elif step is Step.PREPARE_AGAIN:
                done.connection.prepared.clear()
        if running:
            detail = "no answer came within the statement's time"
            return Answer(b"", SessionFailure.TIMEOUT, detail, tries)
        return Answer(b"", SessionFailure.BUSY, detail, tries)

    def _log_try(
        self, statement: Statement, done: _Try, failure: SessionFailure, detail: str, step: Step
    ) -> None:
        self._log.event(
            "try_failed",
            id=statement.request.request_id,
            server=done.pool.entry.server_id,
            group=done.pool.entry.group,
            failure=failure.name.lower(),
            reason=detail,
            required=done.after,
            held=done.pool.position,
            next=step.name.lower(),
        )

    def _collector(self, results: LightQueue, attempt: _Try):  # noqa: ANN202
        def collect(connection: ServerConnection, reply: ServerReply | None) -> None:
            if reply is None:
                self._router.lost(attempt.pool, connection)
            else:
                self._learn(attempt.pool, connection, reply)
                self._finish(attempt.pool, connection)
            results.put((attempt, reply))

        return collect

    def _begin_read(
        self,
        session: "CallerSession",
        route: DatabaseRoute,
        workspace: str,
        deadline_ms: int,
        tried: set[str],
        force_primary: bool,
    ) -> _Try:
        """Return a connection for a read; nothing has been sent on it.

        :raises OpenError: if there is none before the deadline.
        """
        while True:
            if route.mode is ReadMode.PRIMARY or force_primary:
                pool, connection = self._primary_connection(session, route, workspace, deadline_ms)
                return _Try(pool, connection, None)
            written = session.written.get(route.group)
            pools = self._router.read_pools(route, written, workspace, tried)
            if not pools and len(tried) > 0:
                tried.clear()
                pools = self._router.read_pools(route, written, workspace, tried)
            if not pools:
                force_primary = True
                continue
            pool, after = pools[0]
            try:
                connection = pool.acquire(workspace, route.priority, session.values, deadline_ms)
            except OpenError as error:
                if after_failed_start(error.failure) is Step.TRY_ELSEWHERE:
                    tried.add(pool.entry.server_id)
                if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                    raise
                if after_failed_start(error.failure) is Step.WAIT_AND_RETRY:
                    eventlet.sleep(RETRY_PAUSE_MS / 1_000)
                continue
            if after is None and not self._router.primary_usable(route.group):
                pool.release(connection)
                continue
            if self._preparer.apply_values(session, connection):
                return _Try(pool, connection, after)
            self._router.lost(pool, connection)

    # Transactions.

    def run_in_transaction(
        self, session: "CallerSession", statement: Statement, transaction: "Transaction"
    ) -> Answer:
        """Run a statement of a transaction, opening it at a server with the first one."""
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + transaction.route.timeout_ms - ANSWER_MARGIN_MS
        answer = self._in_transaction(session, statement, transaction, deadline_ms)
        return self._timed(answer, started_ms)

    def _in_transaction(
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
                failure = self._open_transaction(session, transaction, deadline_ms)
                if failure is not None:
                    transaction.failed = True
                    return Answer(b"", failure, "the transaction could not begin", tries)
            tries += 1
            pool, connection = transaction.pool, transaction.connection
            transaction.wrote = transaction.wrote or statement.is_write
            reply = self._send_in_transaction(session, connection, statement, deadline_ms)
            server_id = pool.entry.server_id
            if reply is None:
                self._router.lost(pool, connection)
                transaction.connection = None
                again = first and not statement.is_write and tries == 1
                if again and self._clock.now_ms() + RETRY_PAUSE_MS < deadline_ms:
                    continue
                transaction.failed = True
                detail = "the connection to the server was lost"
                return Answer(b"", SessionFailure.ABORTED, detail, tries, server_id)
            self._learn(pool, connection, reply)
            if reply.state is not TransactionState.OPEN:
                transaction.failed = True
                self.abandon(transaction)
            return Answer(reply.payload, reply.failure, reply.detail, tries, server_id)

    def _send_in_transaction(
        self,
        session: "CallerSession",
        connection: ServerConnection,
        statement: Statement,
        deadline_ms: int,
    ) -> ServerReply | None:
        if not self._preparer.apply_values(session, connection):
            return None
        try:
            return self._send(connection, statement, deadline_ms)
        except OpenError:
            return None  # the transaction is aborted, as after any lost connection

    def _open_transaction(
        self, session: "CallerSession", transaction: "Transaction", deadline_ms: int
    ) -> SessionFailure | None:
        route = transaction.route
        tried: set[str] = set()
        force_primary = not transaction.read_only
        while self._clock.now_ms() < deadline_ms:
            try:
                attempt = self._begin_read(
                    session, route, transaction.workspace, deadline_ms, tried, force_primary
                )
            except OpenError:
                return SessionFailure.BUSY
            text = self._codec.begin(transaction.read_only)
            data = self._codec.query(transaction.begin.request_id, text, attempt.after)
            transaction.sent = True
            reply = attempt.connection.ask(data, deadline_ms - self._clock.now_ms())
            if reply is None:
                self._router.lost(attempt.pool, attempt.connection)
                tried.add(attempt.pool.entry.server_id)
                continue
            self._router.learn(attempt.pool, attempt.connection.sent_ms, reply, measured=False)
            if reply.failure is None:
                transaction.pool = attempt.pool
                transaction.connection = attempt.connection
                return None
            self._finish(attempt.pool, attempt.connection)
            if reply.failure is SessionFailure.LAGGING:
                force_primary = True
            else:
                self._router.pause(RETRY_PAUSE_MS)
        return SessionFailure.BUSY

    def commit(
        self, session: "CallerSession", statement: Statement, transaction: "Transaction"
    ) -> Answer:
        """Commit a transaction; ``UNREACHABLE`` says that the answer did not come."""
        started_ms = self._clock.now_ms()
        route = transaction.route
        deadline_ms = started_ms + route.timeout_ms - ANSWER_MARGIN_MS
        if transaction.connection is None:
            failure = self._open_transaction(session, transaction, deadline_ms)
            if failure is not None:
                return Answer(b"", failure, "the transaction could not begin")
        pool, connection = transaction.pool, transaction.connection
        server_id = pool.entry.server_id
        transaction.connection = None
        if connection.is_lost():
            self._router.lost(pool, connection)
            detail = "the server's connection was lost before the commit was sent"
            return Answer(b"", SessionFailure.ABORTED, detail, 0, server_id)
        reply = self._send(connection, statement, deadline_ms)
        if reply is None:
            self._router.lost(pool, connection)
            return self._timed(
                Answer(b"", SessionFailure.UNREACHABLE, "", 1, server_id), started_ms
            )
        self._learn(pool, connection, reply)
        if reply.failure is None and transaction.wrote:
            self._note_written(session, route, reply)
        self._finish(pool, connection)
        return self._timed(
            Answer(reply.payload, reply.failure, reply.detail, 1, server_id), started_ms
        )

    def roll_back(self, request_id: str, transaction: "Transaction") -> None:
        """End a transaction at its server on the caller's word."""
        pool, connection = transaction.pool, transaction.connection
        transaction.connection = None
        data = self._codec.query(request_id, self._codec.rollback())
        reply = connection.ask(data, SECOND_TRY_MS)
        if reply is None or reply.failure is not None:
            pool.discard(connection)
        else:
            self._finish(pool, connection)

    def abandon(self, transaction: "Transaction") -> None:
        """End a transaction without its caller's word: closing its connection rolls it back."""
        if transaction.connection is not None:
            transaction.pool.discard(transaction.connection)
            transaction.connection = None
