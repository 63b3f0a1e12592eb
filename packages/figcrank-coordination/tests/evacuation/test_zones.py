"""The use of zones during evacuations, in virtual time."""

from figcrank.coordination.evacuation import (
    EvacuationChange,
    ZoneEvacuations,
    ZoneUse,
    completed_zones,
    provisional_list,
    refusal_detail,
)
from figcrank.protocol.heartbeats import NEVER_MS, Evacuations, HeartbeatExtension
from figcrank.state import revision_of

BOUND_MS = 5_000
STOP_MS = 2_500
POLL_MS = 1_500


def listed(number, *zones, era=1):
    return Evacuations(revision_of(era, number), frozenset(zones))


def make_evacuations():
    """Return the state of a host that has read an empty list at 10,000 ms."""
    evacuations = ZoneEvacuations(BOUND_MS)
    evacuations.adopt(listed(1), 10_000, 10_000)
    return evacuations


def test_zone_is_drained_until_half_of_the_bound_and_then_closed():
    evacuations = make_evacuations()
    change = evacuations.adopt(listed(2, "z"), 11_500, 11_500)
    assert change == EvacuationChange(adopted=("z",))
    assert evacuations.use_of("z", 11_500 + STOP_MS - 1) is ZoneUse.DRAINING
    assert evacuations.use_of("z", 11_500 + STOP_MS) is ZoneUse.CLOSED
    assert evacuations.use_of("other", 20_000) is ZoneUse.OPEN


def test_no_host_uses_the_zone_after_the_bound_whenever_it_learns_of_the_evacuation():
    """Guards against a stop that counts from a late adoption alone.

    A host that was cut off or suspended learns of the evacuation late. The entry is acknowledged
    right after the last reading that did not have it.
    """
    for late_ms in range(0, 20_000, 100):
        evacuations = make_evacuations()
        adopted_ms = 10_000 + late_ms
        evacuations.adopt(listed(2, "z"), adopted_ms, adopted_ms)
        acknowledged_ms = 10_001
        last_use_ms = max(adopted_ms, acknowledged_ms + BOUND_MS)
        assert evacuations.use_of("z", last_use_ms) is ZoneUse.CLOSED


def test_host_that_has_just_started_does_not_use_an_evacuated_zone_at_all():
    """An owner that restarts while the store is away takes a list of unknown age from a peer."""
    evacuations = ZoneEvacuations(BOUND_MS)
    assert not evacuations.is_known
    evacuations.adopt_from_peer(listed(2, "z"), 300, NEVER_MS, 1_000)
    assert evacuations.is_known
    assert evacuations.use_of("z", 1_000) is ZoneUse.CLOSED


def test_peers_list_counts_as_up_to_date_only_as_of_its_reading():
    """Guards against a stop after the bound while no host reads the store for a while."""
    evacuations = ZoneEvacuations(BOUND_MS)
    evacuations.adopt_from_peer(listed(1), 2_000, 10_000, 10_050)
    evacuations.adopt_from_peer(listed(1), 3_000, 11_000, 11_050)
    assert evacuations.known_as_of_ms == 8_000
    evacuations.adopt_from_peer(listed(2, "z"), 50, 11_100, 11_150)
    assert evacuations.use_of("z", 8_000 + BOUND_MS - 251) is ZoneUse.DRAINING
    assert evacuations.use_of("z", 8_000 + BOUND_MS - 250) is ZoneUse.CLOSED


def test_list_read_right_after_the_store_came_back_does_not_postpone_the_stop():
    """Guards against a stop after the bound for an entry that the store's copy has lost.

    The entry is acknowledged right after a reading, the store comes back without it, and a host
    reads the store's list just before the operator writes the entry again.
    """
    evacuations = make_evacuations()
    evacuations.adopt(provisional_list(revision_of(2, 1), frozenset()), 13_300, 13_300)
    evacuations.adopt(provisional_list(revision_of(2, 2), frozenset("z")), 13_650, 13_650)
    assert evacuations.use_of("z", 10_001 + BOUND_MS) is ZoneUse.CLOSED


