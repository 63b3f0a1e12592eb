"""An owner never serves a relay with an older configuration than the relay has seen in use.

It also sends a relay to the group owner of its zone.
"""

import json

import eventlet
import pytest
from eventlet.green import socket

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.owners import HostRole
from figcrank.coordination.quotas import SharedLimit
from figcrank.coordination.sessions import RefusalReason, StopPlan
from figcrank.protocol.heartbeats import Heartbeat
from figcrank.protocol.relays import encode_request, encode_start, relay_reply_decoder
from figcrank.protocol.sessions import (
    CallerCodec,
    Request,
    SessionFailure,
    SessionStart,
    StartOptions,
    TransactionState,
    Verb,
)
from figcrank.state._catalog import Catalog, DatabaseRoute, ReadMode
from figcrank.transport import MonotonicClock
from figcrank.transport.streams import _session
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_session import OwnerSession
from figcrank.transport.streams._session import SessionServices
from figcrank.transport.streams._statements import Answer

ROUTE = DatabaseRoute("route", "db", "g", ReadMode.PRIMARY, 700, 300)


def catalog(version):
    return Catalog(version, {"db": ROUTE}, {}, {"key": "w"}, {}, 3_000)


class WordCodec(CallerCodec):
    def decoder(self):
        raise AssertionError("a relay's messages have a decoder of their own")

    def reply(self, body, state):
        raise AssertionError("replies to a relay are framed by the relay codec")

    def rejection(self, failure, detail):
        raise AssertionError("replies to a relay are framed by the relay codec")

    def completion(self):
        return b"done"

    def failure(self, failure, detail):
        return failure.name.encode()


class FakeRouter:
    def __init__(self, view):
        self.view = view


class FakeRunner:
    def __init__(self):
        self.answer = None
        self.aborted = []
        self.workspaces = []  # of single statements
        self.rolled_back = 0

    def run_single(self, _session, _statement, _route, workspace):
        self.workspaces.append(workspace)
        return self.answer

    def commit(self, session, _statement, transaction):
        transaction.wrote = session.statement_sent = True
        return self.answer

    def run_in_transaction(self, _session, _statement, transaction):
        transaction.sent = True
        return self.answer

    def roll_back(self, _request_id, _transaction):
        self.rolled_back += 1

    def abort(self, transaction):
        self.aborted.append(transaction.workspace)


class Scenario:
    """An owner with configuration 4, and a relay's connection to it."""

    def __init__(self):
        self.clock = MonotonicClock()
        self.view = FleetView("owner", 1, ("127.0.0.1", 7000), availability_zone="zone-a")
        self.view.role = HostRole.OWNER
        self.view.adopt_catalog(catalog(4), 0)
        log = EventLog("owner", self.clock, self._write)
        self.log, self.lines = log, []
        self.metrics, self.runner = Metrics(), FakeRunner()
        router = FakeRouter(self.view)
        services = SessionServices(
            WordCodec(), router, self.runner, self.clock, log, self.metrics, set()
        )
        self.services = services
        listener = eventlet.listen(("127.0.0.1", 0))
        self.sock = socket.create_connection(listener.getsockname())
        self.sock.settimeout(10)
        accepted, _ = listener.accept()
        listener.close()
        self.session = eventlet.spawn(OwnerSession(accepted, services).run)
        self.decoder = relay_reply_decoder()

    def _write(self, data):
        self.lines.extend(json.loads(line) for line in data.splitlines())
        return len(data)

    def refusals(self):
        now_ms = self.clock.now_ms()
        return self.services.refusals.recent.of_group("g", now_ms)

    def ask(self, data):
        self.sock.sendall(data)
        while True:
            replies = self.decoder.feed(self.sock.recv(4_096))
            if replies:
                return replies[0]

    def start(self, seen, options=None, database="db"):
        return self.ask(encode_start(SessionStart(database, "key"), seen, options))

    def add_peers(self, zone="zone-a"):
        """Add live owners to the view; with 20 of them, one serves the group rather than it."""
        now_ms = self.clock.now_ms()
        for number in range(2, 22):
            peer_address = (f"127.0.0.{number}", 7000)
            self.view.peers.register(f"h{number}", peer_address, now_ms, zone)
            self.view.receive(Heartbeat(f"h{number}", number, 1), peer_address, now_ms)

    def run(self, verb, seen):
        reply = self.ask(encode_request(Request("id", verb, "text", "name", "1"), seen))
        return reply.body, reply.state


