"""Caller sessions: session variables, prepared statements and the open transaction."""

from dataclasses import dataclass, field

import eventlet
from eventlet.green import socket

from figcrank.coordination.owners import after_lost_owner
from figcrank.coordination.sessions import HostLifetime, RefusalReason, after_lost_commit
from figcrank.protocol.sessions import (
    CallerCodec,
    CallerMessage,
    ConfigurationSeen,
    Request,
    SessionClose,
    SessionFailure,
    SessionStart,
    TransactionState,
    Verb,
)
from figcrank.state._catalog import DatabaseRoute
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._caller_connection import (
    SESSION_START_TIMEOUT_MS,
    STOPPING_DETAIL,
    CallerConnection,
)
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._refusals import RefusalRecorder
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._runner import StatementRunner
from figcrank.transport.streams._session_state import PreparedStatement, Transaction
from figcrank.transport.streams._statements import WORKSPACE_LEFT, Answer, Statement

CATALOG_WAIT_MS = 2_000  # callers don't wait longer for the handshake reply
CATALOG_POLL_MS = 20
# A newer configuration reaches every owner within a few round trips, unless the owner is cut off.
NEWER_CATALOG_WAIT_MS = 300
# A host that reads the store itself has done so by then, also if its idle connections have died.
CONFIRMATION_WAIT_MS = 800
CONFIRMATION_RETRY_MS = 1_000  # the host calls the store again sooner
MAX_SESSION_ITEMS = 64  # of variables and, separately, of prepared statements
LOCAL_VERBS = (Verb.SET, Verb.PREPARE, Verb.DEALLOCATE)


@dataclass(slots=True)
class SessionServices:
    """Services shared by all sessions of a host.

    :param codec: caller wire format.
    :param router: server pools.
    :param runner: runs statements.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    :param sessions: the open sessions.
    :param refusal_age_ms: largest age of the configuration at which an unknown key or database is
        refused for good; ``None`` if any age will do.
    :param lifetime: how long this host runs.
    :param refusals: counts refusals by reason.
    """

    codec: CallerCodec
    router: Router
    runner: StatementRunner
    clock: Clock
    log: EventLog
    metrics: Metrics
    sessions: set[CallerConnection] = field(default_factory=set)
    refusal_age_ms: int | None = None
    lifetime: HostLifetime = field(default_factory=HostLifetime)
    refusals: RefusalRecorder = field(init=False)

    def __post_init__(self) -> None:
        self.refusals = RefusalRecorder(self.clock, self.metrics)


