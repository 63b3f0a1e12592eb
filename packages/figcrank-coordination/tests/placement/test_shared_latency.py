"""Replays reads of twelve owners at three servers, of which one is slow for some time."""

import heapq
import itertools
import random

import pytest

from figcrank.coordination.placement import (
    Candidate,
    LoadMeter,
    ServerHealth,
    SharedLatency,
    choose_between_best,
    rank,
)
from figcrank.protocol.heartbeats import ServerLoad

SLOTS, READ_MS, SLOW_FACTOR = 4, 30.0, 5.0
SERVERS = ("s1", "s2", "s3")
OWNERS = 12
READS_PER_S = 160.0  # 0.4 of the slots of three servers, 0.6 of two


class Reads:
    """Owners that choose servers by shared figures, in virtual time.

    :param shared: whether they share figures; otherwise each knows its own only.
    """

    def __init__(self, shared=True, chooses=True, seed=1):
        self.random = random.Random(seed)
        self.shared, self.chooses = shared, chooses
        self.now_ms = 0.0
        self.slow = lambda _server, _now_ms: False
        self.queues = {server: [] for server in SERVERS}
        self.running = dict.fromkeys(SERVERS, 0)
        self.meters = [{s: LoadMeter(0) for s in SERVERS} for _ in range(OWNERS)]
        self.latencies = [{s: SharedLatency() for s in SERVERS} for _ in range(OWNERS)]
        self.health = [{s: ServerHealth() for s in SERVERS} for _ in range(OWNERS)]
        self.in_flight = [dict.fromkeys(SERVERS, 0) for _ in range(OWNERS)]
        self.published = [{} for _ in range(OWNERS)]
        self.heard = [{} for _ in range(OWNERS)]
        self.sent = []  # time, owner, server
        self.done = []  # time, latency
        self._events, self._order = [], itertools.count()
        for owner in range(OWNERS):
            phase_ms = self.random.uniform(0, 100)
            self.at(phase_ms, self._tick, owner)
            self.at(3 * phase_ms, self._heartbeat, owner)
        at_ms = 0.0
        while at_ms < 20_000:
            at_ms += self.random.expovariate(READS_PER_S / 1_000)
            self.at(at_ms, self._read, self.random.randrange(OWNERS))

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._order), action, arguments))

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def _tick(self, owner):
        self.at(self.now_ms + 100, self._tick, owner)
        now_ms = int(self.now_ms)
        for server in SERVERS:
            load = self.meters[owner][server].sample(self.in_flight[owner][server], 0, now_ms)
            self.published[owner][server] = load or ServerLoad()
            peers = self.heard[owner].values() if self.shared else ()
            loads = [self.published[owner][server], *(peer[server] for peer in peers)]
            self.latencies[owner][server].update(loads, now_ms)

    def _heartbeat(self, owner):
        self.at(self.now_ms + 300, self._heartbeat, owner)
        loads = dict(self.published[owner])
        for peer in range(OWNERS):
            if peer != owner and loads:
                self.heard[peer][owner] = loads

    def _candidate(self, owner, server):
        health = self.health[owner][server]
        latency_ms = self.latencies[owner][server].latency_ms(int(self.now_ms))
        latency_ms = health.latency_ms if latency_ms is None else latency_ms
        busy = self.in_flight[owner][server]
        return Candidate(server, latency_ms, busy, 0, SLOTS, True, True, 0.0, False)

    def _read(self, owner):
        ranked = rank(self._candidate(owner, server) for server in SERVERS)
        if self.chooses:
            ranked = choose_between_best(ranked, self.random.random())
        server = ranked[0].server_id
        self.sent.append((self.now_ms, owner, server))
        self.in_flight[owner][server] += 1
        self.queues[server].append((owner, self.now_ms))
        self._start(server)

    def _start(self, server):
        while self.queues[server] and self.running[server] < SLOTS:
            item = self.queues[server].pop(0)
            self.running[server] += 1
            factor = SLOW_FACTOR if self.slow(server, self.now_ms) else 1.0
            self.at(self.now_ms + READ_MS * factor, self._finish, server, *item)

    def _finish(self, server, owner, sent_ms):
        self.running[server] -= 1
        self.in_flight[owner][server] -= 1
        took_ms = self.now_ms - sent_ms
        self.meters[owner][server].record_reply(took_ms)
        self.health[owner][server].record_answer(int(self.now_ms), took_ms)
        self.done.append((self.now_ms, took_ms))
        self._start(server)

    def share(self, server, from_ms, until_ms):
        """Return the share of the reads that were sent to a server in a time span."""
        sent = [item[2] for item in self.sent if from_ms <= item[0] < until_ms]
        return sent.count(server) / len(sent)

    def mean_ms(self, from_ms, until_ms):
        took = [took_ms for at_ms, took_ms in self.done if from_ms <= at_ms < until_ms]
        return sum(took) / len(took)


