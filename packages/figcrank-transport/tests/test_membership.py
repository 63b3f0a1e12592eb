"""Tests the removal of permanently gone hosts and of hosts that were removed although alive."""

import random

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
    NEW_ERA_CHECK_SPREAD_MS,
    NEW_ERA_SETTLING_MS,
    OWNERS_LOST_MS,
    TAKEOVER_ALONE_MS,
    TAKEOVER_SPREAD_MS,
    TAKEOVER_WAIT_MS,
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
        self.heard = True  # another relay
        self.answers = True
        self.answering = set()
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

    def has_any_answered(self, since_ms):
        return self.answers

    def query_all(self):
        pass

    def has_answered(self, host_address, since_ms):
        return host_address in self.answering

    def has_heard(self, since_ms):
        return self.heard or bool(self.answering)

    def announce_relay(self):
        self.announced = True


class Scenario:
    """Host ``h1`` of four hosts, the last of which never sends a heartbeat by default."""

    def __init__(self, name="h1", alive=(2, 3), listed=(1, 2, 3, 4), role=HostRole.OWNER):
        self.clock = ManualClock(0)
        self.view = FleetView(name, 1, address(1), availability_zone="zone-1")
        self.view.role = role
        self.store = FakeStore(*listed)
        log = EventLog(name, self.clock, len)
        self.reader = reader = StoreReader(
            self.store, None, self.view, None, self.clock, log, Metrics()
        )
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


def test_hosts_that_start_together_know_each_other():
    """Guards against a fleet that falls apart when its hosts start at the same time.

    Seen in a run of the platform's tests: two of three hosts listed the seats before either had
    taken one, and neither learned of the other. Each was a majority by itself.
    """
    scenario = Scenario(listed=(), role=HostRole.UNDECIDED)
    take_seat = scenario.store.take_seat

    def take_seat_after_another_host(*arguments):
        scenario.store.entries[2] = SeatEntry("zone-2.0", owner(2), 2)
        take_seat(*arguments)

    scenario.store.take_seat = take_seat_after_another_host
    scenario.membership.decide_role([])
    assert scenario.became == ["owner"]
    assert scenario.view.peers.by_address(address(2)) is not None


def test_host_that_cannot_list_the_seats_after_taking_one_is_no_owner_yet(monkeypatch):
    monkeypatch.setattr("eventlet.sleep", lambda _seconds: None)
    scenario = Scenario(listed=(2,), role=HostRole.UNDECIDED)
    list_seats = scenario.store.list_seats
    listings = iter([list_seats, StoreError(StoreErrorKind.UNKNOWN, "lost"), list_seats])
    roles = []

    def list_or_fail():
        roles.append(scenario.view.role)
        listing = next(listings)
        if isinstance(listing, StoreError):
            raise listing
        return listing()

    scenario.store.list_seats = list_or_fail
    scenario.membership.decide_role([])
    assert roles == 3 * [HostRole.UNDECIDED]
    assert scenario.store.calls == ["list", "take", "list"]
    assert scenario.became == ["owner"]


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


def lost(*known):
    """Return a relay of zone 1, whose seat owner 7 holds, that finds no usable owner."""
    scenario = relay(1, *known)
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 8)
    scenario.tracker.usable = False
    return scenario


LOST_MS = OWNERS_LOST_MS + TAKEOVER_WAIT_MS + TAKEOVER_SPREAD_MS + 2_000


def test_relay_takes_over_a_seat_of_its_zone_once_all_owners_are_gone_for_good():
    """Guards against a fleet without owners until someone removes the entries by hand."""
    scenario = lost(2, 3)
    check_relay(scenario, OWNERS_LOST_MS + TAKEOVER_WAIT_MS - 1_000)
    assert scenario.became == []
    end_ms = scenario.clock.now_ms() + TAKEOVER_SPREAD_MS + 2_000
    while not scenario.became and scenario.clock.now_ms() < end_ms:
        check_relay(scenario, 1_000)
    assert scenario.became == ["owner"]
    assert scenario.store.entries[1].owner == scenario.view.itself
    assert scenario.store.calls == ["list", "list", "take", "list"]
    assert scenario.view.was_removed(address(7))  # which it learns from the heartbeats
    assert scenario.view.removed_host_count() == 1  # and it still counts for leases


