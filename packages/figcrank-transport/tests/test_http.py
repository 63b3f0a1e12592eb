"""Tests the HTTP server and client."""

import socket

import eventlet
import pytest

from figcrank.transport._http_client import HttpCallError, HttpClient
from figcrank.transport._http_server import MAX_BODY_BYTES, HttpServer, new_app, read_body

TIMEOUT_MS = 5_000
PIPELINED_REQUESTS = 300


class Echo:
    def __init__(self):
        self.requests = 0

    def on_post(self, request, response):
        self.requests += 1
        response.data = read_body(request)

    def on_post_fault(self, request, response):
        raise RuntimeError("secret detail")

    def on_post_slow(self, request, response):
        eventlet.sleep(60)


@pytest.fixture
def echo():
    return Echo()


@pytest.fixture
def server(echo):
    app = new_app()
    app.add_route("/echo", echo)
    app.add_route("/fault", echo, suffix="fault")
    app.add_route("/slow", echo, suffix="slow")
    server = HttpServer("127.0.0.1:0")
    server.start(app)
    yield server
    server.stop()


def test_idle_connection_is_reused(server):
    client = HttpClient()
    for body in (b"one", b"two"):
        assert client.post(server.address, "/echo", body, {}, TIMEOUT_MS).body == body
    assert len(client._idle[server.address]) == 1


def test_connection_closed_by_the_server_is_not_reused(server):
    client = HttpClient()
    server.drain()
    client.post(server.address, "/echo", b"one", {}, TIMEOUT_MS)
    assert client._idle[server.address] == []


def test_body_over_the_limit_is_refused(server, echo):
    body = b"x" * (MAX_BODY_BYTES + 1)
    reply = HttpClient().post(server.address, "/echo", body, {}, TIMEOUT_MS)
    assert reply.status == 413
    assert b'"too_large"' in reply.body


def test_unknown_path_is_reported_as_a_typed_failure(server):
    reply = HttpClient().post(server.address, "/absent", b"", {}, TIMEOUT_MS)
    assert reply.status == 404
    assert b'"bad_request"' in reply.body


def test_unhandled_exception_is_not_exposed(server):
    reply = HttpClient().post(server.address, "/fault", b"", {}, TIMEOUT_MS)
    assert reply.status == 504
    assert b"secret detail" not in reply.body
    assert b'"unknown"' in reply.body


def test_pipelined_requests_do_not_starve_other_connections(server, echo):
    ip, port = server.address.split(":")
    busy = eventlet.connect((ip, int(port)))
    busy.sendall(
        b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" * PIPELINED_REQUESTS
    )
    reply = HttpClient().post(server.address, "/echo", b"other", {}, TIMEOUT_MS)
    assert reply.body == b"other"
    assert echo.requests < PIPELINED_REQUESTS
    busy.close()


@pytest.mark.parametrize(
    "head",
    [
        b"POST /echo HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"POST /echo HTTP/1.1\r\nContent-Length: five\r\n\r\n",
        b"POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"POST /echo HTTP/9.9\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"POST /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n",
        b"POST /echo HTTP/1.1\r\nA: " + b"a" * 100_000 + b"\r\n\r\n",
        b"POST /%ff%fe HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        b"GET /echo HTTP/1.1\r\n\r\n",
    ],
)
def test_malformed_request_is_refused_without_a_traceback(server, echo, head):
    ip, port = server.address.split(":")
    connection = eventlet.connect((ip, int(port)))
    connection.sendall(head)
    connection.shutdown(socket.SHUT_WR)
    with eventlet.Timeout(10):
        answer = connection.makefile("rb").read()
    connection.close()
    assert answer == b"" or answer.split()[1].startswith((b"4", b"5"))
    assert b"Traceback" not in answer
    assert b"site-packages" not in answer


def test_request_on_a_refused_connection_was_not_sent():
    server = HttpServer("127.0.0.1:0")
    address = server.address
    server.stop()
    with pytest.raises(HttpCallError) as caught:
        HttpClient().post(address, "/echo", b"", {}, TIMEOUT_MS)
    assert not caught.value.sent


def test_timed_out_request_may_have_been_sent(server):
    with pytest.raises(HttpCallError) as caught:
        HttpClient().post(server.address, "/slow", b"", {}, 100)
    assert caught.value.sent
