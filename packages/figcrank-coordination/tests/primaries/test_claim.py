"""Versions of the records that begin and end a replacement."""

from figcrank.coordination.primaries import (
    PrimaryTable,
    completed_record,
    first_version,
    is_settled,
    moving_record,
)
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state import revision_of

OLD = PrimaryRecord(1, 1, "p")
MOVING = moving_record(OLD, planned=False)


def test_taken_over_replacement_has_a_higher_version_than_the_earlier_outcome():
    """The earlier result had the same version and hid that another replacement had begun."""
    table = PrimaryTable()
    table.merge("g", MOVING, 0)
    taken_over = moving_record(MOVING, planned=False)
    table.merge("g", completed_record(MOVING, "q", 2, "10.0.0.1:80"), 10)
    assert table.merge("g", taken_over, 20)
    assert table.get("g").moving
    assert not table.merge("g", completed_record(MOVING, "q", 2, "10.0.0.1:80"), 30)


def test_records_of_an_era_have_higher_versions_than_those_of_earlier_ones():
    """A record that the store has lost may be known to a host that was cut off meanwhile."""
    lost = PrimaryRecord(revision_of(1, 900), 3, "q")
    assert first_version(2) > lost.version
    restored = PrimaryRecord(revision_of(1, 1), 1, "p")
    assert moving_record(restored, planned=False, era=2).version > lost.version


def test_record_is_settled_by_a_write_of_the_present_era():
    record = PrimaryRecord(revision_of(1, 3), 1, "p")
    assert is_settled(record, 1)
    assert not is_settled(record, 2)
    assert not is_settled(None, 1)
    assert is_settled(moving_record(record, planned=False, era=2), 2)


def test_every_record_is_settled_in_a_store_without_eras():
    assert is_settled(OLD, 0)
    assert is_settled(None, 0)
    assert moving_record(OLD, planned=False, era=0).version == 3
