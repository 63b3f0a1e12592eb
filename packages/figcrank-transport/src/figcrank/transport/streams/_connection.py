"""A connection to a backend server, or to the owner that runs a relayed session."""

import contextlib
import socket as std_socket
import struct
from collections.abc import Callable

import eventlet
from eventlet.event import Event
from eventlet.green import socket

from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.relays import RelayReply
from figcrank.protocol.sessions import (
    Decoder,
    SessionFailure,
    StatementReply,
    TransactionState,
)
from figcrank.state._clock import Clock
from figcrank.transport.streams._traffic import MessageKind, TrafficChannel, uncounted

CONNECT_TIMEOUT_MS = 300  # 100 round trips in a region; TCP resends a lost SYN after 1 s or more
HANDSHAKE_TIMEOUT_MS = 700  # a handshake holds a slot for 12 ms, and may wait behind a full queue
RECEIVE_BYTES = 16_384
CALLER_CHECK_MS = 200  # one system call for each waiting caller five times a second
TCP_USER_TIMEOUT_MS = 2_000  # closes a connection whose data stays unacknowledged

Reply = StatementReply | RelayReply
ReplyHandler = Callable[["ServerConnection", Reply | None], None]


class OpenError(Exception):
    """No usable connection is available; the statement was not sent.

    :param failure: kind of failure.
    :param detail: reason for the failure.
    :param refused: whether no process listens at the address.
    :param reason: why the caller is refused if nothing else can run the statement.
    """

    def __init__(
        self,
        failure: SessionFailure,
        detail: str,
        refused: bool = False,
        reason: RefusalReason = RefusalReason.NO_SERVER,
    ) -> None:
        super().__init__(f"{failure.name.lower()}: {detail}")
        self.failure = failure
        self.refused = refused
        self.reason = reason


