"""Several hosts replace primaries; no promotion may arrive with a lower token than an earlier one.

Hosts run their real :class:`PrimaryReplacer` in virtual time, with a store, servers and a failover
service in memory.
"""

from dataclasses import dataclass, field, replace

import eventlet
import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import (
    LEASE_MS,
    PROMOTION_EFFECT_MS,
    PROMOTION_WINDOW_MS,
    TAKEOVER_WAIT_MS,
    ReplacementReason,
    is_settled,
    moving_record,
)
from figcrank.protocol.heartbeats import Evacuations, PrimaryRecord, StoredPrimaries
from figcrank.protocol.sessions import ServerReport
from figcrank.standins.virtual_time import HubClock, in_virtual_time
from figcrank.state import Position, era_of, number_of, revision_of
from figcrank.state._catalog import Catalog, GroupPolicy, Registry, ServerEntry
from figcrank.transport.streams._interfaces import PromoteOutcome, StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._replacer import PrimaryReplacer
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._store_reader import StoreReader

STORE_DELAY_MS = 4
LATE_EXECUTION_MS = 400
PROMOTION_MS = 300
GROUPS = ("g1", "g2", "g3")
EVACUATION_MS = 5_000


def sleep_ms(wait_ms):
    eventlet.sleep(wait_ms / 1_000)


class SharedStore:
    """The record of primaries, with a revision check on each write.

    :param record: its first content.
    """

    def __init__(self, record):
        self.record = record

    def write(self, value):
        if value.revision != self.record.revision:
            raise StoreError(StoreErrorKind.CONFLICT, "revision differs")
        if replace(value, revision=0) != replace(self.record, revision=0):
            self.record = replace(value, revision=value.revision + 1)
        return self.record

    def restore(self, copy):
        """Begin a new era with an earlier content."""
        revision = revision_of(era_of(self.record.revision) + 1, number_of(copy.revision))
        self.record = replace(copy, revision=revision)


class StoreOfHost:
    """One host's calls to the store.

    :param shared: the store.

    ``write_faults`` holds, per write, ``None`` or the function that handles it instead.
    """

    def __init__(self, shared):
        self._shared = shared
        self.write_faults = []

    @property
    def era(self):
        return era_of(self._shared.record.revision)

    def read_primaries(self):
        sleep_ms(STORE_DELAY_MS)
        return self._shared.record

    def write_primaries(self, value):
        sleep_ms(STORE_DELAY_MS)
        fault = self.write_faults.pop(0) if self.write_faults else None
        return fault(value) if fault else self._shared.write(value)

    def list_quiet(self):
        sleep_ms(STORE_DELAY_MS)
        return []

    def lose_response(self, value):
        """Execute the write and cut the connection before the response."""
        self._shared.write(value)
        raise StoreError(StoreErrorKind.UNKNOWN, "connection reset")

    def execute_late(self, value):
        """Cut the connection; execute the write later if its revision still matches."""
        eventlet.spawn_after(LATE_EXECUTION_MS / 1_000, self._write_if_unchanged, value)
        raise StoreError(StoreErrorKind.UNKNOWN, "connection reset")

    def _write_if_unchanged(self, value):
        if value.revision == self._shared.record.revision:
            self._shared.write(value)

    @staticmethod
    def reject(_value):
        """Reject the write without executing it."""
        raise StoreError(StoreErrorKind.NOT_DONE, "status 503")


@dataclass
class Server:
    """A backend server."""

    server_id: str
    group: str
    is_primary: bool = False
    term: int = 1
    zone: str = "zone-a"
    draining: bool = False
    position: Position = Position(1, 5)

    @property
    def entry(self):
        return ServerEntry(
            self.server_id, self.group, "10.0.0.1:80", self.zone, 4, self.draining, self.is_primary
        )

    @property
    def report(self):
        return ServerReport(self.is_primary, self.term, self.position)


class Servers:
    """The servers of all groups; the first one of each group has crashed.

    ``silent`` holds those that do not answer, ``refusing`` those of them whose process has ended.
    """

    def __init__(self):
        self.by_id = {
            f"{group}-{number}": Server(
                f"{group}-{number}", group, number == 0, zone=f"zone-{number}"
            )
            for group in GROUPS
            for number in range(3)
        }
        self.silent = {f"{group}-0" for group in GROUPS}
        self.refusing = set(self.silent)
        self.promoted = []

    def of(self, group):
        return [server for server in self.by_id.values() if server.group == group]

    def promote(self, server_id):
        server = self.by_id[server_id]
        leader = max(self.of(server.group), key=lambda other: (other.term, other.is_primary))
        if server is not leader or not server.is_primary:
            server.is_primary, server.term = True, leader.term + 1
            self.promoted.append(server_id)