def test_seats_are_taken_over_also_where_no_caller_has_met_the_lost_owners():
    """Guards against a relay that takes silent owners for usable, as no session has failed."""
    scenario = lost(2, 3)
    scenario.tracker.usable, scenario.tracker.answers = True, False
    check_relay(scenario, LOST_MS)
    assert scenario.became == ["owner"]


def test_no_seat_is_taken_over_while_an_owner_of_any_zone_answers():
    """Guards against live owners that are stopped while they refuse sessions for a while."""
    scenario = lost(2, 3)
    check_relay(scenario, OWNERS_LOST_MS + 1_000)
    scenario.tracker.answering = {address(3)}
    check_relay(scenario, 3 * LOST_MS)
    assert scenario.became == []


def test_relay_that_hears_no_host_at_all_waits_longer():
    """Guards against a relay that is cut off, and takes the seat of an owner that serves."""
    scenario = lost(2, 3)
    scenario.tracker.heard = False
    check_relay(scenario, LOST_MS)
    assert scenario.became == []
    check_relay(scenario, TAKEOVER_ALONE_MS)
    assert scenario.became == ["owner"]


def test_seat_that_another_relay_has_taken_over_is_left_to_it():
    scenario = lost(2, 3)
    check_relay(scenario, OWNERS_LOST_MS + 1_000)
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(8), 9)
    check_relay(scenario, LOST_MS - OWNERS_LOST_MS)
    assert scenario.became == []
    assert owner(8) in scenario.tracker.known


def test_relay_whose_write_came_too_late_tries_the_other_seats():
    scenario = lost(2, 3)

    def fail(_seat, _taker, _replaced):
        scenario.store.entries[1] = SeatEntry("zone-1.0", owner(8), 9)
        raise StoreError(StoreErrorKind.CONFLICT, "status 409")

    scenario.store.take_seat = fail
    check_relay(scenario, LOST_MS + 2_000)
    assert scenario.became == []
    assert owner(8) in scenario.tracker.known


def test_no_seat_is_taken_over_shortly_after_a_new_era_of_the_store():
    """Guards against the entries of a copy, which may name owners that left long ago."""
    scenario = lost(2, 3)
    scenario.reader.era_is_settled = lambda _now_ms, _for_ms: False
    check_relay(scenario, 2 * LOST_MS)
    assert scenario.became == []


def alone(listed):
    """Return an owner of a fleet with relays that hears no other owner."""
    scenario = Scenario(alive=(), listed=listed)
    scenario.view.ownership.record_relay(0)
    return scenario


def test_owner_that_hears_no_other_stops_if_its_seat_was_taken_over():
    """Guards against an owner that comes back alone and serves beside those that replaced it."""
    scenario = alone(listed=(2, 3, 4))
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 8)
    for _ in range(OWNERS_LOST_MS // 1_000 + 1):
        scenario.wait(1_000)
    assert scenario.became == ["stopped"]


def test_owner_that_hears_no_other_goes_on_while_it_has_its_seat():
    scenario = alone(listed=(1, 2, 3, 4))
    for _ in range(14):
        scenario.wait(1_000)
    assert scenario.became == []
    assert scenario.store.calls == ["list"]


def test_owner_of_a_fleet_without_relays_does_not_check_its_seat():
    scenario = Scenario(alive=())
    for _ in range(14):
        scenario.wait(1_000)
    assert scenario.store.calls == []


def test_owner_whose_seat_another_host_holds_stops():
    scenario = Scenario(alive=(2, 3, 4), listed=(2, 3, 4))
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 8)
    scenario.link.is_removed = True
    scenario.wait(REMOVAL_CANDIDATE_MS + 1_000)
    assert scenario.became == ["stopped"]


def returned(listed, name="z", alive=(2, 3, 4), removed=()):
    """Return a scenario whose store has just come back from an older copy.

    :param listed: numbers of the owners in the copy.
    :param name: ``h1`` for the host that reads the store for all others.
    :param removed: numbers of the owners that were removed for good before.
    """
    random.seed(27)
    scenario = Scenario(name=name, alive=alive, listed=listed)
    scenario.reader.call("list_seats")
    scenario.store.calls.clear()
    for number in removed:
        scenario.view.peers.register(f"h{number}", address(number), 0)
        scenario.clock.advance_to(REMOVAL_CANDIDATE_MS)
        assert scenario.view.remove_host(address(number), REMOVAL_CANDIDATE_MS)
    scenario.wait(100)
    scenario.store.era = 1
    scenario.reader._notice_era()
    return scenario


