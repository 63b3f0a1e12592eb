from dataclasses import dataclass, replace

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import LEASE_MS
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.protocol.sessions import ServerReport
from figcrank.state import ManualClock, Position
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._position_prober import (
    DEMAND_MS,
    PROBE_INTERVAL_MS,
    PositionProber,
)
from figcrank.transport.streams._region_confinement import RegionConfinement

LOST_MS = LEASE_MS + 10_000


@dataclass
class FakePool:
    entry: str


class FakeRouter:
    def __init__(self):
        self.position_lacking_ms = {}
        self.confinement = RegionConfinement(None)
        self.observed = []

    def entries_of(self, group):
        return ["s1", "s2", "s3"]

    def pool(self, server_id):
        return FakePool(server_id)

    def observe_position(self, pool, sent_ms, position):
        self.observed.append((pool.entry, sent_ms, position))


class FakeCommands:
    """Servers that report after some time."""

    def __init__(self, clock):
        self.clock = clock
        self.reports = {
            "s1": ServerReport(True, 3, Position(3, 70)),
            "s2": ServerReport(False, 3, Position(3, 60)),
            "s3": ServerReport(False, 3, Position(3, 50)),
        }

    def status(self, server):
        self.clock.advance_to(self.clock.now_ms() + 40)
        return self.reports[server]


class Scenario:
    """Host of a fleet of two that has received nothing from the other one nor from the store."""

    def __init__(self):
        self.clock = ManualClock(LOST_MS)
        self.view = FleetView("h1", 1, ("10.0.0.1", 7000))
        self.view.peers.register("h2", ("10.0.0.2", 7000), 0)
        self.view.merge_primary("g", PrimaryRecord(1, 3, "s1"), 0)
        self.router = FakeRouter()
        self.commands = FakeCommands(self.clock)
        log = EventLog("h1", self.clock, len)
        parts = self.view, self.router, self.commands, self.clock, log, Metrics()
        self.prober = PositionProber(*parts)


def test_position_is_observed_as_of_the_start_of_the_round():
    scenario = Scenario()
    scenario.prober.probe("g")
    assert scenario.view.position_history("g").newest() == (LOST_MS, Position(3, 70))


def test_nothing_is_observed_if_a_server_does_not_answer():
    scenario = Scenario()
    scenario.commands.reports["s3"] = None
    scenario.prober.probe("g")
    assert scenario.view.position_history("g").newest() is None


def test_group_is_probed_only_for_reads_that_lack_a_position():
    scenario = Scenario()
    assert scenario.prober.due_groups(LOST_MS) == []
    scenario.router.position_lacking_ms["g"] = LOST_MS
    assert scenario.prober.due_groups(LOST_MS) == ["g"]
    assert scenario.prober.due_groups(LOST_MS + DEMAND_MS + 1) == []


def test_group_is_probed_once_per_interval():
    scenario = Scenario()
    scenario.router.position_lacking_ms["g"] = LOST_MS
    scenario.prober._probed_ms["g"] = LOST_MS
    assert scenario.prober.due_groups(LOST_MS + PROBE_INTERVAL_MS - 1) == []
    assert scenario.prober.due_groups(LOST_MS + PROBE_INTERVAL_MS) == ["g"]


def test_group_is_not_probed_while_this_host_has_a_lease():
    scenario = Scenario()
    scenario.router.position_lacking_ms["g"] = LOST_MS
    scenario.view.confirmed_ms = LOST_MS
    assert scenario.prober.due_groups(LOST_MS) == []


def with_lease(scenario):
    scenario.view.confirmed_ms = LOST_MS
    scenario.router.position_lacking_ms["g"] = LOST_MS
    scenario.router.confinement.lacking_ms["g"] = LOST_MS
    return scenario


def test_group_is_probed_under_a_lease_for_reads_that_may_not_run_at_the_primary():
    """Guards against a quiet group whose position no reply of the primary tells."""
    scenario = with_lease(Scenario())
    assert scenario.prober.due_groups(LOST_MS) == ["g"]
    scenario.router.confinement.lacking_ms["g"] = LOST_MS - DEMAND_MS - 1
    assert scenario.prober.due_groups(LOST_MS) == []


def test_answer_of_the_primary_suffices_under_a_lease():
    """Guards against a dark replica that keeps the position from confined reads."""
    scenario = with_lease(Scenario())
    scenario.commands.reports["s3"] = None
    scenario.prober.probe("g")
    assert scenario.router.observed == [("s1", LOST_MS, Position(3, 70))]


def test_position_of_a_server_that_is_not_the_primary_is_not_observed():
    scenario = with_lease(Scenario())
    scenario.commands.reports["s1"] = replace(scenario.commands.reports["s1"], is_primary=False)
    scenario.prober.probe("g")
    scenario.commands.reports["s1"] = None
    scenario.prober.probe("g")
    assert scenario.router.observed == []
