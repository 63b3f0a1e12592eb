"""The log position that a replica must have applied for a read with a staleness bound.

A statement sent to the primary at time t returns a position that covers every commit acknowledged
before t. The oldest such observation within the bound is therefore sufficient for a read, and is
the one that the largest number of lagging replicas can meet.
"""

from collections import deque

from figcrank.state._positions import Position

HISTORY_MS = 4_000  # longer than any staleness bound in use, so that each bound has an observation
MIN_SPACING_MS = 25  # closer ones would not noticeably lower the position
STALENESS_MARGIN_MS = 150  # covers the latency to the server and clock drift


class PositionHistory:
    """Recently observed positions of the primary of one database group."""

    def __init__(self) -> None:
        self._observed: deque[tuple[int, Position]] = deque()
        self._term = 0

    def observe(self, sent_ms: int, position: Position) -> None:
        """Add a position that the primary reported.

        :param sent_ms: lower bound of the time at which the primary had this position.
        :param position: position of the newest entry in its log.
        """
        if position.term < self._term:
            return
        if position.term > self._term:
            self._observed.clear()
            self._term = position.term
        if self._observed:
            # The newest entry covers every commit that this host knows of.
            newest_ms, newest = self._observed[-1]
            position = max(newest, position)
            if sent_ms - newest_ms < MIN_SPACING_MS:
                self._observed[-1] = newest_ms, position
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
        """Return the time and position of the newest observation, ``None`` if there is none."""
        return self._observed[-1] if self._observed else None

    def discard_before(self, term: int) -> None:
        """Discard positions observed in terms before ``term``."""
        if term > self._term:
            self._observed.clear()
            self._term = term
