import pytest

from figcrank.coordination.limits._home_buckets import HomeBucket
from figcrank.coordination.limits._slices import RETURN_UNUSED_AFTER_MS, HeldSlices
from figcrank.protocol import Demand, Slice
from figcrank.state import MILLI, Workspace

CREW = Workspace("crew", 100, 20)
LEASE_MS = 300


def full_bucket():
    return HomeBucket(CREW, LEASE_MS, 20 * MILLI, 0)


def lend(bucket, borrower, tokens, slice_id, now_ms=0, seq=None):
    assert bucket.record_demand(borrower, seq or slice_id, tokens * MILLI, 0, now_ms)
    return bucket.grant(borrower, slice_id, now_ms)


def test_lent_tokens_leave_no_room_to_refill():
    bucket = full_bucket()
    lend(bucket, "host-1", 15, 1)
    assert bucket.level_milli(200) + bucket.outstanding_milli(200) == 20 * MILLI


def test_tokens_of_an_expired_slice_are_not_returned():
    bucket = full_bucket()
    lend(bucket, "host-1", 10, 1)
    assert bucket.level_milli(LEASE_MS + 20) == 10 * MILLI
    assert bucket.level_milli(LEASE_MS + 30) == 11 * MILLI


@pytest.mark.parametrize(("burst", "most"), [(20, 10), (5, 2), (1, 1)])
def test_at_most_half_the_burst_is_outstanding_at_a_time(burst, most):
    bucket = HomeBucket(Workspace("crew", 100, burst), LEASE_MS, burst * MILLI, 0)
    granted = lend(bucket, "host-1", burst, 1)
    more = lend(bucket, "host-2", burst, 2)
    assert (granted.amount_milli, more.amount_milli) == (most * MILLI, 0)


@pytest.mark.parametrize("borrower", ["host-1", "host-2"])
def test_unspent_tokens_return_once_and_only_from_their_borrower(borrower):
    bucket = full_bucket()
    lend(bucket, "host-1", 10, 1)
    demand = Demand("crew", 0, 6 * MILLI, 1, 0, 4 * MILLI)
    for _ in range(3):
        bucket.record_spending(borrower, demand, 0)
    assert bucket.level_milli(0) == (16 * MILLI if borrower == "host-1" else 10 * MILLI)


def test_reports_older_than_the_newest_are_ignored():
    bucket = full_bucket()
    lend(bucket, "host-1", 1, 7)
    assert not bucket.record_demand("host-1", 6, 10 * MILLI, 0, 1)


def test_a_repeated_demand_is_not_granted_twice_before_the_first_grant_arrives():
    bucket = full_bucket()
    assert lend(bucket, "host-1", 5, 1).amount_milli == 5 * MILLI
    assert lend(bucket, "host-1", 5, 2, now_ms=10).amount_milli == 0


def test_lending_ahead_keeps_a_reserve():
    bucket = full_bucket()
    bucket.record_demand("host-1", 1, 0, 0, 0)
    bucket.record_demand("host-1", 2, 0, 200 * MILLI, 300)
    assert 0 < bucket.grant("host-1", 2, 300).amount_milli <= 15 * MILLI


def test_a_smaller_burst_takes_effect_at_once():
    bucket = full_bucket()
    bucket.configure(Workspace("crew", 100, 5), 10)
    assert bucket.level_milli(10) == 5 * MILLI


def test_a_slice_is_spent_only_within_its_lease():
    held_slices = HeldSlices(0)
    held_slices.set_home("host-1")
    held_slices.add(Slice("crew", 1, 2 * MILLI, LEASE_MS), LEASE_MS, 0)
    assert held_slices.spend(LEASE_MS - 1)
    assert not held_slices.spend(LEASE_MS)


def test_a_repeated_grant_adds_nothing_even_after_the_home_changed_twice():
    held_slices = HeldSlices(0)
    granted = Slice("crew", 1, 2 * MILLI, LEASE_MS)
    held_slices.set_home("host-1")
    assert held_slices.add(granted, LEASE_MS, 0)
    held_slices.set_home("host-2")
    held_slices.set_home("host-1")
    assert not held_slices.add(granted, LEASE_MS, 5)
    assert not held_slices.spend(5)


def test_unused_tokens_are_returned_and_can_no_longer_be_spent():
    held_slices = HeldSlices(0)
    held_slices.set_home("host-1")
    held_slices.add(Slice("crew", 1, 2 * MILLI, LEASE_MS), LEASE_MS, 0)
    held_slices.spend(1)
    held_slices.tick(RETURN_UNUSED_AFTER_MS)
    assert not held_slices.spend(RETURN_UNUSED_AFTER_MS)
    entry = held_slices.demands("crew", 0, 0, 9, True, RETURN_UNUSED_AFTER_MS)[1]
    assert (entry.slice_id, entry.spent_milli, entry.returned_milli) == (1, MILLI, MILLI)


def test_a_host_votes_for_one_home_at_a_time():
    held_slices = HeldSlices(0)
    held_slices.set_home("host-1")
    assert held_slices.demands("crew", 0, 0, 1, True, 1_000)[0].previous_home == ""
    held_slices.set_home("host-2")
    assert held_slices.demands("crew", 0, 0, 2, True, 1_010)[0].previous_home == "host-1"
    held_slices.set_home("host-3")
    assert held_slices.demands("crew", 0, 0, 3, True, 1_020)[0].previous_home == "*"
    assert held_slices.demands("crew", 0, 0, 4, True, 2_000)[0].previous_home == ""
