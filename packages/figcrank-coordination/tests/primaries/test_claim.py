"""Several hosts that want to replace one primary at once, as after an outage of the store."""

from figcrank.coordination.primaries import (
    PrimaryBook,
    claim,
    moving_record,
    settled_record,
)
from figcrank.protocol.heartbeats import PrimaryRecord, StoredPrimaries

OLD = PrimaryRecord(1, 1, "p")
MOVING = moving_record(OLD, planned=False)


def test_the_first_host_takes_the_record_with_a_higher_token():
    wanted = claim(StoredPrimaries(5, "z", 3, {"g": OLD}), "g", MOVING, "a", renews=False)
    assert (wanted.holder, wanted.token, wanted.records["g"]) == ("a", 4, MOVING)


def test_a_second_host_with_the_same_intent_leaves_it_to_the_first():
    """Seen on a mixed day: four hosts took the record from each other and promoted twice."""
    stored = StoredPrimaries(6, "a", 4, {"g": MOVING})
    assert claim(stored, "g", MOVING, "b", renews=False) is None


def test_a_write_whose_answer_was_lost_may_be_repeated_by_its_own_host():
    stored = StoredPrimaries(6, "a", 4, {"g": MOVING})
    assert claim(stored, "g", MOVING, "a", renews=False) == stored


def test_a_host_that_lost_the_record_never_takes_it_back():
    stored = StoredPrimaries(7, "b", 5, {"g": MOVING})
    assert claim(stored, "g", MOVING, "a", renews=True) is None


def test_other_groups_of_the_holder_go_on_with_its_token():
    stored = StoredPrimaries(7, "a", 5, {"other": MOVING})
    assert claim(stored, "g", MOVING, "a", renews=False).token == 5


def test_a_replacement_that_is_taken_over_outranks_the_outcome_of_the_earlier_one():
    """Seen on the same day: the earlier host's outcome kept the fence of the later one away."""
    book = PrimaryBook()
    book.merge("g", MOVING, 0)
    taken_over = moving_record(MOVING, planned=False)
    book.merge("g", settled_record(MOVING, "q", 2, "10.0.0.1:80"), 10)
    assert book.merge("g", taken_over, 20)
    assert book.get("g").moving
    assert not book.merge("g", settled_record(MOVING, "q", 2, "10.0.0.1:80"), 30)
