"""Reads from the store on behalf of the fleet.

Two hosts read for all others. A host that has no recent server list from any peer also reads
the store itself.
"""

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import LEASE_MS, is_settled
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.state import era_of
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import Store, StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._router import Router

POLL_INTERVAL_MS = 1_000  # servers announce their departure 7 s in advance
# Soon after a new era, while servers write their entries again.
NEW_ERA_POLL_INTERVAL_MS = 400
READER_CHECK_MS = 250  # how often a host checks whether it has to read
# After 1, 2 and more consecutive failures; failed calls are billed too.
BACKOFF_MS = (200, 400, 800)
HEARTBEAT_OVERDUE_MS = 700  # two heartbeats; a store read must reach peers before leases expire
READER_RETRY_MS = 1_000  # per consecutive failure, until this host calls the store again
MAX_READER_RETRY_MS = 8_000  # the store rejects a single host this long; others read meanwhile
CONFIRM_INTERVAL_MS = 400  # three confirmations per lease
# If this host's server list is older, it no longer receives lists from the store readers.
STALE_REGISTRY_MS = 3_000
RECOVERY_GRACE_MS = 2_500  # after a store outage, expired entries return within 2 s


class StoreReader:
    """Makes store calls, tracks the store's availability and reads when it is this host's turn.

    :param store: the store.
    :param link: applies what was read and sends it to the peers.
    :param view: this host's view of the fleet.
    :param router: notified after each confirmation of the primaries.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: counts the calls.
    """

    def __init__(
        self,
        store: Store,
        link: PeerLink,
        view: FleetView,
        router: Router,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._link = link
        self._view = view
        self._router = router
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._failures = 0
        self.reachable_since_ms = NEVER_MS
        self._published_quiesced: dict = {}
        self._failed_ms = NEVER_MS
        self.newest_revision = 0  # of the store, in the responses so far
        self._era: int | None = None
        self._era_changed_ms = NEVER_MS

    @property
    def era(self) -> int:
        """Return the newest era of the store that this host knows; 0 until the first response.

        A host that makes no calls learns of a new era from its peers' list of servers.
        """
        return self._era or 0

    @property
    def lost_connections(self) -> int:
        """Return how many connections to the store died while they were idle or a watch waited."""
        return self._store.lost_connections

    def call(self, name: str, *arguments: object) -> object:
        """Call a method of the store and count the call by its result.

        :param name: name of the method.
        :raises StoreError: if the call fails.
        """
        try:
            result = getattr(self._store, name)(*arguments)
        except StoreError as error:
            self._metrics.count("store_calls", call=name, result=error.kind.name.lower())
            if error.kind in (StoreErrorKind.NOT_DONE, StoreErrorKind.UNKNOWN):
                self._record_failure(name, error)
            elif error.kind is StoreErrorKind.UNREADABLE:
                self._log.event("store_unreadable", call=name, reason=error.detail)
            self._notice_era()
            raise
        self._metrics.count("store_calls", call=name, result="ok")
        self.newest_revision = max(self.newest_revision, getattr(result, "revision", 0))
        self._record_success()
        if self._era is None:
            self._era = self._known_era()
        self._notice_era()
        return result

    def _known_era(self) -> int:
        return max(self._store.era, era_of(self._view.registry.revision))

    def _notice_era(self) -> None:
        """Discard what this host knew of an earlier era of the store, if a new one has begun.

        Confirmations of the primaries are kept. They hold for the rest of a lease, as they do when
        the store goes away.
        """
        known = self._known_era()
        if self._era is None or known <= self._era:
            return
        before, self._era = self._era, known
        self._era_changed_ms = self._clock.now_ms()
        if self.reachable_since_ms != NEVER_MS:
            self.reachable_since_ms = self._era_changed_ms
        self._metrics.count("store_eras")
        self._log.event(
            "store_era_changed",
            before=before,
            after=self._era,
            quiesced=sorted(self._published_quiesced),
        )
        self._published_quiesced = {}

    def _record_failure(self, name: str, error: StoreError) -> None:
        self._failures += 1
        self._failed_ms = self._clock.now_ms()
        self.reachable_since_ms = NEVER_MS
        if self._view.store_ok:
            self._log.event("store_lost", call=name, reason=str(error))
        self._view.store_ok = False

    def _record_success(self) -> None:
        self._failures = 0
        if not self._view.store_ok or self.reachable_since_ms == NEVER_MS:
            self.reachable_since_ms = self._clock.now_ms()
            self._log.event("store_reached")
        self._view.store_ok = True

    def era_is_settled(self, now_ms: int, after_ms: int = RECOVERY_GRACE_MS) -> bool:
        """Return whether what the store has lost by a new era has been written again by now.

        :param after_ms: time that this takes after the host has noticed the era.
        """
        return self._era_changed_ms == NEVER_MS or now_ms - self._era_changed_ms > after_ms

    def must_probe(self, now_ms: int) -> bool:
        """Return whether to call a store that did not answer, after a delay that grows.

        This host is a store reader again once a call succeeds. Until then others that reach the
        store must not stop reading on its behalf.
        """
        retry_ms = min(MAX_READER_RETRY_MS, READER_RETRY_MS * self._failures)
        return not self._view.store_ok and now_ms - self._failed_ms > retry_ms

    def backoff_ms(self) -> int:
        """Return the delay before the next call, given the consecutive failures."""
        if self._view.catalog is None:
            return BACKOFF_MS[0]  # callers wait for the configuration
        index = min(max(self._failures, 1), len(BACKOFF_MS)) - 1
        return BACKOFF_MS[index]

    def registry_is_recent(self, now_ms: int) -> bool:
        """Return whether the entries of the registry show what their servers report."""
        registry_ms = self._view.registry_ms
        return registry_ms != NEVER_MS and now_ms - registry_ms <= STALE_REGISTRY_MS

    def registry_is_fresh(self, now_ms: int) -> bool:
        """Return whether a missing entry is evidence that a server is gone."""
        if not self.registry_is_recent(now_ms):
            return False
        since_ms = max(self.reachable_since_ms, self._view.registry_era_ms)
        return since_ms == NEVER_MS or now_ms - since_ms > RECOVERY_GRACE_MS

    def is_first_reader(self, now_ms: int) -> bool:
        """Return whether this host is the first of those that read for all."""
        return self._readers(now_ms)[:1] == [self._view.host]

    def is_reader(self, now_ms: int) -> bool:
        """Return whether this host is one of those that read for all."""
        return self._view.host in self._readers(now_ms, needs_eras=bool(self.era))

    def must_list(self, now_ms: int) -> bool:
        """Return whether this host lists for all what earlier releases don't list."""
        eligible = self._view.store_ok and not self._view.leaving
        readers = self._view.peers.store_readers(
            now_ms, eligible, needs_eras=bool(self.era), needs_extension=True
        )
        return readers[:1] == [self._view.host] or self._peer_views_are_stale(now_ms)

    def _readers(self, now_ms: int, needs_eras: bool = False) -> list[str]:
        eligible = self._view.store_ok and not self._view.leaving
        return self._view.peers.store_readers(now_ms, eligible, needs_eras)

    def _must_read(self, now_ms: int, first_only: bool = False) -> bool:
        readers = self._readers(now_ms, needs_eras=bool(self.era))
        is_reader = self._view.host in (readers[:1] if first_only else readers)
        return is_reader or self._peer_views_are_stale(now_ms)

    def _peer_views_are_stale(self, now_ms: int) -> bool:
        """Return whether no peer has a recent server list."""
        ages = [
            now_ms - peer.received_ms + peer.heartbeat.registry_age_ms
            for peer in self._view.peers.live(now_ms)
            if peer.heartbeat and peer.heartbeat.registry_age_ms != NEVER_MS
        ]
        return min(ages, default=STALE_REGISTRY_MS) >= STALE_REGISTRY_MS

    def run_server_reads(self) -> None:
        """List the servers periodically while this host has to read them."""
        while True:
            now_ms = self._clock.now_ms()
            if not self._must_read(now_ms, first_only=True):
                self._notice_era()
                self._adopt_peer_age(now_ms)
                eventlet.sleep(READER_CHECK_MS / 1_000)
                continue
            eventlet.sleep(self._read_servers() / 1_000)

    def _adopt_peer_age(self, now_ms: int) -> None:
        """Adopt the read time of a peer's server list if its revision equals this host's.

        A peer that ignores eras renews the age of its list by reads whose content it ignores.
        """
        for peer in self._view.peers.live(now_ms):
            heartbeat = peer.heartbeat
            if heartbeat.registry_age_ms == NEVER_MS or peer.sent_after_ms == NEVER_MS:
                continue
            if self.era and heartbeat.ignores_eras:
                continue
            if heartbeat.registry_revision == self._view.registry.revision:
                read_ms = peer.sent_after_ms - heartbeat.registry_age_ms
                self._view.registry_ms = max(self._view.registry_ms, read_ms)

    def _read_servers(self) -> int:
        started_ms = self._clock.now_ms()
        try:
            registry = self.call("list_servers")
        except StoreError:
            return self.backoff_ms()  # logged and counted by the call
        self._link.adopt_registry(registry, started_ms, "store")
        if registry.revision >= self._view.registry.revision:  # else it was ignored
            self._view.registry_ms = started_ms
        settled = self.era_is_settled(started_ms)
        return POLL_INTERVAL_MS if settled else NEW_ERA_POLL_INTERVAL_MS

    def run_confirmations(self) -> None:
        """Confirm the primaries from the store while heartbeats can't confirm them.

        That is the case if the last confirmation, by a majority of hosts or by a peer's read, is
        about to expire. A store reader also confirms them while a peer's heartbeat is overdue, and
        while so many hosts have been removed that the others don't keep their leases by heartbeats.
        """
        while True:
            eventlet.sleep(CONFIRM_INTERVAL_MS / 1_000)
            now_ms = self._clock.now_ms()
            if self.must_confirm(now_ms) or self.must_probe(now_ms):
                self.confirm_primaries()
                self._publish_quiesced()

    def must_confirm(self, now_ms: int) -> bool:
        """Return whether this host has to confirm the primaries from the store now."""
        confirmed_ms = max(
            self._view.majority_responded_ms(now_ms), self._view.peers.store_confirmed_ms()
        )
        if _is_expiring(confirmed_ms, now_ms):
            return True
        return self._must_read(now_ms) and (
            self._has_overdue_peer(now_ms) or self._lacks_removed_hosts(now_ms)
        )

    def _lacks_removed_hosts(self, now_ms: int) -> bool:
        """Return whether heartbeats don't renew the leases because hosts have been removed."""
        if not self._view.removed_host_count():
            return False
        return _is_expiring(self._view.two_thirds_responded_ms(now_ms), now_ms)

    def _has_overdue_peer(self, now_ms: int) -> bool:
        """Return whether a peer's heartbeat is overdue.

        Such a peer may be unable to reach this host while it replaces a primary.
        """
        return any(
            now_ms - peer.received_ms > HEARTBEAT_OVERDUE_MS for peer in self._view.peers.all()
        )

    def _publish_quiesced(self) -> None:
        """Write to the store which hosts no longer use a replaced primary.

        The replacing host reads this if it receives no heartbeats from them.
        """
        quiesced = self._view.quiesced_hosts(self._clock.now_ms())
        if quiesced and quiesced != self._published_quiesced:
            try:
                self.call("write_quiet", self._view.host, quiesced)
                self._published_quiesced = quiesced
            except StoreError:
                return  # logged and counted by the call; retried with the next confirmation

    def confirm_primaries(self) -> bool:
        """Read the primaries from the store; return whether that succeeded.

        A record of an earlier era of the store confirms nothing, because it may lack a replacement
        that the store has lost. A host that knows no record of its group does not adopt it.
        """
        started_ms = self._clock.now_ms()
        try:
            stored = self.call("read_primaries")
        except StoreError:
            eventlet.sleep(self.backoff_ms() / 1_000)
            return False
        table = self._view.primary_table
        changed = [
            self._view.merge_primary(group, record, self._clock.now_ms())
            for group, record in stored.records.items()
            if is_settled(record, self.era) or table.get(group) is not None
        ]
        groups = table.all().keys() | stored.records.keys()
        if all(is_settled(stored.records.get(group), self.era) for group in groups):
            self._view.confirmed_ms = max(self._view.confirmed_ms, started_ms)
        if any(changed):
            self._log.event("primaries_read", revision=stored.revision)
        self._router.notify_primary_change()
        return True


def _is_expiring(confirmed_ms: int, now_ms: int) -> bool:
    """Return whether a lease that was renewed at this time needs a new confirmation."""
    return now_ms - confirmed_ms > LEASE_MS - 2 * CONFIRM_INTERVAL_MS
