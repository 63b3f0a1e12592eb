"""Admission of statements whose service times vary, in virtual time.

The load is 200 writes at once, as in platform/tests/test_admission.py: the time of a write rises
with the queue at the server.
"""

import random

import pytest

from figcrank.coordination.admission import (
    AdmissionQueue,
    Demand,
    Rejection,
    RejectionReason,
    ServiceTimes,
)

SLOTS = 4
TARGET_MS = 300
TIMEOUT_MS = 800
MEAN_MS = 20.0
LONGEST_MS = 30.0


def demand(arrived_ms=0, kind="write", **changes):
    target_ms, deadline_ms = arrived_ms + TARGET_MS, arrived_ms + TIMEOUT_MS
    fields = {"target_ms": target_ms, "deadline_ms": deadline_ms, **changes}
    return Demand("w", kind, (0, 0), arrived_ms, **fields)


def varying_times(samples=200):
    """Return the measured times of statements that take between half and 1.5 times the mean."""
    times = ServiceTimes()
    rng = random.Random(1)
    for _ in range(samples):
        times.record("write", rng.uniform(MEAN_MS / 2, LONGEST_MS))
    return times


def test_kind_without_spread_in_its_samples_has_no_margin():
    """Guards against statements rejected for a margin that no sample supports."""
    times = ServiceTimes()
    assert times.margin_ms("write") == 0
    times.record("write", MEAN_MS)
    assert times.margin_ms("write") == 0
    for _ in range(20):
        times.record("write", MEAN_MS)
    assert times.margin_ms("write") == 0
    assert times.margin_ms("read") == 0  # no samples, although other kinds have some


def test_mean_and_margin_cover_statements_that_take_up_to_one_and_a_half_times_the_mean():
    times = varying_times()
    assert times.mean_ms("write") + times.margin_ms("write") == pytest.approx(LONGEST_MS, rel=0.2)


def test_sample_over_a_suspension_leaves_the_margin_bounded():
    """Guards against a margin of minutes, with which every statement would be rejected."""
    times = varying_times()
    for _ in range(50):
        times.record("write", 3_600_000)
        assert times.margin_ms("write") <= 2 * times.mean_ms("write")


def test_margin_ends_after_the_times_cease_to_vary():
    """Guards against a server that was slow for a moment and keeps rejecting writes for long."""
    times = varying_times()
    for _ in range(100):
        times.record("write", MEAN_MS)
    assert times.margin_ms("write") < 1


def test_arrival_that_would_begin_just_before_its_deadline_is_rejected_at_once():
    """Guards against writes in doubt, since they begin in time by the mean and take longer."""
    times = varying_times()
    queue = AdmissionQueue(times)
    wait_ms = queue.expected_wait_ms(demand(), 0, SLOTS)
    enough_ms = wait_ms + times.mean_ms("write") + times.margin_ms("write")
    rejection = queue.arrive(demand(deadline_ms=int(enough_ms) - 1), 0, SLOTS)
    assert rejection.reason is RejectionReason.DEADLINE
    assert not isinstance(queue.arrive(demand(deadline_ms=int(enough_ms) + 1), 0, SLOTS), Rejection)


def test_statement_that_can_still_end_by_the_measured_times_is_not_rejected():
    """Guards against a margin that rejects what could be served."""
    queue = AdmissionQueue(varying_times())
    ticket = queue.arrive(demand(), 0, SLOTS)
    assert queue.take(queue.expires_after_ms(ticket), SLOTS) is ticket
    # It is not rejected earlier than a statement of the longest time has to begin, within a fifth.
    assert queue.expires_after_ms(ticket) >= TIMEOUT_MS - 1.2 * LONGEST_MS


def test_hedge_has_no_margin():
    """Guards against hedged reads that are never admitted: they wait at most 40 ms for a slot."""
    queue = AdmissionQueue(varying_times())
    hedge = demand(deadline_ms=40, is_hedge=True)
    assert not isinstance(queue.arrive(hedge, 0, SLOTS), Rejection)


def test_statements_that_begin_end_before_their_deadlines_while_service_times_rise():
    """Guards against writes in doubt that were placed by the times measured before a burst."""
    times = varying_times()
    queue = AdmissionQueue(times)
    rng = random.Random(2)
    running = []  # ends and durations of statements that begin with a full queue at the server
    ended = rejected = 0
    for _ in range(200):
        rejected += isinstance(queue.arrive(demand(), 0, SLOTS), Rejection)
    for now_ms in range(TIMEOUT_MS + 1):
        for end_ms, took_ms in [r for r in running if r[0] <= now_ms]:
            running.remove((end_ms, took_ms))
            times.record("write", took_ms)
            ended += 1
            assert end_ms <= TIMEOUT_MS
        while len(running) < SLOTS and queue.take(now_ms, SLOTS):
            took_ms = 2 * rng.uniform(MEAN_MS / 2, LONGEST_MS)
            running.append((now_ms + took_ms, took_ms))
        rejected += len(queue.drain_rejected())
    assert not running
    assert ended + rejected == 200
    # The slots are in use until a statement of the longest time could not end any more.
    assert ended >= SLOTS * (TIMEOUT_MS - 3 * LONGEST_MS) / (2 * MEAN_MS) - SLOTS
