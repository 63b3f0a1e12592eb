"""Requests of workspaces that stay within their rate and burst, or far above it."""

from collections.abc import Callable, Iterable
from random import Random

from figcrank.measure._limit_fleet import Arrival
from figcrank.state import MILLI, TokenBucket, Workspace

PickHost = Callable[[Random], int]
# Share of the rate that a conforming workspace uses on average.
CONFORMING_SHARE = 0.8
# Share of the arrivals of a conforming workspace that come as a crowd.
CROWD_SHARE = 0.02
CROWD_BURST_DIVISOR = 3
_MS_PER_S = 1_000

WORKSPACES = tuple(
    Workspace(f"workspace-{number}", rate_per_s, rate_per_s // 2)
    for number, rate_per_s in enumerate((300, 200, 200, 60, 40, 40, 20, 20))
)


def even(hosts: int) -> PickHost:
    """Return a choice of hosts that the balancer makes evenly."""
    return lambda random: int(random.random() * hosts)


def skewed(hosts: int) -> PickHost:
    """Return a choice of hosts that sends four of five requests to one of them."""
    spread = even(hosts)
    return lambda random: 0 if random.random() < 0.8 else spread(random)


def conforming(
    workspace: Workspace, pick_host: PickHost, start_ms: int, end_ms: int, random: Random
) -> list[Arrival]:
    """Return arrivals, single and in crowds, that an ideal bucket admits without exception."""
    bucket = TokenBucket(workspace.rate_per_s, workspace.burst, start_ms)
    arrivals = []
    crowd = max(1, workspace.burst // CROWD_BURST_DIVISOR)
    size_on_average = 1 + CROWD_SHARE * (crowd - 1)
    gap_ms = _MS_PER_S * size_on_average / (workspace.rate_per_s * CONFORMING_SHARE)
    at_ms = float(start_ms)
    while (at_ms := at_ms + random.expovariate(1 / gap_ms)) < end_ms:
        size = crowd if random.random() < CROWD_SHARE else 1
        for _ in range(size):
            if bucket.level_milli(int(at_ms)) >= MILLI:
                bucket.take_up_to(MILLI, int(at_ms))
                arrivals.append(Arrival(int(at_ms), workspace.name, pick_host(random)))
    return arrivals


def flooding(
    workspace: Workspace,
    times_rate: int,
    pick_host: PickHost,
    start_ms: int,
    end_ms: int,
    random: Random,
) -> list[Arrival]:
    """Return arrivals at a multiple of the rate."""
    arrivals = []
    at_ms = float(start_ms)
    per_ms = workspace.rate_per_s * times_rate / _MS_PER_S
    while (at_ms := at_ms + random.expovariate(per_ms)) < end_ms:
        arrivals.append(Arrival(int(at_ms), workspace.name, pick_host(random)))
    return arrivals


def merged(streams: Iterable[list[Arrival]]) -> list[Arrival]:
    """Return the arrivals of several streams in order of time."""
    return sorted((arrival for stream in streams for arrival in stream), key=_time)


def _time(arrival: Arrival) -> int:
    return arrival.at_ms
