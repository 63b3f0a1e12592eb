"""The order in which servers are tried for a read.

Answers the pattern of slow, distant and failing servers: work goes where it is expected to end
first.
"""

from collections.abc import Iterable
from dataclasses import dataclass

CONNECT_COST_MS = 15.0  # a new connection holds a slot for 12 ms and takes a round trip
ZONE_COST_MS = 4.0  # two ways between availability zones, and the price of the bytes
FAILURE_COST_MS = 400.0  # a failed read is tried again: its own time and the next server's


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may run a read.

    :param server_id: its id.
    :param latency_ms: moving average of its answers.
    :param busy: statements of this host that it is running.
    :param waiting: statements of this host that wait for a connection to it.
    :param slots: statements that it runs at once.
    :param same_zone: whether it is in this host's availability zone.
    :param connected: whether a free connection of the workspace is open.
    :param failed_share: share of its late statements that failed.
    :param is_primary: whether it leads the group; writes have nowhere else to go.
    """

    server_id: str
    latency_ms: float
    busy: int
    waiting: int
    slots: int
    same_zone: bool
    connected: bool
    failed_share: float
    is_primary: bool


PRIMARY_COST_MS = 12.0  # keeps the primary's slots for writes while replicas are free


def rank(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates, the one that is expected to answer first at the front."""
    return sorted(candidates, key=expected_ms)


def expected_ms(candidate: Candidate) -> float:
    """Return the expected time until the candidate answers, in milliseconds."""
    load = (candidate.busy + candidate.waiting) / max(1, candidate.slots)
    cost = candidate.latency_ms * (1.0 + load)
    cost += 0.0 if candidate.connected else CONNECT_COST_MS
    cost += 0.0 if candidate.same_zone else ZONE_COST_MS
    cost += PRIMARY_COST_MS if candidate.is_primary else 0.0
    return cost + FAILURE_COST_MS * candidate.failed_share
