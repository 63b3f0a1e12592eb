"""Group owners by the views of several owners, and the connections that each may hold."""

import random

from hypothesis import given
from hypothesis import strategies as st

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.fleet._group_ownership import RELAY_MEMORY_MS
from figcrank.coordination.owners import HostRole
from figcrank.coordination.peers._table import LIVE_TIMEOUT_MS
from figcrank.coordination.placement import connection_quota
from figcrank.state._catalog import Catalog, GroupPolicy

GROUPS = ("east", "north", "south", "west")
NOW_MS = 10_000


def catalog(max_connections=56):
    policies = {name: GroupPolicy(name, max_connections, 0) for name in GROUPS}
    return Catalog(1, {}, {}, {}, policies, 3_000)


class Fleet:
    """Owners that exchange heartbeats.

    :param zones: the availability zone of each owner.
    :param earlier: numbers of the owners that run an earlier release.
    :param leaving: numbers of the owners that are about to stop.
    """

    def __init__(self, zones, earlier=(), leaving=()):
        self.views = []
        self.now_ms = NOW_MS
        self.earlier = set(earlier)
        for number, zone in enumerate(zones):
            view = FleetView(f"h{number}", number, (f"10.0.0.{number}", 7000), 0.0, 0, zone)
            view.role = HostRole.OWNER
            view.adopt_catalog(catalog(), 0)
            view.leaving = number in leaving
            self.views.append(view)
        for view in self.views:
            for other in self.views:
                owner = other.itself
                view.peers.register(owner.name, owner.address, 0, owner.availability_zone)
        self.exchange()
        self.exchange()

    def exchange(self, silent=(), after_ms=300):
        """Send the heartbeats of all owners but the silent ones."""
        self.now_ms += after_ms
        for number, view in enumerate(self.views):
            if number in silent:
                continue
            for peer, heartbeat in view.heartbeats(self.now_ms):
                if number in self.earlier:
                    heartbeat = type(heartbeat)(
                        heartbeat.host, heartbeat.boot_id, heartbeat.sent_ms, reads_extension=False
                    )
                receiver = next(v for v in self.views if v.itself.address == peer.address)
                if receiver.boot_id not in silent:
                    receiver.receive(heartbeat, view.itself.address, self.now_ms)

    def show_relay(self, number=0):
        self.views[number].ownership.record_relay(self.now_ms)
        self.exchange()

    def group_owners(self, number=0):
        return {g: self.views[number].group_owners(g, self.now_ms) for g in GROUPS}

    def limits(self, group, max_connections, numbers=None):
        """Return the connections that each owner may hold, by its own view."""
        limits = []
        for number, view in enumerate(self.views):
            if numbers is not None and number not in numbers:
                continue
            if number in self.earlier:
                limits.append(connection_quota(max_connections, len(self.views)))
            else:
                limits.append(
                    view.ownership.connection_limits(group, max_connections, self.now_ms)[0]
                )
        return limits


def test_fleet_without_relays_has_no_group_owners():
    """Guards against a small fleet whose connections and sessions move between its hosts."""
    fleet = Fleet("abcabc")
    assert not any(fleet.group_owners().values())
    assert fleet.views[0].ownership.owners_for("north", "a", fleet.now_ms) == []
    assert fleet.views[0].ownership.connection_limits("north", 56, fleet.now_ms) is None


def test_every_owner_knows_the_same_owner_of_each_zone_once_one_has_seen_a_relay():
    fleet = Fleet("abcabcabcabc")
    fleet.show_relay()
    expected = fleet.group_owners()
    assert all(fleet.group_owners(number) == expected for number in range(12))
    zones = {v.host: v.itself.availability_zone for v in fleet.views}
    assert all(
        sorted(zones[name] for name in names) == ["a", "b", "c"] for names in expected.values()
    )
    served = [name for names in expected.values() for name in names]
    assert all(served.count(view.host) == 1 for view in fleet.views)


def test_group_owners_end_some_time_after_the_last_relay():
    fleet = Fleet("aa")
    fleet.show_relay()
    assert fleet.group_owners(1)["north"]
    fleet.exchange(after_ms=RELAY_MEMORY_MS + 1)
    fleet.exchange()
    assert not fleet.group_owners(0)["north"]
    assert not fleet.group_owners(1)["north"]