@pytest.fixture
def scenario(monkeypatch):
    monkeypatch.setattr(_session, "CATALOG_WAIT_MS", 40)
    monkeypatch.setattr(_session, "NEWER_CATALOG_WAIT_MS", 40)
    scenario = Scenario()
    yield scenario
    scenario.sock.close()
    scenario.session.wait()


def refuse_only_if_confirmed(scenario, confirmed_ago_ms):
    scenario.services.refusal_age_ms = 2_700
    scenario.view.confirm_configuration(4, scenario.clock.now_ms() - confirmed_ago_ms)


def test_unknown_database_is_refused_by_a_confirmed_configuration(scenario):
    refuse_only_if_confirmed(scenario, confirmed_ago_ms=100)
    assert scenario.start(seen=4, database="added").body == b"UNKNOWN_DATABASE"


def test_unknown_database_is_not_refused_by_a_configuration_that_may_be_old(scenario):
    """Guards against the refusal of a database that was added while this host was paused."""
    refuse_only_if_confirmed(scenario, confirmed_ago_ms=4_000)
    reply = eventlet.spawn(scenario.start, 4, None, "added")
    eventlet.sleep(0.1)
    added = Catalog(5, {"db": ROUTE, "added": ROUTE}, {}, {"key": "w"}, {}, 3_000)
    scenario.view.adopt_catalog(added, scenario.clock.now_ms())
    assert not reply.wait().ended


def test_unknown_database_is_refused_once_the_configuration_is_confirmed(scenario):
    refuse_only_if_confirmed(scenario, confirmed_ago_ms=4_000)
    reply = eventlet.spawn(scenario.start, 4, None, "added")
    eventlet.sleep(0.1)
    scenario.view.confirm_configuration(4, scenario.clock.now_ms())
    assert reply.wait().body == b"UNKNOWN_DATABASE"


def test_caller_is_told_to_come_back_if_the_configuration_is_not_confirmed(scenario, monkeypatch):
    monkeypatch.setattr(_session, "CONFIRMATION_WAIT_MS", 40)
    refuse_only_if_confirmed(scenario, confirmed_ago_ms=4_000)
    assert scenario.start(seen=4, database="added").body == b"BUSY"


def test_caller_is_told_to_come_back_at_once_if_the_store_does_not_answer(scenario, monkeypatch):
    monkeypatch.setattr(_session, "CONFIRMATION_WAIT_MS", 60_000)
    refuse_only_if_confirmed(scenario, confirmed_ago_ms=4_000)
    scenario.view.store_ok = False
    assert scenario.start(seen=4, database="added").body == b"BUSY"


def test_session_whose_key_is_known_does_not_wait_for_a_confirmation(scenario, monkeypatch):
    monkeypatch.setattr(_session, "CONFIRMATION_WAIT_MS", 60_000)
    refuse_only_if_confirmed(scenario, confirmed_ago_ms=4_000)
    assert not scenario.start(seen=4).ended


def test_reply_reports_the_configuration_version_and_the_route_timeout(scenario):
    reply = scenario.start(seen=4)
    assert (reply.catalog_version, reply.timeout_ms, reply.ended) == (4, 700, False)


def test_handshake_is_refused_with_an_older_configuration(scenario):
    reply = scenario.start(seen=5)
    assert (reply.body, reply.ended) == (b"BUSY", True)


