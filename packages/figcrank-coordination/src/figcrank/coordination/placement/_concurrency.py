"""Adaptive limit on the work that this host sends to one server at once.

All hosts together may have more connections than a server can run and queue. When many callers
return at once, for example to a new primary, its queue fills immediately. It then rejects most of
the work and spends its capacity on opening connections whose statements it rejects afterwards.
Each host therefore lowers its limit on the first rejection and raises it slowly from then on. The
remaining work waits at the host, in the host's order.
"""

DECREASE_FACTOR = 0.5  # share of the work in flight that is still allowed after a rejection
DECREASE_INTERVAL_MS = 100  # work sent before a decrease may still be rejected after it
INCREASE_PER_S = 2.0  # nine hosts fill a queue of twenty within one or two seconds


class ConcurrencyLimit:
    """Limit on this host's statements and new connections in flight at one server.

    There is no limit until the server rejects work, and again once the limit has grown back.
    """

    def __init__(self) -> None:
        self._limit: float | None = None
        self._updated_ms = 0
        self._decreased_ms = 0

    def max_in_flight(self, maximum: int, now_ms: int) -> int:
        """Return the current limit.

        :param maximum: the limit while the server has not rejected anything.
        """
        if self._limit is None:
            return maximum
        self._limit += INCREASE_PER_S * max(0, now_ms - self._updated_ms) / 1_000
        self._updated_ms = now_ms
        if self._limit >= maximum:
            self._limit = None
            return maximum
        return max(1, int(self._limit))

    def record_rejection(self, in_flight: int, now_ms: int) -> None:
        """Lower the limit because the server rejected work with a full queue.

        :param in_flight: amount of work in flight, including the rejected work.
        """
        if self._limit is not None and now_ms - self._decreased_ms < DECREASE_INTERVAL_MS:
            return
        self._limit = max(1.0, DECREASE_FACTOR * in_flight)
        self._updated_ms = now_ms
        self._decreased_ms = now_ms