class ServerConnection:
    """An open connection that runs one statement at a time.

    To an owner it carries one relayed session, to a backend server the statements of one workspace.

    :param sock: connected socket.
    :param decoder: decodes the replies.
    :param workspace: workspace that was sent in the handshake.
    :param clock: this host's clock.
    :param may_send: asked right before each message; if it returns false, the connection is reset
        and nothing is sent.
    :param traffic: counts the bytes sent and received.
    """

    def __init__(
        self,
        sock: socket.socket,
        decoder: Decoder,
        workspace: str,
        clock: Clock,
        may_send: Callable[[], bool] | None = None,
        traffic: TrafficChannel | None = None,
    ) -> None:
        self._sock = sock
        self._decoder = decoder
        self._clock = clock
        self._may_send = may_send
        self._traffic = traffic or uncounted().channel(MessageKind.STATEMENT, "")
        self._reply_handler: ReplyHandler | None = None
        self.workspace = workspace
        self.variables: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.state = TransactionState.IDLE
        self.closed = False
        self.sent_ms = 0
        self.rejection: SessionFailure | None = None
        self.on_idle_close: Callable[[ServerConnection], None] | None = None

    @property
    def outstanding(self) -> bool:
        """Return whether a statement is waiting for its answer."""
        return self._reply_handler is not None

    @classmethod
    def open(
        cls,
        address: tuple[str, int],
        decoder: Decoder,
        start_message: bytes,
        workspace: str,
        clock: Clock,
        may_send: Callable[[], bool] | None = None,
        traffic: TrafficChannel | None = None,
    ) -> "tuple[ServerConnection, Reply]":
        """Connect and wait for the server's handshake reply.

        :param decoder: decodes the replies.
        :param start_message: handshake message.
        :param may_send: asked right before each message, also the handshake.
        :param traffic: counts the bytes sent and received.
        :raises OpenError: if connecting or the handshake fails.
        """
        try:
            sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
        except OSError as error:  # no file descriptor is free
            raise OpenError(SessionFailure.UNREACHABLE, str(error)) from error
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        sock.settimeout(CONNECT_TIMEOUT_MS / 1_000)
        try:
            sock.connect(address)
        except ConnectionRefusedError as error:
            sock.close()
            raise OpenError(SessionFailure.UNREACHABLE, str(error), refused=True) from error
        except (OSError, ValueError, TypeError, OverflowError) as error:
            # The latter three are raised for an address that names no IP address or port.
            sock.close()
            raise OpenError(SessionFailure.UNREACHABLE, str(error)) from error
        sock.settimeout(None)
        if may_send is not None and not may_send():
            sock.close()
            detail = "nothing may be sent to the server now"
            raise OpenError(SessionFailure.BUSY, detail, reason=RefusalReason.EVACUATED)
        connection = cls(sock, decoder, workspace, clock, may_send, traffic)
        eventlet.spawn_n(connection._receive)
        reply = connection.send_and_wait(start_message, HANDSHAKE_TIMEOUT_MS)
        if reply is None or reply.failure is not None:
            rejection = reply.failure if reply else connection.rejection
            connection.close()
            detail = "the server did not complete the handshake"
            is_busy = rejection in (SessionFailure.BUSY, SessionFailure.CONNECTION_LIMIT)
            reason = RefusalReason.SERVER_BUSY if is_busy else RefusalReason.NO_SERVER
            raise OpenError(rejection or SessionFailure.UNREACHABLE, detail, reason=reason)
        return connection, reply

    def is_lost(self) -> bool:
        """Return whether the connection is closed, even if the receive loop has not detected it.

        Checked before a write or a commit is sent: if this returns true, the server has received
        nothing of it, so its outcome is known.
        """
        if self.closed:
            return True
        try:
            return not self._sock.fd.recv(1, std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False  # open, no data pending
        except OSError:
            return True

    def has_unread(self) -> bool:
        """Return whether the receive loop has not read yet what the server has sent."""
        try:
            return bool(self._sock.fd.recv(1, std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT))
        except OSError:
            return False  # nothing received, or closed

    def send(self, data: bytes, reply_handler: ReplyHandler) -> None:
        """Send a message and register the handler of its reply.

        :param reply_handler: called with the reply, or with ``None`` if the connection is lost.
        """
        self._reply_handler = reply_handler
        self.sent_ms = self._clock.now_ms()
        if not self.closed and self._may_send is not None and not self._may_send():
            self.reset()
            return
        if self.closed:
            self._deliver(None)
            return
        try:
            self._sock.sendall(data)
            self._traffic.sent(len(data))
        except OSError:
            # Closing calls the reply handler.
            self.close()

    def send_and_wait(
        self, data: bytes, timeout_ms: float, is_wanted: Callable[[], bool] | None = None
    ) -> Reply | None:
        """Send a statement and return the reply; on a timeout, close and return ``None``.

        :param is_wanted: called every 200 ms; if it returns false, the timeout is over.
        """
        done = Event()
        self.send(data, lambda _connection, reply: done.send(reply))
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            left_ms = deadline_ms - self._clock.now_ms() if is_wanted else timeout_ms
            step_ms = min(left_ms, CALLER_CHECK_MS) if is_wanted else left_ms
            with eventlet.Timeout(max(0.001, step_ms / 1_000), False):
                return done.wait()
            if step_ms >= left_ms or not is_wanted():
                if self.has_unread():  # arrived while this host was suspended or busy
                    eventlet.sleep(0)
                if done.ready():
                    return done.wait()
                self.close()
                return None

    def reset(self) -> None:
        """Close the connection and discard what has not been delivered yet.

        The system would otherwise go on to resend it.
        """
        if not self.closed:
            with contextlib.suppress(OSError):  # the server may have closed it already
                linger = struct.pack("ii", 1, 0)
                self._sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, linger)
        self.close()

    def close(self) -> None:
        """Close the connection; the handler of an unanswered statement gets ``None``."""
        if self.closed:
            return
        self.closed = True
        with contextlib.suppress(OSError):  # the server may have closed it already
            self._sock.shutdown(std_socket.SHUT_RDWR)
        self._sock.close()
        self._deliver(None)

    def _receive(self) -> None:
        ended = False
        while not self.closed:
            try:
                data = self._sock.recv(RECEIVE_BYTES)
                self._traffic.received(len(data))
                replies = self._decoder.feed(data) if data else []
            except (OSError, EOFError, ValueError):
                # Lost, closed by this host, or a protocol violation: close it.
                data, replies = b"", []
            if not data:
                self.rejection = self._decoder.rejection()
                break
            for reply in replies:
                self.state = reply.state
                ended = isinstance(reply, RelayReply) and reply.ended and not self.outstanding
                self._deliver(reply)
            if ended:  # nothing may be sent any more, also before the end of the input arrives
                break
        was_idle = not self.closed and not self.outstanding
        self.close()
        if was_idle and self.on_idle_close:
            self.on_idle_close(self)

    def _deliver(self, reply: Reply | None) -> None:
        reply_handler, self._reply_handler = self._reply_handler, None
        if reply_handler is not None:
            reply_handler(self, reply)
