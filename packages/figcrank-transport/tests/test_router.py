import re

import eventlet
import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.heartbeats import Heartbeat, PrimaryRecord
from figcrank.protocol.owners import Owner
from figcrank.state import ManualClock, revision_of
from figcrank.state._catalog import Catalog, GroupPolicy, Registry, ServerEntry
from figcrank.transport.streams._connection import OpenError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._router import UNREGISTERED_GRACE_MS, Router

ENTRY = ServerEntry("s1", "g", "10.1.0.1:80", "zone-a", 5, False, False)


class Scenario:
    """Router of a host that knows one server, a replica."""

    def __init__(self):
        self.clock = ManualClock(0)
        self.view = FleetView("a", 1, ("10.0.0.1", 7000))
        log = EventLog("a", self.clock, len)
        self.router = Router(self.view, None, self.clock, "zone-a", log, Metrics())
        self.adopt(revision_of(1, 20), ENTRY)
        self.router.pool("s1")

    def adopt(self, revision, *entries):
        registry = Registry(revision, {entry.server_id: entry for entry in entries})
        now_ms = self.clock.now_ms()
        self.view.adopt_registry(registry, now_ms, now_ms, from_peer=False)
        self.router.tick()

    def tick_at(self, now_ms):
        self.clock.advance_to(now_ms)
        self.router.tick()

    def has_pool(self):
        return bool(self.router.pools())


def test_server_is_dropped_once_its_entry_was_missing_for_the_grace():
    scenario = Scenario()
    scenario.adopt(revision_of(1, 21))
    scenario.tick_at(UNREGISTERED_GRACE_MS - 1)
    assert scenario.has_pool()
    scenario.tick_at(UNREGISTERED_GRACE_MS)
    assert not scenario.has_pool()


def test_server_is_kept_for_the_whole_grace_after_a_second_new_era():
    """Guards against a store that comes back from an older copy twice in a row.

    The entry is missing from the first copy. After the second one, its server again has 2 s to
    write it.
    """
    scenario = Scenario()
    scenario.adopt(revision_of(2, 5))
    scenario.tick_at(2_000)
    scenario.adopt(revision_of(3, 4))
    scenario.tick_at(2_000 + UNREGISTERED_GRACE_MS - 1)
    assert scenario.has_pool()
    scenario.tick_at(2_000 + UNREGISTERED_GRACE_MS)
    assert not scenario.has_pool()


def test_host_is_not_quiesced_while_it_uses_a_server_promoted_by_an_interrupted_replacement():
    """Its commits there could be acknowledged after another server had been promoted."""
    scenario = Scenario()
    table, pool = scenario.view.primary_table, scenario.router.pool("s1")
    table.merge("g", PrimaryRecord(4, 2, "s1"), 0)
    table.merge("g", PrimaryRecord(5, 1, "s0", moving=True), 0)
    pool._opening["w"] = 1
    scenario.router.tick()
    assert scenario.view.quiesced_groups == set()
    pool._opening["w"] = 0
    scenario.router.tick()
    assert scenario.view.quiesced_groups == {"g"}


class PrimaryScenario:
    """Statements that wait for the primary of a group, which is being replaced."""

    def __init__(self):
        self.scenario = Scenario()
        self.router = self.scenario.router
        self.view = self.scenario.view
        self.table = self.view.primary_table
        self.view.has_lease = lambda _now_ms: True
        self.table.merge("g", PrimaryRecord(4, 2, "s1", moving=True), 0)
        self.gone_on = []
        self.greenlets = []

    def wait(self, arrived_ms):
        self.greenlets.append(eventlet.spawn(self._wait, arrived_ms))
        eventlet.sleep(0)

    def _wait(self, arrived_ms):
        pool = self.router.await_primary("g", 100_000, arrived_ms)
        self.gone_on.append((arrived_ms, pool.entry.server_id))

    def replace(self):
        self.table.merge("g", PrimaryRecord(5, 3, "s1"), 0)
        self.router.notify_primary_change()

    def settle(self):
        with eventlet.Timeout(10):
            for greenlet in self.greenlets:
                greenlet.wait()


def test_statements_go_on_in_the_order_of_their_arrival_when_the_primary_is_replaced():
    """Guards against statements that waited for a primary and go on in any order."""
    primary = PrimaryScenario()
    for arrived_ms in (30, 10, 50, 20, 40):
        primary.wait(arrived_ms)
    primary.replace()
    primary.wait(60)
    primary.settle()
    assert primary.gone_on == [(ms, "s1") for ms in (10, 20, 30, 40, 50, 60)]


