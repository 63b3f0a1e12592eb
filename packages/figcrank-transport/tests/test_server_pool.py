"""Statements that wait for a server: who gets a free slot, and who is refused."""

import json
import re

import eventlet
import pytest

from figcrank.coordination.admission import CONNECT_MS, Demand
from figcrank.protocol.sessions import SessionFailure, StatementReply, TransactionState
from figcrank.state import ManualClock
from figcrank.state._catalog import ServerEntry
from figcrank.transport.streams import _admission_gate, _pool
from figcrank.transport.streams._admission_gate import REJECTING_MS, AdmissionError
from figcrank.transport.streams._connection import OpenError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._pool import ServerPool

ENTRY = ServerEntry("s1", "g", "10.1.0.1:80", "zone-a", 4, False, True)
SERVICE_MS = 10
READY = StatementReply(b"", (), None, "", TransactionState.IDLE, None)


class FakeCodec:
    def start(self, _group, _workspace, _server_id):
        return b""

    def decoder(self):
        return None


class FakeConnection:
    """Open connection that runs a statement from its acquisition to its release."""

    def __init__(self, workspace):
        self.workspace = workspace
        self.variables = {}
        self.state = TransactionState.IDLE
        self.outstanding = True
        self.sent_ms = 0
        self.has_reply = False
        self.closed = False

    def has_unread(self):
        return self.has_reply

    def close(self):
        self.closed = True


class FakeServer:
    """Accepts connections until ``dead`` is set; opening one takes a turn of the loop."""

    def __init__(self):
        self.dead = False
        self.opened = []

    def open(self, _address, _decoder, _start_message, workspace, _clock, _may_send, _traffic):
        eventlet.sleep(0)
        if self.dead:
            raise OpenError(SessionFailure.UNREACHABLE, "refused", refused=True)
        self.opened.append(FakeConnection(workspace))
        return self.opened[-1], READY


