"""Statements, connections and probes of a host whose server's zone is evacuated."""

import pytest

from figcrank.coordination.admission import Demand
from figcrank.coordination.fleet import FleetView
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.heartbeats import Evacuations, Heartbeat, HeartbeatExtension, PrimaryRecord
from figcrank.protocol.sessions import SessionFailure, TransactionState
from figcrank.state import ManualClock, Position, revision_of
from figcrank.state._catalog import DatabaseRoute, ReadMode, Registry, ServerEntry
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._server_commands import ServerCommands

BOUND_MS = 5_000
STOP_MS = 2_500
START_MS = 10_000
BOUNDED = DatabaseRoute("r", "db", "g", ReadMode.BOUNDED, 1_000, 100, max_staleness_ms=1_000)
PEER = ("10.0.0.9", 7000)
DEMAND = Demand("w", "r read", (0, 0), START_MS, START_MS + 100, START_MS + 60_000)


def make_entry(server_id, zone, is_primary=False):
    return ServerEntry(server_id, "g", "10.1.0.1:80", zone, 5, False, is_primary)


class Connection:
    """Connection to a server that records how it ended."""

    state = TransactionState.IDLE
    outstanding = True
    workspace = "w"
    variables = {}
    sent_ms = START_MS

    def __init__(self):
        self.closed = self.was_reset = False

    def close(self):
        self.closed = True

    def reset(self):
        self.closed = self.was_reset = True


class Codec:
    """Server wire format with a status query."""

    @staticmethod
    def status():
        return "STATUS"


class Scenario:
    """Router of a host; the primary ``p`` is in zone-a, the replicas in zone-b and zone-c."""

    def __init__(self):
        self.clock = ManualClock(START_MS)
        self.view = FleetView("a", 1, ("10.0.0.1", 7000), evacuation_ms=BOUND_MS)
        self.lines = []
        log = EventLog("a", self.clock, len)
        log.event = lambda event, **fields: self.lines.append((event, fields))
        self.router = Router(self.view, None, self.clock, "zone-a", log, Metrics())
        entries = [
            make_entry("p", "zone-a", True),
            make_entry("b", "zone-b"),
            make_entry("c", "zone-c"),
        ]
        self.adopt_servers(entries)
        self.view.merge_primary("g", PrimaryRecord(1, 1, "p", address="10.1.0.1:80"), START_MS)
        self.number = 1
        self.list_zones()

    def adopt_servers(self, entries):
        now_ms = self.clock.now_ms()
        registry = Registry(revision_of(1, 20), {entry.server_id: entry for entry in entries})
        self.view.adopt_registry(registry, now_ms, now_ms, from_peer=False)
        self.confirm()
        self.router.tick()

    def confirm(self):
        """Renew the lease and observe the primary's position."""
        now_ms = self.clock.now_ms()
        self.view.confirmed_ms = now_ms
        self.view.position_history("g").observe(now_ms, Position(1, 5))

    def list_zones(self, *zones):
        self.number += 1
        now_ms = self.clock.now_ms()
        listed = Evacuations(revision_of(1, self.number), frozenset(zones))
        self.view.evacuation.adopt(listed, now_ms, now_ms)
        self.confirm()
        self.router.tick()

    def advance_to(self, now_ms):
        for tick_ms in range(self.clock.now_ms(), now_ms, 100):
            self.clock.advance_to(tick_ms)
            self.view.evacuation.is_held(tick_ms)
        self.clock.advance_to(now_ms)
        self.confirm()
        self.router.tick()

    def read_servers(self, tried=()):
        pools = self.router.read_pools(BOUNDED, None, DEMAND, set(tried))
        return {pool.entry.server_id for pool, _ in pools}

    def hold_connection(self, server_id):
        connection = Connection()
        self.router.pool(server_id)._begin_use(connection, DEMAND)
        return connection

    def events(self, name):
        return [fields for event, fields in self.lines if event == name]


@pytest.fixture
def scenario():
    return Scenario()


def test_reads_avoid_an_evacuated_zone_while_another_server_can_run_them(scenario):
    assert scenario.read_servers() == {"p", "b", "c"}
    scenario.list_zones("zone-b")
    assert scenario.read_servers() == {"p", "c"}


