"""How the worst-served workspace fares on the whole path while another one floods the fleet."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from figcrank.measure._report import Limit, Measure
from figcrank.measure._scenario import Scenario
from figcrank.standins.samples import Sizes, herdtrace, patna
from figcrank.standins.virtual import Call

SHARE_BOUND = 0.99
FLOOD_TIMES_RATE = 8
FLOODING = 4
LOAD_MS = 4_000
SETTLE_MS = 3_000
MS_PER_S = 1_000
# A caller inside its rate asks for slightly less than the rate, never in bursts.
PART_OF_RATE = 0.95


@dataclass(slots=True)
class _Stream:
    """One workspace's requests at a steady interval, from host to host."""

    scenario: Scenario
    workspace: int
    interval_ms: float
    calls: list[Call] = field(default_factory=list)

    def send_until(self, end_ms: int) -> None:
        """Send one request now and the next ones until ``end_ms``."""
        fleet = self.scenario.fleet
        if fleet.loop.now_ms >= end_ms:
            return
        host = (self.workspace + len(self.calls)) % len(fleet.hosts) + 1
        call = self.scenario.read("SELECT 1", host=host, workspace=self.workspace)
        self.calls.append(call)
        fleet.loop.after(self.interval_ms, lambda: self.send_until(end_ms))

    @property
    def good_share(self) -> float:
        """Return the share of requests that got an ordinary answer."""
        good = sum(1 for call in self.calls if call.answer is not None)
        return good / len(self.calls)


def worst_share(size: Sizes, seed: int = 1) -> float:
    """Return the worst good share among the workspaces that stay inside their rates."""
    scenario = Scenario.from_size(size, seed, group_count=1)
    streams = [_stream(scenario, number) for number in range(1, len(size.workspaces) + 1)]
    end_ms = scenario.fleet.loop.now_ms + LOAD_MS
    for stream in streams:
        stream.send_until(end_ms)
    scenario.fleet.run_for(LOAD_MS + SETTLE_MS)
    return min(stream.good_share for stream in streams if stream.workspace != FLOODING)


def fairness() -> Iterator[Measure]:
    """Yield the worst-served workspace's share for each user."""
    for size, name in ((patna(), "patna"), (herdtrace(), "herdtrace")):
        share = worst_share(size)
        scenario = f"{name}: one workspace at 8 times its rate, whole path"
        yield Measure.from_value(
            "worst_workspace_share", scenario, round(share, 5), "share", Limit.AT_LEAST, SHARE_BOUND
        )


def _stream(scenario: Scenario, number: int) -> _Stream:
    rate_per_s = scenario.size.workspaces[number - 1].rate_per_s
    factor = FLOOD_TIMES_RATE if number == FLOODING else PART_OF_RATE
    return _Stream(scenario, number, MS_PER_S / (rate_per_s * factor))