class Commands:
    """Commands that a host sends to servers."""

    def __init__(self, servers, router, clock):
        self._servers, self._router, self._clock = servers, router, clock

    def status(self, entry):
        if entry.server_id in self._servers.refusing:
            health = self._router.pool(entry.server_id).health
            health.record_failure(self._clock.now_ms(), refused=True)
        if entry.server_id in self._servers.silent:
            return None
        return self._servers.by_id[entry.server_id].report

    def pause(self, entry, _term):
        return self.status(entry)

    def demote(self, entry, term):
        report = self.status(entry)
        if report is None or report.term >= term:
            return report
        self._servers.by_id[entry.server_id].is_primary = False
        return self.status(entry)


@dataclass
class FailoverCalls:
    """The failover service; ``busy_holders`` are told to come back, as beyond its call rate."""

    servers: Servers
    busy_holders: set = field(default_factory=set)
    connect_ms: dict = field(default_factory=dict)
    promotion_ms: int = PROMOTION_MS
    arrived: list = field(default_factory=list)

    def promote(self, group, server_id, holder, token, may_send, timeout_ms):
        sleep_ms(self.connect_ms.get(holder, 0))
        if not may_send():
            return PromoteOutcome.NOT_DONE
        self.arrived.append((HubClock().now_ms(), holder, token, group))
        if holder in self.busy_holders:
            return PromoteOutcome.NOT_DONE
        eventlet.spawn_after(self.promotion_ms / 1_000, self.servers.promote, server_id)
        return PromoteOutcome.ACCEPTED


class FakeLink:
    """Link without peers."""

    def log_primary(self, group, source):
        pass

    def broadcast_heartbeat(self):
        pass


class QuietRouter(Router):
    """Router that sends no probes to servers."""

    def probe_server(self, pool):
        pass


class Host:
    """A host with its real replacer, cut off from the other hosts.

    :param records: the primaries that the host knows.
    """

    def __init__(self, name, fleet, records):
        self.name = name
        self.clock = HubClock()
        self.view = FleetView(name, 1, (name, 7000), evacuation_ms=EVACUATION_MS)
        entries = {s.server_id: s.entry for s in fleet.servers.by_id.values()}
        self.view.registry = Registry(1, entries)
        for group, record in records.items():
            self.view.merge_primary(group, record, 0)
        self.evacuations = 1
        self.lines = []
        log = EventLog(name, self.clock, len)
        log.event = lambda event, **fields: self.lines.append((event, fields))
        metrics = Metrics()
        router = QuietRouter(self.view, None, self.clock, "zone-a", log, metrics)
        router._prober.probe_if_suspect = lambda *_: None
        for group in records:
            router.pool(f"{group}-0").health.record_failure(0, refused=True)
        self.store = StoreOfHost(fleet.store)
        self.router = router
        self.reader = StoreReader(self.store, None, self.view, router, self.clock, log, metrics)
        self.replacer = PrimaryReplacer(
            self.view,
            router,
            FakeLink(),
            self.reader,
            fleet.failover,
            None,
            self.clock,
            log,
            metrics,
        )
        self.replacer._commands = Commands(fleet.servers, router, self.clock)

    def evacuate(self, *zones):
        """Adopt a list of evacuated zones."""
        now_ms = self.clock.now_ms()
        self.evacuations += 1
        self.view.evacuation.adopt(Evacuations(self.evacuations, frozenset(zones)), now_ms, now_ms)

    def check(self, group):
        """Check a group's primary, as the replacer does periodically."""
        record = self.view.primary_table.get(group)
        self.replacer._check_group(group, record, self.clock.now_ms())

    def replace(self, group):
        """Begin the replacement of a group's primary, or take over an interrupted one."""
        record = self.view.primary_table.get(group)
        reason = None if record.moving else ReplacementReason.UNREACHABLE
        eventlet.spawn(self.replacer._replace, group, record, reason)


class Fleet:
    """Hosts ``a`` and ``b``; ``a`` holds the record of primaries."""

    def __init__(self):
        records = {group: PrimaryRecord(1, 1, f"{group}-0") for group in GROUPS}
        self.store = SharedStore(StoredPrimaries(1, "z", 4, records))
        self.servers = Servers()
        self.failover = FailoverCalls(self.servers)
        self.a = Host("a", self, records)
        self.b = Host("b", self, records)

    def check_tokens(self):
        """Check that no token is lower than an earlier one and that none has two holders."""
        calls = self.failover.arrived
        tokens = [token for _, _, token, _ in calls]
        assert tokens == sorted(tokens), calls
        holders = {(token, holder) for _, holder, token, _ in calls}
        assert len(holders) == len(set(tokens)), calls

    def token_of(self, holder):
        return {token for _, name, token, _ in self.failover.arrived if name == holder}


@pytest.fixture
def run():
    """Return a function that runs a scenario in virtual time on a new fleet."""

    def run_scenario(scenario):
        fleet = Fleet()
        in_virtual_time(lambda: scenario(fleet))
        return fleet

    return run_scenario


def let_a_order_promotions(fleet):
    """Let host ``a`` become the holder and order promotions that the service turns away."""
    fleet.failover.busy_holders.add("a")
    fleet.a.replace("g1")
    while not fleet.failover.arrived:
        sleep_ms(1)


