"""Tests requests between hosts and their authentication."""

import eventlet
import pytest
from eventlet.event import Event

from figcrank.coordination import (
    CallPeer,
    PeerFailed,
    PeerReplied,
    PeerRequestReceived,
    RespondPeer,
)
from figcrank.protocol import ConfigPull, ConfigPush
from figcrank.protocol.codecs import GossipCodec, encode
from figcrank.state import Host, ManualClock
from figcrank.transport import HostDriver
from figcrank.transport._http_client import HttpClient
from figcrank.transport._http_server import HttpServer
from figcrank.transport._peer_api import PEER_PATH, PeerApi
from figcrank.transport._peer_client import PeerClient
from figcrank.transport._telemetry import Telemetry

REPLY = ConfigPush(0, 3, ())


class AnsweringCore:
    """Answers peer requests and stores the event that ends a call."""

    def __init__(self):
        self.requests = []
        self.outcome = Event()

    def handle(self, event, now_ms):
        if isinstance(event, PeerRequestReceived):
            self.requests.append((event.sender, event.request))
            return (RespondPeer(event.call_id, REPLY),)
        self.outcome.send(event)
        return ()


class Peer:
    def __init__(self, secret="secret-of-the-fleet"):
        self.core = AnsweringCore()
        driver = HostDriver(self.core, ManualClock(), 10)
        codec = GossipCodec("test", (secret,))
        telemetry = Telemetry("host", "az-1")
        self.api = PeerApi(driver, codec, telemetry)
        self.client = PeerClient(driver, codec, "caller", telemetry)
        driver.register_handlers({RespondPeer: self.api.resolve})
        self.server = HttpServer("127.0.0.1:0")

    def host(self):
        return Host("peer", "az-1", "127.0.0.1:1", self.server.address)

    def send_request(self, host, timeout_ms=5_000):
        self.client.call(CallPeer(9, host, ConfigPull(0), timeout_ms))
        with eventlet.Timeout(10):
            return self.core.outcome.wait()


@pytest.fixture
def serving_peer():
    peer = Peer()
    peer.server.start(peer.api.app)
    yield peer
    peer.server.stop()


def test_request_is_answered(serving_peer):
    assert Peer().send_request(serving_peer.host()) == PeerReplied(9, REPLY)
    assert serving_peer.core.requests == [("caller", ConfigPull(0))]


def test_request_signed_with_another_secret_is_refused(serving_peer):
    assert Peer("secret-of-another").send_request(serving_peer.host()) == PeerFailed(9, sent=True)
    assert serving_peer.core.requests == []


def test_unsigned_request_is_forbidden(serving_peer):
    body = encode(ConfigPull(0))
    for headers in ({}, {"Figcrank-Signature": "zz"}):
        reply = HttpClient().post(serving_peer.server.address, PEER_PATH, body, headers, 5_000)
        assert reply.status == 403
    assert serving_peer.core.requests == []


def test_signature_covers_the_sender(serving_peer):
    body = encode(ConfigPull(0))
    codec = GossipCodec("test", ("secret-of-the-fleet",))
    headers = {
        "Figcrank-Signature": codec.sign(b"one\n" + body),
        "Figcrank-Sender": "another",
    }
    reply = HttpClient().post(serving_peer.server.address, PEER_PATH, body, headers, 5_000)
    assert reply.status == 403


def test_request_to_a_stopped_peer_was_not_sent():
    stopped_peer = Peer()
    host = stopped_peer.host()
    stopped_peer.server.stop()
    assert Peer().send_request(host) == PeerFailed(9, sent=False)
