"""WSGI servers on green sockets that report errors as typed JSON failures."""

import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import eventlet
import eventlet.wsgi
import falcon
from absl import logging

from figcrank.protocol import Failure, FailureKind, RequestError
from figcrank.protocol.codecs import encode
from figcrank.transport._addresses import join_address, split_address

MAX_BODY_BYTES = 1_048_576
MAX_CONNECTIONS = 4_096
BUFFER_BYTES = 2_048
LISTEN_BACKLOG = 1_024
IDLE_TIMEOUT_S = 300
MS_PER_S = 1_000

StartResponse = Callable[..., Any]


class HttpServer:
    """Serves a WSGI application on one address.

    :param address: ``ip:port``; with port 0 the operating system chooses a free port.
    """

    def __init__(self, address: str) -> None:
        self._socket = eventlet.listen(
            split_address(address), backlog=LISTEN_BACKLOG, reuse_port=False
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._in_flight = 0
        self._closing = False
        self._thread: eventlet.greenthread.GreenThread | None = None

    @property
    def address(self) -> str:
        """Return the ``ip:port`` that the server listens on."""
        return join_address(*self._socket.getsockname()[:2])

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose response has not been fully written."""
        return self._in_flight

    def start(self, app: Callable[[dict, StartResponse], Iterable[bytes]]) -> None:
        """Start serving ``app``."""
        self._app = app
        self._thread = eventlet.spawn(
            eventlet.wsgi.server,
            self._socket,
            self._serve,
            log_output=False,
            debug=False,
            max_size=MAX_CONNECTIONS,
            keepalive=True,
            socket_timeout=IDLE_TIMEOUT_S,
            protocol=_HttpProtocol,
        )

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._closing = True

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._thread is not None:
            self._thread.kill()
        self._socket.close()

    def _serve(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        self._in_flight += 1
        # Without this, a connection with pipelined requests would never yield to other greenlets.
        eventlet.sleep(0)
        try:
            chunks = self._app(environ, self._with_connection_close(start_response))
        except BaseException:
            self._in_flight -= 1
            raise
        return _TrackedResponse(chunks, self._on_response_closed)

    def _on_response_closed(self) -> None:
        self._in_flight -= 1

    def _with_connection_close(self, start_response: StartResponse) -> StartResponse:
        if not self._closing:
            return start_response

        def start(status: str, headers: list[tuple[str, str]], exc_info: Any = None) -> Any:
            return start_response(status, [*headers, ("Connection", "close")], exc_info)

        return start


class _HttpProtocol(eventlet.wsgi.HttpProtocol):
    """HTTP protocol with small buffers, because most connections of a host are idle."""

    rbufsize = BUFFER_BYTES
    wbufsize = BUFFER_BYTES

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Respond to invalid HTTP with a typed failure and close the connection."""
        self.close_connection = True
        failure = Failure.not_run(FailureKind.BAD_REQUEST, "The request is not valid HTTP.")
        body = _failure_body(failure)
        head = (
            f"HTTP/1.1 {falcon.code_to_http_status(code)}\r\n"
            f"Content-Type: {falcon.MEDIA_JSON}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.wfile.write(head.encode() + body)


class _TrackedResponse:
    """A response body that calls ``on_close`` when the WSGI server closes it."""

    def __init__(self, chunks: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._chunks = chunks
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Notify the owner; the WSGI server calls this after the last byte or on an error."""
        self._on_close()


class HttpRequestError(RequestError):
    """A request error whose HTTP status differs from the default for its kind of failure.

    :param status: HTTP status to send instead.
    :param failure: failure to send in the body.
    """

    def __init__(self, status: int, failure: Failure) -> None:
        super().__init__(failure)
        self.status = status


def new_app() -> falcon.App:
    """Return a Falcon application that reports every error as a typed JSON failure."""
    app = falcon.App()
    app.add_error_handler(Exception, _on_unhandled_exception)
    app.add_error_handler(falcon.HTTPError, _on_http_error)
    app.add_error_handler(RequestError, _on_request_error)
    return app


def read_body(request: falcon.Request) -> bytes:
    """Read the complete request body.

    :raises RequestError: if it is larger than :data:`MAX_BODY_BYTES`, truncated or unreadable.
    """
    if (request.content_length or 0) > MAX_BODY_BYTES:
        raise _too_large()
    try:
        body = request.stream.read(MAX_BODY_BYTES + 1)
    except (OSError, ValueError) as error:
        raise bad_request("The body could not be read.") from error
    if len(body) > MAX_BODY_BYTES:
        raise _too_large()
    if len(body) < (request.content_length or 0):
        raise bad_request("The body is shorter than its Content-Length.")
    return body


def bad_request(message: str) -> RequestError:
    """Return the error for a malformed request."""
    return RequestError(Failure.not_run(FailureKind.BAD_REQUEST, message))


def write_failure(response: falcon.Response, failure: Failure, status: int | None = None) -> None:
    """Set the response to ``failure``.

    :param status: HTTP status; ``None`` for the default of the kind of failure.
    """
    response.status = falcon.code_to_http_status(status or failure.status)
    response.content_type = falcon.MEDIA_JSON
    response.data = _failure_body(failure)
    if failure.retry_after_ms is not None:
        response.set_header("Retry-After", str(-(-failure.retry_after_ms // MS_PER_S)))


def write_json(response: falcon.Response, message: Any) -> None:
    """Set the response to ``message``, encoded as JSON."""
    response.content_type = falcon.MEDIA_JSON
    response.data = encode(message)


def _failure_body(failure: Failure) -> bytes:
    body = {
        "type": failure.kind,
        "outcome": failure.outcome,
        "retry_after_ms": failure.retry_after_ms,
        "message": failure.message,
    }
    return encode({"failure": body})


def _too_large() -> RequestError:
    message = f"The body is larger than {MAX_BODY_BYTES} bytes."
    return RequestError(Failure.not_run(FailureKind.TOO_LARGE, message))


def _on_request_error(
    request: falcon.Request, response: falcon.Response, error: RequestError, params: dict
) -> None:
    write_failure(response, error.failure, getattr(error, "status", None))


def _on_http_error(
    request: falcon.Request, response: falcon.Response, error: falcon.HTTPError, params: dict
) -> None:
    failure = Failure.not_run(FailureKind.BAD_REQUEST, error.title or "The request is malformed.")
    write_failure(response, failure, error.status_code)


def _on_unhandled_exception(
    request: falcon.Request, response: falcon.Response, error: Exception, params: dict
) -> None:
    # Handlers that trace a request store the trace id in its context.
    trace_id = getattr(request.context, "trace_id", "")
    logging.error(
        "Unhandled exception in a request handler.", exc_info=error, extra={"trace_id": trace_id}
    )
    write_failure(response, Failure.unknown("The host failed while it handled the request."))
