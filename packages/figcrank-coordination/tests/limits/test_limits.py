import pytest

from figcrank.coordination import RecordDecision, SendGossip
from figcrank.measure._limit_fleet import LimitFleet, Network, make_host
from figcrank.protocol import FailureKind, HomeHandover, Slice, SliceGrants
from figcrank.state import Workspace

CREW = Workspace("crew", 100, 50)
SETTLED_MS = 3_000


def settled_fleet(network=None, workspaces=(CREW,), size=9):
    """Return a fleet with full buckets whose home hosts have lent tokens recently."""
    fleet = LimitFleet(workspaces, 3, network, size)
    fleet.run([], SETTLED_MS)
    for workspace in workspaces:
        fleet.ask(workspace.name, 0)
    fleet.run([], SETTLED_MS + 500)
    fleet.outcomes.clear()
    return fleet


def ask(fleet, times, host, workspace="crew"):
    for _ in range(times):
        fleet.ask(workspace, host)


def flood(fleet, duration_ms, hosts=range(9), workspace="crew"):
    end_ms = fleet.now_ms + duration_ms
    hosts = list(hosts)
    while fleet.now_ms < end_ms:
        fleet.ask(workspace, hosts[fleet.now_ms % len(hosts)])
        fleet.run([], fleet.now_ms + 1)


def admitted(fleet):
    return len(fleet.outcomes["crew"].admitted_ms)


def refused(fleet):
    return len(fleet.outcomes["crew"].refused_ms)


@pytest.mark.parametrize("host", range(9))
def test_a_whole_burst_is_admitted_at_any_host_within_a_few_milliseconds(host):
    fleet = settled_fleet()
    ask(fleet, CREW.burst, host)
    fleet.run([], fleet.now_ms + 25)
    assert admitted(fleet) == CREW.burst


@pytest.mark.parametrize("host", range(9))
def test_a_whole_burst_is_admitted_after_a_minute_idle(host):
    fleet = LimitFleet([CREW], 3)
    fleet.run([], 60_000)
    ask(fleet, CREW.burst, host)
    fleet.run([], fleet.now_ms + 50)
    assert admitted(fleet) == CREW.burst


def test_an_idle_fleet_sends_nothing():
    fleet = settled_fleet()
    fleet.run([], fleet.now_ms + 10_000)
    fleet.messages = 0
    fleet.run([], fleet.now_ms + 5_000)
    assert fleet.messages == 0


def test_a_burst_spread_over_hosts_is_admitted():
    fleet = settled_fleet()
    for host in range(9):
        ask(fleet, 5, host)
    fleet.run([], fleet.now_ms + 25)
    assert (admitted(fleet), refused(fleet)) == (45, 0)


def test_a_request_waits_for_a_token_that_is_due():
    fleet = settled_fleet()
    ask(fleet, CREW.burst + 5, 1)
    fleet.run([], fleet.now_ms + 100)
    assert (admitted(fleet), refused(fleet)) == (CREW.burst + 5, 0)


def test_requests_that_get_no_token_in_time_are_refused_at_once_with_a_retry_time():
    fleet = settled_fleet()
    member = fleet.members[1]
    answers = []
    start_ms = fleet.now_ms
    for _ in range(400):
        member.limiter.admit(
            CREW,
            start_ms + 5_000,
            start_ms,
            lambda failure, at_ms: answers.append((failure, at_ms)),
        )
    fleet.run([], start_ms + 10)
    refusals = [failure for failure, _ in answers if failure]
    assert len(refusals) >= 300
    assert {failure.kind for failure in refusals} == {FailureKind.OVER_LIMIT}
    assert all(failure.retry_after_ms > 0 for failure in refusals)


def test_every_request_gets_one_decision_by_its_deadline():
    fleet = settled_fleet()
    fleet.kill(fleet.home("crew"))
    answers = []
    live = next(member for member in fleet.members if member.alive)
    deadline_ms = fleet.now_ms + 120
    for _ in range(30):
        live.limiter.admit(CREW, deadline_ms, fleet.now_ms, lambda f, at_ms: answers.append(at_ms))
    fleet.run([], deadline_ms)
    assert len(answers) == 30
    assert max(answers) <= deadline_ms


def test_a_flood_gets_the_rate_and_no_more():
    fleet = settled_fleet()
    flood(fleet, 4_000)
    assert fleet.over_admission("crew") == 0
    assert admitted(fleet) >= 0.95 * (CREW.burst + 4 * CREW.rate_per_s)


