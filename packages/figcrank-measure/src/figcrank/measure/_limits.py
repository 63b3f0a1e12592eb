"""Measures of the limits: fairness, wrongful refusals and admissions above the limit."""

from collections.abc import Callable, Iterator
from random import Random

from figcrank.measure._fairness import worst_workspace_share
from figcrank.measure._limit_fleet import Arrival, LimitFleet, Network
from figcrank.measure._limit_rivals import fixed_shares_refused
from figcrank.measure._limit_traffic import (
    WORKSPACES,
    PickHost,
    conforming,
    even,
    merged,
    skewed,
)
from figcrank.measure._report import Limit, Measure
from figcrank.standins.samples import herdtrace, patna

HOSTS = 9
SEED = 20
# Traffic starts once the fleet's homes have begun to lend and have filled their buckets.
WARM_UP_MS = 2_000
FAULT_MS = 12_000
END_MS = 42_000
# Time from a host's death until every host believes in it.
DETECTION_MS = 800
PAUSE_MS = 2_000
_MS_PER_S = 1_000

REFUSED_STEADY = 0.001
REFUSED_KILLED = 0.01

Fault = Callable[[LimitFleet, list[Arrival]], None]


def limits() -> Iterator[Measure]:
    """Yield every measure of the limits."""
    for size, name in ((patna(), "Pătna"), (herdtrace(), "Herdtrace")):
        yield worst_workspace_share(size, name)
    for scenario, (pick_host, fault, bound) in _SCENARIOS.items():
        fleet = run_scenario(pick_host, fault)
        yield _wrongful(scenario, fleet, bound)
        yield _over(scenario, fleet)
    yield from rivals()


def rivals() -> Iterator[Measure]:
    """Yield what the ruled out ways of counting would give on the same traffic."""
    for scenario, pick_host in (("steady", even(HOSTS)), ("skewed over hosts", skewed(HOSTS))):
        random = Random(SEED)
        streams = [conforming(w, pick_host, WARM_UP_MS, END_MS, random) for w in WORKSPACES]
        arrivals = merged(streams)
        share = round(fixed_shares_refused(WORKSPACES, arrivals, HOSTS), 6)
        name = f"{scenario}, fixed share per host instead"
        yield Measure.from_value("wrongful_refusals", name, share, "share", Limit.REPORT)
    calls_per_s = round(len(arrivals) * _MS_PER_S / (END_MS - WARM_UP_MS), 1)
    name = "a bucket in the platform instead, one write a request"
    yield Measure.from_value("platform_calls_per_s", name, calls_per_s, "calls/s", Limit.REPORT)


def run_scenario(pick_host: PickHost, fault: Fault) -> LimitFleet:
    """Return a fleet after conforming traffic of every workspace and a fault."""
    random = Random(SEED)
    streams = [conforming(w, pick_host, WARM_UP_MS, END_MS, random) for w in WORKSPACES]
    fleet = LimitFleet(WORKSPACES, SEED, Network(loss=0.001))
    fault(fleet, merged(streams))
    return fleet


def _steady(fleet: LimitFleet, arrivals: list[Arrival]) -> None:
    fleet.run(arrivals, END_MS + WARM_UP_MS)


def _replaced(fleet: LimitFleet, arrivals: list[Arrival]) -> None:
    before, after = _split(arrivals, FAULT_MS)
    fleet.run(before, FAULT_MS)
    leaving = fleet.home(WORKSPACES[0].name)
    fleet.leave(leaving)
    joined = fleet.join()
    _redirect_and_run(fleet, after, leaving.host.name, fleet.members.index(joined))


def _killed(fleet: LimitFleet, arrivals: list[Arrival]) -> None:
    before, after = _split(arrivals, FAULT_MS)
    fleet.run(before, FAULT_MS)
    killed = fleet.home(WORKSPACES[0].name)
    fleet.kill(killed)
    undetected, after = _split(after, FAULT_MS + DETECTION_MS)
    fleet.run(undetected, FAULT_MS + DETECTION_MS)
    fleet.forget(killed.host.name)
    _redirect_and_run(fleet, after, killed.host.name, 0)


def _paused(fleet: LimitFleet, arrivals: list[Arrival]) -> None:
    before, after = _split(arrivals, FAULT_MS)
    fleet.run(before, FAULT_MS)
    paused = fleet.home(WORKSPACES[0].name)
    paused.paused = True
    undetected, after = _split(after, FAULT_MS + DETECTION_MS)
    fleet.run(undetected, FAULT_MS + DETECTION_MS)
    fleet.forget(paused.host.name)
    meanwhile, after = _split(after, FAULT_MS + PAUSE_MS)
    fleet.run(meanwhile, FAULT_MS + PAUSE_MS)
    fleet.resume(paused)
    # The resumed host goes on as home in its own view until the others take it back.
    separate, after = _split(after, FAULT_MS + PAUSE_MS + DETECTION_MS)
    fleet.run(separate, FAULT_MS + PAUSE_MS + DETECTION_MS)
    for member in fleet.members:
        member.view.add(paused.host)
    fleet.run(after, END_MS + WARM_UP_MS)


def _split(arrivals: list[Arrival], at_ms: int) -> tuple[list[Arrival], list[Arrival]]:
    before = [arrival for arrival in arrivals if arrival.at_ms < at_ms]
    return before, arrivals[len(before) :]


def _redirect_and_run(fleet: LimitFleet, arrivals: list[Arrival], gone: str, instead: int) -> None:
    """Let the balancer send a gone host's requests to another one."""
    index = fleet.members.index(fleet.member(gone))
    moved = [Arrival(a.at_ms, a.workspace, instead) if a.host == index else a for a in arrivals]
    fleet.run(moved, END_MS + WARM_UP_MS)


def _wrongful(scenario: str, fleet: LimitFleet, bound: float) -> Measure:
    refused = sum(len(outcomes.refused_ms) for outcomes in fleet.outcomes.values())
    answered = sum(len(outcomes.admitted_ms) for outcomes in fleet.outcomes.values()) + refused
    share = round(refused / answered, 6)
    return Measure.from_value("wrongful_refusals", scenario, share, "share", Limit.AT_MOST, bound)


def _over(scenario: str, fleet: LimitFleet) -> Measure:
    over = max(fleet.over_admission(name) for name in fleet.workspaces)
    return Measure.from_value("over_admission", scenario, over, "requests", Limit.AT_MOST, 0)


_SCENARIOS: dict[str, tuple[PickHost, Fault, float]] = {
    "steady": (even(HOSTS), _steady, REFUSED_STEADY),
    "skewed over hosts": (skewed(HOSTS), _steady, REFUSED_STEADY),
    "host replaced": (even(HOSTS), _replaced, REFUSED_KILLED),
    "home host killed": (even(HOSTS), _killed, REFUSED_KILLED),
    "paused home host goes on": (even(HOSTS), _paused, REFUSED_KILLED),
}
