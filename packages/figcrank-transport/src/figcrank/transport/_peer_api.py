"""The HTTP API for other hosts of the fleet."""

import falcon
import msgspec

from figcrank.coordination import PeerRequestReceived, RespondPeer
from figcrank.protocol import Failure, FailureKind, MessageError, PeerRequest
from figcrank.protocol.codecs import GossipCodec, decode_peer_request
from figcrank.transport._calls import CallTable
from figcrank.transport._driver import HostDriver
from figcrank.transport._http_server import (
    HttpRequestError,
    bad_request,
    new_app,
    read_body,
    write_failure,
    write_json,
)
from figcrank.transport._telemetry import Span, Telemetry

PEER_PATH = "/v1/peer"
SIGNATURE_HEADER = "Figcrank-Signature"
SENDER_HEADER = "Figcrank-Sender"
# Timeout for requests without a timeout field.
DEFAULT_TIMEOUT_MS = 5_000
ANSWER_GRACE_MS = 1_000


class PeerApi:
    """Handles signed requests from other hosts.

    :param driver: the host driver.
    :param codec: codec that verifies signatures.
    :param telemetry: traces and metrics.
    """

    def __init__(self, driver: HostDriver, codec: GossipCodec, telemetry: Telemetry) -> None:
        self._driver = driver
        self._codec = codec
        self._telemetry = telemetry
        self._calls = CallTable()
        self.app = new_app()
        self.app.add_route(PEER_PATH, self)

    def give_up(self) -> None:
        """Answer the requests in progress with what is known: they may have run."""
        self._calls.give_up()

    def resolve(self, action: RespondPeer) -> None:
        """Pass a reply to the request that waits for it."""
        self._calls.resolve(action.call_id, action.reply)

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Handle a peer request and respond with the core's reply."""
        body = read_body(request)
        sender = request.get_header(SENDER_HEADER) or ""
        self._check_signature(request, sender, body)
        try:
            message = decode_peer_request(body)
        except MessageError as error:
            self._telemetry.count("peer.garbled")
            raise bad_request(str(error)) from error
        traceparent = getattr(message, "traceparent", "")
        span = self._telemetry.start_span("peer.serve", traceparent)
        try:
            self._dispatch_and_respond(sender, with_traceparent(message, span), response)
        finally:
            span.end(sender=sender, request=type(message).__name__)

    def _check_signature(self, request: falcon.Request, sender: str, body: bytes) -> None:
        if self._codec.is_authentic(_signature(request), signed_bytes(sender, body)):
            return
        self._telemetry.count("peer.not_authentic")
        failure = Failure.not_run(
            FailureKind.BAD_REQUEST,
            "The signature is missing or was not made with a secret of this fleet.",
        )
        raise HttpRequestError(403, failure)

    def _dispatch_and_respond(
        self, sender: str, message: PeerRequest, response: falcon.Response
    ) -> None:
        call_id = self._calls.open()
        timeout_ms = getattr(message, "timeout_ms", DEFAULT_TIMEOUT_MS)
        try:
            self._driver.dispatch(PeerRequestReceived(call_id, sender, message))
            reply = self._calls.wait(call_id, timeout_ms + ANSWER_GRACE_MS)
        finally:
            self._calls.discard(call_id)
        if reply is None:
            write_failure(response, Failure.unknown("The host did not answer in time."))
            return
        write_json(response, reply)


def with_traceparent(message: PeerRequest, span: Span) -> PeerRequest:
    """Return ``message`` with ``span`` as the parent span, if it has a trace context."""
    if not hasattr(message, "traceparent"):
        return message
    return msgspec.structs.replace(message, traceparent=span.traceparent)


def signed_bytes(sender: str, body: bytes) -> bytes:
    """Return the bytes to sign: the sender's name and the body."""
    return sender.encode() + b"\n" + body


def _signature(request: falcon.Request) -> bytes:
    try:
        return bytes.fromhex(request.get_header(SIGNATURE_HEADER) or "")
    except ValueError:
        return b""
