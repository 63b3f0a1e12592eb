from collections import Counter

from figcrank.coordination.owners import OwnerDirectory
from figcrank.coordination.owners._directory import AVOID_MS, MAX_AVOID_MS
from figcrank.protocol.owners import Owner

OWNERS = [
    Owner(f"{zone}-{number}", (f"10.0.{index}.{number}", 7000), zone)
    for index, zone in enumerate("abc")
    for number in range(4)
]


def directory(zone="a", owners=OWNERS):
    result = OwnerDirectory(zone)
    result.update(owners)
    return result


def test_sessions_of_a_workspace_go_to_one_owner_in_the_zone_of_the_relay():
    chosen = {directory().choose("key db", now_ms).name for now_ms in range(50)}
    assert len(chosen) == 1
    assert directory("b").choose("key db", 0).availability_zone == "b"


def test_workspaces_are_spread_evenly_over_the_owners_of_a_zone():
    counts = Counter(directory().choose(f"key-{n}", 0).name for n in range(4_000))
    assert len(counts) == 4
    assert min(counts.values()) > 850


def test_session_moves_within_the_zone_while_its_owner_is_avoided():
    known = directory()
    first = known.choose("key db", 0)
    known.record_failure(first.address, 0)
    second = known.choose("key db", 10)
    assert second != first
    assert second.availability_zone == "a"
    assert known.choose("key db", AVOID_MS) == first


def test_other_zones_serve_while_every_owner_of_the_zone_is_avoided():
    known = directory()
    for owner in OWNERS[:4]:
        known.record_failure(owner.address, 0)
    assert known.choose("key db", 10).availability_zone != "a"


def test_avoided_owner_is_chosen_rather_than_none():
    known = directory(owners=OWNERS[:1])
    known.record_failure(OWNERS[0].address, 0)
    assert not known.is_usable(10)
    assert known.choose("key db", 10) == OWNERS[0]
    assert known.choose("key db", 10, {OWNERS[0].address}) is None


def test_owner_that_fails_again_is_avoided_for_longer_until_it_answers():
    """Guards against a relay that reports itself ready while no owner answers."""
    known = directory(owners=OWNERS[:1])
    address = OWNERS[0].address
    known.record_failure(address, 0)
    known.record_failure(address, 1_000)
    assert not known.is_usable(1_000 + 2 * AVOID_MS - 1)
    known.record_answer(address, True, 2_000)
    known.record_failure(address, 3_000)
    assert known.is_usable(3_000 + AVOID_MS)
    for _ in range(50):
        known.record_failure(address, 4_000)
    assert known.is_usable(4_000 + MAX_AVOID_MS)


def test_owner_that_accepts_no_sessions_is_avoided_until_it_does():
    known = directory(owners=OWNERS[:1])
    known.record_answer(OWNERS[0].address, False, 0)
    assert not known.is_usable(10)
    known.record_answer(OWNERS[0].address, True, 20)
    assert known.is_usable(20)


def test_list_of_owners_is_replaced_and_what_is_known_of_the_others_kept():
    known = directory(owners=OWNERS[:2])
    known.record_failure(OWNERS[1].address, 0)
    known.update(OWNERS[1:3])
    assert known.owners() == OWNERS[1:3]
    assert known.choose("key db", 10) == OWNERS[2]


def test_owners_of_the_zone_are_queried_in_turn():
    known = directory()
    for owner in OWNERS[:4]:
        known.record_answer(owner.address, True, 0)
    asked = [known.owners_to_query(now_ms) for now_ms in range(8)]
    assert asked == [[owner] for owner in OWNERS[:4] * 2]


def test_owners_that_accepted_no_sessions_yet_are_queried_until_it_is_known_what_they_read():
    """Without this, sessions of a relay that had just started stayed away from the group owner."""
    known = directory()
    known.record_answer(OWNERS[0].address, True, 0, reads_options=True)
    known.record_answer(OWNERS[1].address, False, 0)
    assert known.has_unknown_options()
    after_ms = 2 * AVOID_MS  # OWNERS[1] is not avoided any more
    assert set(OWNERS[1:4]) <= set(known.owners_to_query(after_ms))
    for owner in OWNERS[1:4]:
        known.record_answer(owner.address, True, after_ms, reads_options=owner is OWNERS[1])
    assert not known.has_unknown_options()
    assert len(known.owners_to_query(after_ms)) == 1


def test_owner_that_is_gone_does_not_keep_a_relay_from_learning_the_list_from_others():
    """Without this a relay asked the longest silent owner again and again, and never heard of its
    removal or of the free seat.
    """
    known = directory()
    for now_ms in range(0, 20_000, 500):
        known.record_failure(OWNERS[0].address, now_ms)
        asked = known.owners_to_query(now_ms)
        assert OWNERS[0] in asked
        assert set(asked) & set(OWNERS[1:4])


def test_other_zones_are_queried_while_every_owner_of_the_zone_is_avoided():
    known = directory()
    for owner in OWNERS[:4]:
        known.record_failure(owner.address, 0)
    asked = known.owners_to_query(10)
    assert set(OWNERS[:4]) < set(asked)
    assert asked[0].availability_zone != "a"


def test_nearest_owners_are_those_of_the_zone_else_of_the_region_else_any():
    """Guards against a zone without owners whose relays remember no owner."""
    regions = {"a": "north", "b": "north", "c": "south"}
    known = OwnerDirectory("a", regions)
    for zones, nearest in (("abc", "a"), ("bc", "b"), ("c", "c")):
        known.update([owner for owner in OWNERS if owner.availability_zone in zones])
        assert {o.availability_zone for o in known.owners() if known.is_nearest(o)} == {nearest}
    known.update([])
    assert known.is_nearest(OWNERS[0])
