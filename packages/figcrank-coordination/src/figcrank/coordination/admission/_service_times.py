"""Service times and their spread, so that waiting work is counted by the time that it takes.

Addresses load in which kinds differ: a household read takes five times as long as a submission, so
that a queue of ten statements may be 60 ms or 300 ms of work. The same kind takes two to five times
as long once the queue at the server grows, so that a decision by the mean alone lets statements
begin that end after their deadlines.

The spread is the mean absolute deviation, as in the estimate of a retransmission timeout
(RFC 6298): it needs no squares, and one sample that is far off weighs less than in a variance.
"""

CONNECT_MS = 12.0  # opening a connection occupies a slot of the server for this long
INITIAL_MS = 10.0  # of a kind before any kind has samples
MIN_MS = 0.5  # the clock counts whole milliseconds, so that short statements measure as 0
MOVING_AVERAGE_WEIGHT = 0.1  # of the newest sample
# A sample that spans a suspension of this host may be of hours. With this bound, one sample at most
# doubles a mean, and a server that becomes slow by a factor of 5 shows after a few samples.
MAX_SAMPLE_FACTOR = 10.0
# Twice the deviation covers 95% of a normal distribution and the whole of a uniform one. The 4 of
# RFC 6298 would reject statements that take twice the mean even if none is measured to do so.
MARGIN_DEVIATIONS = 2.0
MAX_DEVIATION_FACTOR = 1.0  # of the mean; 0.74 for an exponential distribution


class ServiceTimes:
    """Moving means and deviations of the service time by kind of statement, at one server."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._deviations_ms: dict[str, float] = {}
        self._overall_ms: float | None = None
        self.samples = 0  # number of all samples

    def record(self, kind: str, took_ms: float) -> None:
        """Add the service time of one statement, or the sum over those of one transaction."""
        self.samples += 1
        mean_ms = self.mean_ms(kind)
        sample_ms = min(max(MIN_MS, took_ms), MAX_SAMPLE_FACTOR * mean_ms)
        if kind in self._means:
            # From 0 on, so that the margin grows with the number of samples that support it.
            deviation_ms = self._deviations_ms.get(kind, 0.0)
            deviation_ms += MOVING_AVERAGE_WEIGHT * (abs(sample_ms - mean_ms) - deviation_ms)
            self._deviations_ms[kind] = deviation_ms
            sample_ms = mean_ms + MOVING_AVERAGE_WEIGHT * (sample_ms - mean_ms)
        self._means[kind] = sample_ms
        if self._overall_ms is None:
            self._overall_ms = sample_ms
        self._overall_ms += MOVING_AVERAGE_WEIGHT * (sample_ms - self._overall_ms)

    def mean_ms(self, kind: str) -> float:
        """Return the mean of a kind; without samples, that of all kinds."""
        return self._means.get(kind, self.overall_ms)

    def deviation_ms(self, kind: str) -> float:
        """Return the mean absolute deviation of a kind; 0 without samples that show one."""
        deviation_ms = self._deviations_ms.get(kind, 0.0)
        return min(deviation_ms, MAX_DEVIATION_FACTOR * self.mean_ms(kind))

    def low_mean_ms(self, kind: str) -> float:
        """Return what the mean is at least; one sample that is far off does not raise it."""
        return max(MIN_MS, self.mean_ms(kind) - self.deviation_ms(kind))

    def margin_ms(self, kind: str) -> float:
        """Return the time beyond the mean that a statement has to be expected to take."""
        return MARGIN_DEVIATIONS * self.deviation_ms(kind)

    @property
    def overall_ms(self) -> float:
        """Return the mean of all kinds by their recent frequency."""
        return INITIAL_MS if self._overall_ms is None else self._overall_ms

    def cost_ms(self, kind: str, connects: bool) -> float:
        """Return the time for which a statement occupies a slot.

        :param connects: whether a connection has to be opened for it.
        """
        return self.mean_ms(kind) + (CONNECT_MS if connects else 0.0)
