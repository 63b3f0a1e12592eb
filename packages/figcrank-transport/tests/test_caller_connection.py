"""Connections of callers that stop reading, and requests that get no answer."""

import json
import socket as std_socket
import struct

import eventlet
import pytest
from eventlet.green import socket

from figcrank.coordination.sessions import HostLifetime
from figcrank.protocol.sessions import Decoder, Request, SessionFailure, TransactionState, Verb
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
    """Replies and failures are lines."""

    def decoder(self):
        return FakeDecoder()

    def failure(self, failure, detail):
        return failure.name.encode()

    def reply(self, body, state):
        return body + f" {state.name}\n".encode()

    def closing_notice(self, failure, detail):
        return failure.name.encode() + b"\n"


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

    def _unanswered_failure(self):
        return SessionFailure.ABORTED

    def _record_refusal(self, request_id, failure, reason, refusal):
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
    return connection_class(sock, FakeCodec(), set(), clock, log[0], Metrics(), HostLifetime())


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


def read_line(caller):
    """Return the next line, without its end; empty at the end of the connection."""
    line = b""
    while (byte := caller.recv(1)) not in (b"\n", b""):
        line += byte
    return line.decode()


def read_to_end(caller):
    """Return the lines up to the end of the connection."""
    return list(iter(lambda: read_line(caller), ""))


def serve_two_requests(connection_class, sockets, log):
    here, caller = sockets
    caller.sendall(b"first second\n")
    connection = serve(connection_class, here, log)
    with eventlet.Timeout(10), pytest.raises(ValueError):
        connection.run()
    log[0].flush()
    events = [json.loads(line) for data in log[1] for line in data.splitlines()]
    return [event for event in events if event["event"] == "request_unanswered"]


def test_error_in_a_session_answers_the_request_in_progress(sockets, log):
    """Guards against sessions that end with a request that was read and not answered."""
    assert serve_two_requests(FailingConnection, sockets, log) == []
    assert read_to_end(sockets[1]) == ["answer", "ABORTED IDLE", "BUSY"]


def test_request_that_crosses_the_failure_of_its_session_is_refused(sockets, log):
    """Guards against a request that is read after the last answer, and dropped."""
    sockets[1].sendall(b"first second\n")
    connection = serve(FailingConnection, sockets[0], log)
    running = eventlet.spawn(connection.run)
    lines = read_line(sockets[1]), read_line(sockets[1])
    assert lines == ("answer", "ABORTED IDLE")
    sockets[1].sendall(b"crossing\n")
    assert read_to_end(sockets[1]) == ["BUSY"]
    sockets[1].close()
    with eventlet.Timeout(10), pytest.raises(ValueError):
        running.wait()


def test_requests_sent_in_advance_are_refused_when_their_session_fails(sockets, log):
    """Guards against requests that were read together with the one that is answered."""
    sockets[1].sendall(b"first second third fourth\n")
    with eventlet.Timeout(10), pytest.raises(ValueError):
        serve(FailingConnection, sockets[0], log).run()
    expected = ["answer", "ABORTED IDLE", "BUSY IDLE", "BUSY IDLE", "BUSY"]
    assert read_to_end(sockets[1]) == expected


def test_error_while_a_session_gives_back_what_it_holds_answers_the_request(sockets, log):
    class BrokenConnection(FailingConnection):
        def _release(self):
            raise KeyError("pool")

    assert serve_two_requests(BrokenConnection, sockets, log) == []
    assert read_to_end(sockets[1]) == ["answer", "ABORTED IDLE", "BUSY"]
    assert any(b'"internal_error"' in data and b"pool" in data for data in log[1])


def test_request_that_can_not_be_answered_is_logged_with_what_ended_its_session(sockets, log):
    class LeftConnection(FailingConnection):
        def _release(self):
            sockets[1].close()

    (event,) = serve_two_requests(LeftConnection, sockets, log)
    assert (event["id"], event["verb"], event["connected"]) == ("second", "read", False)
    assert "unexpected" in event["reason"]


def test_request_that_crosses_the_close_of_its_session_is_refused(sockets, log):
    """Guards against an idle session that is closed while a request is on its way."""
    here, caller = sockets
    connection = serve(WaitingConnection, here, log)
    running = eventlet.spawn(connection.run)
    eventlet.sleep(0)  # the session waits for a request
    connection.close_when_idle()
    eventlet.sleep(0)  # the session ends
    caller.sendall(b"crossing\n")
    assert caller.recv(200) == b"ABORTED\n"
    assert caller.recv(200) == b""
    caller.close()
    with eventlet.Timeout(10):
        running.wait()


def test_reply_that_is_being_sent_is_not_cut_by_the_end_of_its_session(sockets, log):
    """Guards against a stop that cuts a large reply for a caller that is still reading it."""
    here, caller = sockets
    connection = serve(SendingConnection, here, log)
    running = eventlet.spawn(connection.run)
    eventlet.sleep(0)  # the sockets' buffers are full
    connection.interrupt("the host stops")
    received = 0
    with eventlet.Timeout(10):
        while received < len(LARGE_REPLY):
            data = caller.recv(1_000_000)
            assert data, f"the reply ended after {received} bytes"
            received += len(data)
        caller.close()
        running.wait()


def test_new_session_is_left_the_time_to_send_its_first_request(sockets, log):
    here, caller = sockets
    connection = serve(WaitingConnection, here, log)
    running = eventlet.spawn(connection.run)
    eventlet.sleep(0)
    connection.close_when_idle(spare_new=True)
    caller.sendall(b"first\n")
    assert read_line(caller) == "ABORTED IDLE"  # answered, not refused unread
    caller.close()
    with eventlet.Timeout(10):
        running.wait()


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
