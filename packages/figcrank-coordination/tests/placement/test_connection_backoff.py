from figcrank.coordination.placement import ConnectionBackoff
from figcrank.coordination.placement._connection_backoff import PAUSE_MS


def test_host_opens_no_further_connections_for_a_moment_after_a_rejection():
    """Guards against thousands of rejected connections after all hosts have lost power."""
    backoff = ConnectionBackoff()
    assert backoff.max_connections(15, 0) == 15
    backoff.record(4, 100)
    assert backoff.max_connections(15, 100 + PAUSE_MS - 1) == 4
    assert backoff.max_connections(15, 100 + PAUSE_MS) == 15


def test_host_without_connections_may_try_one():
    """Otherwise its statements could not begin until the pause ends, with a connection or not."""
    backoff = ConnectionBackoff()
    backoff.record(0, 100)
    assert backoff.max_connections(15, 100) == 1
