"""Several hosts try to replace the same primary at once, for example after a store outage."""

from dataclasses import replace

from figcrank.coordination.primaries import (
    PROMOTION_CALL_TIMEOUT_MS,
    PROMOTION_WINDOW_MS,
    TAKEOVER_WAIT_MS,
    PromotionRight,
    RecordHolder,
    moving_record,
)
from figcrank.protocol.heartbeats import PrimaryRecord, StoredPrimaries
from figcrank.state import revision_of

OLD = PrimaryRecord(1, 1, "p")
MOVING = moving_record(OLD, planned=False)


def claim_and_write(holder, stored, group="g", record=MOVING, at_ms=0):
    """Claim the record and have the store acknowledge the write at its next revision."""
    wanted = holder.claim(stored, group, record, renews=False)
    written = replace(wanted, revision=stored.revision + 1)
    return written, holder.record_write(stored, written, at_ms, at_ms + 10)


def test_first_host_claims_the_record_with_a_higher_token():
    holder = RecordHolder("a")
    claimed = holder.claim(StoredPrimaries(5, "z", 3, {"g": OLD}), "g", MOVING, renews=False)
    assert (claimed.holder, claimed.token, claimed.records["g"]) == ("a", 4, MOVING)


def test_second_host_does_not_claim_a_record_that_is_held():
    """Under mixed faults, four hosts claimed the record from each other and promoted twice."""
    stored = StoredPrimaries(6, "a", 4, {"g": MOVING})
    assert RecordHolder("b").claim(stored, "g", MOVING, renews=False) is None


def test_second_host_does_not_claim_a_record_with_a_newer_version():
    newer = moving_record(MOVING, planned=False)
    stored = StoredPrimaries(6, "a", 4, {"g": newer})
    assert RecordHolder("b").claim(stored, "g", MOVING, renews=False) is None


def test_holder_repeats_a_write_with_the_same_token():
    holder = RecordHolder("a")
    written, right = claim_and_write(holder, StoredPrimaries(5, "z", 3, {"g": OLD}))
    repeated = holder.claim(written, "g", MOVING, renews=False)
    assert (repeated.holder, repeated.token) == ("a", right.token)
    assert (repeated.revision, repeated.records) == (written.revision, written.records)


def test_host_that_lost_the_record_cannot_renew_it():
    holder = RecordHolder("a")
    written, right = claim_and_write(holder, StoredPrimaries(5, "z", 3, {"g": OLD}))
    taken_over = replace(written, revision=7, holder="b", token=right.token + 1)
    assert holder.claim(taken_over, "g", MOVING, renews=True) is None


def test_holder_claims_another_group_with_the_same_token_and_wait():
    holder = RecordHolder("a")
    written, right = claim_and_write(holder, StoredPrimaries(5, "z", 3, {"g": OLD}))
    _, other = claim_and_write(holder, written, "other", MOVING, at_ms=50)
    assert (other.token, other.not_before_ms) == (right.token, right.not_before_ms)


def test_host_named_as_the_holder_without_an_acknowledged_claim_takes_the_record_over():
    """A claim without a response, or one of an earlier process, counted as held, without a wait."""
    holder = RecordHolder("a")
    stored = StoredPrimaries(6, "a", 4, {"g": MOVING})
    assert holder.claim(stored, "g", MOVING, renews=True) is None
    written, right = claim_and_write(holder, stored, at_ms=1_000)
    assert written.token == 5
    assert right.not_before_ms == 1_010 + TAKEOVER_WAIT_MS


def test_token_of_a_claim_rises_with_the_revision_even_if_the_stored_token_fell():
    """Content that an older write restored has a token that was given out before."""
    first = RecordHolder("a")
    written, right = claim_and_write(first, StoredPrimaries(50, "z", 3, {"g": OLD}))
    overwritten = StoredPrimaries(written.revision + 1, "z", 3, {"g": OLD})
    _, later = claim_and_write(RecordHolder("b"), overwritten)
    assert later.token > right.token


def test_right_ends_before_a_later_holders_right_begins():
    right = PromotionRight("a", 5, renewed_ms=100, not_before_ms=0)
    last_sent_ms = 100 + PROMOTION_WINDOW_MS
    assert right.permits(last_sent_ms)
    assert not right.permits(last_sent_ms + 1)
    # The earliest later claim is acknowledged right after the write of the renewal has begun.
    _, later = claim_and_write(RecordHolder("b"), StoredPrimaries(5, "a", 5, {"g": OLD}), at_ms=91)
    assert later.not_before_ms > last_sent_ms + PROMOTION_CALL_TIMEOUT_MS


def test_right_is_not_usable_before_the_wait_has_passed():
    right = PromotionRight("a", 5, renewed_ms=100, not_before_ms=300)
    assert not right.permits(299)
    assert right.permits(300)


def test_tenure_does_not_outlive_a_claim_of_another_host_and_an_unacknowledged_one():
    """The earlier, lower token was used again, without a wait."""
    holder = RecordHolder("a")
    written, _ = claim_and_write(holder, StoredPrimaries(100, "z", 3, {"g": OLD}))
    other, right = claim_and_write(RecordHolder("b"), written, "h")
    unacknowledged = replace(other, revision=103, holder="a", token=other.token + 1)
    assert not holder.holds(unacknowledged)
    _, later = claim_and_write(holder, unacknowledged, "h")
    assert later.token > right.token


def test_tenure_ends_with_the_era_of_the_store():
    """In the copy that the store came back from, this host was the holder; another one followed."""
    holder = RecordHolder("a")
    written, _ = claim_and_write(holder, StoredPrimaries(revision_of(1, 50), "z", 3, {"g": OLD}))
    renewed = replace(holder.claim(written, "g", MOVING, renews=True), revision=revision_of(1, 52))
    assert holder.holds(renewed)
    _, lost = claim_and_write(RecordHolder("b"), renewed, "h")
    restored = replace(renewed, revision=revision_of(2, 52))
    assert not holder.holds(restored)
    _, right = claim_and_write(holder, restored, at_ms=500)
    assert right.token > lost.token
    assert right.not_before_ms == 510 + TAKEOVER_WAIT_MS


def test_holder_settles_several_groups_but_keeps_a_newer_record():
    holder = RecordHolder("a")
    written, _ = claim_and_write(holder, StoredPrimaries(5, "z", 3, {"g": OLD, "h": OLD}), "h")
    settled = PrimaryRecord(2, 1, "p")
    wanted = holder.settle(written, {"g": settled, "h": settled, "new": settled})
    assert wanted.records == {"g": settled, "h": MOVING, "new": settled}
    assert RecordHolder("b").settle(written, {"g": settled}) is None
