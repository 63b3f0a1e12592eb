import json

import pytest

from figcrank.coordination.fleet import ConfigurationTimings, FleetView
from figcrank.protocol.heartbeats import (
    NEVER_MS,
    Heartbeat,
    PrimaryRecord,
    StoredPrimaries,
)
from figcrank.state import ManualClock, revision_of
from figcrank.state._catalog import Catalog, Registry, ServerEntry
from figcrank.transport.streams._configuration_reader import ConfigurationReader
from figcrank.transport.streams._interfaces import CatalogDocument, StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._store_reader import (
    NEW_ERA_POLL_INTERVAL_MS,
    POLL_INTERVAL_MS,
    RECOVERY_GRACE_MS,
    StoreReader,
)


class RefusingStore:
    """Store that rejects calls while ``refuses`` is set."""

    refuses = True
    era = 0

    def list_servers(self):
        if self.refuses:
            raise StoreError(StoreErrorKind.NOT_DONE, "status 429")


def make_reader():
    clock = ManualClock(10_000)
    view = FleetView("a", 1, ("10.0.0.1", 7000))
    log = EventLog("a", clock, len)
    store = RefusingStore()
    return StoreReader(store, None, view, None, clock, log, Metrics()), view, clock, store


def fail(reader, times):
    for _ in range(times):
        try:
            reader.call("list_servers")
        except StoreError:
            continue


def test_delay_until_a_rejected_host_calls_again_grows_with_failures():
    """Guards against a rejected host becoming first store reader again every second.

    Seen in incident inc-034f: the replacement of an unreachable primary waited for that host.
    """
    reader, view, clock, _ = make_reader()
    fail(reader, 4)
    assert not view.store_ok
    assert not reader.must_probe(clock.now_ms() + 3_900)
    assert reader.must_probe(clock.now_ms() + 4_100)
    assert not view.store_ok


def test_host_that_the_store_has_rejected_is_no_reader_until_it_is_answered():
    """Guards against a host that others wait for although the store does not answer it."""
    reader, view, clock, store = make_reader()
    fail(reader, 1)
    clock.advance_to(clock.now_ms() + 60_000)
    assert not reader.is_reader(clock.now_ms())
    store.refuses = False
    reader.call("list_servers")
    assert reader.is_reader(clock.now_ms())
    assert not reader.must_probe(clock.now_ms() + 60_000)


def test_successful_call_restores_eligibility_and_resets_the_backoff():
    reader, view, clock, store = make_reader()
    fail(reader, 9)
    store.refuses = False
    reader.call("list_servers")
    assert view.store_ok
    fail(reader, 0)
    assert reader.backoff_ms() == 200


def test_registry_is_not_fresh_soon_after_a_store_outage():
    reader, view, clock, store = make_reader()
    fail(reader, 1)
    store.refuses = False
    reader.call("list_servers")
    view.registry_ms = clock.now_ms()
    assert not reader.registry_is_fresh(clock.now_ms() + 1_000)
    view.registry_ms = clock.now_ms() + 3_000
    assert reader.registry_is_fresh(clock.now_ms() + 3_000)


def test_registry_is_recent_as_soon_as_the_store_is_reached():
    reader, view, clock, store = make_reader()
    assert not reader.registry_is_recent(clock.now_ms())
    store.refuses = False
    reader.call("list_servers")
    view.registry_ms = clock.now_ms()
    assert reader.registry_is_recent(clock.now_ms())
    assert not reader.registry_is_recent(clock.now_ms() + 3_001)


class FakeRouter:
    def notify_primary_change(self):
        pass


class FakeLink:
    """Applies lists of servers to the view, as :class:`PeerLink` does."""

    def __init__(self, view):
        self.view = view

    def adopt_registry(self, registry, as_of_ms, source):
        self.view.adopt_registry(registry, as_of_ms, as_of_ms, source == "peer")


