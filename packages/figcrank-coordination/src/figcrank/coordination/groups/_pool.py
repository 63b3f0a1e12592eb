"""Connections of one owner host to a group's servers: its share, slots, spares, silence."""

from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._actions import CloseConnection, OpenConnection, StartWork
from figcrank.coordination._events import ConnectionFailed, ConnectionOpened, WorkFinished
from figcrank.coordination._port import GRACE_MS, Port
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
MIN_REOPEN_MS = 50
MAX_REOPEN_MS = 800


@dataclass(slots=True, eq=False)
class Connection:
    """A connection that this host opened.

    :param connection_id: its number.
    :param server: server that it leads to.
    :param opened_ms: when it was asked for.
    :param session_pid: process id of the backend session, ``None`` while it opens.
    :param pinned: whether an open transaction holds it.
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
    """What one owner may use of each server.

    :param connections: most connections.
    :param slots: most statements at once.
    """

    connections: int
    slots: int

    @classmethod
    def from_rank(cls, settings: CoreSettings, group: Group, rank: int | None) -> "Share":
        """Return the share of the owner with ``rank``, nothing for ``None``.

        Shares are cut for the configured number of owners and not for those alive, so that a host
        that lost sight of its peers does not take theirs. One more share of connections than there
        are owners, and control connections for a third prober and a predecessor, are left free.
        """
        hosts = {host.name for host in (*settings.seeds, settings.host)}
        owners = min(settings.owners_per_group, len(hosts))
        if rank is None or rank >= owners:
            return cls(0, 0)
        control = CONTROL_CONNECTIONS * (owners + 2)
        connections = max(1, (group.connections_per_server - control) // (owners + 1))
        slots = group.slots_per_server // owners + (rank < group.slots_per_server % owners)
        return cls(connections, slots)


class Pool:
    """Opens, lends and closes connections within this host's share.

    A share that grows is used only after ``suspicion_ms``: by then every live host has seen the
    change of owners that made it grow, and a predecessor that died has been ended by its servers.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param group: the group.
    """

    def __init__(self, settings: CoreSettings, port: Port, group: Group) -> None:
        self._settings = settings
        self._port = port
        self._group = group
        self._connections: dict[int, Connection] = {}
        self._idle: dict[str, list[Connection]] = {server.name: [] for server in group.servers}
        self._reopen_ms: dict[str, int] = {}
        self._backoff_ms: dict[str, int] = {}
        self._share = Share(0, 0)
        self._next_share = Share(0, 0)
        self._share_from_ms = 0

    @property
    def share(self) -> Share:
        """Return the share that may be used now."""
        return self._share

    @property
    def running(self) -> int:
        """Return the number of connections that run work or are pinned."""
        return sum(c.work_id is not None or c.pinned for c in self._connections.values())

    def in_flight(self, server: str) -> int:
        """Return the number of statements that run on a server for this host."""
        return sum(c.work_id is not None for c in self._connections.values() if c.server == server)

    def has_slot(self, server: str) -> bool:
        """Return whether one more statement may run on a server."""
        return self.in_flight(server) < self._share.slots

    def can_start(self, server: str, now_ms: int) -> bool:
        """Return whether work can start on a server at once; opens a connection if one lacks."""
        if not self.has_slot(server):
            return False
        opening = any(
            c.session_pid is None for c in self._connections.values() if c.server == server
        )
        if not self._idle[server] and not opening:
            self._open(server, now_ms)
        return bool(self._idle[server])

    def acquire(self, server: str) -> Connection:
        """Take an idle connection; :meth:`can_start` must have returned ``True``."""
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

        :param timeout_ms: time after which the connection is abandoned and the work is lost.
        """
        connection.work_id = self._port.new_id()
        connection.work = work
        connection.started_ms = now_ms
        connection.deadline_ms = now_ms + timeout_ms + GRACE_MS
        connection.on_result = on_result
        self._port.emit(
            StartWork(connection.connection_id, connection.work_id, work, timeout_ms, traceparent)
        )

    def unpin(self, connection: Connection) -> None:
        """Take back the connection of a transaction that ended."""
        connection.pinned = False
        if connection.connection_id in self._connections and connection.work_id is None:
            self._idle[connection.server].append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection, whatever it does; its work's call-back is not called any more."""
        if self._connections.pop(connection.connection_id, None) is None:
            return
        if connection in self._idle[connection.server]:
            self._idle[connection.server].remove(connection)
        connection.on_result = None
        self._port.emit(CloseConnection(connection.connection_id))

    def abandon(self, server: str, reads_too: bool, now_ms: int) -> None:
        """Close connections to a server that run work, and report the work as lost.

        :param reads_too: whether reads are given up as well as writes.
        """
        for connection in list(self._connections.values()):
            if connection.server != server or connection.work_id is None:
                continue
            if reads_too or not isinstance(connection.work, ReadWork):
                self._lose(connection, "The server failed or was replaced.", now_ms)

    # Events

    def on_opened(self, event: ConnectionOpened, now_ms: int) -> bool:
        """Take an opened connection; return whether it is one of this pool's."""
        connection = self._connections.get(event.connection_id)
        if connection is None:
            return False
        connection.session_pid = event.session_pid
        self._backoff_ms.pop(connection.server, None)
        self._idle[connection.server].append(connection)
        return True

    def on_failed(self, event: ConnectionFailed, now_ms: int) -> bool:
        """Take a connection that failed or closed; return whether it is one of this pool's."""
        connection = self._connections.get(event.connection_id)
        if connection is None:
            return False
        if connection.work_id is not None:
            self._lose(connection, "The connection closed.", now_ms)
            return True
        del self._connections[event.connection_id]
        if connection in self._idle[connection.server]:
            self._idle[connection.server].remove(connection)
        if connection.session_pid is None:
            self._back_off(connection.server, now_ms, event.refused_full)
        return True

    def on_finished(self, event: WorkFinished, now_ms: int) -> bool:
        """Take the end of work; return whether the connection is one of this pool's.

        The result of work that was given up on is dropped.
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
            self._distrust(connection)
        elif not connection.pinned:
            self._idle[connection.server].append(connection)
        if on_result is not None:
            on_result(event.result, now_ms)
        return True

    # Time

    def tick(self, rank: int | None, now_ms: int) -> None:
        """Follow the host's rank among the owners, abandon silent connections, keep spares."""
        self._update_share(rank, now_ms)
        for connection in list(self._connections.values()):
            self._check_silence(connection, now_ms)
        self._trim()
        if self._share.slots == 0:
            return
        for server in self._group.servers:
            self._keep_spares(server.name, now_ms)

    def _update_share(self, rank: int | None, now_ms: int) -> None:
        share = Share.from_rank(self._settings, self._group, rank)
        if share != self._next_share:
            self._next_share = share
            self._share_from_ms = now_ms + self._settings.timings.suspicion_ms
        if share.slots <= self._share.slots or now_ms >= self._share_from_ms:
            self._share = share

    def _check_silence(self, connection: Connection, now_ms: int) -> None:
        if connection.session_pid is None:
            if now_ms - connection.opened_ms >= OPEN_TIMEOUT_MS:
                self.close(connection)
                self._back_off(connection.server, now_ms, refused_full=False)
        elif connection.work_id is not None and now_ms >= connection.deadline_ms:
            self._lose(connection, "The connection was silent past its deadline.", now_ms)

    def _lose(self, connection: Connection, message: str, now_ms: int) -> None:
        on_result = connection.on_result
        commit_sent = isinstance(connection.work, WriteWork | CommitWork)
        self._distrust(connection)
        if on_result is not None:
            failed = WorkFailed(WorkFailureKind.LOST, message, commit_sent=commit_sent)
            on_result(failed, now_ms)

    def _distrust(self, lost: Connection) -> None:
        """Close a lost connection and the idle ones that are as old: they may be dead as well."""
        for connection in list(self._idle[lost.server]):
            if connection.opened_ms <= lost.started_ms:
                self.close(connection)
        self.close(lost)

    def _trim(self) -> None:
        for server, idle in self._idle.items():
            excess = self._count(server) - self._share.connections
            for connection in idle[: max(0, excess)]:
                self.close(connection)

    def _keep_spares(self, server: str, now_ms: int) -> None:
        wanted = self._share.slots + SPARE_CONNECTIONS
        unpinned = sum(not c.pinned for c in self._connections.values() if c.server == server)
        for _ in range(wanted - unpinned):
            self._open(server, now_ms)

    def _open(self, server: str, now_ms: int) -> None:
        if self._count(server) >= self._share.connections:
            return
        if now_ms < self._reopen_ms.get(server, 0):
            return
        connection = Connection(self._port.new_id(), server, now_ms)
        self._connections[connection.connection_id] = connection
        self._port.emit(OpenConnection(connection.connection_id, self._group.server(server)))

    def _back_off(self, server: str, now_ms: int, refused_full: bool) -> None:
        backoff_ms = MAX_REOPEN_MS if refused_full else self._backoff_ms.get(server, MIN_REOPEN_MS)
        self._backoff_ms[server] = min(MAX_REOPEN_MS, 2 * backoff_ms)
        self._reopen_ms[server] = now_ms + backoff_ms

    def _count(self, server: str) -> int:
        return sum(c.server == server for c in self._connections.values())
