import pytest
from hypothesis import given
from hypothesis import strategies as st

from figcrank.protocol.owners import Owner, OwnerStatus, decode_status, encode_status
from figcrank.protocol.relays import (
    RelayCallerCodec,
    RelayProtocolError,
    RelayReply,
    encode_request,
    encode_start,
    relay_reply_decoder,
)
from figcrank.protocol.sessions import (
    ConfigurationSeen,
    Request,
    SessionFailure,
    SessionStart,
    TransactionState,
    Verb,
)


class FakeCallerCodec:
    def completion(self):
        return b"done"

    def failure(self, failure, detail):
        return f"{failure.name} {detail}".encode()


def owner_codec(version=7, timeout_ms=300):
    return RelayCallerCodec(FakeCallerCodec(), lambda: (version, timeout_ms))


def feed_in_pieces(decoder, data, size):
    return [m for at in range(0, len(data), size) for m in decoder.feed(data[at : at + size])]


requests = st.builds(
    Request,
    st.text(),
    st.sampled_from(Verb),
    st.text(),
    st.text(),
    st.text(),
    st.booleans(),
)


@given(requests, st.integers(0, 10**9), st.integers(1, 40))
def test_request_is_received_as_it_was_sent_after_the_seen_version(request, version, size):
    data = encode_start(SessionStart("db", "key"), version) + encode_request(request, version)
    messages = feed_in_pieces(owner_codec().decoder(), data, size)
    seen = ConfigurationSeen(version)
    assert messages == [seen, SessionStart("db", "key"), seen, request]


@given(st.lists(st.binary()), st.sampled_from(TransactionState), st.integers(1, 40))
def test_replies_are_received_as_they_were_sent(bodies, state, size):
    data = b"".join(owner_codec().reply(body, state) for body in bodies)
    replies = feed_in_pieces(relay_reply_decoder(), data, size)
    assert replies == [RelayReply(body, state, False, 7, 300) for body in bodies]


def test_rejected_handshake_ends_the_session():
    data = owner_codec().rejection(SessionFailure.UNAUTHENTICATED, "db")
    (reply,) = relay_reply_decoder().feed(data)
    assert reply.ended
    assert reply.body == b"UNAUTHENTICATED db"


@pytest.mark.parametrize("line", [b"x", b"{}", b'[1,"run"]', b'["a","start","b","c"]', b"[" * 9999])
def test_unreadable_message_of_a_relay_is_an_error(line):
    with pytest.raises(RelayProtocolError):
        owner_codec().decoder().feed(line + b"\n")


@pytest.mark.parametrize(
    "line",
    [b"x", b"[1]", b'[1,"NO_STATE",false,1,1]', b'["a","IDLE",0,1,1]', b'[1,"IDLE",0,"b",1]'],
)
def test_unreadable_reply_of_an_owner_is_an_error(line):
    with pytest.raises(RelayProtocolError):
        relay_reply_decoder().feed(line + b"\n")


def test_status_is_received_as_it_was_sent():
    owners = Owner("a", ("10.0.0.1", 7000), "zone-a"), Owner("b", ("10.0.0.2", 7000), "")
    status = OwnerStatus("a", True, 12, owners)
    assert decode_status(encode_status(status)) == status


@given(st.binary(max_size=200))
def test_unreadable_status_is_an_error(data):
    with pytest.raises(ValueError, match="is not a status"):
        decode_status(data)


def test_key_of_an_unreadable_handshake_is_not_quoted_in_the_error():
    """The error is logged."""
    with pytest.raises(RelayProtocolError) as caught:
        owner_codec().decoder().feed(b'[1,"start","db","secret-key",2]\n')
    assert "secret" not in str(caught.value)
