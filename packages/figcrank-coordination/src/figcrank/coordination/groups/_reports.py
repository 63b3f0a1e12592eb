"""Exchange of group reports between the probing hosts, and their agreement on failures."""

from dataclasses import dataclass

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.membership import Placement
from figcrank.protocol import GroupReport
from figcrank.state import Group

# Number of status intervals between reports of a healthy group; a failing one is reported at each.
HEALTHY_REPORT_INTERVALS = 5
REPORT_LIFETIME_INTERVALS = 12
# A group without any primary fails over after this time, which is shorter than the timeout of an
# unresponsive primary.
NO_PRIMARY_TIMEOUT_MS = 200
MIN_AGREEING_ZONES = 2


@dataclass(frozen=True, slots=True)
class _Received:
    report: GroupReport
    received_ms: int


class ReportExchange:
    """Sends this host's reports and evaluates those of the other probing hosts.

    :param settings: static settings of this host.
    :param outbox: sends the reports.
    :param placement: provides the probing hosts.
    :param group: the group.
    :param view: statuses of the group's servers.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        placement: Placement,
        group: Group,
        view: GroupView,
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._placement = placement
        self._group = group
        self._view = view
        self._received: dict[str, _Received] = {}
        self._sent_ms = 0
        self._last_sent_term = 0

    def tick(self, now_ms: int) -> None:
        """Send a report when one is due."""
        report = self.local_report(now_ms)
        failing = report.primary_failed_ms > 0 or report.stalled_ms > 0
        interval_ms = self._settings.timings.status_interval_ms * (
            1 if failing else HEALTHY_REPORT_INTERVALS
        )
        if report.term == self._last_sent_term and now_ms < self._sent_ms + interval_ms:
            return
        self._sent_ms = now_ms
        self._last_sent_term = report.term
        for host in self._placement.probers(self._group.name):
            if host.name != self._settings.host.name:
                self._outbox.gossip(host, report)

    def record(self, sender: str, report: GroupReport, now_ms: int) -> None:
        """Store another host's report."""
        self._received[sender] = _Received(report, now_ms)
        self._view.merge_report(sender, report, now_ms)

    def local_report(self, now_ms: int) -> GroupReport:
        """Return this host's report."""
        primary = self._view.primary()
        statuses = tuple(self._view.with_local_drain(status) for status in self._view.statuses)
        return GroupReport(
            self._group.name,
            primary.term if primary else self._view.highest_term,
            primary.server if primary else "",
            statuses,
            self._view.primary_failed_ms(now_ms),
            self._view.stalled_ms(now_ms),
        )

    def reported_recently(self, host: str, now_ms: int) -> bool:
        """Return whether a host's newest report has not expired."""
        received = self._received.get(host)
        lifetime_ms = REPORT_LIFETIME_INTERVALS * self._settings.timings.status_interval_ms
        return received is not None and now_ms - received.received_ms < lifetime_ms

    def agreeing_hosts(self, now_ms: int) -> tuple[str, ...]:
        """Return the hosts whose reports require the primary to be replaced.

        :returns: an empty tuple unless this host is one of them and they span enough availability
            zones: two, or one if all probing hosts are in the same zone.
        """
        local_report = self.local_report(now_ms)
        if not self._requires_failover(local_report):
            return ()
        zones = {h.name: h.availability_zone for h in self._placement.probers(self._group.name)}
        zones.setdefault(self._settings.host.name, self._settings.host.availability_zone)
        agreeing = [self._settings.host.name]
        for host, received in self._received.items():
            is_current = host in zones and self.reported_recently(host, now_ms)
            if is_current and self._agrees(received.report, local_report):
                agreeing.append(host)
        needed = min(MIN_AGREEING_ZONES, len(set(zones.values())))
        return tuple(agreeing) if len({zones[host] for host in agreeing}) >= needed else ()

    def _agrees(self, report: GroupReport, local_report: GroupReport) -> bool:
        return report.term == local_report.term and self._requires_failover(report)

    def _requires_failover(self, report: GroupReport) -> bool:
        timings = self._settings.timings
        timeout_ms = timings.primary_timeout_ms if report.primary else NO_PRIMARY_TIMEOUT_MS
        failed = report.primary_failed_ms >= timeout_ms
        return failed or report.stalled_ms >= timings.stall_timeout_ms