def check_owner(scenario, for_ms=NEW_ERA_CHECK_SPREAD_MS + 2_000):
    for _ in range(for_ms // 1_000):
        scenario.wait(1_000)


def test_owner_checks_the_listing_once_after_a_new_era():
    scenario = returned(listed=(2, 3, 4))
    scenario.store.entries[1] = SeatEntry("zone-1.0", scenario.view.itself, 1)
    check_owner(scenario, 60_000)
    assert scenario.store.calls == ["list"]
    scenario.store.era = 2
    scenario.reader._notice_era()
    check_owner(scenario)
    assert scenario.store.calls == ["list", "list"]


def test_owners_check_the_listing_at_different_times(monkeypatch):
    """Guards against a whole fleet that reads the listing at once when the store is back."""
    drawn = []
    monkeypatch.setattr(
        "random.uniform", lambda low, high: drawn.append((low, high)) or high - 1_000
    )
    scenario = returned(listed=(2, 3, 4))
    check_owner(scenario, NEW_ERA_CHECK_SPREAD_MS - 1_000)
    assert scenario.store.calls == []
    check_owner(scenario, 2_000)
    assert scenario.store.calls[0] == "list"
    assert drawn == [(0, NEW_ERA_CHECK_SPREAD_MS)]


def test_owner_takes_the_seat_again_that_the_store_has_lost():
    scenario = returned(listed=(2, 3, 4))
    check_owner(scenario, 60_000)
    assert scenario.store.calls == ["list", "take", "list"]
    assert scenario.store.entries[1].owner == scenario.view.itself
    assert scenario.became == []


def test_owner_that_takes_its_seat_again_knows_a_host_that_starts_at_the_same_time():
    scenario = returned(listed=(2, 3, 4))
    take_seat = scenario.store.take_seat

    def take_seat_after_another_host(*arguments):
        scenario.store.entries[5] = SeatEntry("zone-5.0", owner(5), 5)
        take_seat(*arguments)

    scenario.store.take_seat = take_seat_after_another_host
    check_owner(scenario)
    assert scenario.view.peers.by_address(address(5)) is not None


def test_owner_whose_lost_seat_a_live_owner_holds_stops():
    scenario = returned(listed=(2, 3, 4), alive=(2, 3, 4, 7))
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 8)
    check_owner(scenario)
    assert "take" not in scenario.store.calls
    assert scenario.became[:1] == ["stopped"]


def test_owner_goes_on_while_a_silent_owner_of_before_holds_its_seat():
    """Guards against an owner that stops because a copy names a predecessor that is gone."""
    scenario = returned(listed=(2, 3, 4))
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 8)
    check_owner(scenario, NEW_ERA_SETTLING_MS - 1_000)
    assert scenario.became == []
    assert "take" not in scenario.store.calls
    del scenario.store.entries[1]
    check_owner(scenario)
    assert scenario.store.entries[1].owner == scenario.view.itself
    assert scenario.became == []


def test_seat_that_a_removed_owner_holds_again_is_taken_from_it():
    scenario = returned(listed=(2, 3, 4), removed=(7,))
    scenario.store.entries[1] = SeatEntry("zone-1.0", owner(7), 8)
    taken = []
    scenario.store.take_seat = lambda *arguments: taken.append(arguments)
    check_owner(scenario)
    assert taken[0] == ("zone-1.0", scenario.view.itself, SeatEntry("zone-1.0", owner(7), 8))
    assert scenario.became == []


@pytest.mark.parametrize("kind", [StoreErrorKind.CONFLICT, StoreErrorKind.UNKNOWN])
def test_seat_that_could_not_be_taken_again_is_tried_again(kind):
    scenario = returned(listed=(2, 3, 4))
    take_seat = scenario.store.take_seat

    def fail(*_arguments):
        scenario.store.take_seat = take_seat
        raise StoreError(kind, "refused")

    scenario.store.take_seat = fail
    for _ in range(3):
        try:
            check_owner(scenario)
        except StoreError:
            continue
    assert scenario.store.entries[1].owner == scenario.view.itself
    assert scenario.became == []


def test_first_reader_removes_entries_of_removed_owners_again():
    scenario = returned(listed=(1, 2, 3, 4, 5), name="h1", removed=(5,))
    check_owner(scenario, 60_000)
    assert scenario.store.calls == ["list", "remove"]
    assert 5 not in scenario.store.entries
    assert scenario.view.host_count() == 4


