"""Tests the removal of permanently gone hosts and of hosts that were removed although alive."""

import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.peers import REMOVAL_CANDIDATE_MS
from figcrank.protocol.heartbeats import Heartbeat
from figcrank.state import ManualClock
from figcrank.transport.streams._interfaces import HostEntry, StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._membership import (
    FALLBACK_LISTING_MS,
    LISTING_INTERVAL_MS,
    Membership,
)
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._store_reader import StoreReader


def address(number):
    return (f"10.0.0.{number}", 7000)


class FakeStore:
    """Store with a listing of hosts that records its calls."""

    def __init__(self, *numbers):
        self.entries = {n: HostEntry(f"h{n}", address(n), n) for n in numbers}
        self.calls = []
        self.rewritten = False

    def list_hosts(self):
        self.calls.append("list")
        return list(self.entries.values())

    def register_host(self, name, host_address):
        self.calls.append("register")
        self.entries[1] = HostEntry(name, host_address, 99)

    def remove_host(self, entry):
        self.calls.append("remove")
        if self.rewritten:
            raise StoreError(StoreErrorKind.CONFLICT, "status 409")
        del self.entries[entry.revision]


class FakeLink:
    """Applies removals to the view, as :class:`PeerLink` does."""

    def __init__(self, view, clock):
        self.view, self.clock = view, clock
        self.is_removed = False
        self.removed = []

    def remove(self, host_address, source):
        if self.view.remove_host(host_address, self.clock.now_ms()):
            self.removed.append(host_address)


class Scenario:
    """Host ``h1`` of four hosts, the last of which never sends a heartbeat by default."""

    def __init__(self, name="h1", alive=(2, 3), listed=(1, 2, 3, 4)):
        self.clock = ManualClock(0)
        self.view = FleetView(name, 1, address(1))
        self.store = FakeStore(*listed)
        log = EventLog(name, self.clock, len)
        reader = StoreReader(self.store, None, self.view, None, self.clock, log, Metrics())
        self.link = FakeLink(self.view, self.clock)
        self.membership = Membership(
            name, address(1), reader, self.link, self.view, self.clock, log
        )
        for number in (2, 3, 4):
            self.view.peers.register(f"h{number}", address(number), 0)
        self.alive = alive

    def wait(self, for_ms):
        self.clock.advance_to(self.clock.now_ms() + for_ms)
        now_ms = self.clock.now_ms()
        for number in self.alive:
            self.view.receive(Heartbeat(f"h{number}", 1, now_ms), address(number), now_ms)
        self.membership.check_hosts(now_ms)


def test_first_reader_removes_the_entry_of_a_silent_host():
    scenario = Scenario()
    scenario.wait(REMOVAL_CANDIDATE_MS)
    assert scenario.store.calls == []
    scenario.wait(1_000)
    assert scenario.store.calls == ["list", "remove"]
    assert scenario.link.removed == [address(4)]
    scenario.wait(LISTING_INTERVAL_MS)
    assert scenario.store.calls == ["list", "remove"]


def test_other_hosts_remove_a_silent_host_only_after_its_entry_is_gone():
    scenario = Scenario(name="z")
    scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    assert scenario.store.calls == []
    scenario.wait(FALLBACK_LISTING_MS)
    assert scenario.store.calls == ["list"]
    assert scenario.link.removed == []
    del scenario.store.entries[4]
    scenario.wait(LISTING_INTERVAL_MS)
    assert scenario.link.removed == [address(4)]


def test_host_that_reaches_less_than_a_third_removes_no_host():
    scenario = Scenario(alive=())
    scenario.wait(10 * REMOVAL_CANDIDATE_MS)
    assert scenario.store.calls == []
    assert scenario.view.host_count() == 4


def test_host_that_registered_again_meanwhile_is_kept():
    scenario = Scenario()
    scenario.store.rewritten = True
    scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    assert scenario.link.removed == []


def test_removed_host_registers_again_once_per_interval():
    scenario = Scenario(alive=(2, 3, 4))
    scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    for _ in range(5):
        scenario.link.is_removed = True
        scenario.wait(1_000)
    assert scenario.store.calls == ["register"]


def test_host_restores_its_own_missing_entry():
    scenario = Scenario(listed=(2, 3, 4))
    scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    assert scenario.store.calls == ["list", "register", "remove"]


@pytest.mark.parametrize("kind", [StoreErrorKind.NOT_DONE, StoreErrorKind.UNKNOWN])
def test_no_host_is_removed_while_the_store_is_unavailable(kind):
    scenario = Scenario()

    def fail(_entry):
        raise StoreError(kind, "unavailable")

    scenario.store.remove_host = fail
    with pytest.raises(StoreError):
        scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    assert scenario.view.host_count() == 4
