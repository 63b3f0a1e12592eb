"""Writes and commits are sent to a primary only while this host has a lease on it."""

import pytest

from figcrank.coordination.evacuation import refusal_detail
from figcrank.protocol.sessions import (
    Request,
    SessionFailure,
    StatementReply,
    TransactionState,
    Verb,
)
from figcrank.state import ManualClock
from figcrank.state._catalog import DatabaseRoute, ReadMode, ServerEntry
from figcrank.transport.streams._connection import OpenError
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._runner import Statement, StatementRunner
from figcrank.transport.streams._session import Transaction

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

    def acquire(self, _workspace, _priority, _variables, _deadline_ms):
        return self.connection

    def release(self, _connection):
        pass

    def discard(self, connection):
        connection.closed = True


class LeaseRouter:
    """Router to one primary, of a host whose lease ends and may return at a time."""

    def __init__(self, pool, clock):
        self.codec = PlainCodec()
        self.lease = True
        self.lease_returns_ms = None
        self.replaced = False
        self.evacuated = False
        self._pool = pool
        self._clock = clock

    def has_lease(self):
        returned = self.lease_returns_ms is not None
        return self.lease or (returned and self._clock.now_ms() >= self.lease_returns_ms)

    def primary_usable(self, _group):
        return self.has_lease() and not self.replaced

    def is_primary(self, _pool):
        return not self.replaced

    def await_primary(self, _group, _deadline_ms):
        if self.evacuated:
            raise OpenError(SessionFailure.BUSY, refusal_detail("zone-a", can_switch=False))
        if not self.primary_usable("g"):
            raise OpenError(SessionFailure.BUSY, "the primary is no_lease")
        return self._pool

    def wait_for_primary_change(self, wait_ms):
        self._clock.advance_to(self._clock.now_ms() + wait_ms)

    def observe_reply(self, _pool, _sent_ms, _reply):
        pass

    def may_send_to(self, _entry):
        return not self.evacuated

    def is_evacuated(self, _entry):
        return self.evacuated

    def await_evacuations(self):
        pass

    def discard_failed_connection(self, pool, connection):
        pool.discard(connection)


class Session:
    """Session with one variable."""

    def __init__(self):
        self.variables = {"v": "1"}
        self.last_commit = {}


class Scenario:
    """Runner of a host with a lease on the primary."""

    def __init__(self):
        self.clock = ManualClock(0)
        self.connection = Connection()
        self.pool = Pool(self.connection)
        self.router = LeaseRouter(self.pool, self.clock)
        self.runner = StatementRunner(self.router, self.clock, Metrics(), None)

    def end_lease(self):
        self.router.lease = False

    def write(self):
        return self.runner.run_single(Session(), WRITE, ROUTE, "w")

    def commit(self, wrote=True):
        transaction = Transaction(WRITE.request, False, ROUTE, "w", self.pool, self.connection)
        transaction.wrote = wrote
        return self.runner.commit(Session(), COMMIT, transaction)


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


def test_commit_of_a_transaction_that_wrote_nothing_needs_no_lease(scenario):
    scenario.end_lease()
    assert scenario.commit(wrote=False).failure is None


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
