"""Exchange of the owners' loads on servers, and the allotments that follow from them."""

from collections.abc import Iterable

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.placement import OwnerReport, SlotAllotment
from figcrank.protocol.heartbeats import NEVER_MS, ServerLoad
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._pool import ServerPool

INTERVAL_MS = 90  # ticks come every 100 ms, and besides when a primary or the registry changes


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
        for pool in pools:
            load = pool.meter.sample(pool.in_flight, pool.waiting, now_ms)
            if load is not None:
                loads[pool.entry.server_id] = load
            self._allot(pool, load or ServerLoad(), now_ms)
        self._view.server_loads = loads

    def _clear(self, pools: Iterable[ServerPool]) -> None:
        self._view.server_loads = {}
        for pool in pools:
            pool.allotment = None

    def _allot(self, pool: ServerPool, load: ServerLoad, now_ms: int) -> None:
        if pool.allotment is None:
            pool.allotment = SlotAllotment(self._view.host, pool.entry.server_id)
        allotment = pool.allotment
        was_bounded = allotment.is_bounded
        reports = self.reports(pool.entry.server_id, pool.entry.group, load, now_ms)
        allotment.update(reports, pool.entry.slots, now_ms)
        if allotment.is_bounded != was_bounded:
            self._log.event(
                "server_allotment_bounded",
                server=pool.entry.server_id,
                group=pool.entry.group,
                slots=pool.entry.slots,
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

    @staticmethod
    def gauges(pools: Iterable[ServerPool]) -> dict[str, float]:
        """Return the allotment at each server."""
        return {
            f'server_allotment{{server="{pool.entry.server_id}"}}': pool.max_allotted
            for pool in pools
            if pool.allotment is not None
        }
