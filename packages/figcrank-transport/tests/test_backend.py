"""Tests work and control requests against simulated backend servers."""

import eventlet
import pytest
from eventlet.queue import Queue

from figcrank.coordination import (
    CallServer,
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    OpenConnection,
    ServerReplied,
    StartWork,
    WorkFinished,
)
from figcrank.protocol import (
    BeginWork,
    CommitWork,
    Fence,
    Lookup,
    Promote,
    QueryStatus,
    ReadWork,
    RecordReply,
    RollbackWork,
    ServerFailure,
    ServerFailureKind,
    Statement,
    StatementsWork,
    StatusReply,
    WorkDone,
    WorkFailed,
    WorkFailureKind,
    WriteWork,
)
from figcrank.standins.group_server import start_group
from figcrank.state import ORIGIN, Position, Server, ServerRole
from figcrank.transport import Login
from figcrank.transport._backend import Backend
from figcrank.transport._control import MAX_CONNECTIONS, ControlClient
from figcrank.transport._psycopg import make_green
from figcrank.transport._telemetry import Telemetry

TIMEOUT_MS = 5_000
UNREACHED_POSITION = Position(9, 9_999)


class QueueDriver:
    def __init__(self):
        self.events = Queue()

    def dispatch(self, event):
        self.events.put(event)

    def next(self):
        return self.events.get(timeout=10)


class Harness:
    """A backend and a control client that use the first server of a group by default."""

    def __init__(self, group):
        make_green()
        self.group = group.group
        self.servers = group.servers
        self.primary = group.group.servers[0]
        self.driver = QueueDriver()
        telemetry = Telemetry("host", "az-1")
        self.backend = Backend(self.driver, Login(), telemetry)
        self.control = ControlClient(self.driver, Login(), telemetry)

    def open(self, connection_id=1, server=None):
        self.backend.open(OpenConnection(connection_id, server or self.primary))
        return self.driver.next()

    def work(self, work, connection_id=1, timeout_ms=TIMEOUT_MS):
        self.backend.start_work(StartWork(connection_id, 5, work, timeout_ms))
        finished = self.driver.next()
        assert isinstance(finished, WorkFinished)
        return finished.result

    def write(self, request_id, *sqls):
        return self.work(WriteWork(request_id, 1, tuple(Statement(sql) for sql in sqls)))

    def read(self, sql, *params, position=ORIGIN):
        return self.work(ReadWork((Statement(sql, params),), position))

    def send_control(self, request, server=None, timeout_ms=TIMEOUT_MS):
        self.control.call(CallServer(3, server or self.primary, request, timeout_ms))
        replied = self.driver.next()
        assert isinstance(replied, ServerReplied)
        return replied.reply


@pytest.fixture
def harness():
    group = start_group()
    harness = Harness(group)
    yield harness
    harness.backend.close_all()
    harness.control.close_all()
    group.stop()


@pytest.fixture
def connected(harness):
    assert isinstance(harness.open(), ConnectionOpened)
    return harness


def test_written_row_is_read_back(connected):
    written = connected.write(
        "r1", "create table t (a integer, b text)", "insert into t values (1, 'x')"
    )
    assert isinstance(written, WorkDone)
    assert [result.row_count for result in written.results] == [0, 1]
    read = connected.read("select a, b from t where b = %s", "x", position=written.position)
    assert read.results[0].columns == ("a", "b")
    assert read.results[0].rows == ((1, "x"),)
    assert read.position == written.position


def test_parameters_are_not_parsed_as_sql(connected):
    text = "'; drop table t; -- \\' \\"
    assert connected.read("select %s, %s, %s", text, None, 7).results[0].rows == ((text, None, 7),)


def test_several_reads_are_one_transaction(connected):
    work = ReadWork((Statement("select 1"), Statement("select 2")))
    assert [result.rows for result in connected.work(work).results] == [((1,),), ((2,),)]


def test_read_beyond_the_applied_position_fails_as_behind(connected):
    assert connected.read("select 1", position=UNREACHED_POSITION).kind is WorkFailureKind.BEHIND
    assert isinstance(connected.read("select 1"), WorkDone)


def test_write_with_a_wrong_term_is_refused(connected):
    failed = connected.work(WriteWork("r1", 7, (Statement("create table t (a)"),)))
    assert failed.kind is WorkFailureKind.STALE_TERM
    assert isinstance(connected.write("r1", "create table t (a)"), WorkDone)


def test_request_commits_only_once(connected):
    connected.write("r1", "create table t (a integer)")
    connected.write("r2", "insert into t values (1)")
    assert connected.write("r2", "insert into t values (1)").kind is WorkFailureKind.DUPLICATE
    assert connected.read("select count(*) from t").results[0].rows == ((1,),)


def test_failed_statement_rolls_the_others_back(connected):
    connected.write("r1", "create table t (a integer primary key)")
    failed = connected.write("r2", "insert into t values (1)", "insert into t values (1)")
    assert (failed.kind, failed.sqlstate) == (WorkFailureKind.SQL, "23505")
    assert connected.read("select count(*) from t").results[0].rows == ((0,),)


