"""A caller's connection: reads messages, writes replies and closes between two operations."""

import contextlib
import traceback
from abc import ABC, abstractmethod

import eventlet
from eventlet import hubs
from eventlet.green import socket

from figcrank.coordination.sessions import HostLifetime, RefusalReason
from figcrank.protocol.sessions import (
    CallerCodec,
    CallerMessage,
    MalformedMessage,
    Request,
    SessionClose,
    SessionFailure,
    SessionStart,
    TransactionState,
)
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._traffic import TrafficChannel

RECEIVE_BYTES = 16_384
SESSION_START_TIMEOUT_MS = 10_000  # closes connections that never send a handshake
SEND_TIMEOUT_MS = 10_000  # closes connections that take no byte of a reply for this long
FIRST_REQUEST_MS = 300  # callers send the first request of a session at once
CLOSE_TIMEOUT_MS = 500  # for callers to close after the last message of a session
CLOSING_DETAIL = "the host is closing the session"
STOPPING_DETAIL = "this host is being stopped; connect again to reach another one"


class SessionInterrupted(BaseException):
    """Raised inside a session that the host ends; not an error that a session could handle."""


class CallerConnection(ABC):
    """Serves one caller's connection.

    :param sock: connected socket.
    :param codec: wire format of the connection.
    :param sessions: live collection of the open sessions, to which this one belongs while it runs.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    :param lifetime: how long the host runs.
    """

    def __init__(
        self,
        sock: socket.socket,
        codec: CallerCodec,
        sessions: "set[CallerConnection]",
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        lifetime: HostLifetime,
    ) -> None:
        self._sock = sock
        self._codec = codec
        self._sessions = sessions
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._lifetime = lifetime
        self._greenlet: eventlet.greenlet.greenlet | None = None  # while it may be interrupted
        self._replying = False
        self._ends_after_reply: str | None = None  # why, if it was interrupted in a reply
        self._outstanding: SessionStart | Request | MalformedMessage | None = None
        self._outstanding_since_ms = 0
        self._decoder = codec.decoder()
        self._pending_messages: list[CallerMessage] = []
        self._receiving = False
        self._opened_ms = clock.now_ms()
        self._closing = False
        self._rejected = False  # whether the start of the session was rejected or redirected
        self._caller_closed = False
        self._traffic: TrafficChannel | None = None  # of a relay's connection, once it is known
        self._uncounted_bytes = 0  # received before that

    @property
    @abstractmethod
    def transaction_state(self) -> TransactionState:
        """Return the transaction state of the session."""

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self.transaction_state is not TransactionState.IDLE

    @abstractmethod
    def abort_transaction(self) -> None:
        """Roll back the open transaction if no request is in progress.

        The caller receives the failure with its next request.
        """

    @abstractmethod
    def _serve(self) -> None:
        """Serve the session until it ends."""

    @abstractmethod
    def _release(self) -> None:
        """Roll back the open transaction, and free what the session holds on other hosts."""

    def run(self) -> None:
        """Serve the connection until it ends."""
        self._sessions.add(self)
        self._greenlet = eventlet.getcurrent()
        reason = "the session ended"
        try:
            self._serve()
        except SessionInterrupted as error:
            reason = str(error)
        except (OSError, EOFError) as error:
            self._metrics.count("sessions_broken")
            reason = repr(error)
        except Exception as error:
            reason = repr(error)
            raise
        finally:
            self._greenlet = None
            try:
                self._end(reason)
            finally:
                self._sessions.discard(self)
                self._sock.close()

    def _end(self, reason: str) -> None:
        """Answer the request in progress, and free what the session holds on other hosts."""
        failure = self._unanswered_failure()
        try:
            self._release()
        except Exception:  # noqa: BLE001 - the request must be answered all the same
            self._log.event("internal_error", trace=traceback.format_exc()[-1500:])
            self._metrics.count("internal_errors")
        connected = not self._caller_closed and self.is_connected()
        if self._outstanding is not None:
            self._answer_outstanding(failure, reason, connected)
            failure = SessionFailure.BUSY  # of what comes after it
        if connected:
            if self._outstanding is None and not self._rejected:
                self._refuse_later_requests(failure)
            self._await_close()

    def _refuse_later_requests(self, failure: SessionFailure) -> None:
        """Refuse the requests that were sent in advance or are on their way; they are not run."""
        for message in self._pending_messages:
            if isinstance(message, Request | MalformedMessage):
                self._outstanding = message
                self._answer_outstanding(failure, CLOSING_DETAIL, connected=True)
        if self._outstanding is None:
            with contextlib.suppress(OSError):  # the caller has disconnected
                self._send(self._codec.closing_notice(failure, CLOSING_DETAIL))

    def _answer_outstanding(self, failure: SessionFailure, reason: str, connected: bool) -> None:
        """Answer the request in progress with a failure; log it if that is not possible."""
        if not connected or self._replying:
            self.report_unanswered(reason)
            return
        message = self._outstanding
        is_start = isinstance(message, SessionStart)
        request_id = "" if is_start else message.request_id
        self._record_refusal(request_id, failure, reason, RefusalReason.STOPPING)
        try:
            if is_start:
                self._reject_start(failure, reason)
            else:
                body = self._codec.failure(failure, reason)
                self._send(self._codec.reply(body, TransactionState.IDLE))
        except OSError as error:
            self.report_unanswered(f"{reason}; the answer was not sent: {error!r}")

    def _reject_start(self, failure: SessionFailure, reason: str) -> None:
        """Reject the start of a session."""
        self._send_rejection(failure, reason)

    def _send_rejection(self, failure: SessionFailure, detail: str) -> None:
        """Send the reply that rejects the start of the session."""
        self._rejected = True
        self._send(self._codec.rejection(failure, detail))

    def _await_close(self) -> None:
        """Wait until the caller closes the connection.

        Closing it with unread input would reset it and drop what the caller has not received yet.
        """
        with contextlib.suppress(OSError), eventlet.Timeout(CLOSE_TIMEOUT_MS / 1_000, False):
            self._sock.shutdown(socket.SHUT_WR)
            self._sock.settimeout(None)
            while self._sock.recv(RECEIVE_BYTES):
                pass

    @abstractmethod
    def _unanswered_failure(self) -> SessionFailure:
        """Return the failure of the request in progress if nothing more is done for it.

        Without one, it is that of a request which is not read any more.
        """

    def interrupt(self, reason: str) -> None:
        """End the session; a request in progress is answered with what is known of it.

        It ends with the next round of the event loop, so that a host with many sessions does not
        need a round for each. A reply that is being sent is completed first.
        """
        self._closing = True
        hubs.get_hub().schedule_call_global(0, self._throw, reason)

    def _throw(self, reason: str) -> None:
        if self._greenlet is None:
            return
        if self._replying:
            self._ends_after_reply = reason
        else:
            eventlet.kill(self._greenlet, SessionInterrupted(reason))

    def _throw_if_idle(self) -> None:
        if self._receiving and not self.in_transaction and not self._has_unread():
            self._throw("the session is idle")

    @property
    def is_answering(self) -> bool:
        """Return whether a request was read that has not been answered yet."""
        return self._outstanding is not None

    def report_unanswered(self, reason: str) -> None:
        """Log the request that was read and gets no answer, if there is one.

        :param reason: what ends the session.
        """
        message = self._outstanding
        if message is None:
            return
        is_start = isinstance(message, SessionStart)
        connected = self.is_connected()
        self._metrics.count("requests_unanswered", connected=str(connected).lower())
        self._log.event(
            "request_unanswered",
            id="" if is_start else message.request_id,
            verb=message.verb.name.lower() if isinstance(message, Request) else None,
            waited_ms=self._clock.now_ms() - self._outstanding_since_ms,
            transaction=self.transaction_state.name.lower(),
            connected=connected,
            closing=self._closing,
            reason=reason,
        )

    def is_connected(self) -> bool:
        """Return whether the caller has not closed the connection.

        Input that the caller has sent in advance is not read, and is no sign of a close.
        """
        try:
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return True  # open, nothing received
        except OSError:
            return False

    def take_over(self, other: "CallerConnection", *read: CallerMessage) -> None:
        """Serve the connection of another session, which ends.

        :param read: messages that the other session has read, to be handled by this one.
        """
        self._outstanding, other._outstanding = other._outstanding, None
        self._outstanding_since_ms = other._outstanding_since_ms
        self._decoder = other._decoder
        self._pending_messages = [*read, *other._pending_messages]
        self._closing = other._closing

    def close_when_idle(self, spare_new: bool = False) -> None:
        """Close the session once no operation or transaction is in progress.

        :param spare_new: leave a session that has just been opened the time to send its first
            request.
        """
        self._closing = True
        if spare_new and self._clock.now_ms() < self._opened_ms + FIRST_REQUEST_MS:
            return
        hubs.get_hub().schedule_call_global(0, self._throw_if_idle)

    @property
    def _may_close(self) -> bool:
        """Return whether the session was asked to close and nothing is in progress."""
        return self._closing and not self.in_transaction and not self._pending_messages

    def _has_unread(self) -> bool:
        try:
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False  # nothing received

    def _next_message(self, timeout_ms: int | None) -> CallerMessage | None:
        self._caller_closed = False
        self._sock.settimeout(None if timeout_ms is None else timeout_ms / 1_000)
        while not self._pending_messages:
            self._receiving = True
            try:
                data = self._sock.recv(RECEIVE_BYTES)
            except TimeoutError:
                return None
            finally:
                self._receiving = False
            if not data:
                self._caller_closed = True
                return None
            if self._traffic is None:
                self._uncounted_bytes += len(data)
            else:
                self._traffic.received(len(data))
            self._pending_messages = self._decoder.feed(data)
        message = self._pending_messages.pop(0)
        self._caller_closed = isinstance(message, SessionClose)
        if isinstance(message, SessionStart | Request | MalformedMessage):
            self._outstanding = message
            self._outstanding_since_ms = self._clock.now_ms()
        return message

    def _send(self, data: bytes) -> None:
        """Send the whole answer to the outstanding request."""
        self._sock.settimeout(SEND_TIMEOUT_MS / 1_000)
        self._replying = True
        self._sock.sendall(data)
        self._replying = False
        self._outstanding = None
        if self._traffic is not None:
            self._traffic.sent(len(data))
        if self._ends_after_reply is not None and self._greenlet is not None:
            raise SessionInterrupted(self._ends_after_reply)

    def _count_bytes(self, traffic: TrafficChannel) -> None:
        """Count the bytes of this connection, including those received already."""
        self._traffic = traffic
        traffic.received(self._uncounted_bytes)

    def _reply(self, body: bytes) -> None:
        self._send(self._codec.reply(body, self.transaction_state))

    def _reply_failure(self, failure: SessionFailure, detail: str) -> None:
        self._reply(self._codec.failure(failure, detail))

    def _reject_malformed(self, message: CallerMessage) -> bool:
        """Report a malformed message; return whether the session can continue."""
        if not isinstance(message, MalformedMessage):
            return False
        failure = SessionFailure.TOO_LARGE if message.too_large else SessionFailure.MALFORMED
        self._record_refusal(message.request_id, failure, message.reason)
        self._reply_failure(failure, message.reason)
        return not message.too_large

    @abstractmethod
    def _record_refusal(
        self,
        request_id: str,
        failure: SessionFailure,
        reason: str,
        refusal: RefusalReason = RefusalReason.CONFIGURATION,
    ) -> None:
        """Count and log a refused request.

        :param refusal: why the host refuses it, for refusals that say that nothing has run.
        """
