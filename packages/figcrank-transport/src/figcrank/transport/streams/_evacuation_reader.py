"""Lists the evacuated availability zones in the store on behalf of the fleet."""

import eventlet

from figcrank.coordination.evacuation import (
    EvacuationEntry,
    check_entries,
    is_provisional,
    provisional_list,
)
from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import Evacuations
from figcrank.state import era_of
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import StoreError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._store_reader import (
    NEW_ERA_POLL_INTERVAL_MS,
    READER_CHECK_MS,
    RECOVERY_GRACE_MS,
    StoreReader,
)

# Two attempts, the propagation to the peers and half of the bound fit into a bound of 5 s.
POLL_INTERVAL_MS = 1_500
PEER_WAIT_MS = 600  # after the start, for two heartbeats of a peer that has the list


class EvacuationReader:
    """Lists the evacuations while this host is the first store reader, or has no list.

    :param store: makes store calls.
    :param link: applies the list and sends it to the peers.
    :param view: this host's view of the fleet.
    :param zones: availability zones of the settings.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    """

    def __init__(
        self,
        store: StoreReader,
        link: PeerLink,
        view: FleetView,
        zones: tuple[str, ...],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._link = link
        self._view = view
        self._zones = zones
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._first_read_ms: int | None = None
        self._ignored: set[EvacuationEntry] = set()

    def run(self) -> None:
        """Read while this host has to, until the process ends."""
        started_ms = self._clock.now_ms()
        while True:
            now_ms = self._clock.now_ms()
            if not self.must_read(now_ms, started_ms):
                eventlet.sleep(READER_CHECK_MS / 1_000)
                continue
            wait_ms = self.read()
            took_ms = self._clock.now_ms() - now_ms
            eventlet.sleep(max(0, wait_ms - took_ms) / 1_000)

    def must_read(self, now_ms: int, started_ms: int) -> bool:
        """Return whether this host has to list the evacuations.

        :param started_ms: time since which it has been waiting for a peer's list.
        """
        if not self._view.evacuation.is_known and now_ms - started_ms >= PEER_WAIT_MS:
            return True
        return self._store.must_list(now_ms)

    def read(self) -> int:
        """List the evacuations once and return the time until the next attempt."""
        started_ms = self._clock.now_ms()
        try:
            listing = self._store.call("list_evacuations")
        except StoreError:
            return self._store.backoff_ms()  # logged and counted by the call
        evacuation = self._view.evacuation
        zones, invalid = check_entries(listing.entries, self._known_zones(), evacuation.zones)
        self._report_ignored(invalid)
        settled = self._is_settled(listing.revision, started_ms)
        read = Evacuations(listing.revision, zones)
        self._link.adopt_evacuations(
            read if settled else provisional_list(listing.revision, zones), started_ms, "store"
        )
        return POLL_INTERVAL_MS if settled else NEW_ERA_POLL_INTERVAL_MS

    def _known_zones(self) -> set[str]:
        servers = (e.availability_zone for e in self._view.registry.servers.values())
        owners = (owner.availability_zone for owner in self._view.owners())
        return {*self._zones, *servers, *owners} - {""}

    def _is_settled(self, revision: int, started_ms: int) -> bool:
        """Return whether entries that a copy of the store has lost were written again by now.

        A host that has just started doesn't know when the era began, unless a peer's list tells it.
        """
        era = era_of(revision)
        if not era:
            return True
        if self._first_read_ms is None:
            self._first_read_ms = started_ms
        known = self._view.evacuations
        if era_of(known.revision) == era and not is_provisional(known):
            return True
        new_here = started_ms - self._first_read_ms <= RECOVERY_GRACE_MS
        return not new_here and self._store.era_is_settled(started_ms)

    def _report_ignored(self, invalid: list[EvacuationEntry]) -> None:
        """Log and count each invalid entry once per revision."""
        for entry in invalid:
            if entry not in self._ignored:
                self._metrics.count("evacuations_ignored")
                self._log.event(
                    "evacuation_ignored",
                    zone=entry.zone,
                    revision=entry.revision,
                    reason=entry.problem,
                )
        self._ignored = set(invalid)
