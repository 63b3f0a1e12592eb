import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figcrank.coordination.owners import OwnerMemory, assign_groups, serving_zone
from figcrank.protocol.owners import Owner

NAMES = st.sets(st.text("abcdefgh0123456789-", min_size=1, max_size=8), max_size=14)


def first_owners(groups, owners):
    return {group: assigned[0] for group, assigned in assign_groups(groups, owners).items()}


def moves(before, after):
    return sum(1 for group in before if before[group] != after[group])


@given(NAMES, NAMES.filter(bool))
def test_no_owner_gets_more_than_an_equal_part_rounded_up(groups, owners):
    """Guards against an owner whose connections and queue serve most of the groups."""
    assigned = list(first_owners(groups, owners).values())
    assert all(assigned.count(owner) <= -(-len(groups) // len(owners)) for owner in owners)


@given(NAMES, NAMES.filter(bool), st.randoms())
def test_result_does_not_depend_on_the_order_of_the_view(groups, owners, rng):
    shuffled = rng.sample(sorted(owners), len(owners))
    assert assign_groups(groups, shuffled) == assign_groups(sorted(groups), sorted(owners))


@given(NAMES, NAMES.filter(bool))
def test_every_owner_is_the_owner_or_a_successor_of_every_group(groups, owners):
    assigned = assign_groups(groups, owners)
    assert assigned.keys() == groups
    assert all(sorted(order) == sorted(owners) for order in assigned.values())


def test_without_owners_no_group_is_assigned():
    assert assign_groups({"g"}, ()) == {}


def test_few_groups_move_when_an_owner_comes_or_goes():
    """Guards against sessions of all groups that find another owner after each restart.

    Hashing modulo the number of owners moves three quarters of the groups. Here the leaving owner's
    quarter has to move, and the bound moves some more.
    """
    rng = random.Random(7)
    moved, total = 0, 0
    for _ in range(300):
        owners = [f"host-{rng.randrange(10_000)}" for _ in range(4)]
        groups = [f"group-{rng.randrange(10_000)}" for _ in range(12)]
        before = first_owners(groups, owners)
        after = first_owners(groups, owners[:-1])
        moved += moves(before, after)
        total += len(before)
    assert moved / total < 0.45


def test_callers_of_a_zone_without_owners_go_to_their_region_first():
    regions = {"a": "east", "b": "east", "c": "west", "d": "west"}
    assert serving_zone("a", ["a", "b", "c"], regions) == "a"
    assert serving_zone("a", ["b", "c", "d"], regions) == "b"
    assert serving_zone("a", ["c", "d"], regions) in ("c", "d")
    for number in range(20):
        zones = [f"other-{number}", f"same-{number}"]
        assert serving_zone("a", zones, {"a": "east", zones[1]: "east"}) == zones[1]
    assert serving_zone("a", [], regions) is None


def test_zones_without_owners_are_spread_over_the_others():
    """Guards against one zone that serves the callers of all zones that have lost their owners."""
    serving = [serving_zone(f"zone-{number}", ["x", "y", "z"], {}) for number in range(60)]
    assert all(serving.count(zone) >= 10 for zone in "xyz")


def owner(number):
    return Owner(f"o{number}", (f"10.0.0.{number}", 7000), "a")


def test_least_recently_used_database_is_forgotten_first():
    """Guards against callers that make a relay remember any number of databases."""
    memory = OwnerMemory(max_databases=2)
    memory.remember("first", owner(1))
    memory.remember("second", owner(2))
    memory.get("first")
    memory.remember("third", owner(3))
    assert [memory.get(name) for name in ("first", "second", "third")] == [
        owner(1),
        None,
        owner(3),
    ]


def test_failed_owner_is_forgotten_for_every_database():
    memory = OwnerMemory()
    for name, number in itertools.product("ab", (1,)):
        memory.remember(name, owner(number))
    memory.remember("c", owner(2))
    memory.forget_address(owner(1).address)
    assert [memory.get(name) for name in "abc"] == [None, None, owner(2)]


@pytest.mark.parametrize("count", [1, 2, 3, 4])
def test_owners_of_a_zone_share_four_groups(count):
    owners = [f"host-{number}" for number in range(count)]
    served = list(first_owners(["north", "south", "east", "west"], owners).values())
    assert max(map(served.count, served)) == -(-4 // count)
