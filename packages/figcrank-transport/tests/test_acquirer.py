"""Which server a read waits for, and what its caller is told if none admits it."""

import pytest

from figcrank.coordination.admission import Rejection, RejectionReason
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
from figcrank.transport.streams._statements import Statement

ROUTE = DatabaseRoute("r", "db", "g", ReadMode.BOUNDED, 1_000, 100)
READ = Statement(Request("1", Verb.READ, "READ x"), False)
DONE = StatementReply(b"done", (), None, "", TransactionState.IDLE, None)
FULL = StatementReply(b"full", (), SessionFailure.BUSY, "full", TransactionState.IDLE, None)


class PlainCodec:
    PROXY_REQUEST_ID = "-"

    def query(self, _request_id, text, _min_position=None):
        return text


class Connection:
    def __init__(self, reply):
        self.variables = {}
        self.prepared = set()
        self.state = TransactionState.IDLE
        self.sent_ms = 0
        self._reply = reply

    def send(self, _data, handler):
        handler(self, self._reply)


class Pool:
    """Pool of one server.

    :param replies: of the server, one for each read.
    :param retry_after_ms: of the rejections once it has given all replies.
    """

    def __init__(self, server_id, replies, retry_after_ms):
        self.entry = ServerEntry(server_id, "g", "10.1.0.1:80", "zone-a", 4, False, False)
        self.position = None
        self.replies = list(replies)
        self.retry_after_ms = retry_after_ms

    def extend_use(self, _connection, _ends_ms):
        pass

    def acquire(self, _demand, _variables):
        if not self.replies:
            raise AdmissionError(Rejection(RejectionReason.DEADLINE, self.retry_after_ms))
        return Connection(self.replies.pop(0))

    def record_service(self, _connection, _took_ms):
        pass

    def release(self, _connection):
        pass

    discard = release


class Router:
    """Router to replicas, in the order of preference."""

    def __init__(self, pools, clock):
        self.codec = PlainCodec()
        self._pools = pools
        self._clock = clock

    def workspace_priority(self, _workspace):
        return 0

    def read_pools(self, _route, _last_commit, _demand, tried):
        return [(pool, 1) for pool in self._pools if pool.entry.server_id not in tried]

    def await_primary(self, _group, _deadline_ms, _arrived_ms):
        raise OpenError(SessionFailure.BUSY, "the primary is moving")

    def awaits_position(self, _route, _workspace):
        return False

    def require_allowed_primary(self, _route, _workspace):
        pass

    def may_run(self, _pool, _route, _workspace):
        return True

    def primary_usable(self, _group):
        return False

    def await_evacuations(self):
        pass

    def must_leave(self, _pool, _route, _last_commit, _demand, _tried):
        return False

    def may_send_to(self, _entry):
        return True

    def admit_to_cold(self, _pool):
        return True

    def observe_reply(self, _pool, _sent_ms, _reply):
        pass

    def discard_failed_connection(self, pool, connection):
        pool.discard(connection)

    def wait_for_primary_change(self, wait_ms):
        self._clock.advance_to(self._clock.now_ms() + wait_ms)


class Session:
    def __init__(self):
        self.variables = {}
        self.last_commit = {}
        self.prepared = {}

    def acts_for(self, _workspace):
        return True

    def is_connected(self):
        return True


def read(*pools):
    clock = ManualClock(0)
    pools = [Pool(f"s{number}", *fields) for number, fields in enumerate(pools)]
    log = EventLog("h", clock, len)
    runner = StatementRunner(Router(pools, clock), clock, Metrics(), log)
    return runner.run_single(Session(), READ, ROUTE, "w")


def test_read_that_one_server_does_not_admit_runs_at_another():
    """Guards against reads refused at one server while a slot is free at another."""
    answer = read(((), 70), ((DONE,), 0))
    assert (answer.failure, answer.server_id) == (None, "s1")


def test_read_that_no_server_admits_is_told_the_shortest_time_to_retry():
    answer = read(((), 70), ((), 40), ((), 90))
    assert (answer.failure, answer.tries) == (SessionFailure.BUSY, 0)
    assert answer.detail.endswith("; retry after 40 ms")


@pytest.mark.parametrize("then", [(), (FULL, FULL, FULL, FULL)])
def test_read_that_may_have_run_is_not_reported_as_not_run(then):
    """Guards against BUSY, which says that nothing has run, after an attempt without a reply."""
    answer = read(((None,), 70), (then, 40))
    assert answer.failure is SessionFailure.TIMEOUT
    assert answer.payload == b""
