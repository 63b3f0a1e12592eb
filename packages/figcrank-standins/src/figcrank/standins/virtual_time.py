"""Runs eventlet code in virtual time: sleeping advances a clock instead of waiting."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from eventlet import hubs
from eventlet.hubs.hub import BaseHub

from figcrank.state._clock import Clock

Result = TypeVar("Result")


class VirtualTimeHub(BaseHub):
    """Event loop that advances its own clock to the next timer instead of waiting.

    It has no real I/O: code that runs on it needs stand-ins for its sockets.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        super().__init__(clock=lambda: self.now_s)

    @staticmethod
    def is_available() -> bool:
        """Return that this hub works on every platform."""
        return True

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock to the next timer."""
        self.now_s += seconds or 0


class HubClock(Clock):
    """Clock of the current thread's event loop."""

    def now_ms(self) -> int:
        """Return the time since the loop was created, in milliseconds."""
        return round(hubs.get_hub().clock() * 1_000)


def in_virtual_time(scenario: Callable[[], Result]) -> Result:
    """Run a function on a :class:`VirtualTimeHub`, which belongs to a thread of its own."""

    def run() -> Result:
        hubs.use_hub(VirtualTimeHub)
        return scenario()

    with ThreadPoolExecutor(1) as executor:
        return executor.submit(run).result()