def test_request_is_refused_until_the_newer_configuration_has_arrived(scenario):
    scenario.start(seen=4)
    assert scenario.run(Verb.SET, seen=5) == (b"BUSY", TransactionState.IDLE)
    scenario.view.adopt_catalog(catalog(5), 0)
    assert scenario.run(Verb.SET, seen=5) == (b"done", TransactionState.IDLE)


def test_request_waits_for_a_configuration_that_arrives_shortly(scenario, monkeypatch):
    monkeypatch.setattr(_session, "NEWER_CATALOG_WAIT_MS", 5_000)
    scenario.start(seen=4)
    eventlet.spawn_after(0.03, scenario.view.adopt_catalog, catalog(5), 0)
    assert scenario.run(Verb.SET, seen=5) == (b"done", TransactionState.IDLE)


def test_open_transaction_is_rolled_back_with_an_older_configuration(scenario):
    scenario.start(seen=4)
    assert scenario.run(Verb.BEGIN, seen=4) == (b"done", TransactionState.OPEN)
    assert scenario.run(Verb.READ, seen=5) == (b"ABORTED", TransactionState.FAILED)
    assert scenario.run(Verb.ROLLBACK, seen=4)[1] is TransactionState.IDLE


def test_commit_with_an_older_configuration_ends_the_transaction(scenario):
    scenario.start(seen=4)
    scenario.run(Verb.BEGIN, seen=4)
    assert scenario.run(Verb.COMMIT, seen=5) == (b"ABORTED", TransactionState.IDLE)


def session_of(scenario):
    (session,) = scenario.services.sessions
    return session


def roll_back_as_a_stopping_host_does(scenario):
    eventlet.sleep(0)  # the session waits for a request
    session_of(scenario).abort_transaction()


def roll_back_after_idle_time(scenario):
    with eventlet.Timeout(10):
        while session_of(scenario).transaction_state is TransactionState.OPEN:
            eventlet.sleep(0.001)


@pytest.fixture(params=[roll_back_as_a_stopping_host_does, roll_back_after_idle_time])
def rolled_back(request, scenario):
    """Return an owner that has rolled back a transaction between two requests."""
    idle_ms = 20 if request.param is roll_back_after_idle_time else 60_000
    scenario.view.adopt_catalog(Catalog(5, {"db": ROUTE}, {}, {"key": "w"}, {}, idle_ms), 0)
    scenario.start(seen=5)
    assert scenario.run(Verb.BEGIN, seen=5) == (b"done", TransactionState.OPEN)
    request.param(scenario)
    return scenario


FIRST_REQUESTS = [Verb.READ, Verb.WRITE, Verb.EXECUTE, Verb.SET, Verb.PREPARE, Verb.BEGIN]


@pytest.mark.parametrize("verb", FIRST_REQUESTS)
def test_first_request_after_a_rollback_is_told_that_nothing_is_kept(rolled_back, verb):
    """Guards against callers that give up, since MALFORMED does not tell that nothing is kept."""
    assert rolled_back.run(verb, seen=5) == (b"ABORTED", TransactionState.FAILED)
    assert rolled_back.run(verb, seen=5) == (b"MALFORMED", TransactionState.FAILED)
    assert rolled_back.run(Verb.ROLLBACK, seen=5) == (b"done", TransactionState.IDLE)
    rolled_back.log.flush()
    refused = [e for e in rolled_back.lines if e["event"] == "refused"]
    assert [e["failure"] for e in refused] == ["aborted"]


@pytest.mark.parametrize(("verb", "body"), [(Verb.COMMIT, b"ABORTED"), (Verb.ROLLBACK, b"done")])
def test_end_of_a_transaction_that_was_rolled_back_is_answered_at_once(rolled_back, verb, body):
    assert rolled_back.run(verb, seen=5) == (body, TransactionState.IDLE)
    assert rolled_back.run(Verb.SET, seen=5) == (b"done", TransactionState.IDLE)