class CallerSession(CallerConnection):
    """Runs a caller's session on this host.

    :param sock: connected socket, from the caller or from a relay.
    :param services: services shared by all sessions.
    :param codec: wire format of the connection; that of the callers by default.
    """

    def __init__(
        self, sock: socket.socket, services: SessionServices, codec: CallerCodec | None = None
    ) -> None:
        super().__init__(
            sock,
            codec or services.codec,
            services.sessions,
            services.clock,
            services.log,
            services.metrics,
            services.lifetime,
        )
        self._services = services
        self._database = ""
        self._key = ""
        self._seen_version = 0  # of the configuration, by the relay of this session
        self.variables: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self._transaction: Transaction | None = None
        self.statement_sent = False  # whether the request in progress may have run at a server
        self.last_commit: dict[str, Position] = {}  # by group

    def require_version(self, version: int) -> None:
        """Use no configuration older than one that this host has seen in use elsewhere."""
        self._seen_version = max(self._seen_version, version)

    def _serve(self) -> None:
        session_start = self._read_start()
        if not isinstance(session_start, SessionStart) or not self._accept_session_start(
            session_start
        ):
            return
        while True:
            message = self._next_request()
            if message is None or isinstance(message, SessionClose):
                return
            if isinstance(message, ConfigurationSeen):
                self._seen_version = max(self._seen_version, message.version)
                continue
            if isinstance(message, Request):
                self._handle(message)
            elif not self._reject_malformed(message):
                return
            if self._may_close:
                return

    def _read_start(self) -> CallerMessage | None:
        """Return the first message of the session, after what a relay sends before it."""
        return self._next_message(SESSION_START_TIMEOUT_MS)

    def _next_request(self) -> CallerMessage | None:
        idle_ms = None
        transaction = self._transaction
        if transaction is not None and not transaction.failed:
            catalog = self._services.router.view.catalog
            idle_ms = catalog.transaction_idle_ms
        message = self._next_message(idle_ms)
        if message is None and transaction is not None and idle_ms and not self._caller_closed:
            self._services.log.event("transaction_idle", database=self._database, idle_ms=idle_ms)
            self._abort_between_requests(f"it had no request for {idle_ms} ms")
            return self._next_message(None)
        return message

    @property
    def transaction_state(self) -> TransactionState:
        """Return the transaction state of the session."""
        if self._transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if self._transaction.failed else TransactionState.OPEN

    def _accept_session_start(self, session_start: SessionStart) -> bool:
        self._database = session_start.database
        self._key = session_start.key
        if self._lifetime.rejects_sessions(self._clock.now_ms()):
            self._record_refusal("", SessionFailure.BUSY, STOPPING_DETAIL, RefusalReason.STOPPING)
            self._reject_start(SessionFailure.BUSY, STOPPING_DETAIL)
            return False
        self._await_catalog()
        failure = self._confirmed_access_failure()
        if failure is not None:
            self._record_refusal("", failure, f"during the handshake, {self._describe_catalog()}")
            self._send_rejection(failure, self._access_detail(failure))
            return False
        if self._is_sent_away():
            return False
        self._reply(b"")
        return True

    def _is_sent_away(self) -> bool:
        """Return whether the session was redirected or rejected instead of being accepted."""
        return False

    def _host_refusal(self) -> str | None:
        """Return why this host may not run the session, ``None`` if it may."""
        return None

    def _await_catalog(self) -> None:
        deadline_ms = self._services.clock.now_ms() + CATALOG_WAIT_MS
        while self._catalog_is_outdated() and self._services.clock.now_ms() < deadline_ms:
            eventlet.sleep(CATALOG_POLL_MS / 1_000)

    def _catalog_is_outdated(self) -> bool:
        """Return whether this host's configuration is missing or older than the relay has seen."""
        catalog = self._services.router.view.catalog
        return catalog is None or catalog.version < self._seen_version

    def _describe_catalog(self) -> str:
        """Return the version and age of this host's configuration, and the newest version named."""
        view = self._services.router.view
        age_ms = view.configuration_age.age_ms(self._services.clock.now_ms())
        named = view.newest_named_version()
        return (
            f"configuration {view.catalog_version}, confirmed {age_ms} ms ago,"
            f" newest named by a peer {named}"
        )

    def _confirmed_access_failure(self) -> SessionFailure | None:
        """Return why the caller has no access, ``None`` if it has.

        A configuration that may lack recent changes does not show that a key or database is
        unknown. This host is reading the store then; the caller is told to come back if it does
        not get an answer.
        """
        failure = self._access_failure()
        if failure is None or failure is SessionFailure.BUSY:
            return failure
        deadline_ms = self._services.clock.now_ms() + CONFIRMATION_WAIT_MS
        view = self._services.router.view
        while self._is_unconfirmed():
            if not view.store_ok or self._services.clock.now_ms() >= deadline_ms:
                return SessionFailure.BUSY
            eventlet.sleep(CATALOG_POLL_MS / 1_000)
            if self._access_failure() is None:
                return None
        return self._access_failure()

    def _access_detail(self, failure: SessionFailure) -> str:
        """Return what the caller is told of its missing access."""
        if failure is not SessionFailure.BUSY:
            return self._database
        return f"the configuration is not confirmed; retry after {CONFIRMATION_RETRY_MS} ms"

    def _is_unconfirmed(self) -> bool:
        limit_ms = self._services.refusal_age_ms
        age = self._services.router.view.configuration_age
        return limit_ms is not None and age.is_older_than(limit_ms, self._services.clock.now_ms())

    def _access_failure(self) -> SessionFailure | None:
        """Return why the caller has no access by this host's configuration."""
        catalog = self._services.router.view.catalog
        if self._catalog_is_outdated():
            return SessionFailure.BUSY
        route = catalog.routes.get(self._database)
        if route is None:
            return SessionFailure.UNKNOWN_DATABASE
        if not route.allows_anonymous and self._key not in catalog.workspace_by_key:
            return SessionFailure.UNAUTHENTICATED
        return None

    def _unanswered_failure(self) -> SessionFailure:
        request, transaction = self._outstanding, self._transaction
        if not isinstance(request, Request):
            return SessionFailure.ABORTED if self.in_transaction else SessionFailure.BUSY
        may_write = request.verb is Verb.WRITE
        if request.verb is Verb.EXECUTE:
            prepared = self.prepared.get(request.name)
            may_write = prepared is None or prepared.is_write
        # A commit that was sent has ended its transaction; it may have written.
        wrote = transaction is None or transaction.wrote
        return after_lost_owner(
            request, self.transaction_state, may_write, wrote, self.statement_sent
        )

    def _handle(self, request: Request) -> None:
        self.statement_sent = False
        transaction = self._transaction
        if self._catalog_is_outdated() and not self._await_newer_catalog(request):
            return
        refusal = self._host_refusal()
        if refusal is not None:
            self._closing = True  # the caller's next session starts at an owner that may run it
            self._refuse(request, refusal, RefusalReason.REGION)
            return
        if transaction is not None and transaction.failed:
            self._handle_in_failed_transaction(request, transaction)
        elif request.verb in LOCAL_VERBS:
            self._handle_local(request)
        elif transaction is not None:
            self._handle_in_transaction(request, transaction)
        elif request.verb in (Verb.COMMIT, Verb.ROLLBACK):
            self._reply_failure(SessionFailure.MALFORMED, "no transaction is open")
        else:
            self._handle_operation(request)

    def _await_newer_catalog(self, request: Request) -> bool:
        """Wait for the configuration that the relay has seen; refuse the request without it."""
        deadline_ms = self._services.clock.now_ms() + NEWER_CATALOG_WAIT_MS
        while self._catalog_is_outdated() and self._services.clock.now_ms() < deadline_ms:
            eventlet.sleep(CATALOG_POLL_MS / 1_000)
        if not self._catalog_is_outdated():
            return True
        reason = (
            f"this host has configuration {self._services.router.view.catalog_version},"
            f" and {self._seen_version} is in use"
        )
        self._refuse(request, reason)
        return False

    def _refuse(
        self,
        request: Request,
        reason: str,
        refusal: RefusalReason = RefusalReason.CONFIGURATION,
    ) -> None:
        """Refuse a request that this host may not handle, and abort an open transaction."""
        failure = SessionFailure.ABORTED if self.in_transaction else SessionFailure.BUSY
        self._abort_open_transaction()
        if self._transaction is not None:
            self._transaction.untold_failure = ""
        if request.verb in (Verb.COMMIT, Verb.ROLLBACK):
            self._transaction = None
        self._record_refusal(request.request_id, failure, reason, refusal)
        self._reply_failure(failure, reason)

    def _handle_in_failed_transaction(self, request: Request, transaction: Transaction) -> None:
        if request.verb is Verb.ROLLBACK:
            self._transaction = None
            self._reply(self._codec.completion())
        elif request.verb is Verb.COMMIT:
            self._transaction = None
            self._reply_failure(
                SessionFailure.ABORTED, "the transaction failed earlier and was rolled back"
            )
        elif transaction.untold_failure:
            reason = f"the transaction was rolled back: {transaction.untold_failure}"
            transaction.untold_failure = ""
            self._record_refusal(request.request_id, SessionFailure.ABORTED, reason)
            self._reply_failure(SessionFailure.ABORTED, reason)
        else:
            self._reply_failure(SessionFailure.MALFORMED, "the transaction failed; roll it back")

    def _handle_local(self, request: Request) -> None:
        items = self.prepared if request.verb is not Verb.SET else self.variables
        adds = request.verb is not Verb.DEALLOCATE and request.name not in items
        if adds and len(items) >= MAX_SESSION_ITEMS:
            self._reply_failure(
                SessionFailure.TOO_LARGE,
                f"a session can hold at most {MAX_SESSION_ITEMS} variables"
                " and as many prepared statements",
            )
            return
        if request.verb is Verb.SET:
            self.variables[request.name] = request.argument
        elif request.verb is Verb.PREPARE:
            self.prepared[request.name] = PreparedStatement(
                request.prepares_write, request.argument
            )
        else:
            self.prepared.pop(request.name, None)
        self._reply(self._codec.completion())

    def _handle_operation(self, request: Request) -> None:
        """Open a transaction or run a single statement outside one.

        Each of these is one operation of the workspace's rate limit.
        """
        failure = self._confirmed_access_failure()
        if failure is not None:
            self._record_refusal(request.request_id, failure, self._describe_catalog())
            self._reply_failure(failure, self._access_detail(failure))
            return
        catalog = self._services.router.view.catalog
        route = catalog.routes[self._database]
        workspace = catalog.workspace_by_key.get(self._key, "")
        if not self._admit(request, route, workspace):
            return
        if request.verb in (Verb.BEGIN, Verb.BEGIN_READ):
            read_only = request.verb is Verb.BEGIN_READ
            self._transaction = Transaction(request, read_only, route, workspace)
            self._reply(self._codec.completion())
            return
        statement = self._statement(request)
        if statement is None:
            return
        answer = self._services.runner.run_single(self, statement, route, workspace)
        if not answer.tries:
            self._refund_limit(workspace)
        self._send_answer(request, route, workspace, answer)

    def _admit(self, request: Request, route: DatabaseRoute, workspace: str) -> bool:
        services = self._services
        limit = services.router.view.limits.get(workspace)
        now_ms = services.clock.now_ms()
        if limit is None or limit.admit(now_ms):
            return True
        retry_after_ms, is_wrongful = limit.retry_after_ms(), limit.is_wrongful(now_ms)
        services.refusals.record_over_limit(route.group, workspace, is_wrongful)
        services.log.event(
            "over_limit",
            id=request.request_id,
            workspace=workspace,
            retry_after_ms=retry_after_ms,
            wrongful=is_wrongful,
            **limit.explain(),
        )
        self._reply_failure(SessionFailure.BUSY, f"over the limit; retry after {retry_after_ms} ms")
        return False

    def _refund_limit(self, workspace: str) -> None:
        limit = self._services.router.view.limits.get(workspace)
        if limit is not None:
            limit.refund()

    def _statement(self, request: Request) -> Statement | None:
        if request.verb is not Verb.EXECUTE:
            return Statement(request, request.verb is Verb.WRITE)
        prepared = self.prepared.get(request.name)
        if prepared is None:
            self._reply_failure(SessionFailure.UNKNOWN_STATEMENT, request.name)
            return None
        return Statement(request, prepared.is_write, prepared.definition)

    def _handle_in_transaction(self, request: Request, transaction: Transaction) -> None:
        if request.verb in (Verb.BEGIN, Verb.BEGIN_READ):
            self._reply_failure(SessionFailure.MALFORMED, "a transaction is already open")
            return
        if not self.acts_for(transaction.workspace):
            self._end_foreign_transaction(request)
            return
        if request.verb is Verb.ROLLBACK:
            self._roll_back(request, transaction)
            return
        if request.verb is Verb.COMMIT:
            self._commit(request, transaction)
            return
        statement = self._statement(request)
        if statement is None:
            return
        answer = self._services.runner.run_in_transaction(self, statement, transaction)
        if not transaction.sent:
            self._refund_limit(transaction.workspace)
        self._send_answer(request, transaction.route, transaction.workspace, answer)

    def acts_for(self, workspace: str) -> bool:
        """Return whether the session acts for a workspace, by the configuration in force.

        A newer configuration may have withdrawn the session's key or given it to another workspace.
        Whatever has kept a workspace since it arrived is checked with this before it is sent.

        :param workspace: name of the workspace; empty for callers without a known key.
        """
        catalog = self._services.router.view.catalog
        return catalog.workspace_by_key.get(self._key, "") == workspace

    def _end_foreign_transaction(self, request: Request) -> None:
        """End a transaction for whose workspace the session no longer acts; send nothing for it.

        Closing its connection rolls it back.
        """
        if request.verb is Verb.ROLLBACK:
            self._abort_open_transaction()
            self._transaction = None
            self._reply(self._codec.completion())
        else:
            self._refuse(request, WORKSPACE_LEFT)

    def _commit(self, request: Request, transaction: Transaction) -> None:
        answer = self._services.runner.commit(self, Statement(request, False), transaction)
        self._transaction = None
        if answer.failure is SessionFailure.UNREACHABLE:
            failure = after_lost_commit(transaction.wrote)
            answer = Answer(b"", failure, "the server did not answer the commit", answer.tries)
        self._send_answer(request, transaction.route, transaction.workspace, answer)

    def _roll_back(self, request: Request, transaction: Transaction) -> None:
        self._transaction = None
        self._reply(self._codec.completion())
        if transaction.connection is not None:
            self._services.runner.roll_back(request.request_id, transaction)

    def _send_answer(
        self, request: Request, route: DatabaseRoute, workspace: str, answer: Answer
    ) -> None:
        services = self._services
        services.metrics.count(
            "requests",
            mode=route.mode.value,
            outcome=answer.failure.name.lower() if answer.failure else "ok",
        )
        services.metrics.observe_latency("request", route.mode.value, answer.took_ms)
        stages = {f"{stage.value}_ms": took_ms for stage, took_ms in answer.stages.items()}
        for stage, took_ms in answer.stages.items():
            services.metrics.observe_latency(f"stage_{stage.value}", route.mode.value, took_ms)
        if answer.failure is SessionFailure.BUSY:
            reason = answer.refusal or RefusalReason.SERVER_BUSY
            services.refusals.record(route.group, workspace, reason)
        services.log.event(
            "refused" if answer.failure else "served",
            id=request.request_id,
            database=self._database,
            workspace=workspace,
            group=route.group,
            server=answer.server_id,
            tries=answer.tries,
            took_ms=answer.took_ms,
            mode=route.mode.value,
            form=answer.form,
            failure=answer.failure.name.lower() if answer.failure else None,
            reason=answer.detail or None,
            required=answer.required,
            **stages,
        )
        if answer.payload:
            self._reply(answer.payload)
        else:
            self._reply_failure(answer.failure, answer.detail)

    def _record_refusal(
        self,
        request_id: str,
        failure: SessionFailure,
        reason: str,
        refusal: RefusalReason = RefusalReason.CONFIGURATION,
    ) -> None:
        self._services.metrics.count("refused", failure=failure.name.lower())
        if failure is SessionFailure.BUSY:
            self._services.refusals.record("", "", refusal)
        self._services.log.event(
            "refused",
            id=request_id,
            database=self._database,
            failure=failure.name.lower(),
            reason=reason,
        )

    def _abort_open_transaction(self) -> None:
        transaction = self._transaction
        if transaction is None or transaction.failed:
            return
        transaction.failed = True
        self._services.runner.abort(transaction)

    def _abort_between_requests(self, reason: str) -> None:
        """Roll back the open transaction; the next request is answered with the failure."""
        transaction = self._transaction
        if transaction is not None and not transaction.failed:
            transaction.untold_failure = reason
            self._abort_open_transaction()

    def abort_transaction(self) -> None:
        """Roll back the open transaction if no request is in progress.

        The caller receives the failure with its next request.
        """
        if self._receiving:
            self._abort_between_requests(STOPPING_DETAIL)

    def _release(self) -> None:
        if self._transaction is not None:
            self._services.runner.abort(self._transaction)
            self._transaction = None
