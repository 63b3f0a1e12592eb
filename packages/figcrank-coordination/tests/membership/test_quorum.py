import pytest

from figcrank.coordination.membership._member_table import Member, MemberViews
from figcrank.coordination.membership._probes import Probe, ProbePurpose
from figcrank.coordination.membership._quorum import Quorum
from figcrank.state import HostState

NOW_MS = 10_000
WINDOW_MS = 1_500


def views_of(hosts, dead=0, left=0):
    alive = len(hosts) - dead - left
    states = [HostState.ALIVE] * alive + [HostState.DEAD] * (dead + left)
    members = [
        Member(host, state, 0, 0, has_left=number >= alive + dead)
        for number, (host, state) in enumerate(zip(hosts, states, strict=True))
    ]
    return MemberViews.from_members(members, hosts[0])


def probe_of(host, sent_ms=NOW_MS - 500):
    return Probe(1, host, ProbePurpose.MEMBER, sent_ms)


@pytest.fixture
def hosts(new_host):
    return [new_host(number) for number in range(1, 10)]


@pytest.mark.parametrize(
    ("dead", "left", "holds"), [(0, 0, True), (4, 0, True), (5, 0, False), (0, 6, True)]
)
def test_hosts_that_left_do_not_count_towards_the_majority(hosts, dead, left, holds):
    quorum = Quorum(hosts[0], WINDOW_MS, False)
    assert quorum.reaches_majority(views_of(hosts, dead, left), NOW_MS) is holds


@pytest.mark.parametrize(("answered", "holds"), [(7, True), (4, True), (3, False), (0, False)])
def test_unanswered_probes_count_before_states_change(hosts, answered, holds):
    quorum = Quorum(hosts[0], WINDOW_MS, False)
    for number in range(8):
        quorum.record(probe_of(hosts[1]), answered=number < answered)
    assert quorum.reaches_majority(views_of(hosts), NOW_MS) is holds


def test_answers_of_most_hosts_outweigh_lost_probes(hosts):
    quorum = Quorum(hosts[0], WINDOW_MS, False)
    for _ in range(20):
        quorum.record(probe_of(hosts[1]), answered=False)
    for host in hosts[1:5]:
        assert not quorum.reaches_majority(views_of(hosts), NOW_MS)
        quorum.record(probe_of(host), answered=True)
    assert quorum.reaches_majority(views_of(hosts), NOW_MS)


def test_old_probes_do_not_count(hosts):
    quorum = Quorum(hosts[0], WINDOW_MS, False)
    quorum.record(probe_of(hosts[1], NOW_MS - WINDOW_MS - 1), answered=False)
    assert quorum.reaches_majority(views_of(hosts), NOW_MS)


def test_another_cell_must_be_reached_once_known(hosts, new_host):
    quorum = Quorum(hosts[0], WINDOW_MS, True)
    views = views_of(hosts)
    assert not quorum.reaches_majority(views, NOW_MS)
    quorum.record(probe_of(new_host(1, cell="cell-2")), answered=True)
    assert quorum.reaches_majority(views, NOW_MS)
    assert not quorum.reaches_majority(views, NOW_MS + WINDOW_MS)
