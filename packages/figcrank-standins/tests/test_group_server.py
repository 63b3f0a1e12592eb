import eventlet
import msgspec
import psycopg2
import pytest
from eventlet.event import Event
from eventlet.hubs import trampoline
from psycopg2 import extensions

from figcrank.protocol import Fence, Follow, Promote, QueryStatus
from figcrank.standins import Knobs, ServerModel
from figcrank.standins._replication import EntrySource
from figcrank.standins.group_server import GroupServer, start_group
from figcrank.state import Position, ServerRole, ServerStatus

TEST_DEADLINE_S = 20
FAST = Knobs(connect_ms=0)


class HangingSource(EntrySource):
    def fetch(self, request):
        Event().wait()


def wait_for_socket(connection):
    while True:
        state = connection.poll()
        if state == extensions.POLL_OK:
            return
        if state == extensions.POLL_READ:
            trampoline(connection.fileno(), read=True)
        else:
            trampoline(connection.fileno(), write=True)


@pytest.fixture(autouse=True)
def green_psycopg2():
    extensions.set_wait_callback(wait_for_socket)
    with eventlet.Timeout(TEST_DEADLINE_S):
        yield
    extensions.set_wait_callback(None)


@pytest.fixture
def group():
    running = start_group(knobs=FAST)
    yield running
    running.stop()


def connect(running, index=0):
    host, port = running.group.servers[index].address.split(":")
    connection = psycopg2.connect(host=host, port=port, user="figcrank", dbname="roster")
    connection.autocommit = True
    return connection


def run(connection, sql, *params):
    with connection.cursor() as cursor:
        cursor.execute(sql, params or None)
        return cursor.fetchall() if cursor.description else cursor.rowcount


def status(connection, term=0, offset=0, wait_ms=0):
    (row,) = run(connection, "SELECT group_status(%s, %s, %s)", term, offset, wait_ms)
    return msgspec.json.decode(row[0], type=ServerStatus)


def position(connection):
    text = connection.info.parameter_status("group.position")
    return tuple(int(part) for part in text.split(":"))


def write(connection, request_id, sql, *params, term=1):
    run(
        connection, "BEGIN; SELECT group_guard_write(%s); SELECT group_record(%s)", term, request_id
    )
    run(connection, sql, *params)
    run(connection, "COMMIT")
    return position(connection)


def test_values_come_back_by_their_type(group):
    connection = connect(group)
    text = "it's 5% \\ 'quoted'"
    assert run(connection, "SELECT %s, %s, %s, %s, %s", 7, 1.5, text, None, True) == [
        (7, 1.5, text, None, 1)
    ]


def test_write_is_read_on_a_replica(group):
    primary, replica = connect(group), connect(group, 1)
    write(primary, "r1", "CREATE TABLE shifts (crew TEXT, lane INTEGER)")
    written = write(primary, "r2", "INSERT INTO shifts VALUES (%s, %s)", "north", 3)
    assert status(replica, *written, 5_000).durable == status(primary).durable
    sql = "SELECT group_guard_read(%s, %s, NULL); SELECT crew, lane FROM shifts"
    assert run(replica, sql, *written) == [("north", 3)]
    assert position(replica) == written


def test_status_tells_role_and_term(group):
    assert status(connect(group)).role is ServerRole.PRIMARY
    replica = status(connect(group, 2))
    assert (replica.role, replica.term) == (ServerRole.REPLICA, 1)


def test_second_record_is_refused_with_its_constraint(group):
    connection = connect(group)
    write(connection, "r1", "CREATE TABLE shifts (crew TEXT)")
    with pytest.raises(psycopg2.errors.UniqueViolation) as caught:
        write(connection, "r1", "CREATE TABLE crews (name TEXT)")
    assert caught.value.diag.constraint_name == "figcrank_requests_pkey"


def test_replaced_primary_can_not_commit(group):
    old, new = connect(group), connect(group, 1)
    run(old, "BEGIN; SELECT group_guard_write(1); CREATE TABLE shifts (crew TEXT)")
    for connection in (connect(group), new):
        run(connection, "SELECT group_fence(2, 'host-1')")
    run(new, "SELECT group_promote(2, 'host-1')")
    with pytest.raises(psycopg2.Error) as caught:
        run(old, "COMMIT")
    assert caught.value.pgcode == "FG001"


def test_old_primary_rejoins_without_its_tail(group):
    cut_off = group.servers[group.group.servers[0].name]
    cut_off.set_knob("partitioned", 1)
    old, new, third = (connect(group, index) for index in range(3))
    write(old, "lost", "CREATE TABLE lost (crew TEXT)")
    for connection in (new, third):
        run(connection, "SELECT group_fence(2, 'host-1')")
    run(new, "SELECT group_promote(2, 'host-1')")
    for connection in (old, third):
        run(connection, "SELECT group_follow(2, %s)", group.group.servers[1].name)
    cut_off.set_knob("partitioned", 0)
    written = write(new, "kept", "CREATE TABLE kept (crew TEXT)", term=2)
    assert status(old, *written, 5_000).durable == status(new).durable
    tables = "SELECT name FROM sqlite_master WHERE name IN ('lost', 'kept')"
    assert run(old, tables) == [("kept",)]


def test_lookup_ends_a_session(group):
    first, second = connect(group), connect(group)
    run(first, "BEGIN; SELECT group_guard_write(1); SELECT group_record('r1')")
    pid = first.info.backend_pid
    (row,) = run(second, "SELECT group_lookup('r1', 1, %s)", pid)
    assert msgspec.json.decode(row[0])["found"] is False
    with pytest.raises(psycopg2.OperationalError):
        run(first, "COMMIT")


def test_connections_are_limited():
    running = start_group(connections=1, knobs=FAST)
    first = connect(running)
    with pytest.raises(psycopg2.OperationalError, match="connections"):
        connect(running)
    first.close()
    running.stop()


def test_silent_connections_stay_silent_and_new_ones_work(group):
    old = connect(group)
    other = connect(group)
    run(other, "SELECT standin_set('silence', 0)")
    answered = []
    waiting = eventlet.spawn(lambda: answered.append(run(old, "SELECT 1")))
    assert run(connect(group), "SELECT 2") == [(2,)]
    assert run(other, "SELECT 3") == [(3,)]
    assert answered == []
    waiting.kill()


def test_replica_turns_to_a_new_primary_while_the_old_one_hangs():
    replica = GroupServer(ServerModel("a", ("a", "b", "c")), FAST)
    primary = GroupServer(ServerModel("b", ("a", "b", "c")), FAST)
    replica.listen()
    replica.start({"b": primary.feed, "c": HangingSource()})
    try:
        replica.control(Follow(1, "c"))
        eventlet.sleep(0)
        primary.model.request(Fence(2, "host-1"))
        primary.model.request(Promote(2, "host-1"))
        replica.control(Follow(2, "b"))
        reply = replica.control(QueryStatus(Position(2, 1), wait_ms=5_000))
        assert reply.status.durable == Position(2, 1)
    finally:
        replica.stop()


def test_stopped_server_comes_back_with_its_log(group):
    server = group.servers[group.group.servers[0].name]
    written = write(connect(group), "r1", "CREATE TABLE shifts (crew TEXT)")
    server.stop()
    with pytest.raises(psycopg2.OperationalError):
        connect(group)
    server.restart()
    durable = status(connect(group)).durable
    assert (durable.term, durable.offset) == written
