"""Writes and commits are sent to a primary only while this host has a lease on it."""

from dataclasses import replace

import pytest

from figcrank.coordination.admission import Rejection, RejectionReason
from figcrank.coordination.evacuation import refusal_detail
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.sessions import (
    Request,
    SessionFailure,
    StatementReply,
    TransactionState,
    Verb,
)
from figcrank.state import ManualClock
from figcrank.state._catalog import DatabaseRoute, ReadMode, ServerEntry
from figcrank.transport.streams._admission_gate import AdmissionError
from figcrank.transport.streams._connection import OpenError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._runner import StatementRunner
from figcrank.transport.streams._session import Transaction
from figcrank.transport.streams._statements import Statement

ROUTE = DatabaseRoute("r", "db", "g", ReadMode.PRIMARY, 1_000, 100)
ENTRY = ServerEntry("s1", "g", "10.1.0.1:80", "zone-a", 5, False, True)
WRITE = Statement(Request("1", Verb.WRITE, "WRITE 1 x"), True)
COMMIT = Statement(Request("2", Verb.COMMIT, "COMMIT"), False)
WAIT_MS = 25


class PlainCodec:
    """Server wire format of plain texts."""

    PROXY_REQUEST_ID = "-"

    def query(self, _request_id, text, _min_position=None):
        return text

    def begin(self, _read_only):
        return "BEGIN"

    def set_value(self, name, value):
        return f"SET {name} {value}"


class Connection:
    """Connection to the primary that records what is sent; ``on_set`` is called at each SET."""

    def __init__(self):
        self.variables = {}
        self.prepared = set()
        self.state = TransactionState.IDLE
        self.sent_ms = 0
        self.sent = []
        self.on_set = lambda: None
        self.closed = False

    def is_lost(self):
        return self.closed

    def send_and_wait(self, data, _wait_ms):
        self.sent.append(data)
        if data.startswith("SET"):
            self.on_set()
        return StatementReply(b"done", (), None, "", TransactionState.IDLE, None)


class Pool:
    """Pool with a single connection."""

    def __init__(self, connection):
        self.entry = ENTRY
        self.connection = connection
        self.demands = []
        self.rejects = False

    def acquire(self, demand, _variables):
        self.demands.append(demand)
        if self.rejects:
            raise AdmissionError(Rejection(RejectionReason.DEADLINE, 70))
        return self.connection

    def record_service(self, _connection, _took_ms):
        pass

    def extend_use(self, _connection, _ends_ms):
        pass

    def release(self, _connection):
        pass

    def discard(self, connection):
        connection.closed = True


class LeaseRouter:
    """Router to one primary, of a host whose lease ends and may return at a time."""

    def __init__(self, pool, clock):
        self.codec = PlainCodec()
        self.transaction_idle_ms = 3_000
        self.lease = True
        self.lease_returns_ms = None
        self.replaced = False
        self.evacuated = False
        self.region_allowed = True
        self.cold_allowance = 99
        self.admitted = []
        self._pool = pool
        self._clock = clock

    def awaits_position(self, _route, _workspace):
        return False

    def require_allowed_primary(self, _route, _workspace):
        pass

    def may_run(self, _pool, _route, _workspace):
        return self.region_allowed

    def has_lease(self):
        returned = self.lease_returns_ms is not None
        return self.lease or (returned and self._clock.now_ms() >= self.lease_returns_ms)

    def primary_usable(self, _group):
        return self.has_lease() and not self.replaced

    def is_primary(self, _pool):
        return not self.replaced

    def workspace_priority(self, workspace):
        return {"w": 3}.get(workspace, 0)

    def await_primary(self, _group, _deadline_ms, _arrived_ms):
        if self.evacuated:
            raise OpenError(SessionFailure.BUSY, refusal_detail("zone-a", can_switch=False))
        if self.cold_allowance == 0 and self.admitted:
            raise OpenError(SessionFailure.BUSY, "server s1 has just started")
        if not self.primary_usable("g"):
            raise OpenError(SessionFailure.BUSY, "the primary is no_lease")
        return self._pool

    def wait_for_primary_change(self, wait_ms):
        self._clock.advance_to(self._clock.now_ms() + wait_ms)

    def observe_reply(self, _pool, _sent_ms, _reply, measured=True):
        pass

    def discard_failed_connection(self, pool, connection):
        pool.discard(connection)

    def admit_to_cold(self, pool):
        if self.cold_allowance == 0:
            return False
        self.cold_allowance -= 1
        self.admitted.append(pool)
        return True

    def record_at_cold(self, pool):
        self.admitted.append(pool)

    def read_pools(self, _route, _last_commit, _workspace, _tried):
        return [(self._pool, None)] if self.cold_allowance else []

    def must_leave(self, _pool, _route, _last_commit, _demand, _tried):
        return False

    def may_send_to(self, _entry):
        return not self.evacuated

    def is_evacuated(self, _entry):
        return self.evacuated

    def await_evacuations(self):
        pass


