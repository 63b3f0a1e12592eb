import random

import pytest

from figcrank.coordination import CallPlatform, PlatformReplied
from figcrank.coordination._outbox import Outbox
from figcrank.coordination.store._breaker import BreakerState, CircuitBreaker
from figcrank.coordination.store._platform import (
    MAX_IN_FLIGHT,
    MIN_READ_INTERVAL_MS,
    PlatformClient,
)
from figcrank.protocol import ListHosts, ObjectList, PlatformFailed


class FakeMembership:
    """A membership with a given number of peers and cells."""

    def __init__(self, peers, cells):
        self._peers = peers
        self._cells = cells

    def peers(self):
        return tuple(range(self._peers))

    def contacts(self):
        return tuple(type("Contact", (), {"cell": cell}) for cell in range(self._cells))


@pytest.fixture
def breaker():
    return CircuitBreaker(random.Random(1))


def make_client(peers=8, cells=0):
    outbox = Outbox()
    return outbox, PlatformClient(outbox, FakeMembership(peers, cells), random.Random(1))


def test_open_breaker_permits_single_trial_calls(breaker):
    for at_ms in (0, 1_000, 2_000):
        breaker.on_failure(at_ms)
    assert breaker.state(2_000) is BreakerState.OPEN
    assert not breaker.allows(2_000)
    assert breaker.allows(10_000)
    breaker.on_start(10_000)
    assert not breaker.allows(10_000)
    breaker.on_success()
    assert breaker.state(10_000) is BreakerState.CLOSED


def test_failure_is_followed_by_a_backoff(breaker):
    breaker.on_failure(0)
    assert not breaker.allows(49)
    assert breaker.allows(100)


def test_backoff_is_bounded_after_many_failures(breaker):
    for _ in range(10_000):
        breaker.on_failure(0)
    assert breaker.allows(2_000)


def test_calls_in_flight_to_a_slow_platform_are_bounded():
    outbox, client = make_client()
    made = [
        client.read(ListHosts(), 10_000, number * MIN_READ_INTERVAL_MS, lambda result, now_ms: None)
        for number in range(100)
    ]
    assert sum(made) == MAX_IN_FLIGHT


def test_answer_ends_the_call_in_flight_and_updates_reachability():
    outbox, client = make_client()
    client.write(ListHosts(), 1_000, 0, lambda result, now_ms: None)
    (call,) = [action for action in outbox.drain() if isinstance(action, CallPlatform)]
    assert not client.is_reachable
    outbox.on_reply(PlatformReplied(call.call_id, ObjectList(1, ())), 10)
    assert client.is_reachable
    client.write(ListHosts(), 1_000, 20, lambda result, now_ms: None)
    (call,) = outbox.drain()
    outbox.on_reply(PlatformReplied(call.call_id, PlatformFailed("down")), 30)
    assert client.has_failed
    assert not client.is_reachable


def test_read_budget_is_divided_by_the_known_hosts():
    _, few_hosts = make_client(peers=8)
    _, many_hosts = make_client(peers=35, cells=99)
    assert few_hosts.read_interval_ms(as_watcher=False) == MIN_READ_INTERVAL_MS
    reads_per_s = 3_600 * 1_000 / many_hosts.read_interval_ms(as_watcher=False)
    assert reads_per_s + 200 * 1_000 / many_hosts.read_interval_ms(as_watcher=True) <= 2_000
