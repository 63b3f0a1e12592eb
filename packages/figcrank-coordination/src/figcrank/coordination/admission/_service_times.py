"""Mean service times, so that waiting work is counted by the time that it takes.

Addresses load in which kinds differ: a household read takes five times as long as a submission, so
that a queue of ten statements may be 60 ms or 300 ms of work.
"""

CONNECT_MS = 12.0  # opening a connection occupies a slot of the server for this long
INITIAL_MS = 10.0  # of a kind before any kind has samples
MIN_MS = 0.5  # the clock counts whole milliseconds, so that short statements measure as 0
MOVING_AVERAGE_WEIGHT = 0.1  # of the newest sample
# A sample that spans a suspension of this host may be of hours. With this bound, one sample at most
# doubles a mean, and a server that becomes slow by a factor of 5 shows after a few samples.
MAX_SAMPLE_FACTOR = 10.0


class ServiceTimes:
    """Moving means of the service time by kind of statement, at one server."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._overall_ms: float | None = None

    def record(self, kind: str, took_ms: float) -> None:
        """Add the service time of one statement, or the sum over those of one transaction."""
        mean_ms = self.mean_ms(kind)
        sample_ms = min(max(MIN_MS, took_ms), MAX_SAMPLE_FACTOR * mean_ms)
        if kind in self._means:
            sample_ms = mean_ms + MOVING_AVERAGE_WEIGHT * (sample_ms - mean_ms)
        self._means[kind] = sample_ms
        if self._overall_ms is None:
            self._overall_ms = sample_ms
        self._overall_ms += MOVING_AVERAGE_WEIGHT * (sample_ms - self._overall_ms)

    def mean_ms(self, kind: str) -> float:
        """Return the mean of a kind; without samples, that of all kinds."""
        return self._means.get(kind, self.overall_ms)

    @property
    def overall_ms(self) -> float:
        """Return the mean of all kinds by their recent frequency."""
        return INITIAL_MS if self._overall_ms is None else self._overall_ms

    def cost_ms(self, kind: str, connects: bool) -> float:
        """Return the time for which a statement occupies a slot.

        :param connects: whether a connection has to be opened for it.
        """
        return self.mean_ms(kind) + (CONNECT_MS if connects else 0.0)
