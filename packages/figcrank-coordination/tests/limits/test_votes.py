from figcrank.coordination.limits._limit_timings import (
    BACKLOG_MS,
    VOTE_VALID_MS,
    VOTER_RETENTION_MS,
)
from figcrank.coordination.limits._votes import PauseDetector, Voters, Votes
from figcrank.measure._limit_fleet import View, make_host

HOSTS = tuple(make_host(number) for number in range(9))


def test_a_message_read_just_after_a_pause_may_have_arrived_when_it_began():
    pauses = PauseDetector()
    for now_ms in (0, 10, 210):
        pauses.observe(now_ms)
    assert pauses.earliest_arrival_ms(210) == 10
    assert pauses.earliest_arrival_ms(210 + BACKLOG_MS + 1) == 210 + BACKLOG_MS + 1


def test_a_vote_is_valid_for_a_limited_time():
    votes = Votes()
    votes.add("host-1", 100, 0)
    assert votes.supporters(100 + VOTE_VALID_MS - 1) == {"host-1"}
    assert votes.supporters(100 + VOTE_VALID_MS) == set()


def test_exclusive_from_is_when_the_last_of_the_needed_hosts_became_free():
    votes = Votes()
    for name, free_from_ms in (("host-1", 10), ("host-2", 70), ("host-3", 40)):
        votes.add(name, 100, free_from_ms)
    assert votes.exclusive_from_ms({"host-1", "host-2", "host-3"}, 2) == 40


def test_lost_hosts_count_for_a_while_and_leaving_hosts_do_not():
    view = View(HOSTS)
    voters = Voters(view, HOSTS)
    voters.refresh(0)
    view.remove("host-1")
    view.leaving.add("host-2")
    voters.refresh(VOTER_RETENTION_MS)
    assert len(voters.names()) == 8
    assert not voters.is_majority({f"host-{n}" for n in range(3, 7)})
    voters.refresh(VOTER_RETENTION_MS + 1)
    assert len(voters.names()) == 7
    assert voters.is_majority({f"host-{n}" for n in range(3, 7)})


def test_hosts_without_a_recent_vote_are_listed_in_a_fixed_order():
    votes = Votes()
    votes.add("host-3", 100, 0)
    names = frozenset(host.name for host in HOSTS)
    expected = [f"host-{n}" for n in range(9) if n != 3]
    assert votes.without_recent_vote(names, 110) == expected
