"""The first store reader lists the evacuations; peers adopt them."""

import json
from dataclasses import replace

import pytest

from figcrank.coordination.evacuation import EvacuationEntry, EvacuationListing, ZoneUse
from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import (
    NEVER_MS,
    Evacuations,
    Heartbeat,
    HeartbeatExtension,
    decode_heartbeat,
    encode_heartbeat,
)
from figcrank.state import ManualClock, revision_of
from figcrank.transport.streams._evacuation_reader import (
    PEER_WAIT_MS,
    POLL_INTERVAL_MS,
    EvacuationReader,
)
from figcrank.transport.streams._interfaces import StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._store_reader import (
    NEW_ERA_POLL_INTERVAL_MS,
    RECOVERY_GRACE_MS,
    StoreReader,
)

PEER = ("127.0.0.9", 7000)
BOUND_MS = 5_000


class Store:
    """Store with a list of evacuations; ``down`` makes its calls fail."""

    def __init__(self):
        self.era = 1
        self.number = 5
        self.entries = {}
        self.down = False
        self.calls = 0

    def list_evacuations(self):
        self.calls += 1
        if self.down:
            raise StoreError(StoreErrorKind.NOT_DONE, "status 503")
        return EvacuationListing(revision_of(self.era, self.number), tuple(self.entries.values()))

    def evacuate(self, zone, problem=""):
        self.number += 1
        self.entries[zone] = EvacuationEntry(zone, revision_of(self.era, self.number), problem)

    def withdraw(self, zone):
        self.number += 1
        del self.entries[zone]

    def restore(self, number, *zones):
        """Come back from an older copy, in a new era."""
        self.era += 1
        self.number = number
        self.entries = {}
        for zone in zones:
            self.evacuate(zone)


class FakeRouter:
    def __init__(self):
        self.ticks = 0

    def tick(self):
        self.ticks += 1

    def notify_primary_change(self):
        pass


class Host:
    """A host that reads the store; its heartbeats go nowhere."""

    def __init__(self, store, name="a"):
        self.clock = ManualClock(10_000)
        self.view = FleetView(name, 1, ("127.0.0.1", 0), evacuation_ms=BOUND_MS)
        self.lines = []
        log = EventLog(name, self.clock, len)
        log.event = lambda event, **fields: self.lines.append((event, fields))
        self.metrics = Metrics()
        self.store = store
        self.link = PeerLink(("127.0.0.1", 0), self.view, FakeRouter(), store, self.clock, log)
        self.link.broadcast_heartbeat = lambda: None
        reader = StoreReader(
            store, self.link, self.view, FakeRouter(), self.clock, log, self.metrics
        )
        self.reader = EvacuationReader(
            reader, self.link, self.view, ("zone-a", "zone-b"), self.clock, log, self.metrics
        )

    def read_at(self, now_ms):
        self.clock.advance_to(now_ms)
        return self.reader.read()

    def hear(self, extension, echo_ms=NEVER_MS, boot_id=2, sent_ms=1):
        heartbeat = Heartbeat("b", boot_id, sent_ms, echo_ms, extension=extension)
        self.view.receive(heartbeat, PEER, self.clock.now_ms())
        self.link._adopt_from_heartbeat(heartbeat, PEER)

    def events(self, name):
        return [fields for event, fields in self.lines if event == name]

    def use_of(self, zone):
        return self.view.evacuation.use_of(zone, self.clock.now_ms())


@pytest.fixture
def host():
    host = Host(Store())
    yield host
    host.link._socket.close()


def settle(host):
    """Read until the lists count as complete; return the time of the last reading."""
    host.read_at(10_000)
    host.read_at(10_000 + RECOVERY_GRACE_MS + 1)
    return host.clock.now_ms()


def test_listed_evacuation_is_adopted_and_its_removal_ends_it(host):
    now_ms = settle(host)
    host.store.evacuate("zone-a")
    assert host.read_at(now_ms + POLL_INTERVAL_MS) == POLL_INTERVAL_MS
    assert host.use_of("zone-a") is ZoneUse.DRAINING
    (adopted,) = host.events("evacuation_adopted")
    assert (adopted["zone"], adopted["source"], adopted["stop_in_ms"]) == ("zone-a", "store", 2_500)
    host.store.withdraw("zone-a")
    host.read_at(now_ms + 2 * POLL_INTERVAL_MS)
    assert host.use_of("zone-a") is ZoneUse.OPEN
    assert [event["zone"] for event in host.events("evacuation_withdrawn")] == ["zone-a"]


def test_last_list_stays_in_force_while_the_store_is_away(host):
    now_ms = settle(host)
    host.store.evacuate("zone-a")
    host.read_at(now_ms + POLL_INTERVAL_MS)
    host.store.down = True
    assert host.read_at(now_ms + 2 * POLL_INTERVAL_MS) < POLL_INTERVAL_MS  # tried again soon
    host.read_at(now_ms + 30_000)
    assert host.use_of("zone-a") is ZoneUse.CLOSED
    assert host.events("evacuation_withdrawn") == []


def test_entry_that_the_store_has_lost_counts_as_withdrawn_only_after_it_can_be_written_again(host):
    """Guards against an evacuation that ends because the store came back from an older copy."""
    now_ms = settle(host)
    host.store.evacuate("zone-a")
    host.read_at(now_ms + 1_500)
    host.store.restore(3)
    assert host.read_at(now_ms + 3_000) == NEW_ERA_POLL_INTERVAL_MS
    host.read_at(now_ms + 3_000 + RECOVERY_GRACE_MS)
    assert "zone-a" in host.view.evacuation.zones
    host.read_at(now_ms + 3_000 + RECOVERY_GRACE_MS + 1)
    assert host.view.evacuation.zones == frozenset()


