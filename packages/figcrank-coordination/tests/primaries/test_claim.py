"""Several hosts try to replace the same primary at once, for example after a store outage."""

from figcrank.coordination.primaries import (
    PrimaryTable,
    claim_replacement,
    completed_record,
    moving_record,
)
from figcrank.protocol.heartbeats import PrimaryRecord, StoredPrimaries

OLD = PrimaryRecord(1, 1, "p")
MOVING = moving_record(OLD, planned=False)


def test_first_host_claims_the_record_with_a_higher_token():
    claimed = claim_replacement(
        StoredPrimaries(5, "z", 3, {"g": OLD}), "g", MOVING, "a", renews=False
    )
    assert (claimed.holder, claimed.token, claimed.records["g"]) == ("a", 4, MOVING)


def test_second_host_does_not_claim_a_record_that_is_held():
    """Under mixed faults, four hosts claimed the record from each other and promoted twice."""
    stored = StoredPrimaries(6, "a", 4, {"g": MOVING})
    assert claim_replacement(stored, "g", MOVING, "b", renews=False) is None


def test_holder_may_repeat_a_write_after_a_lost_reply():
    stored = StoredPrimaries(6, "a", 4, {"g": MOVING})
    assert claim_replacement(stored, "g", MOVING, "a", renews=False) == stored


def test_host_that_lost_the_record_cannot_renew_it():
    stored = StoredPrimaries(7, "b", 5, {"g": MOVING})
    assert claim_replacement(stored, "g", MOVING, "a", renews=True) is None


def test_holder_claims_another_group_with_the_same_token():
    stored = StoredPrimaries(7, "a", 5, {"other": MOVING})
    assert claim_replacement(stored, "g", MOVING, "a", renews=False).token == 5


def test_taken_over_replacement_has_a_higher_version_than_the_earlier_outcome():
    """The earlier result had the same version and hid that another replacement had begun."""
    table = PrimaryTable()
    table.merge("g", MOVING, 0)
    taken_over = moving_record(MOVING, planned=False)
    table.merge("g", completed_record(MOVING, "q", 2, "10.0.0.1:80"), 10)
    assert table.merge("g", taken_over, 20)
    assert table.get("g").moving
    assert not table.merge("g", completed_record(MOVING, "q", 2, "10.0.0.1:80"), 30)
