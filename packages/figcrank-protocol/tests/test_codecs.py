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

OLD, NEW = "old secret of the fleet", "new secret of the fleet"
PING = Ping(7, Digest(3, 0))
EXAMPLES = settings(max_examples=200, derandomize=True, deadline=None)


@pytest.fixture(scope="module")
def codec():
    return GossipCodec("fleet-1", (NEW,))


@pytest.fixture(scope="module")
def datagram(codec):
    return codec.encode("host-1", PING)


def test_datagram_comes_back_with_its_sender(codec, datagram):
    envelope = codec.decode(datagram)
    assert (envelope.sender, envelope.message) == ("host-1", PING)


@pytest.mark.parametrize(
    ("signing", "verifying"),
    [((OLD, NEW), (NEW, OLD)), ((NEW, OLD), (OLD, NEW)), ((OLD,), (NEW, OLD))],
)
def test_two_secrets_are_valid_during_a_rotation(signing, verifying):
    datagram = GossipCodec("fleet-1", signing).encode("host-1", PING)
    assert GossipCodec("fleet-1", verifying).decode(datagram).message == PING


@pytest.mark.parametrize(
    ("fleet", "secrets", "reason"),
    [("fleet-1", (OLD,), "not authentic"), ("fleet-2", (NEW,), "unknown fleet")],
)
def test_foreign_datagram_is_refused(datagram, fleet, secrets, reason):
    with pytest.raises(MessageError) as caught:
        GossipCodec(fleet, secrets).decode(datagram)
    assert caught.value.reason == reason


def test_oversized_datagram_is_refused(codec):
    with pytest.raises(MessageError) as caught:
        codec.decode(b"0" * (MAX_DATAGRAM_BYTES + 1))
    assert caught.value.reason == "oversized"


@EXAMPLES
@given(datagram=st.binary(max_size=200))
def test_arbitrary_datagram_is_refused(datagram):
    with pytest.raises(MessageError):
        GossipCodec("fleet-1", (NEW,)).decode(datagram)


@EXAMPLES
@given(data=st.data())
def test_changed_datagram_is_refused(data):
    codec = GossipCodec("fleet-1", (NEW,))
    datagram = bytearray(codec.encode("host-1", PING))
    place = data.draw(st.integers(0, len(datagram) - 1))
    datagram[place] ^= data.draw(st.integers(1, 255))
    with pytest.raises(MessageError):
        codec.decode(bytes(datagram))


@EXAMPLES
@given(
    body=st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["type", "seq", "digest", "since"]), inner, max_size=4),
        max_leaves=8,
    )
)
def test_authentic_but_senseless_message_is_refused(body):
    codec = GossipCodec("fleet-1", (NEW,))
    text = msgspec.json.encode({"fleet": "fleet-1", "sender": "host-1", "message": body})
    with pytest.raises(MessageError):
        codec.decode(bytes.fromhex(codec.sign(text)) + text)


@EXAMPLES
@given(body=st.binary(max_size=100))
@pytest.mark.parametrize(
    "decode",
    [decode_peer_request, decode_peer_reply, decode_operator_request, decode_operator_reply],
)
def test_arbitrary_body_is_refused(decode, body):
    with pytest.raises(MessageError):
        decode(body)


@pytest.mark.parametrize(
    ("message", "decode"),
    [(ConfigPull(4), decode_peer_request), (StatusQuery(), decode_operator_request)],
)
def test_body_comes_back(message, decode):
    assert decode(encode(message)) == message


def test_kind_of_another_hop_is_refused():
    with pytest.raises(MessageError):
        decode_peer_request(encode(StatusQuery()))


def test_session_comes_back_from_its_token():
    session = Session("crew-1").advanced("roster-1", Position(2, 7))
    codec = SessionCodec((OLD, NEW))
    assert codec.decode(codec.encode(session)) == session


@EXAMPLES
@given(token=st.text(max_size=80))
def test_arbitrary_token_is_refused(token):
    with pytest.raises(RequestError) as caught:
        SessionCodec((NEW,)).decode(token)
    assert caught.value.failure.kind is FailureKind.BAD_SESSION


def test_token_of_another_fleet_is_refused():
    token = SessionCodec((OLD,)).encode(Session("crew-1"))
    with pytest.raises(RequestError):
        SessionCodec((NEW,)).decode(token)
