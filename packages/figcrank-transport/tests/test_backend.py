"""Work and control requests against stand-in servers."""

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
FAR = Position(9, 9_999)


class QueueingDriver:
    def __init__(self):
        self.events = Queue()

    def dispatch(self, event):
        self.events.put(event)

    def next(self):
        return self.events.get(timeout=10)


class Bench:
    """A backend and a control client on the first server of a group."""

    def __init__(self, group):
        make_green()
        self.group = group.group
        self.servers = group.servers
        self.primary = group.group.servers[0]
        self.driver = QueueingDriver()
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

    def ask(self, request, server=None, timeout_ms=TIMEOUT_MS):
        self.control.call(CallServer(3, server or self.primary, request, timeout_ms))
        replied = self.driver.next()
        assert isinstance(replied, ServerReplied)
        return replied.reply


@pytest.fixture
def bench():
    group = start_group()
    bench = Bench(group)
    yield bench
    bench.backend.close_all()
    bench.control.close_all()
    group.stop()


@pytest.fixture
def opened(bench):
    assert isinstance(bench.open(), ConnectionOpened)
    return bench


def test_written_row_is_read_back(opened):
    written = opened.write(
        "r1", "create table t (a integer, b text)", "insert into t values (1, 'x')"
    )
    assert isinstance(written, WorkDone)
    assert [result.row_count for result in written.results] == [0, 1]
    read = opened.read("select a, b from t where b = %s", "x", position=written.position)
    assert read.results[0].columns == ("a", "b")
    assert read.results[0].rows == ((1, "x"),)
    assert read.position == written.position


def test_parameters_are_never_part_of_the_statement(opened):
    text = "'; drop table t; -- \\' \\"
    assert opened.read("select %s, %s, %s", text, None, 7).results[0].rows == ((text, None, 7),)


def test_several_reads_are_one_transaction(opened):
    work = ReadWork((Statement("select 1"), Statement("select 2")))
    assert [result.rows for result in opened.work(work).results] == [((1,),), ((2,),)]


def test_read_beyond_the_applied_position_is_behind(opened):
    assert opened.read("select 1", position=FAR).kind is WorkFailureKind.BEHIND
    assert isinstance(opened.read("select 1"), WorkDone)


def test_write_of_a_stale_term(opened):
    failed = opened.work(WriteWork("r1", 7, (Statement("create table t (a)"),)))
    assert failed.kind is WorkFailureKind.STALE_TERM
    assert isinstance(opened.write("r1", "create table t (a)"), WorkDone)


def test_request_commits_only_once(opened):
    opened.write("r1", "create table t (a integer)")
    opened.write("r2", "insert into t values (1)")
    assert opened.write("r2", "insert into t values (1)").kind is WorkFailureKind.DUPLICATE
    assert opened.read("select count(*) from t").results[0].rows == ((1,),)


def test_failed_statement_rolls_the_others_back(opened):
    opened.write("r1", "create table t (a integer primary key)")
    failed = opened.write("r2", "insert into t values (1)", "insert into t values (1)")
    assert (failed.kind, failed.sqlstate) == (WorkFailureKind.SQL, "23505")
    assert opened.read("select count(*) from t").results[0].rows == ((0,),)


@pytest.mark.parametrize("sql", ["commit", "select 1; commit", "select %s"])
def test_refused_statement_leaves_no_transaction(opened, sql):
    failed = opened.write("r1", "create table t (a integer)", sql)
    assert failed.kind is WorkFailureKind.SQL
    assert opened.read("select 1").results[0].rows == ((1,),)


def test_transaction_in_steps(opened):
    opened.write("r1", "create table t (a integer)")
    insert = StatementsWork((Statement("insert into t values (%s)", (1,)),))
    for end in (RollbackWork(), CommitWork("r2")):
        assert isinstance(opened.work(BeginWork(1)), WorkDone)
        assert opened.work(insert).results[0].row_count == 1
        assert isinstance(opened.work(end), WorkDone)
    assert opened.read("select count(*) from t").results[0].rows == ((1,),)


