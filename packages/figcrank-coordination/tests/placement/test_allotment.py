"""Replays an overloaded primary whose 4 slots are shared by three owners, then by twelve."""

import heapq
import itertools
import math
import random
from collections import deque

import pytest

from figcrank.coordination.placement import (
    ConcurrencyLimit,
    LoadMeter,
    OwnerReport,
    SlotAllotment,
    share_slots,
)
from figcrank.protocol.heartbeats import ServerLoad

SLOTS, QUEUE_SIZE = 4, 32
KINDS_MS = (6.0, 6.0, 6.0, 18.0, 30.0)  # submissions, reconciliation, household reads
MEAN_MS = sum(KINDS_MS) / len(KINDS_MS)
CONNECT_MS, CONNECT_SHARE = 12.0, 0.1
TICK_MS, HEARTBEAT_MS, ONE_WAY_MS = 100, 300, 0.9
DEADLINE_MS = 800
QUOTA = 18  # (56 - 2) / 3 connections


class AllottedOwner:
    """An owner's limits: its allotment, and the limit after rejections."""

    def __init__(self, name):
        self._allotment = SlotAllotment(name, "s1")
        self._concurrency = ConcurrencyLimit()
        self.limit = 1

    def tick(self, reports, slots, now_ms):
        self._allotment.update(reports, slots, now_ms)

    def record_reply(self, took_ms):
        pass

    def record_rejection(self, in_flight, now_ms):
        self._concurrency.record_rejection(in_flight, now_ms)

    def allowed(self, now_ms):
        limit = self._concurrency.max_in_flight(QUOTA, now_ms)
        return min(limit, self._allotment.max_in_flight(now_ms))


class RejectionOwner(AllottedOwner):
    """AIMD on rejections alone, as before the allotment."""

    def allowed(self, now_ms):
        return self._concurrency.max_in_flight(QUOTA, now_ms)


class GradientOwner(AllottedOwner):
    """A limit that follows the lowest service time divided by the present one."""

    def __init__(self, name):
        super().__init__(name)
        self._limit, self._lowest_ms, self._mean_ms = 4.0, math.inf, 0.0

    def record_reply(self, took_ms):
        self._mean_ms += 0.1 * (took_ms - self._mean_ms) if self._mean_ms else took_ms
        self._lowest_ms = min(self._lowest_ms, self._mean_ms)

    def tick(self, reports, slots, now_ms):
        if self._mean_ms:
            gradient = max(0.5, min(1.0, 1.5 * self._lowest_ms / self._mean_ms))
            target = self._limit * gradient + math.sqrt(self._limit)
            self._limit += 0.2 * (target - self._limit)

    def allowed(self, now_ms):
        return self._concurrency.max_in_flight(max(1, min(QUOTA, int(self._limit))), now_ms)


class LittleOwner(AllottedOwner):
    """Slots times (1 + round trip / service time), divided equally; no demand is exchanged."""

    def tick(self, reports, slots, now_ms):
        total = slots * (1 + 2 * ONE_WAY_MS / MEAN_MS)
        self.limit = max(1, math.ceil(total / max(1, len(reports))))

    def allowed(self, now_ms):
        return self._concurrency.max_in_flight(min(QUOTA, self.limit), now_ms)


class Owner:
    """One owner: its queue, and what it last heard from the others."""

    def __init__(self, name, policy, phase_ms):
        self.name = name
        self.policy = policy(name)
        self.meter = LoadMeter(0)
        self.waiting = deque()
        self.in_flight = 0
        self.load = ServerLoad()
        self.heard = {}
        self.phase_ms = phase_ms
        self.paused_until_ms = 0
        self.dead = False

    def runs(self, now_ms):
        return not self.dead and now_ms >= self.paused_until_ms


