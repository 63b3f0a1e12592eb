"""Each promise of the brief under the failure that it is about."""

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from figcrank.coordination import (
    CallPeer,
    GossipReceived,
    RecordDecision,
    RespondPeer,
    SendGossip,
    StartWork,
)
from figcrank.measure._load import ReadLoad, WriteLoad, create_table
from figcrank.measure._scenario import Scenario
from figcrank.protocol import ConfigPush, DrainServer, EditDone, EditObject, FailureKind, Outcome
from figcrank.standins._virtual_servers import PLATFORM
from figcrank.standins.samples import patna
from figcrank.state import Key, Workspace

scenarios("features")

SEED = 7
# Admission precedes the answer that is seen here by a varying time.
ANSWER_JITTER_MS = 50


class Recorder:
    """Keeps a text of every message that leaves a host core."""

    def __init__(self, fleet):
        self.texts = []
        for host in fleet.hosts.values():
            self._record(host.core)

    def _record(self, core):
        handle = core.handle

        def recorded(event, now_ms):
            actions = handle(event, now_ms)
            kinds = CallPeer | RespondPeer | SendGossip | StartWork | RecordDecision
            self.texts += [repr(action) for action in actions if isinstance(action, kinds)]
            return actions

        core.handle = recorded


@pytest.fixture
def context():
    return {}


def started(**options):
    return Scenario.from_size(patna(), seed=SEED, group_count=1, **options)


def primary_name(scenario):
    return scenario.fleet.groups[scenario.service].primary.server.name


def coordinator(scenario):
    owners = scenario.fleet.hosts["host-1"].core.placement.owners(scenario.service)
    return owners[0].name


def settle(scenario, load):
    load.stop()
    scenario.fleet.run_for(4_000)
    return load


# Given


@given("a fleet with an empty table", target_fixture="scenario")
@given("a fleet under a steady load of reads", target_fixture="scenario")
def fleet_with_table():
    scenario = started()
    create_table(scenario)
    return scenario


@given("a fleet that records every message between its parts", target_fixture="scenario")
def recorded_fleet(context):
    scenario = started()
    create_table(scenario)
    context["recorder"] = Recorder(scenario.fleet)
    return scenario


@given("a fleet whose replicas show changes 30 seconds late", target_fixture="scenario")
def lagging_fleet():
    scenario = started()
    create_table(scenario)
    for server in scenario.fleet.groups[scenario.service].servers.values():
        server.apply_lag_ms = 30_000
    return scenario


@given("a fleet under a steady load of writes", target_fixture="scenario")
def fleet_under_writes(context):
    return fleet_with_load(context)


@given("a fleet under a heavy load of writes", target_fixture="scenario")
def fleet_under_heavy_writes(context):
    return fleet_with_load(context, interval_ms=2)


@given("a fleet under a heavy load of writes with short deadlines", target_fixture="scenario")
def fleet_with_short_deadlines(context):
    return fleet_with_load(context, interval_ms=2, timeout_ms=300)


def fleet_with_load(context, **options):
    scenario = fleet_with_table()
    context["load"] = WriteLoad(scenario, **options)
    context["load"].start()
    scenario.fleet.run_for(500)
    return scenario


@given("host 7 is cut off from the other hosts and from the platform")
def cut_host(scenario, context):
    others = [name for name in scenario.fleet.hosts if name != "host-7"]
    scenario.fleet.network.cut("host-7", PLATFORM, *others)
    context["revisions"] = {}


# When


@when(parsers.parse("{seconds:d} seconds pass"))
def seconds_pass(scenario, seconds):
    scenario.fleet.run_for(seconds * 1_000)


@when("a dispatcher swaps a crew at host 1")
def swap_crew(scenario, context):
    sql = "INSERT INTO change (id, note) VALUES (1, 'night crew')"
    context["swap"] = scenario.finish(scenario.write(sql))
    assert context["swap"].answer is not None, context["swap"].failure


@when('the same session reads the shift at host 5 with the profile "relaxed"')
def read_shift(scenario, context):
    session = context["swap"].session
    call = scenario.read("SELECT note FROM change WHERE id = 1", host=5, session=session)
    context["read"] = scenario.finish(call)


@when("the primary is cut off from its replicas")
def cut_primary(scenario, context):
    context["primary"] = primary_name(scenario)
    servers = scenario.fleet.groups[scenario.service].servers
    others = [name for name in servers if name != context["primary"]]
    scenario.fleet.network.cut(context["primary"], *others)


@when("the cut heals")
def heal_primary(scenario, context):
    scenario.fleet.network.heal(context["primary"])


@when("the primary dies")
def kill_primary(scenario):
    scenario.fleet.groups[scenario.service].kill(primary_name(scenario))


@when("the coordinator of the group dies")
def kill_coordinator(scenario):
    scenario.fleet.kill(coordinator(scenario))