def test_statement_that_gives_up_does_not_hold_back_the_others():
    primary = PrimaryScenario()
    for arrived_ms in (10, 20, 30):
        primary.wait(arrived_ms)
    primary.greenlets.pop(0).kill()
    primary.replace()
    primary.settle()
    assert primary.gone_on == [(20, "s1"), (30, "s1")]


def test_statements_leave_the_queue_of_a_primary_that_is_being_replaced():
    """Guards against statements that wait at the old primary until it is closed."""
    scenario = Scenario()
    table, pool = scenario.view.primary_table, scenario.router.pool("s1")
    left = []
    pool.send_waiters_elsewhere = left.append
    table.merge("g", PrimaryRecord(4, 2, "s1"), 0)
    scenario.router.tick()
    scenario.router.notify_primary_change()
    assert left == []
    table.merge("g", PrimaryRecord(5, 2, "s1", moving=True), 0)
    scenario.router.notify_primary_change()
    scenario.router.notify_primary_change()
    assert len(left) == 1


class FakeConnection:
    """An idle connection to a server."""

    def __init__(self, workspace):
        self.workspace = workspace
        self.closed = False

    def close(self):
        self.closed = True


def limited(scenario, max_connections=30, owners=6):
    """Give the router's host further owners of two zones, of which it serves no group or one."""
    scenario.view.itself = Owner("a", ("10.0.0.1", 7000), "zone-a")
    policy = GroupPolicy("g", max_connections, 0)
    scenario.view.adopt_catalog(Catalog(1, groups={"g": policy}), 0)
    for number in range(2, owners + 1):
        address = (f"10.0.0.{number}", 7000)
        scenario.view.peers.register(f"h{number}", address, 0, "zone-a" if number % 2 else "zone-b")
        scenario.view.receive(Heartbeat(f"h{number}", number, 1), address, 0)
    scenario.router.tick()
    return scenario.router.pool("s1")


def test_host_of_a_fleet_without_relays_keeps_an_equal_part_of_the_connections():
    pool = limited(Scenario())
    assert (pool.limit, pool.max_retained) == (4, 2)  # (30 - 2) / 6 and half of it


def test_host_of_a_fleet_with_relays_gets_connections_by_the_groups_that_it_serves():
    scenario = Scenario()
    pool = limited(scenario)
    scenario.view.ownership.record_relay(0)
    scenario.router.tick()
    serves_group = "a" in scenario.view.group_owners("g", 0)
    assert pool.limit == (12 if serves_group else 1)  # (30 - 2 - 4) / 2


def test_idle_connections_beyond_a_lowered_limit_are_closed():
    """Guards against an owner whose idle connections keep the group owner from its share."""
    scenario = Scenario()
    pool = limited(scenario)
    pool._idle = idle = [FakeConnection(f"w{number}") for number in range(4)]
    connections = list(idle)
    scenario.view.leaving = True  # it serves no group, or takes part in one half
    for number in range(3, 7, 2):
        scenario.view.peers.by_address((f"10.0.0.{number}", 7000)).received_ms = 0
    scenario.view.ownership.record_relay(0)
    scenario.router.tick()
    assert sum(not connection.closed for connection in connections) == pool.limit < 4


def test_refusal_for_lack_of_a_primary_has_the_reason():
    """Guards against refusals during a replacement that count as those of overload."""
    scenario = Scenario()
    with pytest.raises(OpenError) as refused:
        scenario.router.await_primary("g", 0, 0)
    assert refused.value.reason is RefusalReason.PRIMARY_UNKNOWN
    primary = PrimaryScenario()
    with pytest.raises(OpenError) as refused:
        primary.router.await_primary("g", 0, 0)
    assert refused.value.reason is RefusalReason.PRIMARY_MOVING


def test_statement_that_the_replacement_can_not_serve_in_time_is_refused_at_once():
    """Guards against callers that are held until their timeouts while a replacement takes 4 s."""
    primary = PrimaryScenario()
    for number in range(2, 8):  # six hosts that this one does not hear
        primary.view.peers.register(f"h{number}", (f"10.0.0.{number}", 7000), 0)
    primary.scenario.tick_at(200)
    with pytest.raises(OpenError) as refused:
        primary.router.await_primary("g", 1_000, 200)
    assert refused.value.reason is RefusalReason.PRIMARY_MOVING
    assert re.search(r"the primary is being replaced; retry after \d+ ms", str(refused.value))
    assert primary.scenario.clock.now_ms() == 200
