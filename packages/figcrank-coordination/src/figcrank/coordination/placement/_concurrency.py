"""How much of this host's work one server is given at once.

The connections of all hosts together may be more than a server runs and queues. When callers return
in a herd, to a new primary for example, its queue is full at once: it rejects most of the work, and
what it does run are new connections, opened by work that is then rejected. Each host gives it less
from the first rejection on, and slowly more again; the rest waits at the host, in the host's order.
"""

KEPT_SHARE = 0.5  # of the work that was in flight when the server rejected some
CUT_PAUSE_MS = 100  # rejections of work sent before a cut say nothing about it
GROWTH_PER_S = 2.0  # nine hosts then fill a queue of twenty within a second or two


class ConcurrencyLimit:
    """The most statements and new connections of this host in flight at one server."""

    def __init__(self) -> None:
        self._limit: float | None = None
        self._updated_ms = 0
        self._cut_ms = 0

    def allowed(self, most: int, now_ms: int) -> int:
        """Return the limit.

        :param most: how many there can be at all; while the server rejects nothing, the limit.
        """
        if self._limit is None:
            return most
        self._limit += GROWTH_PER_S * max(0, now_ms - self._updated_ms) / 1_000
        self._updated_ms = now_ms
        if self._limit >= most:
            self._limit = None
            return most
        return max(1, int(self._limit))

    def rejected(self, in_flight: int, now_ms: int) -> None:
        """Count work that the server rejected because its queue is full.

        :param in_flight: how much was in flight, the rejected work included.
        """
        if self._limit is not None and now_ms - self._cut_ms < CUT_PAUSE_MS:
            return
        self._limit = max(1.0, KEPT_SHARE * in_flight)
        self._updated_ms = now_ms
        self._cut_ms = now_ms
