"""Heartbeats without the fields that the receiver has, over links that lose and reorder them."""

import random
from dataclasses import replace

import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import (
    PrimaryFailure,
    PrimaryRecord,
    decode_heartbeat,
    encode_heartbeat,
)
from figcrank.state._catalog import Catalog, WorkspaceLimit

ADDRESSES = {"a": ("10.0.0.1", 7000), "b": ("10.0.0.2", 7000)}
HEARTBEAT_INTERVAL_MS = 300
WORKSPACES = [f"w{number}" for number in range(84)]  # as many as the largest deployment has
# 83 hosts that send 3.3 heartbeats a second use 108 KB/s, a sixth of the slowest link.
MAX_HEARTBEAT_BYTES = 400


def make_host(name, boot_id):
    view = FleetView(name, boot_id, ADDRESSES[name])
    limits = {workspace: WorkspaceLimit(workspace, 100, 100) for workspace in WORKSPACES}
    view.adopt_catalog(Catalog(1, workspaces=limits), 0)
    other = "b" if name == "a" else "a"
    view.peers.register(other, ADDRESSES[other], 0)
    return view


class HostPair:
    """Two hosts whose datagrams may be lost, delayed or reordered."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.views = {name: make_host(name, 1) for name in ADDRESSES}
        self.now_ms = 0
        self.delayed = []

    def send_heartbeat(self, name, loss=0.0):
        view = self.views[name]
        (peer,) = view.peers.all()
        data = encode_heartbeat(view.heartbeat_for(peer, self.now_ms))
        if self.random.random() < loss:
            return
        if self.random.random() < loss:
            self.delayed.append((name, data))
            return
        self._deliver(name, data)

    def _deliver(self, sender, data):
        receiver = self.views["b" if sender == "a" else "a"]
        receiver.receive(decode_heartbeat(data), ADDRESSES[sender], self.now_ms)

    def step(self, loss=0.0):
        self.now_ms += HEARTBEAT_INTERVAL_MS
        for name in ADDRESSES:
            self.send_heartbeat(name, loss)
        while self.delayed and self.random.random() < 0.5:
            self._deliver(*self.delayed.pop(0))

    def apply_random_change(self):
        view = self.views[self.random.choice("ab")]
        kind = self.random.randrange(5)
        if kind == 0:
            view.primary_failures["g"] = PrimaryFailure("s1", self.random.randrange(900), False)
        elif kind == 1:
            view.primary_failures.clear()
        elif kind == 2:
            view.quiesced_groups = set() if view.quiesced_groups else {"g"}
        elif kind == 3:
            version = self.random.randrange(1_000)
            view.merge_primary("g", PrimaryRecord(version, 1, "s1", moving=True), self.now_ms)
        else:
            view.limits[self.random.choice(WORKSPACES)].admit(self.now_ms)

    def restart(self, name):
        self.views[name] = make_host(name, self.views[name].boot_id + 1)

    def assert_converged(self):
        """Check that each host holds the other's complete state."""
        for name, other in ("ab", "ba"):
            sender, receiver = self.views[name], self.views[other]
            (peer,) = sender.peers.all()
            peer_without_state = replace(peer, heartbeat=None)
            complete = sender.heartbeat_for(peer_without_state, self.now_ms)
            (held,) = receiver.peers.all()
            for field in ("boot_id", "primaries", "quiesced_groups", "primary_failures", "spent"):
                assert getattr(held.heartbeat, field) == getattr(complete, field)


@pytest.mark.parametrize("seed", range(20))
def test_hosts_converge_once_datagrams_arrive_again(seed):
    hosts = HostPair(seed)
    for _ in range(60):
        for _ in range(hosts.random.randrange(4)):
            hosts.apply_random_change()
        if hosts.random.random() < 0.05:
            hosts.restart(hosts.random.choice("ab"))
        hosts.step(loss=0.3)
    hosts.delayed.clear()
    for _ in range(3):
        hosts.step()
    hosts.assert_converged()


def test_restarted_host_receives_the_complete_state():
    hosts = HostPair(1)
    hosts.views["a"].limits["w1"].admit(0)
    hosts.step()
    hosts.step()
    hosts.restart("b")
    for _ in range(3):
        hosts.step()
    hosts.assert_converged()


def test_heartbeat_contains_only_the_workspaces_in_use():
    hosts = HostPair(1)
    for _ in range(4):
        hosts.step()
    view = hosts.views["a"]
    for workspace in WORKSPACES[:4]:
        view.limits[workspace].admit(hosts.now_ms)
    (peer,) = view.peers.all()
    heartbeat = view.heartbeat_for(peer, hosts.now_ms)
    assert set(heartbeat.spent) == set(WORKSPACES[:4])
    assert len(encode_heartbeat(heartbeat)) <= MAX_HEARTBEAT_BYTES


def test_extension_is_sent_only_to_a_peer_that_reads_it():
    """Guards against hosts of an earlier release that reject a heartbeat with a seventh element."""
    view = make_host("a", 1)
    (peer,) = view.peers.all()
    assert view.heartbeat_for(peer, 10).extension is None
    earlier = replace(make_host("b", 1).heartbeat_for(peer, 10), host="b", reads_extension=False)
    view.receive(earlier, ADDRESSES["b"], 20)
    assert view.heartbeat_for(peer, 30).extension is None
    view.receive(replace(earlier, sent_ms=40, reads_extension=True), ADDRESSES["b"], 50)
    assert view.heartbeat_for(peer, 60).extension is not None


def test_restarted_peer_must_show_again_that_it_reads_the_extension():
    """It may have been started again as an earlier release."""
    view = make_host("a", 1)
    (peer,) = view.peers.all()
    heartbeat = replace(make_host("b", 1).heartbeat_for(peer, 10), host="b")
    view.receive(heartbeat, ADDRESSES["b"], 20)
    view.receive(
        replace(heartbeat, boot_id=2, sent_ms=30, reads_extension=False), ADDRESSES["b"], 40
    )
    assert view.heartbeat_for(peer, 50).extension is None
