from figcrank.coordination.placement._travel import MAX_FACTOR, TravelFactor
from figcrank.protocol.heartbeats import ServerLoad


def load(service_ms, samples=5):
    return ServerLoad(1, 0, service_ms, samples)


def settled(own, *others):
    travel = TravelFactor()
    for _ in range(50):
        travel.update(own, [own, *others])
    return travel.factor


def test_owner_in_another_region_may_have_what_is_on_the_way_in_flight_besides():
    """Guards against callers that wait while the server is idle and statements travel 40 ms."""
    assert settled(load(57.0), load(17.0)) > 2.0


def test_owner_near_the_server_keeps_to_its_share():
    assert settled(load(17.0), load(57.0)) == 1.0


def test_small_differences_are_not_taken_for_a_distance():
    """Guards against owners of one region that exceed their shares, as their statements differ."""
    assert settled(load(24.0), load(15.0)) == 1.0


def test_factor_is_bounded():
    """A server that answers one owner late, for example over a lossy link, must not flood it."""
    assert settled(load(4_000.0), load(10.0)) == MAX_FACTOR


def test_owner_without_samples_keeps_the_last_factor():
    travel = TravelFactor()
    for _ in range(50):
        travel.update(load(57.0), [load(57.0), load(17.0)])
    before = travel.factor
    travel.update(load(0.0, samples=0), [load(17.0)])
    assert travel.factor == before
