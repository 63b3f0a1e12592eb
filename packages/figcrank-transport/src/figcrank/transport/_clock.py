"""Monotonic clocks of the operating system."""

import time

from figcrank.state._clock import Clock

_NS_PER_MS = 1_000_000


class MonotonicClock(Clock):
    """Reads the operating system's monotonic clock, which stops while the machine is suspended."""

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return time.monotonic_ns() // _NS_PER_MS


class BootClock(Clock):
    """Reads the time since boot, including time during which the machine was suspended.

    Used for leases: a host that was suspended must detect that its lease has expired.
    """

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS
