"""A minimal HTTP/1.1 server with JSON bodies and persistent connections."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, unquote, urlsplit

Handler = Callable[[str, list[str], dict, dict, object], Awaitable[tuple[int, object]]]
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Unavailable"}


async def serve_http(address: tuple[str, int], handler: Handler) -> asyncio.Server:
    """Serve requests with ``handler(method, path parts, query, headers, body)``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await _serve_request(reader, writer, handler):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass  # the client has closed the connection
        finally:
            writer.close()

    return await asyncio.start_server(serve, *address)


async def _serve_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> bool:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    fields = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    content = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urlsplit(target)
    parts = [unquote(part) for part in url.path.split("/") if part]
    body = json.loads(content) if content else None
    status, answer = await handler(method, parts, dict(parse_qsl(url.query)), headers, body)
    data = b"" if answer is None else json.dumps(answer).encode()
    writer.write(
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
    )
    await writer.drain()
    return headers.get("connection", "").lower() != "close"
