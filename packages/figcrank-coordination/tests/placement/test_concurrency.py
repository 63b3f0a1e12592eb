"""A thundering herd at a server with a queue that is smaller than the hosts' connections."""

import heapq
import itertools
import random

import pytest

from figcrank.coordination.placement import ConcurrencyLimit

# As in a deployment with 36 connections to a server with 3 slots and a queue of 24.
HOSTS, CONNECTIONS = 9, 4
SLOTS, QUEUE_SIZE = 3, 24
STATEMENT_MS, CONNECT_MS = 24.0, 12.0
RETRY_MS, DEADLINE_MS = 25.0, 980.0
WORKSPACES = 8


class HerdSimulation:
    """Simulated hosts and one server; opening a connection takes a slot like a statement."""

    def __init__(self, limited, seed=1):
        self._random = random.Random(seed)
        self._limited = limited
        self._limits = [ConcurrencyLimit() for _ in range(HOSTS)]
        self._in_flight = [0] * HOSTS
        self._waiting = [[] for _ in range(HOSTS)]
        self._connections = [dict.fromkeys(range(CONNECTIONS), None) for _ in range(HOSTS)]
        self._queue = []
        self._running = 0
        self._events = []
        self._order = itertools.count()
        self.now_ms = 0.0
        self.served_ms = []
        self.rejected = 0

    def schedule(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._order), action, arguments))

    def arrive(self, host, workspace):
        """Queue a caller's statement at a host."""
        self._waiting[host].append((workspace, self.now_ms + DEADLINE_MS))
        self._send(host)

    def _allowed(self, host):
        if not self._limited:
            return CONNECTIONS
        return self._limits[host].max_in_flight(CONNECTIONS, int(self.now_ms))

    def _send(self, host):
        waiting = self._waiting[host]
        while waiting and self._in_flight[host] < self._allowed(host):
            workspace, deadline_ms = waiting.pop(0)
            if deadline_ms > self.now_ms:
                self._in_flight[host] += 1
                self._send_to_server(host, workspace, deadline_ms)

    def _send_to_server(self, host, workspace, deadline_ms):
        free = self._connections[host]
        own = [number for number, owner in free.items() if owner == workspace]
        number = own[0] if own else self._random.choice(list(free))
        is_connect = not own
        if len(self._queue) >= QUEUE_SIZE:
            self.rejected += 1
            self._limits[host].record_rejection(self._in_flight[host], int(self.now_ms))
            self._release(host)
            if self.now_ms + RETRY_MS < deadline_ms:
                self.schedule(self.now_ms + RETRY_MS, self._retry, host, workspace, deadline_ms)
            return
        free[number] = workspace
        self._queue.append((host, workspace, deadline_ms, is_connect))
        self._start_queued()

    def _retry(self, host, workspace, deadline_ms):
        self._waiting[host].append((workspace, deadline_ms))
        self._send(host)

    def _start_queued(self):
        while self._queue and self._running < SLOTS:
            job = self._queue.pop(0)
            self._running += 1
            self.schedule(
                self.now_ms + (CONNECT_MS if job[3] else STATEMENT_MS), self._finish, *job
            )

    def _finish(self, host, workspace, deadline_ms, is_connect):
        self._running -= 1
        if is_connect:
            self._send_to_server(host, workspace, deadline_ms)
        else:
            if self.now_ms <= deadline_ms:
                self.served_ms.append(self.now_ms)
            self._release(host)
        self._start_queued()

    def _release(self, host):
        self._in_flight[host] -= 1
        self._send(host)

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


def simulate(limited):
    """Simulate 600 callers that return at once, followed by 55 arrivals a second.

    :returns: the simulation and the number of arrivals after 6 s.
    """
    simulation = HerdSimulation(limited)
    source = random.Random(2)
    for _ in range(600):
        host, workspace = source.randrange(HOSTS), source.randrange(WORKSPACES)
        simulation.schedule(source.uniform(0, 200), simulation.arrive, host, workspace)
    at_ms, late_arrivals = 0.0, 0
    while at_ms < 12_000:
        at_ms += source.expovariate(55 / 1_000)
        late_arrivals += at_ms > 6_000
        simulation.schedule(
            at_ms, simulation.arrive, source.randrange(HOSTS), source.randrange(WORKSPACES)
        )
    simulation.run(13_000)
    return simulation, late_arrivals


def test_thundering_herd_is_served_within_seconds():
    simulation, late_arrivals = simulate(limited=True)
    served = sum(1 for at_ms in simulation.served_ms if at_ms > 6_000)
    assert served >= 0.98 * late_arrivals


def test_limit_prevents_most_rejections():
    """Without the limit, the server rejected three quarters of the work in a test run."""
    limited, _ = simulate(limited=True)
    unlimited, _ = simulate(limited=False)
    assert limited.rejected < 0.25 * unlimited.rejected


def test_no_limit_without_rejections():
    limit = ConcurrencyLimit()
    assert [limit.max_in_flight(maximum, 100) for maximum in (1, 4, 40)] == [1, 4, 40]


def test_simultaneous_rejections_halve_the_limit_once():
    limit = ConcurrencyLimit()
    for _ in range(8):
        limit.record_rejection(8, 1_000)
    assert limit.max_in_flight(8, 1_000) == 4


def test_limit_grows_back_to_the_maximum():
    limit = ConcurrencyLimit()
    limit.record_rejection(8, 1_000)
    assert limit.max_in_flight(8, 2_000) == 6
    assert limit.max_in_flight(8, 3_000) == 8


@pytest.mark.parametrize("in_flight", [0, 1, 2])
def test_limit_is_at_least_one(in_flight):
    limit = ConcurrencyLimit()
    limit.record_rejection(in_flight, 1_000)
    limit.record_rejection(in_flight, 2_000)
    assert limit.max_in_flight(9, 2_000) >= 1
