"""What the control of database groups costs a host: processor time, requests and traffic."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

from figcrank.coordination import Action, CallServer, Event, HostCore, SendGossip, Timings
from figcrank.measure._report import Limit, Measure
from figcrank.measure._scenario import Scenario
from figcrank.protocol import GroupReport
from figcrank.protocol.codecs import encode
from figcrank.standins.samples import patna

GROUP_COUNTS = (1, 2, 3)
SPAN_MS = 8_000
# Intervals for a fleet in which a change of primary may take 12 s.
LARGE_FLEET = Timings(status_interval_ms=800, primary_timeout_ms=3_200, stall_timeout_ms=3_200)
MS_PER_S = 1_000


@dataclass(slots=True)
class _Meter:
    """Adds up what one host core does.

    :param core: the core; its ``handle`` is replaced by one that is metered.
    """

    core: HostCore
    busy_s: float = 0.0
    requests: int = 0
    report_bytes: int = 0

    def attach(self) -> None:
        """Begin to meter."""
        handle = self.core.handle

        def metered(event: Event, now_ms: int) -> tuple[Action, ...]:
            started_s = time.process_time()
            actions = handle(event, now_ms)
            self.busy_s += time.process_time() - started_s
            for action in actions:
                self._count(action)
            return actions

        self.core.handle = metered

    def _count(self, action: Action) -> None:
        if isinstance(action, CallServer):
            self.requests += 1
        elif isinstance(action, SendGossip) and isinstance(action.message, GroupReport):
            self.report_bytes += len(encode(action.message))


def group_cost() -> Iterator[Measure]:
    """Yield the cost of probing idle groups, for several numbers of groups and two intervals.

    Requests and reports are per host and group that it probes; the processor time is a host's.
    """
    for timings in (Timings(), LARGE_FLEET):
        for group_count in GROUP_COUNTS:
            yield from _cost_of(group_count, timings)


def _cost_of(group_count: int, timings: Timings) -> Iterator[Measure]:
    scenario = Scenario.from_size(patna(), group_count=group_count, timings=timings)
    meters = [_Meter(entry.core) for entry in scenario.fleet.hosts.values()]
    for meter in meters:
        meter.attach()
    scenario.fleet.run_for(SPAN_MS)
    placement = meters[0].core.placement
    probed = sum(len(placement.probers(group)) for group in scenario.fleet.groups)
    span_s = SPAN_MS / MS_PER_S
    requests = sum(meter.requests for meter in meters) / probed / span_s
    report_bytes = sum(meter.report_bytes for meter in meters) / probed / span_s
    busy_percent = 100 * sum(meter.busy_s for meter in meters) / len(meters) / span_s
    figures = (
        ("requests to servers", requests, "1/s per probed group"),
        ("reports to other probers", report_bytes, "B/s per probed group"),
        ("processor of the core", busy_percent, "% of a core, mean of 9 hosts"),
    )
    every = f"{group_count} idle groups, queried every {timings.status_interval_ms} ms"
    for what, value, unit in figures:
        label = f"{every}, {what}"
        yield Measure.from_value("group_control_cost", label, round(value, 3), unit, Limit.REPORT)
