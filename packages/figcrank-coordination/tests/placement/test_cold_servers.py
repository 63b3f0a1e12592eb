"""A server that has just started gets a limited number of statements from all owners together."""

import random

import pytest

from figcrank.coordination.placement import ColdServers, cold_share
from figcrank.state._catalog import ServerEntry

OWNERS = [f"o{i}" for i in range(12)]
COLD_MS = 20_000


def entry(cold_ms=COLD_MS, born_ms=1):
    return ServerEntry("s1", "g", "10.1.0.1:80", "z", 4, False, False, born_ms, cold_ms)


class Fleet:
    """Owners that send to a cold server whatever they may.

    :param known: owners that each owner knows, by name; changed by the tests.
    """

    def __init__(self, limit, owners=OWNERS):
        self.limit = limit
        self.now_ms = 0
        self.known = {owner: list(owners) for owner in owners}
        self.servers = {owner: self.server(owner) for owner in owners}
        self.sent_ms = []
        self.paused = set()

    def server(self, owner):
        return ColdServers(owner, 1.5, self.limit - 1.5 * 4)

    def run(self, until_ms, cold_from_ms=0):
        source = random.Random(1)
        while self.now_ms < until_ms:
            self.now_ms += 10
            for owner, servers in self.servers.items():
                if owner in self.paused:
                    continue
                if self.now_ms % 100 == 0:
                    entries = [entry(max(0, cold_from_ms + COLD_MS - self.now_ms))]
                    servers.update(entries, {"g": 4.0}, self.known[owner], self.now_ms)
                if source.random() < 0.5 and not servers.retry_after_ms("s1", self.now_ms):
                    servers.record("s1", self.now_ms)
                    if servers.is_cold("s1", self.now_ms):
                        self.sent_ms.append(self.now_ms)

    def most_in_a_second(self):
        return max(
            sum(1 for other in self.sent_ms if at_ms - 1_000 < other <= at_ms)
            for at_ms in self.sent_ms
        )


@pytest.mark.parametrize("limit", [7.0, 10.5, 12.0, 25.9, 100.0])
def test_limit_holds_over_all_owners_in_any_second(limit):
    """Guards against a restarted server that is kept slow by the reads of twelve owners."""
    fleet = Fleet(limit)
    fleet.run(8_000)
    assert 0.5 * limit < fleet.most_in_a_second() <= limit


@pytest.mark.parametrize(
    ("limit", "owners", "total"), [(0.9, 12, 0), (5.5, 12, 5), (12.0, 12, 12), (30.0, 12, 24)]
)
def test_shares_are_whole_numbers_that_sum_to_the_limit_at_most(limit, owners, total):
    names = OWNERS[:owners]
    assert sum(cold_share(limit, owner, names, "s1") for owner in names) == total


def test_limit_holds_while_owners_join_and_leave():
    """Guards against a part that grows with an owner's view while another one still sends."""
    fleet = Fleet(25.0)
    fleet.run(4_000)
    fleet.servers["o12"] = fleet.server("o12")
    fleet.known["o12"] = ["o12"]  # has heard nobody yet
    fleet.run(4_500)
    for owner in [*OWNERS, "o12"]:
        fleet.known[owner] = [*OWNERS, "o12"]
    fleet.run(7_500)
    for owner in fleet.known:
        fleet.known[owner] = OWNERS[6:]  # half of the owners were removed, and still send
    fleet.run(10_000)
    assert fleet.most_in_a_second() <= 25


def test_limit_holds_when_an_owner_returns_from_a_pause():
    """Guards against a resumed owner that does not know yet of those that joined meanwhile."""
    fleet = Fleet(12.0, OWNERS[:6])
    fleet.run(4_000)
    fleet.paused = {"o0", "o1", "o2"}
    fleet.run(5_500)
    for owner in OWNERS[6:]:
        fleet.servers[owner] = fleet.server(owner)
    for owner in OWNERS:
        if owner not in fleet.paused:
            fleet.known[owner] = OWNERS
    fleet.run(8_500)
    fleet.paused = set()
    fleet.run(8_900)
    fleet.known = dict.fromkeys(OWNERS, OWNERS)
    fleet.run(12_000)
    assert fleet.most_in_a_second() <= 12


