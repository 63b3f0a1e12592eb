"""How fast edits and withdrawals take hold everywhere, and what that costs the platform."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from figcrank.measure._report import Limit, Measure
from figcrank.measure._scenario import Scenario, make_hosts
from figcrank.protocol import (
    EditDone,
    EditObject,
    FailureKind,
    ListHosts,
    ListObjects,
    PlatformHost,
    PutObject,
    WatchObjects,
)
from figcrank.standins._virtual_servers import PLATFORM
from figcrank.standins.samples import patna
from figcrank.standins.virtual import Call, VirtualFleet, VirtualHost
from figcrank.state import ConfigObject, ConfigValue, Host, Key, ObjectId

CALL_TIMEOUT_MS = 50
CELL_SIZE = 36
FLEET_SIZE = 3_600
IDLE_MS = 30_000
IDLE_WARM_UP_MS = 10_000
IN_FORCE_BOUND_MS = 2_000
PLATFORM_BOUND_PER_S = 10
READS_BOUND_PER_S = 2_000
REQUEST_INTERVAL_MS = 10
SEEDS = (1, 2, 3, 4, 5)
WAIT_MS = 10_000
WITHDRAWAL_BOUND_MS = 2_000
WRITES_BOUND_PER_S = 300
_READ_CALLS = (ListHosts, ListObjects, WatchObjects)
_KEY_REFUSALS = (FailureKind.BAD_KEY, FailureKind.STALE_CONFIG)


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong around an edit.

    :param label: what it is called in the report.
    :param inflict: does it, just before the edit is sent.
    """

    label: str
    inflict: Callable[[Scenario], None]


def _nothing(scenario: Scenario) -> None:
    """Leave the fleet as it is."""


def _lose_gossip(scenario: Scenario) -> None:
    scenario.fleet.network.datagram_loss = 0.2


def _lag_host_list(scenario: Scenario) -> None:
    live = scenario.fleet.hosts.values()
    entries = [_platform_host(entry.host) for entry in live][:3]
    ghosts = make_hosts(9, ("zone-1",))
    entries += [_platform_host(replace(host, name=f"old-{host.name}")) for host in ghosts]
    scenario.fleet.platform.model.set_hosts(tuple(entries))


def _kill_watcher(scenario: Scenario) -> None:
    scenario.fleet.kill(_watcher(scenario))


def _cut_off_host(scenario: Scenario) -> None:
    lonely = list(scenario.fleet.hosts)[-1]
    others = [name for name in scenario.fleet.hosts if name != lonely]
    scenario.fleet.network.cut(lonely, PLATFORM, *others)


def _everything(scenario: Scenario) -> None:
    _lose_gossip(scenario)
    _lag_host_list(scenario)
    _kill_watcher(scenario)


FAULTS = (
    Fault("quiet", _nothing),
    Fault("20% of gossip lost", _lose_gossip),
    Fault("lagging host list", _lag_host_list),
    Fault("watcher killed", _kill_watcher),
    Fault("gossip lost, list lagging, watcher killed", _everything),
)
CUT_OFF = Fault("one host cut off from everything", _cut_off_host)


def config_in_force() -> Iterator[Measure]:
    """Yield the times from the acceptance of an edit to the last live host, worst of the seeds."""
    for fault in FAULTS:
        worst_ms = max(_in_force_ms(fault, seed) for seed in SEEDS)
        yield Measure.from_value(
            "config_in_force_ms", fault.label, worst_ms, "ms", Limit.AT_MOST, IN_FORCE_BOUND_MS
        )


def key_withdrawal() -> Iterator[Measure]:
    """Yield the times from the acceptance of a withdrawal to the last admitted request."""
    for fault in (*FAULTS, CUT_OFF):
        worst_ms = max(_withdrawal_ms(fault, seed) for seed in SEEDS)
        yield Measure.from_value(
            "key_withdrawal_ms", fault.label, worst_ms, "ms", Limit.AT_MOST, WITHDRAWAL_BOUND_MS
        )


def platform_calls() -> Iterator[Measure]:
    """Yield the platform calls of idle hosts, and those of a large fleet worked out from a cell."""
    nine = _idle_fleet(9)
    rate = sum(nine.platform.model.calls.values()) * 1_000 / IDLE_MS
    yield Measure.from_value(
        "platform_calls_per_s", "9 hosts idle", rate, "1/s", Limit.AT_MOST, PLATFORM_BOUND_PER_S
    )
    cell = _idle_fleet(CELL_SIZE)
    cells = FLEET_SIZE // CELL_SIZE
    label = f"{FLEET_SIZE} hosts idle, worked out from a cell of {CELL_SIZE}"
    reads = _rate(cell, _READ_CALLS) * cells
    yield Measure.from_value(
        "platform_calls_per_s", f"{label}, reads", reads, "1/s", Limit.AT_MOST, READS_BOUND_PER_S
    )
    writes = _rate(cell, (PutObject,)) * cells
    yield Measure.from_value(
        "platform_calls_per_s", f"{label}, writes", writes, "1/s", Limit.AT_MOST, WRITES_BOUND_PER_S
    )


