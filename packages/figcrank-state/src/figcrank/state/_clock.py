"""The clock interface that all time-dependent code uses."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """A monotonic clock that counts whole milliseconds from an arbitrary start."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return the milliseconds elapsed since the clock's start."""


class ManualClock(Clock):
    """A clock that advances only by calls of :meth:`advance_to`.

    :param start_ms: the first reading, in milliseconds.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self._now_ms

    def advance_to(self, now_ms: int) -> None:
        """Advance the clock; an earlier reading leaves it unchanged.

        :param now_ms: the new reading, in milliseconds.
        """
        self._now_ms = max(self._now_ms, now_ms)
