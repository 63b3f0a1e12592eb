"""Connections of callers that stop reading."""

import eventlet
import pytest
from eventlet.green import socket

from figcrank.protocol.sessions import TransactionState
from figcrank.transport.streams import _caller_connection
from figcrank.transport.streams._caller_connection import CallerConnection
from figcrank.transport.streams._metrics import Metrics

LARGE_REPLY = b"x" * 20_000_000  # more than the sockets buffer


class FakeCodec:
    def decoder(self):
        return None


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


@pytest.fixture
def connection(monkeypatch):
    """Return a connection whose caller reads nothing."""
    monkeypatch.setattr(_caller_connection, "SEND_TIMEOUT_MS", 50)
    here, caller = socket.socketpair()
    yield SendingConnection(here, FakeCodec(), set(), Metrics())
    caller.close()


def test_session_of_a_caller_that_reads_nothing_gives_back_what_it_holds(connection):
    """Guards against a transaction that keeps its connection until its caller reads again."""
    with eventlet.Timeout(10):
        connection.run()
    assert connection.released