def test_restarted_owner_sends_nothing_until_its_earlier_statements_have_left_the_window():
    """Guards against a doubled part, as the statements before the restart are forgotten."""
    fleet = Fleet(12.0, OWNERS[:1])
    fleet.run(4_000)
    fleet.servers["o0"] = fleet.server("o0")
    fleet.run(4_000 + 2_000)
    assert max(fleet.sent_ms) <= 4_000 + 100
    fleet.run(8_000)
    assert fleet.most_in_a_second() <= 12


def test_rejection_names_the_time_at_which_the_window_has_room():
    servers = ColdServers("o0", 1.0, 0.0)
    for now_ms in range(0, 2_100, 100):
        servers.update([entry()], {"g": 2.0}, ["o0"], now_ms)
    servers.record("s1", 2_000)
    servers.record("s1", 2_300)
    assert servers.retry_after_ms("s1", 2_400) == 600
    assert servers.retry_after_ms("s1", 3_000) == 0


def test_owner_without_a_part_sends_callers_elsewhere():
    servers = ColdServers("o0", 1.0, 0.0)
    for now_ms in range(0, 2_100, 100):
        servers.update([entry()], {"g": 0.5}, ["o0"], now_ms)
    assert servers.retry_after_ms("s1", 2_100) == 1_000


@pytest.mark.parametrize(("overage", "cold_per_s"), [(None, 4.0), (1.5, None)])
def test_cold_server_without_a_limit_is_only_known_as_cold(overage, cold_per_s):
    """Guards against a deployment without the new fields that refuses work at cold servers."""
    servers = ColdServers("o0", overage)
    servers.update([entry()], {"g": cold_per_s}, ["o0"], 0)
    assert servers.is_cold("s1", 100)
    assert not servers.is_limited("s1", 100)
    assert servers.retry_after_ms("s1", 100) == 0


def test_group_that_bears_nothing_when_cold_gets_the_headroom_alone():
    """Guards against a configured zero that is taken for a group without a limit."""
    parts = {}
    for owner in ("o0", "o1"):
        servers = ColdServers(owner, 1.5, 5.0)
        for now_ms in range(0, 2_100, 100):
            servers.update([entry()], {"g": 0.0}, ["o0", "o1"], now_ms)
        parts[owner] = servers.shares(2_100)["s1"]
    assert parts == {"o0": 2, "o1": 2}


def test_server_becomes_warm_and_is_cold_again_after_a_restart():
    """Guards against an entry, read once, that tells of a cold server forever."""
    servers = ColdServers("o0")
    assert [c.cold for c in servers.update([entry(500)], {}, ["o0"], 0)] == [True]
    assert servers.update([entry(500)], {}, ["o0"], 400) == []
    assert [c.cold for c in servers.update([entry(500)], {}, ["o0"], 500)] == [False]
    assert not servers.is_cold("s1", 500)
    assert [c.cold for c in servers.update([entry(500, 2)], {}, ["o0"], 600)] == [True]


def test_window_is_kept_while_the_entry_is_missing():
    """Guards against a store outage that lets an owner send its part twice in a second."""
    servers = ColdServers("o0", 1.0, 0.0)
    for now_ms in range(0, 2_100, 100):
        servers.update([entry()], {"g": 1.0}, ["o0"], now_ms)
    servers.record("s1", 2_000)
    servers.update([], {"g": 1.0}, ["o0"], 2_100)
    servers.update([entry(COLD_MS - 2_200)], {"g": 1.0}, ["o0"], 2_200)
    assert servers.retry_after_ms("s1", 2_200) == 800
