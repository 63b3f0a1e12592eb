"""Statements of confined routes and workspaces reach no server outside their regions."""

from dataclasses import replace

import eventlet
import pytest

from figcrank.coordination.admission import Demand
from figcrank.coordination.fleet import FleetView
from figcrank.coordination.regions import RegionMap
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.protocol.sessions import Request, SessionFailure, Verb
from figcrank.state import ManualClock, Position
from figcrank.state._catalog import Catalog, DatabaseRoute, ReadMode, Registry, ServerEntry
from figcrank.transport.streams import _acquirer
from figcrank.transport.streams._connection import OpenError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._runner import StatementRunner
from figcrank.transport.streams._session import Transaction
from figcrank.transport.streams._statements import Statement

REGIONS = {"n1": "north", "n2": "north", "s1": "south"}
READ = Statement(Request("1", Verb.READ, "READ x"), False)
WRITE = Statement(Request("2", Verb.WRITE, "WRITE x 1"), True)


class Session:
    def __init__(self):
        self.variables = {}
        self.last_commit = {}
        self.prepared = {}

    def acts_for(self, _workspace):
        return True

    def is_connected(self):
        return True


class Scenario:
    """Host in the north; the primary is in the north, with a replica in each region.

    Any connection that is opened fails the test.
    """

    def __init__(self, route_regions=(), workspace_regions=(), regions=REGIONS, mode="bounded"):
        self.clock = ManualClock(1_000)
        self.view = FleetView(
            "a",
            1,
            ("10.0.0.1", 7000),
            availability_zone="n1",
            regions=RegionMap("n1", regions),
        )
        self.log = EventLog("a", self.clock, len)
        self.router = Router(self.view, None, self.clock, "n1", self.log, Metrics())
        self.route = DatabaseRoute(
            "r", "db", "g", ReadMode(mode), 1_000, 100, 0, 500, allowed_regions=route_regions
        )
        confined = {"w": workspace_regions} if workspace_regions else {}
        catalog = Catalog(1, {"db": self.route}, workspace_regions=confined)
        self.view.adopt_catalog(catalog, 0)
        self.servers = {"primary": "n1", "north": "n2", "south": "s1"}
        self.adopt()
        self.view.has_lease = lambda _now_ms: True
        self.view.primary_table.merge("g", PrimaryRecord(1, 1, "primary"), 0)
        self.view.position_history("g").observe(900, Position(1, 5))

    def adopt(self):
        entries = {
            name: ServerEntry(name, "g", f"10.1.0.{number}:80", zone, 4, False, False)
            for number, (name, zone) in enumerate(self.servers.items())
        }
        self.view.registry = Registry(self.view.registry.revision + 1, entries)

    def servers_of_read(self):
        demand = Demand("w", "kind", (0, 0), 1_000, 1_100, 2_000, lambda: True)
        pools = self.router.read_pools(self.route, None, demand, set())
        return {pool.entry.server_id for pool, _ in pools}

    def run(self, statement):
        runner = StatementRunner(self.router, self.clock, Metrics(), self.log)
        return runner.run_single(Session(), statement, self.route, "w")

    def begin(self, read_only=False):
        runner = StatementRunner(self.router, self.clock, Metrics(), self.log)
        transaction = Transaction(WRITE.request, read_only, self.route, "w")
        return runner.run_in_transaction(Session(), WRITE, transaction), transaction


def test_read_has_the_servers_of_the_regions_that_route_and_workspace_allow():
    everywhere = {"primary", "north", "south"}
    assert Scenario().servers_of_read() == everywhere
    assert Scenario(("north",)).servers_of_read() == {"primary", "north"}
    assert Scenario((), ("south",)).servers_of_read() == {"south"}
    assert Scenario(("north", "south"), ("south",)).servers_of_read() == {"south"}


def test_read_has_every_server_in_a_fleet_without_regions():
    """Guards against deployments without regions in their settings that stop working."""
    scenario = Scenario(("north",), ("south",), regions={})
    assert scenario.servers_of_read() == {"primary", "north", "south"}


@pytest.mark.parametrize("mode", ["bounded", "primary"])
def test_statement_is_rejected_at_once_if_no_server_is_in_an_allowed_region(mode):
    """Guards against a statement that crosses, or that waits for its timeout."""
    scenario = Scenario(("west",), mode=mode)
    for statement in (READ, WRITE):
        answer = scenario.run(statement)
        assert (answer.failure, answer.tries, answer.took_ms) == (SessionFailure.BUSY, 0, 0)
        assert "the group has no server in an allowed region (west)" in answer.detail


def test_write_is_rejected_at_once_if_the_primary_is_in_another_region():
    answer = Scenario((), ("south",)).run(WRITE)
    assert (answer.failure, answer.tries, answer.took_ms) == (SessionFailure.BUSY, 0, 0)
    assert "the primary is in region north" in answer.detail


@pytest.mark.parametrize("read_only", [False, True])
def test_transaction_is_rejected_at_once_if_no_allowed_server_can_run_it(read_only):
    scenario = Scenario((), ("south",))
    if read_only:
        scenario.router.pool("south").lagging_until_ms = 10_000
    answer, transaction = scenario.begin(read_only)
    assert answer.failure is SessionFailure.BUSY
    assert "the primary is in region north" in answer.detail
    assert scenario.clock.now_ms() == 1_000
    assert not transaction.sent


def test_read_whose_only_replica_lags_does_not_go_to_the_primary_of_another_region():
    """Guards against the usual way out of a lagging replica, which is the primary."""
    scenario = Scenario((), ("south",))
    scenario.router.pool("south").lagging_until_ms = 10_000
    assert scenario.servers_of_read() == set()
    answer = scenario.run(READ)
    assert (answer.failure, answer.tries) == (SessionFailure.BUSY, 0)
    assert "the primary is in region north" in answer.detail