class Scenario:
    """Pool of a server, and statements that acquire a connection of it."""

    def __init__(self, limit):
        self.clock = ManualClock(0)
        self.lines = []
        self.metrics = Metrics()
        self.log = EventLog("h", self.clock, self._write)
        self.pool = ServerPool(ENTRY, FakeCodec(), self.clock, self.metrics, self.log)
        self.pool.limit = limit
        self.begun = []  # names of the statements in the order in which they got a connection
        self.errors = {}
        self.connections = {}
        self.greenlets = {}

    def _write(self, data):
        self.lines.extend(json.loads(line) for line in data.splitlines())
        return len(data)

    def demand(self, name, workspace="w", priority=0, timeout_ms=1_000, connected=None):
        now_ms = self.clock.now_ms()
        connected = connected or (lambda: True)
        times = (now_ms, now_ms + timeout_ms // 2, now_ms + timeout_ms)
        return Demand(workspace, "kind", (priority, 0), *times, connected)

    def send(self, name, **fields):
        """Let a statement acquire a connection."""
        self.start(name, **fields)
        self.settle()

    def start(self, name, **fields):
        """Let a statement acquire a connection in the next turn of the loop."""
        self.greenlets[name] = eventlet.spawn(self._acquire, name, self.demand(name, **fields))

    def _acquire(self, name, demand):
        try:
            self.connections[name] = self.pool.acquire(demand, {})
        except OpenError as error:
            self.errors[name] = error
        else:
            self.begun.append(name)

    def settle(self):
        for _ in range(8):
            eventlet.sleep(0)

    def end(self, name):
        """Let the statement end that a connection runs."""
        self.pool.record_service(self.connections[name], SERVICE_MS)
        self.pool.release(self.connections.pop(name))
        self.settle()

    def fill(self, **fields):
        """Take every slot; return the names of the statements."""
        names = [f"running-{number}" for number in range(self.pool.limit)]
        for name in names:
            self.send(name, **fields)
        self.begun.clear()
        return names

    def events(self, name):
        self.log.flush()
        return [line for line in self.lines if line["event"] == name]

    def await_errors(self, count):
        """Wait until so many statements were refused."""
        with eventlet.Timeout(10):
            while len(self.errors) < count:
                eventlet.sleep(0.001)


@pytest.fixture
def server(monkeypatch):
    server = FakeServer()
    monkeypatch.setattr(_pool.ServerConnection, "open", server.open)
    return server


@pytest.fixture
def scenario(server):
    scenario = Scenario(2)
    yield scenario
    for greenlet in scenario.greenlets.values():
        greenlet.kill()


def test_no_statement_waits_while_the_pool_has_room(scenario):
    """Guards against a queue that delays or rejects statements under light load."""
    for number in range(20):
        for statement in ("a", "b"):
            scenario.send(f"{statement}{number}", workspace=statement, timeout_ms=1)
        for statement in ("a", "b"):
            scenario.end(f"{statement}{number}")
    assert not scenario.errors
    assert len(scenario.begun) == 40


def test_free_slot_goes_to_the_most_urgent_waiting_statement(scenario):
    running = scenario.fill()
    scenario.send("late-comer", priority=2)
    scenario.send("urgent", priority=0)
    scenario.end(running[0])
    assert scenario.begun == ["urgent"]
    scenario.end(running[1])
    assert scenario.begun == ["urgent", "late-comer"]


def test_free_slot_goes_to_the_workspace_of_its_connection_among_equals(scenario, server):
    """Guards against 12 ms of a slot spent on a new connection while an idle one is not used."""
    running = scenario.fill()
    scenario.send("needs a connection", workspace="other")
    scenario.send("has one")
    scenario.end(running[0])
    assert scenario.begun == ["has one"]
    assert len(server.opened) == 2
    scenario.end(running[1])
    assert scenario.begun == ["has one", "needs a connection"]


def test_new_statement_does_not_take_the_slot_of_an_admitted_one(scenario):
    """Guards against statements that arrive between an admission and its use of the slot."""
    running = scenario.fill()
    scenario.send("waiting", priority=2)
    scenario.start("new", priority=0)
    scenario.pool.release(scenario.connections.pop(running[0]))
    scenario.settle()
    assert scenario.begun == ["waiting"]
    assert scenario.pool.in_flight == 2


def test_new_statement_does_not_overtake_a_waiting_one_when_the_limit_rises(scenario):
    """Guards against a slot that becomes free without a release, and goes to the newest."""
    scenario.fill()
    scenario.send("waiting")
    scenario.pool.limit = 3
    scenario.send("new")
    assert scenario.begun == ["waiting"]


def test_statement_that_cannot_end_in_time_is_refused_at_once(scenario):
    scenario.fill()
    scenario.send("hopeless", timeout_ms=5)
    error = scenario.errors["hopeless"]
    assert isinstance(error, AdmissionError)
    assert error.failure is SessionFailure.BUSY
    assert re.search(r"; retry after \d+ ms$", str(error))


def test_waiting_statement_is_refused_once_it_cannot_end_in_time(scenario):
    """Guards against a host that resumes after a suspension with a full queue."""
    scenario.fill()
    for number in range(3):
        scenario.send(str(number))
    scenario.clock.advance_to(3_600_000)
    scenario.pool.tick()
    scenario.settle()
    assert set(scenario.errors) == {"0", "1", "2"}
    assert scenario.pool.waiting == 0


def test_statement_leaves_the_queue_when_its_caller_disconnects(scenario, monkeypatch):
    """Guards against work for callers that are gone, which delays the others."""
    monkeypatch.setattr(_admission_gate, "CALLER_CHECK_MS", 1)
    scenario.fill()
    present = [True]
    scenario.send("gone", connected=lambda: present[0])
    scenario.send("there")
    present[0] = False
    scenario.await_errors(1)
    assert set(scenario.errors) == {"gone"}
    assert scenario.pool.waiting == 1


def test_slot_goes_to_the_next_statement_if_the_caller_has_disconnected(scenario):
    running = scenario.fill()
    present = [True]
    scenario.send("gone", priority=0, connected=lambda: present[0])
    scenario.send("there", priority=1)
    present[0] = False
    scenario.end(running[0])
    assert scenario.begun == ["there"]
    assert set(scenario.errors) == {"gone"}


def test_waiting_statements_look_elsewhere_when_the_server_dies(scenario, server):
    """Guards against statements that wait until their timeouts at a server that is gone."""
    running = scenario.fill()
    for number in range(5):
        scenario.send(str(number), workspace=str(number))
    server.dead = True
    scenario.pool.discard(scenario.connections.pop(running[0]))
    scenario.settle()
    assert len(scenario.errors) == 5
    assert {e.failure for e in scenario.errors.values()} == {SessionFailure.UNREACHABLE}


def test_waiting_statements_look_elsewhere_when_the_pool_is_closed(scenario):
    scenario.fill()
    scenario.send("waiting")
    scenario.pool.close_all()
    scenario.settle()
    assert scenario.errors["waiting"].failure is SessionFailure.UNREACHABLE
    assert scenario.begun == []


def test_every_statement_is_served_after_the_limit_fell_to_one(scenario):
    """Guards against statements admitted before the fall that exceed the connections."""
    running = scenario.fill()
    for number in range(4):
        scenario.send(str(number))
    for name in running:
        scenario.pool.release(scenario.connections.pop(name))  # admits two
    scenario.pool.limit = 1
    scenario.settle()
    for served in range(4):
        assert len(scenario.begun) == served + 1
        assert scenario.pool.busy == 1
        scenario.end(scenario.begun[-1])
    assert not scenario.errors


def test_statement_that_is_ended_while_it_waits_frees_its_place(scenario):
    """Guards against a reserved slot that nobody uses."""
    running = scenario.fill()
    scenario.send("killed")
    scenario.send("next")
    scenario.greenlets["killed"].kill()
    scenario.settle()
    assert scenario.pool.waiting == 1
    scenario.end(running[0])
    assert scenario.begun == ["next"]


def test_statement_that_expires_and_is_ended_at_once_does_not_disturb_the_others(scenario):
    """Guards against an exception in the next statement, which finds a rejected one gone."""
    running = scenario.fill()
    scenario.send("expired", timeout_ms=100)
    scenario.send("next")
    scenario.clock.advance_to(99)
    scenario.pool.expected_wait_ms(scenario.demand("x"))
    scenario.greenlets["expired"].kill()
    scenario.end(running[0])
    assert scenario.begun == ["next"]
    assert not scenario.errors


def test_expected_wait_grows_with_the_service_time_of_the_queue(scenario):
    """Guards against a choice of servers by the number of waiting statements only."""
    demand = scenario.demand("x")
    assert scenario.pool.expected_wait_ms(demand) == 0
    running = scenario.fill()
    scenario.send("waiting")
    before_ms = scenario.pool.expected_wait_ms(demand)
    assert before_ms > 0
    for name in running:
        scenario.pool.record_service(scenario.connections[name], 20 * SERVICE_MS)
    scenario.end(running[0])
    for name in ("more", "and more"):
        scenario.send(name)
    assert scenario.pool.expected_wait_ms(demand) > 2 * before_ms


def test_queue_that_begins_and_ceases_to_reject_is_logged_once(scenario):
    scenario.fill()
    for number in range(3):
        scenario.send(str(number), timeout_ms=5)
    scenario.clock.advance_to(REJECTING_MS - 1)
    scenario.pool.tick()
    assert [line["state"] for line in scenario.events("admission_state")] == ["rejecting"]
    scenario.clock.advance_to(REJECTING_MS)
    scenario.pool.tick()
    scenario.pool.tick()
    lines = scenario.events("admission_state")
    assert [line["state"] for line in lines] == ["rejecting", "open"]
    assert lines[-1]["rejections"] == 3
    page = scenario.metrics.render()
    assert 'figcrank_admission_rejected_total{reason="deadline",priority="0"} 3' in page


def test_waiting_statements_are_counted_by_priority(scenario):
    scenario.fill()
    for number, priority in enumerate((0, 2, 2)):
        scenario.send(str(number), priority=priority)
    assert scenario.pool.waiting_by_priority() == {0: 1, 2: 2}


def test_state_change_names_the_workspace_that_uses_most(scenario):
    """Guards against an event that names only the workspace that was refused first."""
    for _ in range(3):
        for name in scenario.fill(workspace="greedy"):
            scenario.end(name)
    scenario.fill(workspace="greedy")
    scenario.send("waiting", workspace="modest")
    scenario.send("hopeless", workspace="modest", timeout_ms=5)
    (event,) = scenario.events("admission_state")
    assert event["workspace"] == "modest"
    used_ms, waiting_ms = 6 * SERVICE_MS, SERVICE_MS + CONNECT_MS
    assert event["busiest_workspace"] == "greedy"
    assert event["busiest_share"] == round(used_ms / (used_ms + waiting_ms), 2)


def test_connection_whose_reply_never_comes_is_taken_back(scenario):
    """Guards against a server that acknowledges statements and never answers: its slots stay taken.

    At an owner with one statement in flight, no statement of the group began any more.
    """
    scenario.pool.limit = 1
    scenario.fill()
    scenario.send("next", timeout_ms=5_000)
    assert scenario.begun == []
    scenario.clock.advance_to(1_001)
    scenario.pool.tick()
    scenario.settle()
    assert scenario.begun == ["next"]
    assert scenario.connections["running-0"].closed
    (event,) = scenario.events("use_overdue")
    assert (event["kind"], event["overdue_ms"], event["unanswered_ms"]) == ("kind", 1, 1_001)
    assert 'figcrank_uses_overdue_total{server="s1"} 1' in scenario.metrics.render()


def test_connection_whose_reply_has_arrived_is_not_taken_back(scenario):
    """Guards against the loss of replies that wait to be read when a suspended host resumes."""
    scenario.fill()
    for connection in scenario.connections.values():
        connection.has_reply = True
    scenario.clock.advance_to(3_600_000)
    scenario.pool.tick()
    assert not any(connection.closed for connection in scenario.connections.values())


def test_transaction_keeps_its_connection_while_its_use_is_extended(scenario):
    scenario.fill()
    scenario.pool.extend_use(scenario.connections["running-0"], 4_000)
    scenario.clock.advance_to(2_000)
    scenario.pool.tick()
    assert not scenario.connections["running-0"].closed
    assert scenario.connections["running-1"].closed