def test_silent_connection_is_lost_and_closed(opened):
    opened.servers[opened.primary.name].silence(still_runs=False)
    failed = opened.work(WriteWork("r1", 1, (Statement("select 1"),)), timeout_ms=100)
    assert failed == WorkFailed(WorkFailureKind.LOST, failed.message, "", commit_sent=False)
    again = opened.read("select 1")
    assert (again.kind, again.commit_sent) == (WorkFailureKind.LOST, False)


def test_commit_that_is_never_answered_may_have_run(opened):
    opened.write("r1", "create table t (a integer)")
    opened.work(BeginWork(1))
    opened.work(StatementsWork((Statement("insert into t values (1)"),)))
    opened.servers[opened.primary.name].silence(still_runs=True)
    # The record is asked for before the commit goes out, and its answer is never seen either.
    failed = opened.work(CommitWork("r2"), timeout_ms=100)
    assert failed.kind is WorkFailureKind.LOST


def test_closed_connection_abandons_its_work(opened):
    opened.servers[opened.primary.name].silence(still_runs=False)
    opened.backend.start_work(StartWork(1, 5, ReadWork((Statement("select 1"),)), TIMEOUT_MS))
    eventlet.sleep(0)
    opened.backend.close(CloseConnection(1))
    assert isinstance(opened.open(2), ConnectionOpened)
    assert opened.work(ReadWork((Statement("select 1"),)), 2).results[0].rows == ((1,),)
    assert opened.driver.events.empty()


def test_connection_that_the_server_closes_while_idle(opened):
    opened.backend.start()
    opened.servers[opened.primary.name].stop()
    assert opened.driver.next() == ConnectionFailed(1)


def test_full_server_is_told_apart(bench):
    for number in range(bench.group.connections_per_server):
        assert isinstance(bench.open(number), ConnectionOpened)
    assert bench.open(99) == ConnectionFailed(99, at_connection_limit=True)


def test_server_that_is_away(bench):
    bench.servers[bench.primary.name].stop()
    assert bench.open() == ConnectionFailed(1, at_connection_limit=False)
    assert bench.ask(QueryStatus()).kind is ServerFailureKind.UNREACHABLE


def test_status_and_lookup(opened):
    written = opened.write("r1", "create table t (a integer)")
    status = opened.ask(QueryStatus())
    assert isinstance(status, StatusReply)
    assert (status.status.role, status.status.durable) == (ServerRole.PRIMARY, written.position)
    found = opened.ask(Lookup("r1", 1))
    assert found == RecordReply(True, found.position, written.results)
    assert opened.ask(Lookup("r2", 1)) == RecordReply(False)
    assert opened.ask(Lookup("r1", 7)).kind is ServerFailureKind.STALE_TERM


def test_lookup_ends_the_session_first(bench):
    pid = bench.open().session_pid
    assert bench.ask(Lookup("r1", 1, pid)) == RecordReply(False)
    assert bench.read("select 1").kind is WorkFailureKind.LOST


def test_fence_passes_waiting_queries(bench):
    for number in range(MAX_CONNECTIONS + 2):
        wait = QueryStatus(FAR, wait_ms=20_000)
        bench.control.call(CallServer(100 + number, bench.primary, wait, 25_000))
    eventlet.sleep(0)
    bench.control.call(CallServer(1, bench.primary, Fence(2, "host"), TIMEOUT_MS))
    replies = {}
    while 1 not in replies:
        event = bench.driver.next()
        replies[event.call_id] = event.reply
    assert replies[1].status.role is ServerRole.FENCED


def test_promotion_by_another_fencer_is_refused(bench):
    assert isinstance(bench.ask(Fence(2, "host")), StatusReply)
    refused = bench.ask(Promote(2, "another"))
    assert refused == ServerFailure(ServerFailureKind.REFUSED, refused.message)


def test_server_that_never_answers_times_out(bench):
    listener = eventlet.listen(("127.0.0.1", 0))
    ip, port = listener.getsockname()
    silent = Server("silent", "az-1", f"{ip}:{port}")
    assert bench.ask(QueryStatus(), silent, 100).kind is ServerFailureKind.TIMEOUT
    listener.close()
