"""How the worst-served workspace fares on a whole fleet, from request to answer."""

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

from figcrank.measure._limit_fleet import Arrival
from figcrank.measure._limit_traffic import conforming, even, flooding, merged
from figcrank.measure._load import create_table
from figcrank.measure._report import Limit, Measure
from figcrank.measure._scenario import Scenario
from figcrank.standins.samples import Sizes
from figcrank.standins.virtual import Call

SEED = 20
TRAFFIC_MS = 4_000
ANSWER_MS = 3_000
FLOOD_TIMES_RATE = 8
FAIR_SHARE = 0.99


@dataclass(slots=True)
class MixedLoad:
    """Sends every workspace's reads at the times given.

    :param scenario: the fleet under load.
    :param calls: requests sent, by workspace.
    """

    scenario: Scenario
    calls: dict[str, list[Call]] = field(default_factory=lambda: defaultdict(list))

    def run(self, arrivals: list[Arrival]) -> None:
        """Send the arrivals, counted from now, and wait for the answers."""
        loop = self.scenario.fleet.loop
        for arrival in arrivals:
            loop.after(arrival.at_ms, lambda arrival=arrival: self._send(arrival))
        self.scenario.fleet.run_for(TRAFFIC_MS + ANSWER_MS)

    def share(self, workspace: str) -> float:
        """Return the good answers over the requests sent."""
        calls = self.calls[workspace]
        return sum(call.answer is not None for call in calls) / len(calls)

    def _send(self, arrival: Arrival) -> None:
        fleet = self.scenario.fleet
        host = self.scenario.host_name(arrival.host + 1)
        key = self.scenario.keys[arrival.workspace]
        call = fleet.statements(
            host, key, self.scenario.service, "relaxed", "SELECT count(*) FROM change"
        )
        self.calls[arrival.workspace].append(call)


def worst_workspace_share(size: Sizes, name: str) -> Measure:
    """Return the worst share of good answers while the largest workspace floods.

    :param size: sizes of one user.
    :param name: the user's name, for the report.
    """
    random = Random(SEED)
    scenario = Scenario.from_size(size, SEED)
    create_table(scenario)
    flood, *others = size.workspaces
    pick_host = even(size.hosts)
    streams = [conforming(w, pick_host, 0, TRAFFIC_MS, random) for w in others]
    streams.append(flooding(flood, FLOOD_TIMES_RATE, pick_host, 0, TRAFFIC_MS, random))
    load = MixedLoad(scenario)
    load.run(merged(streams))
    share = min(load.share(workspace.name) for workspace in others)
    text = f"{name}, one workspace at 8 times its rate, whole path"
    return Measure.from_value(
        "worst_workspace_share", text, round(share, 5), "share", Limit.AT_LEAST, FAIR_SHARE
    )
