from figcrank.coordination.placement import Candidate, ServerHealth, rank


def candidate(server_id, **changes):
    fields = {
        "latency_ms": 30.0,
        "busy": 0,
        "wait_ms": 0.0,
        "slots": 5,
        "same_zone": True,
        "connected": True,
        "failed_share": 0.0,
        "is_primary": False,
    }
    return Candidate(server_id, **{**fields, **changes})


def best(*candidates):
    return rank(candidates)[0].server_id


def test_replica_is_preferred_to_an_equal_primary():
    assert best(candidate("p", is_primary=True), candidate("r")) == "r"


def test_fast_distant_server_is_preferred_to_a_slow_one():
    assert best(candidate("slow", latency_ms=150.0), candidate("far", same_zone=False)) == "far"


def test_server_with_failures_is_avoided():
    assert best(candidate("failing", failed_share=0.3), candidate("p", is_primary=True)) == "p"


def test_distant_server_is_preferred_to_a_full_one():
    assert best(candidate("full", busy=5, wait_ms=30.0), candidate("far", same_zone=False)) == "far"


def test_failed_server_is_retried_with_increasing_backoff():
    health = ServerHealth()
    health.record_failure(1_000)
    assert not health.usable(1_050)
    assert health.usable(1_100)
    health.record_failure(1_100)
    assert not health.usable(1_250)
    health.record_answer(1_300, 20.0)
    assert health.usable(1_301)
    assert health.failing_for_ms(1_400) == 0


def test_simultaneous_failures_increase_the_backoff_once():
    health = ServerHealth()
    for _ in range(8):
        health.record_failure(1_000, refused=True)
    assert health.usable(1_100)
    assert health.last_refused_ms == 1_000


def test_server_of_the_region_is_preferred_to_an_idle_one_of_another_region():
    """Guards against reads that cross regions because latencies measured long ago are forgotten."""
    near = candidate("near", same_zone=False, latency_ms=40.0)
    assert (
        best(near, candidate("far", same_zone=False, same_region=False, latency_ms=5.0)) == "near"
    )


def test_server_of_another_region_is_used_while_those_of_the_region_are_overloaded():
    near = candidate("near", busy=5, wait_ms=120.0)
    assert best(near, candidate("far", same_zone=False, same_region=False)) == "far"
