import errno
import time

import eventlet
import pytest
from eventlet.event import Event
from eventlet.green import socket

from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.relays import RelayCallerCodec, relay_reply_decoder
from figcrank.protocol.sessions import Decoder, SessionFailure, StatementReply, TransactionState
from figcrank.transport import MonotonicClock
from figcrank.transport.streams import _connection
from figcrank.transport.streams._connection import OpenError, ServerConnection


class _OneByteDecoder(Decoder):
    """Wire format in which each byte is a reply."""

    def feed(self, data):
        return [StatementReply(b"", (), None, "", TransactionState.IDLE, None) for _ in data]


class FailureNames:
    """Wire format of callers in which a failure is its name."""

    def failure(self, failure, detail):
        return failure.name.encode()


@pytest.fixture
def pair():
    """Return an open connection and the socket of its server side."""
    listener = eventlet.listen(("127.0.0.1", 0))
    accepted = eventlet.spawn(listener.accept)
    eventlet.spawn(lambda: accepted.wait()[0].sendall(b"."))
    address = listener.getsockname()
    connection, _ = ServerConnection.open(address, _OneByteDecoder(), b"hi", "w", MonotonicClock())
    yield connection, accepted.wait()[0]
    connection.close()
    listener.close()


def test_close_by_the_server_is_detected_before_the_receive_loop_reads_it(pair):
    """Guards against sending a write on a connection that the server has already closed.

    On a busy machine the receive loop had not read the close when the write was sent, and the
    caller got an unknown outcome.
    """
    connection, server_side = pair
    assert not connection.is_lost()
    server_side.shutdown(socket.SHUT_RDWR)
    server_side.close()
    assert not connection.closed
    assert connection.is_lost()


def test_statement_on_a_closed_connection_gets_no_reply(pair):
    connection, _ = pair
    connection.close()
    assert connection.is_lost()
    assert connection.send_and_wait(b"x", 1_000) is None


def test_connection_is_closed_if_the_server_does_not_reply_in_time(pair):
    connection, _ = pair
    assert connection.send_and_wait(b"x", 20) is None
    assert connection.closed


def test_reply_that_arrived_while_the_host_was_suspended_is_returned(pair):
    """Guards against a host that wakes, finds the time over, and leaves the reply unread."""
    connection, server_side = pair

    def suspend():
        server_side.sendall(b".")
        time.sleep(0.1)

    eventlet.spawn_after(0, suspend)
    assert connection.send_and_wait(b"x", 50) is not None
    assert not connection.closed


class _RejectingDecoder(Decoder):
    """Wire format in which each byte is the same failure."""

    def __init__(self, failure):
        self._failure = failure

    def feed(self, data):
        return [StatementReply(b"", (), self._failure, "", TransactionState.IDLE, None)] * len(data)


@pytest.mark.parametrize(
    ("failure", "reason"),
    [
        (SessionFailure.BUSY, RefusalReason.SERVER_BUSY),
        (SessionFailure.CONNECTION_LIMIT, RefusalReason.SERVER_BUSY),
        (SessionFailure.WRONG_SERVER, RefusalReason.NO_SERVER),
    ],
)
def test_connection_that_a_full_server_rejects_has_the_reason(failure, reason):
    """Guards against refusals by full servers that count as servers that can't be reached."""
    listener = eventlet.listen(("127.0.0.1", 0))
    accepted = eventlet.spawn(listener.accept)
    eventlet.spawn(lambda: accepted.wait()[0].sendall(b"."))
    decoder = _RejectingDecoder(failure)
    with pytest.raises(OpenError) as refused:
        ServerConnection.open(listener.getsockname(), decoder, b"hi", "w", MonotonicClock())
    assert refused.value.reason is reason
    listener.close()


def test_connection_that_gets_no_file_descriptor_is_not_available(monkeypatch):
    """Guards against an error of the system that is taken for the caller's disconnection."""

    def fail(*_args):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(_connection.socket, "socket", fail)
    with pytest.raises(OpenError, match="too many open files"):
        ServerConnection.open(("127.0.0.1", 1), None, b"", "", MonotonicClock())


def test_connection_is_lost_once_the_owner_has_told_that_it_closes_the_session():
    """Guards against a request that is sent between the notice and the end of the connection."""
    codec = RelayCallerCodec(FailureNames(), lambda: (0, 0))
    listener = eventlet.listen(("127.0.0.1", 0))
    accepted = eventlet.spawn(listener.accept)
    start = codec.reply(b"", TransactionState.IDLE)
    eventlet.spawn(lambda: accepted.wait()[0].sendall(start))
    connection, _ = ServerConnection.open(
        listener.getsockname(), relay_reply_decoder(), b"hi", "", MonotonicClock()
    )
    closed = Event()
    connection.on_idle_close = closed.send
    accepted.wait()[0].sendall(codec.closing_notice(SessionFailure.BUSY, "closing"))
    with eventlet.Timeout(10):
        assert closed.wait() is connection
    assert connection.is_lost()
    listener.close()


@pytest.mark.parametrize(
    "address", [("127.0.0.1", 70_000), ("127.0.\ufffd", 80), ("127.0.0.1", "80")]
)
def test_address_that_names_no_server_is_a_failed_connection(address):
    """The error ended the replacement of a primary, and the sessions of reads."""
    with pytest.raises(OpenError) as failed:
        ServerConnection.open(address, _OneByteDecoder(), b"hi", "w", MonotonicClock())
    assert failed.value.failure is SessionFailure.UNREACHABLE
    assert not failed.value.refused
