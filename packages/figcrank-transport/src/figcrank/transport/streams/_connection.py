"""One connection to a backend server, which belongs to one workspace."""

import contextlib
import socket as std_socket
from collections.abc import Callable

import eventlet
from eventlet.event import Event
from eventlet.green import socket

from figcrank.protocol.sessions import (
    ServerCodec,
    ServerReply,
    SessionFailure,
    TransactionState,
)
from figcrank.state._clock import Clock

CONNECT_MS = 300  # a hundred round trips within a region; a lost opening packet comes after seconds
START_MS = 700  # a handshake takes 12 ms of a slot, behind up to a full queue
RECEIVE_BYTES = 16_384
USER_TIMEOUT_MS = 2_000  # bytes that nobody confirms for so long end the connection

Sink = Callable[["ServerConnection", ServerReply | None], None]


class OpenError(Exception):
    """A connection that could not be opened; no statement was sent on it.

    :param failure: why.
    :param refused: whether no process listens at the address.
    """

    def __init__(self, failure: SessionFailure, detail: str, refused: bool = False) -> None:
        super().__init__(f"{failure.name.lower()}: {detail}")
        self.failure = failure
        self.refused = refused


class ServerConnection:
    """An open connection; it runs one statement at a time.

    :param sock: a connected socket.
    :param codec: the server's wire format.
    :param workspace: workspace that the server was told.
    :param clock: this host's clock.
    """

    def __init__(
        self, sock: socket.socket, codec: ServerCodec, workspace: str, clock: Clock
    ) -> None:
        self._sock = sock
        self._codec = codec
        self._decoder = codec.decoder()
        self._clock = clock
        self._sink: Sink | None = None
        self.workspace = workspace
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.state = TransactionState.IDLE
        self.closed = False
        self.sent_ms = 0
        self.refusal: SessionFailure | None = None
        self.on_idle_close: Callable[[ServerConnection], None] | None = None

    @property
    def outstanding(self) -> bool:
        """Return whether a statement is waiting for its answer."""
        return self._sink is not None

    @classmethod
    def open(
        cls,
        address: tuple[str, int],
        codec: ServerCodec,
        hello: bytes,
        workspace: str,
        clock: Clock,
    ) -> "tuple[ServerConnection, ServerReply]":
        """Connect and wait for the server's welcome.

        :param hello: first message of the connection.
        :raises OpenError: if that fails.
        """
        sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.settimeout(CONNECT_MS / 1_000)
        try:
            sock.connect(address)
        except ConnectionRefusedError as error:
            sock.close()
            raise OpenError(SessionFailure.UNREACHABLE, str(error), refused=True) from error
        except OSError as error:
            sock.close()
            raise OpenError(SessionFailure.UNREACHABLE, str(error)) from error
        sock.settimeout(None)
        connection = cls(sock, codec, workspace, clock)
        eventlet.spawn_n(connection._receive)
        reply = connection.ask(hello, START_MS)
        if reply is None or reply.failure is not None:
            refusal = reply.failure if reply else connection.refusal
            connection.close()
            detail = "the server did not welcome the connection"
            raise OpenError(refusal or SessionFailure.UNREACHABLE, detail)
        return connection, reply

    def is_lost(self) -> bool:
        """Return whether the other side has ended the connection, even if nobody has read that yet.

        Asked before a statement that must not be sent in vain: nothing of it is at the server then.
        """
        if self.closed:
            return True
        try:
            return not self._sock.fd.recv(1, std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False  # nothing has come, as it should be between two statements
        except OSError:
            return True

    def send(self, data: bytes, sink: Sink) -> None:
        """Send a statement; ``sink`` gets its answer, or ``None`` once the connection is lost."""
        self._sink = sink
        self.sent_ms = self._clock.now_ms()
        if self.closed:
            self._deliver(None)
            return
        try:
            self._sock.sendall(data)
        except OSError:
            # The receiving side sees the same loss and tells the sink.
            self.close()

    def ask(self, data: bytes, timeout_ms: float) -> ServerReply | None:
        """Send a statement and wait for its answer; close the connection if none comes in time."""
        done = Event()
        self.send(data, lambda _connection, reply: done.send(reply))
        with eventlet.Timeout(max(0.001, timeout_ms / 1_000), False):
            return done.wait()
        self.close()
        return None

    def close(self) -> None:
        """End the connection; an unanswered statement's sink gets ``None``."""
        if self.closed:
            return
        self.closed = True
        with contextlib.suppress(OSError):  # the other side may have ended it already
            self._sock.shutdown(std_socket.SHUT_RDWR)
        self._sock.close()
        self._deliver(None)

    def _receive(self) -> None:
        while not self.closed:
            try:
                data = self._sock.recv(RECEIVE_BYTES)
                replies = self._decoder.feed(data) if data else []
            except (OSError, EOFError, ValueError):
                # Lost, closed by this side, or not speaking the protocol: of no use any more.
                data, replies = b"", []
            if not data:
                self.refusal = self._decoder.refusal()
                break
            for reply in replies:
                self.state = reply.state
                self._deliver(reply)
        was_idle = not self.closed and not self.outstanding
        self.close()
        if was_idle and self.on_idle_close:
            self.on_idle_close(self)

    def _deliver(self, reply: ServerReply | None) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink(self, reply)
