"""Which log position a replica must hold so that a read is within its age bound.

A statement sent to the primary at time t is answered with a position that covers every commit
acknowledged before t. The oldest such observation that is younger than the bound is therefore
enough for a read with that bound, and asks the least of replicas that lag.
"""

from collections import deque

from figcrank.state._positions import Position

KEEP_MS = 4_000  # longer than any age bound in use, so that each bound finds its observation
SPACING_MS = 25  # observations closer together than this add nothing that a read could use
BOUND_MARGIN_MS = 150  # covers the way from this host to the server and clocks that run apart


class FreshnessLog:
    """The primary's positions that were observed lately, for one database group."""

    def __init__(self) -> None:
        self._observed: deque[tuple[int, Position]] = deque()
        self._term = 0

    def observe(self, sent_ms: int, position: Position) -> None:
        """Take in a position that the primary told.

        :param sent_ms: a time at or before the one at which the primary had the position.
        :param position: the newest entry of its log.
        """
        if position.term < self._term:
            return
        if position.term > self._term:
            self._observed.clear()
            self._term = position.term
        newest_ms = self._observed[-1][0] if self._observed else sent_ms - SPACING_MS
        if sent_ms - newest_ms < SPACING_MS:
            return
        self._observed.append((sent_ms, position))
        while self._observed[0][0] < sent_ms - KEEP_MS:
            self._observed.popleft()

    def required(self, now_ms: int, max_staleness_ms: int) -> Position | None:
        """Return a position that covers every commit older than the bound, ``None`` if unknown."""
        oldest_ms = now_ms - max(0, max_staleness_ms - BOUND_MARGIN_MS)
        for sent_ms, position in self._observed:
            if sent_ms >= oldest_ms:
                return position
        return None

    def newest(self) -> tuple[int, Position] | None:
        """Return the newest observation and its time, ``None`` if there is none."""
        return self._observed[-1] if self._observed else None

    def forget_before(self, term: int) -> None:
        """Drop what was observed in terms before ``term``."""
        if term > self._term:
            self._observed.clear()
            self._term = term
