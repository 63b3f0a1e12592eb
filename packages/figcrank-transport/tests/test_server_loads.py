"""Owners of a fleet with relays report their loads and share the slots of each server."""

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.regions import RegionMap
from figcrank.protocol.heartbeats import (
    Heartbeat,
    HeartbeatExtension,
    PrimaryRecord,
    ServerLoad,
)
from figcrank.state import ManualClock
from figcrank.state._catalog import Catalog, GroupPolicy, Registry, ServerEntry
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._router import Router

ENTRY = ServerEntry("s1", "g", "10.1.0.1:80", "zone-a", 4, False, False)
PEER = ("10.0.0.2", 7000)


class Scenario:
    """Router of owner ``a``, and heartbeats of owner ``b``."""

    def __init__(self, has_relays=True):
        self.clock = ManualClock(1_000)
        self.view = FleetView("a", 1, ("10.0.0.1", 7000))
        self.view.catalog = Catalog(1, groups={"g": GroupPolicy("g", 56)})
        self.view.registry = Registry(1, {"s1": ENTRY})
        self.events = []
        log = EventLog("a", self.clock, len)
        log.event = lambda event, **fields: self.events.append((event, fields))
        self.router = Router(self.view, None, self.clock, "zone-a", log, Metrics())
        if has_relays:
            self.view.ownership.record_relay(self.clock.now_ms())
        self.pool = self.router.pool("s1")

    def hear(self, load, extends=True):
        loads = {"s1": load} if load else {}
        extension = HeartbeatExtension(server_loads=loads) if extends else None
        heartbeat = Heartbeat("b", 2, self.clock.now_ms(), extension=extension)
        self.view.receive(heartbeat, PEER, self.clock.now_ms())

    def run(self, ticks, load=None, hears=True, extends=True):
        for number in range(ticks):
            self.clock.advance_to(self.clock.now_ms() + 100)
            if hears and number % 3 == 0:
                self.hear(load, extends)
            self.router.tick()

    def use(self, statements):
        """Let statements be in flight."""
        self.pool._opening["w"] = statements


def test_load_is_published_in_heartbeats_while_the_server_is_used():
    """Guards against owners that don't learn of each other's demand."""
    scenario = Scenario()
    scenario.use(3)
    scenario.run(3)
    assert scenario.view.server_loads == {"s1": ServerLoad(3)}
    scenario.use(0)
    scenario.run(14)
    assert scenario.view.server_loads == {}


def test_owners_in_demand_share_the_slots():
    """Guards against each owner using its whole connection limit: 27 each for 4 slots."""
    scenario = Scenario()
    scenario.use(9)
    scenario.run(6, ServerLoad(9, 20))
    assert scenario.pool.max_in_flight == 4


def test_owner_without_demand_costs_the_others_nothing():
    scenario = Scenario()
    scenario.use(9)
    scenario.run(6, None)
    assert scenario.pool.max_in_flight == 7


def test_owner_that_neither_serves_the_group_nor_uses_the_server_gets_no_share():
    """Guards against late heartbeats of other groups' owners that take a share."""
    scenario = Scenario()
    scenario.view.group_owners = lambda _group, _now_ms: ["a"]
    scenario.use(9)
    scenario.run(6, None)
    scenario.run(6, hears=False)
    assert scenario.pool.max_in_flight == 7


def test_share_of_a_silent_owner_is_kept_and_then_returns():
    scenario = Scenario()
    scenario.use(9)
    scenario.run(7, ServerLoad(9, 20))
    scenario.run(11, hears=False)
    assert scenario.pool.max_in_flight == 4
    scenario.run(6, hears=False)
    assert scenario.pool.max_in_flight == 7


def test_owner_of_an_earlier_release_gets_an_equal_share():
    """It sends no extension, and its statements reach the server all the same."""
    scenario = Scenario()
    scenario.use(9)
    scenario.run(6, extends=False)
    assert scenario.pool.max_in_flight == 4


def test_ticks_between_the_regular_ones_are_no_samples():
    """Guards against a burst of primary changes that shortens the time averaged over."""
    scenario = Scenario()
    scenario.use(9)
    scenario.run(3)
    scenario.use(0)
    for _ in range(5):
        scenario.router.tick()
    assert scenario.view.server_loads["s1"].in_flight == 9


