"""Connections to backend servers and the work that runs on them."""

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
from figcrank.transport._psycopg import Login, connect, is_full
from figcrank.transport._telemetry import Telemetry
from figcrank.transport._work import WorkRunner

CONNECT_TIMEOUT_MS = 2_000
IDLE_CHECK_MS = 200


@dataclass(slots=True)
class _Connection:
    """A connection of the core.

    :param server: where it leads.
    :param link: the client library's connection, ``None`` while it is being opened.
    :param thread: greenlet that opens it or works on it, ``None`` while idle.
    """

    server: Server
    link: psycopg2.extensions.connection | None = None
    runner: WorkRunner | None = None
    thread: eventlet.greenthread.GreenThread | None = None


class Backend:
    """Opens, uses and closes connections as the core asks.

    :param driver: the host driver.
    :param login: how the proxy presents itself to servers.
    :param telemetry: traces and metrics.
    """

    def __init__(self, driver: HostDriver, login: Login, telemetry: Telemetry) -> None:
        self._driver = driver
        self._login = login
        self._telemetry = telemetry
        self._connections: dict[int, _Connection] = {}

    def start(self) -> None:
        """Begin to watch idle connections."""
        spawn_logged(self._watch_idle)

    def open(self, action: OpenConnection) -> None:
        """Open a connection."""
        connection = _Connection(action.server)
        self._connections[action.connection_id] = connection
        connection.thread = spawn_logged(self._open, action.connection_id, connection)

    def start_work(self, action: StartWork) -> None:
        """Run work on an open connection."""
        connection = self._connections.get(action.connection_id)
        if connection is None or connection.runner is None or connection.thread is not None:
            spawn_logged(self._refuse_work, action)
            return
        connection.thread = spawn_logged(self._work, action, connection)

    def close(self, action: CloseConnection) -> None:
        """Close a connection at once; no event follows."""
        connection = self._connections.pop(action.connection_id, None)
        if connection is not None:
            spawn_logged(self._abandon, connection)

    def close_all(self) -> None:
        """Close every connection."""
        for connection in self._connections.values():
            self._abandon(connection)
        self._connections.clear()

    def _open(self, connection_id: int, connection: _Connection) -> None:
        try:
            link = connect(connection.server.address, self._login, CONNECT_TIMEOUT_MS)
        except psycopg2.Error as error:
            self._fail(connection_id, connection, is_full(error))
            return
        except eventlet.Timeout:
            self._fail(connection_id, connection, at_connection_limit=False)
            return
        connection.link = link
        connection.runner = WorkRunner(link)
        connection.thread = None
        self._driver.dispatch(ConnectionOpened(connection_id, link.info.backend_pid))

    def _fail(self, connection_id: int, connection: _Connection, at_connection_limit: bool) -> None:
        self._telemetry.count("backend.connection_failed")
        connection.thread = None
        if self._forget(connection_id, connection):
            self._driver.dispatch(ConnectionFailed(connection_id, at_connection_limit))

    def _work(self, action: StartWork, connection: _Connection) -> None:
        span = self._telemetry.start_span("backend.work", action.traceparent)
        result = connection.runner.run(action.work, action.timeout_ms)
        connection.thread = None
        span.end(
            server=connection.server.name,
            work=type(action.work).__name__,
            outcome=_outcome(result),
        )
        if connection.link.closed:
            self._forget(action.connection_id, connection)
        self._driver.dispatch(WorkFinished(action.connection_id, action.work_id, result))

    def _refuse_work(self, action: StartWork) -> None:
        message = "The connection is closed."
        result = WorkFailed(WorkFailureKind.LOST, message, commit_sent=False)
        self._driver.dispatch(WorkFinished(action.connection_id, action.work_id, result))

    def _forget(self, connection_id: int, connection: _Connection) -> bool:
        """Drop a connection; return whether the core still knew it."""
        if self._connections.get(connection_id) is not connection:
            return False
        del self._connections[connection_id]
        return True

    def _abandon(self, connection: _Connection) -> None:
        # The greenlet must leave its wait before the descriptor may be used by another one.
        if connection.thread is not None:
            connection.thread.kill()
        if connection.link is not None:
            connection.link.close()

    def _watch_idle(self) -> None:
        while True:
            eventlet.sleep(IDLE_CHECK_MS / MS_PER_S)
            for connection_id, connection in self._closed_by_server():
                connection.link.close()
                self._fail(connection_id, connection, at_connection_limit=False)

    def _closed_by_server(self) -> list[tuple[int, _Connection]]:
        poller = eventlet.patcher.original("select").poll()
        by_descriptor = {}
        for connection_id, connection in self._connections.items():
            if connection.link is not None and connection.thread is None:
                descriptor = connection.link.fileno()
                poller.register(descriptor, select.POLLRDHUP)
                by_descriptor[descriptor] = (connection_id, connection)
        return [by_descriptor[descriptor] for descriptor, _ in poller.poll(0)]


def _outcome(result: WorkResult) -> str:
    return "done" if isinstance(result, WorkDone) else str(result.kind)
