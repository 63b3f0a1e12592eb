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
from figcrank.coordination.admission._queue import MIN_RETRY_MS

SLOTS = 4
TARGET_MS = 300
TIMEOUT_MS = 800
MEAN_MS = 20.0
LONGEST_MS = 30.0


def demand(arrived_ms=0, kind="write", **changes):
    target_ms, deadline_ms = arrived_ms + TARGET_MS, arrived_ms + TIMEOUT_MS
    fields = {"priority": (0, 0), "target_ms": target_ms, "deadline_ms": deadline_ms, **changes}
    return Demand("w", kind, arrived_ms=arrived_ms, **fields)


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


class Burst:
    """200 statements that arrive at once at a server with a measured service time of 20 ms.

    :param service_ms: time that the statements take in the burst.
    """

    def __init__(self, service_ms, count=200):
        self.times = ServiceTimes()
        for _ in range(50):
            self.times.record("write", MEAN_MS)
        self.queue = AdmissionQueue(self.times)
        self.service_ms = service_ms
        arrivals = [self.queue.arrive(demand(), 0, SLOTS) for _ in range(count)]
        self.admitted = sum(not isinstance(a, Rejection) for a in arrivals)
        self.rejected = []  # times at which waiting statements were rejected
        self.returns = []  # numbers of these statements by arrival, and the times of their retries
        self.served = 0
        self.now_ms = 0

    def run(self, until_ms, slots=SLOTS):
        """Serve the queue until a time, with as many statements in flight as there are slots."""
        while self.now_ms < until_ms:
            for _ in range(slots):
                self.served += self.queue.take(self.now_ms, slots) is not None
            rejected = self.queue.drain_rejected()
            self.rejected += [self.now_ms] * len(rejected)
            self.returns += [(t.sequence, self.now_ms + r.retry_after_ms) for t, r in rejected]
            self.now_ms += self.service_ms
            for _ in range(slots):
                self.times.record("write", self.service_ms)


def test_burst_that_slows_the_server_is_rejected_before_its_deadlines():
    """Guards against callers that wait 3 s for nothing, as the server is slower in the burst."""
    burst = Burst(service_ms=40)
    burst.run(TIMEOUT_MS)
    in_time = SLOTS * TIMEOUT_MS // 40
    assert burst.served + len(burst.rejected) == burst.admitted
    assert in_time - 2 * SLOTS <= burst.served <= in_time
    early = [at_ms for at_ms in burst.rejected if at_ms <= TIMEOUT_MS / 2]
    assert len(early) >= 0.8 * len(burst.rejected) > 0


def test_callers_rejected_together_return_in_the_order_of_their_arrival_at_the_drain_rate():
    """Guards against retries that come together, or all after that of the last in the order."""
    burst = Burst(service_ms=40, count=150)
    assert burst.admitted == 150  # no retry time is given yet
    while not burst.rejected:
        mean_ms = burst.times.mean_ms("write")
        burst.run(burst.now_ms + 40)
    batch = sorted(burst.returns)
    assert len(batch) > 5
    times_ms = [return_ms for _, return_ms in batch]
    assert times_ms == sorted(times_ms)
    assert times_ms[0] <= burst.now_ms + MIN_RETRY_MS
    per_ms = (len(batch) - 1) / (times_ms[-1] - times_ms[0])
    assert per_ms <= 1.1 * SLOTS / mean_ms


def test_statement_that_arrives_in_a_burst_is_placed_by_the_present_service_times():
    """Guards against admissions by times measured before the burst, while the queue is long."""
    burst = Burst(service_ms=40, count=100)
    burst.run(200)
    wait_ms = burst.queue.expected_wait_ms(demand(200), 200, SLOTS)
    assert burst.queue.waiting >= 50
    assert wait_ms >= 0.9 * burst.queue.waiting * 40 / SLOTS


def test_one_slow_statement_rejects_nothing_that_was_admitted():
    """Guards against a suspension of the host that empties the end of the queue."""
    burst = Burst(service_ms=20)
    burst.times.record("write", 3_600_000)
    burst.queue.advance(100)
    assert burst.queue.drain_rejected() == []


def test_server_that_stalls_for_a_moment_rejects_nothing_that_was_admitted():
    """Guards against a pause of the server that empties the queue though all can end in time."""
    burst = Burst(service_ms=20, count=100)
    burst.now_ms = 200
    for _ in range(SLOTS):
        burst.times.record("write", 220)
    burst.run(TIMEOUT_MS)
    assert burst.rejected == []
    assert burst.served == 100


def test_fall_of_the_limit_for_a_moment_rejects_nothing_that_was_admitted():
    """Guards against one rejection by the server that empties the end of the queue."""
    burst = Burst(service_ms=20)
    burst.run(100)
    burst.queue.take(100, 1)
    burst.queue.advance(160)
    assert burst.queue.drain_rejected() == []
    burst.run(TIMEOUT_MS)
    assert burst.served >= SLOTS * TIMEOUT_MS // 20 - 2 * SLOTS


def test_rise_of_one_kind_rejects_nothing_of_a_more_urgent_one():
    """Guards against reads at a slow server that cause the rejection of submissions."""
    times = ServiceTimes()
    for _ in range(50):
        times.record("write", MEAN_MS)
        times.record("read", MEAN_MS)
    queue = AdmissionQueue(times)
    for _ in range(70):
        queue.arrive(demand(), 0, SLOTS)
        queue.arrive(demand(kind="read", priority=(2, 0)), 0, SLOTS)
    for now_ms in range(100):
        times.record("read", 5 * MEAN_MS)
        queue.advance(now_ms)
    rejected = queue.drain_rejected()
    assert rejected
    assert {ticket.demand.kind for ticket, _ in rejected} == {"read"}