def test_new_holder_replaces_a_primary_after_the_previous_ones_window(run):
    def scenario(fleet):
        let_a_order_promotions(fleet)
        fleet.b.replace("g2")
        sleep_ms(6_000)

    fleet = run(scenario)
    fleet.check_tokens()
    assert fleet.servers.by_id["g2-2"].is_primary


def test_second_group_of_a_new_holder_waits_for_the_previous_holders_window(run):
    """Its promotion had a higher token than a call of the previous holder that came after it."""

    def scenario(fleet):
        let_a_order_promotions(fleet)
        fleet.b.replace("g2")
        sleep_ms(50)
        fleet.b.replace("g3")
        sleep_ms(6_000)

    fleet = run(scenario)
    fleet.check_tokens()
    assert fleet.servers.by_id["g2-2"].is_primary
    assert fleet.servers.by_id["g3-2"].is_primary


def test_failed_write_for_another_group_does_not_change_the_token(run):
    """The token was read from a record that the failed write had reset, and was 0."""

    def scenario(fleet):
        let_a_order_promotions(fleet)
        fleet.a.store.write_faults = [StoreOfHost.reject]
        fleet.a.replace("g2")
        sleep_ms(6_000)

    fleet = run(scenario)
    fleet.check_tokens()
    assert len(fleet.failover.arrived) > 2


def test_claim_whose_response_was_lost_waits_for_the_previous_holders_window(run):
    """The host found itself as the holder and ordered a promotion without waiting."""

    def scenario(fleet):
        let_a_order_promotions(fleet)
        fleet.b.store.write_faults = [fleet.b.store.lose_response]
        fleet.b.replace("g2")
        sleep_ms(6_000)

    fleet = run(scenario)
    fleet.check_tokens()
    assert fleet.servers.by_id["g2-2"].is_primary


def test_claim_that_is_executed_late_waits_for_the_previous_holders_window(run):
    """The host had given up the claim, found itself as the holder later, and did not wait."""

    def scenario(fleet):
        let_a_order_promotions(fleet)
        fleet.b.store.write_faults = [fleet.b.store.execute_late, StoreOfHost.reject]
        fleet.b.replace("g2")
        sleep_ms(LATE_EXECUTION_MS + 10)
        assert fleet.store.record.holder == "b"
        fleet.b.replace("g2")
        sleep_ms(6_000)

    fleet = run(scenario)
    fleet.check_tokens()
    assert fleet.servers.by_id["g2-2"].is_primary


def test_promotion_is_not_sent_once_connecting_has_used_up_the_window(run):
    """The window was checked before the call connected."""

    def scenario(fleet):
        fleet.failover.connect_ms["a"] = PROMOTION_WINDOW_MS + 200
        fleet.a.replace("g1")
        sleep_ms(2 * PROMOTION_WINDOW_MS)
        fleet.b.replace("g2")
        sleep_ms(6_000)

    fleet = run(scenario)
    fleet.check_tokens()
    assert fleet.token_of("b")
    assert not fleet.token_of("a")


def test_refused_connection_of_one_host_is_no_proof_that_the_primary_is_gone(run):
    """Seen in a partition that resets connections: other hosts went on to write there."""

    def scenario(fleet):
        fleet.a.view.peers.register("c", ("c", 7000), 0)
        fleet.a.replace("g1")
        sleep_ms(6_000)

    fleet = run(scenario)
    assert fleet.failover.arrived[0][0] >= LEASE_MS


def test_demoted_primary_is_replaced_only_after_the_leases_of_silent_hosts(run):
    """Hosts with a lease went on to read there what lacked the commits of the new primary."""

    def scenario(fleet):
        bring_back(fleet, "g1-0")
        fleet.a.view.peers.register("c", ("c", 7000), 0)
        fleet.a.replace("g1")
        sleep_ms(1_000)
        assert not fleet.servers.by_id["g1-0"].is_primary
        sleep_ms(6_000)

    fleet = run(scenario)
    assert fleet.failover.arrived[0][0] >= LEASE_MS


def test_taken_over_replacement_waits_for_leases_although_the_old_primary_is_gone(run):
    """Hosts may use the server that the interrupted replacement promoted."""

    def scenario(fleet):
        fleet.b.view.peers.register("c", ("c", 7000), 0)
        record = fleet.store.record.records["g1"]
        moving = moving_record(record, planned=False)
        fleet.store.record = replace(fleet.store.record, records={"g1": moving})
        fleet.b.view.merge_primary("g1", moving, 0)
        fleet.b.replace("g1")
        sleep_ms(6_000)

    fleet = run(scenario)
    assert fleet.failover.arrived[0][0] >= LEASE_MS
    assert fleet.servers.by_id["g1-2"].is_primary


def test_promotion_of_the_previous_holder_that_takes_effect_during_the_wait_is_adopted(run):
    """The servers were asked only before the wait, and a second server was promoted."""

    def scenario(fleet):
        fleet.a.replace("g1")
        while not fleet.failover.arrived:
            sleep_ms(1)
        fleet.a.store.write_faults = [StoreOfHost.reject] * 9
        moving = fleet.store.record.records["g1"]
        fleet.b.view.merge_primary("g1", moving, 0)
        fleet.b.replace("g1")
        sleep_ms(6_000)

    fleet = run(scenario)
    assert len(fleet.failover.arrived) == 1
    stored = fleet.store.record.records["g1"]
    assert (stored.server_id, stored.moving) == ("g1-2", False)


