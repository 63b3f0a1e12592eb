"""Versions of the records that begin and end a replacement."""

from figcrank.coordination.primaries import PrimaryTable, completed_record, moving_record
from figcrank.protocol.heartbeats import PrimaryRecord

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