def test_other_owners_wait_until_the_first_reader_has_removed_the_entries():
    """Guards against a removed owner that counts as a member again at some hosts for ever."""
    scenario = returned(listed=(2, 3, 4, 5), removed=(5,))
    scenario.store.entries[1] = SeatEntry("zone-1.0", scenario.view.itself, 1)
    check_owner(scenario)
    assert set(scenario.store.calls) == {"list"}
    assert scenario.view.host_count() == 4
    del scenario.store.entries[5]
    check_owner(scenario)
    scenario.store.calls.clear()
    check_owner(scenario, 30_000)
    assert scenario.store.calls == []
    assert scenario.view.host_count() == 4


def test_removed_owner_that_has_registered_again_after_the_new_era_is_a_member():
    scenario = returned(listed=(1, 2, 3, 4, 5), name="h1", removed=(5,))
    scenario.store.rewritten = True
    check_owner(scenario)
    assert 5 in scenario.store.entries
    assert scenario.view.host_count() == 5


def test_returned_entry_that_nobody_removes_counts_as_a_silent_member_in_the_end():
    """Otherwise no host would ever remove the entry, and its seat would stay taken."""
    scenario = returned(listed=(2, 3, 4, 5), removed=(5,))
    scenario.store.entries[1] = SeatEntry("zone-1.0", scenario.view.itself, 1)
    check_owner(scenario, NEW_ERA_SETTLING_MS + NEW_ERA_CHECK_SPREAD_MS + 2_000)
    assert scenario.view.host_count() == 5


def test_silent_owner_that_an_old_copy_lacks_is_not_removed_at_once():
    scenario = Scenario(name="z", listed=(2, 3, 4))
    scenario.store.entries[1] = SeatEntry("zone-1.0", scenario.view.itself, 1)
    scenario.reader.call("list_seats")
    scenario.wait(FALLBACK_LISTING_MS)
    scenario.store.era = 1
    scenario.reader._notice_era()
    lost = scenario.store.entries.pop(4)
    check_owner(scenario, NEW_ERA_SETTLING_MS - 1_000)
    assert scenario.link.removed == []
    scenario.store.entries[4] = lost
    check_owner(scenario, LISTING_INTERVAL_MS)
    assert scenario.link.removed == []
    del scenario.store.entries[4]
    check_owner(scenario, 2 * LISTING_INTERVAL_MS)
    assert scenario.link.removed == [address(4)]


def test_owner_restarted_by_a_seeds_word_checks_the_listing_of_a_store_with_eras():
    """Guards against an owner that restarts right after its entry was lost and stays unlisted."""
    scenario = joining(listed=(2, 3), seeds=(1, 2, 3))
    scenario.store.era = 3
    scenario.reader.call("list_seats")
    scenario.store.calls.clear()
    check_owner(scenario)
    assert scenario.store.calls == ["list", "take", "list"]


def test_first_reader_that_reaches_less_than_a_third_removes_no_entry_after_a_new_era():
    scenario = returned(listed=(1, 2, 3, 4, 5), name="h1", alive=(), removed=(5,))
    check_owner(scenario)
    assert set(scenario.store.calls) == {"list"}


def test_entry_of_a_removed_owner_that_sends_heartbeats_again_is_kept():
    scenario = returned(listed=(1, 2, 3, 4, 5), name="h1", alive=(2, 3, 4, 5), removed=(5,))
    check_owner(scenario)
    assert scenario.store.calls == ["list"]
    assert scenario.view.host_count() == 5


def test_first_reader_takes_its_seat_after_it_has_removed_the_silent_owner_of_before():
    scenario = returned(listed=(2, 3, 4), name="h1")
    scenario.store.entries[8] = SeatEntry("zone-1.0", owner(7), 8)
    check_owner(scenario, 3 * LISTING_INTERVAL_MS)
    assert 8 not in scenario.store.entries
    assert scenario.store.entries[1].owner == scenario.view.itself
    assert scenario.became == []


def test_host_that_joined_by_the_listing_does_not_check_it_again():
    scenario = Scenario(listed=(2, 3), role=HostRole.UNDECIDED)
    scenario.store.era = 3
    scenario.membership.decide_role([])
    scenario.store.calls.clear()
    check_owner(scenario)
    assert scenario.store.calls == []
