"""A minimal HTTP client on green sockets, with persistent connections."""

import http.client
import socket
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

import eventlet

from figcrank.protocol import FigcrankError
from figcrank.transport._addresses import split_address
from figcrank.transport._calls import MS_PER_S

MAX_IDLE_CONNECTIONS = 32


@dataclass(frozen=True, slots=True)
class HttpReply:
    """An HTTP response.

    :param status: HTTP status.
    :param body: the whole body.
    """

    status: int
    body: bytes


class HttpCallError(FigcrankError):
    """An HTTP request that did not receive a complete response.

    :param address: ``ip:port`` of the server.
    :param sent: whether the server may have received the request.
    :param reason: cause of the failure.
    """

    def __init__(self, address: str, sent: bool, reason: str) -> None:
        super().__init__(f"{address} did not answer: {reason}.")
        self.sent = sent
        self.reason = reason


class HttpClient:
    """Sends requests and reuses idle connections."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Connection]] = defaultdict(list)

    def post(
        self, address: str, path: str, body: bytes, headers: Mapping[str, str], timeout_ms: int
    ) -> HttpReply:
        """Send a POST request and return the response.

        :param address: ``ip:port`` of the server.
        :param timeout_ms: timeout for connecting, request and response together, in milliseconds.
        :raises HttpCallError: if no complete response is received in time.
        """
        return self._call(address, "POST", path, body, dict(headers), timeout_ms)

    def get(self, address: str, path: str, timeout_ms: int) -> HttpReply:
        """Send a GET request and return the response; see :meth:`post`."""
        return self._call(address, "GET", path, None, {}, timeout_ms)

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_ms: int,
    ) -> HttpReply:
        timer = eventlet.Timeout(timeout_ms / MS_PER_S)
        connection: _Connection | None = None
        sent = False
        try:
            connection = self._acquire(address)
            sent = True
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            reply = HttpReply(response.status, response.read())
        except eventlet.Timeout as error:
            self._discard(connection)
            if error is not timer:
                raise
            raise HttpCallError(address, sent, "timeout") from None
        except (OSError, http.client.HTTPException) as error:
            self._discard(connection)
            raise HttpCallError(address, sent, type(error).__name__) from error
        finally:
            timer.cancel()
        self._release(address, connection, response.will_close)
        return reply

    def _acquire(self, address: str) -> "_Connection":
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        connection = _Connection(*split_address(address))
        connection.connect()
        return connection

    def _release(self, address: str, connection: "_Connection", will_close: bool) -> None:
        idle = self._idle[address]
        if will_close or len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        idle.append(connection)

    def _discard(self, connection: "_Connection | None") -> None:
        if connection is not None:
            connection.close()


class _Connection(http.client.HTTPConnection):
    """An HTTP connection on a green socket."""

    auto_open = 0

    def connect(self) -> None:
        """Open the socket."""
        self.sock = eventlet.connect((self.host, self.port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def is_usable(self) -> bool:
        """Return whether the connection is still open and has no unread data."""
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False
