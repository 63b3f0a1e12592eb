import pytest

from figcrank.protocol import DrainServer, FailureKind, Fence, SwitchPrimary

MAX_WRITE_GAP_MS = 1_500


def kill_primary(fleet):
    fleet.group.kill(fleet.primary)


def silence_primary(fleet):
    fleet.group.servers[fleet.primary].silent = True


def cut_primary_from_replicas(fleet):
    fleet.virtual_fleet.network.cut(fleet.primary, *fleet.replicas)


def kill_primary_and_coordinator(fleet):
    kill_primary(fleet)
    fleet.virtual_fleet.loop.after(300, lambda: fleet.virtual_fleet.kill(fleet.owners[0]))


def cut_zone_of_primary(fleet):
    group = fleet.group
    zone = group.primary.server.availability_zone
    inside = [fleet.primary]
    inside += [
        h.host.name for h in fleet.virtual_fleet.hosts.values() if h.host.availability_zone == zone
    ]
    outside = [name for name in (*fleet.virtual_fleet.hosts, *group.servers) if name not in inside]
    for name in inside:
        fleet.virtual_fleet.network.cut(name, *outside)


@pytest.mark.parametrize(
    "fault",
    [kill_primary, silence_primary, cut_primary_from_replicas, kill_primary_and_coordinator],
)
@pytest.mark.parametrize("platform_down", [False, True])
def test_writes_resume_soon_after_a_failure(make_group_fleet, fault, platform_down):
    fleet = make_group_fleet()
    fleet.virtual_fleet.platform.down = platform_down
    fleet.start_load(4_000)
    fleet.run_for(500)
    fault(fleet)
    fleet.run_for(10_000)
    fleet.assert_no_write_lost_or_duplicated()
    assert fleet.longest_write_gap_ms() <= MAX_WRITE_GAP_MS


def test_primary_moves_out_of_an_isolated_zone(make_group_fleet):
    fleet = make_group_fleet()
    fleet.start_load(3_000)
    old = fleet.primary
    fleet.run_for(500)
    cut_zone_of_primary(fleet)
    fleet.run_for(9_000)
    assert fleet.primary != old
    for name in fleet.virtual_fleet.hosts:
        fleet.virtual_fleet.network.heal(name)
    fleet.virtual_fleet.network.heal(old)
    fleet.run_for(3_000)
    fleet.assert_no_write_lost_or_duplicated()


def test_restarted_former_primary_becomes_a_replica(make_group_fleet):
    fleet = make_group_fleet()
    old = fleet.primary
    fleet.group.kill(old)
    fleet.run_for(2_000)
    fleet.group.restart(old)
    fleet.run_for(2_000)
    new = fleet.group.primary.model.status()
    returned = fleet.group.servers[old].model.status()
    assert (returned.role, returned.term) == ("replica", new.term)
    assert returned.durable == new.durable


def test_one_host_cut_off_from_the_primary_starts_no_failover(make_group_fleet):
    fleet = make_group_fleet()
    term = fleet.group.primary.model.term
    fleet.virtual_fleet.network.cut(fleet.owners[0], fleet.primary)
    fleet.run_for(3_000)
    assert fleet.group.primary.model.term == term


def test_server_fenced_in_a_later_term_rejoins(make_group_fleet):
    fleet = make_group_fleet()
    fenced_server = fleet.group.servers[fleet.replicas[0]].model
    fenced_server.request(Fence(fenced_server.term + 5, "nobody"))
    fleet.run_for(3_000)
    assert fenced_server.role == "replica"
    assert fenced_server.term == fleet.group.primary.model.term


def test_two_coordinators_end_with_one_primary(make_group_fleet):
    fleet = make_group_fleet()
    fleet.start_load(3_000)
    first = fleet.owners[0]
    kill_primary(fleet)
    fleet.run_for(430)
    fleet.virtual_fleet.pause(first)
    fleet.run_for(1_500)
    fleet.virtual_fleet.resume(first)
    fleet.run_for(8_000)
    fleet.assert_no_write_lost_or_duplicated()
    roles = [s.model.role for s in fleet.group.servers.values() if s.alive]
    assert roles.count("primary") == 1


def test_a_planned_switch_fails_no_write(make_group_fleet):
    fleet = make_group_fleet()
    old = fleet.primary
    fleet.start_load(2_000)
    fleet.run_for(500)
    owner = fleet.virtual_fleet.hosts[fleet.owners[0]].core.owners["roster"]
    assert owner.switch("", fleet.virtual_fleet.loop.now_ms) is None
    fleet.run_for(6_000)
    assert fleet.primary != old
    assert all(call.answer is not None for call in fleet.calls.values())
    fleet.assert_no_write_lost_or_duplicated()


def test_a_leaving_server_gets_no_new_work_within_two_seconds(make_group_fleet):
    fleet = make_group_fleet()
    leaving = fleet.primary
    fleet.group.servers[leaving].model.leaving = True
    fleet.run_for(2_000)
    served = set()
    for number in range(1, 30):
        served.add(fleet.finish(fleet.insert(number)).answer.served_by)
        served.add(fleet.finish(fleet.read("SELECT 1")).answer.served_by)
        served.add(fleet.finish(fleet.read("SELECT 1", profile="relaxed")).answer.served_by)
    assert leaving not in served


@pytest.mark.parametrize("at_owner", [True, False])
def test_a_server_drained_at_one_host_gets_no_new_work_from_any(make_group_fleet, at_owner):
    fleet = make_group_fleet()
    drained = fleet.primary
    host = fleet.owners[0] if at_owner else fleet.entry
    request = DrainServer("roster", drained)
    fleet.finish(fleet.virtual_fleet.operator(host, request))
    fleet.run_for(2_000)
    served = set()
    for number in range(1, 20):
        served.add(fleet.finish(fleet.insert(number)).answer.served_by)
        served.add(fleet.finish(fleet.read("SELECT 1", profile="relaxed")).answer.served_by)
    assert drained not in served
    fleet.finish(fleet.virtual_fleet.operator(host, DrainServer("roster", drained, draining=False)))
    fleet.run_for(1_000)
    hosts = list(fleet.virtual_fleet.hosts)
    reads = [fleet.read("SELECT 1", profile="relaxed", host=h) for h in hosts for _ in range(9)]
    assert drained in {fleet.finish(read).answer.served_by for read in reads}


def test_switch_requested_at_another_host_names_a_probing_host(make_group_fleet):
    fleet = make_group_fleet()
    refused = fleet.finish(fleet.virtual_fleet.operator(fleet.entry, SwitchPrimary("roster")))
    assert refused.reply.failure.kind is FailureKind.NO_OWNER
    assert fleet.owners[0] in refused.reply.failure.message


def test_every_change_of_primary_is_in_the_decision_log(make_group_fleet):
    fleet = make_group_fleet()
    fleet.finish(fleet.virtual_fleet.operator(fleet.owners[0], SwitchPrimary("roster")))
    fleet.run_for(1_000)
    kinds = [decision.kind for decision in fleet.virtual_fleet.decisions()]
    assert kinds.index("switch") < len(kinds) - 1 - kinds[::-1].index("promotion")
    assert {"fence", "promotion", "switch"} <= set(kinds)
