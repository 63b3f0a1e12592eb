"""Sessions of confined routes and workspaces run only at owners that they may pass through."""

import eventlet
import pytest
from eventlet.green import socket

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.owners import HostRole
from figcrank.coordination.regions import RegionMap
from figcrank.protocol.heartbeats import Heartbeat
from figcrank.protocol.relays import encode_request, encode_start, relay_reply_decoder
from figcrank.protocol.sessions import (
    CallerCodec,
    Request,
    SessionStart,
    StartOptions,
    TransactionState,
    Verb,
)
from figcrank.state._catalog import Catalog, DatabaseRoute, ReadMode
from figcrank.transport import MonotonicClock
from figcrank.transport.streams._entry_session import EntrySession
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_session import OwnerSession
from figcrank.transport.streams._relayed_session import RelayServices
from figcrank.transport.streams._session import SessionServices

REGIONS = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west"}
IDLE = TransactionState.IDLE


class WordCodec(CallerCodec):
    def decoder(self):
        raise AssertionError("a relay's messages have a decoder of their own")

    def reply(self, body, state):
        raise AssertionError("replies to a relay are framed by the relay codec")

    rejection = reply

    def completion(self):
        return b"done"

    def failure(self, failure, detail):
        return f"{failure.name}: {detail}".encode()


class FakeRunner:
    def abort(self, transaction):
        pass


class Scenario:
    """An owner in the south of a fleet with relays, and a connection to it."""

    def __init__(self):
        self.clock = MonotonicClock()
        regions = RegionMap("s1", REGIONS)
        self.view = FleetView(
            "owner", 1, ("127.0.0.1", 7000), availability_zone="s1", regions=regions
        )
        self.view.ownership.regions = REGIONS
        self.view.role = HostRole.OWNER
        self.version = 0
        self.lines = []
        self.log = EventLog("owner", self.clock, len)
        self.log.event = lambda event, **fields: self.lines.append((event, fields))
        self.router = type("FakeRouter", (), {"view": self.view})()
        self.services = SessionServices(
            WordCodec(), self.router, FakeRunner(), self.clock, self.log, Metrics(), set()
        )
        listener = eventlet.listen(("127.0.0.1", 0))
        self.sock = socket.create_connection(listener.getsockname())
        self.sock.settimeout(10)
        accepted, _ = listener.accept()
        listener.close()
        self.session = eventlet.spawn(OwnerSession(accepted, self.services).run)
        self.decoder = relay_reply_decoder()

    def confine(self, route=(), workspace=()):
        self.version += 1
        fields = DatabaseRoute(
            "route", "db", "g", ReadMode.PRIMARY, 700, 300, allowed_regions=route
        )
        catalog = Catalog(self.version, {"db": fields}, {}, {"key": "w"}, {}, 3_000)
        catalog.workspace_regions.update({"w": workspace} if workspace else {})
        self.view.adopt_catalog(catalog, 0)

    def add_owners(self, zone, count=1):
        now_ms = self.clock.now_ms()
        for number in range(count):
            address = (f"127.1.{len(self.view.peers.all())}.{number}", 7000)
            name = f"{zone}-{number}"
            self.view.peers.register(name, address, now_ms, zone)
            self.view.receive(Heartbeat(name, 2, 1), address, now_ms)

    def ask(self, data):
        self.sock.sendall(data)
        while True:
            data = self.sock.recv(4_096)
            assert data, "the owner closed the connection without a reply"
            replies = self.decoder.feed(data)
            if replies:
                return replies[0]

    def start(self, options):
        return self.ask(encode_start(SessionStart("db", "key"), self.version, options))

    def run(self, verb):
        reply = self.ask(encode_request(Request("id", verb, "text", "name", "1"), self.version))
        return reply.body.decode(), reply.state


@pytest.fixture
def scenario():
    scenario = Scenario()
    yield scenario
    scenario.sock.close()
    scenario.session.wait()


def redirected_to(reply):
    return {owner.availability_zone for owner in reply.redirect}


def test_relay_is_sent_to_an_owner_of_its_own_region(scenario):
    """The caller's own region may always forward its sessions, also where it is not allowed."""
    scenario.confine(("north",))
    scenario.add_owners("n1")
    scenario.add_owners("w1")
    assert redirected_to(scenario.start(StartOptions("w1"))) == {"w1"}


