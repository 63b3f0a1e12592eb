import msgspec
import pytest

from figcrank.protocol import Fence, Statement, WriteWork
from figcrank.standins import ServerModel, form_group
from figcrank.standins._sql_session import ControlPort, SqlSession
from figcrank.standins._sql_text import Verb, parse_query


class DirectPort(ControlPort):
    def __init__(self, model):
        self.model = model
        self.knobs = {}

    def control(self, request):
        return self.model.request(request)

    def set_knob(self, name, value, pid):
        self.knobs[name] = value


class Answer(msgspec.Struct):
    rows: list
    tags: list
    sqlstate: str
    constraint: str
    position: str
    status: str


def parse(data):
    answer = Answer([], [], "", "", "", "")
    while data:
        kind, size = data[:1], int.from_bytes(data[1:5], "big")
        body, data = data[5 : 1 + size], data[1 + size :]
        if kind == b"D":
            answer.rows.append(row_of(body))
        elif kind == b"C":
            answer.tags.append(body[:-1].decode())
        elif kind == b"E":
            fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
            answer.sqlstate, answer.constraint = fields[b"C"], fields.get(b"n", "")
        elif kind == b"S":
            answer.position = body.split(b"\0")[1].decode()
        elif kind == b"Z":
            answer.status = body.decode()
    return answer


def row_of(body):
    values, offset = [], 2
    for _ in range(int.from_bytes(body[:2], "big")):
        size = int.from_bytes(body[offset : offset + 4], "big", signed=True)
        offset += 4
        values.append(None if size < 0 else body[offset : offset + size].decode())
        offset += max(0, size)
    return values


class Client:
    def __init__(self, model):
        self.port = DirectPort(model)
        self.session = SqlSession(model, model.open_session(), self.port)

    def __call__(self, sql):
        return parse(self.session.run(sql))


@pytest.fixture
def models():
    models = tuple(ServerModel(name, ("a", "b")) for name in ("a", "b"))
    form_group(models)
    create = Statement("CREATE TABLE shifts (crew TEXT PRIMARY KEY, lane INTEGER)")
    models[0].run(models[0].open_session(), WriteWork("create", 1, (create,)))
    return models


@pytest.fixture
def client(models):
    return Client(models[0])


def test_split_respects_literals_and_comments():
    query = "-- a;b\nSELECT 'x;''y'; /* ; */ SELECT \"q;\" ;;"
    assert [one.sql for one in parse_query(query)] == ["SELECT 'x;''y'", 'SELECT "q;"']


def test_call_arguments_are_literals():
    (call,) = parse_query("select group_lookup('r''1', 3, NULL) as found")
    assert (call.verb, call.function) == (Verb.CALL, "group_lookup")
    assert call.arguments == ("r'1", 3, None)


def test_other_functions_of_a_like_name_are_sql():
    (statement,) = parse_query("SELECT group_concat(crew) FROM (SELECT crew FROM shifts)")
    assert statement.verb is Verb.STATEMENT


def test_results_that_are_not_results_are_refused(client):
    client("BEGIN; SELECT group_guard_write(1); SELECT group_record('r1')")
    assert client("SELECT group_result('r1', 'nonsense')").sqlstate == "22023"


def test_knob_is_set(client):
    client("SELECT standin_set('lag_ms', 250)")
    assert client.port.knobs == {"lag_ms": 250}


def test_read_guard_and_read_in_one_query(client):
    answer = client("SELECT group_guard_read(1, 2, NULL); SELECT count(*) FROM shifts")
    assert answer.rows[-1] == ["0"]
    assert (answer.position, answer.status) == ("1:2", "I")


def test_read_guard_refuses_a_position_that_is_not_applied(client):
    answer = client("SELECT group_guard_read(1, 9, NULL); SELECT 1")
    assert (answer.sqlstate, answer.rows, answer.status) == ("FG002", [], "I")


def test_reads_of_one_transaction_see_one_snapshot(models):
    reader, writer = Client(models[0]), Client(models[0])
    reader("BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY")
    reader("SELECT group_guard_read(1, 2, NULL)")
    writer("INSERT INTO shifts VALUES ('north', 1)")
    assert reader("SELECT count(*) FROM shifts").rows == [["0"]]
    assert reader("COMMIT").position == "1:2"
    assert reader("SELECT count(*) FROM shifts").rows == [["1"]]


def test_guarded_write_keeps_a_record(client, models):
    assert client("BEGIN; SELECT group_guard_write(1); SELECT group_record('r1')").status == "T"
    assert client("INSERT INTO shifts VALUES ('north', 1)").tags == ["INSERT 0 1"]
    results = '[{"columns":[],"rows":[],"row_count":1}]'
    answer = client(f"SELECT group_result('r1', '{results}'); COMMIT")
    assert (answer.position, answer.status) == ("1:3", "I")
    (record,) = client("SELECT group_lookup('r1', 1, NULL)").rows
    assert msgspec.json.decode(record[0])["results"][0]["row_count"] == 1


def test_second_record_of_a_request_is_refused(client):
    write = "SELECT group_guard_write(1); SELECT group_record('r1')"
    assert client(write).sqlstate == ""
    answer = client(write)
    assert (answer.sqlstate, answer.constraint) == ("23505", "figcrank_requests_pkey")


def test_record_taken_by_another_session_fails_the_commit(models):
    first, second = Client(models[0]), Client(models[0])
    write = "SELECT group_guard_write(1); SELECT group_record('r1')"
    first(f"BEGIN; {write}; INSERT INTO shifts VALUES ('north', 1)")
    assert second(write).sqlstate == ""
    assert first("COMMIT").sqlstate == "23505"
    assert first("SELECT count(*) FROM shifts").rows == [["0"]]


def test_commit_after_fence_is_refused(client):
    client("BEGIN; SELECT group_guard_write(1); INSERT INTO shifts VALUES ('north', 1)")
    client.port.model.request(Fence(2, "host-1"))
    answer = client("COMMIT")
    assert (answer.sqlstate, answer.status) == ("FG001", "I")


def test_failed_transaction_takes_only_its_end(client):
    client("BEGIN; SELECT group_guard_write(1); INSERT INTO shifts VALUES ('north', 1)")
    assert client("SELECT * FROM absent").status == "E"
    assert client("SELECT 1").sqlstate == "25P02"
    answer = client("COMMIT")
    assert (answer.tags, answer.status) == (["ROLLBACK"], "I")
    assert client("SELECT count(*) FROM shifts").rows == [["0"]]


def test_replica_refuses_changes(models):
    replica = Client(models[1])
    assert replica("INSERT INTO shifts VALUES ('north', 1)").sqlstate == "FG003"
    assert replica("SELECT group_guard_write(1)").sqlstate == "FG001"


def test_refused_fence_has_its_own_sqlstate(client):
    assert client("SELECT group_fence(2, 'host-1')").sqlstate == ""
    assert client("SELECT group_fence(2, 'host-2')").sqlstate == "FG003"
    assert client("SELECT group_fence(1, 'host-1')").sqlstate == "FG001"


def test_ended_session_is_told_and_closed(client):
    client.port.model.close_session(client.session.pid)
    assert client("COMMIT").sqlstate == "57P01"
    assert client.session.is_closed
