import pytest

from figcrank.coordination.placement import (
    Waiter,
    connection_quota,
    max_retained_connections,
    next_waiter,
)


@pytest.mark.parametrize(("limit", "hosts"), [(34, 8), (39, 9), (34, 9), (39, 12), (258, 66)])
def test_quotas_of_all_hosts_stay_within_the_limit(limit, hosts):
    assert connection_quota(limit, hosts) * hosts <= limit


@pytest.mark.parametrize(("limit", "hosts"), [(34, 8), (39, 9), (258, 66)])
def test_restarted_hosts_can_reconnect_while_their_old_connections_remain(limit, hosts):
    """After a power loss of hosts, servers refused their new connections for three seconds."""
    assert 2 * hosts * max_retained_connections(connection_quota(limit, hosts)) <= limit


def test_quota_is_at_least_one_connection():
    assert connection_quota(4, 100) == 1


def waiter(workspace, order, priority=1):
    return Waiter(workspace, priority, deadline_ms=1_000, order=order)


def test_workspace_with_the_fewest_busy_connections_goes_first():
    waiters = [waiter("market", 0), waiter("market", 1), waiter("clinic", 2)]
    assert next_waiter(waiters, {"market": 3}) == 2


def test_ties_are_broken_by_priority_then_arrival():
    waiters = [waiter("a", 0, priority=2), waiter("b", 1), waiter("c", 2)]
    assert next_waiter(waiters, {}) == 1


def test_overloaded_workspace_delays_another_by_at_most_one_turn():
    """Simulates a workspace at eight times its usual load with a single connection."""
    waiting = [waiter("market", order) for order in range(40)]
    waiting.append(waiter("clinic", 40))
    busy = {"market": 1}
    served = [waiting.pop(next_waiter(waiting, busy)).workspace for _ in range(2)]
    assert served[0] == "clinic"
