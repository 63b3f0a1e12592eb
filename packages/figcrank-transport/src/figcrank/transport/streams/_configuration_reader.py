"""Reads the configuration from the store, on behalf of the fleet or for this host alone."""

import eventlet

from figcrank.coordination.fleet import ConfigurationTimings, FleetView
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import CatalogDocument, StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._store_reader import READER_CHECK_MS, StoreReader

CHECK_INTERVAL_MS = 100  # how often a host compares the age of its configuration
# The store has no configuration yet, or one that can't be decoded.
NOTHING_READ_RETRY_MS = 1_000


class ConfigurationReader:
    """Watches the configuration while this host reads for all, and reads it when its own is old.

    The two are independent: a host whose watch hangs or fails still reads the whole document once
    it is due, as do the hosts that rely on it.

    :param store: makes the calls.
    :param link: applies a configuration and sends it to the peers.
    :param view: this host's view of the fleet.
    :param timings: how the bound on a change is divided.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        store: StoreReader,
        link: PeerLink,
        view: FleetView,
        timings: ConfigurationTimings,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._store = store
        self._link = link
        self._view = view
        self._timings = timings
        self._clock = clock
        self._log = log
        self._revision = 0  # of the store, up to which this host has read
        self._was_reader = False
        self._old_since_ms = NEVER_MS

    def run_watch(self) -> None:
        """Read the configuration once, then watch it while this host reads for all."""
        while True:
            if self._revision and not self._is_reader():
                eventlet.sleep(READER_CHECK_MS / 1_000)
            elif not (self._watch() if self._revision else self.read()):
                eventlet.sleep(self._store.backoff_ms() / 1_000)

    def _is_reader(self) -> bool:
        is_reader = self._store.is_reader(self._clock.now_ms())
        if is_reader != self._was_reader:
            self._log.event("store_reader", reads=is_reader, store_ok=self._view.store_ok)
        self._was_reader = is_reader
        return is_reader

    def _watch(self) -> bool:
        """Wait for a change; return whether the call succeeded."""
        sent_ms = self._clock.now_ms()
        known_revision = self._store.newest_revision
        wait_ms = self._timings.watch_ms
        try:
            document = self._store.call("await_catalog", self._revision, wait_ms)
        except StoreError as error:  # logged and counted by the call
            if error.kind in (StoreErrorKind.HISTORY_GONE, StoreErrorKind.UNREADABLE):
                self._revision = 0  # the whole document is read next
            return error.kind is StoreErrorKind.HISTORY_GONE
        if not document.content and document.revision < known_revision:
            # The store has answered other calls at a later revision: the watch may lag behind it.
            self._revision = 0
            return True
        waited = self._clock.now_ms() - sent_ms >= wait_ms
        self._adopt(document, sent_ms + wait_ms if waited and not document.content else sent_ms)
        return True

    def read(self) -> bool:
        """Read the whole document; return whether the call succeeded."""
        sent_ms = self._clock.now_ms()
        try:
            document = self._store.call("read_catalog")
        except StoreError:
            return False  # logged and counted by the call
        self._adopt(document, sent_ms)
        return True

    def _adopt(self, document: CatalogDocument, as_of_ms: int) -> None:
        """Adopt a document.

        :param as_of_ms: time at which the store had nothing newer.
        """
        self._revision = max(self._revision, document.revision)
        version = self._view.catalog_version
        if document.content:
            version = self._link.adopt_catalog(document.content, "store")
        if version:
            self._view.confirm_configuration(version, as_of_ms)

    def run_checks(self) -> None:
        """Read the configuration whenever this host's own may be too old."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
            if not self._is_old():
                continue
            if not self.read():
                eventlet.sleep(self._store.backoff_ms() / 1_000)
            elif self._is_old():
                eventlet.sleep(NOTHING_READ_RETRY_MS / 1_000)

    def _is_old(self) -> bool:
        now_ms = self._clock.now_ms()
        age = self._view.configuration_age
        is_old = age.is_older_than(self._timings.own_read_age_ms, now_ms)
        if is_old and self._view.catalog is not None and self._old_since_ms == NEVER_MS:
            self._old_since_ms = now_ms
            self._log.event(
                "configuration_unconfirmed",
                version=self._view.catalog_version,
                age_ms=age.age_ms(now_ms),
                newest_named=self._view.newest_named_version(),
            )
        elif not is_old and self._old_since_ms != NEVER_MS:
            self._log.event(
                "configuration_confirmed",
                version=self._view.catalog_version,
                after_ms=now_ms - self._old_since_ms,
            )
            self._old_since_ms = NEVER_MS
        return is_old
