"""Any request to the caller API gets a result or a typed failure with the matching status."""

import json

import eventlet
import pytest
from falcon import testing
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from figcrank.cli._embedded import EmbeddedFleet
from figcrank.protocol import Failure, FailureKind, Outcome
from figcrank.transport import HostProcess

HANG_S = 20
HANDLER_FAULT = "The host failed while it handled the request."
# The HTTP layer returns these for unknown paths and methods, with failure type bad_request.
HTTP_STATUSES = {404, 405}
BOUNDED = settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)

HEADERS = (
    "Authorization",
    "Figcrank-Profile",
    "Figcrank-Session",
    "Figcrank-Timeout-Ms",
    "Idempotency-Key",
    "Traceparent",
)
HEADER_TEXT = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), max_size=30)
LEAVES = (
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=20)
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)
SQL = st.sampled_from(
    ["select 1", "select %s", "create table t (a integer)", "insert into t values (%s)", "commit"]
) | st.text(max_size=30)
STATEMENTS = st.fixed_dictionaries(
    {"statements": st.lists(st.fixed_dictionaries({"sql": SQL, "params": st.lists(LEAVES)}))},
    optional={"repeatable": st.booleans()},
)
BODIES = (
    STATEMENTS.map(lambda body: json.dumps(body).encode())
    | VALUES.map(lambda body: json.dumps(body).encode())
    | st.binary(max_size=60)
)
PATHS = st.sampled_from(
    [
        "/v1/services/roster/statements",
        "/v1/services/roster/transactions",
        "/v1/services/absent/statements",
        "/v1/transactions/host-1~roster-1~1/statements",
        "/v1/transactions/host-1~roster-1~1/commit",
        "/v1/transactions/host-9~absent~x/rollback",
        "/v1/transactions/x/absent",
        "/v1/open/absent",
        "/",
    ]
)


@pytest.fixture(scope="module")
def fleet():
    return EmbeddedFleet.start("127.0.0.1:0", "")


@pytest.fixture(scope="module")
def client(fleet):
    process = HostProcess(fleet.settings)
    process.start()
    process.wait_ready()
    yield testing.TestClient(process._caller_api.app)
    process.leave()
    process.wait_stopped()


def good_headers(key, profile="write"):
    """Return valid headers with a valid key."""
    return {"Authorization": f"Bearer {key}", "Figcrank-Profile": profile}


def let_run(client):
    """Yield to the host, which runs on this thread, until it is ready.

    Hypothesis draws data without yielding. A host that does not run for a while has stale
    configuration and stops accepting keys until it has refreshed it.
    """
    with eventlet.Timeout(HANG_S):
        eventlet.sleep(0)
        while client.simulate_get("/readyz").status_code != 200:
            eventlet.sleep(0.01)


def check(response):
    """Check that a response is a result or a failure with the status of its type."""
    assert "Traceback" not in response.text
    if response.status_code == 200:
        return
    failure = response.json["failure"]
    assert failure["message"] != HANDLER_FAULT
    kind = FailureKind(failure["type"])
    expected = Failure(kind, Outcome(failure["outcome"]), "").status
    from_http = kind is FailureKind.BAD_REQUEST and response.status_code in HTTP_STATUSES
    assert response.status_code == expected or from_http


@BOUNDED
@given(path=PATHS, body=BODIES, name=st.sampled_from(HEADERS), text=HEADER_TEXT)
def test_any_body_with_any_header(client, fleet, path, body, name, text):
    sent = {**good_headers(fleet.key), name: text}
    let_run(client)
    with eventlet.Timeout(HANG_S):
        check(client.simulate_post(path, headers=sent, body=body))


@BOUNDED
@given(path=PATHS, body=BODIES, timeout_ms=st.integers(1, 500))
def test_any_body_of_a_good_caller(client, fleet, path, body, timeout_ms):
    sent = {**good_headers(fleet.key), "Figcrank-Timeout-Ms": str(timeout_ms)}
    let_run(client)
    with eventlet.Timeout(HANG_S):
        check(client.simulate_post(path, headers=sent, body=body))


@BOUNDED
@given(body=STATEMENTS, profile=st.sampled_from(["fresh", "relaxed", "write"]))
def test_any_statements_of_a_good_caller(client, fleet, body, profile):
    let_run(client)
    with eventlet.Timeout(HANG_S):
        sent = good_headers(fleet.key, profile)
        check(client.simulate_post("/v1/services/roster/statements", headers=sent, json=body))


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "PATCH", "OPTIONS"])
def test_unsupported_method(client, fleet, method):
    let_run(client)
    path = "/v1/services/roster/statements"
    check(client.simulate_request(method, path, headers=good_headers(fleet.key)))


@pytest.mark.parametrize("placeholder", ["%c", "%d", "%999999999999s", "%(a)s", "%\xea", "%"])
def test_unsupported_placeholder(client, fleet, placeholder):
    let_run(client)
    statement = {"sql": f"select {placeholder}", "params": [-33636]}
    path = "/v1/services/roster/statements"
    sent = good_headers(fleet.key)
    answer = client.simulate_post(path, headers=sent, json={"statements": [statement]})
    assert answer.status_code == 422
    assert answer.json["failure"]["outcome"] == "not_run"


def test_valid_request_succeeds(client, fleet):
    let_run(client)
    sent = good_headers(fleet.key, "fresh")
    body = {"statements": [{"sql": "select 1"}]}
    answer = client.simulate_post("/v1/services/roster/statements", headers=sent, json=body)
    assert answer.status_code == 200
