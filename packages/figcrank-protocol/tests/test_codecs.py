import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figcrank.protocol import (
    ConfigPull,
    Digest,
    FailureKind,
    MessageError,
    Ping,
    RequestError,
    StatusQuery,
)
from figcrank.protocol.codecs import (
    MAX_DATAGRAM_BYTES,
    GossipCodec,
    SessionCodec,
    decode_operator_reply,
    decode_operator_request,
    decode_peer_reply,
    decode_peer_request,
    encode,
)
from figcrank.state import Position, Session

OLD_SECRET, NEW_SECRET = "old secret of the fleet", "new secret of the fleet"
PING = Ping(7, Digest(3, 0))
EXAMPLE_SETTINGS = settings(max_examples=200, derandomize=True, deadline=None)


@pytest.fixture(scope="module")
def codec():
    return GossipCodec("fleet-1", (NEW_SECRET,))


@pytest.fixture(scope="module")
def datagram(codec):
    return codec.encode("host-1", PING)


def test_datagram_round_trip_keeps_sender_and_message(codec, datagram):
    envelope = codec.decode(datagram)
    assert (envelope.sender, envelope.message) == ("host-1", PING)


@pytest.mark.parametrize(
    ("signing_secrets", "verifying_secrets"),
    [
        ((OLD_SECRET, NEW_SECRET), (NEW_SECRET, OLD_SECRET)),
        ((NEW_SECRET, OLD_SECRET), (OLD_SECRET, NEW_SECRET)),
        ((OLD_SECRET,), (NEW_SECRET, OLD_SECRET)),
    ],
)
def test_datagram_verifies_during_secret_rotation(signing_secrets, verifying_secrets):
    datagram = GossipCodec("fleet-1", signing_secrets).encode("host-1", PING)
    assert GossipCodec("fleet-1", verifying_secrets).decode(datagram).message == PING


@pytest.mark.parametrize(
    ("fleet", "secrets", "reason"),
    [("fleet-1", (OLD_SECRET,), "not authentic"), ("fleet-2", (NEW_SECRET,), "unknown fleet")],
)
def test_datagram_with_other_secret_or_fleet_is_rejected(datagram, fleet, secrets, reason):
    with pytest.raises(MessageError) as caught:
        GossipCodec(fleet, secrets).decode(datagram)
    assert caught.value.reason == reason


def test_oversized_datagram_is_rejected(codec):
    with pytest.raises(MessageError) as caught:
        codec.decode(b"0" * (MAX_DATAGRAM_BYTES + 1))
    assert caught.value.reason == "oversized"


@EXAMPLE_SETTINGS
@given(datagram=st.binary(max_size=200))
def test_arbitrary_datagram_is_rejected(datagram):
    with pytest.raises(MessageError):
        GossipCodec("fleet-1", (NEW_SECRET,)).decode(datagram)


@EXAMPLE_SETTINGS
@given(data=st.data())
def test_tampered_datagram_is_rejected(data):
    codec = GossipCodec("fleet-1", (NEW_SECRET,))
    datagram = bytearray(codec.encode("host-1", PING))
    index = data.draw(st.integers(0, len(datagram) - 1))
    datagram[index] ^= data.draw(st.integers(1, 255))
    with pytest.raises(MessageError):
        codec.decode(bytes(datagram))


@EXAMPLE_SETTINGS
@given(
    body=st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["type", "seq", "digest", "since"]), inner, max_size=4),
        max_leaves=8,
    )
)
def test_signed_datagram_with_malformed_message_is_rejected(body):
    codec = GossipCodec("fleet-1", (NEW_SECRET,))
    text = msgspec.json.encode({"fleet": "fleet-1", "sender": "host-1", "message": body})
    with pytest.raises(MessageError):
        codec.decode(bytes.fromhex(codec.sign(text)) + text)


@EXAMPLE_SETTINGS
@given(body=st.binary(max_size=100))
@pytest.mark.parametrize(
    "decode",
    [decode_peer_request, decode_peer_reply, decode_operator_request, decode_operator_reply],
)
def test_arbitrary_body_is_rejected(decode, body):
    with pytest.raises(MessageError):
        decode(body)


@pytest.mark.parametrize(
    ("message", "decode"),
    [(ConfigPull(4), decode_peer_request), (StatusQuery(), decode_operator_request)],
)
def test_body_round_trip(message, decode):
    assert decode(encode(message)) == message


def test_operator_request_is_rejected_as_peer_request():
    with pytest.raises(MessageError):
        decode_peer_request(encode(StatusQuery()))


def test_session_token_round_trip():
    session = Session("crew-1").advanced("roster-1", Position(2, 7))
    codec = SessionCodec((OLD_SECRET, NEW_SECRET))
    assert codec.decode(codec.encode(session)) == session


@EXAMPLE_SETTINGS
@given(token=st.text(max_size=80))
def test_arbitrary_token_is_rejected(token):
    with pytest.raises(RequestError) as caught:
        SessionCodec((NEW_SECRET,)).decode(token)
    assert caught.value.failure.kind is FailureKind.BAD_SESSION


def test_token_with_other_secret_is_rejected():
    token = SessionCodec((OLD_SECRET,)).encode(Session("crew-1"))
    with pytest.raises(RequestError):
        SessionCodec((NEW_SECRET,)).decode(token)