@pytest.mark.parametrize("sql", ["commit", "select 1; commit", "select %s"])
def test_refused_statement_leaves_no_transaction(connected, sql):
    failed = connected.write("r1", "create table t (a integer)", sql)
    assert failed.kind is WorkFailureKind.SQL
    assert connected.read("select 1").results[0].rows == ((1,),)


def test_transaction_runs_in_several_requests(connected):
    connected.write("r1", "create table t (a integer)")
    insert = StatementsWork((Statement("insert into t values (%s)", (1,)),))
    for end in (RollbackWork(), CommitWork("r2")):
        assert isinstance(connected.work(BeginWork(1)), WorkDone)
        assert connected.work(insert).results[0].row_count == 1
        assert isinstance(connected.work(end), WorkDone)
    assert connected.read("select count(*) from t").results[0].rows == ((1,),)


def test_timed_out_work_closes_the_connection(connected):
    connected.servers[connected.primary.name].silence(still_runs=False)
    failed = connected.work(WriteWork("r1", 1, (Statement("select 1"),)), timeout_ms=100)
    assert failed == WorkFailed(WorkFailureKind.LOST, failed.message, "", commit_sent=False)
    again = connected.read("select 1")
    assert (again.kind, again.commit_sent) == (WorkFailureKind.LOST, False)


def test_commit_without_reply_is_reported_as_lost(connected):
    connected.write("r1", "create table t (a integer)")
    connected.work(BeginWork(1))
    connected.work(StatementsWork((Statement("insert into t values (1)"),)))
    connected.servers[connected.primary.name].silence(still_runs=True)
    # The query for the request record precedes the commit, and its reply is lost as well.
    failed = connected.work(CommitWork("r2"), timeout_ms=100)
    assert failed.kind is WorkFailureKind.LOST


def test_closing_a_connection_cancels_its_work(connected):
    connected.servers[connected.primary.name].silence(still_runs=False)
    connected.backend.start_work(StartWork(1, 5, ReadWork((Statement("select 1"),)), TIMEOUT_MS))
    eventlet.sleep(0)
    connected.backend.close(CloseConnection(1))
    assert isinstance(connected.open(2), ConnectionOpened)
    assert connected.work(ReadWork((Statement("select 1"),)), 2).results[0].rows == ((1,),)
    assert connected.driver.events.empty()


def test_idle_connection_closed_by_the_server_is_reported(connected):
    connected.backend.start()
    connected.servers[connected.primary.name].stop()
    assert connected.driver.next() == ConnectionFailed(1)


def test_connection_limit_of_the_server_is_reported(harness):
    for number in range(harness.group.connections_per_server):
        assert isinstance(harness.open(number), ConnectionOpened)
    assert harness.open(99) == ConnectionFailed(99, at_connection_limit=True)


def test_stopped_server_is_unreachable(harness):
    harness.servers[harness.primary.name].stop()
    assert harness.open() == ConnectionFailed(1, at_connection_limit=False)
    assert harness.send_control(QueryStatus()).kind is ServerFailureKind.UNREACHABLE


def test_status_and_lookup(connected):
    written = connected.write("r1", "create table t (a integer)")
    status = connected.send_control(QueryStatus())
    assert isinstance(status, StatusReply)
    assert (status.status.role, status.status.durable) == (ServerRole.PRIMARY, written.position)
    found = connected.send_control(Lookup("r1", 1))
    assert found == RecordReply(True, found.position, written.results)
    assert connected.send_control(Lookup("r2", 1)) == RecordReply(False)
    assert connected.send_control(Lookup("r1", 7)).kind is ServerFailureKind.STALE_TERM


def test_lookup_terminates_the_session_first(harness):
    pid = harness.open().session_pid
    assert harness.send_control(Lookup("r1", 1, pid)) == RecordReply(False)
    assert harness.read("select 1").kind is WorkFailureKind.LOST


def test_fence_is_not_blocked_by_long_polls(harness):
    for number in range(MAX_CONNECTIONS + 2):
        wait = QueryStatus(UNREACHED_POSITION, wait_ms=20_000)
        harness.control.call(CallServer(100 + number, harness.primary, wait, 25_000))
    eventlet.sleep(0)
    harness.control.call(CallServer(1, harness.primary, Fence(2, "host"), TIMEOUT_MS))
    replies = {}
    while 1 not in replies:
        event = harness.driver.next()
        replies[event.call_id] = event.reply
    assert replies[1].status.role is ServerRole.FENCED


def test_promotion_by_a_host_that_did_not_fence_is_refused(harness):
    assert isinstance(harness.send_control(Fence(2, "host")), StatusReply)
    refused = harness.send_control(Promote(2, "another"))
    assert refused == ServerFailure(ServerFailureKind.REFUSED, refused.message)


def test_server_that_never_answers_times_out(harness):
    listener = eventlet.listen(("127.0.0.1", 0))
    ip, port = listener.getsockname()
    silent = Server("silent", "az-1", f"{ip}:{port}")
    assert harness.send_control(QueryStatus(), silent, 100).kind is ServerFailureKind.TIMEOUT
    listener.close()
