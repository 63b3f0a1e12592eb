import json

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
    StartOptions,
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


OWNERS = Owner("a", ("10.0.0.1", 7000), "zone-a"), Owner("b", ("10.0.0.2", 7000), "zone-b")


@given(st.builds(StartOptions, st.text(), st.booleans(), st.booleans()), st.integers(1, 40))
def test_options_of_a_start_are_received_as_they_were_sent(options, size):
    start = SessionStart("db", "key")
    messages = feed_in_pieces(owner_codec().decoder(), encode_start(start, 3, options), size)
    assert messages == [ConfigurationSeen(3), options, start]


def test_start_without_options_is_what_an_earlier_release_reads():
    """Guards against an owner of an earlier release that refuses the sessions of new relays."""
    seen_version, kind, *fields = json.loads(encode_start(SessionStart("db", "key"), 3))
    assert (seen_version, kind, fields) == (3, "start", ["db", "key"])


def test_unknown_options_of_a_later_release_are_ignored():
    line = b'[3,"start","db","key",{"zone":"z","later":[1]}]\n'
    assert owner_codec().decoder().feed(line)[1] == StartOptions("z")


@given(st.integers(1, 40))
def test_redirect_is_received_as_it_was_sent(size):
    data = owner_codec().redirect(OWNERS)
    (reply,) = feed_in_pieces(relay_reply_decoder(), data, size)
    assert reply == RelayReply(b"", TransactionState.IDLE, True, 7, 300, OWNERS)


@pytest.mark.parametrize("accepts", [True, False])
def test_reply_that_is_no_redirect_is_what_an_earlier_release_reads(accepts):
    """Guards against relays of an earlier release that can't read the replies of a new owner."""
    codec = owner_codec()
    data = (
        codec.reply(b"", TransactionState.IDLE)
        if accepts
        else codec.rejection(SessionFailure.BUSY, "db")
    )
    assert len(json.loads(data.partition(b"\n")[0])) == 5


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


@pytest.mark.parametrize("accepts", [True, False])
def test_status_of_an_owner_that_reads_options_is_what_an_earlier_release_reads(accepts):
    """Guards against relays of an earlier release that find no owner among new ones."""
    data = encode_status(OwnerStatus("a", accepts, 12, OWNERS, reads_options=True))
    host, accepts_sessions, version, owners = json.loads(data)  # as the earlier release does
    assert (host, bool(accepts_sessions), version, len(owners)) == ("a", accepts, 12, 2)
    assert decode_status(data).reads_options is accepts


@given(st.binary(max_size=200))
def test_unreadable_status_is_an_error(data):
    with pytest.raises(ValueError, match="is not a status"):
        decode_status(data)


def test_key_of_an_unreadable_handshake_is_not_quoted_in_the_error():
    """The error is logged."""
    with pytest.raises(RelayProtocolError) as caught:
        owner_codec().decoder().feed(b'[1,"start","db","secret-key",2]\n')
    assert "secret" not in str(caught.value)
