"""Counts the refusals of callers by reason."""

from figcrank.coordination.sessions import RecentRefusals, RefusalReason
from figcrank.state._clock import Clock
from figcrank.transport.streams._metrics import Metrics


class RefusalRecorder:
    """Counts refusals in the metrics, and keeps those of the last seconds.

    :param clock: this host's clock.
    :param metrics: metrics registry.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.recent = RecentRefusals()
        self._clock = clock
        self._metrics = metrics

    def record(self, group: str, workspace: str, reason: RefusalReason) -> None:
        """Count a refusal of a caller whose operation has not run.

        :param group: database group of the operation, empty if it isn't known.
        :param workspace: workspace of the caller, empty if it isn't known.
        """
        self._metrics.count("callers_refused", reason=reason.value)
        self.recent.record(group, reason, workspace, self._clock.now_ms())

    def record_over_limit(self, group: str, workspace: str, is_wrongful: bool) -> None:
        """Count a refusal that the rate limit of a workspace demands.

        :param is_wrongful: whether the workspace was within its limit.
        """
        self._metrics.count("over_limit", workspace=workspace)
        if is_wrongful:
            self._metrics.count("limit_refusals_wrongful")
        self.record(group, workspace, RefusalReason.OVER_LIMIT)
