"""What a relay does with a session whose owner is lost, before in-process owners."""

from dataclasses import replace

import eventlet
import pytest
from eventlet.green import socket

from figcrank.coordination.owners import OwnerDirectory
from figcrank.coordination.sessions import StopPlan
from figcrank.protocol.owners import Owner, OwnerStatus
from figcrank.protocol.relays import RelayCallerCodec
from figcrank.protocol.sessions import (
    CallerCodec,
    ConfigurationSeen,
    Decoder,
    Request,
    SessionFailure,
    SessionStart,
    StartOptions,
    TransactionState,
    Verb,
)
from figcrank.transport import MonotonicClock
from figcrank.transport.streams import _connection, _relayed_session
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_opener import MAX_HOPS, START_TIMEOUT_MS, OwnerOpener
from figcrank.transport.streams._owner_tracker import SILENT_OWNER_MS, SLOW_REPLY_MS, OwnerTracker
from figcrank.transport.streams._relayed_session import RelayedSession, RelayServices

IDLE, OPEN = TransactionState.IDLE, TransactionState.OPEN


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
        self.rejects = False  # each start, for good
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
                if isinstance(message, SessionStart) and self.rejects:
                    sock.sendall(codec.rejection(SessionFailure.UNAUTHENTICATED, ""))
                    continue
                verb = getattr(message, "verb", None)
                if verb in (Verb.BEGIN, Verb.COMMIT):
                    self.state = OPEN if verb is Verb.BEGIN else IDLE
                sock.sendall(codec.reply(b"ok", self.state))

    def requests(self):
        """Return the verbs of the requests received."""
        return [message.verb for message in self.received if isinstance(message, Request)]

    def stop_reading(self):
        """Read nothing more, and accept no session."""
        for greenlet in self._greenlets:
            greenlet.kill()
        self.listener.close()

    def send_notice(self):
        """Tell each relay that its session is closed, as a stopping owner does."""
        codec = RelayCallerCodec(WordCodec(), lambda: (self.version, 60_000))
        for sock in self.socks:
            sock.sendall(codec.closing_notice(SessionFailure.BUSY, "closing"))

    def lose(self):
        for greenlet in self._greenlets:
            greenlet.kill()
        for sock in (self.listener, *self.socks):
            sock.close()
        self.socks.clear()


class Relay:
    """A relay that knows several owners, and one caller of it."""

    def __init__(self, owners=2):
        first = FakeOwner("127.0.0.1")
        port = first.address[1]
        others = [FakeOwner(f"127.0.0.{number}", port) for number in range(2, owners + 1)]
        self.owners = [first, *others]
        self.clock = MonotonicClock()
        directory = OwnerDirectory("zone-a")
        directory.update([owner.owner for owner in self.owners])
        log = EventLog("relay", self.clock, len)
        self.tracker = OwnerTracker(directory, first.address[1], "127.0.0.1", self.clock, log)
        self.sessions = set()
        self.callers = []
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.services = RelayServices(
            WordCodec(),
            self.tracker,
            self.clock,
            log,
            Metrics(),
            self.sessions,
            OwnerOpener("zone-a", self.tracker, self.clock, Metrics()),
        )

    def call(self, key="key"):
        """Open a caller's connection to the relay."""
        ours = socket.create_connection(self.listener.getsockname())
        theirs, _ = self.listener.accept()
        eventlet.spawn_n(RelayedSession(theirs, self.services).run)
        self.callers.append(ours)
        ours.settimeout(10)
        ours.sendall(key.encode() + b"\n")
        return ours

    def serving(self):
        """Return the owner that received the last session."""
        return next(owner for owner in self.owners if owner.received)


@pytest.fixture(params=[2])
def relay(request):
    relay = Relay(request.param)
    yield relay
    for caller in relay.callers:
        caller.close()
    with eventlet.Timeout(10):
        while relay.sessions:
            eventlet.sleep(0)
    for owner in relay.owners:
        owner.lose()
    eventlet.sleep(0)
    relay.listener.close()
    relay.tracker._socket.close()


