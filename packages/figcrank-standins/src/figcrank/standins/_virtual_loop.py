"""An event loop on a virtual clock and a network with faults."""

import heapq
import random
from collections.abc import Callable

from figcrank.state import Clock, ManualClock


class VirtualLoop:
    """Runs call-backs in the order of their virtual times.

    :param seed: seed of the random source that the network's faults are drawn from.
    """

    def __init__(self, seed: int = 1) -> None:
        self._clock = ManualClock()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._next_number = 0
        self._exact_now_ms = 0.0
        self.random = random.Random(seed)

    @property
    def clock(self) -> Clock:
        """Return the clock that the loop moves."""
        return self._clock

    @property
    def now_ms(self) -> int:
        """Return the current virtual time in milliseconds."""
        return self._clock.now_ms()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run ``action`` once ``delay_ms`` has passed."""
        self._next_number += 1
        heapq.heappush(self._queue, (self._exact_now_ms + delay_ms, self._next_number, action))

    def run_until(self, end_ms: int) -> None:
        """Run everything that is due before or at ``end_ms``."""
        while self._queue and self._queue[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._queue)
            self._advance(due_ms)
            action()
        self._advance(end_ms)

    def _advance(self, now_ms: float) -> None:
        self._exact_now_ms = max(self._exact_now_ms, now_ms)
        self._clock.advance_to(int(now_ms))

    def run_for(self, span_ms: int) -> None:
        """Run for ``span_ms`` of virtual time."""
        self.run_until(self.now_ms + span_ms)


class VirtualNetwork:
    """Delays, loss and cuts between named ends: hosts, backend servers, the platform.

    :param loop: loop that deliveries are scheduled on.
    :param zone_delay_ms: one-way delay between availability zones.
    :param local_delay_ms: one-way delay within an availability zone.
    """

    def __init__(
        self, loop: VirtualLoop, zone_delay_ms: float = 1.5, local_delay_ms: float = 0.2
    ) -> None:
        self._loop = loop
        self._zone_delay_ms = zone_delay_ms
        self._local_delay_ms = local_delay_ms
        self._zones: dict[str, str] = {}
        self._cuts: set[frozenset[str]] = set()
        self.datagram_loss = 0.0

    def place(self, end: str, availability_zone: str) -> None:
        """Say which availability zone an end is in."""
        self._zones[end] = availability_zone

    def cut(self, end: str, *others: str) -> None:
        """Drop everything between ``end`` and each of ``others``, both ways."""
        self._cuts.update(frozenset((end, other)) for other in others)

    def heal(self, end: str, *others: str) -> None:
        """Undo :meth:`cut`; without ``others``, every cut of ``end``."""
        if others:
            self._cuts.difference_update(frozenset((end, other)) for other in others)
            return
        self._cuts = {pair for pair in self._cuts if end not in pair}

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two ends."""
        return frozenset((one, other)) in self._cuts

    def delay_ms(self, one: str, other: str) -> float:
        """Return the one-way delay between two ends."""
        same = self._zones.get(one) == self._zones.get(other)
        return self._local_delay_ms if same else self._zone_delay_ms

    def send(self, source: str, target: str, arrive: Callable[[], None]) -> bool:
        """Deliver on a connection; return whether anything was sent.

        A cut that begins while the message is under way drops it too.
        """
        if self.is_cut(source, target):
            return False

        def delivered() -> None:
            if not self.is_cut(source, target):
                arrive()

        self._loop.after(self.delay_ms(source, target), delivered)
        return True

    def send_datagram(self, source: str, target: str, arrive: Callable[[], None]) -> None:
        """Deliver a datagram that may be lost."""
        if self._loop.random.random() >= self.datagram_loss:
            self.send(source, target, arrive)
