"""Why callers are refused, and the refusals of the last seconds."""

import pytest

from figcrank.coordination.admission import RejectionReason
from figcrank.coordination.fleet import PrimaryUse
from figcrank.coordination.sessions import (
    RecentRefusals,
    RefusalReason,
    reason_of_primary,
    reason_of_rejection,
)
from figcrank.coordination.sessions._recent_refusals import MAX_KEYS_PER_STEP, REFUSALS_WINDOW_MS


@pytest.mark.parametrize(
    ("rejection", "reason"),
    [
        (RejectionReason.DEADLINE, RefusalReason.DEADLINE),
        (RejectionReason.EXPIRED, RefusalReason.DEADLINE),
        (RejectionReason.FULL, RefusalReason.QUEUE_FULL),
        (RejectionReason.DISPLACED, RefusalReason.QUEUE_FULL),
        (RejectionReason.DISCONNECTED, RefusalReason.DISCONNECTED),
    ],
)
def test_rejection_by_a_queue_has_a_reason(rejection, reason):
    assert reason_of_rejection(rejection) is reason


@pytest.mark.parametrize("use", list(PrimaryUse))
def test_every_use_of_a_primary_has_a_reason_of_its_own(use):
    others = {reason_of_primary(other) for other in PrimaryUse if other is not use}
    assert reason_of_primary(use) not in others


def test_refusals_are_kept_for_the_window_by_group():
    """Guards against counts since the start, which hide who is refused now."""
    refusals = RecentRefusals()
    refusals.record("g", RefusalReason.COLD, "w", 0)
    refusals.record("other", RefusalReason.COLD, "w", 0)
    refusals.record("g", RefusalReason.COLD, "w", 5_000)
    refusals.record("g", RefusalReason.OVER_LIMIT, "w", 5_000)
    expected = {(RefusalReason.COLD, "w"): 2, (RefusalReason.OVER_LIMIT, "w"): 1}
    assert refusals.of_group("g", REFUSALS_WINDOW_MS - 1) == expected
    expected[RefusalReason.COLD, "w"] = 1
    assert refusals.of_group("g", REFUSALS_WINDOW_MS) == expected
    assert refusals.of_group("g", REFUSALS_WINDOW_MS + 5_000) == {}


def test_number_of_workspaces_is_bounded():
    """Guards against memory that grows with the workspaces that are refused."""
    refusals = RecentRefusals()
    for number in range(MAX_KEYS_PER_STEP + 7):
        refusals.record("g", RefusalReason.DEADLINE, f"w{number}", 0)
    counts = refusals.of_group("g", 0)
    assert len(counts) == MAX_KEYS_PER_STEP + 1
    assert counts[RefusalReason.DEADLINE, ""] == 7
