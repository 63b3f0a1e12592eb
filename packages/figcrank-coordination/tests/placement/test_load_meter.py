from figcrank.coordination.placement import LoadMeter
from figcrank.protocol.heartbeats import ServerLoad


def test_load_of_statements_shorter_than_the_sampling_interval_is_counted():
    """Guards against an owner that seems idle because no sample hits its short statements."""
    meter = LoadMeter(0)
    for _ in range(30):
        meter.record_reply(6.0)
    load = meter.sample(0, 0, 100)
    assert (load.in_flight, load.samples) == (2, 30)


def test_load_is_averaged_over_a_heartbeat_and_ends_after_a_second():
    meter = LoadMeter(0)
    meter.record_rejection()
    meter.sample(4, 9, 100)
    meter.sample(4, 0, 200)
    assert meter.sample(1, 0, 300) == ServerLoad(3, 3, 0.0, 0, 1)
    assert meter.sample(0, 0, 1_100) == ServerLoad(0, 0, 0.0, 0, 0)
    assert meter.sample(0, 0, 1_400) is None