def test_promotion_of_the_previous_holder_takes_effect_before_another_server_is_promoted(run):
    """It took effect after the new holder's, and the record named the server that lost the lead."""

    def scenario(fleet):
        fleet.failover.promotion_ms = PROMOTION_EFFECT_MS
        fleet.failover.connect_ms["a"] = PROMOTION_WINDOW_MS - 20
        fleet.a.replace("g1")
        sleep_ms(TAKEOVER_WAIT_MS + 50)  # it has renewed its right and connects
        moving = fleet.store.record.records["g1"]
        fleet.b.view.merge_primary("g1", moving, 0)
        fleet.servers.silent.add("g1-2")
        fleet.b.replace("g1")
        while not fleet.failover.arrived:
            sleep_ms(1)
        fleet.failover.promotion_ms = PROMOTION_MS
        sleep_ms(8_000)

    fleet = run(scenario)
    fleet.check_tokens()
    assert [holder for _, holder, _, _ in fleet.failover.arrived] == ["a", "b"]
    stored = fleet.store.record.records["g1"]
    leader = max(fleet.servers.of("g1"), key=lambda server: server.term)
    assert (stored.server_id, stored.moving) == (leader.server_id, False)


def test_replacement_that_is_written_in_a_new_era_is_not_continued(run):
    """It took the state of the old primary as proof, but the store had lost a replacement."""

    def scenario(fleet):
        def lose_takeover(value):
            fleet.store.restore(fleet.store.record)
            raise StoreError(StoreErrorKind.CONFLICT, "revision differs")

        fleet.b.view.peers.register("c", ("c", 7000), 0)
        fleet.b.store.write_faults = [lose_takeover]
        fleet.b.replace("g1")
        sleep_ms(LEASE_MS)

    fleet = run(scenario)
    assert era_of(fleet.store.record.revision) == 1
    assert not fleet.failover.arrived


def settle_after_losing_the_replacement_of_g1(fleet):
    """Let the store lose a replacement that host ``a`` ran, and let ``a`` settle the records."""
    copy = fleet.store.record
    fleet.a.replace("g1")
    sleep_ms(4_000)
    fleet.store.restore(copy)
    for server_id in sorted(fleet.servers.silent):
        fleet.a.router.pool(server_id).health.record_answer(fleet.a.clock.now_ms())
    fleet.servers.silent.clear()
    fleet.servers.refusing.clear()
    fleet.a.router.tick()  # it no longer reports them
    eventlet.spawn(fleet.a.replacer.run)
    fleet.a.reader.call("list_quiet")  # the host learns of the era
    for _ in range(60):
        fleet.a.view.registry_ms = fleet.a.clock.now_ms()
        sleep_ms(100)


def test_replacement_that_the_store_lost_is_settled_in_the_new_era(run):
    """A host that reads the store alone took the old primary for the present one."""

    def scenario(fleet):
        fleet.servers.by_id["g1-0"].is_primary = False  # it returns as a replica
        settle_after_losing_the_replacement_of_g1(fleet)

    fleet = run(scenario)
    stored = fleet.store.record.records
    assert {group: record.server_id for group, record in stored.items()} == {
        "g1": "g1-2",
        "g2": "g2-0",
        "g3": "g3-0",
    }
    assert all(is_settled(record, 1) for record in stored.values())
    assert stored == fleet.a.view.primary_table.all()


def test_interrupted_replacement_that_only_the_copy_shows_is_settled(run):
    """All hosts had started afresh; none knew the record, and none continued the replacement."""

    def scenario(fleet):
        moving = moving_record(fleet.store.record.records["g1"], planned=False)
        records = {**fleet.store.record.records, "g1": moving}
        fleet.store.restore(replace(fleet.store.record, records=records))
        fleet.servers.silent.clear()
        fleet.servers.refusing.clear()
        fresh = Host("c", fleet, {})
        eventlet.spawn(fresh.replacer.run)
        fresh.reader.call("list_quiet")
        for _ in range(60):
            fresh.view.registry_ms = fresh.clock.now_ms()
            sleep_ms(100)

    fleet = run(scenario)
    record = fleet.store.record.records["g1"]
    assert (record.server_id, record.moving) == ("g1-0", False)
    assert is_settled(record, 1)


def test_old_primary_that_was_not_demoted_does_not_keep_records_from_being_settled(run):
    """While the new primary can't reach it, it goes on as the primary of the earlier term."""
    fleet = run(settle_after_losing_the_replacement_of_g1)
    record = fleet.store.record.records["g1"]
    assert (record.server_id, record.term) == ("g1-2", 2)
    assert is_settled(record, 1)


