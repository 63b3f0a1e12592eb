from figcrank.coordination.placement import Candidate, ServerHealth, rank


def candidate(server_id, **changes):
    fields = {
        "latency_ms": 30.0,
        "busy": 0,
        "waiting": 0,
        "slots": 5,
        "same_zone": True,
        "connected": True,
        "failed_share": 0.0,
        "is_primary": False,
    }
    return Candidate(server_id, **{**fields, **changes})


def first(*candidates):
    return rank(candidates)[0].server_id


def test_reads_keep_away_from_the_primary_while_a_replica_is_as_good():
    assert first(candidate("p", is_primary=True), candidate("r")) == "r"


def test_a_slow_server_gets_less_than_its_fast_twin():
    assert first(candidate("slow", latency_ms=150.0), candidate("far", same_zone=False)) == "far"


def test_a_server_that_fails_part_of_its_work_is_avoided():
    assert first(candidate("grey", failed_share=0.3), candidate("p", is_primary=True)) == "p"


def test_a_queue_at_one_server_sends_reads_to_the_other():
    assert first(candidate("full", busy=5, waiting=5), candidate("far", same_zone=False)) == "far"


def test_a_failed_server_is_left_alone_and_tried_again_with_growing_pauses():
    health = ServerHealth()
    health.failed(1_000)
    assert not health.usable(1_050)
    assert health.usable(1_100)
    health.failed(1_100)
    assert not health.usable(1_250)
    health.answered(1_300, 20.0)
    assert health.usable(1_301)
    assert health.failing_for_ms(1_400) == 0


def test_failures_in_one_burst_count_as_one_for_the_pause():
    health = ServerHealth()
    for _ in range(8):
        health.failed(1_000, refused=True)
    assert health.usable(1_100)
    assert health.refused_ms == 1_000
