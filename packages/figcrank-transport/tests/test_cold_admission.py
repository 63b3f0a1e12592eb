"""A server that has just started gets what it bears; the rest goes elsewhere or is refused."""

import pytest

from figcrank.coordination.admission import Demand
from figcrank.coordination.fleet import FleetView
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state import ManualClock
from figcrank.state._catalog import (
    Catalog,
    DatabaseRoute,
    GroupPolicy,
    ReadMode,
    Registry,
    ServerEntry,
)
from figcrank.state._positions import Position
from figcrank.transport.streams._connection import OpenError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._router import Router

ROUTE = DatabaseRoute("r", "db", "g", ReadMode.BOUNDED, 1_000, 100, max_staleness_ms=1_000)
COLD_MS = 10_000
NOW_MS = 5_000

DEMAND = Demand("w", "reads read", (0, 0), NOW_MS, NOW_MS + 500, NOW_MS + 2_000)


class Scenario:
    """Router of a host with a primary ``p`` and replicas ``r1`` and ``r2``.

    :param cold: ids of the servers that have just started.
    :param overage: factor of the limit, ``None`` without one.
    """

    def __init__(self, cold=("r1",), overage=1.0):
        self.clock = ManualClock(NOW_MS - 2_100)
        self.view = FleetView("a", 1, ("10.0.0.1", 7000))
        self.view.catalog = Catalog(1, groups={"g": GroupPolicy("g", 56, cold_per_s=2.0)})
        entries = [
            ServerEntry(
                name, "g", f"10.1.0.1:{n}", "zone-a", 4, False, False, 1, COLD_MS * (name in cold)
            )
            for n, name in enumerate(("p", "r1", "r2"))
        ]
        self.view.registry = Registry(1, {entry.server_id: entry for entry in entries})
        self.view.merge_primary("g", PrimaryRecord(1, 1, "p"), 0)
        self.events = []
        log = EventLog("a", self.clock, len)
        log.event = lambda event, **fields: self.events.append((event, fields))
        self.metrics = Metrics()
        self.router = Router(
            self.view, None, self.clock, "zone-a", log, self.metrics, cold_overage=overage
        )
        self.router._prober.probe = lambda _pool: None
        for entry in entries:
            self.router.pool(entry.server_id)
        while self.clock.now_ms() < NOW_MS:
            self.run(100)

    def run(self, for_ms):
        self.clock.advance_to(self.clock.now_ms() + for_ms)
        self.view.confirmed_ms = self.clock.now_ms()
        self.view.position_history("g").observe(self.clock.now_ms(), Position(1, 1))
        self.router.tick()

    def read_servers(self):
        return [
            pool.entry.server_id for pool, _ in self.router.read_pools(ROUTE, None, DEMAND, set())
        ]

    def send(self, server_id):
        return self.router.admit_to_cold(self.router.pool(server_id))


def test_read_goes_elsewhere_when_the_cold_replica_has_what_it_bears():
    """Guards against a restarted replica that is kept slow by the reads that return to it."""
    scenario = Scenario()
    assert "r1" in scenario.read_servers()
    assert [scenario.send("r1") for _ in range(3)] == [True, True, False]
    assert scenario.read_servers() == ["r2", "p"]
    for _ in range(10):
        scenario.run(100)
    assert "r1" in scenario.read_servers()


def test_what_only_a_cold_primary_can_run_is_refused_with_a_time_to_retry():
    """Guards against statements that wait for a cold primary until their timeout."""
    scenario = Scenario(cold=("p",))
    assert scenario.router.await_primary("g", NOW_MS, 0).entry.server_id == "p"
    scenario.send("p")
    scenario.send("p")
    with pytest.raises(OpenError, match="retry after 1000 ms") as refused:
        scenario.router.await_primary("g", NOW_MS, 0)
    assert 'cold_rejected_total{server="p"} 1' in scenario.metrics.render()
    assert refused.value.reason is RefusalReason.COLD


def test_statements_of_open_transactions_count():
    scenario = Scenario()
    scenario.router.record_at_cold(scenario.router.pool("r1"))
    assert [scenario.send("r1") for _ in range(2)] == [True, False]


def test_cold_server_is_only_ranked_lower_without_a_limit():
    """Guards against refusals in a deployment whose settings have no limit."""
    scenario = Scenario(cold=("r1", "p"), overage=None)
    assert [scenario.send("r1") for _ in range(9)] == [True] * 9
    assert scenario.read_servers() == ["r2", "r1", "p"]
    scenario = Scenario(cold=("r2", "p"), overage=None)
    assert scenario.read_servers() == ["r1", "r2", "p"]


def test_warm_servers_are_not_limited():
    scenario = Scenario(cold=())
    assert [scenario.send("r1") for _ in range(9)] == [True] * 9
    assert scenario.events == []


def test_cold_server_is_an_event_and_its_part_a_gauge():
    scenario = Scenario()
    assert scenario.router.cold.gauges() == {'cold_server_share{server="r1"}': 2}
    assert scenario.router.cold.server_ids() == {"r1"}
    for _ in range(100):
        scenario.run(100)
    assert scenario.router.cold.gauges() == {}
    events = [(event, fields["server"], fields["share_per_s"]) for event, fields in scenario.events]
    assert events == [("server_cold", "r1", 2), ("server_warm", "r1", None)]
