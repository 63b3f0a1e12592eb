"""The order in which servers are tried for a read.

Servers are ranked by the expected time to a result, so that slow, distant, busy and failing servers
get less work.
"""

from collections.abc import Iterable
from dataclasses import dataclass

CONNECT_COST_MS = 15.0  # a new connection occupies a slot for 12 ms and takes a round trip
# A round trip between regions, and traffic at four times the price of that between zones. A latency
# that was measured some seconds ago counts less and less, so that it does not tell the distance.
REGION_COST_MS = 50.0
ZONE_COST_MS = 4.0  # a round trip between availability zones, and the price of the traffic
FAILURE_COST_MS = 400.0  # a failed read costs its own time and the time of the retry

# Reports are up to 400 ms old; within this factor, they don't tell which server is faster now.
SIMILAR_FACTOR = 1.25
COLD_FACTOR = 2.0  # a server that has just started takes about twice as long


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may run a read.

    :param server_id: id of the server.
    :param latency_ms: moving average of its response times.
    :param busy: number of this host's statements that it is running.
    :param wait_ms: expected time until the read begins there, 0 if a slot is free.
    :param slots: number of statements that it runs at once.
    :param same_zone: whether it is in this host's availability zone.
    :param connected: whether the workspace has an idle open connection to it.
    :param failed_share: share of its recent statements that failed.
    :param is_primary: whether it is the group's primary, the only server for writes.
    :param cold: whether it is slow because it started a short time ago.
    :param same_region: whether it is in this host's region.
    """

    server_id: str
    latency_ms: float
    busy: int
    wait_ms: float
    slots: int
    same_zone: bool
    connected: bool
    failed_share: float
    is_primary: bool
    cold: bool = False
    same_region: bool = True


PRIMARY_COST_MS = 12.0  # keeps the primary's slots free for writes while replicas have capacity


def rank(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates ordered by expected response time, the shortest first."""
    return sorted(candidates, key=expected_ms)


def choose_between_best(ranked: list[Candidate], draw: float) -> list[Candidate]:
    """Return the candidates with one of the two best first, if they are similarly fast.

    All owners rank servers by the same figures. If each took the best one, all would move to it at
    once, and away from it again.

    :param ranked: result of :func:`rank`.
    :param draw: random number from 0 to 1.
    """
    if len(ranked) < 2:
        return ranked
    best_ms, second_ms = expected_ms(ranked[0]), expected_ms(ranked[1])
    if second_ms > SIMILAR_FACTOR * best_ms or draw >= best_ms / (best_ms + second_ms):
        return ranked
    return [ranked[1], ranked[0], *ranked[2:]]


def expected_ms(candidate: Candidate) -> float:
    """Return the expected response time of a candidate, in milliseconds."""
    load = candidate.busy / max(1, candidate.slots)
    cost = candidate.latency_ms * (1.0 + load) + candidate.wait_ms
    cost += 0.0 if candidate.connected else CONNECT_COST_MS
    cost += 0.0 if candidate.same_zone else ZONE_COST_MS
    cost += 0.0 if candidate.same_region else REGION_COST_MS
    cost += PRIMARY_COST_MS if candidate.is_primary else 0.0
    cost += FAILURE_COST_MS * candidate.failed_share
    return COLD_FACTOR * cost if candidate.cold else cost