def test_refusal_tells_of_a_rollback_too(rolled_back):
    """Guards against a caller that is told of the same failure twice."""
    assert rolled_back.run(Verb.READ, seen=6) == (b"ABORTED", TransactionState.FAILED)
    rolled_back.view.adopt_catalog(catalog(6), 0)
    assert rolled_back.run(Verb.READ, seen=6) == (b"MALFORMED", TransactionState.FAILED)


RELAY = StartOptions("zone-a")


def test_relay_is_sent_to_the_group_owner_of_its_zone(scenario):
    """Guards against sessions of one group at every owner, with a few connections each."""
    scenario.add_peers()
    reply = scenario.start(4, RELAY)
    assert reply.ended
    first, *successors = (owner.name for owner in reply.redirect)
    assert first == scenario.view.group_owners("g", scenario.clock.now_ms())[0]
    assert len(successors) == 2


def test_first_relay_makes_the_fleet_one_with_group_owners(scenario):
    scenario.add_peers()
    assert not scenario.view.ownership.sees_relays(scenario.clock.now_ms())
    scenario.start(4, RELAY)
    assert scenario.view.ownership.sees_relays(scenario.clock.now_ms())


@pytest.mark.parametrize("options", [None, StartOptions("zone-a", final=True)])
def test_relay_that_reads_no_redirect_or_needs_an_owner_now_is_accepted(scenario, options):
    """Guards against an earlier release that is redirected, and against loops of redirects."""
    scenario.add_peers()
    scenario.view.ownership.record_relay(scenario.clock.now_ms())
    reply = scenario.start(4, options)
    assert not reply.ended
    assert scenario.run(Verb.SET, seen=4) == (b"done", TransactionState.IDLE)


def test_session_is_accepted_while_no_owner_of_this_release_is_known(scenario):
    assert not scenario.start(4, RELAY).ended


def test_session_of_another_owners_caller_does_not_show_a_relay(scenario):
    """Guards against owners that keep each other's groups assigned when the relays are gone."""
    scenario.start(4, StartOptions("zone-a", from_owner=True))
    assert not scenario.view.ownership.sees_relays(scenario.clock.now_ms())


def test_unknown_database_is_rejected_rather_than_redirected(scenario):
    scenario.add_peers()
    assert scenario.start(4, RELAY, "absent").body == b"UNKNOWN_DATABASE"


def test_relay_of_another_zone_is_sent_to_the_owner_of_that_zone(scenario):
    scenario.add_peers("zone-b")
    reply = scenario.start(4, StartOptions("zone-b"))
    assert {owner.availability_zone for owner in reply.redirect} == {"zone-b"}


def test_relay_whose_start_is_rejected_by_a_stopping_owner_can_try_another_one(scenario):
    """Guards against a relay that takes a closing notice for the answer to its start."""
    now_ms = scenario.clock.now_ms()
    scenario.services.lifetime.plan = StopPlan.from_grace(now_ms, 0, 0)
    eventlet.sleep(0)
    for session in scenario.services.sessions:
        session.close_when_idle(spare_new=True)
    scenario.sock.sendall(encode_start(SessionStart("db", "key"), 4))
    assert scenario.sock.recv(200) == b""


