"""Heartbeats that leave out what the receiver has, over links that lose and reorder them."""

import random
from dataclasses import replace

import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import PrimaryRecord, Trouble, decode_heartbeat, encode_heartbeat
from figcrank.state._catalog import Catalog, WorkspaceLimit

ADDRESSES = {"a": ("10.0.0.1", 7000), "b": ("10.0.0.2", 7000)}
BEAT_MS = 300
WORKSPACES = [f"w{number}" for number in range(84)]  # the users' largest deployment has so many
MOST_BYTES = 400  # 83 hosts at 3.3 a second each take then 108 KB/s, a sixth of the slowest link


def make_host(name, boot_id):
    view = FleetView(name, boot_id, ADDRESSES[name])
    limits = {workspace: WorkspaceLimit(workspace, 100, 100) for workspace in WORKSPACES}
    view.adopt_catalog(Catalog(1, workspaces=limits), 0)
    other = "b" if name == "a" else "a"
    view.peers.register(other, ADDRESSES[other], 0)
    return view


class Pair:
    """Two hosts whose datagrams may be lost, late or out of order."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.views = {name: make_host(name, 1) for name in ADDRESSES}
        self.now_ms = 0
        self.late = []

    def beat(self, name, lose=0.0):
        view = self.views[name]
        (peer,) = view.peers.all()
        data = encode_heartbeat(view.beat_for(peer, self.now_ms))
        if self.random.random() < lose:
            return
        if self.random.random() < lose:
            self.late.append((name, data))
            return
        self._deliver(name, data)

    def _deliver(self, sender, data):
        receiver = self.views["b" if sender == "a" else "a"]
        receiver.receive(decode_heartbeat(data), ADDRESSES[sender], self.now_ms)

    def turn(self, lose=0.0):
        self.now_ms += BEAT_MS
        for name in ADDRESSES:
            self.beat(name, lose)
        while self.late and self.random.random() < 0.5:
            self._deliver(*self.late.pop(0))

    def change(self):
        view = self.views[self.random.choice("ab")]
        kind = self.random.randrange(5)
        if kind == 0:
            view.trouble["g"] = Trouble("s1", self.random.randrange(900), False)
        elif kind == 1:
            view.trouble.clear()
        elif kind == 2:
            view.quiet = set() if view.quiet else {"g"}
        elif kind == 3:
            version = self.random.randrange(1_000)
            view.merge_primary("g", PrimaryRecord(version, 1, "s1", moving=True), self.now_ms)
        else:
            view.limits[self.random.choice(WORKSPACES)].admit(self.now_ms)

    def restart(self, name):
        self.views[name] = make_host(name, self.views[name].boot_id + 1)

    def assert_agreed(self):
        """Each host holds of the other what a heartbeat that leaves out nothing would say."""
        for name, other in ("ab", "ba"):
            sender, receiver = self.views[name], self.views[other]
            (peer,) = sender.peers.all()
            no_base = replace(peer, beat=None)
            whole = sender.beat_for(no_base, self.now_ms)
            (held,) = receiver.peers.all()
            for field in ("boot_id", "primaries", "quiet", "trouble", "spent"):
                assert getattr(held.beat, field) == getattr(whole, field)


@pytest.mark.parametrize("seed", range(20))
def test_hosts_agree_once_datagrams_arrive_again(seed):
    pair = Pair(seed)
    for _ in range(60):
        for _ in range(pair.random.randrange(4)):
            pair.change()
        if pair.random.random() < 0.05:
            pair.restart(pair.random.choice("ab"))
        pair.turn(lose=0.3)
    pair.late.clear()
    for _ in range(3):
        pair.turn()
    pair.assert_agreed()


def test_a_host_that_started_anew_is_told_everything():
    pair = Pair(1)
    pair.views["a"].limits["w1"].admit(0)
    pair.turn()
    pair.turn()
    pair.restart("b")
    for _ in range(3):
        pair.turn()
    pair.assert_agreed()


def test_a_heartbeat_of_a_large_fleet_names_only_the_workspaces_that_were_used():
    pair = Pair(1)
    for _ in range(4):
        pair.turn()
    view = pair.views["a"]
    for workspace in WORKSPACES[:4]:
        view.limits[workspace].admit(pair.now_ms)
    (peer,) = view.peers.all()
    beat = view.beat_for(peer, pair.now_ms)
    assert set(beat.spent) == set(WORKSPACES[:4])
    assert len(encode_heartbeat(beat)) <= MOST_BYTES
