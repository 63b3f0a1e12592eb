"""Simulates several host cores on a virtual clock, with a lossy network and a fake platform."""

import random
from heapq import heappop, heappush
from itertools import count

import pytest

from figcrank import protocol
from figcrank.coordination import (
    CallPeer,
    CallPlatform,
    CoreSettings,
    GossipReceived,
    HostCore,
    OperatorReceived,
    PeerFailed,
    PeerReplied,
    PeerRequestReceived,
    PlatformReplied,
    RespondOperator,
    RespondPeer,
    SendGossip,
    Tick,
    Timings,
)
from figcrank.protocol.codecs import GossipCodec
from figcrank.protocol.objects import encode_config_value
from figcrank.state import Host, Key, Workspace

TICK_MS = 10
DELAY_MS = 2


def make_host(number, name=None, cell="cell-1"):
    address = f"10.0.{cell[5:]}.{number}"
    zone = f"zone-{number % 3}"
    return Host(name or f"{cell}-host-{number}", zone, f"{address}:1", f"{address}:2", cell)


class FakeStore:
    """The platform's object API, with watches and simulated outages and lost answers."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.up = True
        self.is_silent = False
        self.delay_ms = 2
        self.calls = 0
        self.lose_put_answers = 0

    def put(self, value, name, kind=None, operation_id=""):
        self.revision += 1
        text = None if value is None else encode_config_value(value)
        kind = kind or type(value).__name__.lower()
        stored = protocol.StoredObject(kind, name, self.revision, text, operation_id)
        self.objects[kind, name] = stored
        return stored

    def list(self, kinds, since):
        found = [o for o in self.objects.values() if o.kind in kinds and o.version > since]
        if since == 0:
            found = [o for o in found if o.value is not None]
        return protocol.ObjectList(self.revision, tuple(found))

    def put_if(self, call):
        current = self.objects.get((call.kind, call.name))
        if (current.version if current else 0) != call.expected_version:
            return protocol.PutConflict(current)
        self.revision += 1
        stored = protocol.StoredObject(
            call.kind, call.name, self.revision, call.value, call.operation_id
        )
        self.objects[call.kind, call.name] = stored
        if self.lose_put_answers:
            self.lose_put_answers -= 1
            return None
        return protocol.PutDone(stored)


class FakeFleet:
    """Drives host cores; tests inject faults by setting attributes."""

    def __init__(self, hosts, seed=1, timings=None, start=True):
        self.random = random.Random(seed)
        self.store = FakeStore()
        self.now_ms = 1_000
        self.loss = 0.0
        self.is_cut = lambda a, b: False
        self.cut_from_store = set()
        self.paused = {}
        self.bytes_sent = 0
        self.sent = []
        self.replies = []
        self._order = count()
        self._events = []
        self._timings = timings or Timings()
        self.cores = {}
        self.hosts = {}
        self.seeds = tuple(hosts)
        self.codec = GossipCodec("fleet", ("s3cret",))
        if start:
            for host in hosts:
                self.add(host)

    def add(self, host, seeds=None):
        settings = CoreSettings("fleet", host, seeds or self.seeds, (), timings=self._timings)
        core = HostCore(settings, random.Random(self.random.getrandbits(32)))
        self.hosts[host.name] = host
        self.cores[host.name] = core
        self._carry_out(host.name, core.start(self.now_ms))
        self._schedule(self.random.randrange(TICK_MS), host.name, None)
        return core

    def kill(self, name):
        del self.cores[name]

    def run(self, duration_ms, until=lambda: False):
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, name, event = heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            self._deliver(name, event)
            if until():
                return True
        self.now_ms = end_ms
        return until()

    def send(self, name, event):
        self._carry_out(name, self.cores[name].handle(event, self.now_ms))

    def send_operator_request(self, name, request):
        self.send(name, OperatorReceived(next(self._order), request))

    def _schedule(self, delay_ms, name, event):
        heappush(self._events, (self.now_ms + delay_ms, next(self._order), name, event))

    def _deliver(self, name, event):
        if name not in self.cores:
            return
        resume_ms = self.paused.get(name, 0)
        if resume_ms > self.now_ms:
            self._schedule(resume_ms - self.now_ms, name, event)
            return
        if event is None:
            self._schedule(TICK_MS, name, None)
            event = Tick()
        if isinstance(event, PlatformReplied) and callable(event.result):
            event = self._store_reply(name, event)
            if event is None:
                return
        self.send(name, event)

    def _store_reply(self, name, event):
        if not self.store.up or name in self.cut_from_store:
            failed = PlatformReplied(event.call_id, protocol.PlatformFailed("down"))
            return None if self.store.is_silent else failed
        result = event.result()
        return None if result is None else PlatformReplied(event.call_id, result)

    def _carry_out(self, name, actions):
        for action in actions:
            self._perform(name, action)

    def _perform(self, name, action):
        if isinstance(action, SendGossip):
            self._gossip(name, action)
        elif isinstance(action, CallPlatform):
            self._call_store(name, action)
        elif isinstance(action, CallPeer):
            self._call_peer(name, action)
        elif isinstance(action, RespondPeer):
            caller, call_id = action.call_id
            self._schedule(DELAY_MS, caller, PeerReplied(call_id, action.reply))
        elif isinstance(action, RespondOperator):
            self.replies.append((self.now_ms, name, action.reply))

    def _gossip(self, name, action):
        datagram = self.codec.encode(name, action.message)
        self.bytes_sent += len(datagram)
        self.sent.append(action)
        envelope = self.codec.decode(datagram)
        target = next((n for n in self.cores if self._address(n) == action.address), None)
        if target is None or self.random.random() < self.loss or self.is_cut(name, target):
            return
        self._schedule(DELAY_MS, target, GossipReceived(name, envelope.message))

    def _address(self, name):
        return self.hosts[name].gossip_address

    def _call_peer(self, name, action):
        target = action.host.name
        if target not in self.cores or self.is_cut(name, target):
            self._schedule(DELAY_MS, name, PeerFailed(action.call_id, sent=False))
            return
        call = PeerRequestReceived((name, action.call_id), name, action.request)
        self._schedule(DELAY_MS, target, call)

    def _call_store(self, name, action):
        self.store.calls += 1
        call = action.call
        store_delay_ms = self.store.delay_ms
        if isinstance(call, protocol.PutObject):
            is_reachable = self.store.up and name not in self.cut_from_store
            result = self.store.put_if(call) if is_reachable else protocol.PlatformFailed("down")
            answer = lambda: result  # noqa: E731
        elif isinstance(call, protocol.GetObject):
            answer = lambda: self._get_object(call)  # noqa: E731
        elif isinstance(call, protocol.ListHosts):
            answer = lambda: protocol.HostList(())  # noqa: E731
        else:
            answer = lambda: self.store.list(call.kinds, call.since)  # noqa: E731
            if isinstance(call, protocol.WatchObjects):
                self._watch(name, action, store_delay_ms)
                return
        self._schedule(store_delay_ms, name, PlatformReplied(action.call_id, answer))

    def _get_object(self, call):
        found = self.store.objects.get((call.kind, call.name))
        return protocol.ObjectList(self.store.revision, (found,) if found else ())

    def _watch(self, name, action, delay_ms):
        call, end_ms = action.call, self.now_ms + action.call.wait_ms

        def poll():
            found = self.store.list(call.kinds, call.since)
            if found.objects or self.now_ms >= end_ms:
                return found
            self._schedule(
                min(10, end_ms - self.now_ms), name, PlatformReplied(action.call_id, poll)
            )
            return None

        self._schedule(delay_ms, name, PlatformReplied(action.call_id, poll))


@pytest.fixture
def make_fleet():
    def make(size, **options):
        return FakeFleet([make_host(n) for n in range(1, size + 1)], **options)

    return make


@pytest.fixture
def new_host():
    return make_host


@pytest.fixture
def sample_objects():
    return (
        Workspace("crews", 100, 50),
        Key.from_secret("k1", "crews", "salt", "first"),
        Key.from_secret("k2", "crews", "salt", "second"),
    )
