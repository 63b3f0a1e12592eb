"""Connection pool to one backend server."""

from collections.abc import Callable

from figcrank.coordination.admission import Demand, ServiceUse, Stage, Ticket
from figcrank.coordination.placement import (
    ConcurrencyLimit,
    ConnectionBackoff,
    LoadMeter,
    ServerHealth,
    SlotAllotment,
    UseTable,
)
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.sessions import (
    ServerCodec,
    SessionFailure,
    StatementReply,
    TransactionState,
)
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._admission_gate import AdmissionGate
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._traffic import MessageKind, TrafficMeter, uncounted

# To prepare a connection that was acquired right before the deadline, as hedged reads acquire them.
MIN_USE_MS = 1_000
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
    :param log: event log, ``None`` to log nothing.
    :param traffic: counts the bytes exchanged with the server.
    """

    def __init__(
        self,
        entry: ServerEntry,
        codec: ServerCodec,
        clock: Clock,
        metrics: Metrics,
        log: EventLog | None = None,
        traffic: TrafficMeter | None = None,
    ) -> None:
        self.entry = entry
        self.health = ServerHealth()
        self.quota = 1  # connections that this host may hold
        self._limited = ConnectionBackoff()
        self.max_retained = 1  # connections above which idle ones are closed
        self.position: Position | None = None
        self.lagging_until_ms = 0
        self.missing_since_ms: int | None = None
        self.probe_running = False
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._traffic = traffic or uncounted()
        self._idle: list[ServerConnection] = []
        self._opening: dict[str, int] = {}
        self._log = log
        self._gate = AdmissionGate(clock, metrics, log)
        self._uses: UseTable[ServerConnection] = UseTable()
        self._concurrency = ConcurrencyLimit()
        self.meter = LoadMeter(clock.now_ms())
        self.allotment: SlotAllotment | None = None  # in fleets with relays
        self.may_send: Callable[[], bool] = _always

    @property
    def limit(self) -> int:
        """Return the number of connections that this host may hold now."""
        return self._limited.max_connections(self.quota, self._clock.now_ms())

    @limit.setter
    def limit(self, quota: int) -> None:
        self.quota = quota

    @property
    def busy(self) -> int:
        """Return the number of connections in use or being opened."""
        return len(self._uses) + sum(self._opening.values())

    @property
    def in_flight(self) -> int:
        """Return how many connections run a statement or are being opened.

        A transaction that is idle between two statements is not counted: it holds a connection,
        but no slot of the server.
        """
        idle_state = TransactionState.IDLE
        working = sum(1 for c in self._uses if c.outstanding or c.state is idle_state)
        return working + sum(self._opening.values())

    @property
    def max_in_flight(self) -> int:
        """Return the current limit for :attr:`in_flight`."""
        limit = self._concurrency.max_in_flight(self.limit, self._clock.now_ms())
        return min(limit, self.max_allotted)

    @property
    def max_allotted(self) -> int:
        """Return this host's allotment of what all owners may have in flight at the server."""
        if self.allotment is None:
            return self.limit
        return self.allotment.max_in_flight(self._clock.now_ms())

    def record_rejection(self) -> None:
        """Record a statement or connection that the server rejected because its queue was full."""
        self._concurrency.record_rejection(self.in_flight, self._clock.now_ms())
        self.meter.record_rejection()
        self._metrics.count("server_rejections", server=self.entry.server_id)

    @property
    def waiting(self) -> int:
        """Return the number of statements waiting for a connection."""
        return self._gate.waiting

    def waiting_by_priority(self) -> dict[int, int]:
        """Return the number of waiting statements by the priority of their route."""
        return self._gate.waiting_by_priority()

    @property
    def waiting_tickets(self) -> list[Ticket]:
        """Return the waiting statements, in no particular order."""
        return self._gate.waiting_tickets

    @property
    def service_use(self) -> ServiceUse:
        """Return what statements used at the server in the last seconds."""
        return self._gate.service_use

    def expected_wait_ms(self, demand: Demand) -> float:
        """Return the expected time until a statement begins, 0 if it finds a free slot."""
        if not self.waiting and self._room() > 0:
            return 0.0
        return self._gate.expected_wait_ms(demand, self._slots())

    def _slots(self) -> int:
        return max(1, min(self.max_in_flight, self.limit))

    def _room(self) -> int:
        """Return how many statements may begin now, beside those that are admitted already."""
        room = min(self.max_in_flight - self.in_flight, self.limit - self.busy)
        return room - self._gate.admitted

    @property
    def is_unused(self) -> bool:
        """Return whether no connection is in use or being opened."""
        return not self._uses and not any(self._opening.values())

    @property
    def connection_count(self) -> int:
        """Return the number of connections, including those that are being opened."""
        return len(self._idle) + self.busy

    def has_idle(self, workspace: str) -> bool:
        """Return whether a workspace has an idle connection."""
        return any(connection.workspace == workspace for connection in self._idle)

    def acquire(self, demand: Demand, variables: dict[str, str]) -> ServerConnection:
        """Return a connection of a workspace, waiting for a free slot if there is none.

        :param variables: session variables; a connection with the same ones is preferred.
        :raises AdmissionError: if the statement can't end before its deadline.
        :raises OpenError: if opening a connection fails or the server became unusable.
        """
        workspace = demand.workspace
        if self.waiting:
            self.admit_waiters()  # leaves no room if statements still wait
        if self._room() <= 0:
            self._await_slot(demand)
        connection = self._take_idle(workspace, variables)
        if connection is not None:
            self._begin_use(connection, demand)
            return connection
        self._make_room()
        return self._open(demand)

    def _await_slot(self, demand: Demand) -> None:
        started_ms = self._clock.now_ms()
        connects = not self.has_idle(demand.workspace)
        try:
            ticket = self._gate.wait(demand, self.entry, self._slots(), connects)
            while self.busy >= self.limit:  # the limit fell after the statement was admitted
                self._gate.wait_again(ticket, self.entry)
        finally:
            demand.stages.add(Stage.SLOT, self._clock.now_ms() - started_ms)

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
        return best

    def _begin_use(self, connection: ServerConnection, demand: Demand) -> None:
        now_ms = self._clock.now_ms()
        ends_ms = max(demand.deadline_ms, now_ms + MIN_USE_MS)
        self._uses.begin(connection, demand.kind, now_ms, ends_ms)

    def extend_use(self, connection: ServerConnection, ends_ms: int) -> None:
        """Set the time until which an operation may keep a connection that it has acquired."""
        self._uses.extend(connection, ends_ms)

    def _make_room(self) -> None:
        """Close the least recently used idle connection if the limit is reached."""
        if self._idle and len(self._idle) + self.busy >= self.limit:
            self._idle.pop(0).close()

    def _open(self, demand: Demand) -> ServerConnection:
        self._require_open_zone()
        workspace = demand.workspace
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
                self._traffic.channel(MessageKind.STATEMENT, self.entry.availability_zone),
            )
            self._add_opened(connection, reply)
            self._begin_use(connection, demand)
            return connection
        except OpenError as error:
            self._metrics.count("server_connections", result=error.failure.name.lower())
            if error.failure is SessionFailure.BUSY:
                self.record_rejection()
            if error.failure is SessionFailure.CONNECTION_LIMIT:
                self._limited.record(self.connection_count - 1, self._clock.now_ms())
            if error.failure in (SessionFailure.UNREACHABLE, SessionFailure.WRONG_SERVER):
                refused = error.refused or error.failure is SessionFailure.WRONG_SERVER
                self.health.record_failure(self._clock.now_ms(), refused)
                self.send_waiters_elsewhere("the server can't be reached")
            raise
        finally:
            self._opening[workspace] -= 1
            took_ms = self._clock.now_ms() - started_ms
            demand.stages.add(Stage.CONNECT, took_ms)
            if connection is None:
                self.admit_waiters()
            else:
                self._metrics.observe_latency("server_connect", "all", took_ms)

    def _require_open_zone(self) -> None:
        """Reject the caller, and then the next waiter, if nothing may be sent to the server.

        :raises OpenError: if nothing may be sent.
        """
        if self.may_send():
            return
        self.admit_waiters()
        detail = "nothing may be sent to the server now"
        raise OpenError(SessionFailure.BUSY, detail, reason=RefusalReason.EVACUATED)

    def _add_opened(self, connection: ServerConnection, reply: StatementReply) -> None:
        connection.on_idle_close = self._remove_idle
        self._metrics.count("server_connections", result="opened")
        self.health.record_answer(self._clock.now_ms())
        if reply.position is not None:
            self.position = reply.position

    def _remove_idle(self, connection: ServerConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def record_service(self, connection: ServerConnection, took_ms: int) -> None:
        """Add the time of a statement that ran to the service time of its operation."""
        self._uses.record_service(connection, took_ms)
        self._gate.service_use.record(connection.workspace, took_ms, self._clock.now_ms())

    def _end_use(self, connection: ServerConnection) -> None:
        use = self._uses.end(connection)
        if use is not None and use.service_ms is not None:
            self._gate.service_times.record(use.kind, use.service_ms)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection that has no open statement or transaction to the pool."""
        self._end_use(connection)
        if not connection.closed:
            max_connections = self.limit if self.waiting else self.max_retained
            if len(self._idle) + self.busy >= max_connections:
                connection.close()
            else:
                self._idle.append(connection)
        self.admit_waiters()

    def discard(self, connection: ServerConnection) -> None:
        """Close a connection that can't be reused."""
        self._end_use(connection)
        connection.close()
        self.admit_waiters()

    def admit_waiters(self) -> None:
        """Admit as many waiting statements as there is capacity for."""
        while self.waiting and self._room() > 0:
            connected_workspaces = {connection.workspace for connection in self._idle}
            self._gate.admit_next(self.entry, self._slots(), connected_workspaces)

    def tick(self) -> None:
        """Admit what has capacity, and reject what waits and can't end in time any more."""
        self._take_back_overdue()
        self.admit_waiters()
        self._gate.tick(self.entry)

    def _take_back_overdue(self) -> None:
        """Close the connections whose operations should have ended, whatever the server does."""
        now_ms = self._clock.now_ms()
        for connection, use in self._uses.overdue(now_ms):
            if connection.has_unread():
                continue  # a reply that is delivered next; this host was suspended or busy
            self._metrics.count("uses_overdue", server=self.entry.server_id)
            if self._log is not None:
                self._log.event(
                    "use_overdue",
                    server=self.entry.server_id,
                    group=self.entry.group,
                    workspace=connection.workspace,
                    kind=use.kind,
                    used_ms=now_ms - use.began_ms,
                    overdue_ms=now_ms - use.ends_ms,
                    unanswered_ms=now_ms - connection.sent_ms if connection.outstanding else None,
                )
            self.discard(connection)

    def send_waiters_elsewhere(self, detail: str) -> None:
        """Make all waiting statements look for a server anew.

        :param detail: why this server can't run them.
        """
        self._gate.send_elsewhere(detail)

    def close_all(self) -> None:
        """Close every connection because the server is gone or must receive no more statements."""
        self.send_waiters_elsewhere("the server is not in use any more")
        busy, self._uses = list(self._uses), UseTable()
        for connection in [*self._idle, *busy]:
            connection.close()
        self._idle.clear()

    def close_excess_idle(self) -> None:
        """Close idle connections beyond a limit that was lowered; other owners may use them now."""
        while self._idle and len(self._idle) + self.busy > self.limit:
            self._idle.pop(0).close()

    def reset_all(self) -> None:
        """Reset every connection, so that nothing that is not delivered yet reaches the server."""
        for connection in [*self._idle, *self._uses]:
            connection.reset()
        self.close_all()

    def close_idle(self) -> None:
        """Close the connections that are not in use."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def oldest_outstanding_ms(self, now_ms: int) -> int:
        """Return the age of the oldest unanswered statement, 0 if there is none."""
        ages = (now_ms - c.sent_ms for c in self._uses if c.outstanding)
        return max(ages, default=0)