@when("the coordinator of the group is asked to shut down")
def drain_coordinator(scenario, context):
    context["leaver"] = coordinator(scenario)
    for _ in range(20):
        context["load"].send_to(int(context["leaver"].removeprefix("host-")))
    scenario.fleet.run_for(3)
    scenario.fleet.leave(context["leaver"])


@when("two workspaces each open a transaction and write to it")
def open_two(scenario, context):
    context["transactions"] = [open_transaction(scenario, number) for number in (1, 2)]


def open_transaction(scenario, number):
    fleet, key = scenario.fleet, scenario.key(number)
    begin = fleet.transaction("host-1", key, "begin", service=scenario.service)
    transaction = scenario.finish(begin).answer.transaction
    sql = f"INSERT INTO change (id, note) VALUES ({number}, 'workspace {number}')"
    step = fleet.transaction(
        f"host-{number + 2}", key, "statements", sql, transaction=transaction, timeout_ms=2_000
    )
    return transaction, step


@when("the first commits and the second rolls back")
def end_two(scenario, context):
    for number, action in ((1, "commit"), (2, "rollback")):
        transaction, step = context["transactions"][number - 1]
        scenario.finish(step)
        key = scenario.key(number)
        end = scenario.fleet.transaction("host-4", key, action, transaction=transaction)
        scenario.finish(end)


@when(parsers.parse("workspace 2 presents {item} of workspace 1"))
def present_foreign(scenario, context, item):
    fleet, own = scenario.fleet, scenario.key(2)
    if item == "a session":
        session = scenario.finish(scenario.write("DELETE FROM change")).session
        call = scenario.read("SELECT 1", workspace=2, session=session)
    elif item == "transaction":
        begin = fleet.transaction("host-1", scenario.key(1), "begin", service=scenario.service)
        transaction = scenario.finish(begin).answer.transaction
        call = fleet.transaction("host-2", own, "commit", transaction=transaction)
    else:
        call = fleet.statements("host-1", None, scenario.service, "fresh", "SELECT 1")
    context["call"] = scenario.finish(call)


def edit(scenario, value, kind, name):
    snapshot = scenario.fleet.hosts["host-2"].core.configuration.snapshot
    version = next(o.version for o in snapshot.since(0) if o.object_id.name == name)
    request = EditObject(kind, name, version, value, "operator-1")
    call = scenario.finish(scenario.fleet.operator("host-2", request))
    assert isinstance(call.reply, EditDone), call.reply


@when("an operator withdraws the key of workspace 1 at host 2")
def withdraw(scenario):
    key_id = scenario.key(1).key_id
    stored = scenario.fleet.hosts["host-2"].core.configuration.snapshot.find("key", key_id)
    assert isinstance(stored, Key)
    edit(scenario, msgspec.structs.replace(stored, withdrawn=True), "key", key_id)


@when("an operator doubles the rate of workspace 3 at host 2")
def double_rate(scenario, context):
    name = scenario.workspace(3)
    context["old"] = scenario.fleet.hosts["host-2"].core.configuration.snapshot
    context["rate"] = scenario.size.workspaces[2].rate_per_s * 2
    edit(scenario, Workspace(name, context["rate"], context["rate"]), "workspace", name)


@when("host 7 is connected again")
def reconnect(scenario, context):
    for name, host in scenario.fleet.hosts.items():
        context["revisions"][name] = host.core.configuration.snapshot.revision
    scenario.fleet.network.heal("host-7")


@when("the configuration of before is pushed to every host again")
def push_old(scenario, context):
    for entry in scenario.fleet.hosts.values():
        push = ConfigPush(0, context["old"].revision, context["old"].since(0))
        entry.core.handle(GossipReceived("host-1", push), scenario.fleet.loop.now_ms)


@when("workspace 5 sends 8 times its rate through every host for 5 seconds")
def flood(scenario, context):
    rate_per_s = scenario.size.workspaces[4].rate_per_s
    interval_ms = 1_000 // (8 * rate_per_s)
    calls = []
    for number in range(5 * 8 * rate_per_s):
        host = number % 9 + 1
        calls.append(scenario.read("SELECT 1", host=host, workspace=5))
        scenario.fleet.run_for(interval_ms)
    scenario.fleet.run_for(2_000)
    context["calls"] = calls


@when("60 callers each read a value of their own")
def read_own_values(scenario, context):
    context["calls"] = [
        scenario.read(f"SELECT {number}", host=number % 9 + 1) for number in range(60)
    ]


@when("a replica goes silent while they wait")
def silence_replica(scenario):
    scenario.fleet.run_for(3)
    replica(scenario).silent = True


def replica(scenario):
    group = scenario.fleet.groups[scenario.service]
    return next(s for s in group.servers.values() if s is not group.primary)


