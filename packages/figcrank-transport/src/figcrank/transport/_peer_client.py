"""HTTP client for requests to other hosts."""

from dataclasses import replace

from figcrank.coordination import CallPeer, PeerFailed, PeerReplied
from figcrank.protocol import MessageError
from figcrank.protocol.codecs import GossipCodec, decode_peer_reply, encode
from figcrank.transport._driver import HostDriver, spawn_logged
from figcrank.transport._http_client import HttpCallError, HttpClient, HttpReply
from figcrank.transport._peer_api import (
    PEER_PATH,
    SENDER_HEADER,
    SIGNATURE_HEADER,
    signed_bytes,
    with_traceparent,
)
from figcrank.transport._telemetry import Telemetry

HTTP_OK = 200


class PeerClient:
    """Sends peer requests on behalf of the core, each in a separate greenlet.

    :param driver: the host driver.
    :param codec: codec that signs requests.
    :param sender: name of this host.
    :param telemetry: traces and metrics.
    """

    def __init__(
        self, driver: HostDriver, codec: GossipCodec, sender: str, telemetry: Telemetry
    ) -> None:
        self._driver = driver
        self._codec = codec
        self._sender = sender
        self._telemetry = telemetry
        self._http = HttpClient()

    def call(self, action: CallPeer) -> None:
        """Send a request; its reply or failure is dispatched as an event."""
        spawn_logged(self._call, action)

    def _call(self, action: CallPeer) -> None:
        traceparent = getattr(action.request, "traceparent", "")
        span = self._telemetry.start_span("peer.call", traceparent)
        event = self._exchange(replace(action, request=with_traceparent(action.request, span)))
        span.end(host=action.host.name, outcome=type(event).__name__)
        self._driver.dispatch(event)

    def _exchange(self, action: CallPeer) -> PeerReplied | PeerFailed:
        try:
            reply = self._post(action)
        except HttpCallError as error:
            self._telemetry.count("peer.failed")
            return PeerFailed(action.call_id, error.sent)
        if reply.status != HTTP_OK:
            self._telemetry.count("peer.refused")
            return PeerFailed(action.call_id, sent=True)
        try:
            return PeerReplied(action.call_id, decode_peer_reply(reply.body))
        except MessageError:
            self._telemetry.count("peer.garbled")
            return PeerFailed(action.call_id, sent=True)

    def _post(self, action: CallPeer) -> HttpReply:
        body = encode(action.request)
        headers = {
            "Content-Type": "application/json",
            SENDER_HEADER: self._sender,
            SIGNATURE_HEADER: self._codec.sign(signed_bytes(self._sender, body)),
        }
        address = action.host.peer_address
        return self._http.post(address, PEER_PATH, body, headers, action.timeout_ms)