class ErasStore:
    """Store whose next answers are of the era ``answers_in``; it fails while ``error`` is set."""

    def __init__(self):
        self.era = 0
        self.answers_in = 0
        self.error = None
        self.record = PrimaryRecord(2, 4, "s1")
        self.written = []

    def _answer(self):
        self.era = max(self.era, self.answers_in)
        if self.error is not None:
            raise StoreError(self.error, "refused")

    def list_servers(self):
        self._answer()
        return Registry(revision_of(self.era, 20))

    def read_primaries(self):
        self._answer()
        return StoredPrimaries(revision_of(self.era, 8), "b", 3, {"g": self.record})

    def write_quiet(self, host, quiesced):
        self._answer()
        self.written.append(quiesced)


class EraScenario:
    """A store reader whose store may come back in another era, with its log and metrics."""

    def __init__(self, first_era=1):
        self.clock = ManualClock(10_000)
        self.view = FleetView("a", 1, ("10.0.0.1", 7000))
        self.store = ErasStore()
        self.store.answers_in = first_era
        self.metrics = Metrics()
        self.log = EventLog("a", self.clock, self._write)
        self.lines = []
        self.reader = StoreReader(
            self.store,
            FakeLink(self.view),
            self.view,
            FakeRouter(),
            self.clock,
            self.log,
            self.metrics,
        )

    def _write(self, data):
        self.lines.extend(json.loads(line) for line in data.decode().splitlines())
        return len(data)

    def events(self, name):
        self.log.flush()
        return [line for line in self.lines if line["event"] == name]

    def wait(self, for_ms):
        self.clock.advance_to(self.clock.now_ms() + for_ms)


@pytest.mark.parametrize("first_era", [0, 1, 7])
def test_first_era_of_a_store_is_not_a_change(first_era):
    scenario = EraScenario(first_era)
    assert scenario.reader.era == 0
    scenario.reader.call("list_servers")
    scenario.reader.call("list_servers")
    assert scenario.reader.era == first_era
    assert scenario.events("store_era_changed") == []
    assert "store_eras" not in scenario.metrics.render()


@pytest.mark.parametrize("first_era", [0, 1])
def test_new_era_is_counted_and_logged_once(first_era):
    scenario = EraScenario(first_era)
    scenario.reader.call("list_servers")
    scenario.store.answers_in = first_era + 1
    scenario.reader.call("list_servers")
    scenario.reader.call("list_servers")
    (event,) = scenario.events("store_era_changed")
    assert (event["before"], event["after"]) == (first_era, first_era + 1)
    assert "figcrank_store_eras_total{} 1" in scenario.metrics.render()
    assert scenario.reader.era == first_era + 1


@pytest.mark.parametrize("kind", list(StoreErrorKind))
def test_failed_call_shows_a_new_era(kind):
    scenario = EraScenario()
    scenario.reader.call("list_servers")
    scenario.store.answers_in, scenario.store.error = 2, kind
    with pytest.raises(StoreError):
        scenario.reader.call("list_servers")
    assert len(scenario.events("store_era_changed")) == 1


def test_registry_is_not_fresh_soon_after_a_new_era():
    """Guards against servers that count as gone before they have written their entries again."""
    scenario = EraScenario()
    scenario.reader.call("list_servers")
    scenario.wait(60_000)
    scenario.store.answers_in = 2
    scenario.reader.call("list_servers")
    now_ms = scenario.view.registry_ms = scenario.clock.now_ms()
    assert not scenario.reader.registry_is_fresh(now_ms + RECOVERY_GRACE_MS)
    assert scenario.reader.registry_is_fresh(now_ms + RECOVERY_GRACE_MS + 1)


