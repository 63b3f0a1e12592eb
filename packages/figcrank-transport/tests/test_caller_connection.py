"""Connections of callers that stop reading, and requests that get no answer."""

import json
import socket as std_socket
import struct

import eventlet
import pytest
from eventlet.green import socket

from figcrank.protocol.sessions import Decoder, Request, TransactionState, Verb
from figcrank.transport import MonotonicClock
from figcrank.transport.streams import _caller_connection
from figcrank.transport.streams._caller_connection import CallerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics

LARGE_REPLY = b"x" * 20_000_000  # more than the sockets buffer


class FakeDecoder(Decoder):
    """Each line is the id of a read."""

    def feed(self, data):
        return [Request(line, Verb.READ, "READ item") for line in data.decode().split()]


class FakeCodec:
    def decoder(self):
        return FakeDecoder()


class SendingConnection(CallerConnection):
    """Sends one large reply while it holds something."""

    released = False
    transaction_state = TransactionState.OPEN

    def abort_transaction(self):
        pass

    def _serve(self):
        self._send(LARGE_REPLY)

    def _release(self):
        self.released = True

    def _record_refusal(self, request_id, failure, reason):
        pass


class FailingConnection(SendingConnection):
    """Answers the first request and raises an error while the second one is in progress."""

    def _serve(self):
        self._next_message(None)
        self._send(b"answer\n")
        self._next_message(None)
        raise ValueError("unexpected")


class WaitingConnection(SendingConnection):
    """Waits for a request and answers nothing."""

    transaction_state = TransactionState.IDLE

    def _serve(self):
        self._next_message(None)


@pytest.fixture
def sockets():
    """Return a host's socket and that of its caller."""
    here, caller = socket.socketpair()
    yield here, caller
    caller.close()


@pytest.fixture
def log():
    """Return an event log and the lines that are written to it."""
    lines = []
    return EventLog("host", MonotonicClock(), lambda data: lines.append(data) or len(data)), lines


def serve(connection_class, sock, log):
    clock = MonotonicClock()
    return connection_class(sock, FakeCodec(), set(), clock, log[0], Metrics())


@pytest.fixture
def connection(monkeypatch, sockets, log):
    """Return a connection whose caller reads nothing."""
    monkeypatch.setattr(_caller_connection, "SEND_TIMEOUT_MS", 50)
    return serve(SendingConnection, sockets[0], log)


def test_session_of_a_caller_that_reads_nothing_gives_back_what_it_holds(connection):
    """Guards against a transaction that keeps its connection until its caller reads again."""
    with eventlet.Timeout(10):
        connection.run()
    assert connection.released


def test_request_that_gets_no_answer_is_logged_with_what_ended_its_session(sockets, log):
    here, caller = sockets
    connection = serve(FailingConnection, here, log)
    caller.sendall(b"first second\n")
    with eventlet.Timeout(10), pytest.raises(ValueError):
        connection.run()
    log[0].flush()
    events = [json.loads(line) for data in log[1] for line in data.splitlines()]
    assert [(e["event"], e["id"], e["verb"]) for e in events] == [
        ("request_unanswered", "second", "read")
    ]
    assert "unexpected" in events[0]["reason"]
    assert events[0]["connected"]


def test_idle_session_whose_caller_has_reset_the_connection_can_be_closed(log):
    """Guards against a stop that ends at the first session whose socket has failed."""
    listener = eventlet.listen(("127.0.0.1", 0))
    caller = std_socket.create_connection(listener.getsockname())
    here, _ = listener.accept()
    connection = serve(WaitingConnection, here, log)
    running = eventlet.spawn(connection.run)
    eventlet.sleep(0)  # the session waits for a request
    caller.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()
    connection.close_when_idle()
    with eventlet.Timeout(10):
        running.wait()
