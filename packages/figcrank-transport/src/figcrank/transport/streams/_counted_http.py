"""HTTP client connections whose bytes are counted."""

from collections.abc import Callable

from eventlet.green.http import client as http_client

from figcrank.transport.streams._traffic import TrafficChannel

MAX_PART_BYTES = 65_536


class CountedHttpConnection(http_client.HTTPConnection):
    """Connection that counts the bytes of requests and responses, with their headers.

    :param address: ``(ip, port)`` to connect to.
    :param timeout_ms: time for connecting and for each later operation.
    :param traffic: counts the bytes.
    """

    def __init__(self, address: tuple[str, int], timeout_ms: int, traffic: TrafficChannel) -> None:
        super().__init__(*address, timeout=timeout_ms / 1_000)
        self._traffic = traffic

    def send(self, data: bytes) -> None:
        """Send a part of a request."""
        super().send(data)
        self._traffic.sent(len(data))

    def read_response(
        self, on_progress: Callable[[], None] | None = None
    ) -> tuple[http_client.HTTPResponse, bytes]:
        """Return the response to the last request and its body.

        :param on_progress: called after each part that has arrived.
        """
        response = self.getresponse()
        parts = []
        while part := response.read1(MAX_PART_BYTES):
            parts.append(part)
            if on_progress:
                on_progress()
        response.read()  # nothing is left; it releases the connection for the next request
        body = b"".join(parts)
        self._traffic.received(_head_bytes(response) + len(body))
        return response, body


def _head_bytes(response: http_client.HTTPResponse) -> int:
    """Return the size of a response's status line and headers."""
    status_line = len("HTTP/1.1 200 ") + len(response.reason) + len("\r\n")
    headers = sum(len(name) + len(value) + len(": \r\n") for name, value in response.getheaders())
    return status_line + headers + len("\r\n")
