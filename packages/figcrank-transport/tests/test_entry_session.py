"""Sessions of an owner's own callers: read once, then served there or at the group owner."""

import eventlet
import pytest
from eventlet.green import socket

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.owners import HostRole, OwnerDirectory, assign_groups
from figcrank.protocol.heartbeats import Heartbeat
from figcrank.protocol.owners import Owner
from figcrank.protocol.relays import RelayCallerCodec
from figcrank.protocol.sessions import (
    CallerCodec,
    ConfigurationSeen,
    Decoder,
    Request,
    SessionStart,
    StartOptions,
    TransactionState,
    Verb,
)
from figcrank.state._catalog import Catalog, DatabaseRoute, ReadMode
from figcrank.transport import MonotonicClock
from figcrank.transport.streams._entry_session import EntrySession
from figcrank.transport.streams._group_owner_monitor import GroupOwnerMonitor
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_opener import OwnerOpener
from figcrank.transport.streams._owner_tracker import SILENT_OWNER_MS, SLOW_REPLY_MS, OwnerTracker
from figcrank.transport.streams._relayed_session import RelayServices
from figcrank.transport.streams._session import SessionServices

ROUTE = DatabaseRoute("route", "db", "g", ReadMode.PRIMARY, 700, 300)
IDLE, OPEN = TransactionState.IDLE, TransactionState.OPEN
FORWARDED = StartOptions("zone-a", from_owner=True)


class WordDecoder(Decoder):
    """Each line is a verb; the first one is the handshake."""

    def __init__(self):
        self._started = False

    def feed(self, data):
        messages = []
        for word in data.decode().split():
            if self._started:
                verb, _, name = word.partition(":")
                prepares_write = name.startswith("w")
                messages.append(Request("id", Verb[verb], "", name, "", prepares_write))
            else:
                messages.append(SessionStart("db", word))
            self._started = True
        return messages


class WordCodec(CallerCodec):
    """Replies are words followed by the state."""

    def decoder(self):
        return WordDecoder()

    def reply(self, body, state):
        return body + f" {state.name}\n".encode()

    def rejection(self, failure, detail):
        return failure.name.encode() + b"\n"

    def completion(self):
        return b"done"

    def failure(self, failure, detail):
        return failure.name.encode()


class FakeOwner:
    """Accepts relayed sessions; answers requests until ``silent`` is set."""

    def __init__(self, ip, port=0):
        self.listener = eventlet.listen((ip, port))
        self.address = self.listener.getsockname()
        self.owner = Owner(f"owner-{ip}", (ip, 7000), "zone-a")
        self.received = []
        self.version = 5
        self.silent = False
        self.redirect = ()  # answer to each start that is not final
        self.socks = []
        self.state = IDLE
        self._greenlets = [eventlet.spawn(self._accept)]

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            self.socks.append(sock)
            self._greenlets.append(eventlet.spawn(self._serve, sock))

    def _serve(self, sock):
        codec = RelayCallerCodec(WordCodec(), lambda: (self.version, 60_000))
        decoder = codec.decoder()
        while data := sock.recv(4_096):
            for message in decoder.feed(data):
                self.received.append(message)
                if isinstance(message, ConfigurationSeen | StartOptions) or self.silent:
                    continue
                if isinstance(message, SessionStart) and self.redirect:
                    options = self.received[-2]
                    if not (isinstance(options, StartOptions) and options.final):
                        sock.sendall(codec.redirect(self.redirect))
                        continue
                verb = getattr(message, "verb", None)
                if verb in (Verb.BEGIN, Verb.COMMIT):
                    self.state = OPEN if verb is Verb.BEGIN else IDLE
                sock.sendall(codec.reply(b"ok", self.state))

    def lose(self):
        for greenlet in self._greenlets:
            greenlet.kill()
        for sock in (self.listener, *self.socks):
            sock.close()
        self.socks.clear()


def starts(owner):
    """Return the options of the starts that an owner has received, ``None`` for those without."""
    before = zip([None, *owner.received], owner.received, strict=False)
    return [
        earlier if isinstance(earlier, StartOptions) else None
        for earlier, message in before
        if isinstance(message, SessionStart)
    ]


def ask(caller, *words):
    """Send requests one after the other and return the last reply."""
    for word in words:
        caller.sendall(word.encode() + b"\n")
        reply = read_line(caller)
    return reply.split()


def read_line(caller):
    """Return the next line, without its end; empty at the end of the connection."""
    line = b""
    while (byte := caller.recv(1)) not in (b"\n", b""):
        line += byte
    return line.decode()


def assert_closed(caller):
    """Assert that the host has refused what may be on its way and closed the connection."""
    assert [read_line(caller), caller.recv(200)] == ["BUSY", b""]


class FakeRouter:
    def __init__(self, view):
        self.view = view