def test_quiesced_hosts_are_written_again_in_a_new_era():
    scenario = EraScenario()
    scenario.view.merge_primary("g", PrimaryRecord(3, 4, "s1", moving=True), 0)
    scenario.view.quiesced_groups = {"g"}
    for _ in range(2):
        scenario.reader._publish_quiesced()
    assert len(scenario.store.written) == 1
    scenario.store.answers_in = 2
    scenario.reader.call("list_servers")
    scenario.reader._publish_quiesced()
    assert scenario.store.written == 2 * [{"g": (3, ["a"])}]
    assert scenario.events("store_era_changed")[0]["quiesced"] == ["g"]


def test_new_era_keeps_confirmations_for_the_rest_of_the_lease():
    scenario = EraScenario()
    scenario.reader.call("list_servers")
    scenario.view.confirmed_ms = 9_900
    scenario.store.answers_in = 2
    scenario.reader.call("list_servers")
    assert scenario.view.confirmed_ms == 9_900


def test_record_of_an_earlier_era_confirms_no_primary():
    """Guards against a host that uses a primary whose replacement the store's copy lacks."""
    scenario = EraScenario()
    scenario.store.record = PrimaryRecord(revision_of(1, 3), 4, "s1")
    assert scenario.reader.confirm_primaries()
    assert scenario.view.confirmed_ms == 10_000
    scenario.store.answers_in = 2
    for _ in range(5):
        scenario.wait(RECOVERY_GRACE_MS)
        assert scenario.reader.confirm_primaries()
        assert scenario.view.confirmed_ms == 10_000
    scenario.store.record = PrimaryRecord(revision_of(2, 1), 4, "s1")
    assert scenario.reader.confirm_primaries()
    assert scenario.view.confirmed_ms == scenario.clock.now_ms()


def test_record_that_lacks_a_known_group_confirms_no_primary():
    scenario = EraScenario()
    scenario.store.record = PrimaryRecord(revision_of(1, 3), 4, "s1")
    scenario.view.merge_primary("lost", PrimaryRecord(revision_of(1, 1), 1, "s9"), 0)
    assert scenario.reader.confirm_primaries()
    assert scenario.view.confirmed_ms == NEVER_MS


def test_starting_host_adopts_no_record_of_an_earlier_era():
    """All hosts restart right after the store came back; the record names a replaced primary."""
    scenario = EraScenario(first_era=2)
    scenario.store.record = PrimaryRecord(revision_of(1, 3), 4, "s1")
    assert scenario.reader.confirm_primaries()
    assert scenario.view.primary_table.get("g") is None
    scenario.store.record = PrimaryRecord(revision_of(2, 1), 5, "s2")
    assert scenario.reader.confirm_primaries()
    assert scenario.view.primary_table.get("g").server_id == "s2"


def test_running_host_keeps_its_newer_record_of_an_earlier_era():
    scenario = EraScenario(first_era=2)
    scenario.view.merge_primary("g", PrimaryRecord(revision_of(1, 6), 5, "s2"), 0)
    scenario.store.record = PrimaryRecord(revision_of(1, 3), 4, "s1")
    assert scenario.reader.confirm_primaries()
    assert scenario.view.primary_table.get("g").server_id == "s2"


def test_list_is_read_more_often_soon_after_a_new_era():
    """Guards against a server that registers after the store's return and waits to be used."""
    scenario = EraScenario()
    assert scenario.reader._read_servers() == POLL_INTERVAL_MS
    scenario.store.answers_in = 2
    assert scenario.reader._read_servers() == NEW_ERA_POLL_INTERVAL_MS
    scenario.wait(RECOVERY_GRACE_MS)
    assert scenario.reader._read_servers() == NEW_ERA_POLL_INTERVAL_MS
    scenario.wait(1)
    assert scenario.reader._read_servers() == POLL_INTERVAL_MS


def test_ignored_list_of_an_earlier_era_does_not_make_the_current_one_recent():
    scenario = EraScenario()
    scenario.view.adopt_registry(Registry(revision_of(2, 4)), 9_000, 9_100, from_peer=True)
    scenario.reader._read_servers()
    assert scenario.view.registry.revision == revision_of(2, 4)
    assert scenario.view.registry_ms == 9_000


