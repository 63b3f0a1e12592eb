"""Replays a herd at one server, whose queue is smaller than all hosts' connections together."""

import heapq
import itertools
import random

import pytest

from figcrank.coordination.placement import ConcurrencyLimit

HOSTS, CONNECTIONS = 9, 4  # the users' second site: 36 connections before 3 slots and 24 places
SLOTS, PLACES = 3, 24
WORK_MS, OPENING_MS = 24.0, 12.0
RETRY_MS, DEADLINE_MS = 25.0, 980.0
WORKSPACES = 8


class Herd:
    """Hosts that each send what they have; a new connection is a piece of work as well."""

    def __init__(self, limited, seed=1):
        self._random = random.Random(seed)
        self._limited = limited
        self._limits = [ConcurrencyLimit() for _ in range(HOSTS)]
        self._in_flight = [0] * HOSTS
        self._waiting = [[] for _ in range(HOSTS)]
        self._open = [dict.fromkeys(range(CONNECTIONS), None) for _ in range(HOSTS)]
        self._queue = []
        self._running = 0
        self._events = []
        self._order = itertools.count()
        self.now_ms = 0.0
        self.served_ms = []
        self.rejected = 0

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._order), action, arguments))

    def arrive(self, host, workspace):
        """A caller sends a statement."""
        self._waiting[host].append((workspace, self.now_ms + DEADLINE_MS))
        self._send(host)

    def _allowed(self, host):
        if not self._limited:
            return CONNECTIONS
        return self._limits[host].allowed(CONNECTIONS, int(self.now_ms))

    def _send(self, host):
        waiting = self._waiting[host]
        while waiting and self._in_flight[host] < self._allowed(host):
            workspace, deadline_ms = waiting.pop(0)
            if deadline_ms > self.now_ms:
                self._in_flight[host] += 1
                self._try(host, workspace, deadline_ms)

    def _try(self, host, workspace, deadline_ms):
        free = self._open[host]
        mine = [number for number, owner in free.items() if owner == workspace]
        number = mine[0] if mine else self._random.choice(list(free))
        opening = not mine
        if len(self._queue) >= PLACES:
            self.rejected += 1
            self._limits[host].rejected(self._in_flight[host], int(self.now_ms))
            self._end(host)
            if self.now_ms + RETRY_MS < deadline_ms:
                self.at(self.now_ms + RETRY_MS, self._again, host, workspace, deadline_ms)
            return
        free[number] = workspace
        self._queue.append((host, workspace, deadline_ms, opening))
        self._start()

    def _again(self, host, workspace, deadline_ms):
        self._waiting[host].append((workspace, deadline_ms))
        self._send(host)

    def _start(self):
        while self._queue and self._running < SLOTS:
            job = self._queue.pop(0)
            self._running += 1
            self.at(self.now_ms + (OPENING_MS if job[3] else WORK_MS), self._done, *job)

    def _done(self, host, workspace, deadline_ms, opening):
        self._running -= 1
        if opening:
            self._try(host, workspace, deadline_ms)
        else:
            if self.now_ms <= deadline_ms:
                self.served_ms.append(self.now_ms)
            self._end(host)
        self._start()

    def _end(self, host):
        self._in_flight[host] -= 1
        self._send(host)

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


def play(limited):
    """600 callers return at once, then 55 a second come; return the herd and the late arrivals."""
    herd = Herd(limited)
    source = random.Random(2)
    for _ in range(600):
        host, workspace = source.randrange(HOSTS), source.randrange(WORKSPACES)
        herd.at(source.uniform(0, 200), herd.arrive, host, workspace)
    at_ms, late = 0.0, 0
    while at_ms < 12_000:
        at_ms += source.expovariate(55 / 1_000)
        late += at_ms > 6_000
        herd.at(at_ms, herd.arrive, source.randrange(HOSTS), source.randrange(WORKSPACES))
    herd.run(13_000)
    return herd, late


def test_a_herd_is_served_within_seconds():
    herd, late = play(limited=True)
    served = sum(1 for at_ms in herd.served_ms if at_ms > 6_000)
    assert served >= 0.98 * late


def test_the_limit_keeps_most_work_from_being_sent_in_vain():
    """Without it the server rejected three of four pieces of work on a day of our own."""
    limited, _ = play(limited=True)
    unlimited, _ = play(limited=False)
    assert limited.rejected < 0.25 * unlimited.rejected


def test_a_server_that_rejects_nothing_is_given_all_that_there_is():
    limit = ConcurrencyLimit()
    assert [limit.allowed(most, 100) for most in (1, 4, 40)] == [1, 4, 40]


def test_one_rejection_halves_what_is_in_flight_and_others_of_the_same_time_do_not():
    limit = ConcurrencyLimit()
    for _ in range(8):
        limit.rejected(8, 1_000)
    assert limit.allowed(8, 1_000) == 4


def test_it_grows_back_until_it_no_longer_matters():
    limit = ConcurrencyLimit()
    limit.rejected(8, 1_000)
    assert limit.allowed(8, 2_000) == 6
    assert limit.allowed(8, 3_000) == 8


@pytest.mark.parametrize("in_flight", [0, 1, 2])
def test_one_piece_of_work_is_always_allowed(in_flight):
    limit = ConcurrencyLimit()
    limit.rejected(in_flight, 1_000)
    limit.rejected(in_flight, 2_000)
    assert limit.allowed(9, 2_000) >= 1