def test_rejections_still_lower_the_limit():
    """Guards against an allotment that replaces the limit after rejections."""
    scenario = Scenario()
    scenario.use(6)
    scenario.run(6)
    scenario.pool.record_rejection()
    assert scenario.pool.max_in_flight == 3


def test_fleet_without_relays_works_as_before():
    scenario = Scenario(has_relays=False)
    scenario.use(9)
    scenario.run(6, ServerLoad(9, 20))
    assert scenario.view.server_loads == {}
    assert scenario.pool.max_in_flight == scenario.pool.limit == 27
    assert scenario.router.loads.gauges(scenario.router.pools()) == {}


def test_allotment_is_a_gauge_and_a_bound_below_the_reported_slots_an_event():
    scenario = Scenario()
    scenario.use(9)
    scenario.run(2)
    gauges = scenario.router.loads.gauges(scenario.router.pools())
    assert gauges == {'server_allotment{server="s1"}': 1}
    scenario.view.registry = Registry(2, {"s1": _with_slots(40)})
    for _ in range(3):
        scenario.pool.meter.record_rejection()
        scenario.run(6, ServerLoad(6, 9))
    names = [event for event, _ in scenario.events if event == "server_allotment_bounded"]
    assert names == ["server_allotment_bounded"]


def _with_slots(slots):
    return ServerEntry("s1", "g", ENTRY.address, "zone-a", slots, False, False)


def test_owner_ranks_a_server_by_what_the_others_measured():
    """Guards against an owner that has to learn by itself that a server is slow."""
    scenario = Scenario()
    scenario.run(3, ServerLoad(4, 0, 150.0, 30))
    assert scenario.router.loads.latency_ms(scenario.pool) == 150.0
    scenario = Scenario(has_relays=False)
    scenario.run(3, ServerLoad(4, 0, 150.0, 30))
    assert scenario.router.loads.latency_ms(scenario.pool) == scenario.pool.health.latency_ms


def test_failures_of_a_server_that_is_not_used_count_less_from_second_to_second():
    """Guards against a server with partial failures that gets no work after its recovery."""
    shares = {}
    for has_relays in (True, False):
        scenario = Scenario(has_relays)
        scenario.pool.health.record_failure(scenario.clock.now_ms())
        for _ in range(10):
            scenario.pool.health.record_statement(False)
        before = scenario.router.loads.failed_share(scenario.pool)
        scenario.run(40)
        shares[has_relays] = scenario.router.loads.failed_share(scenario.pool) / before
    assert shares[True] <= 1 / 8
    assert shares[False] == 1


def test_primary_whose_entry_expired_keeps_the_allotment_by_its_slots():
    """Guards against one statement in flight at a primary while the store is unavailable.

    The entry made from the primary's record has one slot, as the record doesn't tell their number.
    """
    scenario = Scenario()
    scenario.view.merge_primary("g", PrimaryRecord(1, 1, "s1", address=ENTRY.address), 0)
    scenario.use(9)
    scenario.run(6)
    scenario.view.registry = Registry(2, {})
    scenario.run(6)
    assert scenario.pool.entry.slots == 1
    assert scenario.pool.max_in_flight == 7


def test_primary_that_was_never_registered_is_limited_by_its_connections_alone():
    scenario = Scenario()
    scenario.view.registry = Registry(2, {})
    scenario.view.merge_primary("g", PrimaryRecord(1, 1, "s0", address="10.1.0.2:80"), 0)
    scenario.run(6)
    pool = scenario.router.pool("s0")
    assert pool.max_in_flight == pool.limit == 53  # one zone; the other owner serves no group


def test_new_pool_has_one_statement_in_flight_until_its_allotment_is_computed():
    """Guards against a started owner that uses its whole connection limit until its first tick."""
    scenario = Scenario()
    assert scenario.pool.max_in_flight == 1
    pool = Scenario(has_relays=False).pool
    assert pool.max_in_flight == pool.limit == 54


def test_what_owners_of_another_region_measured_does_not_count():
    """Their figures include the way from their region, and say nothing about the way from here."""
    scenario = Scenario()
    scenario.view.regions = RegionMap("north-a", {"north-a": "north", "south-a": "south"})
    scenario.view.peers.register("b", PEER, 0, "south-a")
    scenario.run(3, ServerLoad(4, 0, 150.0, 30))
    assert scenario.router.loads.latency_ms(scenario.pool) == scenario.pool.health.latency_ms
