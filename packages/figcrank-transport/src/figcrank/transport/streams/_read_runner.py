"""Runs reads outside transactions, with retries and hedges."""

from typing import TYPE_CHECKING

import eventlet
from eventlet.queue import Empty, LightQueue

from figcrank.coordination.admission import Demand, Stage
from figcrank.coordination.sessions import RefusalReason, RetryAction, after_read
from figcrank.protocol.sessions import SessionFailure, StatementReply
from figcrank.state._catalog import DatabaseRoute
from figcrank.state._clock import Clock
from figcrank.transport.streams._acquirer import RETRY_PAUSE_MS, Attempt, ConnectionAcquirer
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._preparer import ConnectionPreparer
from figcrank.transport.streams._replies import ReplyObserver, release_or_discard
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._statements import WORKSPACE_LEFT, Answer, Statement

if TYPE_CHECKING:
    from figcrank.transport.streams._session import CallerSession

SLOW_ANSWER_MS = 300  # ten times a usual read; the answer is lost or the server is stuck


def _not_run(unanswered: bool) -> SessionFailure:
    """Return the failure of a read that no server accepts now.

    ``BUSY`` says that nothing has run, which is unknown after an attempt without a reply.
    """
    return SessionFailure.TIMEOUT if unanswered else SessionFailure.BUSY


class ReadRunner:
    """Runs reads on the servers that the router selects.

    :param router: server pools.
    :param clock: this host's clock.
    :param preparer: prepares connections for statements.
    :param acquirer: gets connections.
    :param observer: records what replies tell.
    :param log: log of failed attempts.
    """

    def __init__(
        self,
        router: Router,
        clock: Clock,
        preparer: ConnectionPreparer,
        acquirer: ConnectionAcquirer,
        observer: ReplyObserver,
        log: EventLog,
    ) -> None:
        self._router = router
        self._clock = clock
        self._preparer = preparer
        self._acquirer = acquirer
        self._observer = observer
        self._log = log

    def run(
        self,
        session: "CallerSession",
        statement: Statement,
        route: DatabaseRoute,
        demand: Demand,
    ) -> Answer:
        """Run a read, a second time at another server if the first one is slow."""
        deadline_ms = demand.deadline_ms
        tried: set[str] = set()
        results: LightQueue = LightQueue()
        sent: list[ServerConnection] = []
        running = 0
        tries = 0
        unanswered = False  # an attempt without a reply may have run
        failure, detail = SessionFailure.BUSY, "no server is available"
        force_primary = False
        while self._clock.now_ms() < deadline_ms:
            attempt_demand = self._acquirer.hedge(demand) if running else demand
            try:
                attempt = self._acquirer.acquire_server(
                    session, route, attempt_demand, tried, force_primary
                )
            except OpenError as error:
                if not running:
                    not_run = _not_run(unanswered)
                    return Answer(b"", not_run, str(error), tries, refusal=error.reason)
                attempt = None
            if attempt is not None:
                tries += 1
                try:
                    data = self._preparer.encode(
                        attempt.connection, statement, attempt.min_position
                    )
                except OpenError as error:
                    self._log_failed_attempt(
                        statement, attempt, error.failure, str(error), RetryAction.TRY_ELSEWHERE
                    )
                    self._router.discard_failed_connection(attempt.pool, attempt.connection)
                    tried.add(attempt.pool.entry.server_id)
                    continue
                if not self._router.may_send_to(attempt.pool.entry):
                    attempt.pool.discard(attempt.connection)
                    tries -= 1
                    continue
                if not demand.acts_for_workspace():
                    release_or_discard(attempt.pool, attempt.connection)
                    tries -= 1
                    attempt = None
                    if not running:
                        not_run, refusal = _not_run(unanswered), RefusalReason.CONFIGURATION
                        return Answer(b"", not_run, WORKSPACE_LEFT, tries, refusal=refusal)
            if attempt is not None:
                running += 1
                attempt.pool.extend_use(attempt.connection, deadline_ms)
                session.statement_sent = True
                sent.append(attempt.connection)
                attempt.connection.send(data, self._reply_handler(results, attempt))
            wait_ms = deadline_ms - self._clock.now_ms()
            if attempt is not None and running == 1:
                wait_ms = min(wait_ms, SLOW_ANSWER_MS)
            try:
                finished_attempt, reply = self._next_result(results, wait_ms, sent)
            except Empty:
                if attempt is None:
                    break
                tried.add(attempt.pool.entry.server_id)
                continue
            running -= 1
            sent_ms = finished_attempt.connection.sent_ms
            demand.stages.add(Stage.SERVER, self._clock.now_ms() - sent_ms)
            server_id = finished_attempt.pool.entry.server_id
            if reply is None:
                unanswered = True
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
                if failure is SessionFailure.BUSY and unanswered:
                    payload, failure = b"", SessionFailure.TIMEOUT
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
        is_busy = tries > 0 and failure is SessionFailure.BUSY
        refusal = RefusalReason.SERVER_BUSY if is_busy else RefusalReason.NO_SERVER
        return Answer(b"", _not_run(unanswered), detail, tries, refusal=refusal)

    @staticmethod
    def _next_result(
        results: LightQueue, wait_ms: float, sent: list[ServerConnection]
    ) -> tuple[Attempt, StatementReply | None]:
        """Return the next result.

        :param sent: connections on which the read was sent.
        :raises Empty: if there is none in time.
        """
        try:
            return results.get(timeout=max(0.001, wait_ms / 1_000))
        except Empty:
            if any(connection.has_unread() for connection in sent):
                eventlet.sleep(0)  # arrived while this host was suspended or busy
            return results.get_nowait()

    def _log_failed_attempt(
        self,
        statement: Statement,
        finished_attempt: Attempt,
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

    def _reply_handler(self, results: LightQueue, attempt: Attempt):  # noqa: ANN202
        def handle(connection: ServerConnection, reply: StatementReply | None) -> None:
            if reply is None:
                self._router.discard_failed_connection(attempt.pool, connection)
            else:
                self._observer.observe(attempt.pool, connection, reply)
                release_or_discard(attempt.pool, connection)
            results.put((attempt, reply))

        return handle