def starts(owner):
    """Return the options of the starts that an owner has received, ``None`` for those without."""
    before = zip([None, *owner.received], owner.received, strict=False)
    return [
        earlier if isinstance(earlier, StartOptions) else None
        for earlier, message in before
        if isinstance(message, SessionStart)
    ]


def let_answer(relay, *owners):
    """Let owners answer a status query, and show that they read options."""
    listed = tuple(owner.owner for owner in relay.owners)
    for owner in owners or relay.owners:
        status = OwnerStatus(owner.owner.name, True, 5, listed, reads_options=True)
        relay.tracker._receive(status, owner.owner.address[0])


def redirect_to_last(relay):
    """Let all owners but the last one redirect to it, and return it."""
    *others, group_owner = relay.owners
    for owner in others:
        owner.redirect = (group_owner.owner,)
    return group_owner


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


def test_session_is_opened_at_another_owner_if_the_first_one_is_gone(relay):
    assert relay.call().recv(200) == b"ok IDLE\n"
    first = relay.serving()
    first.lose()
    relay.owners.remove(first)
    assert relay.call().recv(200) == b"ok IDLE\n"
    assert relay.serving() is not first


def test_session_at_the_owner_ends_when_the_caller_disconnects_during_a_statement(
    relay, monkeypatch
):
    """Guards against statements of callers that are gone, which wait at the owner for a slot."""
    monkeypatch.setattr(_connection, "CALLER_CHECK_MS", 1)
    caller = relay.call()
    caller.recv(200)
    owner = relay.serving()
    owner.silent = True
    caller.sendall(b"READ\n")
    caller.close()
    with eventlet.Timeout(10):
        while relay.sessions:
            eventlet.sleep(0.001)
    with eventlet.Timeout(10):
        assert not owner.socks[0].recv(200)  # the relay closed its connection


@pytest.mark.parametrize(
    ("before", "last", "failure", "verbs"),
    [
        ((), "WRITE", SessionFailure.BUSY, []),
        (("BEGIN", "WRITE"), "COMMIT", SessionFailure.ABORTED, [Verb.BEGIN, Verb.WRITE]),
    ],
)
def test_request_whose_caller_has_gone_is_not_forwarded_if_it_takes_effect(
    relay, before, last, failure, verbs
):
    """Guards against a write that lay unread while its relay was suspended."""
    caller = relay.call()
    caller.recv(200)
    if before:
        ask(caller, *before)
    caller.sendall(last.encode() + b"\n")
    caller.shutdown(socket.SHUT_WR)  # before the relay reads the request
    assert caller.recv(200).decode().split() == [failure.name, "IDLE"]
    assert caller.recv(200) == b""
    requests = [m for m in relay.serving().received if isinstance(m, Request)]
    assert [request.verb for request in requests] == verbs


def test_input_sent_in_advance_is_no_disconnect(relay, monkeypatch):
    """Guards against a session that ends because its caller sends requests without waiting."""
    monkeypatch.setattr(_connection, "CALLER_CHECK_MS", 1)
    caller = relay.call()
    caller.recv(200)
    owner = relay.serving()
    owner.silent = True
    caller.sendall(b"READ\n")
    eventlet.sleep(0.01)
    caller.sendall(b"READ\n")
    eventlet.sleep(0.05)
    assert relay.sessions
    owner.lose()


@pytest.mark.parametrize(
    ("before", "last", "failure"),
    [
        ((), "WRITE", SessionFailure.IN_DOUBT),
        ((), "READ", SessionFailure.ABORTED),
        (("BEGIN", "WRITE"), "COMMIT", SessionFailure.IN_DOUBT),
        (("BEGIN", "READ"), "COMMIT", SessionFailure.ABORTED),
        (("BEGIN",), "WRITE", SessionFailure.ABORTED),
        (("PREPARE:w1",), "EXECUTE:w1", SessionFailure.IN_DOUBT),
        (("PREPARE:r1",), "EXECUTE:r1", SessionFailure.ABORTED),
    ],
)
def test_request_without_a_reply_gets_its_answer_once_the_owner_is_lost(
    relay, before, last, failure
):
    caller = relay.call()
    caller.recv(200)
    if before:
        ask(caller, *before)
    owner = relay.serving()
    owner.silent = True
    caller.sendall(last.encode() + b"\n")
    eventlet.sleep(0.05)
    owner.lose()
    assert read_line(caller).split() == [failure.name, "IDLE"]
    assert_closed(caller)


