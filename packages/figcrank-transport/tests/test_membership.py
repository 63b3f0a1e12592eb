"""Hosts that are gone for good, and hosts that only seem so."""

import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.peers import FORGET_MS
from figcrank.protocol.heartbeats import Heartbeat
from figcrank.state import ManualClock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._membership import (
    FALLBACK_LISTING_MS,
    LISTING_INTERVAL_MS,
    Membership,
)
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._ports import HostEntry, StoreError, StoreErrorKind
from figcrank.transport.streams._store_reader import StoreReader


def address(number):
    return (f"10.0.0.{number}", 7000)


class Listing:
    """The store's hosts; ``calls`` names the calls that were made."""

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


class Link:
    """Takes removals to the view, as the real one does."""

    def __init__(self, view, clock):
        self.view, self.clock = view, clock
        self.is_removed = False
        self.removed = []

    def remove(self, host_address, source):
        if self.view.remove_host(host_address, self.clock.now_ms()):
            self.removed.append(host_address)


class Fixture:
    """Host ``h1`` of four, of which the last was never heard."""

    def __init__(self, name="h1", heard=(2, 3), listed=(1, 2, 3, 4)):
        self.clock = ManualClock(0)
        self.view = FleetView(name, 1, address(1))
        self.store = Listing(*listed)
        log = EventLog(name, self.clock, len)
        loop = StoreReader(self.store, None, self.view, None, self.clock, log, Metrics())
        self.link = Link(self.view, self.clock)
        self.membership = Membership(name, address(1), loop, self.link, self.view, self.clock, log)
        for number in (2, 3, 4):
            self.view.peers.register(f"h{number}", address(number), 0)
        self.heard = heard

    def wait(self, for_ms):
        self.clock.advance_to(self.clock.now_ms() + for_ms)
        now_ms = self.clock.now_ms()
        for number in self.heard:
            self.view.receive(Heartbeat(f"h{number}", 1, now_ms), address(number), now_ms)
        self.membership.check_hosts(now_ms)


def test_the_first_reader_removes_the_entry_of_a_host_that_is_silent_for_long():
    fixture = Fixture()
    fixture.wait(FORGET_MS)
    assert fixture.store.calls == []
    fixture.wait(1_000)
    assert fixture.store.calls == ["list", "remove"]
    assert fixture.link.removed == [address(4)]
    fixture.wait(LISTING_INTERVAL_MS)
    assert fixture.store.calls == ["list", "remove"]


def test_another_host_drops_it_only_once_the_store_lists_it_no_more():
    fixture = Fixture(name="z")
    fixture.wait(FORGET_MS + 1_000)
    assert fixture.store.calls == []
    fixture.wait(FALLBACK_LISTING_MS)
    assert fixture.store.calls == ["list"]
    assert fixture.link.removed == []
    del fixture.store.entries[4]
    fixture.wait(LISTING_INTERVAL_MS)
    assert fixture.link.removed == [address(4)]


def test_a_host_that_hears_fewer_than_a_third_drops_nobody():
    fixture = Fixture(heard=())
    fixture.wait(10 * FORGET_MS)
    assert fixture.store.calls == []
    assert fixture.view.hosts() == 4


def test_a_host_that_registered_anew_meanwhile_is_kept():
    fixture = Fixture()
    fixture.store.rewritten = True
    fixture.wait(FORGET_MS + 1_000)
    assert fixture.link.removed == []


def test_a_host_that_was_taken_for_gone_registers_again_but_not_over_and_over():
    fixture = Fixture(heard=(2, 3, 4))
    fixture.wait(FORGET_MS + 1_000)
    for _ in range(5):
        fixture.link.is_removed = True
        fixture.wait(1_000)
    assert fixture.store.calls == ["register"]


def test_a_host_that_misses_its_own_entry_writes_it():
    fixture = Fixture(listed=(2, 3, 4))
    fixture.wait(FORGET_MS + 1_000)
    assert fixture.store.calls == ["list", "register", "remove"]


@pytest.mark.parametrize("kind", [StoreErrorKind.NOT_DONE, StoreErrorKind.UNKNOWN])
def test_nobody_is_dropped_while_the_store_is_away(kind):
    fixture = Fixture()

    def fail(_entry):
        raise StoreError(kind, "away")

    fixture.store.remove_host = fail
    with pytest.raises(StoreError):
        fixture.wait(FORGET_MS + 1_000)
    assert fixture.view.hosts() == 4
