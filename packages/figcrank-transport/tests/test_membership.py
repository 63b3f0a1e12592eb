"""Tests the removal of permanently gone hosts and of hosts that were removed although alive."""

import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.owners import HostRole
from figcrank.coordination.peers import REMOVAL_CANDIDATE_MS
from figcrank.protocol.heartbeats import Heartbeat
from figcrank.protocol.owners import Owner, SeatEntry
from figcrank.state import ManualClock
from figcrank.transport.streams._interfaces import StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._membership import (
    FALLBACK_LISTING_MS,
    FREE_SEAT_SPREAD_MS,
    LISTING_INTERVAL_MS,
    OWNERS_LOST_MS,
    Membership,
)
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._store_reader import StoreReader


def address(number):
    return (f"10.0.0.{number}", 7000)


def owner(number):
    return Owner(f"h{number}", address(number), f"zone-{number}")


class FakeStore:
    """Store with a listing of seats, one per availability zone, that records its calls."""

    era = 0

    def __init__(self, *numbers):
        self.entries = {n: SeatEntry(f"zone-{n}.0", owner(n), n) for n in numbers}
        self.calls = []
        self.rewritten = False

    def list_seats(self):
        self.calls.append("list")
        return list(self.entries.values())

    def take_seat(self, seat, taker, replaced):
        self.calls.append("take")
        if replaced is None and any(entry.seat == seat for entry in self.entries.values()):
            raise StoreError(StoreErrorKind.CONFLICT, "status 409")
        number = int(seat.removeprefix("zone-").removesuffix(".0"))
        self.entries[number] = SeatEntry(seat, taker, 99)

    def remove_seat(self, entry):
        self.calls.append("remove")
        if self.rewritten:
            raise StoreError(StoreErrorKind.CONFLICT, "status 409")
        del self.entries[entry.revision]


class FakeLink:
    """Applies registrations and removals to the view, as :class:`PeerLink` does."""

    def __init__(self, view, clock):
        self.view, self.clock = view, clock
        self.is_removed = False
        self.removed = []

    def register(self, other):
        self.view.peers.register(other.name, other.address, self.clock.now_ms())

    def remove(self, host_address, source):
        if self.view.remove_host(host_address, self.clock.now_ms()):
            self.removed.append(host_address)

    def broadcast_heartbeat(self):
        pass


class FakeTracker:
    """The owners that a relay knows."""

    def __init__(self):
        self.known = []
        self.usable = True
        self.queried = []

    def query(self, ip):
        self.queried.append(ip)

    def wait(self, wait_ms):
        pass

    def owners(self):
        return self.known

    def update(self, owners):
        self.known = owners

    def is_usable(self):
        return self.usable


class Scenario:
    """Host ``h1`` of four hosts, the last of which never sends a heartbeat by default."""

    def __init__(self, name="h1", alive=(2, 3), listed=(1, 2, 3, 4), role=HostRole.OWNER):
        self.clock = ManualClock(0)
        self.view = FleetView(name, 1, address(1), availability_zone="zone-1")
        self.view.role = role
        self.store = FakeStore(*listed)
        log = EventLog(name, self.clock, len)
        reader = StoreReader(self.store, None, self.view, None, self.clock, log, Metrics())
        self.link = FakeLink(self.view, self.clock)
        self.tracker = FakeTracker()
        self.became = []
        self.membership = Membership(
            self.view.itself,
            1,
            reader,
            self.link,
            self.view,
            self.tracker,
            self.clock,
            log,
            lambda: self.became.append("owner"),
            lambda: self.became.append("stopped"),
        )
        if role is HostRole.OWNER:
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
    scenario = Scenario(alive=(2, 3, 4), listed=(2, 3, 4))
    scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    for _ in range(5):
        scenario.link.is_removed = True
        scenario.wait(1_000)
    assert scenario.store.calls == ["list", "take"]
    assert scenario.store.entries[1].owner == scenario.view.itself


def test_host_restores_its_own_missing_entry():
    scenario = Scenario(listed=(2, 3, 4))
    scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    assert scenario.store.calls == ["list", "take", "remove"]