def test_host_that_makes_no_calls_learns_of_a_new_era_from_its_peers(monkeypatch):
    def end(_seconds):
        raise EndOfReadsError

    monkeypatch.setattr("eventlet.sleep", end)
    scenario = EraScenario()
    scenario.reader.call("list_servers")
    scenario.wait(60_000)
    now_ms = scenario.clock.now_ms()
    entry = ServerEntry("s1", "g", "10.1.0.1:80", "a", 5, False, False)
    scenario.view.adopt_registry(Registry(revision_of(1, 20), {"s1": entry}), 0, 0, False)
    scenario.view.adopt_registry(Registry(revision_of(2, 4)), now_ms, now_ms, from_peer=True)
    hear(scenario, "Z", 2)  # reads for all others
    with pytest.raises(EndOfReadsError):
        scenario.reader.run_server_reads()
    assert scenario.reader.era == 2
    assert len(scenario.events("store_era_changed")) == 1
    assert not scenario.reader.registry_is_fresh(now_ms + RECOVERY_GRACE_MS)


def test_missing_entries_of_a_new_eras_list_are_no_evidence_before_the_era_is_noticed():
    scenario = EraScenario()
    scenario.view.adopt_registry(Registry(revision_of(1, 20)), 0, 0, from_peer=True)
    scenario.view.adopt_registry(Registry(revision_of(2, 4)), 9_000, 9_000, from_peer=True)
    assert not scenario.reader.registry_is_fresh(9_000 + RECOVERY_GRACE_MS)
    assert scenario.reader.registry_is_fresh(9_000 + RECOVERY_GRACE_MS + 1)


@pytest.mark.parametrize(
    ("revision", "read_ms"), [(revision_of(2, 4), 9_950), (revision_of(1, 4), 9_000), (4, 9_000)]
)
def test_age_of_a_peers_list_is_adopted_only_if_era_and_number_are_equal(revision, read_ms):
    scenario = EraScenario()
    scenario.view.adopt_registry(Registry(revision_of(2, 4)), 9_000, 9_000, from_peer=True)
    heartbeat = Heartbeat("b", 1, 5, 9_960, registry_revision=revision, registry_age_ms=10)
    scenario.view.receive(heartbeat, ("10.0.0.2", 7000), 10_000)
    scenario.reader._adopt_peer_age(10_000)
    assert scenario.view.registry_ms == read_ms


def hear(scenario, host, number, **fields):
    """Let the host receive a heartbeat of a peer that has just read the list of servers."""
    now_ms = scenario.clock.now_ms()
    heartbeat = Heartbeat(host, 1, now_ms, now_ms - 10, registry_age_ms=10, **fields)
    scenario.view.receive(heartbeat, (f"10.0.0.{number}", 7000), now_ms)


@pytest.mark.parametrize(
    ("era", "ignores_eras", "reads"), [(1, True, True), (1, False, False), (0, True, False)]
)
def test_host_reads_servers_itself_if_the_first_reader_ignores_eras(era, ignores_eras, reads):
    """Guards against a list that stays as it is while a fleet is being upgraded.

    A host of an earlier release compares the numbers of its own lists with revisions that include
    an era, takes them for older and ignores them, but goes on reading for all others.
    """
    scenario = EraScenario(era)
    scenario.reader.call("list_servers")
    hear(scenario, "Z", 2, ignores_eras=ignores_eras)  # before "a" in the order of the readers
    assert scenario.reader._must_read(scenario.clock.now_ms(), first_only=True) is reads
    assert not scenario.reader.is_first_reader(scenario.clock.now_ms())


