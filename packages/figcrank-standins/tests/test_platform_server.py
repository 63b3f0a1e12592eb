import http.client
import json
import subprocess
import sys

import eventlet
import msgspec
import pytest
from eventlet.green.http import client as green_client

from figcrank.protocol import (
    GetObject,
    ListHosts,
    ListObjects,
    PlatformHost,
    PlatformResult,
    PutConflict,
    PutDone,
    PutObject,
    WatchObjects,
)
from figcrank.standins import sample_objects
from figcrank.standins.platform import Ready
from figcrank.standins.platform_server import PlatformFaults, start_platform

TEST_DEADLINE_S = 20
LONG_WAIT_MS = 10_000
NO_FAULTS = PlatformFaults()


@pytest.fixture(autouse=True)
def deadline():
    with eventlet.Timeout(TEST_DEADLINE_S):
        yield


@pytest.fixture
def platform():
    server = start_platform()
    yield server
    server.stop()


def exchange(server, method, path, message=None, client=green_client):
    connection = client.HTTPConnection(server.address, timeout=TEST_DEADLINE_S)
    try:
        body = None if message is None else msgspec.json.encode(message)
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def call(server, message, **options):
    status, body = exchange(server, "POST", "/v1/calls", message, **options)
    assert status == 200
    return msgspec.json.decode(body, type=PlatformResult)


def put(expected_version=0, operation_id="op-1"):
    return PutObject("profile", "fresh", expected_version, "{}", operation_id)


def test_write_and_conflict(platform):
    assert isinstance(call(platform, put()), PutDone)
    clash = call(platform, put(operation_id="op-2"))
    assert isinstance(clash, PutConflict)
    assert clash.current.operation_id == "op-1"


def test_lost_answer_is_settled_by_the_operation_id(platform):
    exchange(platform, "POST", "/v1/faults", PlatformFaults(lose_answers=1))
    with pytest.raises((green_client.HTTPException, OSError)):
        call(platform, put())
    (stored,) = call(platform, GetObject("profile", "fresh")).objects
    assert stored.operation_id == "op-1"
    assert isinstance(call(platform, put(stored.version, "op-2")), PutDone)


def test_watch_is_woken_by_a_change(platform):
    watch = WatchObjects(("profile",), 0, LONG_WAIT_MS)
    waiting = eventlet.spawn(call, platform, watch)
    while not platform.model.calls["WatchObjects"]:
        eventlet.sleep(0)
    call(platform, put())
    assert [stored.name for stored in waiting.wait().objects] == ["fresh"]


def test_watch_without_a_change_ends_empty(platform):
    assert call(platform, WatchObjects(("profile",), 0, 1)).objects == ()


def test_outage_refuses_calls_without_effect(platform):
    exchange(platform, "POST", "/v1/faults", PlatformFaults(outage=True))
    status, body = exchange(platform, "POST", "/v1/calls", put())
    assert (status, json.loads(body)["kind"]) == (503, "platform_unavailable")
    exchange(platform, "POST", "/v1/faults", NO_FAULTS)
    assert call(platform, ListObjects(("profile",))).objects == ()


def test_outage_ends_waiting_watches(platform):
    watch = WatchObjects(("profile",), 0, LONG_WAIT_MS)
    waiting = eventlet.spawn(exchange, platform, "POST", "/v1/calls", watch)
    while not platform.model.calls["WatchObjects"]:
        eventlet.sleep(0)
    platform.set_faults(PlatformFaults(outage=True))
    assert waiting.wait()[0] == 503


@pytest.mark.parametrize("path", ["/v1/calls", "/v1/faults", "/v1/hosts"])
def test_garbled_body_is_a_bad_request(platform, path):
    status, body = exchange(platform, "POST", path, "nonsense")
    assert (status, json.loads(body)["kind"]) == (400, "bad_request")


def test_calls_are_counted(platform):
    call(platform, put())
    _, body = exchange(platform, "GET", "/v1/counters")
    assert json.loads(body) == {"revision": 1, "calls": {"PutObject": 1}}


def test_hosts_are_as_posted(platform):
    host = PlatformHost("h1", "sofia-a", "127.0.0.1:1", "127.0.0.1:2")
    assert exchange(platform, "POST", "/v1/hosts", (host,))[0] == 204
    assert call(platform, ListHosts()).hosts == (host,)


def test_process_serves_its_seed(tmp_path):
    seed = tmp_path / "seed.json"
    seed.write_text('{"objects": [{"kind": "workspace", "name": "crew-1", "value": "{}"}]}')
    command = [sys.executable, "-W", "ignore", "-m", "figcrank.standins.platform"]
    arguments = ["--sample", "--seed", str(seed)]
    process = subprocess.Popen([*command, *arguments], stdout=subprocess.PIPE)
    try:
        ready = msgspec.json.decode(process.stdout.readline(), type=Ready)
        found = call(ready, ListObjects(("workspace",)), client=http.client).objects
        assert [stored.name for stored in found] == ["demo", "crew-1"]
        assert call(ready, ListObjects(("key",)), client=http.client).objects[0].value == next(
            stored.value for stored in sample_objects().objects if stored.kind == "key"
        )
    finally:
        process.terminate()
        process.wait(TEST_DEADLINE_S)
        process.stdout.close()
