"""psycopg2 connections to backend servers that cooperate with Eventlet."""

from dataclasses import dataclass

import eventlet
import psycopg2
import psycopg2.extensions
from eventlet.hubs import trampoline

from figcrank.protocol import SQLSTATE_TOO_MANY_CONNECTIONS
from figcrank.state import Position
from figcrank.transport._addresses import split_address
from figcrank.transport._calls import MS_PER_S

POSITION_PARAMETER = "group.position"
# libpq does not report the SQLSTATE of a failed connection attempt, so the message is searched.
_CONNECTION_LIMIT_MESSAGES = ("too many", "remaining connection slots")


@dataclass(frozen=True, slots=True)
class Login:
    """Credentials for backend servers.

    :param user: database user.
    :param password: password of the user; empty for none.
    :param database: database name.
    """

    user: str = "figcrank"
    password: str = ""
    database: str = "figcrank"


def make_green() -> None:
    """Make psycopg2 yield to other greenlets while it waits for a server."""
    psycopg2.extensions.set_wait_callback(_wait_for_socket)


def connect(address: str, login: Login, timeout_ms: int) -> psycopg2.extensions.connection:
    """Open a connection in autocommit mode.

    :param address: ``ip:port`` of the server.
    :param timeout_ms: connection timeout, in milliseconds.
    :raises psycopg2.Error: if the server refuses the connection or is unreachable.
    :raises eventlet.Timeout: if the connection is not established in time.
    """
    ip, port = split_address(address)
    with eventlet.Timeout(timeout_ms / MS_PER_S):
        connection = psycopg2.connect(
            host=ip,
            port=port,
            user=login.user,
            password=login.password or None,
            dbname=login.database,
            sslmode="disable",
            gssencmode="disable",
        )
    connection.autocommit = True
    return connection


def is_connection_limit_error(error: psycopg2.Error) -> bool:
    """Return whether a connection was refused because the server reached its connection limit."""
    if error.pgcode == SQLSTATE_TOO_MANY_CONNECTIONS:
        return True
    text = str(error).lower()
    return any(message in text for message in _CONNECTION_LIMIT_MESSAGES)


def reported_position(connection: psycopg2.extensions.connection) -> Position | None:
    """Return the position that the server last reported on ``connection``."""
    text = connection.info.parameter_status(POSITION_PARAMETER)
    if not text:
        return None
    term, _, offset = text.partition(":")
    return Position(int(term), int(offset))


def _wait_for_socket(connection: psycopg2.extensions.connection) -> None:
    while True:
        state = connection.poll()
        if state == psycopg2.extensions.POLL_OK:
            return
        if state == psycopg2.extensions.POLL_READ:
            trampoline(connection.fileno(), read=True)
        else:
            trampoline(connection.fileno(), write=True)
