"""The process's monotonic clock."""

import time

from figcrank.state._clock import Clock

_NS_PER_MS = 1_000_000


class MonotonicClock(Clock):
    """Counts milliseconds of the operating system's monotonic clock."""

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return time.monotonic_ns() // _NS_PER_MS


class BootClock(Clock):
    """Counts milliseconds since the machine's start, the time that it was suspended included.

    Leases are counted by it: a host that was suspended must see that its lease has ended.
    """

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS
