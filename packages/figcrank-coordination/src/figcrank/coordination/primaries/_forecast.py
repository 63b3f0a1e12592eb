"""When the replacement of a primary ends, for statements that would wait for it.

Load pattern: a primary is cut off and its replacement has to wait for the leases of hosts that are
not heard. It takes more than four seconds, and statements may take 0.8 s. Without a forecast, all
that arrive meanwhile are held until their timeouts and then refused.
"""

from dataclasses import dataclass

from figcrank.coordination.primaries._replacement import LEASE_MARGIN_MS
from figcrank.coordination.primaries._table import LEASE_MS, MAJORITY_LEASE_MS

# From the proof that the old primary is not used any more until the new one is used: a promotion
# and the spread of its record.
INITIAL_FINISH_MS = 700.0
MIN_FINISH_MS = 200.0
MAX_FINISH_MS = 3_000.0
FINISH_WEIGHT = 0.3  # of the newest sample; replacements are rare
EARLY_SHARE = 0.5  # of the usual time after the proof; a replacement may end so much earlier
# Callers that are refused come back one after the other, at about the rate at which a new primary
# serves them.
RETURN_SPACING_MS = 10
MAX_SPREAD_MS = 500


@dataclass(frozen=True, slots=True)
class ReplacementView:
    """What a host knows of a replacement that runs.

    :param version: version of the record that began it.
    :param began_ms: time at which the host learned of it.
    :param planned: whether the old primary leaves by plan, so that hosts end their work there.
    :param host_count: number of hosts in the fleet, including recently removed ones.
    :param quiesced_count: number of hosts that have reported that they no longer use it.
    """

    version: int
    began_ms: int
    planned: bool
    host_count: int
    quiesced_count: int


class ReplacementForecast:
    """The forecast for one database group, with what earlier replacements took."""

    def __init__(self) -> None:
        self._finish_ms = INITIAL_FINISH_MS
        self._version: int | None = None  # of the replacement that runs
        self._began_ms = 0
        self._proven_ms: int | None = None
        self._half_ms: int | None = None
        self._third_ms: int | None = None
        self._refused = 0

    def update(self, view: ReplacementView | None, now_ms: int) -> None:
        """Take what is known now; called every 100 ms or sooner.

        :param view: the replacement that runs, ``None`` if there is none.
        """
        if view is None:
            if self._version is not None and self._proven_ms is not None:
                self._learn(now_ms - self._proven_ms)
            self._version = None
            return
        if view.version != self._version:
            self._version, self._began_ms, self._refused = view.version, view.began_ms, 0
            self._proven_ms = self._half_ms = self._third_ms = None
        if self._half_ms is None and 2 * view.quiesced_count >= view.host_count:
            self._half_ms = now_ms
        if self._third_ms is None and 3 * view.quiesced_count >= view.host_count:
            self._third_ms = now_ms
        is_proven = view.planned or view.quiesced_count >= view.host_count
        if self._proven_ms is None and (is_proven or now_ms >= self._leases_end_ms(now_ms)):
            self._proven_ms = now_ms

    def _learn(self, took_ms: int) -> None:
        sample_ms = min(max(MIN_FINISH_MS, took_ms), MAX_FINISH_MS)
        self._finish_ms += FINISH_WEIGHT * (sample_ms - self._finish_ms)

    def _leases_end_ms(self, now_ms: int) -> int:
        """Return when the leases of the hosts that have not reported will have ended, at best."""
        half_ms = self._half_ms if self._half_ms is not None else now_ms
        third_ms = self._third_ms if self._third_ms is not None else now_ms
        majority_ms = self._began_ms + MAJORITY_LEASE_MS + LEASE_MARGIN_MS
        return min(max(self._began_ms, half_ms) + LEASE_MS, max(majority_ms, third_ms + LEASE_MS))

    def earliest_end_ms(self, now_ms: int) -> float:
        """Return the time before which the replacement that runs is not expected to end."""
        if self._proven_ms is not None:
            return max(float(now_ms), self._proven_ms + EARLY_SHARE * self._finish_ms)
        if now_ms - self._began_ms < LEASE_MARGIN_MS:
            return float(now_ms)  # the reports of hosts that no longer use it are on their way
        return self._leases_end_ms(now_ms) + EARLY_SHARE * self._finish_ms

    def retry_after_ms(self, now_ms: int) -> int:
        """Return when a caller that is refused now is to come back; later for each further one."""
        spread_ms = min(MAX_SPREAD_MS, RETURN_SPACING_MS * self._refused)
        self._refused += 1
        fenced_ms = self._proven_ms if self._proven_ms is not None else self._leases_end_ms(now_ms)
        left_ms = max(0.0, fenced_ms + self._finish_ms - now_ms)
        return int(left_ms) + spread_ms
