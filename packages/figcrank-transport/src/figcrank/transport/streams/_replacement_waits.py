"""Statements that would wait for a primary that is being replaced."""

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import ReplacementForecast, ReplacementView
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.protocol.sessions import SessionFailure
from figcrank.transport.streams._connection import OpenError


class ReplacementWaits:
    """Rejects statements whose deadlines pass before their group has a primary again.

    :param view: this host's view of the fleet.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._forecasts: dict[str, ReplacementForecast] = {}  # by group

    def require_useful(self, group: str, deadline_ms: int, now_ms: int) -> None:
        """Check that a statement can wait for the primary of a group that is being replaced.

        :raises OpenError: if its deadline is expected to pass before.
        """
        forecast = self._forecasts.get(group)
        if forecast is None or forecast.earliest_end_ms(now_ms) <= deadline_ms:
            return
        retry_after_ms = forecast.retry_after_ms(now_ms)
        detail = f"the primary is being replaced; retry after {retry_after_ms} ms"
        raise OpenError(SessionFailure.BUSY, detail, reason=RefusalReason.PRIMARY_MOVING)

    def tick(self, now_ms: int) -> None:
        """Update the forecasts by what this host has heard; called every 100 ms or sooner."""
        quiesced = self._view.quiesced_hosts(now_ms)
        for group, record in self._view.primary_table.all().items():
            forecast = self._forecasts.setdefault(group, ReplacementForecast())
            _, names = quiesced.get(group, (0, []))
            forecast.update(self._replacement(group, record, len(names), now_ms), now_ms)

    def _replacement(
        self, group: str, record: PrimaryRecord, quiesced_count: int, now_ms: int
    ) -> ReplacementView | None:
        if not record.moving:
            return None
        began_ms = now_ms - self._view.primary_table.moving_for_ms(group, now_ms)
        host_count = self._view.host_count() + self._view.removed_host_count()
        return ReplacementView(record.version, began_ms, record.planned, host_count, quiesced_count)