def test_evacuation_of_the_new_era_is_adopted_at_once(host):
    """Guards against a list that waits for the operator and misses the bound of a new entry."""
    now_ms = settle(host)
    host.store.evacuate("zone-a")
    host.read_at(now_ms + 1_500)
    host.store.restore(3, "zone-b")
    host.read_at(now_ms + 3_000)
    assert host.view.evacuation.zones == {"zone-a", "zone-b"}


def test_new_eras_list_of_a_host_that_has_just_started_does_not_end_an_evacuation(host):
    """Its first readings may be of a copy that has lost the entry; it does not know when it began.

    The lists reach a host that knew of the evacuation as heartbeats.
    """
    now_ms = settle(host)
    host.store.evacuate("zone-a")
    host.read_at(now_ms + 1_500)
    host.store.restore(3)
    started = Host(host.store, "b")
    started.read_at(20_000)
    host.hear(HeartbeatExtension(started.view.evacuations))
    assert "zone-a" in host.view.evacuation.zones
    started.read_at(20_000 + RECOVERY_GRACE_MS + 1)
    host.hear(HeartbeatExtension(started.view.evacuations), sent_ms=2)
    assert host.view.evacuation.zones == frozenset()
    started.link._socket.close()


def test_host_without_a_list_waits_for_a_peer_and_then_reads(host):
    host.view.peers.register("aa", PEER, 10_000)
    started_ms = host.clock.now_ms()
    host.hear(None)
    host.reader._store.must_list = lambda _now_ms: False
    assert not host.reader.must_read(started_ms + PEER_WAIT_MS - 1, started_ms)
    assert host.reader.must_read(started_ms + PEER_WAIT_MS, started_ms)
    host.hear(HeartbeatExtension(Evacuations(revision_of(1, 5))), sent_ms=2)
    assert not host.reader.must_read(started_ms + PEER_WAIT_MS, started_ms)


def test_host_lists_the_evacuations_though_an_earlier_release_reads_the_store_first(host):
    """Guards against a fleet in which no host lists them while it is being upgraded."""
    first = Heartbeat("A", 2, 1, reads_extension=False, registry_age_ms=0)  # sorts before "a"
    host.view.receive(first, PEER, host.clock.now_ms())
    assert host.reader.must_read(10_000, 10_000)
    host.view.receive(
        Heartbeat("A", 3, 2, extension=HeartbeatExtension(), registry_age_ms=0), PEER, 10_000
    )
    assert not host.reader.must_read(10_000, 10_000)


def test_evacuation_travels_in_heartbeats_and_the_view_page(host):
    """A host that restarts while the store is away has no other source."""
    host.read_at(10_000)
    host.store.evacuate("zone-a")
    host.read_at(12_600)
    host.view.peers.register("b", PEER, 10_000)
    peer = host.view.peers.by_address(PEER)
    peer.reads_extension = True
    sent = decode_heartbeat(encode_heartbeat(host.view.heartbeat_for(peer, 12_600)))
    assert sent.extension.evacuations.zones == {"zone-a"}
    page = json.loads(host.link.view_page({})[1])
    restarted = Host(host.store, "c")
    restarted.link._apply_peer_view(page, 10_000)
    assert restarted.view.evacuation.is_known
    assert restarted.use_of("zone-a") is ZoneUse.CLOSED
    restarted.link._socket.close()


def test_heartbeat_that_was_overtaken_does_not_make_its_list_younger(host):
    """Guards against a stop that counts from a time at which the peer had no such list."""
    listed = HeartbeatExtension(Evacuations(revision_of(1, 5)), evacuations_age_ms=100)
    host.hear(listed, echo_ms=9_000, sent_ms=2)
    assert host.view.evacuation.known_as_of_ms == 8_900
    host.hear(replace(listed, evacuations_age_ms=10), echo_ms=8_000, sent_ms=1)
    assert host.view.evacuation.known_as_of_ms == 8_900


def test_view_page_of_an_earlier_release_leaves_the_list_unknown(host):
    page = json.loads(host.link.view_page({})[1])
    del page["evacuations"]
    host.link._apply_peer_view(page, 10_000)
    assert not host.view.evacuation.is_known


def test_invalid_entry_is_reported_once_per_revision_and_changes_nothing(host):
    """Guards against a mistake in one entry that hides another one or fills the log."""
    now_ms = settle(host)
    host.store.evacuate("zone-a")
    host.store.evacuate("zone-x")
    host.store.evacuate("zone-b", "the spec is not an object")
    for number in range(1, 4):
        host.read_at(now_ms + number * POLL_INTERVAL_MS)
    assert host.view.evacuation.zones == {"zone-a"}
    ignored = host.events("evacuation_ignored")
    assert {event["zone"] for event in ignored} == {"zone-x", "zone-b"}
    assert len(ignored) == 2 and all(event["reason"] for event in ignored)
    assert "figcrank_evacuations_ignored_total{} 2" in host.metrics.render()
    host.store.evacuate("zone-x")
    host.read_at(now_ms + 5 * POLL_INTERVAL_MS)
    assert len(host.events("evacuation_ignored")) == 3
