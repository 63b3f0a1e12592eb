import pytest

from figcrank.coordination import GossipReceived, LeaveRequested, Tick
from figcrank.protocol import Ack, Digest, MemberUpdate, Ping, PlatformHost
from figcrank.state import HostState

DIGEST = Digest(0, 0)


def names(core):
    return [host.name for host in core.membership.hosts()]


def views(fleet):
    return {tuple(names(core)) for core in fleet.cores.values()}


def update_of(host, state, incarnation):
    return MemberUpdate(
        host.name, "zone-1", host.gossip_address, host.peer_address, incarnation, state, host.cell
    )


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_only_a_killed_host_is_dropped_everywhere(make_fleet, loss):
    fleet = make_fleet(9)
    fleet.loss = loss
    fleet.run(3_000)
    fleet.kill("cell-1-host-4")
    expected = {tuple(sorted(fleet.cores))}
    assert fleet.run(5_000, until=lambda: views(fleet) == expected)


def test_lost_datagrams_cause_no_false_death(make_fleet):
    fleet = make_fleet(9)
    fleet.loss = 0.2
    for _ in range(300):
        fleet.run(100)
        assert all(len(names(core)) == 9 for core in fleet.cores.values())


def test_new_host_becomes_known_to_all_from_one_seed(make_fleet, new_host):
    fleet = make_fleet(5)
    fleet.run(1_000)
    fleet.add(new_host(9), seeds=(new_host(1),))
    assert fleet.run(3_000, until=lambda: views(fleet) == {tuple(sorted(fleet.cores))})


def test_leaving_host_is_assigned_no_work_but_stays_known(make_fleet):
    fleet = make_fleet(5)
    fleet.run(1_000)
    fleet.send("cell-1-host-2", LeaveRequested())
    fleet.run(500)
    for core in fleet.cores.values():
        assert "cell-1-host-2" not in names(core)
        assert core.membership.host("cell-1-host-2") is not None
        assert core.membership.state("cell-1-host-2") is HostState.LEAVING


def test_a_host_is_dead_once_another_answers_at_its_address(make_fleet, new_host):
    fleet = make_fleet(5)
    fleet.run(1_000)
    fleet.kill("cell-1-host-3")
    fleet.add(new_host(3, name="replacement"))
    fleet.run(700)
    assert views(fleet) == {tuple(sorted(fleet.cores))}


def test_paused_host_refutes_its_death(make_fleet):
    fleet = make_fleet(5)
    fleet.run(1_000)
    fleet.paused["cell-1-host-3"] = fleet.now_ms + 10_000
    fleet.run(9_000)
    assert "cell-1-host-3" not in names(fleet.cores["cell-1-host-1"])
    fleet.run(5_000)
    assert views(fleet) == {tuple(sorted(fleet.cores))}
    assert fleet.cores["cell-1-host-1"].membership.incarnation("cell-1-host-3") > 0


def test_partitioned_halves_merge_after_the_partition(make_fleet):
    fleet = make_fleet(6)
    fleet.run(1_000)
    fleet.is_cut = lambda a, b: (a < "cell-1-host-4") != (b < "cell-1-host-4")
    fleet.run(5_000)
    assert len(views(fleet)) == 2
    fleet.is_cut = lambda a, b: False
    assert fleet.run(20_000, until=lambda: views(fleet) == {tuple(sorted(fleet.cores))})


def test_platform_list_adds_and_removes_no_member_without_a_probe(make_fleet, new_host):
    fleet = make_fleet(3)
    fleet.run(1_000)
    core = fleet.cores["cell-1-host-1"]
    ghost = PlatformHost("ghost", "zone-1", "10.0.9.9:1", "10.0.9.9:2")
    gone = PlatformHost("cell-1-host-2", "zone-1", "10.0.1.2:1", "10.0.1.2:2", leaving=True)
    core.membership.on_platform_hosts((ghost, gone), fleet.now_ms)
    fleet.run(3_000)
    assert names(core) == sorted(fleet.cores)


