"""Times of a host's stop."""

import pytest

from figcrank.coordination.sessions import HostLifetime, StopPlan

REMOVAL_MS = 2_200


@pytest.mark.parametrize("grace_ms", [500, 1_000, 3_000, 6_000, 30_000])
def test_stop_ends_within_any_grace_time(grace_ms):
    """Guards against closing sessions for longer than the grace time."""
    plan = StopPlan.from_grace(1_000, grace_ms, REMOVAL_MS)
    closed_ms = plan.closing_ms + plan.close_spread_ms
    assert 1_000 <= plan.closing_ms <= closed_ms <= plan.answers_end_ms <= plan.exit_ms
    assert plan.statements_end_ms <= plan.answers_end_ms
    assert plan.closing_ms <= plan.rejecting_ms <= plan.answers_end_ms
    assert plan.exit_ms < 1_000 + grace_ms


def test_sessions_are_closed_once_the_load_balancer_sends_no_new_ones():
    plan = StopPlan.from_grace(0, 6_000, REMOVAL_MS)
    assert plan.closing_ms == REMOVAL_MS
    assert plan.transactions_end_ms == 3_000


def test_share_of_the_closed_sessions_rises_to_all():
    plan = StopPlan.from_grace(0, 6_000, REMOVAL_MS)
    middle_ms = plan.closing_ms + plan.close_spread_ms // 2
    times_ms = (plan.closing_ms - 1, middle_ms, plan.answers_end_ms)
    assert [plan.closing_share(at_ms) for at_ms in times_ms] == [0.0, 0.5, 1.0]


def test_statements_of_a_stopping_host_have_no_more_time_than_the_host():
    lifetime = HostLifetime()
    assert lifetime.limit_ms(9_000) == 9_000
    lifetime.plan = StopPlan.from_grace(0, 6_000, REMOVAL_MS)
    assert lifetime.limit_ms(9_000) == lifetime.plan.statements_end_ms
    assert lifetime.limit_ms(1_000) == 1_000


def test_host_rejects_new_sessions_only_shortly_before_its_end():
    lifetime = HostLifetime()
    assert not lifetime.rejects_sessions(10_000)
    lifetime.plan = StopPlan.from_grace(0, 6_000, REMOVAL_MS)
    assert not lifetime.rejects_sessions(lifetime.plan.closing_ms)
    assert lifetime.rejects_sessions(lifetime.plan.answers_end_ms)