@pytest.mark.parametrize("kind", [StoreErrorKind.NOT_DONE, StoreErrorKind.UNKNOWN])
def test_no_host_is_removed_while_the_store_is_unavailable(kind):
    scenario = Scenario()

    def fail(_entry):
        raise StoreError(kind, "unavailable")

    scenario.store.remove_seat = fail
    with pytest.raises(StoreError):
        scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    assert scenario.view.host_count() == 4


def joining(listed, seeds=()):
    """Return a scenario in which a host starts.

    :param listed: numbers of the owners in the store.
    :param seeds: numbers of the owners that a seed reports.
    """
    scenario = Scenario(listed=listed, role=HostRole.UNDECIDED)
    scenario.tracker.known = [owner(number) for number in seeds]
    scenario.membership.decide_role(["10.0.0.9"])
    return scenario


def test_starting_host_takes_a_free_seat_of_its_zone():
    scenario = joining(listed=(2, 3))
    assert scenario.became == ["owner"]
    assert scenario.store.entries[1].owner == scenario.view.itself
    assert scenario.view.host_count() == 3


def test_starting_host_becomes_a_relay_if_the_seats_of_its_zone_are_taken():
    scenario = Scenario(listed=(2, 3), role=HostRole.UNDECIDED)
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 5)
    scenario.membership.decide_role([])
    assert scenario.view.role is HostRole.RELAY
    assert scenario.became == []
    assert scenario.store.calls == ["list"]
    assert owner(7) in scenario.tracker.known


def test_host_that_finds_its_seat_taken_meanwhile_becomes_a_relay():
    scenario = Scenario(listed=(2, 3), role=HostRole.UNDECIDED)
    listed = scenario.store.list_seats()
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 5)
    listings = iter([listed, list(scenario.store.entries.values())])
    scenario.store.list_seats = lambda: next(listings)
    scenario.membership.decide_role([])
    assert scenario.view.role is HostRole.RELAY


def test_restarted_owner_keeps_its_seat_without_a_store_call_if_a_seed_lists_it():
    scenario = joining(listed=(), seeds=(1, 2, 3))
    assert scenario.became == ["owner"]
    assert scenario.store.calls == []
    assert scenario.view.host_count() == 3


def test_host_restarted_at_another_address_replaces_its_own_entry():
    scenario = Scenario(listed=(2, 3), role=HostRole.UNDECIDED)
    moved = Owner("h1", ("10.0.0.77", 7000), "zone-1")
    scenario.store.entries[1] = SeatEntry("zone-1.0", moved, 5)
    scenario.membership.decide_role([])
    assert scenario.became == ["owner"]
    assert scenario.store.entries[1].owner.address == address(1)


def relay(*known):
    scenario = Scenario(role=HostRole.RELAY, listed=known)
    scenario.tracker.known = [owner(number) for number in known]
    return scenario


def check_relay(scenario, for_ms):
    end_ms = scenario.clock.now_ms() + for_ms
    while scenario.clock.now_ms() < end_ms:
        scenario.clock.advance_to(scenario.clock.now_ms() + 1_000)
        scenario.membership.check_seats(scenario.clock.now_ms())


def test_relay_takes_a_seat_that_has_become_free():
    scenario = relay(2, 3)
    check_relay(scenario, FREE_SEAT_SPREAD_MS + 1_000)
    assert scenario.became == ["owner"]
    assert scenario.view.host_count() == 3


def test_relay_makes_no_store_call_while_every_seat_of_its_zone_is_taken():
    scenario = relay(1, 2, 3)
    check_relay(scenario, 60_000)
    assert scenario.store.calls == []


def test_relay_without_a_usable_owner_reads_the_listing():
    scenario = relay(1, 2, 3)
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 8)
    scenario.tracker.usable = False
    check_relay(scenario, OWNERS_LOST_MS + 1_000)
    assert scenario.store.calls == ["list"]
    assert owner(7) in scenario.tracker.known


def test_owner_whose_seat_another_host_holds_stops():
    scenario = Scenario(alive=(2, 3, 4), listed=(2, 3, 4))
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 8)
    scenario.link.is_removed = True
    scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    assert scenario.became == ["stopped"]
