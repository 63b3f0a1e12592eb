import pytest
from hypothesis import given
from hypothesis import strategies as st

from figcrank.protocol.heartbeats import (
    OMITTABLE,
    Heartbeat,
    HeartbeatError,
    PrimaryRecord,
    Trouble,
    decode_heartbeat,
    encode_heartbeat,
)
from figcrank.state import Position

WHOLE = Heartbeat(
    "a",
    7,
    1_000,
    900,
    20,
    primaries={"g": PrimaryRecord(3, 2, "s1", True, False, "10.0.0.9:5")},
    quiet=("g",),
    observed={"g": (Position(2, 9), 40)},
    trouble={"g": Trouble("s1", 600, False)},
    spent={"w": (3, 4), "v": (5, 6)},
)


def test_a_heartbeat_comes_back_as_it_was_sent():
    assert decode_heartbeat(encode_heartbeat(WHOLE)) == WHOLE


@given(st.sets(st.sampled_from(OMITTABLE)), st.dictionaries(st.sampled_from("wv"), st.just((8, 9))))
def test_a_partial_heartbeat_is_completed_from_the_one_before(left_out, spent):
    unchanged = tuple(name for name in OMITTABLE if name in left_out)
    later = Heartbeat("a", 7, 1_300, partial=True, unchanged=unchanged, spent=spent)
    assert decode_heartbeat(encode_heartbeat(later)) == later
    whole = later.completed(WHOLE)
    for name in OMITTABLE:
        expected = getattr(WHOLE if name in left_out else later, name)
        assert getattr(whole, name) == expected
    assert whole.spent == {**WHOLE.spent, **spent}
    assert whole.sent_ms == 1_300
    assert not whole.partial


@given(st.binary(max_size=200))
def test_other_datagrams_are_no_heartbeats(data):
    with pytest.raises(HeartbeatError):
        decode_heartbeat(data)
