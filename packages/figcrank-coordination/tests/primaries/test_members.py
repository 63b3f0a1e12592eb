"""A commit is in the logs of the primary and of ``sync_replicas`` others, not known which."""

from itertools import chain, combinations

import pytest

from figcrank.coordination.primaries import GroupMembers, complete_position
from figcrank.protocol.sessions import ServerReport
from figcrank.state import Position
from figcrank.state._catalog import ServerEntry

BEHIND, COMPLETE = Position(1, 5), Position(1, 9)


def entry(server_id, address="10.0.0.1:80", draining=False):
    return ServerEntry(server_id, "g", address, "a", 5, draining, False)


def report(position, is_primary=False):
    return ServerReport(is_primary, 1, position)


def subsets(items):
    return chain.from_iterable(combinations(items, size) for size in range(len(items) + 1))


@pytest.mark.parametrize("server_count", [2, 3, 4, 5])
@pytest.mark.parametrize("sync_replicas", [1, 2, 3])
def test_proven_position_covers_the_newest_commit_wherever_it_is(server_count, sync_replicas):
    """Guards against a promoted server that lacks an acknowledged commit."""
    members = [f"s{number}" for number in range(server_count)]
    for holders in combinations(members, min(sync_replicas + 1, server_count)):
        for answering in subsets(members):
            reports = {
                name: report(COMPLETE if name in holders else BEHIND) if name in answering else None
                for name in members
            }
            proven = complete_position(set(members), sync_replicas, reports)
            assert proven in (None, COMPLETE)
            assert (proven is not None) == (len(answering) >= max(1, server_count - sync_replicas))


def test_report_without_a_position_proves_nothing():
    reports = {"p": None, "r1": report(COMPLETE), "r2": report(None)}
    assert complete_position({"p", "r1", "r2"}, 1, reports) is None


def test_server_that_is_no_member_proves_nothing():
    reports = {"r1": report(COMPLETE), "new": report(BEHIND)}
    assert complete_position({"p", "r1", "r2"}, 1, reports) is None


def test_departed_server_is_a_member_until_the_others_have_reached_the_primary():
    members = GroupMembers()
    members.observe([entry("p"), entry("r1"), entry("r2")])
    members.observe([entry("p"), entry("r1")])
    assert members.departed == {"r2"}
    primary = report(COMPLETE, is_primary=True)
    assert not members.forget_departed(1, primary, [report(BEHIND)])
    assert not members.forget_departed(1, None, [report(COMPLETE)])
    assert not members.forget_departed(2, primary, [report(COMPLETE)])
    assert members.ids == {"p", "r1", "r2"}
    assert members.forget_departed(1, primary, [report(COMPLETE)])
    assert members.ids == {"p", "r1"}


def test_new_server_takes_the_place_of_the_one_that_left_its_address():
    members = GroupMembers()
    members.observe([entry("p"), entry("r1"), entry("r2", "10.0.0.2:80", draining=True)])
    members.observe([entry("p"), entry("r1"), entry("r3", "10.0.0.2:80")])
    assert members.ids == {"p", "r1", "r3"}


def test_new_server_at_the_address_of_a_crashed_one_does_not_have_its_log():
    members = GroupMembers()
    members.observe([entry("p"), entry("r1"), entry("r2", "10.0.0.2:80")])
    members.observe([entry("p"), entry("r1"), entry("r3", "10.0.0.2:80")])
    assert members.ids == {"p", "r1", "r2", "r3"}
