"""Leases and promotions while the sides of a partition remove each other's hosts."""

import random

import pytest

from figcrank.coordination.fleet import FleetView, PrimaryUse
from figcrank.coordination.primaries import (
    LEASE_MS,
    MAJORITY_LEASE_MS,
    FencingState,
    may_promote,
)
from figcrank.protocol.heartbeats import NEVER_MS, Heartbeat, PrimaryRecord
from figcrank.state import ManualClock

STEP_MS = 100
HEARTBEAT_MS = 300
CHECK_MS = 1_000
USED = PrimaryRecord(1, 1, "s1")
MOVING = PrimaryRecord(2, 1, "s1", moving=True)


class Fleet:
    """Views of several hosts that exchange heartbeats while they are on the same side.

    :param names: names of the hosts.
    """

    def __init__(self, names):
        self.clock = ManualClock(0)
        self.addresses = {name: (f"10.0.0.{n}", 7000) for n, name in enumerate(names, 1)}
        self.views = {}
        self.listed = set(names)
        self.record = USED
        self.sides = [set(names)]
        self.store_reachable_from = set(names)
        self.promoted_ms = None
        self._replacer = None
        self._stored_ms = NEVER_MS
        self._half_ms = self._third_ms = NEVER_MS
        for name in names:
            view = self.views[name] = FleetView(name, 1, self.addresses[name])
            view.merge_primary("g", USED, 0)
            self._register_listed(view)

    def _register_listed(self, view):
        for name in self.listed:
            view.peers.register(name, self.addresses[name], self.clock.now_ms())

    def run(self, until_ms):
        while self.clock.now_ms() < until_ms:
            self.clock.advance_to(self.clock.now_ms() + STEP_MS)
            now_ms = self.clock.now_ms()
            if now_ms % HEARTBEAT_MS == 0:
                self._exchange(now_ms)
                self._read_store(now_ms)
            if self._replacer and self.promoted_ms is None:
                self._check_fence(now_ms)
            if self.promoted_ms is not None:
                users = [n for n, v in self.views.items() if self.uses_primary(n)]
                assert not users, f"{users} use the old primary at {now_ms} ms"

    def uses_primary(self, name):
        return self.views[name].primary_use("g", self.clock.now_ms()) is PrimaryUse.USABLE

    def _exchange(self, now_ms):
        for side in self.sides:
            for sender in sorted(side):
                for peer, heartbeat in self.views[sender].heartbeats(now_ms):
                    receiver = next(n for n, a in self.addresses.items() if a == peer.address)
                    if receiver in side:
                        self._receive(receiver, sender, heartbeat, now_ms)

    def _receive(self, receiver, sender, heartbeat, now_ms):
        view = self.views[receiver]
        view.receive(heartbeat, self.addresses[sender], now_ms)
        for address in heartbeat.removed:
            if address != self.addresses[receiver]:
                view.remove_host(address, now_ms)
        self._quiesce(view)

    def _read_store(self, now_ms):
        for name in self.store_reachable_from:
            view = self.views[name]
            view.merge_primary("g", self.record, now_ms)
            view.confirmed_ms = now_ms
            self._quiesce(view)

    @staticmethod
    def _quiesce(view):
        if view.primary_table.get("g").moving:
            view.quiesced_groups.add("g")

    def remove_silent(self, name):
        """Remove from the store and from the host's view the hosts that are silent to it."""
        view, now_ms = self.views[name], self.clock.now_ms()
        if not view.peers.may_remove(now_ms):
            return
        for peer in view.peers.removal_candidates(now_ms):
            self.listed.discard(peer.name)
            view.remove_host(peer.address, now_ms)

    def return_to_store(self, name):
        """Take a seat again and read the listing."""
        if name not in self.listed:
            self.listed.add(name)
            self._register_listed(self.views[name])

    def replace_primary(self, name):
        self.record = MOVING
        self._replacer = name
        self._stored_ms = self.clock.now_ms()
        self.views[name].merge_primary("g", MOVING, self._stored_ms)
        self._quiesce(self.views[name])

    def _check_fence(self, now_ms):
        view = self.views[self._replacer]
        hosts = view.host_count() + view.removed_host_count()
        _, names = view.quiesced_hosts(now_ms).get("g", (0, []))
        if self._half_ms == NEVER_MS and 2 * len(names) >= hosts:
            self._half_ms = now_ms
        if self._third_ms == NEVER_MS and 3 * len(names) >= hosts:
            self._third_ms = now_ms
        fence = FencingState(
            stored_ms=self._stored_ms,
            host_count=hosts,
            quiesced_host_count=len(names),
            half_quiesced_since_ms=self._half_ms,
            third_quiesced_since_ms=self._third_ms,
        )
        if may_promote(fence, now_ms):
            self.promoted_ms = now_ms