class Session:
    """Session with one variable."""

    def __init__(self, connected=True):
        self.variables = {"v": "1"}
        self.last_commit = {}
        self.prepared = {}
        self.connected = connected
        self.workspace = "w"

    def is_connected(self):
        return self.connected

    def acts_for(self, workspace):
        return workspace == self.workspace


class Scenario:
    """Runner of a host with a lease on the primary."""

    def __init__(self):
        self.clock = ManualClock(0)
        self.connection = Connection()
        self.pool = Pool(self.connection)
        self.router = LeaseRouter(self.pool, self.clock)
        self.events = []
        log = EventLog("a", self.clock, len)
        log.event = lambda event, **fields: self.events.append((event, fields["reason"]))
        self.runner = StatementRunner(self.router, self.clock, Metrics(), log)

    def end_lease(self):
        self.router.lease = False

    def write(self, connected=True):
        return self.runner.run_single(Session(connected), WRITE, ROUTE, "w")

    def commit(self, wrote=True, connected=True):
        transaction = Transaction(WRITE.request, False, ROUTE, "w", self.pool, self.connection)
        transaction.wrote = wrote
        return self.runner.commit(Session(connected), COMMIT, transaction)

    def suspend(self):
        """Let as much time pass as the caller gives a statement."""
        self.clock.advance_to(self.clock.now_ms() + ROUTE.timeout_ms)


@pytest.fixture
def scenario():
    return Scenario()


def test_write_is_sent_under_a_lease(scenario):
    assert scenario.write().failure is None
    assert scenario.connection.sent == ["SET v 1", "WRITE 1 x"]


def test_write_is_not_sent_once_the_lease_ended_while_the_connection_was_prepared(scenario):
    """Another server may have been promoted; setting the variables may take 300 ms each."""
    scenario.connection.on_set = scenario.end_lease
    answer = scenario.write()
    assert (answer.failure, answer.tries) == (SessionFailure.BUSY, 0)
    assert scenario.connection.sent == ["SET v 1"]


def test_write_whose_caller_has_gone_is_not_sent(scenario):
    """Guards against a write that lay unread while its host was suspended and overwrites newer."""
    answer = scenario.write(connected=False)
    assert (answer.failure, answer.tries) == (SessionFailure.BUSY, 0)
    assert answer.refusal is RefusalReason.DISCONNECTED
    assert "WRITE 1 x" not in scenario.connection.sent
    assert not scenario.connection.closed


def test_write_whose_time_is_over_is_not_sent(scenario):
    """Guards against a host that was suspended while it prepared the connection for a write."""
    scenario.connection.on_set = scenario.suspend
    answer = scenario.write()
    assert (answer.failure, answer.tries) == (SessionFailure.BUSY, 0)
    assert answer.refusal is RefusalReason.DEADLINE
    assert scenario.connection.sent == ["SET v 1"]


