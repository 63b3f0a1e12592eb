import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state import ManualClock, revision_of
from figcrank.state._catalog import Registry, ServerEntry
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
