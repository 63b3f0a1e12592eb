"""Start, logs, traces and shutdown of one embedded host."""

import http.client
import json

import pytest

FIGCRANKD = "figcrank.cli.figcrankd"


@pytest.fixture
def trace_file(tmp_path):
    return tmp_path / "spans.jsonl"


@pytest.fixture
def program(programs, trace_file):
    return programs(
        FIGCRANKD, "--embedded", "--listen", "127.0.0.1:0", "--trace-file", str(trace_file)
    )


@pytest.fixture
def ready(program):
    return program.read_ready()


@pytest.fixture
def caller(ready, new_caller):
    return new_caller(ready["key"], ready["service"])


def test_key_is_not_logged_or_traced(program, ready, caller, trace_file):
    caller.run(ready["caller_url"], "select 1", profile="fresh")
    assert program.terminate() == 0
    secret = ready["key"].rsplit("_", 1)[-1]
    assert trace_file.read_text()
    assert secret not in trace_file.read_text()
    assert secret not in program.log_text()


def test_trace_of_the_caller_is_continued(program, ready, caller, trace_file):
    trace_id = "0af7651916cd43dd8448eb211c80319c"
    headers = {"Traceparent": f"00-{trace_id}-b7ad6b7169203331-01"}
    answer = caller.run(ready["caller_url"], "select 1", profile="fresh", headers=headers)
    assert trace_id in answer.headers["Traceparent"]
    assert program.terminate() == 0
    spans = [json.loads(line) for line in trace_file.read_text().splitlines()]
    names = {span["name"] for span in spans if trace_id in span["context"]["trace_id"]}
    assert {"caller.statements", "entry", "backend.work"} <= names


def test_shutdown_responds_to_a_request_in_flight(program, ready, caller):
    address = ready["caller_url"].removeprefix("http://")
    connection = http.client.HTTPConnection(address)
    connection.connect()
    body = json.dumps({"statements": [{"sql": "select 1"}]}).encode()
    connection.putrequest("POST", f"/v1/services/{caller.service}/statements")
    connection.putheader("Authorization", f"Bearer {caller.key}")
    connection.putheader("Figcrank-Profile", "fresh")
    connection.putheader("Content-Length", str(len(body)))
    connection.endheaders(body[:10])
    # Connections are accepted in order, so the earlier one has been accepted after this response.
    assert caller.get_status(ready["caller_url"], "/healthz") == 200
    program.process.terminate()
    connection.send(body[10:])
    assert connection.getresponse().status in (200, 503)
    assert program.process.wait(30) == 0


def test_logs_are_json_lines(program, ready):
    assert program.terminate() == 0
    for line in program.log_text().splitlines():
        assert json.loads(line)["host"]


def test_shutdown_waits_for_an_open_transaction(program, ready, caller, poll):
    url = ready["caller_url"]
    assert caller.run(url, "create table t (id integer)").status == 200
    begun = caller.post(url, f"/v1/services/{caller.service}/transactions")
    assert begun.status == 200, begun
    path = f"/v1/transactions/{begun.body['transaction']}"
    program.process.terminate()
    poll(lambda: caller.get_status(url, "/readyz") == 503, "failing readiness")
    body = {"statements": [{"sql": "insert into t values (1)"}]}
    assert caller.post(url, f"{path}/statements", body).status == 200
    assert caller.post(url, f"{path}/commit").status == 200
    assert program.process.wait(30) == 0