class Replay:
    """Owners and one server in virtual time.

    :param policy: class of the owners' limits.
    :param owners: number of owners.
    :param reported_slots: what the server reports.
    """

    def __init__(self, policy=AllottedOwner, owners=3, reported_slots=SLOTS, seed=1):
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.slots = SLOTS
        self.reported_slots = reported_slots
        self.owners = [Owner(f"o{i}", policy, self.random.uniform(0, 100)) for i in range(owners)]
        self.drops = lambda _owner, _peer, _now_ms: False
        self.queue = deque()
        self.running = 0
        self.samples = []  # of each ms: time, running, in flight, whether any waits, with demand
        self.completed = []  # time, owner, latency
        self.rejected = 0
        self._events = []
        self._order = itertools.count()
        for owner in self.owners:
            self.at(owner.phase_ms, self._tick, owner)
            self.at(owner.phase_ms * 3, self._heartbeat, owner)
        self.at(0, self._sample)

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._order), action, arguments))

    def arrivals(self, owner, from_ms, until_ms, slots):
        """Let statements arrive at an owner that would keep this many slots busy."""
        rate_per_ms = slots / (MEAN_MS + CONNECT_SHARE * CONNECT_MS)
        at_ms = from_ms + self.random.expovariate(rate_per_ms)
        while at_ms < until_ms:
            self.at(at_ms, self._arrive, self.owners[owner])
            at_ms += self.random.expovariate(rate_per_ms)

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def _tick(self, owner):
        now_ms = int(self.now_ms)
        self.at(self.now_ms + TICK_MS, self._tick, owner)
        if not owner.runs(now_ms):
            return
        owner.load = owner.meter.sample(owner.in_flight, len(owner.waiting), now_ms) or ServerLoad()
        reports = {
            peer: OwnerReport(load, now_ms - int(at_ms))
            for peer, (at_ms, load) in owner.heard.items()
        }
        reports[owner.name] = OwnerReport(owner.load)
        owner.policy.tick(reports, self.reported_slots, now_ms)
        self._send(owner)

    def _heartbeat(self, owner):
        self.at(self.now_ms + HEARTBEAT_MS, self._heartbeat, owner)
        if not owner.runs(self.now_ms):
            return
        for peer in self.owners:
            if peer is not owner and not self.drops(owner.name, peer.name, self.now_ms):
                self.at(self.now_ms + ONE_WAY_MS, self._hear, peer, owner.name, owner.load)

    def _hear(self, peer, name, load):
        if peer.runs(self.now_ms):
            peer.heard[name] = (self.now_ms, load)
        elif not peer.dead:  # stays in the socket until the owner resumes
            self.at(peer.paused_until_ms, self._hear, peer, name, load)

    def _arrive(self, owner):
        if not owner.dead:
            owner.waiting.append(self.now_ms)
            self._send(owner)

    def _send(self, owner):
        now_ms = int(self.now_ms)
        while owner.waiting and owner.runs(now_ms):
            if self.now_ms - owner.waiting[0] > DEADLINE_MS:
                owner.waiting.popleft()
                continue
            if owner.in_flight >= owner.policy.allowed(now_ms):
                return
            owner.in_flight += 1
            work_ms = self.random.choice(KINDS_MS)
            opens = self.random.random() < CONNECT_SHARE
            work_ms += CONNECT_MS if opens else 0.0
            item = (owner, owner.waiting.popleft(), self.now_ms, work_ms)
            self.at(self.now_ms + ONE_WAY_MS, self._reach_server, *item)

    def _reach_server(self, owner, arrived_ms, sent_ms, work_ms):
        if self.running >= self.slots and len(self.queue) >= QUEUE_SIZE:
            self.rejected += 1
            owner.meter.record_rejection()
            owner.policy.record_rejection(owner.in_flight, int(self.now_ms))
            owner.in_flight -= 1
            self.at(self.now_ms + 25, self._retry, owner, arrived_ms)
            return
        self.queue.append((owner, arrived_ms, sent_ms, work_ms))
        self._start()

    def _retry(self, owner, arrived_ms):
        owner.waiting.appendleft(arrived_ms)
        self._send(owner)

    def _start(self):
        while self.queue and self.running < self.slots:
            item = self.queue.popleft()
            self.running += 1
            self.at(self.now_ms + item[3], self._finish, item)

    def _finish(self, item):
        self.running -= 1
        self._start()
        self.at(self.now_ms + ONE_WAY_MS, self._reply, *item)

    def _reply(self, owner, arrived_ms, sent_ms, _work_ms):
        owner.in_flight -= 1
        if owner.dead:
            return
        if not owner.runs(self.now_ms):
            self.at(owner.paused_until_ms, self._resume, owner)
            return
        owner.meter.record_reply(self.now_ms - sent_ms)
        owner.policy.record_reply(self.now_ms - sent_ms)
        self.completed.append((self.now_ms, owner.name, self.now_ms - arrived_ms))
        self._send(owner)

    def _resume(self, owner):
        self._send(owner)

    def _sample(self):
        self.at(self.now_ms + 1, self._sample)
        in_flight = self.running + len(self.queue)
        waits = any(owner.waiting and owner.runs(self.now_ms) for owner in self.owners)
        with_demand = sum(1 for owner in self.owners if owner.in_flight)
        self.samples.append((self.now_ms, self.running, in_flight, waits, with_demand))

    def busy_share(self, from_ms, until_ms):
        """Return the share of slots in use over the time in which any statement waits."""
        busy = [s[1] for s in self.samples if from_ms <= s[0] < until_ms and s[3]]
        return sum(busy) / (len(busy) * self.slots) if busy else 1.0

    def over_bound(self, from_ms, until_ms):
        """Return the ms with more in flight than 1.5 a slot and one for each owner with demand."""
        bound = 1.5 * self.slots
        return sum(1 for s in self.samples if from_ms <= s[0] < until_ms and s[2] > bound + s[4])

    def peak(self, from_ms, until_ms):
        return max(s[2] for s in self.samples if from_ms <= s[0] < until_ms)

    def mean_in_flight(self, from_ms, until_ms):
        values = [s[2] for s in self.samples if from_ms <= s[0] < until_ms]
        return sum(values) / len(values)


