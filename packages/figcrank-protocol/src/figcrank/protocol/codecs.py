"""JSON encoding of all messages, and signing of session tokens, peer requests and datagrams."""

import hashlib
import hmac
from typing import Any

import itsdangerous
import msgspec

from figcrank.protocol._failures import Failure, FailureKind, MessageError, RequestError
from figcrank.protocol._operator import OperatorReply, OperatorRequest
from figcrank.protocol._peer import Gossip, PeerReply, PeerRequest
from figcrank.state import Position, Session

MAX_DATAGRAM_BYTES = 60_000
_MAC_BYTES = 16
_SESSION_SALT = "figcrank.session"


class Envelope(msgspec.Struct, frozen=True):
    """A gossip message with its origin.

    :param fleet: name of the sender's fleet.
    :param sender: name of the sending host.
    :param message: the message itself.
    """

    fleet: str
    sender: str
    message: Gossip


_envelope_decoder = msgspec.json.Decoder(Envelope)
_peer_request_decoder = msgspec.json.Decoder(PeerRequest)
_peer_reply_decoder = msgspec.json.Decoder(PeerReply)
_operator_request_decoder = msgspec.json.Decoder(OperatorRequest)
_operator_reply_decoder = msgspec.json.Decoder(OperatorReply)


class GossipCodec:
    """Encodes and signs gossip datagrams, and verifies and decodes them.

    :param fleet: name of the fleet; messages from other fleets are rejected.
    :param secrets: shared secrets; the first one signs, all of them verify.
    """

    def __init__(self, fleet: str, secrets: tuple[str, ...]) -> None:
        self._fleet = fleet
        self._secrets = tuple(secret.encode() for secret in secrets)

    def encode(self, sender: str, message: Gossip) -> bytes:
        """Return ``message`` as a signed datagram."""
        body = msgspec.json.encode(Envelope(self._fleet, sender, message))
        return _mac(self._secrets[0], body) + body

    def decode(self, datagram: bytes) -> Envelope:
        """Return the message in ``datagram`` after verifying its signature and fleet.

        :raises MessageError: if the datagram is too large, has no valid signature, is malformed or
            comes from another fleet.
        """
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise MessageError("oversized")
        mac, body = datagram[:_MAC_BYTES], datagram[_MAC_BYTES:]
        if not self.is_authentic(mac, body):
            raise MessageError("not authentic")
        try:
            envelope = _envelope_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise MessageError("garbled") from error
        if envelope.fleet != self._fleet:
            raise MessageError("unknown fleet")
        return envelope

    def sign(self, body: bytes) -> str:
        """Return the hexadecimal signature of a peer request's body."""
        return _mac(self._secrets[0], body).hex()

    def is_authentic(self, mac: bytes, body: bytes) -> bool:
        """Return whether ``mac`` is a valid signature of ``body`` under one of the secrets."""
        return any(hmac.compare_digest(mac, _mac(secret, body)) for secret in self._secrets)


class SessionCodec:
    """Encodes and signs session tokens, and verifies and decodes them.

    :param secrets: signing secrets; all of them verify, and the last one signs, as
        ``itsdangerous`` does.
    """

    def __init__(self, secrets: tuple[str, ...]) -> None:
        self._serializer = itsdangerous.URLSafeSerializer(list(secrets), salt=_SESSION_SALT)

    def encode(self, session: Session) -> str:
        """Return ``session`` as a signed token."""
        entries = [[e.group, e.position.term, e.position.offset] for e in session.positions]
        return self._serializer.dumps([session.workspace, entries])

    def decode(self, token: str) -> Session:
        """Return the session in ``token``.

        :raises RequestError: if the token has no valid signature of this fleet.
        """
        try:
            workspace, entries = self._serializer.loads(token)
        except itsdangerous.BadData as error:
            message = "The session token is malformed or was not signed by this fleet."
            failure = Failure.not_run(FailureKind.BAD_SESSION, message)
            raise RequestError(failure) from error
        session = Session(workspace)
        for group, term, offset in entries:
            session = session.advanced(group, Position(term, offset))
        return session


def encode(message: Any) -> bytes:
    """Return any message or state value as JSON."""
    return msgspec.json.encode(message)


def decode_peer_request(body: bytes) -> PeerRequest:
    """Return the peer request in ``body``.

    :raises MessageError: if ``body`` can't be decoded as one.
    """
    return _decode(_peer_request_decoder, body)


def decode_peer_reply(body: bytes) -> PeerReply:
    """Return the peer reply in ``body``.

    :raises MessageError: if ``body`` can't be decoded as one.
    """
    return _decode(_peer_reply_decoder, body)


def decode_operator_request(body: bytes) -> OperatorRequest:
    """Return the operator request in ``body``.

    :raises MessageError: if ``body`` can't be decoded as one.
    """
    return _decode(_operator_request_decoder, body)


def decode_operator_reply(body: bytes) -> OperatorReply:
    """Return the operator reply in ``body``.

    :raises MessageError: if ``body`` can't be decoded as one.
    """
    return _decode(_operator_reply_decoder, body)


def _decode(decoder: msgspec.json.Decoder, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MessageError("garbled") from error


def _mac(secret: bytes, body: bytes) -> bytes:
    return hmac.new(secret, body, hashlib.sha256).digest()[:_MAC_BYTES]
