"""Exchange of the owners' loads on servers, and the allotments that follow from them."""

import random
from collections.abc import Iterable

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.placement import (
    Candidate,
    OwnerReport,
    SharedLatency,
    SlotAllotment,
    choose_between_best,
    remaining_share,
)
from figcrank.protocol.heartbeats import NEVER_MS, ServerLoad
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._pool import ServerPool

INTERVAL_MS = 90  # ticks come every 100 ms, and besides when a primary or the registry changes
RECENT_MS = 1_200  # as long as a silent owner's share is kept


class ServerLoads:
    """Loads of this host and of its peers on the servers, in a fleet with relays.

    In a fleet without relays nothing is reported or limited.

    :param view: this host's view of the fleet; gets this host's loads.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(self, view: FleetView, clock: Clock, log: EventLog) -> None:
        self._view = view
        self._clock = clock
        self._log = log
        self._ticked_ms = NEVER_MS
        self._latencies: dict[str, SharedLatency] = {}
        self._slots: dict[str, int] = {}  # as last registered

    def tick(self, pools: Iterable[ServerPool]) -> None:
        """Publish this host's loads and update the allotments; called every 100 ms or sooner."""
        now_ms = self._clock.now_ms()
        too_early = self._ticked_ms != NEVER_MS and now_ms - self._ticked_ms < INTERVAL_MS
        if too_early:
            return
        self._ticked_ms = now_ms
        if not self._view.ownership.has_relays(now_ms):
            self._clear(pools)
            return
        loads = {}
        latencies, self._latencies = self._latencies, {}
        registered = self._view.registry.servers
        pools = list(pools)
        kept = {pool.entry.server_id for pool in pools} & self._slots.keys()
        self._slots = {name: self._slots[name] for name in kept}
        self._slots.update({name: entry.slots for name, entry in registered.items()})
        near = self._owners_of_region()
        for pool in pools:
            load = pool.meter.sample(pool.in_flight, pool.waiting, now_ms)
            if load is not None:
                loads[pool.entry.server_id] = load
            server_id = pool.entry.server_id
            reports = self.reports(server_id, pool.entry.group, load or ServerLoad(), now_ms)
            self._allot(pool, reports, now_ms)
            latency = self._latencies[server_id] = latencies.get(server_id) or SharedLatency()
            # What an owner measures includes the distance, so that only near owners' figures apply.
            recent = [
                report.load
                for name, report in reports.items()
                if report.load and report.age_ms <= RECENT_MS and name in near
            ]
            latency.update(recent, now_ms)
        self._view.server_loads = loads

    def _owners_of_region(self) -> set[str]:
        peers = self._view.peers.all()
        near = {p.name for p in peers if not self._view.regions.crosses(p.availability_zone)}
        return {self._view.host, *near}

    def _clear(self, pools: Iterable[ServerPool]) -> None:
        self._view.server_loads = {}
        self._latencies = {}
        for pool in pools:
            pool.allotment = None

    def _shares_load(self) -> bool:
        return self._view.ownership.has_relays(self._clock.now_ms())

    def limit(self, pool: ServerPool) -> None:
        """Let a pool have one statement in flight until its allotment is computed."""
        server_id = pool.entry.server_id
        is_known = server_id in self._slots or server_id in self._view.registry.servers
        if self._shares_load() and is_known and pool.allotment is None:
            pool.allotment = SlotAllotment(self._view.host, server_id)

    def _allot(self, pool: ServerPool, reports: dict[str, OwnerReport], now_ms: int) -> None:
        slots = self._slots.get(pool.entry.server_id)
        if slots is None:
            return  # known from a primary record only, which doesn't tell its slots
        self.limit(pool)
        allotment = pool.allotment
        was_bounded = allotment.is_bounded
        allotment.update(reports, slots, now_ms)
        if allotment.is_bounded != was_bounded:
            self._log.event(
                "server_allotment_bounded",
                server=pool.entry.server_id,
                group=pool.entry.group,
                slots=slots,
                bounded=allotment.is_bounded,
                in_flight=sum(r.load.in_flight for r in reports.values() if r.load),
            )

    def reports(
        self, server_id: str, group: str, own_load: ServerLoad, now_ms: int
    ) -> dict[str, OwnerReport]:
        """Return the last report of each owner that serves a group or uses the server."""
        serving = self._view.group_owners(group, now_ms)
        reports = {self._view.host: OwnerReport(own_load)}
        for peer in self._view.peers.all():
            if peer.heartbeat is None or peer.received_ms == NEVER_MS:
                continue
            extension = peer.heartbeat.extension
            load = extension.server_loads.get(server_id) if extension else None
            if extension and load is None and serving and peer.name not in serving:
                continue  # an owner that neither serves the group nor uses the server
            if load is None and extension is not None:
                load = ServerLoad()
            reports[peer.name] = OwnerReport(load, now_ms - peer.received_ms)
        return reports

    def latency_ms(self, pool: ServerPool) -> float:
        """Return a server's expected response time, by all owners' figures if there are any."""
        shared = self._latencies.get(pool.entry.server_id)
        latency_ms = shared.latency_ms(self._clock.now_ms()) if shared else None
        return pool.health.latency_ms if latency_ms is None else latency_ms

    def failed_share(self, pool: ServerPool) -> float:
        """Return the share of recent statements that failed at a server.

        It counts less from second to second, since a server that failed is not used and so can't
        show that it works again.
        """
        share = pool.health.failed_share
        if not self._shares_load():
            return share
        return share * remaining_share(self._clock.now_ms() - pool.health.last_result_ms)

    def order(self, ranked: list[Candidate]) -> list[Candidate]:
        """Return the candidates for a read in the order in which they are tried."""
        return choose_between_best(ranked, random.random()) if self._shares_load() else ranked

    @staticmethod
    def gauges(pools: Iterable[ServerPool]) -> dict[str, float]:
        """Return the allotment at each server."""
        return {
            f'server_allotment{{server="{pool.entry.server_id}"}}': pool.max_allotted
            for pool in pools
            if pool.allotment is not None
        }