HELD_STATE = ["SET:x", "PREPARE:r1", "PREPARE:w1", "WRITE", "EXECUTE:x"]


def close_with_notice(owner):
    owner.stop_reading()
    owner.send_notice()


def cross(owner, caller, request):
    """Close the owner's sessions while a request is on its way to it."""
    owner.stop_reading()
    caller.sendall(request.encode() + b"\n")
    eventlet.sleep(0.05)
    owner.send_notice()


@pytest.mark.parametrize("held", HELD_STATE)
@pytest.mark.parametrize("end", [FakeOwner.lose, close_with_notice])
def test_idle_session_is_closed_with_the_owner_that_holds_its_state(relay, held, end):
    caller = relay.call()
    caller.recv(200)
    ask(caller, held)
    end(relay.serving())
    assert_closed(caller)


@pytest.mark.parametrize("before", [[], ["READ"], ["BEGIN", "READ", "COMMIT"]])
@pytest.mark.parametrize("end", [FakeOwner.lose, close_with_notice])
def test_session_without_state_goes_on_at_another_owner(relay, before, end):
    """Guards against idle sessions whose next request meets the close of their owner."""
    caller = relay.call()
    caller.recv(200)
    if before:
        ask(caller, *before)
    owner = relay.serving()
    end(owner)
    eventlet.sleep(0.05)
    assert ask(caller, "WRITE") == ["ok", "IDLE"]
    (other,) = (o for o in relay.owners if o is not owner)
    assert SessionStart("db", "key") in other.received
    assert other.requests() == [Verb.WRITE]
    other.lose()
    assert_closed(caller)


@pytest.mark.parametrize("verb", [Verb.READ, Verb.WRITE, Verb.SET, Verb.PREPARE, Verb.BEGIN])
def test_request_that_crosses_the_close_of_its_owner_is_run_at_another_one(relay, verb):
    """Guards against BUSY for a request that its owner has not read."""
    caller = relay.call()
    caller.recv(200)
    owner = relay.serving()
    cross(owner, caller, verb.name)
    assert read_line(caller) == f"ok {'OPEN' if verb is Verb.BEGIN else 'IDLE'}"
    assert [o.requests() for o in relay.owners if o is not owner] == [[verb]]


@pytest.mark.parametrize("held", HELD_STATE)
def test_request_of_a_session_with_state_that_crosses_the_close_is_refused(relay, held):
    caller = relay.call()
    caller.recv(200)
    ask(caller, held)
    owner = relay.serving()
    cross(owner, caller, "READ")
    assert read_line(caller) == "BUSY IDLE"
    assert_closed(caller)
    assert [o.requests() for o in relay.owners if o is not owner] == [[]]


@pytest.mark.parametrize("verb", [Verb.READ, Verb.WRITE])
def test_request_that_an_owner_may_have_read_is_sent_to_no_other(relay, verb):
    """Guards against a write that runs twice."""
    caller = relay.call()
    caller.recv(200)
    owner = relay.serving()
    owner.silent = True
    caller.sendall(verb.name.encode() + b"\n")
    eventlet.sleep(0.05)
    owner.lose()
    failure = "IN_DOUBT" if verb is Verb.WRITE else "ABORTED"
    assert read_line(caller) == f"{failure} IDLE"
    assert_closed(caller)
    assert [o.requests() for o in relay.owners if o is not owner] == [[]]


