import random

import pytest

from figcrank.coordination import CallPlatform, PlatformReplied
from figcrank.coordination._port import Port
from figcrank.coordination.store._breaker import BreakerState, CircuitBreaker
from figcrank.coordination.store._platform import MAX_IN_FLIGHT, MIN_PACE_MS, PlatformClient
from figcrank.protocol import ListHosts, ObjectList, PlatformFailed


class Seen:
    """A membership of any size."""

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


def client_of(peers=8, cells=0):
    port = Port()
    return port, PlatformClient(port, Seen(peers, cells), random.Random(1))


def test_breaker_lets_single_trials_through(breaker):
    for at_ms in (0, 1_000, 2_000):
        breaker.on_failure(at_ms)
    assert breaker.state(2_000) is BreakerState.OPEN
    assert not breaker.allows(2_000)
    assert breaker.allows(10_000)
    breaker.on_call(10_000)
    assert not breaker.allows(10_000)
    breaker.on_success()
    assert breaker.state(10_000) is BreakerState.CLOSED


def test_failure_is_followed_by_a_pause(breaker):
    breaker.on_failure(0)
    assert not breaker.allows(49)
    assert breaker.allows(100)


def test_pause_is_bounded_after_days_of_failures(breaker):
    for _ in range(10_000):
        breaker.on_failure(0)
    assert breaker.allows(2_000)


def test_slow_platform_gets_few_calls_at_once():
    port, client = client_of()
    made = [
        client.read(ListHosts(), 10_000, number * MIN_PACE_MS, lambda result, now_ms: None)
        for number in range(100)
    ]
    assert sum(made) == MAX_IN_FLIGHT


def test_answer_frees_the_place_and_tells_reachability():
    port, client = client_of()
    client.write(ListHosts(), 1_000, 0, lambda result, now_ms: None)
    (call,) = [action for action in port.drain() if isinstance(action, CallPlatform)]
    assert not client.is_reachable
    port.on_reply(PlatformReplied(call.call_id, ObjectList(1, ())), 10)
    assert client.is_reachable
    client.write(ListHosts(), 1_000, 20, lambda result, now_ms: None)
    (call,) = port.drain()
    port.on_reply(PlatformReplied(call.call_id, PlatformFailed("down")), 30)
    assert client.has_failed
    assert not client.is_reachable


def test_budget_is_divided_by_the_hosts_seen():
    _, few = client_of(peers=8)
    _, many = client_of(peers=35, cells=99)
    assert few.pace_ms(as_watcher=False) == MIN_PACE_MS
    reads_per_s = 3_600 * 1_000 / many.pace_ms(as_watcher=False)
    assert reads_per_s + 200 * 1_000 / many.pace_ms(as_watcher=True) <= 2_000
