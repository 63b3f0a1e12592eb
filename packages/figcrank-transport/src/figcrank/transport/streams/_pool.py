"""The connections of one host to one backend server."""

import itertools

import eventlet
from eventlet.event import Event

from figcrank.coordination.placement import (
    ConcurrencyLimit,
    ServerHealth,
    Waiter,
    kept_connections,
    next_waiter,
)
from figcrank.protocol.sessions import (
    ServerCodec,
    ServerReply,
    SessionFailure,
    TransactionState,
)
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._metrics import Metrics

LAGGING_PAUSE_MS = 60  # about one replication delay; then the replica is asked again


def split_address(address: str) -> tuple[str, int]:
    """Return the ``(ip, port)`` of ``ip:port``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


class ServerPool:
    """Connections to one server, each bound to a workspace, within this host's share.

    :param entry: the server.
    :param codec: its wire format.
    :param clock: this host's clock.
    :param metrics: where connections are counted.
    """

    def __init__(
        self, entry: ServerEntry, codec: ServerCodec, clock: Clock, metrics: Metrics
    ) -> None:
        self.entry = entry
        self.health = ServerHealth()
        self.limit = 1
        self.position: Position | None = None
        self.lagging_until_ms = 0
        self.missing_since_ms: int | None = None
        self.being_checked = False
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._idle: list[ServerConnection] = []
        self._busy: set[ServerConnection] = set()
        self._opening: dict[str, int] = {}
        self._waiters: list[tuple[Waiter, Event]] = []
        self._orders = itertools.count()
        self._granted = 0  # waiters that were woken and have not run yet
        self._concurrency = ConcurrencyLimit()

    @property
    def busy(self) -> int:
        """Return how many connections are in use or being opened."""
        return len(self._busy) + sum(self._opening.values())

    @property
    def in_flight(self) -> int:
        """Return how much work of this host the server has or is about to get.

        A transaction between two statements needs nothing of the server but its connection.
        """
        idle_state = TransactionState.IDLE
        working = sum(1 for c in self._busy if c.outstanding or c.state is idle_state)
        return working + sum(self._opening.values())

    @property
    def allowed(self) -> int:
        """Return how much work may be in flight."""
        return self._concurrency.allowed(self.limit, self._clock.now_ms())

    def rejected(self) -> None:
        """Count a statement or connection that the server had no room for in its queue."""
        self._concurrency.rejected(self.in_flight, self._clock.now_ms())
        self._metrics.count("server_rejections", server=self.entry.server_id)

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a connection."""
        return len(self._waiters)

    @property
    def quiet(self) -> bool:
        """Return whether nothing of this host runs at the server."""
        return not self._busy and not any(self._opening.values())

    def has_idle(self, workspace: str) -> bool:
        """Return whether a free connection of a workspace is open."""
        return any(connection.workspace == workspace for connection in self._idle)

    def acquire(
        self, workspace: str, priority: int, values: dict[str, str], deadline_ms: int
    ) -> ServerConnection:
        """Return a connection of a workspace, waiting for one until the deadline.

        :param values: the session's values; a connection that has them is preferred.
        :raises OpenError: if none can be had.
        """
        waiter = Waiter(workspace, priority, deadline_ms, next(self._orders))
        while True:
            if self.in_flight < self.allowed:
                connection = self._take_idle(workspace, values)
                if connection is not None:
                    return connection
                if self._has_room():
                    return self._open(workspace)
            self._wait(waiter)

    def _take_idle(self, workspace: str, values: dict[str, str]) -> ServerConnection | None:
        best = None
        for connection in self._idle:
            if connection.workspace != workspace:
                continue
            if connection.values == values:
                best = connection
                break
            best = best or connection
        if best is not None:
            self._idle.remove(best)
            self._busy.add(best)
        return best

    def _has_room(self) -> bool:
        if len(self._idle) + self.busy < self.limit:
            return True
        if not self._idle or self.busy >= self.limit:
            return False
        self._idle.pop(0).close()  # the one unused for longest
        return True

    def _open(self, workspace: str) -> ServerConnection:
        self._opening[workspace] = self._opening.get(workspace, 0) + 1
        hello = self._codec.start(self.entry.group, workspace, self.entry.server_id)
        started_ms = self._clock.now_ms()
        connection = None
        try:
            connection, reply = ServerConnection.open(
                split_address(self.entry.address), self._codec, hello, workspace, self._clock
            )
            self._welcome(connection, reply)
            return connection
        except OpenError as error:
            self._metrics.count("server_connections", result=error.failure.name.lower())
            if error.failure is SessionFailure.BUSY:
                self.rejected()
            if error.failure in (SessionFailure.UNREACHABLE, SessionFailure.WRONG_SERVER):
                refused = error.refused or error.failure is SessionFailure.WRONG_SERVER
                self.health.failed(self._clock.now_ms(), refused)
            raise
        finally:
            self._opening[workspace] -= 1
            if connection is None:
                self.admit_waiters()
            else:
                self._metrics.time("server_connect", "all", self._clock.now_ms() - started_ms)

    def _welcome(self, connection: ServerConnection, reply: ServerReply) -> None:
        connection.on_idle_close = self._lost_idle
        self._busy.add(connection)
        self._metrics.count("server_connections", result="opened")
        self.health.answered(self._clock.now_ms())
        if reply.position is not None:
            self.position = reply.position

    def _lost_idle(self, connection: ServerConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def _wait(self, waiter: Waiter) -> None:
        left_ms = waiter.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise OpenError(SessionFailure.BUSY, "no connection came free in time")
        turn = Event()
        entry = (waiter, turn)
        self._waiters.append(entry)
        with eventlet.Timeout(left_ms / 1_000, False):
            turn.wait()
            self._granted -= 1
            return
        if entry in self._waiters:
            self._waiters.remove(entry)
        else:
            self._granted -= 1
            self.admit_waiters()  # the turn came too late; pass it on
        raise OpenError(SessionFailure.BUSY, "no connection came free in time")

    def release(self, connection: ServerConnection) -> None:
        """Take back a connection that is between statements and outside any transaction."""
        self._busy.discard(connection)
        if not connection.closed:
            kept = self.limit if self._waiters else kept_connections(self.limit)
            if len(self._idle) + self.busy >= kept:
                connection.close()
            else:
                self._idle.append(connection)
        self.admit_waiters()

    def discard(self, connection: ServerConnection) -> None:
        """Close a connection that can't be used again."""
        self._busy.discard(connection)
        connection.close()
        self.admit_waiters()

    def admit_waiters(self) -> None:
        """Let as many waiters try as there is room for."""
        while self._waiters:
            room = min(self.allowed - self.in_flight, self.limit - self.busy)
            if room <= self._granted:
                return
            self._grant()

    def _grant(self) -> None:
        busy: dict[str, int] = {}
        for connection in self._busy:
            busy[connection.workspace] = busy.get(connection.workspace, 0) + 1
        index = next_waiter([waiter for waiter, _ in self._waiters], busy)
        _, turn = self._waiters.pop(index)
        self._granted += 1
        turn.send(None)

    def close_all(self) -> None:
        """End every connection: the server is gone or must get nothing more."""
        busy, self._busy = self._busy, set()
        for connection in [*self._idle, *busy]:
            connection.close()
        self._idle.clear()
        self.admit_waiters()

    def close_idle(self) -> None:
        """End the connections that are not in use."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def oldest_outstanding_ms(self, now_ms: int) -> int:
        """Return for how long the longest-running statement has waited."""
        ages = (now_ms - c.sent_ms for c in self._busy if c.outstanding)
        return max(ages, default=0)
