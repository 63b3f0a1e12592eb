"""A stop whose time is over while requests are in progress."""

import json
from dataclasses import replace

import eventlet
import pytest
from eventlet.green.http import client as http_client

from figcrank.cli._embedded import EmbeddedFleet
from figcrank.coordination import StatementsReceived
from figcrank.transport import HostProcess

DRAIN_MS = 700
HANG_S = 20


@pytest.fixture
def fleet():
    return EmbeddedFleet.start("127.0.0.1:0", "")


def ask(process, fleet):
    """Send a statement and return the status and body of the response."""
    connection = http_client.HTTPConnection(process.caller_url.removeprefix("http://"))
    path = f"/v1/services/{fleet.service}/statements"
    headers = {"Authorization": f"Bearer {fleet.key}", "Figcrank-Profile": "fresh"}
    connection.request("POST", path, json.dumps({"statements": [{"sql": "select 1"}]}), headers)
    response = connection.getresponse()
    return response.status, json.loads(response.read())


def test_request_in_progress_is_answered_at_the_end_of_an_unfinished_stop(fleet, monkeypatch):
    """Guards against connections that end without a response to a request that was read."""
    process = HostProcess(replace(fleet.settings, drain_ms=DRAIN_MS))
    process.start()
    dispatch = process._driver.dispatch
    monkeypatch.setattr(
        process._driver,
        "dispatch",
        lambda event: None if isinstance(event, StatementsReceived) else dispatch(event),
    )
    with eventlet.Timeout(HANG_S):
        process.wait_ready()
        asking = eventlet.spawn(ask, process, fleet)
        while not process._caller_server.in_flight:
            eventlet.sleep(0.01)
        process.leave()
        is_clean = process.wait_stopped()
        assert asking.dead  # the process exits now
        status, body = asking.wait()
    assert not is_clean
    assert (status, body["failure"]["outcome"]) == (504, "unknown")