def test_commit_whose_caller_has_gone_is_not_sent(scenario):
    answer = scenario.commit(connected=False)
    assert answer.failure is SessionFailure.ABORTED
    assert scenario.connection.sent == []
    assert scenario.connection.closed


def test_commit_whose_time_is_over_is_not_sent(scenario, monkeypatch):
    """Guards against a host that was suspended while the commit waited for its evacuations."""
    monkeypatch.setattr(scenario.router, "await_evacuations", scenario.suspend)
    assert scenario.commit().failure is SessionFailure.ABORTED
    assert scenario.connection.sent == []
    assert scenario.connection.closed


def test_commit_is_sent_under_a_lease(scenario):
    assert scenario.commit().failure is None
    assert scenario.connection.sent == ["COMMIT"]


def test_commit_is_not_sent_without_a_lease(scenario):
    """A transaction that was opened under the lease committed at a primary that was replaced."""
    scenario.end_lease()
    answer = scenario.commit()
    assert answer.failure is SessionFailure.ABORTED
    assert scenario.connection.sent == []
    assert scenario.connection.closed


def test_commit_waits_for_the_lease(scenario):
    scenario.end_lease()
    scenario.router.lease_returns_ms = 200
    assert scenario.commit().failure is None
    assert scenario.clock.now_ms() < 200 + WAIT_MS


def test_commit_is_not_sent_to_a_primary_that_was_replaced_while_the_lease_was_away(scenario):
    scenario.router.replaced = True
    assert scenario.commit().failure is SessionFailure.ABORTED
    assert scenario.connection.sent == []


def test_commit_whose_server_may_get_nothing_any_more_is_aborted(scenario, monkeypatch):
    """Guards against an error that ends the session without an answer to the commit."""
    allowed = iter([True, False])
    monkeypatch.setattr(scenario.router, "may_send_to", lambda _entry: next(allowed))
    assert scenario.commit().failure is SessionFailure.ABORTED
    assert scenario.connection.sent == []
    assert scenario.connection.closed


def test_commit_of_a_transaction_that_wrote_nothing_needs_no_lease(scenario):
    scenario.end_lease()
    assert scenario.commit(wrote=False).failure is None


def test_demand_holds_the_target_and_the_deadline_from_the_arrival_of_the_statement(scenario):
    scenario.clock.advance_to(50)
    scenario.write()
    (demand,) = scenario.pool.demands
    assert (demand.workspace, demand.priority) == ("w", (0, 3))
    assert demand.arrived_ms == 50
    assert demand.target_ms == 50 + ROUTE.target_latency_ms
    assert demand.deadline_ms <= 50 + ROUTE.timeout_ms


def test_statement_that_is_not_admitted_is_refused_at_once(scenario):
    """Guards against statements that try again at the same queue until their timeouts."""
    scenario.pool.rejects = True
    answer = scenario.write()
    assert (answer.failure, answer.tries) == (SessionFailure.BUSY, 0)
    assert answer.detail.endswith("; retry after 70 ms")
    assert answer.refusal is RefusalReason.DEADLINE
    assert scenario.connection.sent == []
    assert scenario.clock.now_ms() == 0


def test_transaction_that_is_not_admitted_is_refused_with_the_time_to_retry(scenario):
    scenario.pool.rejects = True
    transaction = Transaction(WRITE.request, False, ROUTE, "w")
    answer = scenario.runner.run_in_transaction(Session(), WRITE, transaction)
    assert answer.failure is SessionFailure.BUSY
    assert answer.detail.endswith("; retry after 70 ms")
    assert answer.refusal is RefusalReason.DEADLINE
    assert transaction.failed
    assert not transaction.sent


