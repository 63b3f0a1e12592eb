"""Connection pool to one backend server."""

import itertools
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from figcrank.coordination.placement import (
    ConcurrencyLimit,
    ServerHealth,
    Waiter,
    max_retained_connections,
    next_waiter,
)
from figcrank.protocol.sessions import (
    ServerCodec,
    SessionFailure,
    StatementReply,
    TransactionState,
)
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._metrics import Metrics

LAGGING_RETRY_MS = 60  # about one replication delay; a lagging replica is skipped for this long


def _always() -> bool:
    return True


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into ``(ip, port)``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


class ServerPool:
    """Connections to one server, each bound to a workspace, up to this host's connection quota.

    :param entry: registration of the server.
    :param codec: server wire format.
    :param clock: this host's clock.
    :param metrics: metrics registry.
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
        self.probe_running = False
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._idle: list[ServerConnection] = []
        self._busy: set[ServerConnection] = set()
        self._opening: dict[str, int] = {}
        self._waiters: list[tuple[Waiter, Event]] = []
        self._sequence = itertools.count()
        self._admitted = 0  # waiters that were admitted and have not resumed yet
        self._concurrency = ConcurrencyLimit()
        self.may_send: Callable[[], bool] = _always

    @property
    def busy(self) -> int:
        """Return the number of connections in use or being opened."""
        return len(self._busy) + sum(self._opening.values())

    @property
    def in_flight(self) -> int:
        """Return how many connections run a statement or are being opened.

        A transaction that is idle between two statements is not counted: it holds a connection,
        but no slot of the server.
        """
        idle_state = TransactionState.IDLE
        working = sum(1 for c in self._busy if c.outstanding or c.state is idle_state)
        return working + sum(self._opening.values())

    @property
    def max_in_flight(self) -> int:
        """Return the current limit for :attr:`in_flight`."""
        return self._concurrency.max_in_flight(self.limit, self._clock.now_ms())

    def record_rejection(self) -> None:
        """Record a statement or connection that the server rejected because its queue was full."""
        self._concurrency.record_rejection(self.in_flight, self._clock.now_ms())
        self._metrics.count("server_rejections", server=self.entry.server_id)

    @property
    def waiting(self) -> int:
        """Return the number of statements waiting for a connection."""
        return len(self._waiters)

    @property
    def is_unused(self) -> bool:
        """Return whether no connection is in use or being opened."""
        return not self._busy and not any(self._opening.values())

    @property
    def connection_count(self) -> int:
        """Return the number of connections, including those that are being opened."""
        return len(self._idle) + self.busy

    def has_idle(self, workspace: str) -> bool:
        """Return whether a workspace has an idle connection."""
        return any(connection.workspace == workspace for connection in self._idle)

    def acquire(
        self, workspace: str, priority: int, variables: dict[str, str], deadline_ms: int
    ) -> ServerConnection:
        """Return a connection of a workspace, waiting for one until the deadline.

        :param variables: session variables; a connection with the same ones is preferred.
        :raises OpenError: if none is available by the deadline or opening one fails.
        """
        waiter = Waiter(workspace, priority, deadline_ms, next(self._sequence))
        while True:
            if self.in_flight < self.max_in_flight:
                connection = self._take_idle(workspace, variables)
                if connection is not None:
                    return connection
                if self._has_room():
                    return self._open(workspace)
            self._wait(waiter)

    def _take_idle(self, workspace: str, variables: dict[str, str]) -> ServerConnection | None:
        best = None
        for connection in self._idle:
            if connection.workspace != workspace:
                continue
            if connection.variables == variables:
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
        self._idle.pop(0).close()  # least recently used
        return True

    def _open(self, workspace: str) -> ServerConnection:
        self._require_open_zone()
        self._opening[workspace] = self._opening.get(workspace, 0) + 1
        start_message = self._codec.start(self.entry.group, workspace, self.entry.server_id)
        started_ms = self._clock.now_ms()
        connection = None
        try:
            connection, reply = ServerConnection.open(
                split_address(self.entry.address),
                self._codec.decoder(),
                start_message,
                workspace,
                self._clock,
                lambda: self.may_send(),
            )
            self._add_opened(connection, reply)
            return connection
        except OpenError as error:
            self._metrics.count("server_connections", result=error.failure.name.lower())
            if error.failure is SessionFailure.BUSY:
                self.record_rejection()
            if error.failure in (SessionFailure.UNREACHABLE, SessionFailure.WRONG_SERVER):
                refused = error.refused or error.failure is SessionFailure.WRONG_SERVER
                self.health.record_failure(self._clock.now_ms(), refused)
            raise
        finally:
            self._opening[workspace] -= 1
            if connection is None:
                self.admit_waiters()
            else:
                self._metrics.observe_latency(
                    "server_connect", "all", self._clock.now_ms() - started_ms
                )

    def _require_open_zone(self) -> None:
        """Reject the caller, and then the next waiter, if nothing may be sent to the server.

        :raises OpenError: if nothing may be sent.
        """
        if self.may_send():
            return
        self.admit_waiters()
        raise OpenError(SessionFailure.BUSY, "nothing may be sent to the server now")

    def _add_opened(self, connection: ServerConnection, reply: StatementReply) -> None:
        connection.on_idle_close = self._remove_idle
        self._busy.add(connection)
        self._metrics.count("server_connections", result="opened")
        self.health.record_answer(self._clock.now_ms())
        if reply.position is not None:
            self.position = reply.position

    def _remove_idle(self, connection: ServerConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def _wait(self, waiter: Waiter) -> None:
        left_ms = waiter.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise OpenError(SessionFailure.BUSY, "no connection became available in time")
        admitted = Event()
        queue_item = (waiter, admitted)
        self._waiters.append(queue_item)
        with eventlet.Timeout(left_ms / 1_000, False):
            admitted.wait()
            self._admitted -= 1
            return
        if queue_item in self._waiters:
            self._waiters.remove(queue_item)
        else:
            self._admitted -= 1
            self.admit_waiters()  # admitted too late; admit the next waiter
        raise OpenError(SessionFailure.BUSY, "no connection became available in time")

    def release(self, connection: ServerConnection) -> None:
        """Return a connection that has no open statement or transaction to the pool."""
        self._busy.discard(connection)
        if not connection.closed:
            max_connections = self.limit if self._waiters else max_retained_connections(self.limit)
            if len(self._idle) + self.busy >= max_connections:
                connection.close()
            else:
                self._idle.append(connection)
        self.admit_waiters()

    def discard(self, connection: ServerConnection) -> None:
        """Close a connection that can't be reused."""
        self._busy.discard(connection)
        connection.close()
        self.admit_waiters()

    def admit_waiters(self) -> None:
        """Admit as many waiters as there is capacity for."""
        while self._waiters:
            room = min(self.max_in_flight - self.in_flight, self.limit - self.busy)
            if room <= self._admitted:
                return
            self._admit_next()

    def _admit_next(self) -> None:
        busy: dict[str, int] = {}
        for connection in self._busy:
            busy[connection.workspace] = busy.get(connection.workspace, 0) + 1
        index = next_waiter([waiter for waiter, _ in self._waiters], busy)
        _, admitted = self._waiters.pop(index)
        self._admitted += 1
        admitted.send(None)

    def close_all(self) -> None:
        """Close every connection because the server is gone or must receive no more statements."""
        busy, self._busy = self._busy, set()
        for connection in [*self._idle, *busy]:
            connection.close()
        self._idle.clear()
        self.admit_waiters()

    def reset_all(self) -> None:
        """Reset every connection, so that nothing that is not delivered yet reaches the server."""
        for connection in [*self._idle, *self._busy]:
            connection.reset()
        self.close_all()

    def close_idle(self) -> None:
        """Close the connections that are not in use."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def oldest_outstanding_ms(self, now_ms: int) -> int:
        """Return the age of the oldest unanswered statement, 0 if there is none."""
        ages = (now_ms - c.sent_ms for c in self._busy if c.outstanding)
        return max(ages, default=0)