def test_newest_of_two_promoted_servers_is_adopted(run):
    """Two interrupted replacements promoted one each; the one of the earlier term was adopted."""

    def scenario(fleet):
        for server_id, term in (("g1-1", 2), ("g1-2", 3)):
            server = fleet.servers.by_id[server_id]
            server.is_primary, server.term = True, term
        moving = moving_record(fleet.store.record.records["g1"], planned=False)
        fleet.store.record = replace(fleet.store.record, records={"g1": moving})
        fleet.b.view.merge_primary("g1", moving, 0)
        fleet.b.replace("g1")
        sleep_ms(1_000)

    fleet = run(scenario)
    stored = fleet.store.record.records["g1"]
    assert (stored.server_id, stored.term, stored.moving) == ("g1-2", 3, False)


def test_refusal_from_before_does_not_prove_that_the_old_primary_is_gone(run):
    """It had restarted out of this host's reach, and other hosts used it again."""

    def scenario(fleet):
        fleet.b.view.peers.register("c", ("c", 7000), 0)
        fleet.servers.refusing.clear()  # it refused connections at 0 ms and is silent since
        sleep_ms(1_000)
        fleet.b.replace("g1")
        sleep_ms(6_000)

    fleet = run(scenario)
    assert fleet.failover.arrived[0][0] >= 1_000 + LEASE_MS


def test_primary_that_returned_under_another_id_is_adopted(run):
    """It was ordered to be promoted again and again, which changes nothing for a primary."""

    def scenario(fleet):
        fleet.servers.by_id["g1-2"].is_primary = True  # of the same term as the one that is gone
        fleet.a.replace("g1")
        sleep_ms(6_000)

    fleet = run(scenario)
    assert not fleet.failover.arrived
    stored = fleet.store.record.records["g1"]
    assert (stored.server_id, stored.term, stored.moving) == ("g1-2", 1, False)


def take_over_beside_a_returned_primary(fleet):
    """Let ``b`` take over a replacement; the old primary is back as ``g1-1`` of the same term."""
    fleet.servers.by_id["g1-0"].is_primary = False
    fleet.servers.by_id["g1-1"].is_primary = True
    fleet.servers.silent.add("g1-2")
    moving = moving_record(fleet.store.record.records["g1"], planned=False)
    fleet.store.record = replace(fleet.store.record, records={"g1": moving})
    fleet.b.view.merge_primary("g1", moving, 0)
    fleet.b.replace("g1")
    sleep_ms(8_000)


def test_returned_primary_is_not_adopted_beside_a_silent_server_that_may_have_been_promoted(run):
    """It leads no longer if the interrupted replacement promoted the silent server."""

    def scenario(fleet):
        promoted = fleet.servers.by_id["g1-2"]
        promoted.is_primary, promoted.term = True, 2
        take_over_beside_a_returned_primary(fleet)

    fleet = run(scenario)
    leader = max(fleet.servers.of("g1"), key=lambda server: server.term)
    stored = fleet.store.record.records["g1"]
    assert (stored.server_id, stored.term) == (leader.server_id, leader.term)


def test_returned_primary_that_still_leads_is_adopted_once_its_promotion_changes_nothing(run):
    fleet = run(take_over_beside_a_returned_primary)
    assert [group for _, _, _, group in fleet.failover.arrived] == ["g1"]
    stored = fleet.store.record.records["g1"]
    assert (stored.server_id, stored.term, stored.moving) == ("g1-1", 1, False)


def run_hosts(fleet, until_ms):
    """Run both hosts' replacers, with fresh lists of servers, until a time."""
    for host in (fleet.a, fleet.b):
        eventlet.spawn(host.replacer.run)
    while fleet.a.clock.now_ms() < until_ms:
        for host in (fleet.a, fleet.b):
            host.view.registry_ms = host.clock.now_ms()
            host.reader.confirm_primaries()
        sleep_ms(100)


def return_crashed_servers(fleet):
    """Let crashed servers start again, as replicas where another server was promoted."""
    fleet.servers.silent.clear()
    fleet.servers.refusing.clear()
    for group in GROUPS:
        returned, newest = fleet.servers.by_id[f"{group}-0"], max(
            s.term for s in fleet.servers.of(group)
        )
        returned.is_primary, returned.term = returned.term == newest, newest
        for host in (fleet.a, fleet.b):
            host.router.pool(returned.server_id).health.record_answer(host.clock.now_ms())


@pytest.mark.parametrize("drills", [1, 2])
@pytest.mark.parametrize("restored_ms", range(0, 3_500, 125))
def test_store_may_come_back_from_a_copy_at_any_step_of_two_replacements(run, restored_ms, drills):
    def scenario(fleet):
        copy = fleet.store.record
        fleet.a.replace("g1")
        fleet.a.replace("g2")
        sleep_ms(restored_ms)
        for _ in range(drills):
            fleet.store.restore(copy)
            sleep_ms(10)
        eventlet.spawn_after(6, return_crashed_servers, fleet)
        run_hosts(fleet, 25_000)

    fleet = run(scenario)
    fleet.check_tokens()
    for group, record in fleet.store.record.records.items():
        primaries = [server for server in fleet.servers.of(group) if server.is_primary]
        leader = max(primaries, key=lambda server: server.term)
        assert (record.server_id, record.term) == (leader.server_id, leader.term)
        assert not record.moving
        assert is_settled(record, drills)


