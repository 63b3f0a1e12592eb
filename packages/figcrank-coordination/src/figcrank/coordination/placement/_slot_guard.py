"""Bound on what all owners have in flight at a server that may have fewer slots than it reports.

Load pattern: a server that reports 40 slots and has 4. Allotments by its word would fill its queue
with 56 statements. Its service time then is several times the lowest one of the last seconds, or it
rejects work.

Servers of few slots are not bounded here: 1.5 statements a slot can't make a long queue, and the
mean service time also rises when longer statements arrive, which is no reason to leave slots empty.
"""

from collections import deque
from collections.abc import Collection

from figcrank.protocol.heartbeats import ServerLoad

MIN_BOUND = 6  # 1.5 for each of 4 slots
CHECK_INTERVAL_MS = 300  # one heartbeat, so that a check sees the effect of the last one
# Household reads of 30 ms among submissions of 6 ms double the mean without any queue.
MAX_RISE = 2.5
BASELINE_MS = 5_000  # a server that has become slow gets its full share again after this time
GROWTH = 1.1  # per check; from 6 to 60 in flight in 8 s


class SlotGuard:
    """Bounds the total in flight at one server by its service time and rejections."""

    def __init__(self) -> None:
        self._bound = float(MIN_BOUND)
        self._checked_ms = -CHECK_INTERVAL_MS
        self._means: deque[tuple[int, float]] = deque()
        self._rejections = 0
        self.is_bounded = False  # since the last check that lowered the bound

    def bounded(self, total: int, loads: Collection[ServerLoad], now_ms: int) -> int:
        """Return the total that the server bears.

        :param total: total in flight by the slots that the server reports.
        :param loads: recent loads of all owners.
        """
        if total <= MIN_BOUND:
            return total
        if now_ms - self._checked_ms >= CHECK_INTERVAL_MS:
            self._checked_ms = now_ms
            self._check(loads, now_ms)
        if self._bound >= total:
            self.is_bounded = False
            self._bound = float(total)
        return int(self._bound)

    def _check(self, loads: Collection[ServerLoad], now_ms: int) -> None:
        samples = sum(load.samples for load in loads)
        rejections = sum(load.rejections for load in loads)
        rejected, self._rejections = rejections > self._rejections, rejections
        rise = 1.0
        if samples:
            mean_ms = sum(load.service_ms * load.samples for load in loads) / samples
            self._means.append((now_ms, mean_ms))
            while self._means[0][0] < now_ms - BASELINE_MS:
                self._means.popleft()
            rise = mean_ms / max(0.1, min(mean for _, mean in self._means))
        if rejected or rise > MAX_RISE:
            self._bound = max(float(MIN_BOUND), self._bound / max(2.0, rise))
            self.is_bounded = True
        elif sum(load.in_flight for load in loads) >= self._bound / 2:
            self._bound *= GROWTH