def test_stopping_relay_opens_no_session_at_another_owner(relay):
    caller = relay.call()
    caller.recv(200)
    relay.services.lifetime.plan = StopPlan.from_grace(relay.clock.now_ms(), 60_000, 1_000)
    owner = relay.serving()
    cross(owner, caller, "READ")
    assert read_line(caller) == "BUSY IDLE"
    assert_closed(caller)
    assert [o.received for o in relay.owners if o is not owner] == [[]]


def test_idle_session_of_a_stopping_relay_is_closed_with_its_owner(relay):
    caller = relay.call()
    caller.recv(200)
    relay.services.lifetime.plan = StopPlan.from_grace(relay.clock.now_ms(), 60_000, 1_000)
    relay.serving().lose()
    assert_closed(caller)


def test_session_that_the_next_owner_rejects_ends_with_the_reason(relay):
    """Replays a key that was withdrawn while the session was idle."""
    caller = relay.call()
    caller.recv(200)
    owner = relay.serving()
    (other,) = (o for o in relay.owners if o is not owner)
    other.rejects = True
    owner.lose()
    eventlet.sleep(0.05)
    assert ask(caller, "READ") == ["UNAUTHENTICATED", "IDLE"]
    assert_closed(caller)


def test_request_is_refused_if_no_other_owner_opens_its_session(relay):
    caller = relay.call()
    caller.recv(200)
    for owner in relay.owners:
        owner.lose()
    eventlet.sleep(0.05)
    assert ask(caller, "WRITE") == ["BUSY", "IDLE"]
    assert_closed(caller)


def test_session_that_goes_on_elsewhere_has_no_more_time_than_its_request(relay, monkeypatch):
    monkeypatch.setattr(_relayed_session, "REPLY_MARGIN_MS", -59_900)  # of 60 s, leaves 100 ms
    caller = relay.call()
    caller.recv(200)
    owner = relay.serving()
    (other,) = (o for o in relay.owners if o is not owner)
    owner.lose()
    other.lose()
    eventlet.sleep(0.05)
    opened = []
    open_at = relay.services.opener.open
    monkeypatch.setattr(
        relay.services.opener, "open", lambda *args: opened.append(args) or open_at(*args)
    )
    now_ms = relay.clock.now_ms()
    assert ask(caller, "READ") == ["BUSY", "IDLE"]
    ((start, deadline_ms),) = opened
    assert start == SessionStart("db", "key")
    assert deadline_ms >= now_ms + 100
    assert deadline_ms < now_ms + START_TIMEOUT_MS


def test_session_that_no_owner_accepts_is_counted_as_refused(relay):
    """Guards against refusals by a relay that no counter tells of."""
    for owner in relay.owners:
        owner.lose()
    assert relay.call().recv(200).decode().split()[0] == "BUSY"
    assert 'callers_refused_total{reason="no_owner"} 1' in relay.services.metrics.render()


def test_request_after_the_loss_of_a_transaction_is_told_that_it_was_rolled_back(relay):
    caller = relay.call()
    caller.recv(200)
    assert ask(caller, "BEGIN", "WRITE") == ["ok", "OPEN"]
    relay.serving().lose()
    eventlet.sleep(0.05)
    assert ask(caller, "COMMIT") == ["ABORTED", "IDLE"]


def test_requests_carry_the_newest_configuration_seen_at_any_owner(relay):
    callers = {}
    for number in range(40):
        caller = relay.call(f"key-{number}")
        caller.recv(200)
        owner = next(o for o in relay.owners if SessionStart("db", f"key-{number}") in o.received)
        callers[owner.owner.name] = caller, owner
    (first, newer), (second, older) = callers.values()
    newer.version = 9
    ask(first, "READ")
    ask(second, "READ")
    assert older.received[-2] == ConfigurationSeen(9)