@pytest.mark.parametrize(
    ("era", "ignores_eras", "adopted"), [(1, True, False), (1, False, True), (0, True, True)]
)
def test_age_of_a_list_is_not_adopted_from_a_host_that_ignores_eras(era, ignores_eras, adopted):
    scenario = EraScenario(era)
    scenario.reader.call("list_servers")
    scenario.view.adopt_registry(Registry(revision_of(era, 4)), 9_000, 9_000, from_peer=True)
    hear(scenario, "Z", 2, registry_revision=revision_of(era, 4), ignores_eras=ignores_eras)
    scenario.reader._adopt_peer_age(scenario.clock.now_ms())
    assert scenario.view.registry_ms == (9_980 if adopted else 9_000)


class CatalogStore(ErasStore):
    """Store that returns to an older configuration and ends the watch; the operator writes again.

    :param documents: what each call returns; an error is raised. The reads end after the last one.
    """

    def __init__(self, *documents):
        super().__init__()
        self.documents = list(documents)
        self.calls = []

    def _next(self, call):
        self.calls.append(call)
        if not self.documents:
            raise EndOfReadsError
        document = self.documents.pop(0)
        if isinstance(document, StoreError):
            raise document
        return document

    def read_catalog(self):
        return self._next("read")

    def await_catalog(self, after_revision, wait_ms):
        return self._next(after_revision)

    def decode_catalog(self, content):
        return Catalog(int(content))


class EndOfReadsError(Exception):
    """Ends a loop that otherwise runs until the process ends."""


def test_newer_configuration_is_kept_while_the_store_holds_an_older_one():
    """Guards against a configuration that goes back, and against a watch that is not begun anew."""
    scenario = EraScenario()
    store = CatalogStore(
        CatalogDocument(revision_of(1, 90), b"7"),
        CatalogDocument(revision_of(1, 95), b"9"),
        StoreError(StoreErrorKind.HISTORY_GONE, "status 410"),
        CatalogDocument(revision_of(2, 90), b"7"),
        CatalogDocument(revision_of(2, 91), b"8"),
        CatalogDocument(revision_of(2, 92), b"9"),
        CatalogDocument(revision_of(2, 93), b"12"),
    )
    versions = []

    def adopt_catalog(content, _source):
        scenario.view.adopt_catalog(store.decode_catalog(content), 0)
        versions.append(scenario.view.catalog.version)
        return int(content)

    scenario.reader._store = store
    scenario.reader._link.adopt_catalog = adopt_catalog
    reader = ConfigurationReader(
        scenario.reader,
        scenario.reader._link,
        scenario.view,
        ConfigurationTimings.from_bound(3_000),
        scenario.clock,
        scenario.log,
    )
    with pytest.raises(EndOfReadsError):
        reader.run_watch()
    assert versions == [7, 9, 9, 9, 9, 12]
    assert store.calls == [
        "read",
        revision_of(1, 90),
        revision_of(1, 95),
        "read",
        revision_of(2, 90),
        revision_of(2, 91),
        revision_of(2, 92),
        revision_of(2, 93),
    ]


def make_reader_that_removed(removed_count):
    """Return a store reader of a fleet of five whose remaining hosts respond to it."""
    reader, view, clock, _ = make_reader()
    clock.advance_to(40_000)
    for number in range(2, 6):
        address = (f"10.0.0.{number}", 7000)
        view.peers.register(f"h{number}", address, 10_000)
        if number < 2 + removed_count:
            view.remove_host(address, 40_000)
        else:
            view.receive(Heartbeat(f"h{number}", 1, 5, echo_ms=39_900), address, 40_000)
    return reader


def test_store_reader_confirms_primaries_while_removed_hosts_leave_no_two_thirds():
    """Otherwise the hosts that remain lose their leases though the store is reachable."""
    assert make_reader_that_removed(2).must_confirm(40_000)


def test_store_is_not_read_while_heartbeats_renew_the_leases():
    assert not make_reader_that_removed(0).must_confirm(40_000)
    assert not make_reader_that_removed(1).must_confirm(40_000)
