"""Selects servers for statements and tracks their health and replication positions."""

from dataclasses import replace

import eventlet
from eventlet.event import Event

from figcrank.coordination.admission import Demand
from figcrank.coordination.fleet import FleetView, PrimaryUse
from figcrank.coordination.placement import (
    Candidate,
    ColdServers,
    connection_quota,
    max_retained_connections,
    rank,
)
from figcrank.coordination.sessions import RefusalReason, reason_of_primary
from figcrank.protocol.sessions import (
    ServerCodec,
    SessionFailure,
    StatementReply,
    TransactionState,
)
from figcrank.state._catalog import DatabaseRoute, ReadMode, ServerEntry
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._arrival_order import ArrivalOrder
from figcrank.transport.streams._cold_admission import ColdAdmission
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._evacuation_guard import EvacuationGuard
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._pool import LAGGING_RETRY_MS, ServerPool
from figcrank.transport.streams._primary_monitor import PrimaryMonitor
from figcrank.transport.streams._region_confinement import RegionConfinement
from figcrank.transport.streams._replacement_waits import ReplacementWaits
from figcrank.transport.streams._server_loads import ServerLoads
from figcrank.transport.streams._server_prober import ServerProber
from figcrank.transport.streams._traffic import TrafficMeter

PRIMARY_RECHECK_MS = 100  # a lease can expire and be renewed without an event
UNREGISTERED_GRACE_MS = 2_500  # after a store outage, expired entries return within 2 s
RETRY_AFTER_MS = 1_000  # the store and the primary are both tried once per second
DEFAULT_MAX_CONNECTIONS = 8  # for a group that is not configured yet


