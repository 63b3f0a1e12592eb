"""The process's monotonic clock."""

import time

from figcrank.state import Clock

_NS_PER_MS = 1_000_000


class MonotonicClock(Clock):
    """Counts milliseconds of the operating system's monotonic clock."""

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return time.monotonic_ns() // _NS_PER_MS
