"""Limits of each workspace, counted over the whole fleet.

Every host is a :class:`Borrower` that admits requests against slices of tokens, and the
:class:`Lender` of the workspaces that it is home to. All tokens that exist are in the home's
bucket or in live slices, together at most the burst, and only the one home with a majority's
vote refills; so admissions in any window are at most rate times its length plus the burst.
"""

from collections.abc import Callable

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.limits._borrower import Borrower
from figcrank.coordination.limits._homes import Homes
from figcrank.coordination.limits._lender import Lender
from figcrank.coordination.membership import Placement
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
        self._homes = Homes(placement, settings.host.name)
        self._lender = Lender(
            settings, port, placement, configuration, self._homes, self._on_own_grants
        )
        self._borrower = Borrower(
            settings, port, configuration, self._homes.find, self._lender.on_report
        )

    def admit(
        self, workspace: Workspace, deadline_ms: int, now_ms: int, on_decision: OnDecision
    ) -> None:
        """Decide on one request, at once or as soon as the home host has answered.

        :param deadline_ms: time by which the request must be answered.
        :param on_decision: called once, with ``None`` to admit or the refusal.
        """
        self._lender.note_time(now_ms)
        self._borrower.admit(workspace, deadline_ms, now_ms, on_decision)

    def statuses(self, now_ms: int) -> tuple[LimitStatus, ...]:
        """Return the limits as this host sees them."""
        return self._borrower.statuses(now_ms)

    def tick(self, now_ms: int) -> None:
        """Report demand, expire slices and refuse requests that waited too long."""
        self._lender.note_time(now_ms)
        self._homes.tick(now_ms)
        self._borrower.tick(now_ms)
        self._lender.tick(now_ms)

    def on_gossip(self, sender: str, message: LimitMessage, now_ms: int) -> None:
        """Take a report, a grant or a hand-over."""
        self._lender.note_time(now_ms)
        self._homes.heard(sender, now_ms)
        if isinstance(message, DemandReport):
            self._lender.on_report(sender, message, now_ms)
        elif isinstance(message, SliceGrants):
            self._borrower.on_grants(sender, message, now_ms)
        else:
            self._lender.on_handover(sender, message, now_ms)

    def leave(self, now_ms: int) -> None:
        """Hand the buckets kept here to their next home hosts and give back unspent slices."""
        self._borrower.leave(now_ms)
        self._homes.leave(now_ms)
        self._lender.leave(now_ms)

    def _on_own_grants(self, sender: str, grants: SliceGrants, now_ms: int) -> None:
        self._borrower.on_grants(sender, grants, now_ms)