def test_a_fleet_that_starts_lends_nothing_before_earlier_slices_could_have_expired():
    fleet = LimitFleet([CREW], 3)
    flood(fleet, 300)
    assert admitted(fleet) == 0
    flood(fleet, 1_000)
    assert fleet.over_admission("crew") == 0
    assert admitted(fleet) > 0


def test_a_single_host_lends_as_soon_as_it_has_its_own_vote():
    fleet = LimitFleet([CREW], 3, size=1)
    fleet.run([], 1_000)
    ask(fleet, 20, 0)
    fleet.run([], 1_020)
    assert admitted(fleet) == 20


def test_a_leaving_home_hands_its_tokens_over():
    fleet = settled_fleet()
    fleet.leave(fleet.home("crew"))
    fleet.run([], fleet.now_ms + 10)
    entry = fleet.members.index(fleet.home("crew"))
    ask(fleet, CREW.burst, entry)
    fleet.run([], fleet.now_ms + 25)
    assert admitted(fleet) == CREW.burst


def test_a_joining_host_is_handed_the_buckets_of_its_workspaces():
    workspaces = [Workspace(f"crew-{n}", 100, 50) for n in range(20)]
    fleet = settled_fleet(workspaces=workspaces)
    joined = fleet.join()
    fleet.run([], fleet.now_ms + 60)
    moved = [w.name for w in workspaces if fleet.home(w.name) is joined]
    assert moved
    ask(fleet, 50, 0, moved[0])
    fleet.run([], fleet.now_ms + 40)
    assert len(fleet.outcomes[moved[0]].admitted_ms) == 50


def test_a_replayed_hand_over_adds_nothing():
    fleet = settled_fleet()
    leaving = fleet.home("crew")
    captured = []
    leaving.outbox.drain()
    original = leaving.outbox.gossip
    leaving.outbox.gossip = lambda host, message: (
        captured.append(message),
        original(host, message),
    )
    fleet.leave(leaving)
    fleet.run([], fleet.now_ms + 10)
    successor = fleet.home("crew")
    ask(fleet, CREW.burst, fleet.members.index(successor))
    fleet.run([], fleet.now_ms + 10)
    for message in captured * 3:
        successor.limiter.on_gossip(leaving.host.name, message, fleet.now_ms)
    flood(fleet, 1_000)
    assert fleet.over_admission("crew") == 0


def test_a_replayed_hand_over_is_dropped_even_by_a_home_that_has_no_bucket():
    fleet = settled_fleet()
    leaving = fleet.home("crew")
    captured = []
    leaving.outbox.gossip = lambda host, message: captured.append((host, message))
    fleet.leave(leaving)
    host, handover = next(item for item in captured if isinstance(item[1], HomeHandover))
    successor = fleet.member(host.name)
    for _ in range(2):
        successor.limiter.on_gossip(leaving.host.name, handover, fleet.now_ms)
        successor.view.remove(host.name)
        fleet.run([], fleet.now_ms + 20)
        successor.view.add(host)
    decisions = successor.outbox.decisions("crew")
    assert sum(decision.reason.startswith("Took over") for decision in decisions) == 1


def test_a_home_that_comes_back_discards_its_bucket_if_another_lent_meanwhile():
    fleet = settled_fleet(workspaces=[Workspace("crew", 100, 200)])
    home = fleet.home("crew")
    others = [member for member in fleet.members if member is not home]
    for member in others:
        fleet.parted.add(frozenset((home.host.name, member.host.name)))
        member.view.remove(home.host.name)
    entries = [fleet.members.index(member) for member in others]
    flood(fleet, 800, entries)
    fleet.run([], fleet.now_ms + 3_000)
    flood(fleet, 300, entries)
    successor = fleet.member(others[0].placement.home("crew").name)
    fleet.parted = {frozenset((home.host.name, successor.host.name))}
    for member in others:
        member.view.add(home.host)
    flood(fleet, 1_500, entries)
    assert fleet.over_admission("crew") == 0


def test_a_killed_home_is_replaced_without_over_admission():
    fleet = settled_fleet()
    killed = fleet.home("crew")
    flood(fleet, 500)
    fleet.kill(killed)
    flood(fleet, 100)
    fleet.forget(killed.host.name)
    flood(fleet, 2_500)
    assert fleet.over_admission("crew") == 0
    assert admitted(fleet) > 2 * CREW.rate_per_s


