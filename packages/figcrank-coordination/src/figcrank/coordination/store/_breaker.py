"""Back-off and circuit breaking for calls to a service that may be down."""

from enum import StrEnum

from figcrank.state import RandomSource

BACKOFF_MS = 100
FAILURES_TO_OPEN = 3
MAX_BACKOFF_MS = 2_000


class BreakerState(StrEnum):
    """Whether calls are let through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Spaces calls out after failures and lets single trials through while the service is down.

    :param random: random source for the jitter.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._failures = 0
        self._retry_ms = 0
        self._trial_in_flight = False

    @property
    def has_failed(self) -> bool:
        """Return whether the newest outcome was a failure."""
        return self._failures > 0

    def state(self, now_ms: int) -> BreakerState:
        """Return whether calls are let through at ``now_ms``."""
        if self._failures < FAILURES_TO_OPEN:
            return BreakerState.CLOSED
        return BreakerState.HALF_OPEN if now_ms >= self._retry_ms else BreakerState.OPEN

    def allows(self, now_ms: int) -> bool:
        """Return whether a call may be made now."""
        if now_ms < self._retry_ms:
            return False
        return self.state(now_ms) is BreakerState.CLOSED or not self._trial_in_flight

    def on_call(self, now_ms: int) -> None:
        """Note that a call is made."""
        self._trial_in_flight = self.state(now_ms) is not BreakerState.CLOSED

    def on_success(self) -> None:
        """Note an answer."""
        self._failures = 0
        self._retry_ms = 0
        self._trial_in_flight = False

    def on_failure(self, now_ms: int) -> None:
        """Note that a call failed."""
        self._trial_in_flight = False
        longest_ms = min(MAX_BACKOFF_MS, BACKOFF_MS << min(self._failures, 16))
        self._failures += 1
        jittered_ms = int(longest_ms * (1 + self._random.random()) / 2)
        self._retry_ms = now_ms + jittered_ms