def overload(policy, seed=1, reported_slots=SLOTS):
    """Replay 6 s of three owners with uneven demand and 6 s of twelve, for 1.5 times the slots."""
    replay = Replay(policy, 12, reported_slots, seed)
    for owner, slots in enumerate((3.5, 1.8, 0.7)):
        replay.arrivals(owner, 500, 6_500, slots)
    for owner in range(12):
        replay.arrivals(owner, 6_500, 12_500, 0.5)
    return replay.run(13_000)


SEEDS = (1, 2, 3)
BUSY = OwnerReport(ServerLoad(9, 9))


@pytest.mark.parametrize("seed", SEEDS)
def test_slots_stay_full_and_the_queue_short_for_three_uneven_owners_and_for_twelve(seed):
    """Guards against 28 statements in flight for 4 slots, and against idle slots."""
    replay = overload(AllottedOwner, seed)
    assert replay.busy_share(1_500, 6_500) >= 0.95
    assert replay.busy_share(7_500, 12_500) >= 0.95
    assert replay.over_bound(500, 13_000) == 0
    assert replay.rejected == 0


@pytest.mark.parametrize("policy", [RejectionOwner, GradientOwner])
def test_limits_without_shared_demand_let_the_queue_of_the_server_grow(policy):
    """The ways that were not chosen: each exceeds the bound with twelve owners."""
    assert overload(policy).over_bound(7_500, 12_500) > 2_500


def test_equal_division_by_littles_law_leaves_slots_empty():
    """The way that was not chosen: owners without demand hold shares that others need."""
    assert overload(LittleOwner).busy_share(1_500, 6_500) < 0.8


@pytest.mark.parametrize("seed", SEEDS)
def test_demand_that_moves_is_followed_within_two_heartbeats(seed):
    """Guards against shares that stay where the demand was."""
    replay = Replay(seed=seed)
    replay.arrivals(0, 500, 3_000, 3.5)
    replay.arrivals(1, 3_000, 6_000, 6.0)
    replay.run(2_900)
    assert replay.owners[0].policy.allowed(2_900) >= 5 * replay.owners[1].policy.allowed(2_900)
    replay.run(3_000 + 2 * HEARTBEAT_MS + TICK_MS)
    assert replay.owners[1].policy.allowed(3_700) >= 5 * replay.owners[0].policy.allowed(3_700)
    replay.run(6_000)
    assert replay.busy_share(3_000 + 2 * HEARTBEAT_MS + TICK_MS, 6_000) >= 0.95
    assert replay.over_bound(500, 6_000) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_share_of_a_dead_owner_returns_after_it_was_silent_for_the_timeout(seed):
    """Guards against slots that are kept for an owner that is gone."""
    replay = Replay(seed=seed)
    for owner in range(3):
        replay.arrivals(owner, 500, 8_000, 3.0)
    replay.run(3_000)
    replay.owners[2].dead = True
    others = [owner.policy for owner in replay.owners[:2]]
    replay.run(3_000 + 1_200 - HEARTBEAT_MS)
    assert sum(policy.allowed(int(replay.now_ms)) for policy in others) <= 6
    back_ms = 3_000 + 1_200 + 2 * TICK_MS
    replay.run(back_ms)
    assert sum(policy.allowed(back_ms) for policy in others) == 8
    replay.run(8_000)
    assert replay.busy_share(back_ms, 8_000) >= 0.97
    # Meanwhile the others have two thirds of the 8 in flight.
    assert replay.busy_share(3_200, 4_100) >= 0.8
    assert replay.over_bound(500, 8_000) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_owner_that_resumes_after_a_pause_does_not_use_the_share_that_it_had(seed):
    """Guards against a burst of the resumed owner on top of the shares of all others."""
    replay = Replay(owners=2, seed=seed)
    replay.arrivals(0, 500, 8_000, 6.0)
    replay.arrivals(1, 2_500, 8_000, 6.0)
    replay.run(2_000)
    replay.owners[0].paused_until_ms = 5_000
    replay.run(5_000)
    assert replay.owners[1].policy.allowed(5_000) >= 6
    replay.run(8_000)
    assert replay.over_bound(5_000, 8_000) == 0
    assert replay.busy_share(5_600, 8_000) >= 0.95


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_heartbeats_raise_what_is_in_flight_by_no_more_than_a_second_total(seed):
    """Guards against shares that add up without end while reports are lost.

    A third of the heartbeats is lost and demand moves each second, so that an owner may use a share
    that another one has not yet given up.
    """
    replay = Replay(seed=seed)
    replay.drops = lambda _owner, _peer, _now_ms: replay.random.random() < 1 / 3
    for number in range(8):
        start_ms = 500 + 1_000 * number
        replay.arrivals(number % 3, start_ms, start_ms + 1_000, 6.0)
    replay.run(8_500)
    assert replay.peak(500, 8_500) <= 2 * 1.5 * SLOTS + 3
    assert replay.over_bound(500, 8_500) < 0.05 * 8_000
    assert replay.busy_share(1_000, 8_500) >= 0.8