def revive(fleet, group):
    """Let a group's primary answer, so that only its evacuation is a reason to replace it."""
    fleet.servers.silent.discard(f"{group}-0")
    fleet.servers.refusing.discard(f"{group}-0")
    fleet.a.router.pool(f"{group}-0").health.record_answer(fleet.a.clock.now_ms())


def test_evacuated_primary_is_replaced_as_planned_by_a_server_elsewhere(run):
    def scenario(fleet):
        revive(fleet, "g1")
        fleet.a.check("g1")
        assert not fleet.a.replacer._replacing
        fleet.a.evacuate("zone-0", "zone-2")  # g1-2 would rank first
        fleet.a.check("g1")
        sleep_ms(TAKEOVER_WAIT_MS + 100)  # the primary serves while this host claims the record
        assert fleet.a.view.primary_table.get("g1").planned
        sleep_ms(8_000)

    fleet = run(scenario)
    assert fleet.servers.by_id["g1-1"].is_primary
    assert not fleet.servers.by_id["g1-2"].is_primary
    begun = [fields for event, fields in fleet.a.lines if event == "replacement_begun"]
    assert begun[0]["reason"] == "evacuated"


def test_evacuated_primary_without_a_candidate_elsewhere_is_kept(run):
    """Guards against a switch that ends the service of a group that no server can take over."""

    def scenario(fleet):
        revive(fleet, "g1")
        fleet.a.evacuate("zone-0", "zone-1", "zone-2")
        fleet.a.check("g1")
        sleep_ms(3_000)

    fleet = run(scenario)
    assert not fleet.a.view.primary_table.get("g1").moving
    assert fleet.failover.arrived == []


def test_server_whose_zone_is_evacuated_while_its_promotion_connects_is_not_promoted(run):
    """Guards against a new primary that has to be replaced again, in a zone without requests."""

    def scenario(fleet):
        promote = fleet.failover.promote

        def evacuate_and_promote(group, server_id, *arguments):
            if server_id == "g1-2":
                fleet.a.evacuate("zone-2")
            return promote(group, server_id, *arguments)

        fleet.failover.promote = evacuate_and_promote
        fleet.a.replace("g1")
        sleep_ms(8_000)

    fleet = run(scenario)
    assert fleet.servers.by_id["g1-1"].is_primary
    assert not fleet.servers.by_id["g1-2"].is_primary


def test_servers_in_evacuated_zones_are_no_candidates(run):
    """Guards against a switch that waits for the log of a server that it can't promote."""
    found = []

    def scenario(fleet):
        fleet.a.evacuate("zone-2")
        record = fleet.a.view.primary_table.get("g1")
        found.extend(fleet.a.replacer._candidates.find("g1", record))

    run(scenario)
    assert [server_id for server_id, _ in found] == ["g1-1"]


BEHIND = Position(1, 5)
COMPLETE = Position(1, 9)


def require_sync_replicas(fleet, count=1):
    """Let commits of ``g1`` be acknowledged once so many replicas have them; ``g1-2`` has all."""
    fleet.servers.by_id["g1-0"].position = COMPLETE
    fleet.servers.by_id["g1-2"].position = COMPLETE
    for host in (fleet.a, fleet.b):
        host.view.catalog = Catalog(1, groups={"g1": GroupPolicy("g1", 30, count)})
        record = host.view.primary_table.get("g1")
        host.replacer._candidates.track("g1", record, is_first_reader=host is fleet.a)


def bring_back(fleet, server_id):
    """Let a server answer again."""
    fleet.servers.silent.discard(server_id)
    fleet.servers.refusing.discard(server_id)
    for host in (fleet.a, fleet.b):
        host.router.pool(server_id).health.record_answer(host.clock.now_ms(), None)


def list_servers(fleet, *server_ids):
    """Let both hosts read a list with these servers of ``g1`` alone."""
    entries = {server_id: fleet.servers.by_id[server_id].entry for server_id in server_ids}
    for host in (fleet.a, fleet.b):
        host.view.registry = Registry(host.view.registry.revision + 1, entries)
        host.router.tick()


def test_replica_with_every_acknowledged_commit_is_promoted_although_it_is_leaving(run):
    """The one that lacked them was promoted, as a server that leaves came last."""

    def scenario(fleet):
        fleet.servers.by_id["g1-2"].draining = True
        list_servers(fleet, "g1-0", "g1-1", "g1-2")
        require_sync_replicas(fleet)
        fleet.a.replace("g1")
        sleep_ms(6_000)

    assert run(scenario).servers.promoted == ["g1-2"]


def test_no_replica_is_promoted_while_one_that_may_have_more_commits_is_silent(run):
    """The only one that answered was promoted, and lacked commits that callers were told of."""

    def scenario(fleet):
        require_sync_replicas(fleet)
        fleet.servers.silent.add("g1-2")
        fleet.a.replace("g1")
        sleep_ms(4_000)
        assert not fleet.failover.arrived
        fleet.servers.silent.discard("g1-2")
        sleep_ms(2_000)

    assert run(scenario).servers.promoted == ["g1-2"]


