import pytest

from figcrank.coordination.placement import connection_quota, max_retained_connections


@pytest.mark.parametrize(("limit", "hosts"), [(34, 8), (39, 9), (34, 9), (39, 12), (258, 66)])
def test_quotas_of_all_hosts_stay_within_the_limit(limit, hosts):
    assert connection_quota(limit, hosts) * hosts <= limit


@pytest.mark.parametrize(("limit", "hosts"), [(34, 8), (39, 9), (258, 66)])
def test_restarted_hosts_can_reconnect_while_their_old_connections_remain(limit, hosts):
    """After a power loss of hosts, servers refused their new connections for three seconds."""
    assert 2 * hosts * max_retained_connections(connection_quota(limit, hosts)) <= limit


def test_quota_is_at_least_one_connection():
    assert connection_quota(4, 100) == 1
