"""Limits of each workspace, counted over the whole fleet."""

from collections.abc import Callable

from figcrank.coordination._configuration import Configuration
from figcrank.coordination._placement import Placement
from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.protocol import (
    DemandReport,
    Failure,
    HomeHandover,
    LimitStatus,
    SliceGrants,
)
from figcrank.state import Workspace

OnDecision = Callable[[Failure | None, int], None]
LimitMessage = DemandReport | SliceGrants | HomeHandover


class Limiter:
    """Admits requests against token slices that each workspace's home host lends.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param placement: tells each workspace's home host.
    :param configuration: tells rates and bursts.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        placement: Placement,
        configuration: Configuration,
    ) -> None:
        self._settings = settings
        self._port = port
        self._placement = placement
        self._configuration = configuration

    def admit(
        self, workspace: Workspace, deadline_ms: int, now_ms: int, on_decision: OnDecision
    ) -> None:
        """Decide on one request, at once or as soon as the home host has answered.

        :param deadline_ms: time by which the request must be answered.
        :param on_decision: called once, with ``None`` to admit or the refusal.
        """
        on_decision(None, now_ms)

    def statuses(self, now_ms: int) -> tuple[LimitStatus, ...]:
        """Return the limits as this host sees them."""
        return ()

    def tick(self, now_ms: int) -> None:
        """Report demand, expire slices and refuse requests that waited too long."""

    def on_gossip(self, sender: str, message: LimitMessage, now_ms: int) -> None:
        """Take a report, a grant or a hand-over."""

    def leave(self, now_ms: int) -> None:
        """Hand the buckets kept here to their next home hosts and give back unspent slices."""