def test_promotion_with_all_replicas_well_takes_no_longer_with_synchronous_ones(run):
    def measure(count):
        def scenario(fleet):
            fleet.a.replacer._writer.hold()
            require_sync_replicas(fleet, count)
            sleep_ms(2_000)
            began_ms.append(fleet.a.clock.now_ms())
            fleet.a.replace("g1")
            sleep_ms(6_000)

        began_ms = []
        fleet = run(scenario)
        assert fleet.servers.promoted == ["g1-2"]
        return fleet.failover.arrived[0][0] - began_ms[0]

    assert measure(1) <= measure(0)


def test_without_synchronous_replicas_a_silent_replica_is_not_waited_for(run):
    def scenario(fleet):
        require_sync_replicas(fleet, 0)
        fleet.servers.silent.add("g1-2")
        fleet.a.replace("g1")
        sleep_ms(3_000)

    assert run(scenario).servers.promoted == ["g1-1"]


def test_replica_whose_entry_expires_during_a_replacement_still_counts(run):
    """Guards against a promotion once the entry of the only complete replica is removed."""

    def scenario(fleet):
        require_sync_replicas(fleet)
        fleet.servers.silent.add("g1-2")
        fleet.a.replace("g1")
        sleep_ms(1_000)
        list_servers(fleet, "g1-1")
        for _ in range(40):
            sleep_ms(500)
            fleet.a.router.tick()
            fleet.a.check("g1")
        assert not fleet.failover.arrived
        fleet.servers.silent.discard("g1-2")
        list_servers(fleet, "g1-1", "g1-2")
        for _ in range(30):
            sleep_ms(500)
            fleet.a.check("g1")

    assert run(scenario).servers.promoted == ["g1-2"]


def test_host_that_takes_over_knows_the_members_of_the_interrupted_replacement(run):
    """Guards against a new host that never saw the entry of the only complete replica."""

    def scenario(fleet):
        require_sync_replicas(fleet)
        fleet.servers.silent.add("g1-2")
        fleet.a.replace("g1")
        sleep_ms(1_000)
        fleet.b.replacer._candidates._members.clear()
        list_servers(fleet, "g1-1")
        fleet.b.router._pools.pop("g1-2", None)
        fleet.b.view.merge_primary("g1", fleet.store.record.records["g1"], 0)
        fleet.b.replace("g1")
        sleep_ms(20_000)

    assert not run(scenario).failover.arrived


def test_host_that_starts_after_an_entry_expired_knows_the_member_from_the_store(run):
    """Guards against hosts that all start again while the only complete replica is silent."""

    def scenario(fleet):
        require_sync_replicas(fleet)
        sleep_ms(100)
        assert fleet.store.record.members["g1"] == {"g1-0", "g1-1", "g1-2"}
        fleet.servers.silent.add("g1-2")
        fleet.b.replacer._candidates._members.clear()
        list_servers(fleet, "g1-1")
        fleet.b.router._pools.pop("g1-2", None)
        fleet.b.replace("g1")
        sleep_ms(20_000)

    assert not run(scenario).failover.arrived


def test_old_primary_that_returns_with_its_log_is_promoted_if_no_other_has_every_commit(run):
    """A primary that was replaced was never a candidate again."""

    def scenario(fleet):
        require_sync_replicas(fleet)
        fleet.servers.silent.add("g1-2")
        fleet.a.replace("g1")
        sleep_ms(3_000)
        bring_back(fleet, "g1-0")
        sleep_ms(3_000)

    assert run(scenario).servers.promoted == ["g1-0"]


def test_refused_order_does_not_promote_a_server_that_lacks_commits(run):
    """The next server was tried, whatever its log."""

    def scenario(fleet):
        require_sync_replicas(fleet)

        def reject(_group, server_id, *_arguments):
            ordered.append(server_id)
            return PromoteOutcome.REJECTED

        fleet.failover.promote = reject
        fleet.a.replace("g1")
        sleep_ms(6_000)

    ordered = []
    run(scenario)
    assert set(ordered) == {"g1-2"}


@pytest.mark.parametrize("caught_up", [True, False])
def test_departed_replica_is_forgotten_once_the_others_have_its_commits(run, caught_up):
    """Guards against a group without a primary because of a server that left long ago."""

    def scenario(fleet):
        bring_back(fleet, "g1-0")
        require_sync_replicas(fleet)
        sleep_ms(100)
        fleet.servers.silent.add("g1-2")
        list_servers(fleet, "g1-0", "g1-1")
        if caught_up:
            fleet.servers.by_id["g1-1"].position = COMPLETE
        for _ in range(20):
            sleep_ms(500)
            fleet.a.router.tick()
            fleet.a.check("g1")
        fleet.servers.silent.add("g1-0")
        fleet.servers.refusing.add("g1-0")
        fleet.a.replace("g1")
        sleep_ms(4_000)

    assert run(scenario).servers.promoted == (["g1-1"] if caught_up else [])


