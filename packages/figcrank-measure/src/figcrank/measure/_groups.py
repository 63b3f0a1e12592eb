"""Failovers, lost or doubled writes, stale reads and the replicas' share of reads."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from figcrank.coordination import Timings
from figcrank.measure._load import ReadLoad, WriteLoad, create_table
from figcrank.measure._report import Limit, Measure
from figcrank.measure._scenario import Scenario
from figcrank.standins.samples import Sizes, herdtrace, patna
from figcrank.standins.virtual import Call
from figcrank.standins.virtual import VirtualGroup as Servers

GAP_BOUND_MS = 1_500
SHARE_BOUND = 0.9
WARM_UP_MS = 1_500
FAULT_AFTER_MS = 500
LOAD_MS = 4_000
SETTLE_MS = 5_000
SHARE_LOAD_MS = 3_000
REPLICA_LAG_MS = 100
USERS: tuple[tuple[str, Sizes], ...] = (("patna", patna()), ("herdtrace", herdtrace()))
SEEDS = (1, 2)
APPLY_LAGS_MS = (0, 100, 1_000, 5_000, 30_000)
BOUNDED_AGE_MS = 5_000
READ_IDS = "SELECT id FROM change"


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that ends a primary.

    :param label: what it is called in the report.
    :param inflict: does it at once.
    """

    label: str
    inflict: Callable[[Scenario], None]


def _servers(scenario: Scenario) -> Servers:
    return scenario.fleet.groups[scenario.service]


def _primary(scenario: Scenario) -> str:
    primary = _servers(scenario).primary
    assert primary is not None
    return primary.server.name


def _coordinator(scenario: Scenario) -> str:
    entries = [entry for entry in scenario.fleet.hosts.values() if entry.alive]
    return entries[0].core.placement.owners(scenario.service)[0].name


def _kill_primary(scenario: Scenario) -> None:
    _servers(scenario).kill(_primary(scenario))


def _cut_from_replicas(scenario: Scenario) -> None:
    primary = _primary(scenario)
    others = [name for name in _servers(scenario).servers if name != primary]
    scenario.fleet.network.cut(primary, *others)


def _kill_coordinator_too(scenario: Scenario) -> None:
    coordinator = _coordinator(scenario)
    _kill_primary(scenario)
    # Just after its own timeout the coordinator is about to fence.
    delay_ms = Timings().primary_timeout_ms
    scenario.fleet.loop.after(delay_ms, lambda: scenario.fleet.kill(coordinator))


def _kill_without_platform(scenario: Scenario) -> None:
    scenario.fleet.platform.down = True
    _kill_primary(scenario)


def _everything(scenario: Scenario) -> None:
    scenario.fleet.platform.down = True
    _cut_from_replicas(scenario)
    _kill_coordinator_too(scenario)


def _lose_answers(scenario: Scenario) -> None:
    """Let the primary run work without answering for a while, so that requests are settled."""
    servers = _servers(scenario)
    primary = servers.servers[_primary(scenario)]
    primary.loses_answers = True
    scenario.fleet.loop.after(GAP_BOUND_MS, lambda: setattr(primary, "loses_answers", False))


FAILOVERS = (
    Fault("primary dies", _kill_primary),
    Fault("primary cut off from its replicas but reached by hosts", _cut_from_replicas),
    Fault("coordinator dies during the failover", _kill_coordinator_too),
    Fault("platform down", _kill_without_platform),
    Fault("all at once", _everything),
)
LOSSES = (*FAILOVERS, Fault("answers lost", _lose_answers))


@dataclass(frozen=True, slots=True)
class FailoverRun:
    """What one failover came to.

    :param gap_ms: time from the last success before it to the first one after it.
    :param broken: acknowledged rows that are missing, rows that are there twice and rows that
        were said not to have been inserted but are there.
    """

    gap_ms: int
    broken: int


@dataclass(slots=True)
class SessionLoad:
    """A session that writes a row and reads it back, over and over.

    :param scenario: the fleet under load.
    :param profile: profile of the reads.
    :param age_ms: age bound of the profile.
    """

    scenario: Scenario
    profile: str
    age_ms: int
    first: int
    reads: int = 0
    stale: int = 0
    acknowledged_ms: dict[int, int] = field(default_factory=dict)

    def run(self, rounds: int) -> None:
        """Write and read ``rounds`` times."""
        session = None
        for number in range(self.first, self.first + rounds):
            sql = f"INSERT INTO change (id, note) VALUES ({number}, 'n')"
            host = number % self.scenario.size.hosts + 1
            written = self._finish(self.scenario.write(sql, host=host, session=session))
            if written.answer is None or written.answered_ms is None:
                continue
            session = written.session
            self.acknowledged_ms[number] = written.answered_ms
            self._read(written)

    def _read(self, written: Call) -> None:
        oldest_ms = self.scenario.fleet.loop.now_ms - self.age_ms
        must_see = {n for n, at_ms in self.acknowledged_ms.items() if at_ms <= oldest_ms}
        must_see.add(max(self.acknowledged_ms))
        host = self.reads % self.scenario.size.hosts + 1
        read = self._finish(
            self.scenario.read(READ_IDS, profile=self.profile, session=written.session, host=host)
        )
        if read.answer is None:
            return
        self.reads += 1
        self.stale += not must_see <= {row[0] for row in read.rows}

    def _finish(self, call: Call) -> Call:
        return self.scenario.finish(call)


