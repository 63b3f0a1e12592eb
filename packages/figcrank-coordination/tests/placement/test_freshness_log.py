import pytest
from hypothesis import given
from hypothesis import strategies as st

from figcrank.coordination.placement import FreshnessLog
from figcrank.state import Position


def test_nothing_is_required_to_be_known_before_the_first_observation():
    assert FreshnessLog().required(1_000, 1_500) is None


def test_the_oldest_observation_within_the_bound_is_enough():
    log = FreshnessLog()
    for sent_ms in (1_000, 2_000, 3_000):
        log.observe(sent_ms, Position(1, sent_ms))
    assert log.required(3_100, 1_500) == Position(1, 2_000)
    assert log.required(3_100, 2_500) == Position(1, 1_000)


def test_an_observation_older_than_the_bound_proves_nothing():
    log = FreshnessLog()
    log.observe(1_000, Position(1, 7))
    assert log.required(2_600, 1_500) is None


def test_a_new_term_drops_positions_that_its_log_may_lack():
    log = FreshnessLog()
    log.observe(1_000, Position(1, 90))
    log.observe(1_100, Position(2, 80))
    assert log.required(1_200, 1_500) == Position(2, 80)


def test_an_answer_of_a_replaced_primary_is_ignored():
    log = FreshnessLog()
    log.observe(1_000, Position(2, 80))
    log.observe(1_100, Position(1, 99))
    assert log.newest() == (1_000, Position(2, 80))


def test_a_known_new_term_forgets_the_old_one_before_any_answer():
    log = FreshnessLog()
    log.observe(1_000, Position(1, 90))
    log.forget_before(2)
    assert log.required(1_100, 1_500) is None


@given(
    st.lists(st.integers(0, 400), min_size=1, max_size=60),
    st.integers(200, 3_000),
    st.integers(0, 500),
)
def test_a_required_position_covers_every_commit_older_than_the_bound(gaps, bound_ms, later_ms):
    """One commit a millisecond: the log's length is the time."""
    log = FreshnessLog()
    now_ms = 0
    for gap in gaps:
        now_ms += gap
        log.observe(now_ms, Position(1, now_ms))
    now_ms += later_ms
    required = log.required(now_ms, bound_ms)
    if required is not None:
        assert required.offset >= now_ms - bound_ms


@pytest.mark.parametrize("steps", [10, 1_000])
def test_memory_stays_bounded(steps):
    log = FreshnessLog()
    for step in range(steps):
        log.observe(step * 100, Position(1, step))
    assert len(log._observed) <= 42
