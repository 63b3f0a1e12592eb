"""Connection pool of one owner host for a group's servers: limits, spares and timeouts."""

from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._actions import CloseConnection, OpenConnection, StartWork
from figcrank.coordination._events import ConnectionFailed, ConnectionOpened, WorkFinished
from figcrank.coordination._outbox import REPLY_GRACE_MS, Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.protocol import (
    CommitWork,
    ReadWork,
    Work,
    WorkFailed,
    WorkFailureKind,
    WorkResult,
    WriteWork,
)
from figcrank.state import Group

OnResult = Callable[[WorkResult, int], None]

CONTROL_CONNECTIONS = 3
SPARE_CONNECTIONS = 1
OPEN_TIMEOUT_MS = 500
MIN_REOPEN_BACKOFF_MS = 50
MAX_REOPEN_BACKOFF_MS = 800


@dataclass(slots=True, eq=False)
class Connection:
    """A connection that this host opened.

    :param connection_id: number that is unique in this host's core.
    :param server: name of the backend server.
    :param opened_ms: time at which opening it was requested.
    :param session_pid: process id of the backend session, ``None`` while the connection opens.
    :param pinned: whether it is reserved for an open transaction.
    :param work_id: number of the running work, ``None`` if it is idle.
    """

    connection_id: int
    server: str
    opened_ms: int
    session_pid: int | None = None
    pinned: bool = False
    work_id: int | None = None
    work: Work | None = None
    started_ms: int = 0
    deadline_ms: int = 0
    on_result: OnResult | None = None


