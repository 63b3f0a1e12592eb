"""Answers plain GET requests: readiness, metrics, and the view that peers fetch.

The event library's own HTTP server takes a fifth of this process's memory for more than this.
"""

from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

from eventlet.green import socket

REQUEST_MS = 2_000  # a request is a few hundred bytes from a host nearby
MAX_HEAD_BYTES = 8_192  # far above any request that a collector or balancer sends

Page = Callable[[dict[str, str]], tuple[int, bytes]]
_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


def serve_pages(sock: socket.socket, pages: dict[str, Page]) -> None:
    """Answer requests on a connection until it ends.

    :param pages: by path; each gets the query and returns status and body.
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
                pending = head + data
                continue
            sock.settimeout(REQUEST_MS / 1_000)
            sock.sendall(_answer(head, pages))
            sock.settimeout(None)
    except (OSError, EOFError):
        return  # the other side is gone and needs no answer
    finally:
        sock.close()


def _answer(head: bytes, pages: dict[str, Page]) -> bytes:
    words = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
    url = urlsplit(words[1] if len(words) > 1 else "/")
    page = pages.get(url.path)
    status, body = page(dict(parse_qsl(url.query))) if page else (404, b"")
    reason = _REASONS.get(status, "OK")
    lines = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n\r\n"
    return lines.encode() + body