def test_transaction_whose_first_statement_got_no_answer_is_not_reported_as_not_run(scenario):
    """Guards against BUSY, which says that nothing has run, after a statement was sent."""
    read = Statement(Request("1", Verb.READ, "READ x"), False)

    def lose_reply(data, wait_ms):
        scenario.pool.rejects = True
        scenario.connection.sent.append(data)
        return None if data == "READ x" else answered(data, wait_ms)

    answered = scenario.connection.send_and_wait
    scenario.connection.send_and_wait = lose_reply
    transaction = Transaction(WRITE.request, False, ROUTE, "w")
    answer = scenario.runner.run_in_transaction(Session(), read, transaction)
    assert answer.failure is SessionFailure.ABORTED


class OpenTransactionConnection(Connection):
    """Connection whose transaction is open until the commit."""

    def send_and_wait(self, data, wait_ms):
        reply = super().send_and_wait(data, wait_ms)
        state = TransactionState.IDLE if data == "COMMIT" else TransactionState.OPEN
        return replace(reply, state=state)


class ExhaustedPool(Pool):
    """Pool whose allotment is used up."""

    def acquire(self, _demand, _variables):
        raise OpenError(SessionFailure.BUSY, "no connection became available in time")


def test_open_transaction_and_its_commit_need_no_allotment(scenario):
    """Guards against a transaction that holds locks while it waits for its host's allotment."""
    connection = OpenTransactionConnection()
    pool = ExhaustedPool(connection)
    transaction = Transaction(WRITE.request, False, ROUTE, "w", pool, connection)
    runner = scenario.runner
    assert runner.run_in_transaction(Session(), WRITE, transaction).failure is None
    assert runner.commit(Session(), COMMIT, transaction).failure is None
    assert connection.sent == ["SET v 1", "WRITE 1 x", "COMMIT"]
    # Both statements count at a cold server.
    assert scenario.router.admitted == [pool, pool]


def test_write_is_refused_if_the_zone_was_evacuated_while_the_connection_was_prepared(scenario):
    """Guards against a statement that is sent after the stop by a host that was suspended."""
    scenario.connection.on_set = lambda: setattr(scenario.router, "evacuated", True)
    answer = scenario.write()
    assert scenario.connection.sent == ["SET v 1"]
    assert answer.failure is SessionFailure.BUSY
    assert "availability zone zone-a is evacuated; retry after" in answer.detail


def test_commit_is_not_sent_to_an_evacuated_zone(scenario):
    """The transaction is aborted; as its commit was not sent, it is not in doubt."""
    scenario.router.evacuated = True
    assert scenario.commit().failure is SessionFailure.ABORTED
    assert scenario.connection.sent == []
    assert scenario.connection.closed


def test_statement_of_an_open_transaction_is_not_sent_to_an_evacuated_zone(scenario):
    scenario.connection.on_set = lambda: setattr(scenario.router, "evacuated", True)
    transaction = Transaction(WRITE.request, False, ROUTE, "w", scenario.pool, scenario.connection)
    answer = scenario.runner.run_in_transaction(Session(), WRITE, transaction)
    assert answer.failure is SessionFailure.ABORTED
    assert scenario.connection.sent == ["SET v 1"]
    assert transaction.failed and scenario.connection.closed
    assert scenario.events == [("try_failed", "busy: nothing may be sent to the server now")]


def test_write_counts_at_a_cold_server_and_is_refused_beyond_what_it_bears(scenario):
    """Guards against writes that pass by the limit of a cold primary."""
    scenario.router.cold_allowance = 1
    assert scenario.write().failure is None
    assert scenario.write().failure is SessionFailure.BUSY
    assert scenario.connection.sent == ["SET v 1", "WRITE 1 x"]
    assert scenario.router.admitted == [scenario.pool]


def test_read_is_not_sent_to_a_server_that_became_exhausted_while_it_waited(scenario):
    """Guards against reads that wait for a connection and are all sent in one second."""
    router = scenario.router
    bounded = replace(ROUTE, mode=ReadMode.BOUNDED)
    refused = []

    def admit(pool):
        refused.append(pool)
        router.cold_allowance = 0
        router.admitted.append(pool)
        return False

    router.admit_to_cold = admit
    read = Statement(Request("3", Verb.READ, "READ 1"), False)
    assert scenario.runner.run_single(Session(), read, bounded, "w").failure is SessionFailure.BUSY
    assert refused == [scenario.pool]
    assert scenario.connection.sent == []


