"""Caller sessions that an owner runs on behalf of this host."""

from dataclasses import dataclass, field

from eventlet.green import socket

from figcrank.coordination.owners import HeldState, after_lost_owner
from figcrank.coordination.sessions import HostLifetime, RefusalReason
from figcrank.protocol.owners import Owner
from figcrank.protocol.relays import RelayReply, encode_request
from figcrank.protocol.sessions import (
    CallerCodec,
    Request,
    SessionClose,
    SessionFailure,
    SessionStart,
    TransactionState,
    Verb,
)
from figcrank.state._clock import Clock
from figcrank.transport.streams._caller_connection import (
    SESSION_START_TIMEOUT_MS,
    STOPPING_DETAIL,
    CallerConnection,
)
from figcrank.transport.streams._connection import ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_opener import OpenedSession, OwnerOpener
from figcrank.transport.streams._owner_tracker import OwnerTracker

# Beyond the statement timeout, which the owner itself enforces; covers a busy link.
REPLY_MARGIN_MS = 250
DEFAULT_REPLY_TIMEOUT_MS = 10_000  # while the route's statement timeout is unknown


@dataclass(slots=True)
class RelayServices:
    """Services shared by all relayed sessions of a host.

    :param codec: caller wire format.
    :param owners: chooses owners and watches them.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    :param sessions: the open sessions of the host.
    :param opener: opens sessions at owners.
    :param lifetime: how long this host runs.
    """

    codec: CallerCodec
    owners: OwnerTracker
    clock: Clock
    log: EventLog
    metrics: Metrics
    sessions: set[CallerConnection]
    opener: OwnerOpener
    lifetime: HostLifetime = field(default_factory=HostLifetime)