@pytest.mark.parametrize("pause_ms", [70, 200, 400, 1_000, 3_000])
@pytest.mark.parametrize("noticed", [True, False])
def test_a_resumed_home_admits_nothing_beyond_the_limit(pause_ms, noticed):
    fleet = settled_fleet(Network(0.05, 0.1, 1, 20))
    paused = fleet.home("crew")
    flood(fleet, 500)
    paused.paused = True
    if noticed:
        fleet.forget(paused.host.name)
    flood(fleet, pause_ms)
    fleet.resume(paused)
    flood(fleet, 2_000)
    assert fleet.over_admission("crew") == 0


def test_hosts_that_disagree_on_the_home_host_never_exceed_the_limit():
    fleet = settled_fleet()
    home = fleet.home("crew")
    for member in fleet.members[::2]:
        if member is not home:
            member.view.remove(home.host.name)
    flood(fleet, 3_000)
    assert fleet.over_admission("crew") == 0


def test_a_partitioned_minority_stops_lending_and_the_majority_continues():
    fleet = settled_fleet()
    home = fleet.members.index(fleet.home("crew"))
    minority = {home, (home + 1) % 9, (home + 2) % 9}
    for one in range(9):
        for other in range(9):
            if (one in minority) != (other in minority):
                names = {fleet.members[one].host.name, fleet.members[other].host.name}
                fleet.parted.add(frozenset(names))
    flood(fleet, 800)
    for one, member in enumerate(fleet.members):
        for other in range(9):
            if (one in minority) != (other in minority):
                member.view.remove(make_host(other).name)
    flood(fleet, 1_500)
    fleet.run([], fleet.now_ms + 400)
    before = admitted(fleet)
    flood(fleet, 1_000, minority)
    assert admitted(fleet) == before
    flood(fleet, 1_000, set(range(9)) - minority)
    assert admitted(fleet) > before
    assert fleet.over_admission("crew") == 0


@pytest.mark.parametrize(("after_ms", "expected"), [(299, 1), (300, 0)])
def test_a_lease_counts_from_when_the_report_was_sent(after_ms, expected):
    fleet = LimitFleet([CREW], 3, size=2)
    home = fleet.home("crew")
    receiver = next(member for member in fleet.members if member is not home)
    results = []
    receiver.limiter.admit(CREW, 9_000, 0, lambda failure, at_ms: results.append(failure))
    report = next(a.message for a in receiver.outbox.drain() if isinstance(a, SendGossip))
    grants = SliceGrants(report.seq, (Slice("crew", 1, 2_000, 300),))
    receiver.limiter.on_gossip(home.host.name, grants, 250)
    assert results == [None]
    receiver.limiter.admit(CREW, 9_000, after_ms, lambda failure, at_ms: results.append(failure))
    assert len(results) - 1 == expected


def test_slices_from_a_host_that_is_not_the_home_are_dropped():
    fleet = LimitFleet([CREW], 3, size=3)
    home = fleet.home("crew")
    receiver, other = (member for member in fleet.members if member is not home)
    results = []
    receiver.limiter.admit(CREW, 9_000, 0, lambda failure, at_ms: results.append(failure))
    report = next(a.message for a in receiver.outbox.drain() if isinstance(a, SendGossip))
    grants = SliceGrants(report.seq, (Slice("crew", 1, 2_000, 300),))
    receiver.limiter.on_gossip(other.host.name, grants, 5)
    assert results == []


def test_changes_of_home_are_in_the_decision_log():
    fleet = settled_fleet()
    home = fleet.home("crew")
    home.outbox.drain()
    home.limiter.leave(fleet.now_ms)
    decisions = [a.decision for a in home.outbox.drain() if isinstance(a, RecordDecision)]
    assert [(d.kind, d.subject) for d in decisions] == [("hand-over", "crew")]


def test_statuses_contain_home_tokens_and_counts():
    fleet = settled_fleet()
    ask(fleet, 3, 4)
    fleet.run([], fleet.now_ms + 20)
    status = fleet.members[4].limiter.statuses(fleet.now_ms)[0]
    assert (status.workspace, status.rate_per_s, status.burst) == ("crew", 100, 50)
    assert status.home == fleet.home("crew").host.name
    assert (status.admitted, status.refused) == (3, 0)
