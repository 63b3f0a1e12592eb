"""State of a caller's session: prepared statements and the open transaction."""

from dataclasses import dataclass

from figcrank.protocol.sessions import Request
from figcrank.state._catalog import DatabaseRoute
from figcrank.transport.streams._connection import ServerConnection
from figcrank.transport.streams._pool import ServerPool


@dataclass(slots=True)
class PreparedStatement:
    """A prepared statement of a session.

    :param is_write: whether it changes data.
    :param definition: definition of the statement, as the caller sent it.
    """

    is_write: bool
    definition: str


@dataclass(slots=True)
class Transaction:
    """An open transaction.

    :param begin: request that opened it.
    :param read_only: whether the caller declared it read-only.
    :param route: route in force when it was opened.
    :param workspace: workspace of the caller.
    :param pool: pool of the server that runs it, ``None`` before the first statement.
    :param connection: connection to that server.
    :param wrote: whether a statement that changes data was sent.
    :param failed: whether it can only be rolled back.
    :param untold_failure: why the host has rolled it back between two requests; empty once the
        caller was told, and if it failed with a request.
    :param sent: whether any part of it was sent to a server.
    """

    begin: Request
    read_only: bool
    route: DatabaseRoute
    workspace: str
    pool: ServerPool | None = None
    connection: ServerConnection | None = None
    wrote: bool = False
    failed: bool = False
    untold_failure: str = ""
    sent: bool = False
