import pytest

from figcrank.state import MILLI, TokenBucket


@pytest.fixture
def bucket():
    return TokenBucket(rate_per_s=10, burst=5, now_ms=0)


def test_new_bucket_is_full(bucket):
    assert bucket.take_up_to(9 * MILLI, 0) == 5 * MILLI


def test_bucket_refills_at_its_rate_up_to_its_burst(bucket):
    bucket.empty(0)
    assert bucket.level_milli(100) == 1 * MILLI
    assert bucket.level_milli(10_000) == 5 * MILLI


def test_clock_that_does_not_advance_adds_nothing(bucket):
    bucket.empty(50)
    assert bucket.level_milli(50) == 0
    assert bucket.level_milli(10) == 0


def test_returned_tokens_never_exceed_the_burst(bucket):
    bucket.refund(3 * MILLI, 0)
    assert bucket.level_milli(0) == 5 * MILLI


@pytest.mark.parametrize(("wanted_milli", "ready_in_ms"), [(0, 0), (MILLI, 100), (1, 1)])
def test_time_until_tokens_are_available(bucket, wanted_milli, ready_in_ms):
    bucket.empty(0)
    assert bucket.ready_in_ms(wanted_milli, 0) == ready_in_ms


@pytest.mark.parametrize("step_ms", [1, 7, 33])
def test_small_steps_refill_as_much_as_a_large_step(bucket, step_ms):
    bucket.empty(0)
    for now_ms in range(0, 400, step_ms):
        bucket.level_milli(now_ms)
    assert bucket.level_milli(400) == 4 * MILLI