def run_failover(size: Sizes, seed: int, fault: Fault) -> FailoverRun:
    """Run a write load over a failure and check every answer against the final log."""
    scenario = Scenario.from_size(size, seed, group_count=1)
    create_table(scenario)
    scenario.fleet.run_for(WARM_UP_MS)
    load = WriteLoad(scenario, hosts=list(range(1, size.hosts + 1)))
    load.start()
    scenario.fleet.run_for(FAULT_AFTER_MS)
    fault.inflict(scenario)
    scenario.fleet.run_for(LOAD_MS)
    load.stop()
    scenario.fleet.run_for(SETTLE_MS)
    load.hosts = [n for n in load.hosts if scenario.fleet.hosts[scenario.host_name(n)].alive]
    ids = load.final_ids()
    found = set(ids)
    lost = len(load.acknowledged - found)
    doubled = len(ids) - len(found)
    return FailoverRun(load.longest_gap_ms(), lost + doubled + len(load.not_run & found))


def replica_share(size: Sizes, profile: str) -> float:
    """Return the share of reads that replicas serve while they are behind and writes go on."""
    scenario = Scenario.from_size(size, group_count=1)
    create_table(scenario)
    scenario.fleet.run_for(WARM_UP_MS)
    for server in _servers(scenario).servers.values():
        server.apply_lag_ms = REPLICA_LAG_MS
    writes = WriteLoad(scenario, hosts=list(range(1, size.hosts + 1)))
    reads = ReadLoad(scenario, profile)
    writes.start()
    reads.start()
    start_ms = scenario.fleet.loop.now_ms
    scenario.fleet.run_for(SHARE_LOAD_MS)
    served = reads.served_since(start_ms)
    primary = _primary(scenario)
    return sum(name != primary for name in served) / len(served)


def stale_reads(size: Sizes, apply_lag_ms: int) -> int:
    """Return how many reads missed a write of their session or one older than their bound."""
    scenario = Scenario.from_size(size, group_count=1)
    create_table(scenario)
    scenario.fleet.run_for(WARM_UP_MS)
    for server in _servers(scenario).servers.values():
        server.apply_lag_ms = apply_lag_ms
    loads = (
        SessionLoad(scenario, "fresh", 0, 1),
        SessionLoad(scenario, "relaxed", BOUNDED_AGE_MS, 1_001),
    )
    for load in loads:
        load.run(rounds=40)
    _kill_primary(scenario)
    for load in loads:
        load.first += 100
        load.run(rounds=40)
    return sum(load.stale for load in loads)


def measure_failovers() -> Iterator[Measure]:
    """Yield the failover gap and what was lost or doubled, for every failure and user."""
    for user, size in USERS:
        for fault in LOSSES:
            runs = [run_failover(size, seed, fault) for seed in SEEDS]
            label = f"{user}: {fault.label}"
            if fault in FAILOVERS:
                gap_ms = max(run.gap_ms for run in runs)
                yield Measure.from_value(
                    "failover_gap_ms", label, gap_ms, "ms", Limit.AT_MOST, GAP_BOUND_MS
                )
            broken = sum(run.broken for run in runs)
            yield Measure.from_value("lost_or_doubled", label, broken, "writes", Limit.AT_MOST)


def measure_reads() -> Iterator[Measure]:
    """Yield stale reads and the replicas' share of reads, for each user."""
    for user, size in USERS:
        stale = sum(stale_reads(size, lag_ms) for lag_ms in APPLY_LAGS_MS)
        label = f"{user}: replicas 0 to 30 s behind, primary dies"
        yield Measure.from_value("stale_reads", label, stale, "reads", Limit.AT_MOST)
        for profile, limit in (("relaxed", Limit.AT_LEAST), ("fresh", Limit.REPORT)):
            label = f"{user}: {profile} profile, replicas {REPLICA_LAG_MS} ms behind"
            share = replica_share(size, profile)
            yield Measure.from_value(
                "replica_read_share", label, share, "ratio", limit, SHARE_BOUND
            )


def measures() -> Iterator[Measure]:
    """Yield every measure of the database groups."""
    yield from measure_failovers()
    yield from measure_reads()