def test_silent_owner_is_lost_after_unanswered_queries(relay):
    """Replays a frozen owner: its connections stay open and nothing answers."""
    caller = relay.call()
    caller.recv(200)
    owner = relay.serving()
    owner.silent = True
    caller.sendall(b"READ\n")
    eventlet.sleep(0.05)
    now_ms = relay.clock.now_ms()
    relay.tracker.check_sessions(now_ms + SLOW_REPLY_MS - 100)
    relay.tracker.check_sessions(now_ms + SLOW_REPLY_MS)
    relay.tracker.check_sessions(now_ms + SLOW_REPLY_MS + SILENT_OWNER_MS - 1)
    eventlet.sleep(0)
    assert relay.tracker.choose("key db", set()) is not None
    relay.tracker.check_sessions(now_ms + SLOW_REPLY_MS + SILENT_OWNER_MS)
    assert read_line(caller) == "ABORTED IDLE"
    assert_closed(caller)


def test_relay_that_stops_closes_sessions_between_operations_only(relay):
    idle, busy = relay.call(), relay.call()
    idle.recv(200), busy.recv(200)
    ask(busy, "BEGIN")
    for session in list(relay.sessions):
        session.close_when_idle()
    assert_closed(idle)
    assert ask(busy, "COMMIT") == ["ok", "IDLE"]
    assert_closed(busy)


THREE_OWNERS = pytest.mark.parametrize("relay", [3], indirect=True)


def test_owner_that_has_not_shown_that_it_reads_options_gets_none(relay):
    """Guards against an owner of an earlier release, which can't read a start with options."""
    relay.call().recv(200)
    assert starts(relay.serving()) == [None]


@THREE_OWNERS
def test_session_is_opened_where_it_was_redirected_and_the_next_ones_there_at_once(relay):
    let_answer(relay)
    group_owner = redirect_to_last(relay)
    for number in range(12):
        assert relay.call(f"key-{number}").recv(200) == b"ok IDLE\n"
    assert starts(group_owner) == [StartOptions("zone-a")] * 12
    assert sum(len(starts(owner)) for owner in relay.owners[:-1]) <= 1


@THREE_OWNERS
def test_session_that_goes_on_elsewhere_follows_redirects(relay):
    let_answer(relay)
    caller = relay.call()
    caller.recv(200)
    left = relay.serving()
    chosen = relay.tracker.choose("key db", {left.owner.address})
    first = next(o for o in relay.owners if o.owner == chosen)
    (group_owner,) = (o for o in relay.owners if o not in (left, first))
    first.redirect = (group_owner.owner,)
    left.lose()
    eventlet.sleep(0.05)
    assert ask(caller, "READ") == ["ok", "IDLE"]
    assert starts(first) == [StartOptions("zone-a")]
    assert (first.requests(), group_owner.requests()) == ([], [Verb.READ])


@THREE_OWNERS
@pytest.mark.parametrize("fault", ["dead", "paused"])
def test_session_is_accepted_elsewhere_if_the_group_owner_is(relay, fault):
    """Guards against callers without an owner while the other owners still redirect to it."""
    let_answer(relay)
    group_owner = redirect_to_last(relay)
    relay.call().recv(200)
    if fault == "dead":
        group_owner.lose()
    else:
        group_owner.silent = True
    assert relay.call("other").recv(200) == b"ok IDLE\n"
    assert StartOptions("zone-a", final=True) in sum(map(starts, relay.owners[:-1]), [])


@THREE_OWNERS
def test_successors_are_tried_in_the_order_of_the_redirect(relay):
    let_answer(relay)
    group_owner = redirect_to_last(relay)
    successor = relay.owners[1]
    relay.owners[0].redirect = (group_owner.owner, successor.owner)
    successor.redirect = relay.owners[0].redirect
    group_owner.lose()
    keys = (f"first-{number}" for number in range(100))
    key = next(k for k in keys if relay.tracker.choose(f"{k} db", set()) != group_owner.owner)
    assert relay.call(key).recv(200) == b"ok IDLE\n"
    others = sum(map(starts, relay.owners[:-1]), [])
    assert others.count(StartOptions("zone-a")) == 1  # the failure leads to no second redirect
    for number in range(5):
        assert relay.call(f"key-{number}").recv(200) == b"ok IDLE\n"
    assert starts(relay.owners[0]).count(StartOptions("zone-a", final=True)) == 0
    assert starts(successor).count(StartOptions("zone-a", final=True)) == 6


