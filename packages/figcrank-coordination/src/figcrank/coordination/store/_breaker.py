"""Back-off and circuit breaking for calls to a service that may be down."""

from enum import StrEnum

from figcrank.state import RandomSource

INITIAL_BACKOFF_MS = 100
FAILURES_TO_OPEN = 3
MAX_BACKOFF_MS = 2_000


class BreakerState(StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Delays calls after failures and permits one trial call at a time while the service is down.

    The circuit opens after :data:`FAILURES_TO_OPEN` consecutive failures. The retry delay doubles
    with each failure up to :data:`MAX_BACKOFF_MS`; the delay used is drawn at random between half
    of that and the full value.

    :param random: random source for the jitter.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._failures = 0
        self._retry_at_ms = 0
        self._trial_in_flight = False

    @property
    def has_failed(self) -> bool:
        """Return whether the latest call failed."""
        return self._failures > 0

    def state(self, now_ms: int) -> BreakerState:
        """Return the state at ``now_ms``."""
        if self._failures < FAILURES_TO_OPEN:
            return BreakerState.CLOSED
        return BreakerState.HALF_OPEN if now_ms >= self._retry_at_ms else BreakerState.OPEN

    def allows(self, now_ms: int) -> bool:
        """Return whether a call may be made now."""
        if now_ms < self._retry_at_ms:
            return False
        return self.state(now_ms) is BreakerState.CLOSED or not self._trial_in_flight

    def on_start(self, now_ms: int) -> None:
        """Record that a call starts."""
        self._trial_in_flight = self.state(now_ms) is not BreakerState.CLOSED

    def on_success(self) -> None:
        """Record that a call was answered."""
        self._failures = 0
        self._retry_at_ms = 0
        self._trial_in_flight = False

    def on_failure(self, now_ms: int) -> None:
        """Record that a call failed."""
        self._trial_in_flight = False
        max_delay_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << min(self._failures, 16))
        self._failures += 1
        delay_ms = int(max_delay_ms * (1 + self._random.random()) / 2)
        self._retry_at_ms = now_ms + delay_ms