def _in_force_ms(fault: Fault, seed: int) -> int:
    scenario = _scenario(seed)
    fault.inflict(scenario)
    workspace = scenario.size.workspaces[0]
    edited = type(workspace)(workspace.name, workspace.rate_per_s + 1, workspace.burst)
    call = _edit(scenario, "workspace", workspace.name, edited)
    accepted_ms = _accepted_ms(scenario, call)
    version = call.reply.stored.version if isinstance(call.reply, EditDone) else 0
    object_id = ObjectId("workspace", workspace.name)

    def in_force() -> bool:
        return all(_version(host, object_id) >= version for host in _live(scenario))

    _step_until(scenario, in_force)
    return scenario.fleet.loop.now_ms - accepted_ms


def _withdrawal_ms(fault: Fault, seed: int) -> int:
    scenario = _scenario(seed)
    fault.inflict(scenario)
    presented = scenario.key()
    key = _object(scenario, "key", presented.key_id).value
    assert isinstance(key, Key)
    withdrawn = Key(key.key_id, key.workspace, key.salt, key.digest, withdrawn=True)
    call = _edit(scenario, "key", key.key_id, withdrawn)
    sent: list[Call] = []
    accepted_ms = _accepted_ms(scenario, call)
    for _ in range(2 * WITHDRAWAL_BOUND_MS // REQUEST_INTERVAL_MS):
        sent += [_request(scenario, host.host.name) for host in _live(scenario)]
        scenario.fleet.run_for(REQUEST_INTERVAL_MS)
    scenario.fleet.run_for(WAIT_MS)
    return max((c.sent_ms - accepted_ms for c in sent if not _is_key_refusal(c)), default=0)


def _request(scenario: Scenario, host: str) -> Call:
    return scenario.fleet.statements(
        host, scenario.key(), scenario.service, "relaxed", "SELECT 1", timeout_ms=CALL_TIMEOUT_MS
    )


def _is_key_refusal(call: Call) -> bool:
    return call.failure is not None and call.failure.kind in _KEY_REFUSALS


def _scenario(seed: int) -> Scenario:
    scenario = Scenario.from_size(patna(), seed, group_count=0)
    scenario.fleet.run_for(WAIT_MS)
    return scenario


def _idle_fleet(hosts: int) -> VirtualFleet:
    scenario = Scenario.from_size(patna(), group_count=0, host_count=hosts)
    scenario.fleet.run_for(IDLE_WARM_UP_MS)
    scenario.fleet.platform.model.calls.clear()
    scenario.fleet.run_for(IDLE_MS)
    return scenario.fleet


def _rate(fleet: VirtualFleet, calls: tuple[type, ...]) -> float:
    counted = sum(fleet.platform.model.calls[call.__name__] for call in calls)
    return counted * 1_000 / IDLE_MS


def _edit(scenario: Scenario, kind: str, name: str, value: ConfigValue) -> Call:
    version = _object(scenario, kind, name).version
    request = EditObject(kind, name, version, value, "measure")
    return scenario.fleet.operator(_editor(scenario), request)


def _accepted_ms(scenario: Scenario, call: Call) -> int:
    _step_until(scenario, lambda: call.reply is not None)
    assert isinstance(call.reply, EditDone), call.reply
    return scenario.fleet.loop.now_ms


def _step_until(scenario: Scenario, condition: Callable[[], bool]) -> None:
    end_ms = scenario.fleet.loop.now_ms + WAIT_MS
    while not condition() and scenario.fleet.loop.now_ms < end_ms:
        scenario.fleet.run_for(1)


def _live(scenario: Scenario) -> list[VirtualHost]:
    return [host for host in scenario.fleet.hosts.values() if host.alive]


def _version(host: VirtualHost, object_id: ObjectId) -> int:
    entry = host.core.configuration.snapshot.objects.get(object_id)
    return 0 if entry is None else entry.version


def _object(scenario: Scenario, kind: str, name: str) -> ConfigObject:
    snapshot = scenario.fleet.hosts[_editor(scenario)].core.configuration.snapshot
    return snapshot.objects[ObjectId(kind, name)]


def _watcher(scenario: Scenario) -> str:
    return scenario.fleet.hosts["host-1"].core.configuration.watchers()[0].name


def _editor(scenario: Scenario) -> str:
    watchers = {host.name for host in scenario.fleet.hosts["host-1"].core.configuration.watchers()}
    live = [host.host.name for host in _live(scenario)]
    return next(name for name in live if name not in watchers)


def _platform_host(host: Host) -> PlatformHost:
    return PlatformHost(host.name, host.availability_zone, host.gossip_address, host.peer_address)
