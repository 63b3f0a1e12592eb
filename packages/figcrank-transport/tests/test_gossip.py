"""Tests gossip datagrams between hosts."""

import socket

import eventlet
import pytest
from eventlet.event import Event

from figcrank.coordination import GossipReceived, SendGossip
from figcrank.protocol import ConfigPull
from figcrank.protocol.codecs import GossipCodec
from figcrank.transport._gossip import GossipSocket


class CountingTelemetry:
    def __init__(self):
        self.counted = []

    def count(self, name, amount=1):
        self.counted.append(name)


class RecordingDriver:
    def __init__(self):
        self.event = Event()

    def dispatch(self, event):
        self.event.send(event)


@pytest.fixture
def telemetry():
    return CountingTelemetry()


@pytest.fixture
def receiver(telemetry):
    gossip = GossipSocket("127.0.0.1:0", GossipCodec("test", ("secret",)), "receiver", telemetry)
    yield gossip
    gossip.stop()


def sender_of(fleet, secret):
    codec = GossipCodec(fleet, (secret,))
    return GossipSocket("127.0.0.1:0", codec, "sender", CountingTelemetry())


def test_valid_datagram_arrives_after_invalid_ones_are_counted(receiver, telemetry):
    driver = RecordingDriver()
    receiver.start(driver)
    plain = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    ip, port = receiver.address.split(":")
    for datagram in (b"", b"x" * 60_001, b"garbled"):
        plain.sendto(datagram, (ip, int(port)))
    plain.close()
    for fleet, secret in (("other", "secret"), ("test", "wrong"), ("test", "secret")):
        sender = sender_of(fleet, secret)
        sender.send(SendGossip(receiver.address, ConfigPull(5)))
        sender.stop()
    with eventlet.Timeout(10):
        received = driver.event.wait()
    assert received == GossipReceived("sender", ConfigPull(5))
    assert sorted(telemetry.counted) == [
        "gossip.dropped.not_authentic",
        "gossip.dropped.not_authentic",
        "gossip.dropped.not_authentic",
        "gossip.dropped.oversized",
        "gossip.dropped.unknown_fleet",
    ]