@THREE_OWNERS
def test_avoided_group_owner_is_not_waited_for_by_each_session(relay):
    """Guards against the wait for an owner that is cut off from this relay only, at each start."""
    let_answer(relay)
    group_owner = redirect_to_last(relay)
    group_owner.silent = True
    relay.call().recv(200)
    tried = len(starts(group_owner))
    for number in range(5):
        relay.call(f"key-{number}").recv(200)
    assert len(starts(group_owner)) == tried
    others = sum(map(starts, relay.owners[:-1]), [])
    assert others.count(StartOptions("zone-a")) == 6  # one redirect for each session


def test_owners_that_redirect_to_each_other_are_told_that_the_start_is_final(relay):
    """Guards against a loop between owners with different views."""
    let_answer(relay)
    first, second = relay.owners
    first.redirect, second.redirect = (second.owner,), (first.owner,)
    assert relay.call().recv(200) == b"ok IDLE\n"
    options = starts(first) + starts(second)
    assert len(options) == MAX_HOPS + 1
    assert [o.final for o in options].count(True) == 1


def test_final_start_makes_no_owner_the_remembered_one(relay):
    let_answer(relay)
    first, second = relay.owners
    first.redirect, second.redirect = (second.owner,), (first.owner,)
    relay.call().recv(200)
    assert relay.tracker.memory.get("db") is None


@THREE_OWNERS
def test_owner_of_another_zone_is_not_remembered_while_there_are_nearer_ones(relay):
    """Guards against sessions of all workspaces that cross because those of one have to."""
    let_answer(relay)
    group_owner = redirect_to_last(relay)
    distant = replace(group_owner.owner, availability_zone="zone-b")
    for owner in relay.owners[:-1]:
        owner.redirect = (distant,)
    relay.tracker.update([*(owner.owner for owner in relay.owners[:-1]), distant])
    assert relay.call().recv(200) == b"ok IDLE\n"
    assert starts(group_owner) == [StartOptions("zone-a")]
    assert relay.tracker.memory.get("db") is None


def test_remembered_owner_that_redirects_is_replaced(relay):
    """Replays a group that moves to another owner of the zone."""
    let_answer(relay)
    group_owner = redirect_to_last(relay)
    relay.call().recv(200)
    first = relay.owners[0]
    first.redirect, group_owner.redirect = (), (first.owner,)
    relay.call().recv(200)
    assert relay.tracker.memory.get("db") == first.owner


def test_session_is_redirected_to_an_owner_that_the_relay_does_not_know_yet(relay):
    """Replays an owner that has just taken a seat; requests there must not end as unanswered."""
    let_answer(relay)
    group_owner = redirect_to_last(relay)
    relay.tracker.update([relay.owners[0].owner])
    caller = relay.call()
    assert caller.recv(200) == b"ok IDLE\n"
    assert starts(group_owner) == [StartOptions("zone-a")]
    group_owner.silent = True
    caller.sendall(b"READ\n")
    eventlet.sleep(0.05)
    now_ms = relay.clock.now_ms()
    relay.tracker.check_sessions(now_ms + SLOW_REPLY_MS)
    listed = (relay.owners[0].owner,)
    relay.tracker._receive(OwnerStatus("o", True, 5, listed), group_owner.owner.address[0])
    relay.tracker.check_sessions(now_ms + SLOW_REPLY_MS + SILENT_OWNER_MS)
    assert relay.tracker.has_sessions
    group_owner.lose()


def test_group_owner_that_restarts_serves_the_next_sessions_again(relay):
    let_answer(relay)
    group_owner = redirect_to_last(relay)
    relay.call().recv(200)
    ip, port = group_owner.address
    group_owner.lose()
    relay.call().recv(200)
    restarted = FakeOwner(ip, port)
    relay.owners[-1] = restarted
    let_answer(relay, restarted)
    relay.call("third").recv(200)
    assert starts(restarted) == [StartOptions("zone-a")]
