"""Minimal HTTP server for GET requests: readiness, metrics, and the view that peers fetch.

Eventlet's own HTTP server would add a fifth to the memory use of this process, for features that
are not needed here.
"""

from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

from eventlet.green import socket

from figcrank.transport.streams._traffic import TrafficChannel

RESPONSE_TIMEOUT_MS = 2_000  # clients are in the same region; requests have a few hundred bytes
MAX_HEAD_BYTES = 8_192  # far above any request of a metrics collector or load balancer

HttpHandler = Callable[[dict[str, str]], tuple[int, bytes]]
_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


def serve_http(
    sock: socket.socket, handlers: dict[str, HttpHandler], traffic: TrafficChannel | None = None
) -> None:
    """Answer requests on a connection until it is closed.

    :param handlers: request handlers by path; each gets the query and returns status and body.
    :param traffic: counts the bytes; ``None`` if they are not counted.
    """
    sock.settimeout(None)
    pending = b""
    try:
        while True:
            head, found, pending = pending.partition(b"\r\n\r\n")
            if not found:
                data = sock.recv(MAX_HEAD_BYTES)
                if not data or len(head) > MAX_HEAD_BYTES:
                    return
                if traffic is not None:
                    traffic.received(len(data))
                pending = head + data
                continue
            sock.settimeout(RESPONSE_TIMEOUT_MS / 1_000)
            response = _render_response(head, handlers)
            sock.sendall(response)
            if traffic is not None:
                traffic.sent(len(response))
            sock.settimeout(None)
    except (OSError, EOFError):
        return  # the client disconnected
    finally:
        sock.close()


def _render_response(head: bytes, handlers: dict[str, HttpHandler]) -> bytes:
    words = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
    url = urlsplit(words[1] if len(words) > 1 else "/")
    handler = handlers.get(url.path)
    status, body = handler(dict(parse_qsl(url.query))) if handler else (404, b"")
    reason = _REASONS.get(status, "OK")
    lines = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n\r\n"
    return lines.encode() + body
