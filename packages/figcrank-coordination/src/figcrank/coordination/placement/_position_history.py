"""The log position that a replica must have applied for a read with a staleness bound.

A statement sent to the primary at time t returns a position that covers every commit acknowledged
before t. The oldest such observation within the bound is therefore sufficient for a read, and is
the one that the largest number of lagging replicas can meet.
"""

from collections import deque

from figcrank.state._positions import ORIGIN, Position

HISTORY_MS = 4_000  # longer than any staleness bound in use, so that each bound has an observation
MIN_SPACING_MS = 25  # closer ones would not noticeably lower the position
STALENESS_MARGIN_MS = 150  # covers the latency to the server and clock drift


class PositionHistory:
    """Recently observed positions of the primary of one database group."""

    def __init__(self) -> None:
        self._observed: deque[tuple[int, Position]] = deque()
        self._term = 0
        self._highest = ORIGIN

    def observe(self, sent_ms: int, position: Position) -> None:
        """Add a position that the primary reported.

        :param sent_ms: lower bound of the time at which the primary had this position.
        :param position: position of the newest entry in its log.
        """
        if position.term < self._term:
            return
        if position.term > self._term:
            self.discard_before(position.term)
        self._highest = max(self._highest, position)
        newest_ms = self._observed[-1][0] if self._observed else sent_ms - MIN_SPACING_MS
        if sent_ms - newest_ms < MIN_SPACING_MS:
            return
        self._observed.append((sent_ms, position))
        while self._observed[0][0] < sent_ms - HISTORY_MS:
            self._observed.popleft()

    def required_position(self, now_ms: int, max_staleness_ms: int) -> Position | None:
        """Return a position that covers every commit older than the bound, ``None`` if unknown.

        :param max_staleness_ms: the staleness bound of the read.
        """
        oldest_ms = now_ms - max(0, max_staleness_ms - STALENESS_MARGIN_MS)
        for sent_ms, position in self._observed:
            if sent_ms >= oldest_ms:
                return position
        return None

    def newest(self) -> tuple[int, Position] | None:
        """Return the time of the newest observation and the highest position observed.

        The position covers every commit that this host knows of, also those of observations that
        were too close to the previous one to be kept. ``None`` if there is no observation.
        """
        return (self._observed[-1][0], self._highest) if self._observed else None

    def discard_before(self, term: int) -> None:
        """Discard positions observed in terms before ``term``."""
        if term > self._term:
            self._observed.clear()
            self._highest = ORIGIN
            self._term = term