class RelayedSession(CallerConnection):
    """Forwards a caller's session to an owner.

    If the owner closes the session or is lost, the session goes on at another owner once there is a
    request. A session that holds anything at its owner ends with it instead: the caller reconnects.

    :param sock: connected socket of the caller.
    :param services: services shared by all relayed sessions.
    :param opened: the session, if it was opened at an owner already; it ends with that owner.
    """

    def __init__(
        self, sock: socket.socket, services: RelayServices, opened: OpenedSession | None = None
    ) -> None:
        super().__init__(
            sock,
            services.codec,
            services.sessions,
            services.clock,
            services.log,
            services.metrics,
            services.lifetime,
        )
        self._services = services
        self._opened = opened
        self._start: SessionStart | None = None
        self._held = HeldState()
        self._owner: Owner | None = None
        self._connection: ServerConnection | None = None
        self._state = TransactionState.IDLE
        self._wrote = False
        self._sent = False  # whether the request in progress was sent to the owner
        self._may_change = False  # whether it may change data
        self._prepared_writes: dict[str, bool] = {}
        self._timeout_ms = 0

    @property
    def transaction_state(self) -> TransactionState:
        """Return the transaction state of the session."""
        return self._state

    def abort_transaction(self) -> None:
        """Roll back the open transaction by ending the session at its owner."""
        if self._receiving and self.in_transaction and self._connection is not None:
            self._connection.close()

    def _release(self) -> None:
        if self._connection is not None:
            self._leave_owner()

    def _leave_owner(self) -> None:
        self._services.owners.detach(self._owner, self._connection)
        self._connection.close()

    def _serve(self) -> None:
        if self._opened is not None:
            is_open = self._accept(self._opened)
        else:
            start = self._next_message(SESSION_START_TIMEOUT_MS)
            is_open = isinstance(start, SessionStart) and self._open(start)
        if not is_open:
            return
        while True:
            message = self._next_message(None)
            if message is None or isinstance(message, SessionClose):
                return
            if isinstance(message, Request):
                if not self._forward(message):
                    return
            elif not self._reject_malformed(message):
                return
            self._close_if_lost()
            if self._may_close:
                return

    def _unanswered_failure(self) -> SessionFailure:
        if not isinstance(self._outstanding, Request):
            return SessionFailure.ABORTED if self.in_transaction else SessionFailure.BUSY
        return after_lost_owner(
            self._outstanding, self._state, self._may_change, self._wrote, self._sent
        )

    def _open(self, start: SessionStart) -> bool:
        """Open the session at an owner; return whether it was accepted."""
        if self._lifetime.rejects_sessions(self._clock.now_ms()):
            self._record_refusal("", SessionFailure.BUSY, STOPPING_DETAIL, RefusalReason.STOPPING)
            self._send_rejection(SessionFailure.BUSY, STOPPING_DETAIL)
            return False
        self._start = start
        opened = self._services.opener.open(start)
        if opened is not None:
            return self._accept(opened)
        self._record_refusal("", SessionFailure.BUSY, "no owner accepted the session")
        self._send_rejection(SessionFailure.BUSY, "no owner accepted the session")
        return False

    def _accept(self, opened: OpenedSession) -> bool:
        reply = opened.reply
        self._join_owner(opened)
        if reply.ended:
            self._rejected = True
            self._send(reply.body)
            return False
        self._reply(reply.body)
        return True

    def _join_owner(self, opened: OpenedSession) -> None:
        self._owner, self._connection = opened.owner, opened.connection
        opened.connection.on_idle_close = self._handle_owner_close
        self._services.owners.attach(opened.owner, opened.connection)
        self._observe(opened.reply)

    def _handle_owner_close(self, connection: ServerConnection) -> None:
        if connection is self._connection and not self.is_answering:
            self._close_if_lost()

    def _close_if_lost(self) -> None:
        """Close the session if it has lost its owner and can't go on at another one."""
        if self._connection.closed and not self._may_move():
            self.close_when_idle()

    def _may_move(self) -> bool:
        """Return whether the session may go on at another owner."""
        if self._start is None or self._lifetime.is_stopping:
            return False
        return self._held.may_move(self._state, self._sent)

    def _observe(self, reply: RelayReply) -> None:
        self._state = reply.state
        self._timeout_ms = reply.timeout_ms
        if reply.state is TransactionState.IDLE:
            self._wrote = False
        self._services.owners.record_reply(self._owner, reply.catalog_version)

    def _forward(self, request: Request) -> bool:
        """Forward a request and its reply; return whether the session can continue."""
        self._may_change = self._may_write(request)
        self._sent = False
        if self._takes_effect(request) and not self.is_connected():
            # It may have lain unread while this host was suspended.
            self._end_with_failure(
                request, "the caller has disconnected", RefusalReason.DISCONNECTED
            )
            return False
        deadline_ms = self._reply_deadline_ms()
        while (reply := self._ask_owner(request, deadline_ms)) is None:
            if not self.is_connected():
                raise EOFError  # ends the session; its statement leaves the owner's queue
            opened = self._open_elsewhere(deadline_ms) if self._may_move() else None
            if opened is None:
                reason = f"the connection to owner {self._owner.name} was lost"
                self._end_with_failure(request, reason, RefusalReason.NO_OWNER)
                return False
            if opened.reply.ended:  # the caller has lost its access, for example
                self._reply(opened.reply.body)
                return False
            if not self.is_connected():
                raise EOFError
        self._sent = False
        self._wrote = self._wrote or self._may_change
        self._held.record(request, self._may_change)
        self._observe(reply)
        self._reply(reply.body)
        return True

    def _ask_owner(self, request: Request, deadline_ms: int) -> RelayReply | None:
        """Return the owner's reply to a request, ``None`` if the session there has ended."""
        timeout_ms = deadline_ms - self._clock.now_ms()
        self._sent = timeout_ms > 0 and not self._connection.is_lost()
        if not self._sent:
            return None
        message = encode_request(request, self._services.owners.seen_version)
        reply = self._connection.send_and_wait(message, timeout_ms, self.is_connected)
        if reply is not None and reply.ended:
            self._sent = False  # the owner had closed the session before it read the request
            return None
        return reply

    def _open_elsewhere(self, deadline_ms: int) -> OpenedSession | None:
        """Open the session at another owner; return ``None`` if none answers in time."""
        self._leave_owner()
        opened = self._services.opener.open(self._start, deadline_ms)
        if opened is not None:
            self._log.event("session_moved", owner=opened.owner.name, left=self._owner.name)
            self._metrics.count("sessions_moved", owner=opened.owner.name)
            self._join_owner(opened)
        return opened

    def _reply_deadline_ms(self) -> int:
        timeout_ms = (self._timeout_ms or DEFAULT_REPLY_TIMEOUT_MS) + REPLY_MARGIN_MS
        return self._lifetime.limit_ms(self._clock.now_ms() + timeout_ms)

    def _may_write(self, request: Request) -> bool:
        if request.verb is Verb.PREPARE:
            # An earlier statement of this name stays prepared if the owner rejects this one.
            earlier = self._prepared_writes.get(request.name, False)
            self._prepared_writes[request.name] = earlier or request.prepares_write
        if request.verb is Verb.EXECUTE:
            return self._prepared_writes.get(request.name, True)
        return request.verb is Verb.WRITE

    def _takes_effect(self, request: Request) -> bool:
        """Return whether a request changes data for good, rather than within a transaction."""
        is_single = self._state is TransactionState.IDLE
        return request.verb is Verb.COMMIT or (is_single and self._may_change)

    def _end_with_failure(self, request: Request, reason: str, refusal: RefusalReason) -> None:
        """Report the failure of a request; the session ends after it, since its state is lost."""
        failure = self._unanswered_failure()
        self._state = TransactionState.IDLE
        self._record_refusal(request.request_id, failure, reason, refusal)
        self._reply_failure(failure, reason)

    def _record_refusal(
        self,
        request_id: str,
        failure: SessionFailure,
        reason: str,
        refusal: RefusalReason = RefusalReason.NO_OWNER,
    ) -> None:
        self._services.metrics.count("refused", failure=failure.name.lower())
        if failure is SessionFailure.BUSY:
            self._services.metrics.count("callers_refused", reason=refusal.value)
        self._services.log.event(
            "refused",
            id=request_id,
            failure=failure.name.lower(),
            reason=reason,
            owner=self._owner.name if self._owner else None,
        )