def test_read_that_no_other_server_can_run_uses_the_zone_until_the_stop(scenario):
    scenario.list_zones("zone-b")
    assert scenario.read_servers(tried=("p", "c")) == {"b"}
    scenario.advance_to(START_MS + STOP_MS)
    assert scenario.read_servers(tried=("p", "c")) == set()


def test_read_that_waited_for_a_server_goes_elsewhere_once_the_zone_is_evacuated(scenario):
    """Guards against a queue that goes on to send new statements to the zone until the stop."""
    pool = scenario.router.pool("b")
    assert not scenario.router.must_leave(pool, BOUNDED, None, DEMAND, set())
    scenario.list_zones("zone-b")
    assert scenario.router.must_leave(pool, BOUNDED, None, DEMAND, set())
    assert not scenario.router.must_leave(pool, BOUNDED, None, DEMAND, {"p", "c"})


def test_primary_serves_until_the_stop_and_is_then_refused_at_once(scenario):
    scenario.list_zones("zone-a")
    pool = scenario.router.await_primary("g", START_MS + 500, START_MS)
    assert pool.entry.server_id == "p"
    scenario.advance_to(START_MS + STOP_MS)
    with pytest.raises(OpenError) as refused:
        scenario.router.await_primary("g", START_MS + 60_000, START_MS)
    assert refused.value.failure is SessionFailure.BUSY
    assert refused.value.reason is RefusalReason.EVACUATED
    assert "availability zone zone-a is evacuated; retry after 1000 ms" in str(refused.value)


def test_group_whose_servers_are_all_evacuated_is_refused_at_once_also_during_a_replacement(
    scenario,
):
    scenario.view.merge_primary("g", PrimaryRecord(2, 1, "p", moving=True), START_MS)
    scenario.list_zones("zone-a", "zone-b", "zone-c")
    scenario.advance_to(START_MS + STOP_MS)
    assert scenario.read_servers() == set()
    with pytest.raises(OpenError, match="is evacuated; retry after 1500 ms"):
        scenario.router.await_primary("g", START_MS + 60_000, START_MS)


def test_withdrawn_evacuation_allows_the_zone_again(scenario):
    scenario.list_zones("zone-a", "zone-b")
    scenario.advance_to(START_MS + STOP_MS)
    scenario.list_zones()
    assert scenario.read_servers() == {"p", "b", "c"}
    assert scenario.router.await_primary("g", START_MS + 60_000, START_MS).entry.server_id == "p"


def test_idle_connections_are_closed_at_once_and_used_ones_reset_at_the_stop(scenario):
    """A connection that is only closed goes on to resend what the server has not received."""
    idle, used = Connection(), scenario.hold_connection("b")
    scenario.router.pool("b")._idle.append(idle)
    scenario.list_zones("zone-b")
    assert idle.closed and not used.closed
    scenario.advance_to(START_MS + STOP_MS)
    assert used.was_reset
    assert scenario.router.pool("b").connection_count == 0
    assert [event["server"] for event in scenario.events("evacuated_work_ended")] == ["b"]


def test_nothing_is_sent_after_the_stop_though_no_background_loop_has_run(scenario):
    """Guards against a suspended owner that sends a statement when it resumes."""
    scenario.list_zones("zone-b")
    pool = scenario.router.pool("b")
    assert pool.may_send()
    scenario.clock.advance_to(START_MS + STOP_MS)
    assert not scenario.router.may_send_to(pool.entry)
    with pytest.raises(OpenError) as refused:
        pool.acquire(DEMAND, {})
    assert refused.value.reason is RefusalReason.EVACUATED


def test_suspended_host_sends_nothing_until_it_has_heard_from_a_peer(scenario):
    scenario.advance_to(START_MS + 1_000)
    scenario.clock.advance_to(START_MS + 9_000)
    entry = scenario.router.pool("b").entry
    assert not scenario.router.may_send_to(entry)
    sent_after_ms = START_MS + 9_001
    listed = Evacuations(revision_of(1, 99), frozenset({"zone-b"}))
    scenario.clock.advance_to(sent_after_ms + 30)
    scenario.view.evacuation.adopt_from_peer(listed, 300, sent_after_ms, sent_after_ms + 30)
    assert not scenario.router.may_send_to(entry)
    assert scenario.router.may_send_to(scenario.router.pool("c").entry)