class Scenario:
    """An owner in a zone with another one, which serves the group."""

    def __init__(self):
        self.other = FakeOwner("127.0.0.2")
        self.clock = MonotonicClock()
        self.lines = []
        log = EventLog("owner", self.clock, len)
        log.event = lambda event, **fields: self.lines.append((event, fields))
        self.view = FleetView(
            self._name_that_comes_after(), 1, ("127.0.0.1", 7000), availability_zone="zone-a"
        )
        self.view.role = HostRole.OWNER
        self.view.adopt_catalog(Catalog(4, {"db": ROUTE}, {}, {"key": "w"}, {}, 3_000), 0)
        self.hear_other()
        self.view.ownership.record_relay(self.clock.now_ms())
        directory = OwnerDirectory("zone-a")
        self.tracker = OwnerTracker(directory, self.other.address[1], "127.0.0.1", self.clock, log)
        self.metrics = Metrics()
        self.monitor = GroupOwnerMonitor(self.view, self.tracker, self.clock, log, self.metrics)
        self.monitor.check(self.clock.now_ms())
        self.sessions = set()
        self.services = SessionServices(
            WordCodec(), FakeRouter(self.view), None, self.clock, log, self.metrics, self.sessions
        )
        opener = OwnerOpener("zone-a", self.tracker, self.clock, self.metrics)
        self.relay_services = RelayServices(
            WordCodec(), self.tracker, self.clock, log, self.metrics, self.sessions, opener
        )
        self.listener = eventlet.listen(("127.0.0.1", 0))

    def _name_that_comes_after(self):
        """Return a name for this owner with which the other one serves the group."""
        names = (f"this-{number}" for number in range(100))
        other = self.other.owner.name
        return next(n for n in names if assign_groups(["g"], [n, other])["g"][0] == other)

    def hear_other(self, leaving=False):
        owner, now_ms = self.other.owner, self.clock.now_ms()
        self.view.peers.register(owner.name, owner.address, now_ms, "zone-a")
        heartbeat = Heartbeat(owner.name, 2, now_ms, leaving=leaving)
        self.view.receive(heartbeat, owner.address, now_ms)

    def call(self):
        ours = socket.create_connection(self.listener.getsockname())
        theirs, _ = self.listener.accept()
        session = EntrySession(theirs, self.services, self.relay_services)
        eventlet.spawn_n(session.run)
        ours.settimeout(10)
        ours.sendall(b"key\n")
        return ours

    def events(self, name):
        return [fields for event, fields in self.lines if event == name]


@pytest.fixture
def scenario():
    scenario = Scenario()
    yield scenario
    scenario.other.lose()
    scenario.listener.close()
    scenario.tracker._socket.close()


def test_session_is_forwarded_to_the_group_owner_with_what_the_caller_sent(scenario):
    caller = scenario.call()
    assert caller.recv(200) == b"ok IDLE\n"
    assert ask(caller, "BEGIN", "WRITE") == ["ok", "OPEN"]
    assert starts(scenario.other) == [FORWARDED]
    assert scenario.other.received.count(SessionStart("db", "key")) == 1


def test_fleet_without_relays_serves_its_own_callers(scenario):
    """Guards against forwarded sessions in a fleet where each host is an owner of all groups."""
    scenario.view.ownership.record_relay(-1_000_000)
    assert scenario.call().recv(200) == b" IDLE\n"
    assert starts(scenario.other) == []


@pytest.mark.parametrize("fault", ["dead", "paused", "leaving"])
def test_session_is_served_here_if_the_group_owner_is(scenario, fault):
    """Guards against callers that are rejected while this owner could serve them."""
    if fault == "dead":
        scenario.other.lose()
    elif fault == "paused":
        scenario.other.silent = True
    else:
        scenario.hear_other(leaving=True)
    caller = scenario.call()
    assert caller.recv(200) == b" IDLE\n"
    assert ask(caller, "SET:x") == ["done", "IDLE"]
    assert not scenario.tracker.has_sessions


def test_session_that_is_redirected_back_is_served_here(scenario):
    """Guards against a loop between two owners, each of which takes the other for the owner."""
    scenario.other.redirect = (scenario.view.itself,)
    assert scenario.call().recv(200) == b" IDLE\n"
    assert not scenario.events("owner_refused_session")  # as it did not try its own address


def test_session_is_served_here_after_redirects_among_others(scenario):
    scenario.other.redirect = (scenario.other.owner,)
    assert scenario.call().recv(200) == b" IDLE\n"
    assert len(starts(scenario.other)) == 1


def test_group_owner_must_not_use_an_older_configuration_than_this_owner(scenario):
    """Guards against a caller that sees an older configuration after a newer one."""
    scenario.call().recv(200)
    assert scenario.other.received[0].version == 4


def test_session_ends_with_a_silent_group_owner(scenario):
    caller = scenario.call()
    caller.recv(200)
    scenario.other.silent = True
    caller.sendall(b"READ\n")
    eventlet.sleep(0.05)
    now_ms = scenario.clock.now_ms()
    scenario.monitor.check(now_ms + SLOW_REPLY_MS)
    scenario.monitor.check(now_ms + SLOW_REPLY_MS + SILENT_OWNER_MS)
    assert read_line(caller) == "ABORTED IDLE"
    assert_closed(caller)


def test_owner_that_stops_ends_forwarded_sessions_between_operations(scenario):
    idle, busy = scenario.call(), scenario.call()
    idle.recv(200), busy.recv(200)
    ask(busy, "BEGIN")
    for session in list(scenario.sessions):
        session.close_when_idle()
    assert_closed(idle)
    assert ask(busy, "COMMIT") == ["ok", "IDLE"]
    assert_closed(busy)


def test_caller_that_never_sends_a_start_leaves_nothing_behind(scenario):
    ours = socket.create_connection(scenario.listener.getsockname())
    theirs, _ = scenario.listener.accept()
    session = eventlet.spawn(EntrySession(theirs, scenario.services, scenario.relay_services).run)
    eventlet.sleep(0)
    assert len(scenario.sessions) == 1
    ours.close()
    session.wait()
    assert not scenario.sessions


def test_change_of_the_group_owners_is_logged_once(scenario):
    for _ in range(3):
        scenario.monitor.check(scenario.clock.now_ms())
    scenario.hear_other(leaving=True)
    for _ in range(3):
        scenario.monitor.check(scenario.clock.now_ms())
    before, after = scenario.events("group_owners_changed")
    assert before["owners"] == {"g": scenario.other.owner.name}
    assert after["owners"] == {"g": scenario.view.host}
    assert after["moved"] == 1
    assert 'group_owners_changed_total{zone="zone-a"} 2' in scenario.metrics.render()