@pytest.mark.parametrize("wrongful", [True, False])
def test_refusal_over_the_limit_is_counted_apart_and_judged(scenario, wrongful):
    """Guards against refusals that the limit demands being counted with those of overload."""
    # The host has no allowance yet; the bucket of all hosts has tokens or none.
    burst = 10 * wrongful
    scenario.view.limits["w"] = SharedLimit(0, burst, 0, scenario.clock.now_ms())
    scenario.start(seen=4)
    assert scenario.run(Verb.READ, seen=4)[0] == b"BUSY"
    text = scenario.metrics.render()
    assert 'callers_refused_total{reason="over_limit"} 1' in text
    assert ("limit_refusals_wrongful_total{} 1" in text) is wrongful
    assert scenario.refusals() == {(RefusalReason.OVER_LIMIT, "w"): 1}
    scenario.log.flush()
    assert [e["wrongful"] for e in scenario.lines if e["event"] == "over_limit"] == [wrongful]


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (Answer(b"", SessionFailure.BUSY, "cold", refusal=RefusalReason.COLD), RefusalReason.COLD),
        (Answer(b"full", SessionFailure.BUSY, "full", 1), RefusalReason.SERVER_BUSY),
        (Answer(b"", SessionFailure.TIMEOUT, "late", 1, refusal=RefusalReason.DEADLINE), None),
    ],
)
def test_refusal_is_counted_by_its_reason(scenario, answer, reason):
    """Guards against operations that may have run being counted as refused."""
    scenario.runner.answer = answer
    scenario.start(seen=4)
    scenario.run(Verb.READ, seen=4)
    assert scenario.refusals() == ({(reason, "w"): 1} if reason else {})
    assert ("callers_refused" in scenario.metrics.render()) is bool(reason)


def test_refusal_for_lack_of_the_configuration_is_counted(scenario):
    scenario.start(seen=4)
    scenario.run(Verb.SET, seen=5)
    assert 'callers_refused_total{reason="configuration"} 1' in scenario.metrics.render()


def test_commit_that_ran_is_in_doubt_if_its_answer_fails(scenario, monkeypatch):
    """Guards against a promise that nothing is kept, for a transaction that was committed."""

    def fail(*_args):
        raise ValueError("unexpected")

    scenario.runner.answer = Answer(b"committed", took_ms=1)
    scenario.start(seen=4)
    assert scenario.run(Verb.BEGIN, seen=4) == (b"done", TransactionState.OPEN)
    monkeypatch.setattr(scenario.metrics, "observe_latency", fail)
    assert scenario.run(Verb.COMMIT, seen=4)[0] == b"IN_DOUBT"
    scenario.sock.close()
    with pytest.raises(ValueError, match="unexpected"):
        scenario.session.wait()
    scenario.session = eventlet.spawn(int)  # for the fixture, which waits for it


@pytest.fixture
def moved_key(scenario):
    """Return a scenario whose caller's key moves to another workspace in a transaction."""
    scenario.runner.answer = Answer(b"ran", None, "", 1, "s1")
    scenario.start(4)
    scenario.run(Verb.BEGIN, 4)
    assert scenario.run(Verb.WRITE, 4) == (b"ran", TransactionState.OPEN)
    moved = Catalog(5, {"db": ROUTE}, {}, {"key": "other"}, {}, 3_000)
    scenario.view.adopt_catalog(moved, scenario.clock.now_ms())
    return scenario


@pytest.mark.parametrize(
    ("verb", "state"),
    [
        (Verb.READ, TransactionState.FAILED),
        (Verb.WRITE, TransactionState.FAILED),
        (Verb.COMMIT, TransactionState.IDLE),
    ],
)
def test_transaction_ends_when_its_key_moves_to_another_workspace(moved_key, verb, state):
    """Statements and commits went on under the workspace that no longer held the key."""
    assert moved_key.run(verb, 5) == (SessionFailure.ABORTED.name.encode(), state)
    assert moved_key.runner.aborted == ["w"]


def test_rollback_is_not_sent_for_a_workspace_that_no_longer_holds_the_key(moved_key):
    assert moved_key.run(Verb.ROLLBACK, 5) == (b"done", TransactionState.IDLE)
    assert moved_key.runner.aborted == ["w"]
    assert not moved_key.runner.rolled_back


def test_key_that_has_come_back_to_its_workspace_goes_on(moved_key):
    moved_key.view.adopt_catalog(catalog(6), moved_key.clock.now_ms())
    assert moved_key.run(Verb.WRITE, 6) == (b"ran", TransactionState.OPEN)


def test_next_operation_after_a_moved_transaction_acts_for_the_new_workspace(moved_key):
    moved_key.run(Verb.COMMIT, 5)
    moved_key.run(Verb.WRITE, 5)
    assert moved_key.runner.workspaces == ["other"]
