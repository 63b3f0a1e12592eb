import json

import pytest

from figcrank.coordination.fleet import ConfigurationTimings, FleetView
from figcrank.state import ManualClock
from figcrank.state._catalog import Catalog
from figcrank.transport.streams._configuration_reader import (
    CHECK_INTERVAL_MS,
    ConfigurationReader,
)
from figcrank.transport.streams._interfaces import CatalogDocument, StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._peer_link import HEARTBEAT_INTERVAL_MS
from figcrank.transport.streams._store_reader import StoreReader

SLOW_STORE_MS = 250
DEAD_CONNECTION_MS = 500


@pytest.mark.parametrize("bound_ms", [3_000, 5_000, 6_000])
def test_bound_suffices_for_the_worst_chain(bound_ms):
    """A dead idle connection and a slow store are found only once the own read is due."""
    timings = ConfigurationTimings.from_bound(bound_ms)
    own_read_ms = CHECK_INTERVAL_MS + DEAD_CONNECTION_MS + 2 * SLOW_STORE_MS
    assert timings.own_read_age_ms + own_read_ms < bound_ms
    assert timings.own_read_age_ms <= timings.refusal_age_ms < bound_ms


@pytest.mark.parametrize("bound_ms", [3_000, 5_000, 6_000])
def test_hosts_do_not_read_the_store_themselves_while_a_datagram_is_lost(bound_ms):
    timings = ConfigurationTimings.from_bound(bound_ms)
    assert timings.watch_ms + 2 * HEARTBEAT_INTERVAL_MS < timings.own_read_age_ms


class WatchedStore:
    """A store whose watch takes ``took_ms`` and returns ``document``, or raises ``error``."""

    era = 0

    def __init__(self, clock):
        self._clock = clock
        self.error = None
        self.document = CatalogDocument(7, b"")
        self.whole = CatalogDocument(7, b"5")
        self.took_ms = 0
        self.calls = []

    def _respond(self, name, document):
        self.calls.append(name)
        self._clock.advance_to(self._clock.now_ms() + self.took_ms)
        if self.error:
            raise StoreError(self.error, "failed")
        return document

    def await_catalog(self, revision, wait_ms):
        return self._respond("watch", self.document)

    def read_catalog(self):
        return self._respond("read", self.whole)

    def list_servers(self):
        return CatalogDocument(99, b"")  # only its revision counts


class Link:
    """Adopts documents that consist of a version."""

    def __init__(self, view):
        self._view = view

    def adopt_catalog(self, content, source):
        version = int(content)
        self._view.adopt_catalog(Catalog(version, {}, {}, {}, {}, 3_000), 0)
        return version


class Scenario:
    def __init__(self):
        self.clock = ManualClock(10_000)
        self.view = FleetView("a", 1, ("10.0.0.1", 7000))
        self.store = WatchedStore(self.clock)
        log = EventLog("a", self.clock, len)
        link = Link(self.view)
        calls = StoreReader(self.store, link, self.view, None, self.clock, log, Metrics())
        self.calls = calls
        self.timings = ConfigurationTimings.from_bound(3_000)
        self.reader = ConfigurationReader(calls, link, self.view, self.timings, self.clock, log)
        assert self.reader.read()

    @property
    def age_ms(self):
        return self.view.configuration_age.age_ms(self.clock.now_ms())


def test_read_confirms_the_configuration_as_of_its_sending():
    scenario = Scenario()
    scenario.store.took_ms = 200
    scenario.reader.read()
    assert scenario.age_ms == 200


def test_watch_without_a_change_confirms_as_of_the_end_of_its_wait():
    scenario = Scenario()
    scenario.store.took_ms = scenario.timings.watch_ms + 30
    assert scenario.reader._watch()
    assert scenario.age_ms == 30


def test_watch_that_ends_early_confirms_as_of_its_sending_only():
    scenario = Scenario()
    scenario.store.took_ms = 400
    assert scenario.reader._watch()
    assert scenario.age_ms == 400


def test_watch_that_lags_behind_other_responses_confirms_nothing():
    """Guards against a change that is missed while the store's watches hear nothing."""
    scenario = Scenario()
    scenario.calls.call("list_servers")
    scenario.store.took_ms = scenario.timings.watch_ms
    assert scenario.reader._watch()
    assert scenario.age_ms == scenario.timings.watch_ms
    assert scenario.reader._revision == 0  # the whole document is read next


@pytest.mark.parametrize("kind", [StoreErrorKind.HISTORY_GONE, StoreErrorKind.UNREADABLE])
def test_whole_document_is_read_after_a_watch_that_cannot_continue(kind):
    """Guards against a watch that fails again and again on the same event."""
    scenario = Scenario()
    scenario.store.error = kind
    scenario.reader._watch()
    assert scenario.reader._revision == 0


def test_failed_calls_confirm_nothing():
    scenario = Scenario()
    scenario.store.error = StoreErrorKind.NOT_DONE
    scenario.store.took_ms = 500
    assert not scenario.reader._watch()
    assert not scenario.reader.read()
    assert scenario.age_ms == 1_000


def test_document_that_cannot_be_decoded_confirms_nothing():
    scenario = Scenario()
    scenario.reader._link.adopt_catalog = lambda content, source: 0
    scenario.store.took_ms = 300
    assert scenario.reader.read()
    assert scenario.age_ms == 300


def test_age_beyond_the_own_read_is_logged_once_with_its_end():
    scenario = Scenario()
    lines = []
    scenario.reader._log = EventLog(
        "a", scenario.clock, lambda data: lines.append(data) or len(data)
    )
    for _ in range(20):
        scenario.clock.advance_to(scenario.clock.now_ms() + CHECK_INTERVAL_MS)
        scenario.reader._is_old()
    scenario.reader.read()
    scenario.reader._is_old()
    scenario.reader._log.flush()
    events = [json.loads(line)["event"] for line in b"".join(lines).splitlines()]
    assert events == ["configuration_unconfirmed", "configuration_confirmed"]