def test_read_and_commit_that_are_not_admitted_have_the_reason(scenario):
    """Guards against refusals that are counted without the reason of the queue."""
    scenario.pool.rejects = True
    read = Statement(Request("1", Verb.READ, "READ x"), False)
    answer = scenario.runner.run_single(Session(), read, ROUTE, "w")
    assert answer.refusal is RefusalReason.DEADLINE
    transaction = Transaction(WRITE.request, False, ROUTE, "w")
    answer = scenario.runner.commit(Session(), COMMIT, transaction)
    assert answer.refusal is RefusalReason.DEADLINE


def test_transaction_that_a_full_server_does_not_begin_has_the_reason(scenario):
    busy = StatementReply(b"", (), SessionFailure.BUSY, "full", TransactionState.IDLE, None)
    scenario.connection.send_and_wait = lambda _data, _wait_ms: busy
    scenario.connection.variables = {"v": "1"}
    transaction = Transaction(WRITE.request, False, ROUTE, "w")
    answer = scenario.runner.run_in_transaction(Session(), WRITE, transaction)
    assert answer.failure is SessionFailure.BUSY
    assert answer.refusal is RefusalReason.SERVER_BUSY


@pytest.mark.parametrize("run", ["run_in_transaction", "commit"])
def test_open_transaction_is_aborted_when_its_region_is_no_longer_allowed(scenario, run):
    """Guards against statements that go on to a server after the configuration forbids it."""
    connection = OpenTransactionConnection()
    transaction = Transaction(WRITE.request, False, ROUTE, "w", Pool(connection), connection)
    scenario.router.region_allowed = False
    statement = COMMIT if run == "commit" else WRITE
    answer = getattr(scenario.runner, run)(Session(), statement, transaction)
    assert (answer.failure, answer.tries) == (SessionFailure.ABORTED, 0)
    assert answer.detail == "the server is in a region that is no longer allowed"
    assert connection.sent == []
    assert connection.closed


def run_statement(scenario, session):
    return scenario.runner.run_single(session, WRITE, ROUTE, "w")


def run_read(scenario, session):
    statement = Statement(Request("1", Verb.READ, "READ 1", "", "1"), False)
    return scenario.runner.run_single(session, statement, ROUTE, "w")


def run_first_of_transaction(scenario, session):
    transaction = Transaction(WRITE.request, False, ROUTE, "w")
    return scenario.runner.run_in_transaction(session, WRITE, transaction)


def run_next_of_transaction(scenario, session):
    session.workspace = "other"
    transaction = Transaction(WRITE.request, False, ROUTE, "w", scenario.pool, scenario.connection)
    return scenario.runner.run_in_transaction(session, WRITE, transaction)


def run_commit(scenario, session):
    session.workspace = "other"
    transaction = Transaction(WRITE.request, False, ROUTE, "w", scenario.pool, scenario.connection)
    return scenario.runner.commit(session, COMMIT, transaction)


@pytest.mark.parametrize(
    ("run", "failure"),
    [
        (run_statement, SessionFailure.BUSY),
        (run_read, SessionFailure.BUSY),
        (run_first_of_transaction, SessionFailure.BUSY),
        (run_next_of_transaction, SessionFailure.ABORTED),
        (run_commit, SessionFailure.ABORTED),
    ],
)
def test_nothing_is_sent_for_a_workspace_that_lost_the_key_meanwhile(scenario, run, failure):
    """Guards against a statement that waits for a connection while its key moves."""
    session = Session()

    def move_key():
        session.workspace = "other"

    scenario.connection.on_set = move_key
    answer = run(scenario, session)
    assert answer.failure is failure
    assert set(scenario.connection.sent) <= {"SET v 1"}
