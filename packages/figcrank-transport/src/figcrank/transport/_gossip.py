"""Gossip over UDP."""

import eventlet
from absl import logging
from eventlet.green import socket

from figcrank.coordination import GossipReceived, SendGossip
from figcrank.protocol import MessageError
from figcrank.protocol.codecs import MAX_DATAGRAM_BYTES, GossipCodec
from figcrank.transport._addresses import join_address, split_address
from figcrank.transport._driver import HostDriver
from figcrank.transport._telemetry import Telemetry

# Number of datagrams handled before yielding to other greenlets.
RECEIVE_BATCH_SIZE = 32


class GossipSocket:
    """Sends and receives signed datagrams.

    :param address: ``ip:port`` to bind; with port 0 the operating system chooses a free port.
    :param codec: codec that signs datagrams and verifies signatures.
    :param sender: name of this host.
    :param telemetry: metrics.
    """

    def __init__(self, address: str, codec: GossipCodec, sender: str, telemetry: Telemetry) -> None:
        self._codec = codec
        self._sender = sender
        self._telemetry = telemetry
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(split_address(address))
        self._thread: eventlet.greenthread.GreenThread | None = None

    @property
    def address(self) -> str:
        """Return the bound ``ip:port``."""
        return join_address(*self._socket.getsockname()[:2])

    def start(self, driver: HostDriver) -> None:
        """Start receiving datagrams and dispatching them as events."""
        self._thread = eventlet.spawn(self._receive, driver)

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        if self._thread is not None:
            self._thread.kill()
        self._socket.close()

    def send(self, action: SendGossip) -> None:
        """Send a datagram, or drop it if that would block or fails."""
        datagram = self._codec.encode(self._sender, action.message)
        try:
            self._socket.fd.sendto(datagram, split_address(action.address))
        except (OSError, ValueError):
            self._telemetry.count("gossip.unsent")

    def _receive(self, driver: HostDriver) -> None:
        received_count = 0
        while True:
            try:
                datagram, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                self._telemetry.count("gossip.receive_failed")
                eventlet.sleep(0)
                continue
            self._handle_datagram(datagram, driver)
            received_count += 1
            if received_count % RECEIVE_BATCH_SIZE == 0:
                eventlet.sleep(0)

    def _handle_datagram(self, datagram: bytes, driver: HostDriver) -> None:
        try:
            envelope = self._codec.decode(datagram)
        except MessageError as error:
            self._telemetry.count(f"gossip.dropped.{error.reason.replace(' ', '_')}")
            return
        try:
            driver.dispatch(GossipReceived(envelope.sender, envelope.message))
        except Exception:
            logging.exception("Failed to handle a gossip message.")
