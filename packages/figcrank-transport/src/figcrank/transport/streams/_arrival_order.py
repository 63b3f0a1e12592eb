"""The order in which statements go on that wait for the same event."""

import heapq
import itertools

import eventlet
from eventlet.event import Event


class Arrival:
    """A statement that waits.

    :param arrived_ms: time at which its operation arrived.
    :param sequence: order of arrivals at the same time.
    """

    def __init__(self, arrived_ms: int, sequence: int) -> None:
        self.key = (arrived_ms, sequence)
        self.left = False
        self._turn = Event()

    def __lt__(self, other: "Arrival") -> bool:
        return self.key < other.key

    def wait_for_turn(self, wait_ms: float) -> None:
        """Wait at most ``wait_ms`` until it is the first."""
        with eventlet.Timeout(wait_ms / 1_000, False):
            self._turn.wait()

    def wake(self) -> None:
        """End its wait."""
        turn, self._turn = self._turn, Event()
        turn.send(None)


class ArrivalOrder:
    """Waiting statements, of which only the one that arrived first may go on.

    The next one is woken when it has gone on.
    """

    def __init__(self) -> None:
        self._waiting: list[Arrival] = []
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Return the number of waiting statements."""
        return sum(1 for arrival in self._waiting if not arrival.left)

    def join(self, arrived_ms: int) -> Arrival:
        """Add a statement."""
        arrival = Arrival(arrived_ms, next(self._sequence))
        heapq.heappush(self._waiting, arrival)
        return arrival

    def first(self) -> Arrival | None:
        """Return the statement that arrived first, ``None`` if none waits."""
        while self._waiting and self._waiting[0].left:
            heapq.heappop(self._waiting)
        return self._waiting[0] if self._waiting else None

    def leave(self, arrival: Arrival) -> None:
        """Remove a statement and wake the one that is first now."""
        arrival.left = True
        first = self.first()
        if first is not None:
            first.wake()
