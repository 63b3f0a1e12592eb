import pytest

from figcrank.coordination.owners import choose_seat, has_free_seat, is_listed, seats_per_zone
from figcrank.coordination.owners._seats import TARGET_OWNERS
from figcrank.protocol.owners import Owner, SeatEntry


def host(number, zone="a"):
    return Owner(f"{zone}-{number}", (f"10.0.0.{number}", 7000), zone)


def fill(hosts, seats):
    """Let hosts choose seats one after the other; return the entries."""
    entries = []
    for candidate in hosts:
        seat = choose_seat(candidate, entries, seats)
        if seat is not None:
            entries.append(SeatEntry(seat.name, candidate, len(entries) + 1))
    return entries


@pytest.mark.parametrize(("zones", "seats"), [(0, 12), (1, 12), (3, 4), (4, 3), (5, 3), (19, 1)])
def test_seats_are_spread_evenly_over_the_zones(zones, seats):
    assert seats_per_zone(zones) == seats
    assert seats * max(1, zones) >= TARGET_OWNERS


def test_every_host_of_a_small_fleet_gets_a_seat():
    hosts = [host(number, zone) for zone in "abc" for number in range(3)]
    assert len(fill(hosts, seats_per_zone(3))) == 9


def test_owners_of_a_large_fleet_are_as_many_as_seats_in_each_zone():
    hosts = [host(number, zone) for zone in "abcde" for number in range(39)]
    entries = fill(hosts, seats_per_zone(5))
    assert len(entries) == 15
    assert len({entry.seat for entry in entries}) == 15
    assert {entry.owner.availability_zone for entry in entries} == set("abcde")


def test_hosts_that_start_together_choose_different_seats():
    chosen = {choose_seat(host(number), [], 4).name for number in range(40)}
    assert len(chosen) == 4


def test_host_at_a_new_address_keeps_its_seat_under_the_condition_of_its_entry():
    old = SeatEntry("a.2", host(1), 9)
    moved = Owner("a-1", ("10.0.0.99", 7000), "a")
    assert not is_listed(moved, [old.owner])
    seat = choose_seat(moved, [old], 4)
    assert (seat.name, seat.replaced) == ("a.2", old)


def test_seat_is_free_until_as_many_owners_as_seats_are_known_in_the_zone():
    owners = [host(1), host(2), host(3, "b")]
    assert has_free_seat("a", owners, 3)
    assert not has_free_seat("a", owners, 2)
