"""Gives an owner what a relay has: the other owners, for sessions that it forwards to them."""

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_tracker import CHECK_INTERVAL_MS, OwnerTracker


class GroupOwnerMonitor:
    """Feeds an owner's tracker from its view, and logs changes of the group owners.

    :param view: this host's view of the fleet.
    :param tracker: watches the owners that run sessions of this host's callers.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    """

    def __init__(
        self,
        view: FleetView,
        tracker: OwnerTracker,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._group_owners: dict[str, dict[str, str]] = {}

    def run(self) -> None:
        """Watch the owners until the process ends, as a relay and then as an owner."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
            now_ms = self._clock.now_ms()
            if self._view.is_owner:
                self.check(now_ms)
            else:
                self._tracker.check(now_ms)

    def check(self, now_ms: int) -> None:
        """Update the tracker, end the sessions of silent owners and log changes."""
        view = self._view
        if view.ownership.has_relays(now_ms):
            self._tracker.update([o for o in view.owners() if o.address != view.itself.address])
        self._tracker.check_sessions(now_ms)
        assignments = view.ownership.assignments(now_ms)
        group_owners = {
            zone: {group: owners[0] for group, owners in assigned.items()}
            for zone, assigned in assignments.items()
        }
        for zone in self._group_owners.keys() | group_owners.keys():
            self._log_change(zone, self._group_owners.get(zone, {}), group_owners.get(zone, {}))
        self._group_owners = group_owners

    def _log_change(self, zone: str, before: dict[str, str], after: dict[str, str]) -> None:
        if before == after:
            return
        moved = sum(1 for group in before.keys() & after.keys() if before[group] != after[group])
        self._metrics.count("group_owners_changed", zone=zone)
        self._log.event("group_owners_changed", zone=zone, owners=after, moved=moved)
