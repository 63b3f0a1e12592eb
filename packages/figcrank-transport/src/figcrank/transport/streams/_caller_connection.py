"""A caller's connection: reads messages, writes replies and closes between two operations."""

from abc import ABC, abstractmethod

from eventlet.green import socket

from figcrank.protocol.sessions import (
    CallerCodec,
    CallerMessage,
    MalformedMessage,
    Request,
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


class CallerConnection(ABC):
    """Serves one caller's connection.

    :param sock: connected socket.
    :param codec: wire format of the connection.
    :param sessions: live collection of the open sessions, to which this one belongs while it runs.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    """

    def __init__(
        self,
        sock: socket.socket,
        codec: CallerCodec,
        sessions: "set[CallerConnection]",
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._sock = sock
        self._codec = codec
        self._sessions = sessions
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._outstanding: SessionStart | Request | MalformedMessage | None = None
        self._outstanding_since_ms = 0
        self._decoder = codec.decoder()
        self._pending_messages: list[CallerMessage] = []
        self._receiving = False
        self._closing = False
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
        reason = "the session ended"
        try:
            self._serve()
        except (OSError, EOFError) as error:
            # The caller disconnected; its open transaction is rolled back below.
            self._metrics.count("sessions_broken")
            reason = repr(error)
        except BaseException as error:
            reason = repr(error)
            raise
        finally:
            self._sessions.discard(self)
            self.report_unanswered(reason)
            self._release()
            self._sock.close()

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

        Input that the caller has sent in advance is not read, and is no sign of a close. While
        this host is closing the session, its own shutdown would look like that of the caller.
        """
        if self._closing:
            return True
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

    def close_when_idle(self) -> None:
        """Close the session once no operation or transaction is in progress."""
        self._closing = True
        if self._receiving and not self.in_transaction and not self._has_unread():
            self._sock.shutdown(socket.SHUT_RD)

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
        if isinstance(message, SessionStart | Request | MalformedMessage):
            self._outstanding = message
            self._outstanding_since_ms = self._clock.now_ms()
        return message

    def _send(self, data: bytes) -> None:
        """Send the whole answer to the outstanding request."""
        self._sock.settimeout(SEND_TIMEOUT_MS / 1_000)
        self._sock.sendall(data)
        self._outstanding = None
        if self._traffic is not None:
            self._traffic.sent(len(data))

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
    def _record_refusal(self, request_id: str, failure: SessionFailure, reason: str) -> None:
        """Count and log a refused request."""