@pytest.mark.parametrize("seed", SEEDS)
def test_server_that_reports_ten_times_its_slots_is_bounded_by_its_service_time(seed):
    """Guards against 60 in flight for 4 slots because the server says that it has 40."""
    replay = overload(AllottedOwner, seed, reported_slots=40)
    without = overload(LittleOwner, seed, reported_slots=40)
    assert replay.busy_share(1_500, 6_500) >= 0.95
    assert replay.mean_in_flight(1_500, 6_500) <= 4 * SLOTS
    assert replay.mean_in_flight(7_500, 12_500) < 0.6 * without.mean_in_flight(7_500, 12_500)
    assert replay.rejected <= 3


def test_server_that_has_forty_slots_gets_to_use_them():
    """Guards against a guard that holds back a server whose report is right."""
    replay = Replay(reported_slots=40)
    replay.slots = 40
    for owner in range(3):
        replay.arrivals(owner, 0, 16_000, 20.0)
    replay.run(16_000)
    assert replay.busy_share(12_000, 16_000) >= 0.9


@pytest.mark.parametrize(
    ("total", "demands", "expected"),
    [
        (6, {"a": 40, "b": 0, "c": 0}, {"a": 7, "b": 1, "c": 1}),
        (6, {"a": 40, "b": 40, "c": 1}, {"a": 4, "b": 3, "c": 1}),
        (6, {"a": 0, "b": 0, "c": 0}, {"a": 2, "b": 2, "c": 2}),
        (6, dict.fromkeys("abcdefghijkl", 9), dict.fromkeys("abcdefghijkl", 1)),
    ],
)
def test_shares_are_equal_up_to_the_demand_of_each_owner(total, demands, expected):
    """Guards against an owner without demand that costs the others their share."""
    assert share_slots(total, demands, sorted(demands)) == expected


@pytest.mark.parametrize(("age_ms", "expected"), [(400, 7), (500, 4), (1_200, 4), (1_300, 7)])
def test_late_owner_is_expected_to_need_its_share_until_it_is_silent(age_ms, expected):
    """Guards against two owners that both use a share because one did not hear of the other."""
    allotment = SlotAllotment("b", "s1")
    for now_ms in range(0, 1_000, 100):
        allotment.update({"b": BUSY, "a": OwnerReport(ServerLoad(), age_ms)}, SLOTS, now_ms)
    assert allotment.max_in_flight(900) == expected


def test_owner_of_an_earlier_release_keeps_an_equal_share():
    """It reports no load, so that its statements must be expected."""
    allotment = SlotAllotment("a", "s1")
    for now_ms in range(0, 1_000, 100):
        allotment.update({"a": BUSY, "b": OwnerReport(None)}, SLOTS, now_ms)
    assert allotment.max_in_flight(900) == 4


def test_allotment_without_updates_is_one():
    """Guards against an owner that resumes with the share that it had before its pause."""
    allotment = SlotAllotment("a", "s1")
    for now_ms in range(0, 1_000, 100):
        allotment.update({"a": BUSY}, SLOTS, now_ms)
    assert allotment.max_in_flight(900) == 7
    assert allotment.max_in_flight(1_600) == 1
    allotment.update({"a": BUSY}, SLOTS, 1_600)
    assert allotment.max_in_flight(1_600) == 1
