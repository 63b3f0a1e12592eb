"""Measured demand of one host for the tokens of one workspace."""

from figcrank.state import MILLI

SMOOTHING_MS = 300
_MS_PER_S = 1_000


class DemandRate:
    """The exponentially smoothed rate at which a host requests tokens.

    :param now_ms: time from which demand is counted.
    """

    def __init__(self, now_ms: int) -> None:
        self._updated_ms = now_ms
        self._milli_per_ms = 0.0

    def add(self, asked_milli: int, now_ms: int) -> None:
        """Add ``asked_milli`` milli-tokens, requested since the previous call."""
        elapsed_ms = max(1, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        weight = min(1.0, elapsed_ms / SMOOTHING_MS)
        self._milli_per_ms += weight * (asked_milli / elapsed_ms - self._milli_per_ms)

    def expected_milli(self, time_ms: int) -> int:
        """Return the expected demand within ``time_ms``, in milli-tokens.

        It is rounded down to whole tokens.
        """
        return whole_tokens(round(self._milli_per_ms * time_ms))

    @property
    def per_s(self) -> float:
        """Return the rate in tokens per second."""
        return self._milli_per_ms * _MS_PER_S / MILLI


def whole_tokens(amount_milli: int) -> int:
    """Return ``amount_milli`` rounded down to whole tokens; a fraction can't be spent."""
    return max(0, amount_milli - amount_milli % MILLI)