def test_write_waits_while_a_server_of_an_allowed_region_may_become_the_primary():
    """Guards against a replacement during which confined writes are rejected for the region."""
    scenario = Scenario((), ("south",))
    scenario.view.primary_table.merge("g", PrimaryRecord(2, 1, "primary", moving=True), 1_000)
    scenario.router.require_allowed_primary(scenario.route, "w")
    scenario.view.primary_table.merge("g", PrimaryRecord(3, 2, "south"), 1_000)
    scenario.router.require_allowed_primary(scenario.route, "w")


def test_write_does_not_wait_for_a_primary_that_can_only_be_in_another_region():
    scenario = Scenario(("west",))
    scenario.view.primary_table.merge("g", PrimaryRecord(2, 1, "primary", moving=True), 1_000)
    with eventlet.Timeout(10):
        answer = scenario.run(WRITE)
    assert (answer.failure, answer.took_ms) == (SessionFailure.BUSY, 0)
    assert "the group has no server in an allowed region (west)" in answer.detail


def test_write_that_waited_for_a_primary_is_rejected_if_that_is_in_another_region():
    """Guards against a replacement that ends in another region while the write waits."""
    scenario = Scenario((), ("south",))
    scenario.view.primary_table.merge("g", PrimaryRecord(2, 1, "primary", moving=True), 1_000)

    def await_primary(_group, _deadline_ms, _arrived_ms):
        scenario.view.primary_table.merge("g", PrimaryRecord(3, 2, "north"), 1_000)
        return scenario.router.pool("north")

    scenario.router.await_primary = await_primary
    answer = scenario.run(WRITE)
    assert (answer.failure, answer.tries) == (SessionFailure.BUSY, 0)
    assert "the primary is in region north" in answer.detail


def test_server_without_a_known_zone_runs_nothing_that_is_confined():
    """Guards against an unregistered primary, whose record has no zone, that gets a write."""
    scenario = Scenario(("north",))
    del scenario.servers["primary"]
    scenario.adopt()
    record = PrimaryRecord(2, 1, "primary", address="10.1.0.9:80")
    scenario.view.primary_table.merge("g", record, 1_000)
    answer = scenario.run(WRITE)
    assert answer.failure is SessionFailure.BUSY
    assert "the primary is in an unknown region" in answer.detail


def test_change_of_the_allowed_regions_holds_for_servers_that_are_in_use():
    scenario = Scenario()
    pool = scenario.router.pool("north")
    assert scenario.router.may_run(pool, scenario.route, "w")
    changed = Catalog(2, {"db": scenario.route}, workspace_regions={"w": ("south",)})
    scenario.view.adopt_catalog(changed, 1_000)
    assert not scenario.router.may_run(pool, scenario.route, "w")
    assert scenario.router.may_run(pool, scenario.route, "other")
    route = replace(scenario.route, allowed_regions=("south",))
    scenario.view.adopt_catalog(Catalog(3, {"db": route}), 1_000)
    assert not scenario.router.may_run(pool, scenario.route, "other")


class QuietScenario(Scenario):
    """No reply of the primary has told its position lately; a probe tells it at a set time."""

    def __init__(self, monkeypatch, told_ms=None, **fields):
        super().__init__((), ("south",), **fields)
        self.clock.advance_to(10_000)
        self.told_ms = told_ms
        monkeypatch.setattr(_acquirer.eventlet, "sleep", self.sleep)

    def sleep(self, seconds):
        self.clock.advance_to(self.clock.now_ms() + int(seconds * 1_000))
        assert self.clock.now_ms() < 12_000, "the read goes on to wait"
        if self.told_ms is not None and self.clock.now_ms() >= self.told_ms:
            pool = self.router.pool("primary")
            self.router.observe_position(pool, self.told_ms, Position(1, 5))

    def acquire(self):
        """Return the server to which a read is sent."""
        connection = type("Connection", (), {"variables": {}})()
        self.router.pool("south").acquire = lambda _demand, _variables: connection
        runner = StatementRunner(self.router, self.clock, Metrics(), self.log)
        demand = runner._acquirer.demand(Session(), self.route, "w", "read")
        attempt = runner._acquirer.acquire_server(Session(), self.route, demand, set(), False)
        return attempt.pool.entry.server_id


def test_confined_read_of_a_quiet_group_waits_for_the_position_of_its_primary(monkeypatch):
    """Guards against a group without writes whose confined reads are all refused.

    Replies of the primary tell its position, and these reads don't reach it.
    """
    scenario = QuietScenario(monkeypatch, told_ms=10_100)
    assert scenario.acquire() == "south"
    assert scenario.router.confinement.lacking_ms["g"] >= 10_000
    assert scenario.clock.now_ms() <= 10_100 + _acquirer.RETRY_PAUSE_MS


def test_confined_read_is_refused_if_the_position_is_not_told_in_time(monkeypatch):
    scenario = QuietScenario(monkeypatch)
    with pytest.raises(OpenError, match="the primary is in region north"):
        scenario.acquire()
    assert scenario.clock.now_ms() <= 10_000 + _acquirer.POSITION_WAIT_MS


@pytest.mark.parametrize(
    "fields",
    [
        {"route_regions": ("north",)},  # its primary is allowed
        {"route_regions": ("west",)},  # it has no server there
        {"workspace_regions": ("south",), "mode": "primary"},
        {},
    ],
)
def test_reads_that_a_position_does_not_help_wait_for_none(fields):
    scenario = Scenario(**fields)
    scenario.clock.advance_to(10_000)
    assert not scenario.router.awaits_position(scenario.route, "w")
    scenario.servers_of_read()
    assert scenario.router.confinement.lacking_ms == {}
