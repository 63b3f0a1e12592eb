"""How much longer an owner's statements are on the way than those of the server's nearest owner.

Load pattern: owners in two regions use a server whose statements take 15 ms, and are 40 ms of
round trip away from it in one of them. Most of what such an owner has in flight is on the way and
occupies no slot; with a share meant for the slots alone, its callers wait while the server is idle.
"""

from collections.abc import Iterable

from figcrank.protocol.heartbeats import ServerLoad

SMOOTHING = 0.1  # of the newest figure; updates come every 100 ms
# Owners run different statements, so that their means differ by up to 15 ms in overload. Zones of a
# region are at most a few milliseconds apart.
MIN_DIFFERENCE_MS = 20.0
MAX_FACTOR = 5.0


class TravelFactor:
    """Factor by which an owner may exceed its share of the slots, for what is on the way."""

    def __init__(self) -> None:
        self._own_ms = 0.0
        self._nearest_ms = 0.0

    def update(self, own: ServerLoad | None, loads: Iterable[ServerLoad]) -> None:
        """Add the recent figures of this owner and of all owners.

        :param own: load of this owner.
        :param loads: loads of all owners that use the server.
        """
        times_ms = [load.service_ms for load in loads if load.samples]
        if own is None or not own.samples or not times_ms:
            return
        self._own_ms = _smoothed(self._own_ms, own.service_ms)
        self._nearest_ms = _smoothed(self._nearest_ms, min(times_ms))

    @property
    def factor(self) -> float:
        """Return the factor, 1 for an owner near the server."""
        travel_ms = self._own_ms - self._nearest_ms - MIN_DIFFERENCE_MS
        if travel_ms <= 0.0 or self._nearest_ms <= 0.0:
            return 1.0
        return min(MAX_FACTOR, 1.0 + travel_ms / self._nearest_ms)


def _smoothed(before: float, newest: float) -> float:
    return newest if before == 0.0 else before + SMOOTHING * (newest - before)
