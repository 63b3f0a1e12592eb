import eventlet
import pytest
from eventlet.green import socket

from figcrank.protocol.sessions import Decoder, ServerReply, TransactionState
from figcrank.transport import MonotonicClock
from figcrank.transport.streams._connection import ServerConnection


class OneByteCodec:
    """A wire format in which each byte is an answer."""

    def decoder(self):
        return _OneByteDecoder()


class _OneByteDecoder(Decoder):
    def feed(self, data):
        return [ServerReply(b"", (), None, "", TransactionState.IDLE, None) for _ in data]


@pytest.fixture
def pair():
    """A connection and the server's side of it."""
    listener = eventlet.listen(("127.0.0.1", 0))
    accepted = eventlet.spawn(listener.accept)
    eventlet.spawn(lambda: accepted.wait()[0].sendall(b"."))
    address = listener.getsockname()
    connection, _ = ServerConnection.open(address, OneByteCodec(), b"hi", "w", MonotonicClock())
    yield connection, accepted.wait()[0]
    connection.close()
    listener.close()


def test_a_connection_that_the_server_ended_is_known_before_anybody_reads_the_end(pair):
    """Seen beside a busy machine: a write was sent on it, and its caller told of a doubt."""
    connection, server_side = pair
    assert not connection.is_lost()
    server_side.shutdown(socket.SHUT_RDWR)
    server_side.close()
    assert not connection.closed
    assert connection.is_lost()


def test_a_statement_on_a_closed_connection_is_answered_at_once_with_nothing(pair):
    connection, _ = pair
    connection.close()
    assert connection.is_lost()
    assert connection.send_and_wait(b"x", 1_000) is None


def test_a_server_that_stays_silent_ends_the_connection_after_the_time(pair):
    connection, _ = pair
    assert connection.send_and_wait(b"x", 20) is None
    assert connection.closed
