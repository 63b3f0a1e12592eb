"""A client's session, which speaks the wire protocol."""

import asyncio
import itertools
import os

from standins.hosts import Host

START_TIMEOUT_S = 2.0
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT")
_ids = itertools.count()


def new_id() -> str:
    """Return a request id that is used once."""
    return f"{os.getpid():06x}{next(_ids):010x}"


class SessionError(Exception):
    """The session could not be opened or has broken."""


class Answer:
    """The answer to one request.

    :param lines: the lines before ``READY``.
    :param state: transaction state of the session after it.
    """

    def __init__(self, lines: list[str], state: str) -> None:
        self.lines = lines
        self.state = state

    @property
    def code(self) -> str:
        """Return the code of the error, ``OK`` for a success."""
        last = self.lines[-1] if self.lines else ""
        return last.split(" ")[1] if last.startswith("ERROR ") else "OK"

    @property
    def rows(self) -> list[str]:
        """Return the rows."""
        return [line[4:] for line in self.lines if line.startswith("ROW ")]


class Session:
    """An open session."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, host: Host, database: str, key: str) -> "Session":
        """Connect to a host and start a session.

        :raises SessionError: if the host does not accept it within two seconds.
        """
        writer = None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*host.frontend)
                writer.write(f"START {database} {key}\r\n".encode())
                session = cls(reader, writer)
                answer = await session._read()
        except (OSError, EOFError, TimeoutError) as error:
            if writer is not None:
                writer.close()
            raise SessionError(repr(error)) from error
        if answer.lines:
            writer.close()
            raise SessionError(answer.lines[-1])
        return session

    async def _read(self) -> Answer:
        lines = []
        while True:
            line = (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            if line.startswith("READY"):
                return Answer(lines, line.split(" ")[1])
            lines.append(line)

    async def query(self, text: str, request_id: str, timeout_s: float) -> Answer:
        """Send a request and return its answer.

        :raises SessionError: if the connection ends or no answer comes in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
                return await self._read()
        except (OSError, EOFError, TimeoutError) as error:
            self.close()
            raise SessionError(repr(error)) from error

    def close(self) -> None:
        """End the session."""
        self._writer.close()
