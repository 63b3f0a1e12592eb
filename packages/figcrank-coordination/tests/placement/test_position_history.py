import pytest
from hypothesis import given
from hypothesis import strategies as st

from figcrank.coordination.placement import PositionHistory
from figcrank.coordination.placement._position_history import MIN_SPACING_MS
from figcrank.state import Position


def test_required_position_is_unknown_before_the_first_observation():
    assert PositionHistory().required_position(1_000, 1_500) is None


def test_oldest_observation_within_the_bound_is_required():
    history = PositionHistory()
    for sent_ms in (1_000, 2_000, 3_000):
        history.observe(sent_ms, Position(1, sent_ms))
    assert history.required_position(3_100, 1_500) == Position(1, 2_000)
    assert history.required_position(3_100, 2_500) == Position(1, 1_000)


def test_observation_older_than_the_bound_is_not_used():
    history = PositionHistory()
    history.observe(1_000, Position(1, 7))
    assert history.required_position(2_600, 1_500) is None


def test_new_term_discards_positions_that_its_log_may_lack():
    history = PositionHistory()
    history.observe(1_000, Position(1, 90))
    history.observe(1_100, Position(2, 80))
    assert history.required_position(1_200, 1_500) == Position(2, 80)


def test_response_of_a_replaced_primary_is_ignored():
    history = PositionHistory()
    history.observe(1_000, Position(2, 80))
    history.observe(1_100, Position(1, 99))
    assert history.newest() == (1_000, Position(2, 80))


def test_known_new_term_discards_positions_before_any_response():
    history = PositionHistory()
    history.observe(1_000, Position(1, 90))
    history.discard_before(2)
    assert history.required_position(1_100, 1_500) is None


@given(
    st.lists(st.integers(0, 400), min_size=1, max_size=60),
    st.integers(200, 3_000),
    st.integers(0, 500),
)
def test_required_position_covers_every_commit_older_than_the_bound(gaps, bound_ms, later_ms):
    """The log grows by one commit a millisecond, so its length equals the time."""
    history = PositionHistory()
    now_ms = 0
    for gap in gaps:
        now_ms += gap
        history.observe(now_ms, Position(1, now_ms))
    now_ms += later_ms
    required = history.required_position(now_ms, bound_ms)
    if required is not None:
        assert required.offset >= now_ms - bound_ms


@pytest.mark.parametrize("steps", [10, 1_000])
def test_memory_stays_bounded(steps):
    history = PositionHistory()
    for step in range(steps):
        history.observe(step * 100, Position(1, step))
    assert len(history._observed) <= 42


def test_newest_entry_covers_a_commit_observed_shortly_after_it():
    history = PositionHistory()
    history.observe(1_000, Position(1, 5))
    history.observe(1_000 + MIN_SPACING_MS - 1, Position(1, 6))
    assert history.newest() == (1_000, Position(1, 6))
    history.observe(990, Position(1, 4))
    assert history.newest() == (1_000, Position(1, 6))


def test_newest_entry_covers_a_commit_that_was_observed_with_an_earlier_time():
    """The reply to a statement sent earlier may have the newer position."""
    history = PositionHistory()
    history.observe(1_000, Position(1, 6))
    history.observe(1_000 + MIN_SPACING_MS, Position(1, 5))
    assert history.newest() == (1_000 + MIN_SPACING_MS, Position(1, 6))


def test_commit_observed_shortly_after_a_position_does_not_raise_what_a_bounded_read_needs():
    """Otherwise replicas reject bounded reads that follow a write."""
    history = PositionHistory()
    history.observe(1_000, Position(1, 5))
    history.observe(1_000 + MIN_SPACING_MS - 1, Position(1, 6))
    assert history.required_position(1_100, 1_500) == Position(1, 5)
