"""Token buckets in whole milli-tokens, so that no rounding creates tokens."""

MILLI = 1000


class TokenBucket:
    """A token bucket that refills at a fixed rate up to its burst.

    Amounts are milli-tokens; one request costs :data:`MILLI` of them.

    :param rate_per_s: tokens added per second.
    :param burst: capacity of the bucket in tokens.
    :param now_ms: time of creation, in milliseconds; the bucket starts full.
    """

    def __init__(self, rate_per_s: int, burst: int, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._capacity_milli = burst * MILLI
        self._level_milli = self._capacity_milli
        self._updated_ms = now_ms

    def level_milli(self, now_ms: int) -> int:
        """Return the number of milli-tokens available at ``now_ms``."""
        self._refill(now_ms)
        return self._level_milli

    def take_up_to(self, amount_milli: int, now_ms: int) -> int:
        """Remove up to ``amount_milli`` and return the amount that was available and removed."""
        self._refill(now_ms)
        taken = max(0, min(amount_milli, self._level_milli))
        self._level_milli -= taken
        return taken

    def refund(self, amount_milli: int, now_ms: int) -> None:
        """Put unspent milli-tokens back; the level never exceeds the burst."""
        self._refill(now_ms)
        self._level_milli = min(self._capacity_milli, self._level_milli + amount_milli)

    def empty(self, now_ms: int) -> None:
        """Empty the bucket at ``now_ms``."""
        self._refill(now_ms)
        self._level_milli = 0

    def ready_in_ms(self, amount_milli: int, now_ms: int) -> int:
        """Return the time until ``amount_milli`` is available, 0 if it already is."""
        missing = amount_milli - self.level_milli(now_ms)
        if missing <= 0:
            return 0
        return -(-missing // max(1, self._rate_per_s))

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        # One token per second is one milli-token per millisecond.
        refilled = self._level_milli + elapsed_ms * self._rate_per_s
        self._level_milli = min(self._capacity_milli, refilled)