@pytest.mark.parametrize(
    ("state", "incarnation", "address"),
    [
        (HostState.DEAD, 2**40, "10.0.1.2:1"),
        (HostState.DEAD, -1, "10.0.1.2:1"),
        (HostState.DEAD, 5, "10.9.9.9:1"),
        (HostState.SUSPECT, 5, "garbled"),
    ],
)
def test_implausible_update_is_ignored(make_fleet, new_host, state, incarnation, address):
    fleet = make_fleet(3)
    fleet.run(500)
    core = fleet.cores["cell-1-host-1"]
    bad = MemberUpdate("cell-1-host-2", "zone-1", address, address, incarnation, state)
    fleet.send("cell-1-host-1", GossipReceived("cell-1-host-3", Ping(1, DIGEST, (bad,))))
    assert core.membership.state("cell-1-host-2") is HostState.ALIVE
    assert core.membership.incarnation("cell-1-host-2") == 0


@pytest.mark.parametrize(("incarnation", "expected"), [(0, 1), (7, 8), (2**40, 0), (-1, 0)])
def test_host_refutes_only_plausible_updates(make_fleet, incarnation, expected):
    fleet = make_fleet(3)
    fleet.run(500)
    core = fleet.cores["cell-1-host-1"]
    update = update_of(fleet.hosts["cell-1-host-1"], HostState.DEAD, incarnation)
    fleet.send("cell-1-host-1", GossipReceived("cell-1-host-2", Ping(1, DIGEST, (update,))))
    assert core.membership.incarnation("cell-1-host-1") == expected
    fleet.send("cell-1-host-1", GossipReceived("cell-1-host-2", Ping(1, DIGEST, (update,))))
    assert core.membership.incarnation("cell-1-host-1") == expected


def test_old_suspicion_lowers_no_incarnation(make_fleet):
    fleet = make_fleet(3)
    fleet.run(500)
    core = fleet.cores["cell-1-host-1"]
    for incarnation in (7, 0):
        update = update_of(fleet.hosts["cell-1-host-1"], HostState.SUSPECT, incarnation)
        fleet.send("cell-1-host-1", GossipReceived("cell-1-host-2", Ping(1, DIGEST, (update,))))
    assert core.membership.incarnation("cell-1-host-1") == 8


def test_paused_host_suspects_no_peer(make_fleet):
    fleet = make_fleet(3)
    fleet.run(1_000)
    # A probe is in flight; the pause ends before its answer is read.
    fleet.is_cut = lambda a, b: True
    fleet.run(199)
    fleet.now_ms += 5_000
    fleet.send("cell-1-host-1", Tick())
    membership = fleet.cores["cell-1-host-1"].membership
    assert {membership.state(name) for name in fleet.cores} == {HostState.ALIVE}


def test_host_that_answers_no_probe_is_never_added(make_fleet, new_host):
    fleet = make_fleet(3)
    fleet.run(500)
    foreign = update_of(new_host(8, name="foreign"), HostState.ALIVE, 0)
    replayed = Ping(7, DIGEST, (foreign,))
    for _ in range(20):
        fleet.send("cell-1-host-1", GossipReceived("foreign", replayed))
        fleet.send(
            "cell-1-host-1", GossipReceived("foreign", Ack(7, "foreign", DIGEST, (foreign,)))
        )
        fleet.run(200)
    assert views(fleet) == {tuple(sorted(fleet.cores))}


def test_traffic_of_a_host_does_not_grow_with_the_cell(make_fleet):
    def bytes_per_host_s(size):
        fleet = make_fleet(size)
        # Every peer has this host's address after one round of probes.
        fleet.run(size * 200 + 2_000)
        fleet.bytes_sent = 0
        fleet.run(5_000)
        return fleet.bytes_sent / size / 5

    assert bytes_per_host_s(30) < 1.3 * bytes_per_host_s(9)


def test_hosts_of_other_cells_are_contacts_without_work(new_host, make_fleet):
    hosts = [new_host(n, cell=f"cell-{c}") for c in (1, 2, 3) for n in (1, 2, 3, 4)]
    fleet = make_fleet(0)
    fleet.seeds = tuple(hosts)
    for host in hosts:
        fleet.add(host)
    fleet.run(3_000)
    membership = fleet.cores["cell-1-host-1"].membership
    assert len(membership.hosts()) == 4
    assert len(membership.contacts()) == 4