def test_evacuation_that_is_listed_again_keeps_its_stop():
    """Guards against an object that is written twice and thereby extends the use of the zone."""
    evacuations = make_evacuations()
    evacuations.adopt(listed(2, "z"), 11_500, 11_500)
    assert not evacuations.adopt(listed(5, "z"), 13_000, 13_000)
    assert evacuations.use_of("z", 11_500 + STOP_MS) is ZoneUse.CLOSED


def test_withdrawn_evacuation_ends_at_once_and_a_second_one_has_a_stop_of_its_own():
    evacuations = make_evacuations()
    evacuations.adopt(listed(2, "z"), 11_500, 11_500)
    change = evacuations.adopt(listed(3), 13_000, 13_000)
    assert change == EvacuationChange(withdrawn=("z",))
    assert evacuations.use_of("z", 30_000) is ZoneUse.OPEN
    evacuations.adopt(listed(3), 30_000, 30_000)
    evacuations.adopt(listed(9, "z"), 31_500, 31_500)
    assert evacuations.use_of("z", 31_500 + STOP_MS - 1) is ZoneUse.DRAINING
    assert evacuations.use_of("z", 31_500 + STOP_MS) is ZoneUse.CLOSED


def test_server_of_unknown_zone_is_used_as_one_of_the_evacuated_zone():
    """A primary whose registration is missing is known by its record, which has no zone."""
    evacuations = make_evacuations()
    assert evacuations.use_of("", 11_000) is ZoneUse.OPEN
    evacuations.adopt(listed(2, "z"), 11_500, 11_500)
    assert evacuations.use_of("", 11_500) is ZoneUse.DRAINING
    assert evacuations.use_of("", 11_500 + STOP_MS) is ZoneUse.CLOSED


def test_nothing_is_evacuated_without_a_bound():
    evacuations = ZoneEvacuations()
    assert evacuations.is_known
    assert not evacuations.adopt(listed(2, "z"), 0, 0)
    assert evacuations.use_of("z", 100_000) is ZoneUse.OPEN
    assert not evacuations.is_held(100_000)


def run_until(evacuations, start_ms, end_ms):
    for now_ms in range(start_ms, end_ms + 1, 100):
        assert not evacuations.is_held(now_ms)


def test_suspended_host_sends_nothing_until_it_hears_what_was_evacuated_meanwhile():
    """Guards against an evacuation that is acknowledged and due while the process is suspended."""
    evacuations = make_evacuations()
    run_until(evacuations, 10_000, 11_000)
    assert evacuations.is_held(19_000)
    # A heartbeat from before the suspension, still in the socket's buffer.
    evacuations.adopt_from_peer(listed(1), 300, 11_000, 19_010)
    assert evacuations.is_held(19_010)
    evacuations.adopt_from_peer(listed(2, "z"), 300, 19_020, 19_050)
    assert not evacuations.is_held(19_050)
    assert evacuations.use_of("z", 19_050) is ZoneUse.CLOSED


def test_suspended_host_goes_on_with_its_last_list_if_neither_peers_nor_the_store_answer():
    evacuations = make_evacuations()
    run_until(evacuations, 10_000, 11_000)
    assert evacuations.is_held(19_000)
    assert evacuations.is_held(19_900)
    assert not evacuations.is_held(20_000)


def test_host_that_runs_late_by_a_second_is_not_held():
    evacuations = make_evacuations()
    run_until(evacuations, 10_000, 11_000)
    assert not evacuations.is_held(12_000)


def test_evacuation_is_done_once_every_owner_knows_of_it_and_none_has_work_there():
    knows = HeartbeatExtension(listed(2, "z"))
    busy = HeartbeatExtension(listed(2, "z"), busy_zones=("z",))
    unaware = HeartbeatExtension(listed(1))
    assert completed_zones({"z"}, set(), [knows, knows]) == ["z"]
    assert completed_zones({"z"}, set(), []) == ["z"]
    assert completed_zones({"z"}, {"z"}, [knows]) == []
    assert completed_zones({"z"}, set(), [knows, busy]) == []
    assert completed_zones({"z"}, set(), [knows, unaware]) == []
    assert completed_zones({"z"}, set(), [knows, None]) == []  # an owner of an earlier release


def test_refusal_names_the_zone_and_the_time_to_retry_after():
    assert refusal_detail("z", True) == "availability zone z is evacuated; retry after 1000 ms"
    assert refusal_detail("z", False) == "availability zone z is evacuated; retry after 1500 ms"