class Router:
    """Connection pools to the servers of all groups, and the routing between them.

    :param view: this host's view of the fleet.
    :param codec: server wire format.
    :param clock: this host's clock.
    :param availability_zone: availability zone of this host.
    :param log: event log.
    :param metrics: metrics registry.
    :param cold_overage: factor by which the load of a cold server may exceed what it bears;
        ``None`` if it is not limited.
    :param cold_headroom: statements per second allowed to a cold server besides.
    """

    def __init__(
        self,
        view: FleetView,
        codec: ServerCodec,
        clock: Clock,
        availability_zone: str,
        log: EventLog,
        metrics: Metrics,
        cold_overage: float | None = None,
        cold_headroom: float = 0.0,
    ) -> None:
        self.view = view
        self.codec = codec
        self._clock = clock
        self._zone = availability_zone
        self._log = log
        self._metrics = metrics
        self.traffic = TrafficMeter(view.regions, metrics)
        self._pools: dict[str, ServerPool] = {}
        # By group, when a read last lacked a position that replicas must have reached.
        self.position_lacking_ms: dict[str, int] = {}
        self.confinement = RegionConfinement(view)
        self.loads = ServerLoads(view, clock, log)
        cold_servers = ColdServers(view.host, cold_overage, cold_headroom)
        self.cold = ColdAdmission(cold_servers, view, clock, log, metrics)
        self._prober = ServerProber(view, codec, clock, log, self.traffic)
        self._primaries = PrimaryMonitor(view, self._pools, log)
        self._changed = Event()
        self.guard = EvacuationGuard(view, clock, log)
        self._primary_arrivals: dict[str, ArrivalOrder] = {}  # by group
        self._replacement_waits = ReplacementWaits(view)

    def workspace_priority(self, workspace: str) -> int:
        """Return the priority of a workspace, 0 is served first."""
        catalog = self.view.catalog
        return catalog.workspace_priorities.get(workspace, 0) if catalog else 0

    @property
    def transaction_idle_ms(self) -> int:
        """Return the idle time after which a transaction is ended."""
        return self.view.catalog.transaction_idle_ms

    def pool(self, server_id: str) -> ServerPool | None:
        """Return the pool of a server, ``None`` if it is not registered."""
        pool = self._pools.get(server_id)
        entry = self.view.registry.servers.get(server_id) or self._unregistered_primary(server_id)
        if entry is None:
            return pool
        if pool is not None and pool.entry.address != entry.address:
            pool.close_all()
            pool = None
        if pool is not None and not entry.availability_zone:
            # The record of primaries has no zone; an evacuation of the last known one still holds.
            entry = replace(entry, availability_zone=pool.entry.availability_zone)
        if pool is None:
            pool = ServerPool(
                entry, self.codec, self._clock, self._metrics, self._log, self.traffic
            )
            self._set_limit(pool)
            self.loads.limit(pool)
            self._pools[server_id] = pool
            pool.may_send = lambda: self.may_send_to(pool.entry)
        pool.entry = entry
        return pool

    def _unregistered_primary(self, server_id: str) -> ServerEntry | None:
        """Return an entry for a server that a primary record names but that isn't registered."""
        for group, record in self.view.primary_table.all().items():
            if record.server_id == server_id and record.address:
                return ServerEntry(server_id, group, record.address, "", 1, False, True)
        return None

    def may_send_to(self, entry: ServerEntry) -> bool:
        """Return whether a message may be sent to a server now, by the evacuations in force."""
        return self.guard.may_send_to(entry)

    def is_evacuated(self, entry: ServerEntry) -> bool:
        """Return whether a server receives nothing any more, as its zone is evacuated."""
        return self.guard.is_closed(entry)

    def await_evacuations(self) -> None:
        """Wait after a suspension until this host knows which zones were evacuated meanwhile."""
        self.guard.await_list()

    def pools(self) -> list[ServerPool]:
        """Return every pool."""
        return list(self._pools.values())

    def _set_limit(self, pool: ServerPool) -> None:
        catalog = self.view.catalog
        policy = catalog.groups.get(pool.entry.group) if catalog else None
        max_connections = policy.max_connections if policy else DEFAULT_MAX_CONNECTIONS
        limits = self.view.ownership.connection_limits(
            pool.entry.group, max_connections, self._clock.now_ms()
        )
        if limits is None:
            pool.limit = connection_quota(max_connections, self.view.host_count())
            pool.max_retained = max_retained_connections(pool.limit)
        else:
            pool.limit, pool.max_retained = limits
            pool.close_excess_idle()

    def notify_primary_change(self) -> None:
        """Wake all waiters for a change of a primary."""
        self._primaries.release_replaced()
        changed, self._changed = self._changed, Event()
        changed.send(None)

    def await_primary(self, group: str, deadline_ms: int, arrived_ms: int) -> ServerPool:
        """Return the primary's pool once the primary is usable.

        Statements that have to wait go on in the order of their arrival.

        :param arrived_ms: time at which the statement's operation arrived.
        :raises OpenError: if the primary is not usable by the deadline, or is cold and this host
            has sent it what it may.
        """
        order = self._primary_arrivals.setdefault(group, ArrivalOrder())
        arrival = None
        try:
            while True:
                pool = self._usable_primary(group, deadline_ms)
                if pool is not None and order.first() is arrival:
                    return pool
                if arrival is None:
                    arrival = order.join(arrived_ms)
                wait_ms = min(deadline_ms - self._clock.now_ms(), PRIMARY_RECHECK_MS)
                if wait_ms <= 0:
                    detail = "the primary did not become usable in time"
                    # The new primary serves those that waited for it one after the other.
                    reason = RefusalReason.PRIMARY_MOVING
                    raise OpenError(SessionFailure.BUSY, detail, reason=reason)
                if order.first() is not arrival:
                    arrival.wait_for_turn(wait_ms)
                elif pool is None:
                    self.wait_for_primary_change(wait_ms)
        finally:
            if arrival is not None:
                order.leave(arrival)

    def awaiting_primary(self, group: str) -> int:
        """Return how many statements wait until a group's primary is usable."""
        order = self._primary_arrivals.get(group)
        return order.waiting if order else 0

    def _usable_primary(self, group: str, deadline_ms: int) -> ServerPool | None:
        """Return the primary's pool if the primary is usable.

        :raises OpenError: if there is no use in waiting for it.
        """
        now_ms = self._clock.now_ms()
        self.guard.require_open_primary(group, self.entries_of(group))
        use = self.view.primary_use(group, now_ms)
        if use is PrimaryUse.USABLE:
            pool = self.pool(self.view.primary_table.get(group).server_id)
            if pool is not None and pool.health.usable(now_ms):
                self.cold.check(pool)
                return pool
        if use is PrimaryUse.MOVING:
            self._replacement_waits.require_useful(group, deadline_ms, now_ms)
        if use is PrimaryUse.NO_LEASE and self.view.lease_renewal_timed_out(now_ms):
            lost_ms = self.view.lease_lost_ms(now_ms)
            detail = f"this host has reached neither a majority nor the store for {lost_ms} ms"
            raise OpenError(SessionFailure.BUSY, detail, reason=RefusalReason.NO_LEASE)
        if self.view.primary_is_irreplaceable(group, now_ms):
            detail = "the primary does not answer and can't be replaced without the store"
            detail = f"{detail}; retry after {RETRY_AFTER_MS} ms"
            raise OpenError(SessionFailure.BUSY, detail, reason=RefusalReason.PRIMARY_FAILED)
        if deadline_ms <= now_ms:
            detail = f"the primary is {use.name.lower()}"
            raise OpenError(SessionFailure.BUSY, detail, reason=reason_of_primary(use))
        return None

    def may_run(self, pool: ServerPool, route: DatabaseRoute, workspace: str) -> bool:
        """Return whether a server is in a region where a workspace's statements may run now."""
        return self.confinement.may_run(pool.entry, route, workspace)

    def awaits_position(self, route: DatabaseRoute, workspace: str) -> bool:
        """Return whether a read could run in its regions once the primary's position is known."""
        allowed = self.confinement.allowed(route, workspace)
        entries = self.entries_of(route.group)
        return self.confinement.needs_position(route, allowed, entries, self._clock.now_ms())

    def require_allowed_primary(self, route: DatabaseRoute, workspace: str) -> None:
        """Reject what needs a primary if no server of an allowed region can be the one.

        :raises OpenError: if that is so.
        """
        self.confinement.require_primary(route, workspace, self.entries_of(route.group))

    def wait_for_primary_change(self, wait_ms: float) -> None:
        """Wait at most ``wait_ms`` for a change of any primary."""
        changed = self._changed
        with eventlet.Timeout(wait_ms / 1_000, False):
            changed.wait()

    def is_primary(self, pool: ServerPool) -> bool:
        """Return whether the pool's server is recorded as the primary of its group."""
        record = self.view.primary_table.get(pool.entry.group)
        return record is not None and record.server_id == pool.entry.server_id

    def primary_usable(self, group: str) -> bool:
        """Return whether statements may be sent to the group's primary now."""
        return self.view.primary_use(group, self._clock.now_ms()) is PrimaryUse.USABLE

    def has_lease(self) -> bool:
        """Return whether the primary records were confirmed recently enough to use primaries."""
        return self.view.has_lease(self._clock.now_ms())

    def read_pools(
        self, route: DatabaseRoute, last_commit: Position | None, demand: Demand, tried: set[str]
    ) -> list[tuple[ServerPool, Position | None]]:
        """Return the servers that may run a read, best first, with the minimum position for each.

        :param last_commit: position of the session's last commit in this group.
        :param demand: what the read asks for.
        :param tried: servers to skip because this read failed there.
        """
        now_ms = self._clock.now_ms()
        pools: dict[str, tuple[ServerPool, Position | None]] = {}
        candidates = []
        allowed = self.confinement.allowed(route, demand.workspace)
        entries = self.entries_of(route.group)
        min_position = self._min_read_position(route, last_commit, now_ms)
        usable = self.view.primary_use(route.group, now_ms) is PrimaryUse.USABLE
        if min_position is None and route.mode is not ReadMode.PRIMARY:
            self.position_lacking_ms[route.group] = now_ms
            if self.confinement.needs_position(route, allowed, entries, now_ms):
                self.confinement.lacking_ms[route.group] = now_ms
        for entry in entries:
            pool = self.pool(entry.server_id)
            if entry.server_id in tried or not pool.health.usable(now_ms):
                continue
            if not allowed.permits_server(pool.entry.availability_zone):
                continue
            if self.guard.is_closed(entry) or self.cold.is_exhausted(pool):
                continue
            at_primary = self.is_primary(pool)
            if at_primary and not usable:
                continue
            if not at_primary and (min_position is None or entry.draining):
                continue
            if not at_primary and self._lags(pool, min_position, now_ms):
                continue
            pools[entry.server_id] = (pool, None if at_primary else min_position)
            candidates.append(self._candidate(pool, at_primary, demand))
        ranked = self.loads.order(rank(candidates))
        return self.guard.prefer_open([pools[found.server_id] for found in ranked])

    def must_leave(
        self,
        pool: ServerPool,
        route: DatabaseRoute,
        last_commit: Position | None,
        demand: Demand,
        tried: set[str],
    ) -> bool:
        """Return whether a read goes elsewhere, as the zone was evacuated while it waited."""
        if self.guard.is_open(pool.entry):
            return False
        preferred = self.read_pools(route, last_commit, demand, tried)
        return bool(preferred) and all(other is not pool for other, _ in preferred)

    def entries_of(self, group: str) -> list[ServerEntry]:
        """Return the servers of a group, including those with an expired registration."""
        known = {entry.server_id: entry for entry in self.view.registry.of_group(group)}
        for pool in self.pools():
            if pool.entry.group == group:
                known.setdefault(pool.entry.server_id, pool.entry)
        record = self.view.primary_table.get(group)
        if record is not None and record.server_id not in known:
            unregistered = self._unregistered_primary(record.server_id)
            known.update({record.server_id: unregistered} if unregistered else {})
        return list(known.values())

    def _min_read_position(
        self, route: DatabaseRoute, last_commit: Position | None, now_ms: int
    ) -> Position | None:
        if route.mode is ReadMode.PRIMARY:
            return None
        required = self.view.position_history(route.group).required_position(
            now_ms, route.max_staleness_ms
        )
        if required is None or last_commit is None or route.mode is ReadMode.BOUNDED:
            return required
        return max(required, last_commit)

    @staticmethod
    def _lags(pool: ServerPool, min_position: Position | None, now_ms: int) -> bool:
        if now_ms >= pool.lagging_until_ms:
            return False
        return pool.position is None or min_position is None or pool.position < min_position

    def _candidate(self, pool: ServerPool, at_primary: bool, demand: Demand) -> Candidate:
        entry = pool.entry
        return Candidate(
            entry.server_id,
            self.loads.latency_ms(pool),
            pool.busy,
            pool.expected_wait_ms(demand),
            entry.slots,
            entry.availability_zone == self._zone,
            pool.has_idle(demand.workspace),
            self.loads.failed_share(pool),
            at_primary,
            self.cold.ranks_lower(pool),
            not self.view.regions.crosses(entry.availability_zone),
        )

    def admit_to_cold(self, pool: ServerPool) -> bool:
        """Return whether a statement may be sent to a server; count it if the server is cold."""
        return self.cold.admit(pool)

    def record_at_cold(self, pool: ServerPool) -> None:
        """Count a statement of an open transaction if the server is cold."""
        self.cold.record(pool)

    def observe_reply(
        self, pool: ServerPool, sent_ms: int, reply: StatementReply, measured: bool = True
    ) -> None:
        """Update a server's health and position from a reply.

        :param sent_ms: time at which the statement was sent.
        :param measured: whether the latency reflects the server's load.
        """
        now_ms = self._clock.now_ms()
        succeeded = reply.failure is None
        pool.health.record_answer(now_ms, now_ms - sent_ms if measured and succeeded else None)
        if measured and succeeded:
            pool.meter.record_reply(now_ms - sent_ms)
        if succeeded or reply.failure is SessionFailure.FAILED:
            pool.health.record_statement(succeeded)
        if reply.failure is SessionFailure.BUSY:
            pool.record_rejection()
        if reply.failure is SessionFailure.LAGGING:
            pool.lagging_until_ms = now_ms + LAGGING_RETRY_MS
        if reply.state is TransactionState.OPEN:
            pool.admit_waiters()  # the transaction occupies no slot until its next statement
        if reply.position is None:
            return
        pool.position = reply.position
        self.observe_position(pool, sent_ms, reply.position)

    def observe_position(self, pool: ServerPool, sent_ms: int, position: Position) -> None:
        """Record the position that a server reported, if it is the primary.

        :param sent_ms: time at which it was asked.
        """
        group = pool.entry.group
        record = self.view.primary_table.get(group)
        if record is None or record.moving or record.server_id != pool.entry.server_id:
            return
        if not record.term:
            self.view.primary_table.set_initial_term(group, record.server_id, position.term)
            record = self.view.primary_table.get(group)
        if record.term == position.term:
            self.view.position_history(group).observe(sent_ms, position)

    def discard_failed_connection(self, pool: ServerPool, connection: ServerConnection) -> None:
        """Discard a connection that broke or timed out during a statement; count the failure."""
        if not self.guard.is_closed(pool.entry):  # else this host has closed it
            pool.health.record_failure(self._clock.now_ms())
            pool.health.record_statement(False)
        pool.discard(connection)

    def tick(self) -> None:
        """Update the pools from the registry, probe suspect servers and close drained primaries."""
        now_ms = self._clock.now_ms()
        for record in self.view.primary_table.all().values():
            # Creates the pool, so that hosts without traffic to the primary probe it too.
            self.pool(record.server_id)
        self._primaries.release_replaced()
        self.loads.tick(self.pools())
        self.cold.tick()
        for pool in self.pools():
            self._set_limit(pool)
            pool.tick()
            self._check_registration(pool, now_ms)
            self._prober.probe_if_suspect(pool, now_ms)
        self._primaries.close_drained(now_ms)
        self.guard.update(self.pools())
        self._primaries.publish(now_ms)
        self._replacement_waits.tick(now_ms)
        for group in self.view.primary_failures:
            self.view.observe_failing_primary(group, now_ms)

    def probe_server(self, pool: ServerPool) -> None:
        """Probe a server by opening and closing a separate connection."""
        self._prober.probe(pool)

    def _check_registration(self, pool: ServerPool, now_ms: int) -> None:
        entry = self.view.registry.servers.get(pool.entry.server_id)
        if entry is not None:
            pool.missing_since_ms = None
            if entry.draining and not self.is_primary(pool):
                pool.close_idle()
            return
        if pool.missing_since_ms is None:
            pool.missing_since_ms = now_ms
        missing_since_ms = max(pool.missing_since_ms, self.view.registry_era_ms)
        if now_ms - missing_since_ms >= UNREGISTERED_GRACE_MS and not self.is_primary(pool):
            self._log.event("server_gone", server=pool.entry.server_id, group=pool.entry.group)
            pool.close_all()
            del self._pools[pool.entry.server_id]