def test_sides_that_removed_hosts_of_each_other_do_not_keep_leases_and_promote():
    """Seen in a hunted day: two cuts in a row, in which both sides removed hosts of the other one.

    Five hosts counted seven, more than two thirds of which responded to each other. The other four
    counted only themselves and promoted at once.
    """
    fleet = Fleet(["a1", "a2", "a3", "a4", "b1", "b2", "b3", "z1", "z2"])
    fleet.run(5_000)
    fleet.sides = [{"a2", "a3", "b1", "z1", "z2"}, {"a1"}, {"a4"}, {"b2"}, {"b3"}]
    fleet.store_reachable_from = {"b1"}
    fleet.run(20_500)
    fleet.remove_silent("b1")
    fleet.run(24_000)
    fleet.sides = [{"a2", "a3"}, {"b1", "z1", "z2"}, {"a1"}, {"a4"}, {"b2"}, {"b3"}]
    fleet.store_reachable_from = set()
    fleet.run(27_500)
    fleet.sides = [{"a2", "a3", "a4", "b2"}, {"a1", "b1", "b3", "z1", "z2"}]
    fleet.store_reachable_from = {"a2", "a3", "a4", "b2"}
    fleet.run(28_000)
    fleet.replace_primary("a4")
    fleet.run(28_400)
    fleet.remove_silent("a4")
    fleet.run(29_000 + MAJORITY_LEASE_MS + LEASE_MS)
    assert fleet.promoted_ms is not None


def test_removed_hosts_may_still_hold_a_majority_lease():
    """A side that lost the store keeps a bare majority's lease for a while."""
    fleet = Fleet(["a", "b", "c", "d", "e"])
    fleet.run(5_000)
    fleet.sides = [{"a", "b"}, {"c", "d", "e"}]
    fleet.run(21_000)
    fleet.remove_silent("a")
    fleet.run(22_000)
    fleet.store_reachable_from = {"a", "b"}
    fleet.run(22_500)
    fleet.replace_primary("a")
    fleet.run(23_000)
    assert fleet.uses_primary("c")
    fleet.run(23_000 + MAJORITY_LEASE_MS + LEASE_MS)
    assert fleet.promoted_ms is not None


def test_host_that_removed_others_alone_does_not_renew_its_lease_by_their_absence():
    fleet = Fleet(["a", "b", "c", "d", "e"])
    fleet.run(5_000)
    fleet.sides = [{"a", "b"}, {"c", "d", "e"}]
    fleet.store_reachable_from = {"c"}
    fleet.run(21_000)
    fleet.remove_silent("c")
    fleet.run(22_000)
    assert fleet.uses_primary("d")
    fleet.store_reachable_from = set()
    fleet.run(23_000 + MAJORITY_LEASE_MS + LEASE_MS)
    assert not fleet.uses_primary("d")


def test_host_that_lost_few_others_for_good_keeps_its_lease_without_the_store():
    fleet = Fleet(["a", "b", "c", "d", "e"])
    fleet.run(5_000)
    fleet.sides = [{"a", "b", "c", "d"}, {"e"}]
    fleet.run(21_000)
    fleet.remove_silent("a")
    fleet.store_reachable_from = set()
    fleet.run(60_000)
    assert fleet.uses_primary("a")


@pytest.mark.parametrize("seed", range(30))
def test_partitions_never_let_a_host_use_a_replaced_primary(seed):
    """Random cuts of hosts from each other and from the store, with removals and returns.

    In some of them, one host is heard by all sides.
    """
    rng = random.Random(seed)
    names = [f"h{number}" for number in range(rng.choice([3, 4, 5, 6, 9]))]
    fleet = Fleet(names)
    fleet.run(3_000)
    cut_end_ms = 3_000
    replace_ms = rng.randrange(22_000, 50_000)
    while fleet.clock.now_ms() < replace_ms + 12_000:
        now_ms = fleet.clock.now_ms()
        if now_ms >= cut_end_ms:
            cut_end_ms = now_ms + rng.choice([1_000, 3_000, 17_000, 19_000])
            side_of = {name: rng.randrange(rng.choice([2, 2, 3])) for name in names}
            fleet.sides = [{n for n in names if side_of[n] == side} for side in range(3)]
            if rng.random() < 0.3:
                bridge = rng.choice(names)
                fleet.sides = [side | {bridge} for side in fleet.sides]
            fleet.store_reachable_from = {n for n in names if rng.random() < 0.5}
        for name in sorted(fleet.store_reachable_from):
            fleet.remove_silent(name)
            fleet.return_to_store(name)
        if now_ms >= replace_ms and fleet.record is USED and fleet.store_reachable_from:
            fleet.replace_primary(min(fleet.store_reachable_from))
        fleet.run(now_ms + CHECK_MS)


def test_host_that_a_peer_removed_counts_at_a_host_that_never_knew_it():
    view = FleetView("a", 1, ("10.0.0.1", 7000))
    removed = (("10.0.0.3", 7000), ("10.0.0.1", 7000))
    view.receive(Heartbeat("b", 1, 5, echo_ms=0, removed=removed), ("10.0.0.2", 7000), 100)
    assert view.removed_host_count() == 1


def test_removed_host_counts_until_it_returns_or_its_removal_is_no_longer_announced():
    view = FleetView("a", 1, ("10.0.0.1", 7000))
    for number in (2, 3):
        view.peers.register(f"h{number}", (f"10.0.0.{number}", 7000), 0)
        view.remove_host((f"10.0.0.{number}", 7000), 20_000)
    assert view.removed_host_count() == 2
    view.receive(Heartbeat("h2", 1, 5), ("10.0.0.2", 7000), 21_000)
    assert view.removed_host_count() == 1
    view.heartbeats(20_001 + 600_000)
    assert view.removed_host_count() == 0