def test_silent_or_leaving_owner_serves_no_group():
    """Guards against sessions that are sent to an owner that can't run them."""
    fleet = Fleet("aaa", leaving=[1])
    fleet.show_relay()
    for _ in range(LIVE_TIMEOUT_MS // 300 + 1):
        fleet.exchange(silent=[2])
    assert set(sum(fleet.group_owners(0).values(), [])) == {"h0"}


def test_leaving_owner_and_its_successor_have_half_of_the_connections_each():
    """Guards against sessions that wait for a single connection while their owner stops."""
    fleet = Fleet("abcabc")
    fleet.show_relay()
    before = fleet.limits("north", 56)
    (leaving,) = [n for n, limit in enumerate(before) if limit > 1 and n % 3 == 0]
    fleet.views[leaving].leaving = True
    fleet.exchange()
    after = fleet.limits("north", 56)
    assert after[leaving] == after[(leaving + 3) % 6] == before[leaving] // 2
    assert sum(after) <= 56


def test_returned_owner_serves_its_groups_again():
    fleet = Fleet("aaa")
    fleet.show_relay()
    before = fleet.group_owners()
    for _ in range(LIVE_TIMEOUT_MS // 300 + 1):
        fleet.exchange(silent=[2])
    assert fleet.group_owners() != before
    fleet.exchange()
    assert fleet.group_owners() == before


def test_owner_of_an_earlier_release_serves_no_group():
    """Guards against redirects to an owner that can't read the start of such a session."""
    fleet = Fleet("aab", earlier=[1])
    fleet.show_relay()
    assert set(sum(fleet.group_owners(0).values(), [])) == {"h0", "h2"}


def test_zone_without_live_owners_is_served_from_its_region():
    fleet = Fleet("abc")
    fleet.show_relay()
    for view in fleet.views:
        view.ownership.regions = {"a": "east", "b": "west", "c": "west", "d": "west", "e": "east"}
    owners = fleet.views[0].ownership.owners_for
    assert [o.name for o in owners("north", "e", fleet.now_ms)] == ["h0"]
    assert [o.name for o in owners("north", "d", fleet.now_ms)][0] in ("h1", "h2")


numbers = st.sets(st.integers(0, 14))


@given(
    st.lists(st.sampled_from("abcdef"), min_size=1, max_size=15),
    numbers,
    numbers,
    st.integers(4, 300),
)
def test_connections_of_all_owners_stay_within_the_limit(zones, earlier, leaving, max_connections):
    """Guards against owners whose connections the server rejects, for any set of owners."""
    earlier -= {0}
    fleet = Fleet(zones, earlier, leaving)
    fleet.show_relay()
    for group in GROUPS:
        limits = fleet.limits(group, max_connections)
        assert sum(limits) <= max(max_connections, len(zones) + 2)
        assert min(limits) >= 1


@given(st.lists(st.sampled_from("abc"), min_size=2, max_size=12), numbers)
def test_connections_stay_within_the_limit_while_owners_are_silent(zones, silent):
    """Guards against owners that take the whole share of those that are cut off from them."""
    fleet = Fleet(zones)
    fleet.show_relay()
    for _ in range(LIVE_TIMEOUT_MS // 300 + 1):
        fleet.exchange(silent=silent)
    live = set(range(len(zones))) - silent
    assert sum(fleet.limits("north", 56, live)) <= 56


def test_owner_cut_off_from_all_others_keeps_its_own_share():
    fleet = Fleet("abcabcabcabc")
    fleet.show_relay()
    shared = max(fleet.limits("north", 56))
    for _ in range(LIVE_TIMEOUT_MS // 300 + 1):
        fleet.exchange(silent=range(12))
    assert max(fleet.limits("north", 56)) == shared == 15


def test_idle_connections_leave_room_for_the_owners_of_a_zone_that_lost_power():
    """Guards against a successor that a server refuses for seconds, until it drops the others'."""
    fleet = Fleet("abcabcabcabc")
    fleet.show_relay()
    limits = [v.ownership.connection_limits("north", 56, fleet.now_ms) for v in fleet.views]
    retained = [kept for quota, kept in limits if quota > 1]
    assert sum(kept for _, kept in limits) + max(retained) <= 56


def opened_connections(requests, limits_by_owner):
    """Return how many connections are opened, if each owner closes the least recently used one.

    :param requests: ``(owner, workspace)`` of each request.
    """
    idle = {owner: [] for owner in limits_by_owner}
    opened = 0
    for owner, workspace in requests:
        if workspace in idle[owner]:
            idle[owner].remove(workspace)
        else:
            opened += 1
        idle[owner].append(workspace)
        del idle[owner][: -limits_by_owner[owner]]
    return opened


def test_group_owners_open_less_than_half_as_many_connections():
    """Replays 87 workspaces, one with a third of the traffic, at one server of 56 connections."""
    fleet = Fleet("abcabcabcabc")
    fleet.show_relay()
    zones = {v.host: v.itself.availability_zone for v in fleet.views}
    group_owners = {zones[name]: name for name in fleet.group_owners()["north"]}
    rng = random.Random(3)
    spread, grouped = [], []
    for _ in range(20_000):
        heavy = rng.random() < 1 / 3
        # Demand of the others follows a power law, as that of the recorded days.
        workspace = 0 if heavy else min(86, int(rng.paretovariate(0.9)))
        view = rng.choice(fleet.views)
        spread.append((view.host, workspace))
        grouped.append((group_owners[view.itself.availability_zone], workspace))
    before = opened_connections(spread, {v.host: 4 for v in fleet.views})
    limits = dict(zip(zones, fleet.limits("north", 56), strict=True))
    assert opened_connections(grouped, limits) < before / 2
