"""Reports that the probing hosts of a group exchange, and what they agree on."""

from dataclasses import dataclass

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.membership import Placement
from figcrank.protocol import GroupReport
from figcrank.state import Group

# Reports are sent at the status interval while something is wrong, else this many of them apart.
CALM_INTERVALS = 5
REPORT_LIFETIME_INTERVALS = 12
# The time that a group may be without any primary; shorter than the time allowed to a silent one.
NO_PRIMARY_MS = 200
ZONES_TO_AGREE = 2


@dataclass(frozen=True, slots=True)
class _Received:
    report: GroupReport
    received_ms: int


class Reports:
    """Sends this host's reports and weighs those of the others.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param placement: tells the probing hosts.
    :param group: the group.
    :param view: what this host saw.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        placement: Placement,
        group: Group,
        view: GroupView,
    ) -> None:
        self._settings = settings
        self._port = port
        self._placement = placement
        self._group = group
        self._view = view
        self._received: dict[str, _Received] = {}
        self._sent_ms = 0
        self._last_term = 0

    def tick(self, now_ms: int) -> None:
        """Send a report when one is due."""
        report = self.own(now_ms)
        wrong = report.primary_failed_ms > 0 or report.stalled_ms > 0
        interval_ms = self._settings.timings.status_interval_ms * (1 if wrong else CALM_INTERVALS)
        if report.term == self._last_term and now_ms < self._sent_ms + interval_ms:
            return
        self._sent_ms = now_ms
        self._last_term = report.term
        for host in self._placement.probers(self._group.name):
            if host.name != self._settings.host.name:
                self._port.gossip(host, report)

    def take(self, sender: str, report: GroupReport, now_ms: int) -> None:
        """Take another host's report."""
        self._received[sender] = _Received(report, now_ms)
        self._view.merge(sender, report, now_ms)

    def own(self, now_ms: int) -> GroupReport:
        """Return what this host saw."""
        primary = self._view.primary()
        statuses = tuple(self._view.reported(status) for status in self._view.statuses)
        return GroupReport(
            self._group.name,
            primary.term if primary else self._view.highest_term,
            primary.server if primary else "",
            statuses,
            self._view.primary_failed_ms(now_ms),
            self._view.stalled_ms(now_ms),
        )

    def heard_recently(self, host: str, now_ms: int) -> bool:
        """Return whether a host has reported lately."""
        received = self._received.get(host)
        lifetime_ms = REPORT_LIFETIME_INTERVALS * self._settings.timings.status_interval_ms
        return received is not None and now_ms - received.received_ms < lifetime_ms

    def agreeing_hosts(self, now_ms: int) -> tuple[str, ...]:
        """Return the hosts that say that the primary is to be replaced.

        :returns: nothing unless this host is one of them and they are of enough availability
            zones: two, or one where the probing hosts are of one.
        """
        own = self.own(now_ms)
        if not self._is_bad(own):
            return ()
        zones = {h.name: h.availability_zone for h in self._placement.probers(self._group.name)}
        zones.setdefault(self._settings.host.name, self._settings.host.availability_zone)
        agreeing = [self._settings.host.name]
        for host, received in self._received.items():
            counts = host in zones and self.heard_recently(host, now_ms)
            if counts and self._agrees(received.report, own):
                agreeing.append(host)
        needed = min(ZONES_TO_AGREE, len(set(zones.values())))
        return tuple(agreeing) if len({zones[host] for host in agreeing}) >= needed else ()

    def _agrees(self, report: GroupReport, own: GroupReport) -> bool:
        return report.term == own.term and self._is_bad(report)

    def _is_bad(self, report: GroupReport) -> bool:
        timings = self._settings.timings
        patience_ms = timings.primary_timeout_ms if report.primary else NO_PRIMARY_MS
        failed = report.primary_failed_ms >= patience_ms
        return failed or report.stalled_ms >= timings.stall_timeout_ms