@when("an operator drains a replica")
def drain_replica(scenario, context):
    context["load"] = ReadLoad(scenario)
    context["load"].start()
    scenario.fleet.run_for(500)
    context["drained"] = replica(scenario).server.name
    assert context["drained"] in context["load"].served_since(0)
    request = DrainServer(scenario.service, context["drained"])
    scenario.finish(scenario.fleet.operator("host-2", request))


# Then


@then("the read shows the swap")
def shows_swap(context):
    assert context["read"].rows == [("night crew",)]


@then("a new primary has been promoted")
def promoted(scenario, context):
    assert primary_name(scenario) != context["primary"]


@then("every acknowledged write is in the final log exactly once")
def all_once(scenario, context):
    load = settle(scenario, context["load"])
    assert load.acknowledged
    found = load.final_ids()
    assert load.acknowledged <= set(found)
    assert len(found) == len(set(found))


@then("no write is in the final log twice")
def none_twice(scenario, context):
    found = context["load"].final_ids()
    assert len(found) == len(set(found))


@then("no refused write is in the final log")
def no_refused(scenario, context):
    load = settle(scenario, context["load"])
    assert not load.not_run & set(load.final_ids())


@then("only the first workspace's rows are in the table")
def first_only(scenario):
    read = scenario.read("SELECT id FROM change", profile="fresh")
    assert scenario.finish(read).rows == [(1,)]


@then(parsers.parse('it is refused with the kind "{kind}" and outcome "{outcome}"'))
def refused(context, kind, outcome):
    failure = context["call"].failure
    assert failure is not None
    assert (failure.kind, failure.outcome) == (kind, outcome)


@then("no message, decision or span contains the key's secret")
def no_secret(scenario, context):
    texts = context["recorder"].texts
    texts += [repr(span) for host in scenario.fleet.hosts.values() for span in host.spans]
    assert texts
    assert not [text for text in texts if scenario.key(1).secret in text]


@then("every host refuses the key of workspace 1")
def all_refuse(scenario):
    calls = [scenario.read("SELECT 1", host=number) for number in range(1, 10)]
    failures = [scenario.finish(call).failure for call in calls]
    assert all(failure is not None for failure in failures)
    kinds = {FailureKind.BAD_KEY, FailureKind.STALE_CONFIG}
    assert all(failure.kind in kinds for failure in failures)
    assert all(failure.outcome is Outcome.NOT_RUN for failure in failures)


@then("no window admits more than its rate and burst")
def within_rate(scenario, context):
    workspace = scenario.size.workspaces[4]
    times = sorted(call.answered_ms for call in context["calls"] if call.answer is not None)
    for first in range(len(times)):
        for last in range(first, len(times)):
            span_ms = times[last] - times[first] + ANSWER_JITTER_MS
            assert last - first + 1 <= workspace.burst + workspace.rate_per_s * span_ms / 1_000


@then("at least its rate is admitted")
def rate_admitted(scenario, context):
    admitted = [call for call in context["calls"] if call.answer is not None]
    assert len(admitted) >= 5 * scenario.size.workspaces[4].rate_per_s


@then("every answer is the caller's own value")
def own_values(context):
    answered = [(n, c) for n, c in enumerate(context["calls"]) if c.answered_ms is not None]
    assert len(answered) == 60
    assert all(call.rows == [(number,)] for number, call in answered)


@then("the replica serves no further read")
def no_further(scenario, context):
    start_ms = scenario.fleet.loop.now_ms
    scenario.fleet.run_for(500)
    context["load"].stop()
    scenario.fleet.run_for(500)
    served = context["load"].served_since(start_ms)
    assert served
    assert context["drained"] not in served


@then("the host has stopped")
def host_stopped(scenario, context):
    assert scenario.fleet.hosts[context["leaver"]].stopped


@then("every write was acknowledged")
def all_acknowledged(scenario, context):
    load = settle(scenario, context["load"])
    assert set(load.calls) == load.acknowledged


@then("every host but host 7 has the new rate in force")
def rate_in_force_elsewhere(scenario, context):
    rates = rates_of_workspace_3(scenario)
    del rates["host-7"]
    assert set(rates.values()) == {context["rate"]}


@then("every host has the new rate in force")
def rate_in_force(scenario, context):
    assert set(rates_of_workspace_3(scenario).values()) == {context["rate"]}


def rates_of_workspace_3(scenario):
    name = scenario.workspace(3)
    return {
        host: entry.core.configuration.workspace(name).rate_per_s
        for host, entry in scenario.fleet.hosts.items()
    }


@then("no host's revision ever fell")
def revisions_rise(scenario, context):
    for name, host in scenario.fleet.hosts.items():
        assert host.core.configuration.snapshot.revision >= context["revisions"][name]