def test_connection_resets_itself_instead_of_sending_what_may_not_be_sent():
    """Guards against a statement of the proxy's own, which no other check precedes."""

    class Socket:
        options, closed, sent = [], False, b""

        def setsockopt(self, *option):
            self.options.append(option)

        def sendall(self, data):
            Socket.sent += data

        def shutdown(self, _how):
            pass

        def close(self):
            Socket.closed = True

    replies = []
    connection = ServerConnection(Socket(), None, "w", ManualClock(0), lambda: False)
    connection.send(b"SET v 1", lambda _connection, reply: replies.append(reply))
    assert replies == [None]
    assert Socket.closed and Socket.sent == b"" and Socket.options


def test_no_probe_or_command_goes_to_the_zone_after_the_stop(scenario, monkeypatch):
    opened = []
    monkeypatch.setattr(ServerConnection, "open", lambda *arguments: opened.append(arguments))
    scenario.list_zones("zone-a")
    scenario.router.pool("p").health.record_failure(START_MS)
    scenario.advance_to(START_MS + STOP_MS)
    scenario.router.tick()
    assert not scenario.router.pool("p").probe_running
    commands = ServerCommands("a", scenario.router, Codec, scenario.clock)
    assert commands.status(scenario.router.pool("p").entry) is None
    assert opened == []


def test_connections_that_this_host_closes_at_the_stop_are_no_failures_of_the_server(scenario):
    """Guards against a primary that counts as unreachable when its evacuation is withdrawn."""
    scenario.list_zones("zone-a")
    scenario.advance_to(START_MS + STOP_MS)
    pool = scenario.router.pool("p")
    scenario.router.discard_failed_connection(pool, Connection())
    assert pool.health.failing_since_ms is None


def test_zone_of_a_primary_whose_registration_is_missing_is_still_evacuated(scenario):
    """The record of primaries does not tell the zone."""
    scenario.adopt_servers([make_entry("b", "zone-b"), make_entry("c", "zone-c")])
    assert scenario.router.pool("p").entry.availability_zone == "zone-a"
    scenario.list_zones("zone-a")
    scenario.advance_to(START_MS + STOP_MS)
    assert not scenario.router.may_send_to(scenario.router.pool("p").entry)


def test_work_in_an_evacuated_zone_is_reported_and_its_end_logged_once(scenario):
    connection = scenario.hold_connection("b")
    scenario.list_zones("zone-b")
    assert scenario.view.busy_zones == ("zone-b",)
    assert scenario.router.guard.connection_counts(scenario.router.pools()) == {"zone-b": 1}
    scenario.router.pool("b").discard(connection)
    scenario.router.tick()
    scenario.router.tick()
    assert scenario.view.busy_zones == ()
    assert [event["zone"] for event in scenario.events("evacuation_done")] == ["zone-b"]


def test_evacuation_is_not_done_while_another_owner_has_work_in_the_zone(scenario):
    def hear(busy_zones, sent_ms):
        extension = HeartbeatExtension(scenario.view.evacuations, busy_zones)
        heartbeat = Heartbeat("z", 2, sent_ms, extension=extension)
        scenario.view.receive(heartbeat, PEER, scenario.clock.now_ms())
        scenario.router.tick()

    hear((), 1)
    scenario.list_zones("zone-b")
    hear(("zone-b",), 2)
    assert scenario.events("evacuation_done") == []
    hear((), 3)
    assert len(scenario.events("evacuation_done")) == 1


def test_zone_with_the_primary_is_not_done_before_the_stop(scenario):
    scenario.list_zones("zone-a")
    assert scenario.events("evacuation_done") == []
    scenario.advance_to(START_MS + STOP_MS)
    assert len(scenario.events("evacuation_done")) == 1
