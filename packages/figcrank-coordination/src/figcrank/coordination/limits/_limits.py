"""Fleet-wide rate limit of each workspace.

Every host is a :class:`Borrower`, which admits requests against slices of tokens, and a
:class:`Lender` for the workspaces that it is the home host of. All tokens are either in the home
host's bucket or in unexpired slices, together at most the burst, and only the home host with a
majority of votes refills the bucket. In any window, at most burst plus rate times length requests
are therefore admitted.
"""

from collections.abc import Callable

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.limits._borrower import Borrower
from figcrank.coordination.limits._home_finder import HomeFinder
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

OnAdmissionResult = Callable[[Failure | None, int], None]
LimitMessage = DemandReport | SliceGrants | HomeHandover


class Limiter:
    """Admits requests against token slices that each workspace's home host lends.

    :param settings: static settings of this host.
    :param outbox: queue of outgoing actions.
    :param placement: ranks the candidates for home host of each workspace.
    :param configuration: source of the rates and bursts.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        placement: Placement,
        configuration: Configuration,
    ) -> None:
        self._home_finder = HomeFinder(placement, settings.host.name)
        self._lender = Lender(
            settings, outbox, placement, configuration, self._home_finder, self._on_local_grants
        )
        self._borrower = Borrower(
            settings, outbox, configuration, self._home_finder.find, self._lender.on_report
        )

    def admit(
        self, workspace: Workspace, deadline_ms: int, now_ms: int, on_result: OnAdmissionResult
    ) -> None:
        """Decide on one request, immediately or once the home host has answered.

        :param deadline_ms: time by which the request must be answered.
        :param on_result: called once, with ``None`` if the request is admitted or with the
            failure if it is refused.
        """
        self._lender.observe_time(now_ms)
        self._borrower.admit(workspace, deadline_ms, now_ms, on_result)

    def statuses(self, now_ms: int) -> tuple[LimitStatus, ...]:
        """Return the limits and this host's counts for them."""
        return self._borrower.statuses(now_ms)

    def tick(self, now_ms: int) -> None:
        """Report demand, expire slices and refuse requests that waited too long."""
        self._lender.observe_time(now_ms)
        self._home_finder.tick(now_ms)
        self._borrower.tick(now_ms)
        self._lender.tick(now_ms)

    def on_gossip(self, sender: str, message: LimitMessage, now_ms: int) -> None:
        """Process a report, a grant or a hand-over."""
        self._lender.observe_time(now_ms)
        self._home_finder.record_message(sender, now_ms)
        if isinstance(message, DemandReport):
            self._lender.on_report(sender, message, now_ms)
        elif isinstance(message, SliceGrants):
            self._borrower.on_grants(sender, message, now_ms)
        else:
            self._lender.on_handover(sender, message, now_ms)

    def leave(self, now_ms: int) -> None:
        """Return unspent slices and hand the buckets of this host over to the next home hosts."""
        self._borrower.leave(now_ms)
        self._home_finder.leave(now_ms)
        self._lender.leave(now_ms)

    def _on_local_grants(self, sender: str, grants: SliceGrants, now_ms: int) -> None:
        self._borrower.on_grants(sender, grants, now_ms)