def test_relay_of_a_region_without_owners_is_not_sent_to_a_third_region(scenario):
    """Guards against the choice of any zone for callers whose region has no owner."""
    scenario.confine((), ("west",))
    scenario.add_owners("n1", 3)
    scenario.add_owners("n2", 3)
    reply = scenario.start(StartOptions("w1"))
    assert reply.ended and not reply.redirect
    assert reply.body.startswith(b"BUSY: no owner was reached in an allowed region (west)")
    ((_, refused),) = [line for line in scenario.lines if line[0] == "refused"]
    assert refused["failure"] == "busy"


@pytest.mark.parametrize(
    ("route", "workspace"), [(("north",), ()), (("north", "west"), ("north",))]
)
def test_relay_without_owners_nearby_is_sent_to_the_region_that_both_allow(
    scenario, route, workspace
):
    scenario.confine(route, workspace)
    scenario.add_owners("s2", 3)
    scenario.add_owners("n2", 3)
    assert redirected_to(scenario.start(StartOptions("w1"))) == {"n2"}


def test_final_start_is_rejected_where_the_session_may_not_run(scenario):
    """Guards against an owner that accepts a final start as any owner otherwise does."""
    scenario.confine(("north",))
    scenario.add_owners("n1")
    reply = scenario.start(StartOptions("w1", final=True))
    assert reply.ended and not reply.redirect
    assert b"the caller's (west); this one is in south" in reply.body


@pytest.mark.parametrize("allowed", [("south",), ("north", "south"), ()])
def test_start_that_does_not_tell_the_callers_zone_is_accepted_in_an_allowed_region(
    scenario, allowed
):
    """Guards against relays of the previous release that can't open any session."""
    scenario.confine(allowed)
    assert not scenario.start(None).ended


def test_start_that_does_not_tell_the_callers_zone_is_rejected_elsewhere(scenario):
    scenario.confine(("north",))
    reply = scenario.start(None)
    assert reply.ended
    assert b"in the caller's (unknown)" in reply.body


@pytest.mark.parametrize("zone", ["s1", "s2"])
def test_session_of_the_callers_own_region_is_accepted(scenario, zone):
    """A host of the caller's region may forward what only another region's servers may run."""
    scenario.confine(("north",))
    assert not scenario.start(StartOptions(zone, final=True)).ended
    assert scenario.run(Verb.SET) == ("done", IDLE)


def test_session_that_is_not_confined_is_accepted_from_any_region(scenario):
    scenario.confine()
    assert not scenario.start(StartOptions("w1", final=True)).ended


def test_session_ends_when_a_new_configuration_confines_it_elsewhere(scenario):
    """Guards against sessions that stay open for hours at an owner that may not run them."""
    scenario.confine()
    scenario.start(StartOptions("w1", final=True))
    assert scenario.run(Verb.SET) == ("done", IDLE)
    scenario.confine(("north",))
    body, state = scenario.run(Verb.READ)
    assert body.startswith("BUSY: no owner was reached in an allowed region (north)")
    assert state is IDLE
    assert scenario.sock.recv(10) == b""


def test_open_transaction_is_aborted_when_a_new_configuration_confines_it_elsewhere(scenario):
    scenario.confine()
    scenario.start(StartOptions("w1", final=True))
    scenario.run(Verb.BEGIN)
    scenario.confine(("north",))
    body, state = scenario.run(Verb.COMMIT)
    assert body.startswith("ABORTED: no owner was reached")
    assert state is IDLE
    assert scenario.sock.recv(10) == b""


class RecordingOpener:
    """Records the owners to which an owner's own caller may be forwarded."""

    def forward(self, _start, owners, _itself):
        self.zones = {owner.availability_zone for owner in owners}


@pytest.mark.parametrize(("allowed", "zones"), [((), {"n1"}), (("west",), set())])
def test_owner_that_leaves_forwards_its_callers_to_permitted_owners_only(scenario, allowed, zones):
    """Guards against an owner without a successor in its region that picks any zone."""
    scenario.confine(allowed)
    scenario.add_owners("n1")
    scenario.view.leaving = True
    scenario.view.ownership.record_relay(scenario.clock.now_ms())
    opener = RecordingOpener()
    tracker = type("FakeTracker", (), {"record_version": lambda _self, _version: None})()
    services = RelayServices(
        WordCodec(), tracker, scenario.clock, scenario.log, Metrics(), set(), opener
    )
    session = EntrySession.__new__(EntrySession)
    session._services, session._relay_services = scenario.services, services
    session._forward(SessionStart("db", "key"))
    assert opener.zones == zones
