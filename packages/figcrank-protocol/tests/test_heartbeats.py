import contextlib
import json
import re
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figcrank.protocol.heartbeats import (
    OMITTABLE_FIELDS,
    Evacuations,
    Heartbeat,
    HeartbeatError,
    HeartbeatExtension,
    PrimaryFailure,
    PrimaryRecord,
    ServerLoad,
    decode_heartbeat,
    encode_heartbeat,
)
from figcrank.state import Position, revision_of

FULL_HEARTBEAT = Heartbeat(
    "a",
    7,
    1_000,
    900,
    20,
    primaries={"g": PrimaryRecord(3, 2, "s1", True, False, "10.0.0.9:5")},
    quiesced_groups=("g",),
    observed={"g": (Position(2, 9), 40)},
    primary_failures={"g": PrimaryFailure("s1", 600, False)},
    spent={"w": (3, 4), "v": (5, 6)},
)


EXTENSION = HeartbeatExtension(
    Evacuations(revision_of(1, 9), frozenset({"az-1", "az-2"})),
    ("az-1",),
    {"s1": ServerLoad(3, 2, 18.5, 40, 1)},
    sees_relays=True,
    evacuations_age_ms=700,
)


def test_extension_round_trip():
    heartbeat = replace(FULL_HEARTBEAT, extension=EXTENSION)
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


def test_heartbeat_without_extension_has_the_elements_that_earlier_releases_accept():
    """Guards against hosts of an earlier release that can't decode a heartbeat of this one."""
    assert len(json.loads(encode_heartbeat(FULL_HEARTBEAT))) == 6


def test_unknown_parts_of_an_extension_are_ignored():
    """A later release may add parts."""
    assert HeartbeatExtension.from_fields({"later": [1]}) == HeartbeatExtension()


@pytest.mark.parametrize("extension", [[], {"loads": {"s1": [1]}}, {"evacuations": 3}])
def test_invalid_extension_is_rejected(extension):
    elements = json.loads(encode_heartbeat(FULL_HEARTBEAT))
    with pytest.raises(HeartbeatError):
        decode_heartbeat(json.dumps([*elements, extension]).encode())


def test_heartbeat_round_trip():
    assert decode_heartbeat(encode_heartbeat(FULL_HEARTBEAT)) == FULL_HEARTBEAT


@given(
    st.sets(st.sampled_from(OMITTABLE_FIELDS)),
    st.dictionaries(st.sampled_from("wv"), st.just((8, 9))),
)
def test_partial_heartbeat_is_completed_from_previous_one(omitted, spent):
    unchanged = tuple(name for name in OMITTABLE_FIELDS if name in omitted)
    partial_heartbeat = Heartbeat("a", 7, 1_300, partial=True, unchanged=unchanged, spent=spent)
    assert decode_heartbeat(encode_heartbeat(partial_heartbeat)) == partial_heartbeat
    restored = partial_heartbeat.with_omitted_fields(FULL_HEARTBEAT)
    for name in OMITTABLE_FIELDS:
        expected = getattr(FULL_HEARTBEAT if name in omitted else partial_heartbeat, name)
        assert getattr(restored, name) == expected
    assert restored.spent == {**FULL_HEARTBEAT.spent, **spent}
    assert restored.sent_ms == 1_300
    assert not restored.partial


@given(st.binary(max_size=200))
def test_arbitrary_datagram_is_rejected(data):
    with pytest.raises(HeartbeatError):
        decode_heartbeat(data)


@pytest.mark.parametrize(
    ("store_ok", "ignores_eras", "reads_extension", "sent"),
    [
        (False, False, False, 0),
        (True, True, False, 1),
        (True, False, False, 2),
        (True, False, True, 3),
    ],
)
def test_state_of_the_store_is_sent_so_that_earlier_releases_understand_it(
    store_ok, ignores_eras, reads_extension, sent
):
    """Earlier releases send 0, 1 or 2, and take any number but 0 for an answering store."""
    heartbeat = replace(
        FULL_HEARTBEAT,
        store_ok=store_ok,
        ignores_eras=ignores_eras,
        reads_extension=reads_extension,
    )
    data = encode_heartbeat(heartbeat)
    assert json.loads(data)[2][0] == sent
    assert decode_heartbeat(data) == heartbeat


@pytest.mark.parametrize("value", [b"1e999", b"9" * 5_000, b"[" * 100_000 + b"]" * 100_000])
def test_heartbeat_with_a_number_that_can_not_be_read_is_unreadable(value):
    """An infinite number ended the thread that receives heartbeats, for good."""
    data = encode_heartbeat(replace(FULL_HEARTBEAT, extension=EXTENSION))
    numbers = list(re.finditer(rb"(?<=[\[,:])\d+(?=[\],])", data))
    assert len(numbers) > 20
    for number in numbers:
        odd = data[: number.start()] + value + data[number.end() :]
        with contextlib.suppress(HeartbeatError):
            decode_heartbeat(odd)
