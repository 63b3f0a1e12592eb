import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figcrank.protocol.compact_heartbeats import (
    COMPACT_MARK,
    MAX_ELEMENTS_BYTES,
    NameOrder,
    decode_datagram,
    encode_compact,
)
from figcrank.protocol.heartbeats import Heartbeat, HeartbeatError, encode_heartbeat

ORDER = NameOrder(["a", "b", "c"])
HEARTBEAT = Heartbeat("h", 1, 2, spent={"a": (1, 1), "c": (5, 9)}, partial=True)


def find_order(checksum):
    return ORDER if checksum == ORDER.checksum else None


def compress(data):
    compressor = zlib.compressobj(6, zlib.DEFLATED, -zlib.MAX_WBITS)
    return COMPACT_MARK + compressor.compress(data) + compressor.flush()


@pytest.mark.parametrize("order", [ORDER, None, NameOrder(["a"])])
def test_round_trip_with_and_without_a_common_order(order):
    assert decode_datagram(encode_compact(HEARTBEAT, order), find_order) == HEARTBEAT


def test_plain_datagram_is_decoded_too():
    assert decode_datagram(encode_heartbeat(HEARTBEAT), find_order) == HEARTBEAT


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected(data):
    with pytest.raises(HeartbeatError):
        decode_datagram(COMPACT_MARK + data, find_order)


@given(st.recursive(st.none() | st.integers(), st.lists, max_leaves=12))
def test_arbitrary_documents_are_rejected(document):
    with pytest.raises(HeartbeatError):
        decode_datagram(compress(repr(document).replace("None", "null").encode()), find_order)


@pytest.mark.parametrize("numbers", [[0, 1], [3, 1, 0], [-1, 1, 0], [0, "x", 0], [None, 1, 1]])
def test_invalid_numbers_of_workspaces_are_rejected(numbers):
    """Guards against counts that are recorded for another workspace."""
    document = (
        '[["h",1,2,-1,0],[0,0,0,-1],[3,-1],[{},[],{},[]],{},[0,['
        + ",".join(
            "null" if n is None else f'"{n}"' if n == "x" else str(n)
            for n in [ORDER.checksum, *numbers]
        )
        + "]]]"
    )
    with pytest.raises(HeartbeatError):
        decode_datagram(compress(document.encode()), find_order)


def test_truncated_datagram_is_rejected():
    with pytest.raises(HeartbeatError):
        decode_datagram(encode_compact(HEARTBEAT, ORDER)[:-3], find_order)


def test_datagram_that_grows_beyond_the_limit_is_rejected():
    """Guards against a small datagram that fills the memory."""
    with pytest.raises(HeartbeatError):
        decode_datagram(compress(b" " * (MAX_ELEMENTS_BYTES + 1)), find_order)
