"""Control requests to backend servers."""

import contextlib
from collections.abc import Iterator
from typing import Any

import eventlet
import msgspec
import psycopg2
import psycopg2.extensions
from eventlet.semaphore import Semaphore

from figcrank.coordination import CallServer, ServerReplied
from figcrank.protocol import (
    SQLSTATE_STALE_TERM,
    Fence,
    Follow,
    Lookup,
    Promote,
    QueryStatus,
    RecordReply,
    ServerFailure,
    ServerFailureKind,
    ServerReply,
    ServerRequest,
    StatusReply,
)
from figcrank.state import ServerStatus
from figcrank.transport._calls import MS_PER_S
from figcrank.transport._driver import HostDriver, spawn_logged
from figcrank.transport._psycopg import Login, connect
from figcrank.transport._telemetry import Telemetry

MAX_CONNECTIONS = 3
# Below MAX_CONNECTIONS, so that a fence request never queues behind long-polling status queries.
MAX_LONG_POLLS = 2


class ControlClient:
    """Sends control requests on behalf of the core, each in a separate greenlet.

    :param driver: the host driver.
    :param login: credentials for the servers.
    :param telemetry: metrics.
    """

    def __init__(self, driver: HostDriver, login: Login, telemetry: Telemetry) -> None:
        self._driver = driver
        self._login = login
        self._telemetry = telemetry
        self._pools: dict[str, _Pool] = {}

    def call(self, action: CallServer) -> None:
        """Send a request; its reply or failure is dispatched as an event."""
        spawn_logged(self._call, action)

    def close_all(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.close_idle()

    def _call(self, action: CallServer) -> None:
        reply = self._request(action)
        if isinstance(reply, ServerFailure):
            self._telemetry.count(f"control.{reply.kind}")
        self._driver.dispatch(ServerReplied(action.call_id, reply))

    def _request(self, action: CallServer) -> ServerReply:
        address = action.server.address
        pool = self._pools.setdefault(address, _Pool(address, self._login))
        timeout_ms = action.timeout_ms + getattr(action.request, "wait_ms", 0)
        timer = eventlet.Timeout(timeout_ms / MS_PER_S)
        try:
            with pool.connection(_is_long_poll(action.request), timeout_ms) as connection:
                return _execute(connection, action.request)
        except eventlet.Timeout:
            message = f"{action.server.name} did not answer in time."
            return ServerFailure(ServerFailureKind.TIMEOUT, message)
        except psycopg2.Error as error:
            return _failure(error)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return ServerFailure(ServerFailureKind.REFUSED, f"The reply is malformed: {error}.")
        finally:
            timer.cancel()


class _Pool:
    """Control connections to one server."""

    def __init__(self, address: str, login: Login) -> None:
        self._address = address
        self._login = login
        self._idle: list[psycopg2.extensions.connection] = []
        self._slots = Semaphore(MAX_CONNECTIONS)
        self._long_poll_slots = Semaphore(MAX_LONG_POLLS)

    @contextlib.contextmanager
    def connection(
        self, is_long_poll: bool, timeout_ms: int
    ) -> Iterator[psycopg2.extensions.connection]:
        """Provide a connection, which returns to the pool unless an exception is raised."""
        with self._long_poll_slots if is_long_poll else contextlib.nullcontext(), self._slots:
            connection = self._idle.pop() if self._idle else None
            if connection is None:
                connection = connect(self._address, self._login, timeout_ms)
            try:
                yield connection
            except BaseException:
                connection.close()
                raise
            self._idle.append(connection)

    def close_idle(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().close()


def _is_long_poll(request: ServerRequest) -> bool:
    return isinstance(request, QueryStatus) and request.wait_ms > 0


def _execute(connection: psycopg2.extensions.connection, request: ServerRequest) -> ServerReply:
    sql, params = _query(request)
    with connection.cursor() as cursor:
        cursor.execute(sql, params)
        value = cursor.fetchone()[0]
    if isinstance(request, Lookup):
        return _convert(value, RecordReply)
    return StatusReply(_convert(value, ServerStatus))


def _query(request: ServerRequest) -> tuple[str, tuple]:
    match request:
        case QueryStatus(wait_for, wait_ms):
            params = (wait_for.term, wait_for.offset, wait_ms)
            return "SELECT group_status(%s, %s, %s)", params
        case Fence(term, fencer):
            return "SELECT group_fence(%s, %s)", (term, fencer)
        case Promote(term, fencer):
            return "SELECT group_promote(%s, %s)", (term, fencer)
        case Follow(term, primary):
            return "SELECT group_follow(%s, %s)", (term, primary)
        case Lookup(request_id, term, session_pid):
            return "SELECT group_lookup(%s, %s, %s)", (request_id, term, session_pid)


def _convert(value: Any, kind: type) -> Any:
    """Convert the value of a JSON column, which psycopg2 may have parsed already."""
    if isinstance(value, str):
        return msgspec.json.decode(value, type=kind)
    return msgspec.convert(value, kind)


def _failure(error: psycopg2.Error) -> ServerFailure:
    message = (error.diag.message_primary or str(error)).strip()
    if error.pgcode == SQLSTATE_STALE_TERM:
        return ServerFailure(ServerFailureKind.STALE_TERM, message)
    if error.pgcode:
        return ServerFailure(ServerFailureKind.REFUSED, message)
    return ServerFailure(ServerFailureKind.UNREACHABLE, message)
