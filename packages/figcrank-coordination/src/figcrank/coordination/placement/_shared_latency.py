"""The response time of a server as all owners have recently measured it.

Load pattern: servers of one group that differ by a factor of 5 and change within seconds. An owner
that uses a server little, or has just started, would need seconds to learn what others know. A
server that nobody uses because it was slow has to be tried again to show that it has recovered.
"""

from collections.abc import Collection

from figcrank.coordination.placement._health import INITIAL_LATENCY_MS
from figcrank.protocol.heartbeats import ServerLoad

RECENT_MS = 1_000  # covers the time that reports need to all owners
# A server that is 5 times slower than others is tried again 3 s after its last answer.
HALF_LIFE_MS = 1_000


class SharedLatency:
    """Mean response time of one server over all owners."""

    def __init__(self) -> None:
        self._mean_ms: float | None = None
        self._measured_ms = 0

    def update(self, loads: Collection[ServerLoad], now_ms: int) -> None:
        """Update the mean from the recent loads of all owners, weighted by samples."""
        samples = sum(load.samples for load in loads)
        if samples:
            self._mean_ms = sum(load.service_ms * load.samples for load in loads) / samples
        if samples or any(load.in_flight for load in loads):
            self._measured_ms = now_ms  # what is in flight will show whether it is still slow

    def latency_ms(self, now_ms: int) -> float | None:
        """Return the expected response time, ``None`` if no owner has measured it yet."""
        if self._mean_ms is None:
            return None
        age_ms = now_ms - self._measured_ms
        return INITIAL_LATENCY_MS + (self._mean_ms - INITIAL_LATENCY_MS) * remaining_share(age_ms)


def remaining_share(age_ms: int) -> float:
    """Return how much of an observation counts that is this old; half as much each second."""
    return 0.5 ** (max(0, age_ms - RECENT_MS) / HALF_LIFE_MS)