@dataclass(frozen=True, slots=True)
class Share:
    """Share of each server's capacity that one owner may use.

    :param connections: maximum number of connections.
    :param slots: maximum number of concurrent statements.
    """

    connections: int
    slots: int

    @classmethod
    def from_rank(cls, settings: CoreSettings, group: Group, rank: int | None) -> "Share":
        """Return the share of the owner with ``rank``, an empty share for ``None``.

        Capacity is divided by the configured number of owners, not by the live ones, so that a host
        that is cut off from its peers does not use their shares. The connections of
        one more share stay unused, so that those of a failed owner and of its successor fit at the
        same time. Control connections are reserved for the owners, the additional probing host and
        a failed owner.
        """
        hosts = {host.name for host in (*settings.seeds, settings.host)}
        owners = min(settings.owners_per_group, len(hosts))
        if rank is None or rank >= owners:
            return cls(0, 0)
        control = CONTROL_CONNECTIONS * (owners + 2)
        connections = max(1, (group.connections_per_server - control) // (owners + 1))
        slots = group.slots_per_server // owners + (rank < group.slots_per_server % owners)
        return cls(connections, slots)


class ConnectionPool:
    """Opens, assigns and closes connections within this host's share.

    A larger share takes effect only after ``suspicion_ms``. By then every live host has observed
    the change of owners, and the servers have ended the sessions of a predecessor that failed. A
    smaller share takes effect at once.

    :param settings: static settings of this host.
    :param outbox: emits the connection actions.
    :param group: the group.
    """

    def __init__(self, settings: CoreSettings, outbox: Outbox, group: Group) -> None:
        self._settings = settings
        self._outbox = outbox
        self._group = group
        self._connections: dict[int, Connection] = {}
        self._idle: dict[str, list[Connection]] = {server.name: [] for server in group.servers}
        self._next_open_ms: dict[str, int] = {}
        self._backoff_ms: dict[str, int] = {}
        self._share = Share(0, 0)
        self._next_share = Share(0, 0)
        self._share_valid_from_ms = 0

    @property
    def share(self) -> Share:
        """Return the share in effect."""
        return self._share

    @property
    def busy_connections(self) -> int:
        """Return the number of connections that run work or are pinned."""
        return sum(c.work_id is not None or c.pinned for c in self._connections.values())

    def in_flight(self, server: str) -> int:
        """Return the number of statements of this host that run on a server."""
        return sum(c.work_id is not None for c in self._connections.values() if c.server == server)

    def has_slot(self, server: str) -> bool:
        """Return whether one more statement may run on a server."""
        return self.in_flight(server) < self._share.slots

    def can_start(self, server: str, now_ms: int) -> bool:
        """Return whether work can start on a server now; opens a connection if needed."""
        if not self.has_slot(server):
            return False
        opening = any(
            c.session_pid is None for c in self._connections.values() if c.server == server
        )
        if not self._idle[server] and not opening:
            self._open(server, now_ms)
        return bool(self._idle[server])

    def acquire(self, server: str) -> Connection:
        """Reserve and return an idle connection; :meth:`can_start` must have returned ``True``."""
        return self._idle[server].pop()

    def run(
        self,
        connection: Connection,
        work: Work,
        timeout_ms: int,
        traceparent: str,
        now_ms: int,
        on_result: OnResult,
    ) -> None:
        """Start work on a connection; calls back exactly once.

        :param timeout_ms: time limit of the work; the connection is closed and the work reported as
            lost :data:`REPLY_GRACE_MS` later.
        """
        connection.work_id = self._outbox.new_id()
        connection.work = work
        connection.started_ms = now_ms
        connection.deadline_ms = now_ms + timeout_ms + REPLY_GRACE_MS
        connection.on_result = on_result
        self._outbox.emit(
            StartWork(connection.connection_id, connection.work_id, work, timeout_ms, traceparent)
        )

    def unpin(self, connection: Connection) -> None:
        """Release the connection of a transaction that has ended."""
        connection.pinned = False
        if connection.connection_id in self._connections and connection.work_id is None:
            self._idle[connection.server].append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection, even one in use; the callback of its work is no longer called."""
        if self._connections.pop(connection.connection_id, None) is None:
            return
        if connection in self._idle[connection.server]:
            self._idle[connection.server].remove(connection)
        connection.on_result = None
        self._outbox.emit(CloseConnection(connection.connection_id))

    def abandon(self, server: str, include_reads: bool, now_ms: int) -> None:
        """Close connections to a server that run work, and report the work as lost.

        :param include_reads: whether reads are abandoned as well as writes.
        """
        for connection in list(self._connections.values()):
            if connection.server != server or connection.work_id is None:
                continue
            if include_reads or not isinstance(connection.work, ReadWork):
                self._fail_work(connection, "The server failed or was replaced.", now_ms)

    # Connection events

    def on_opened(self, event: ConnectionOpened, now_ms: int) -> bool:
        """Process an opened connection; return whether it belongs to this pool."""
        connection = self._connections.get(event.connection_id)
        if connection is None:
            return False
        connection.session_pid = event.session_pid
        self._backoff_ms.pop(connection.server, None)
        self._idle[connection.server].append(connection)
        return True

    def on_failed(self, event: ConnectionFailed, now_ms: int) -> bool:
        """Process a connection that failed or closed; return whether it belongs to this pool."""
        connection = self._connections.get(event.connection_id)
        if connection is None:
            return False
        if connection.work_id is not None:
            self._fail_work(connection, "The connection closed.", now_ms)
            return True
        del self._connections[event.connection_id]
        if connection in self._idle[connection.server]:
            self._idle[connection.server].remove(connection)
        if connection.session_pid is None:
            self._back_off(connection.server, now_ms, event.at_connection_limit)
        return True

    def on_finished(self, event: WorkFinished, now_ms: int) -> bool:
        """Process finished work; return whether its connection belongs to this pool.

        The result of abandoned work is dropped.
        """
        connection = self._connections.get(event.connection_id)
        if connection is None:
            return False
        if connection.work_id != event.work_id:
            return True
        on_result = connection.on_result
        lost = isinstance(event.result, WorkFailed) and event.result.kind is WorkFailureKind.LOST
        connection.work_id = None
        connection.work = None
        connection.on_result = None
        if lost:
            self._close_stale(connection)
        elif not connection.pinned:
            self._idle[connection.server].append(connection)
        if on_result is not None:
            on_result(event.result, now_ms)
        return True

    # Periodic maintenance

    def tick(self, rank: int | None, now_ms: int) -> None:
        """Update the share, abandon unresponsive connections and keep spares open.

        :param rank: rank of this host among the owners, ``None`` if it is not an owner.
        """
        self._update_share(rank, now_ms)
        for connection in list(self._connections.values()):
            self._check_timeouts(connection, now_ms)
        self._close_excess()
        if self._share.slots == 0:
            return
        for server in self._group.servers:
            self._open_spares(server.name, now_ms)

    def _update_share(self, rank: int | None, now_ms: int) -> None:
        share = Share.from_rank(self._settings, self._group, rank)
        if share != self._next_share:
            self._next_share = share
            self._share_valid_from_ms = now_ms + self._settings.timings.suspicion_ms
        if share.slots <= self._share.slots or now_ms >= self._share_valid_from_ms:
            self._share = share

    def _check_timeouts(self, connection: Connection, now_ms: int) -> None:
        if connection.session_pid is None:
            if now_ms - connection.opened_ms >= OPEN_TIMEOUT_MS:
                self.close(connection)
                self._back_off(connection.server, now_ms, at_connection_limit=False)
        elif connection.work_id is not None and now_ms >= connection.deadline_ms:
            self._fail_work(
                connection, "The connection did not respond before its deadline.", now_ms
            )

    def _fail_work(self, connection: Connection, message: str, now_ms: int) -> None:
        on_result = connection.on_result
        commit_sent = isinstance(connection.work, WriteWork | CommitWork)
        self._close_stale(connection)
        if on_result is not None:
            failed = WorkFailed(WorkFailureKind.LOST, message, commit_sent=commit_sent)
            on_result(failed, now_ms)

    def _close_stale(self, lost: Connection) -> None:
        """Close a lost connection and idle ones opened before its work; they may be dead too."""
        for connection in list(self._idle[lost.server]):
            if connection.opened_ms <= lost.started_ms:
                self.close(connection)
        self.close(lost)

    def _close_excess(self) -> None:
        for server, idle in self._idle.items():
            excess = self._count(server) - self._share.connections
            for connection in idle[: max(0, excess)]:
                self.close(connection)

    def _open_spares(self, server: str, now_ms: int) -> None:
        wanted = self._share.slots + SPARE_CONNECTIONS
        unpinned = sum(not c.pinned for c in self._connections.values() if c.server == server)
        for _ in range(wanted - unpinned):
            self._open(server, now_ms)

    def _open(self, server: str, now_ms: int) -> None:
        if self._count(server) >= self._share.connections:
            return
        if now_ms < self._next_open_ms.get(server, 0):
            return
        connection = Connection(self._outbox.new_id(), server, now_ms)
        self._connections[connection.connection_id] = connection
        self._outbox.emit(OpenConnection(connection.connection_id, self._group.server(server)))

    def _back_off(self, server: str, now_ms: int, at_connection_limit: bool) -> None:
        backoff_ms = (
            MAX_REOPEN_BACKOFF_MS
            if at_connection_limit
            else self._backoff_ms.get(server, MIN_REOPEN_BACKOFF_MS)
        )
        self._backoff_ms[server] = min(MAX_REOPEN_BACKOFF_MS, 2 * backoff_ms)
        self._next_open_ms[server] = now_ms + backoff_ms

    def _count(self, server: str) -> int:
        return sum(c.server == server for c in self._connections.values())
