"""Keeps statements away from servers in evacuated zones, and closes connections there."""

from collections.abc import Iterable

import eventlet

from figcrank.coordination.evacuation import ZoneUse, completed_zones, refusal_detail
from figcrank.coordination.fleet import FleetView, PrimaryUse
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.sessions import SessionFailure
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import OpenError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._pool import ServerPool

HOLD_CHECK_MS = 20


class EvacuationGuard:
    """Applies the evacuations in force at this host to its servers.

    :param view: this host's view of the fleet.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(self, view: FleetView, clock: Clock, log: EventLog) -> None:
        self._view = view
        self._clock = clock
        self._log = log
        self._done: set[str] = set()

    def use_of(self, entry: ServerEntry) -> ZoneUse:
        """Return how a server may be used now, by its availability zone."""
        return self._view.evacuation.use_of(entry.availability_zone, self._clock.now_ms())

    def is_open(self, entry: ServerEntry) -> bool:
        """Return whether a server's availability zone is not evacuated."""
        return self.use_of(entry) is ZoneUse.OPEN

    def is_closed(self, entry: ServerEntry) -> bool:
        """Return whether a server receives nothing any more, as its zone is evacuated."""
        return self.use_of(entry) is ZoneUse.CLOSED

    def may_send_to(self, entry: ServerEntry) -> bool:
        """Return whether a message may be sent to a server now; asked right before it is sent."""
        held = self._view.evacuation.is_held(self._clock.now_ms())
        return not held and not self.is_closed(entry)

    def await_list(self) -> None:
        """Wait after a suspension until this host knows which zones were evacuated meanwhile."""
        while self._view.evacuation.is_held(self._clock.now_ms()):
            eventlet.sleep(HOLD_CHECK_MS / 1_000)

    def prefer_open(self, pools: list) -> list:
        """Return the pools of a read outside evacuated zones; all if there are none.

        :param pools: pools, each with the minimum position for the read.
        """
        return [item for item in pools if self.is_open(item[0].entry)] or pools

    def require_open_primary(self, group: str, entries: list[ServerEntry]) -> None:
        """Reject what needs a primary if only a server that receives nothing can be the primary.

        :param entries: the servers of the group.
        :raises OpenError: if that is so.
        """
        if not self._view.evacuation.zones:
            return
        now_ms = self._clock.now_ms()
        record = self._view.primary_table.get(group)
        closed = {e.server_id: e.availability_zone for e in entries if self.is_closed(e)}
        moving = self._view.primary_use(group, now_ms) is PrimaryUse.MOVING
        at_closed = record is not None and record.server_id in closed and not moving
        if not closed or not (at_closed or len(closed) == len(entries)):
            return
        primary_id = record.server_id if record else ""
        zone = closed.get(primary_id, next(iter(closed.values())))
        can_switch = any(self.is_open(entry) and not entry.draining for entry in entries)
        detail = refusal_detail(zone, can_switch)
        raise OpenError(SessionFailure.BUSY, detail, reason=RefusalReason.EVACUATED)

    def update(self, pools: Iterable[ServerPool]) -> None:
        """Close connections to evacuated zones and publish where this host still has work."""
        evacuation = self._view.evacuation
        evacuation.is_held(self._clock.now_ms())  # notices suspensions
        if not evacuation.zones:
            self._view.busy_zones = ()
            self._done.clear()
            return
        pools = list(pools)
        for pool in pools:
            use = self.use_of(pool.entry)
            if use is not ZoneUse.OPEN:
                pool.close_idle()
            if use is ZoneUse.CLOSED:
                self._end_work(pool)
        counts = self.connection_counts(pools)
        self._view.busy_zones = tuple(zone for zone, count in counts.items() if count)
        self._log_completion()

    def _end_work(self, pool: ServerPool) -> None:
        """Reset connections, whose data would otherwise go on to be resent; reject waiters."""
        if pool.connection_count:
            self._log.event(
                "evacuated_work_ended",
                server=pool.entry.server_id,
                group=pool.entry.group,
                zone=pool.entry.availability_zone,
                connections=pool.connection_count,
            )
        pool.reset_all()

    def connection_counts(self, pools: Iterable[ServerPool]) -> dict[str, int]:
        """Return the number of connections to servers of each evacuated zone."""
        counts = dict.fromkeys(sorted(self._view.evacuation.zones), 0)
        for pool in pools:
            zone = pool.entry.availability_zone
            # A server whose zone isn't known may be in any of them.
            for name in counts if not zone else (zone,):
                if name in counts:
                    counts[name] += pool.connection_count
        return counts

    def _log_completion(self) -> None:
        """Log each evacuation once that no owner has work in the zone any more."""
        now_ms = self._clock.now_ms()
        evacuation = self._view.evacuation
        self._done &= evacuation.zones
        peers = [peer for peer in self._view.peers.all()]
        done = completed_zones(
            evacuation.zones - self._done,
            {*self._view.busy_zones, *self._zones_with_primaries()},
            (peer.heartbeat.extension if peer.heartbeat else None for peer in peers),
        )
        for zone in done:
            self._done.add(zone)
            took_ms = evacuation.adopted_for_ms(zone, now_ms)
            self._log.event("evacuation_done", zone=zone, owners=1 + len(peers), took_ms=took_ms)

    def _zones_with_primaries(self) -> set[str]:
        """Return the zones that may still be used because a primary is there."""
        now_ms = self._clock.now_ms()
        primaries = (self._view.primary_of(group) for group in self._view.primary_table.all())
        zones = {entry.availability_zone for entry in primaries if entry}
        return zones - set(self._view.evacuation.closed_zones(now_ms))
