"""Connections to backend servers and the execution of work on them."""

import select
from dataclasses import dataclass

import eventlet
import psycopg2
import psycopg2.extensions

from figcrank.coordination import (
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    OpenConnection,
    StartWork,
    WorkFinished,
)
from figcrank.protocol import WorkDone, WorkFailed, WorkFailureKind, WorkResult
from figcrank.state import Server
from figcrank.transport._calls import MS_PER_S
from figcrank.transport._driver import HostDriver, spawn_logged
from figcrank.transport._psycopg import Login, connect, is_connection_limit_error
from figcrank.transport._telemetry import Telemetry
from figcrank.transport._work import WorkRunner

CONNECT_TIMEOUT_MS = 2_000
IDLE_CHECK_INTERVAL_MS = 200


@dataclass(slots=True)
class _Connection:
    """A connection that the core requested.

    :param server: server that it connects to.
    :param db_connection: psycopg2 connection, ``None`` while it is being opened.
    :param runner: runs work on the connection, ``None`` while it is being opened.
    :param greenlet: greenlet that opens it or runs work on it, ``None`` while idle.
    """

    server: Server
    db_connection: psycopg2.extensions.connection | None = None
    runner: WorkRunner | None = None
    greenlet: eventlet.greenthread.GreenThread | None = None


class Backend:
    """Opens, uses and closes connections as requested by the core.

    :param driver: the host driver.
    :param login: credentials for the servers.
    :param telemetry: traces and metrics.
    """

    def __init__(self, driver: HostDriver, login: Login, telemetry: Telemetry) -> None:
        self._driver = driver
        self._login = login
        self._telemetry = telemetry
        self._connections: dict[int, _Connection] = {}

    def start(self) -> None:
        """Start monitoring idle connections."""
        spawn_logged(self._watch_idle)

    def open(self, action: OpenConnection) -> None:
        """Open a connection."""
        connection = _Connection(action.server)
        self._connections[action.connection_id] = connection
        connection.greenlet = spawn_logged(self._open, action.connection_id, connection)

    def start_work(self, action: StartWork) -> None:
        """Run work on an open connection."""
        connection = self._connections.get(action.connection_id)
        if connection is None or connection.runner is None or connection.greenlet is not None:
            spawn_logged(self._refuse_work, action)
            return
        connection.greenlet = spawn_logged(self._run_work, action, connection)

    def close(self, action: CloseConnection) -> None:
        """Close a connection immediately, without sending an event to the core."""
        connection = self._connections.pop(action.connection_id, None)
        if connection is not None:
            spawn_logged(self._terminate, connection)

    def close_all(self) -> None:
        """Close every connection."""
        for connection in self._connections.values():
            self._terminate(connection)
        self._connections.clear()

    def _open(self, connection_id: int, connection: _Connection) -> None:
        try:
            db_connection = connect(connection.server.address, self._login, CONNECT_TIMEOUT_MS)
        except psycopg2.Error as error:
            self._fail(connection_id, connection, is_connection_limit_error(error))
            return
        except eventlet.Timeout:
            self._fail(connection_id, connection, at_connection_limit=False)
            return
        connection.db_connection = db_connection
        connection.runner = WorkRunner(db_connection)
        connection.greenlet = None
        self._driver.dispatch(ConnectionOpened(connection_id, db_connection.info.backend_pid))

    def _fail(self, connection_id: int, connection: _Connection, at_connection_limit: bool) -> None:
        self._telemetry.count("backend.connection_failed")
        connection.greenlet = None
        if self._remove(connection_id, connection):
            self._driver.dispatch(ConnectionFailed(connection_id, at_connection_limit))

    def _run_work(self, action: StartWork, connection: _Connection) -> None:
        span = self._telemetry.start_span("backend.work", action.traceparent)
        result = connection.runner.run(action.work, action.timeout_ms)
        connection.greenlet = None
        span.end(
            server=connection.server.name,
            work=type(action.work).__name__,
            outcome=_outcome(result),
        )
        if connection.db_connection.closed:
            self._remove(action.connection_id, connection)
        self._driver.dispatch(WorkFinished(action.connection_id, action.work_id, result))

    def _refuse_work(self, action: StartWork) -> None:
        message = "The connection is closed."
        result = WorkFailed(WorkFailureKind.LOST, message, commit_sent=False)
        self._driver.dispatch(WorkFinished(action.connection_id, action.work_id, result))

    def _remove(self, connection_id: int, connection: _Connection) -> bool:
        """Remove a connection and return whether it was still registered."""
        if self._connections.get(connection_id) is not connection:
            return False
        del self._connections[connection_id]
        return True

    def _terminate(self, connection: _Connection) -> None:
        # The greenlet must stop waiting on the descriptor before another connection can reuse it.
        if connection.greenlet is not None:
            connection.greenlet.kill()
        if connection.db_connection is not None:
            connection.db_connection.close()

    def _watch_idle(self) -> None:
        while True:
            eventlet.sleep(IDLE_CHECK_INTERVAL_MS / MS_PER_S)
            for connection_id, connection in self._closed_by_server():
                connection.db_connection.close()
                self._fail(connection_id, connection, at_connection_limit=False)

    def _closed_by_server(self) -> list[tuple[int, _Connection]]:
        poller = eventlet.patcher.original("select").poll()
        by_descriptor = {}
        for connection_id, connection in self._connections.items():
            if connection.db_connection is not None and connection.greenlet is None:
                descriptor = connection.db_connection.fileno()
                poller.register(descriptor, select.POLLRDHUP)
                by_descriptor[descriptor] = (connection_id, connection)
        return [by_descriptor[descriptor] for descriptor, _ in poller.poll(0)]


def _outcome(result: WorkResult) -> str:
    return "done" if isinstance(result, WorkDone) else str(result.kind)