def with_slow_server(seed, **options):
    """Replay 18 s in which server ``s1`` is slow from 5 s to 10 s."""
    reads = Reads(seed=seed, **options)
    reads.slow = lambda server, now_ms: server == "s1" and 5_000 <= now_ms < 10_000
    return reads.run(18_000)


SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_server_gets_no_more_than_it_bears(seed):
    """Guards against reads that wait at a slow server while others have slots.

    It bears 27 reads a second, a sixth of all.
    """
    reads = with_slow_server(seed)
    assert reads.share("s1", 6_000, 10_000) <= 1 / 6
    assert reads.mean_ms(6_500, 10_000) <= 3 * READ_MS


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_server_gets_work_back_within_seconds_of_its_recovery(seed):
    """Guards against a server that stays unused because its last answers were slow."""
    reads = with_slow_server(seed)
    assert reads.share("s1", 14_000, 18_000) >= 0.5 / len(SERVERS)


@pytest.mark.parametrize("seed", SEEDS)
def test_owners_do_not_all_take_the_same_server(seed):
    """Guards against owners that move together, as they rank by the same figures.

    Between two exchanges of figures, no server of three should get more than half of the reads.
    """
    reads = with_slow_server(seed)
    largest = [
        max(reads.share(server, start_ms, start_ms + 400) for server in SERVERS)
        for start_ms in (*range(1_000, 5_000, 400), *range(14_000, 18_000, 400))
    ]
    assert sum(largest) / len(largest) <= 0.5


def test_new_owner_knows_what_the_others_know():
    """Guards against an owner that sends its first reads to a server known to be slow."""
    latency = SharedLatency()
    latency.update([ServerLoad(), ServerLoad(1, 0, 150.0, 30), ServerLoad(1, 0, 120.0, 10)], 0)
    assert latency.latency_ms(0) == 142.5


def test_server_without_an_answer_is_not_taken_for_fast_while_statements_are_in_flight():
    """Guards against a server that answers nobody and is tried more and more."""
    latency = SharedLatency()
    latency.update([ServerLoad(1, 0, 100.0, 10)], 0)
    latency.update([ServerLoad(3)], 5_000)
    assert latency.latency_ms(5_000) == 100.0
    assert latency.latency_ms(9_000) < 20.0


@pytest.mark.parametrize(
    ("latencies", "draw", "first"),
    [((30.0, 33.0), 0.4, "s2"), ((30.0, 33.0), 0.6, "s1"), ((30.0, 60.0), 0.0, "s1")],
)
def test_choice_is_between_the_two_best_if_they_are_similar(latencies, draw, first):
    candidates = [
        Candidate(name, latency_ms, 0, 0, 4, True, True, 0.0, False)
        for name, latency_ms in zip(SERVERS, latencies, strict=False)
    ]
    assert choose_between_best(rank(candidates), draw)[0].server_id == first