def test_planned_switch_waits_for_a_replica_that_has_every_commit(run):
    """The primary was demoted after 600 ms, and a replica that lacked commits was promoted."""

    def scenario(fleet):
        bring_back(fleet, "g1-0")
        fleet.servers.by_id["g1-0"].draining = True
        list_servers(fleet, "g1-0", "g1-1", "g1-2")
        require_sync_replicas(fleet)
        fleet.servers.by_id["g1-2"].position = BEHIND
        record = fleet.a.view.primary_table.get("g1")
        outcomes.append(fleet.a.replacer._run_replacement("g1", record, ReplacementReason.LEAVING))
        assert fleet.servers.by_id["g1-0"].is_primary
        assert not fleet.a.view.primary_table.get("g1").moving
        fleet.servers.by_id["g1-1"].position = COMPLETE
        outcomes.append(fleet.a.replacer._run_replacement("g1", record, ReplacementReason.LEAVING))

    outcomes = []
    assert run(scenario).servers.promoted == ["g1-1"]
    assert outcomes == ["no server that could take over has every commit", "done"]


def test_planned_switch_is_ended_if_the_replica_falls_behind_after_its_begin(run):
    """Guards against a demotion while no other server has every commit."""

    def scenario(fleet):
        bring_back(fleet, "g1-0")
        list_servers(fleet, "g1-0", "g1-1", "g1-2")
        require_sync_replicas(fleet)
        record = fleet.a.view.primary_table.get("g1")
        write = fleet.a.replacer._writer.write

        def write_and_lag(*arguments, **options):
            fleet.servers.by_id["g1-2"].position = BEHIND
            return write(*arguments, **options)

        fleet.a.replacer._writer.write = write_and_lag
        outcome = fleet.a.replacer._run_replacement("g1", record, ReplacementReason.LEAVING)
        assert outcome.endswith("the primary is kept")

    fleet = run(scenario)
    assert not fleet.servers.promoted
    assert fleet.servers.by_id["g1-0"].is_primary
    kept = fleet.store.record.records["g1"]
    assert (kept.server_id, kept.moving, kept.term) == ("g1-0", False, 1)


def start_without_records(fleet, claims):
    """Let host ``a`` start for the first time, with entries of ``g1`` that claim to be primary."""
    fleet.store.record = StoredPrimaries()
    entries = {s.server_id: s.entry for s in fleet.servers.of("g1")}
    entries["odd"] = ServerEntry("odd", "g1", "10.0.0.7:80", "zone-a", 5, False, False)
    for server_id, entry in entries.items():
        entries[server_id] = replace(entry, claims_primary=server_id in claims)
    fleet.servers.silent.add("odd")
    fleet.servers.refusing.add("odd")
    view = fleet.a.view
    view.primary_table._records.clear()
    view.registry = Registry(view.registry.revision + 1, entries)
    view.primary_table.adopt_registry(view.registry, 0)

    def confirm():
        while True:
            view.registry_ms = fleet.a.clock.now_ms()
            sleep_ms(200)

    eventlet.spawn(confirm)
    eventlet.spawn(fleet.a.replacer.run)


def test_primary_is_found_beside_an_entry_that_claims_to_be_it_too(run):
    """The group had no primary for as long as the entry of another writer was there."""

    def scenario(fleet):
        bring_back(fleet, "g1-0")
        start_without_records(fleet, {"g1-0", "odd"})
        assert fleet.a.view.primary_table.get("g1") is None
        sleep_ms(3_000)

    fleet = run(scenario)
    assert fleet.a.view.primary_table.get("g1").server_id == "g1-0"
    assert fleet.store.record.records["g1"].server_id == "g1-0"
    assert not fleet.servers.promoted


@pytest.mark.parametrize("claims", [set(), {"g1-0", "odd"}])
def test_group_whose_primary_is_gone_at_the_first_start_gets_another_one(run, claims):
    """Nothing was served, as no record named a primary to replace."""

    def scenario(fleet):
        start_without_records(fleet, claims)
        sleep_ms(12_000)

    fleet = run(scenario)
    assert fleet.servers.promoted == ["g1-2"]
    assert fleet.a.view.primary_table.get("g1").server_id == "g1-2"


@pytest.mark.parametrize("is_demoted", [True, False])
def test_old_primary_that_returns_leads_again_if_no_other_server_answers(run, is_demoted):
    """Guards against a group without a primary while one of its servers runs."""

    def scenario(fleet):
        fleet.servers.silent |= {"g1-1", "g1-2"}
        fleet.a.replace("g1")
        sleep_ms(3_000)
        bring_back(fleet, "g1-0")
        fleet.servers.by_id["g1-0"].is_primary = not is_demoted
        for _ in range(30):
            sleep_ms(500)
            fleet.a.check("g1")

    fleet = run(scenario)
    record = fleet.a.view.primary_table.get("g1")
    assert (record.server_id, record.moving) == ("g1-0", False)
