"""Reads the store: two hosts for the whole fleet, and any host that hears neither of them."""

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import LEASE_MS
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._ports import Store, StoreError, StoreErrorKind
from figcrank.transport.streams._router import Router

POLL_MS = 1_000  # servers say seven seconds ahead that they leave; one second is early enough
WATCH_MS = 1_500  # a watch on a connection that went silent is missed for so long at the most
CHECK_MS = 250  # how often a host asks itself whether it must read
BACKOFF_MS = (200, 400, 800)  # after failures in a row; calls that fail are priced as well
OVERDUE_MS = 700  # two heartbeats; a reading must be passed on before leases end
RETRY_MS = 1_000  # for each failure in a row, a host does not offer to read for the others
MAX_RETRY_MS = 8_000  # as long as the store turns single hosts away; others read meanwhile
CONFIRM_MS = 400  # three confirmations fit into a lease
STALE_REGISTRY_MS = 3_000  # a list this old means that the watching hosts don't reach this one
AWAY_MS = 2_500  # after an outage of the store, entries that lapsed are back within two seconds


class StoreLoop:
    """The reading of the store.

    :param store: the store.
    :param link: takes in what was read and tells the peers.
    :param view: what this host believes.
    :param router: woken when a primary changes.
    :param clock: this host's clock.
    :param log: where losses of the store are written.
    :param metrics: where calls are counted.
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
        self.back_since_ms = NEVER_MS
        self._told_quiet: dict = {}
        self._failed_ms = NEVER_MS

    def call(self, name: str, *arguments: object) -> object:
        """Make a call and count it.

        :raises StoreError: if it gives nothing.
        """
        try:
            result = getattr(self._store, name)(*arguments)
        except StoreError as error:
            self._metrics.count("store_calls", call=name, result=error.kind.name.lower())
            if error.kind in (StoreErrorKind.NOT_DONE, StoreErrorKind.UNKNOWN):
                self._note_failure(name, error)
            elif error.kind is StoreErrorKind.UNREADABLE:
                self._log.event("store_unreadable", call=name, reason=error.detail)
            raise
        self._metrics.count("store_calls", call=name, result="ok")
        self._note_success()
        return result

    def _note_failure(self, name: str, error: StoreError) -> None:
        self._failures += 1
        self._failed_ms = self._clock.now_ms()
        self.back_since_ms = NEVER_MS
        if self._view.store_ok:
            self._log.event("store_lost", call=name, reason=str(error))
        self._view.store_ok = False

    def _note_success(self) -> None:
        self._failures = 0
        if not self._view.store_ok or self.back_since_ms == NEVER_MS:
            self.back_since_ms = self._clock.now_ms()
            self._log.event("store_reached")
        self._view.store_ok = True

    def offer_again(self, now_ms: int) -> None:
        """Let this host read for the others again once it has been silent long enough.

        A host that doesn't read would never find out that the store answers it again.
        """
        retry_ms = min(MAX_RETRY_MS, RETRY_MS * self._failures)
        if not self._view.store_ok and now_ms - self._failed_ms > retry_ms:
            self._view.store_ok = True

    def backoff_ms(self) -> int:
        """Return how long to wait after the failures in a row."""
        if self._view.catalog is None:
            return BACKOFF_MS[0]  # callers wait for the configuration
        index = min(max(self._failures, 1), len(BACKOFF_MS)) - 1
        return BACKOFF_MS[index]

    def registry_is_fresh(self, now_ms: int) -> bool:
        """Return whether a server without an entry can be taken to be gone."""
        view = self._view
        if view.registry_ms == NEVER_MS or now_ms - view.registry_ms > STALE_REGISTRY_MS:
            return False
        return self.back_since_ms == NEVER_MS or now_ms - self.back_since_ms > AWAY_MS

    def is_first_reader(self, now_ms: int) -> bool:
        """Return whether this host reads the store for all, before any other."""
        return self._readers(now_ms)[:1] == [self._view.host]

    def _readers(self, now_ms: int) -> list[str]:
        fit = self._view.store_ok and not self._view.leaving
        return self._view.peers.watchers(now_ms, fit)

    def _watches(self, now_ms: int, first_only: bool = False) -> bool:
        readers = self._readers(now_ms)
        mine = self._view.host in (readers[:1] if first_only else readers)
        return mine or self._hears_none(now_ms)

    def _hears_none(self, now_ms: int) -> bool:
        """Return whether no peer's view of the store is recent."""
        ages = [
            now_ms - peer.heard_ms + peer.beat.registry_age_ms
            for peer in self._view.peers.live(now_ms)
            if peer.beat and peer.beat.registry_age_ms != NEVER_MS
        ]
        return min(ages, default=STALE_REGISTRY_MS) >= STALE_REGISTRY_MS

    # Loops.

    def read_servers_for_ever(self) -> None:
        """List the servers while it is this host's turn."""
        while True:
            now_ms = self._clock.now_ms()
            if not self._watches(now_ms, first_only=True):
                self._adopt_age(now_ms)
                eventlet.sleep(CHECK_MS / 1_000)
                continue
            eventlet.sleep(self._read_servers() / 1_000)

    def _adopt_age(self, now_ms: int) -> None:
        """Take over the age of a peer's list that is the same as this host's."""
        for peer in self._view.peers.live(now_ms):
            beat = peer.beat
            if beat.registry_age_ms == NEVER_MS or peer.since_ms == NEVER_MS:
                continue
            if beat.registry_revision == self._view.registry.revision:
                read_ms = peer.since_ms - beat.registry_age_ms
                self._view.registry_ms = max(self._view.registry_ms, read_ms)

    def _read_servers(self) -> int:
        started_ms = self._clock.now_ms()
        try:
            registry = self.call("list_servers")
        except StoreError:
            return self.backoff_ms()  # logged and counted where the call was made
        self._link.adopt_registry(registry, started_ms, "store")
        self._view.registry_ms = started_ms
        return POLL_MS

    def read_catalog_for_ever(self) -> None:
        """Watch the configuration while it is this host's turn."""
        revision = 0
        while True:
            if revision and not self._watches(self._clock.now_ms()):
                eventlet.sleep(CHECK_MS / 1_000)
                continue
            try:
                if revision:
                    document = self.call("await_catalog", revision, WATCH_MS)
                else:
                    document = self.call("read_catalog")
            except StoreError as error:
                if error.kind is StoreErrorKind.HISTORY_GONE:
                    revision = 0
                    continue
                eventlet.sleep(self.backoff_ms() / 1_000)
                continue
            revision = document.revision
            if document.content:
                self._link.adopt_catalog(document.content, "store")

    def confirm_for_ever(self) -> None:
        """Confirm the primaries by the store while no majority of the hosts is heard."""
        while True:
            eventlet.sleep(CONFIRM_MS / 1_000)
            now_ms = self._clock.now_ms()
            self.offer_again(now_ms)
            heard_ms = max(
                self._view.peers.majority_since_ms(now_ms),
                self._view.peers.store_confirmed_ms(),
            )
            alone = now_ms - heard_ms > LEASE_MS - 2 * CONFIRM_MS
            if alone or (self._misses_peers(now_ms) and self._watches(now_ms)):
                self.confirm()
                self._tell_quiet()

    def _misses_peers(self, now_ms: int) -> bool:
        """Return whether a host is silent that may be cut off and replace a primary."""
        return any(now_ms - peer.heard_ms > OVERDUE_MS for peer in self._view.peers.all())

    def _tell_quiet(self) -> None:
        """Tell the store which hosts use a replaced primary no more, for one that hears none."""
        quiet = self._view.quiet_hosts(self._clock.now_ms())
        if quiet and quiet != self._told_quiet:
            try:
                self.call("write_quiet", self._view.host, quiet)
                self._told_quiet = quiet
            except StoreError:
                return  # logged and counted where the call was made; told again at the next turn

    def confirm(self) -> bool:
        """Read the primaries from the store; return whether that worked."""
        started_ms = self._clock.now_ms()
        try:
            stored = self.call("read_primaries")
        except StoreError:
            eventlet.sleep(self.backoff_ms() / 1_000)
            return False
        changed = [
            self._view.merge_primary(group, record, self._clock.now_ms())
            for group, record in stored.records.items()
        ]
        self._view.confirmed_ms = max(self._view.confirmed_ms, started_ms)
        if any(changed):
            self._log.event("primaries_read", revision=stored.revision)
        self._router.announce_change()
        return True
