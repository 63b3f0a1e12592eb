"""Size and safety of heartbeats between two regions, in virtual time."""

import random
from dataclasses import replace

import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.regions import RegionMap
from figcrank.protocol.compact_heartbeats import COMPACT_MARK, decode_datagram
from figcrank.protocol.heartbeats import (
    HeartbeatError,
    PrimaryFailure,
    decode_heartbeat,
    encode_heartbeat,
)
from figcrank.state._catalog import Catalog, WorkspaceLimit
from figcrank.state._positions import Position

REGIONS = {f"{region}-{n}": region for region in ("north", "south") for n in (1, 2, 3)}
INTERVAL_MS = 300
OWNERS_PER_ZONE = 2
ACTIVE_WORKSPACES = 30  # change between two heartbeats
UDP_HEADER_BYTES = 28  # of IP and UDP; the same for both forms


def workspace_names(kind):
    chooser = random.Random(3)
    letters = "abcdefghijklmnopqrstuvwxyz"
    if kind == "unlike":
        return ["".join(chooser.choices(letters, k=chooser.randrange(6, 12))) for _ in range(74)]
    return [f"{kind}{number:02}" for number in range(74)]


def catalog(version, names):
    return Catalog(version, workspaces={name: WorkspaceLimit(name, 200, 200) for name in names})


class Fleet:
    """Twelve owners in six zones that exchange their heartbeats by datagrams."""

    def __init__(self, names, seed=1):
        self.random = random.Random(seed)
        self.names = names
        self.now_ms = 1_000_000
        self.views = {}
        zones = [zone for zone in REGIONS for _ in range(OWNERS_PER_ZONE)]
        for number, zone in enumerate(zones):
            address = (f"10.0.0.{number}", 7000)
            regions = RegionMap(zone, REGIONS)
            boot_id = self.random.getrandbits(48)
            name = f"{zone}-host-{number:02}"
            self.views[address] = FleetView(name, boot_id, address, 0, 0, zone, regions=regions)
        for address, view in self.views.items():
            view.adopt_catalog(catalog(1, names), self.now_ms)
            view.registry = replace(view.registry, revision=3 << 32)
            view.registry_ms = view.confirmed_ms = self.now_ms
            for other, peer in self.views.items():
                if other != address:
                    zone = peer.itself.availability_zone
                    view.peers.register(peer.host, other, self.now_ms, zone)
        self.plain_bytes = self.sent_bytes = self.crossed = 0

    def serve_interval(self):
        """Admit operations of some workspaces at each owner and observe each group's primary."""
        for view in self.views.values():
            for name in self.random.sample(self.names, ACTIVE_WORKSPACES):
                for _ in range(self.random.randrange(1, 4)):
                    view.limits[name].admit(self.now_ms)
            for group in ("ledger", "orders", "rides", "search"):
                position = Position(2, self.now_ms // 7)
                observed_ms = self.now_ms - self.random.randrange(200)
                view.position_history(group).observe(observed_ms, position)

    def exchange(self, lost=lambda sender, receiver: False):
        self.now_ms += INTERVAL_MS
        sent = []
        for address, view in self.views.items():
            view.start_limit_interval(self.now_ms)
            for peer, heartbeat in view.heartbeats(self.now_ms):
                data = view.links.encode(peer, heartbeat)
                if view.links.crosses(peer):
                    self.crossed += 1
                    self.plain_bytes += len(encode_heartbeat(heartbeat)) + UDP_HEADER_BYTES
                    self.sent_bytes += len(data) + UDP_HEADER_BYTES
                sent.append((address, peer.address, data))
        self.now_ms += 20
        for sender, receiver, data in sent:
            if not lost(sender, receiver):
                self.deliver(sender, receiver, data)

    def deliver(self, sender, receiver, data):
        view = self.views[receiver]
        view.receive(decode_datagram(data, view.links.find_order), sender, self.now_ms)


@pytest.mark.parametrize("kind", ["w", "tenant-", "unlike"])
def test_heartbeats_to_another_region_use_at_most_half_of_the_bytes(kind, record_property):
    """Guards against a link between regions that control traffic fills, whatever the names."""
    fleet = Fleet(workspace_names(kind))
    for _ in range(3):
        fleet.serve_interval()
        fleet.exchange()
    fleet.plain_bytes = fleet.sent_bytes = fleet.crossed = 0
    for _ in range(20):
        fleet.serve_interval()
        fleet.exchange()
    sizes = [round(total / fleet.crossed) for total in (fleet.plain_bytes, fleet.sent_bytes)]
    record_property("bytes", sizes)
    print(f"names like {fleet.names[0]}: {sizes[0]} bytes plain, {sizes[1]} compact")
    assert 2 * fleet.sent_bytes <= fleet.plain_bytes


def test_every_owner_holds_the_counts_of_all_others():
    fleet = Fleet(workspace_names("w"))
    for _ in range(4):
        fleet.serve_interval()
        fleet.exchange()
    for view in fleet.views.values():
        for peer in view.peers.all():
            limits = fleet.views[peer.address].limits
            expected = {name: (limit.admitted, limit.asked) for name, limit in limits.items()}
            assert peer.heartbeat.spent == expected


@pytest.mark.parametrize("seed", range(10))
def test_hosts_converge_after_lost_delayed_and_repeated_datagrams(seed):
    """Guards against a datagram that decodes only after the one before it."""
    fleet = Fleet(workspace_names("w"), seed)
    delayed = []
    deliver = fleet.deliver

    def unreliable(sender, receiver, data):
        if fleet.random.random() < 0.3:
            delayed.append((sender, receiver, data))
        deliver(sender, receiver, data)
        if delayed and fleet.random.random() < 0.3:
            deliver(*delayed.pop(fleet.random.randrange(len(delayed))))

    fleet.deliver = unreliable
    for round_number in range(8):
        fleet.serve_interval()
        if round_number == 4:
            for view in fleet.random.sample(list(fleet.views.values()), 6):
                view.adopt_catalog(catalog(2, [*fleet.names[5:], "new"]), fleet.now_ms)
        fleet.exchange(lambda _sender, _receiver: fleet.random.random() < 0.3)
        if round_number == 4:
            fleet.names = fleet.names[5:]
    for view in fleet.views.values():
        view.adopt_catalog(catalog(3, fleet.names), fleet.now_ms)
    fleet.deliver = deliver
    for _ in range(4):
        fleet.exchange()
    for view in fleet.views.values():
        for peer in view.peers.all():
            other = fleet.views[peer.address].limits
            for name in fleet.names:
                assert peer.heartbeat.spent[name] == (other[name].admitted, other[name].asked)


def pair():
    """Return two owners in different regions that have heard each other, and their addresses."""
    fleet = Fleet(workspace_names("w"))
    for _ in range(2):
        fleet.exchange()
    (one, view), *_, (other, other_view) = fleet.views.items()
    return fleet, view, view.peers.by_address(other), other_view, one


def test_host_of_the_earlier_release_gets_what_it_got_before():
    """Guards against a datagram that a host of the earlier release can't decode."""
    fleet, view, peer, _, _ = pair()
    peer.reads_extension = False
    heartbeat = view.heartbeat_for(peer, fleet.now_ms)
    data = view.links.encode(peer, heartbeat)
    assert data == encode_heartbeat(heartbeat)
    assert decode_heartbeat(data).extension is None


def test_only_peers_of_the_own_zone_get_the_plain_form():
    fleet, view, _, _, _ = pair()
    for peer in view.peers.all():
        data = view.links.encode(peer, view.heartbeat_for(peer, fleet.now_ms))
        is_near = peer.availability_zone == view.itself.availability_zone
        assert data.startswith(COMPACT_MARK) is not is_near


def test_fleet_without_regions_sends_the_compact_form_to_other_zones():
    """Guards against plain heartbeats as most of the bytes between the zones of one region."""
    fleet, view, peer, _, address = pair()
    alone = FleetView("a", 1, address, 0, 0, "north-1")
    data = alone.links.encode(peer, view.heartbeat_for(peer, fleet.now_ms))
    assert data.startswith(COMPACT_MARK)


def test_peer_whose_zone_is_not_known_gets_the_plain_form():
    fleet, view, peer, _, _ = pair()
    unknown = replace(peer, availability_zone="")
    data = view.links.encode(unknown, view.heartbeat_for(peer, fleet.now_ms))
    assert data.startswith(b"[")


def test_names_are_sent_to_a_peer_with_another_configuration():
    """Guards against numbers that the receiver can't resolve."""
    fleet, view, peer, other, address = pair()
    view.adopt_catalog(catalog(2, ["x1", "x2"]), fleet.now_ms)
    view.limits["x2"].admit(fleet.now_ms)
    data = view.links.encode(peer, view.heartbeat_for(peer, fleet.now_ms))
    decoded = decode_datagram(data, other.links.find_order)
    limit = view.limits["x2"]
    assert decoded.spent["x2"] == (limit.admitted, limit.asked)
    assert limit.asked


def test_datagram_of_the_previous_configuration_still_decodes():
    """Guards against lost lease renewals whenever the configuration changes."""
    fleet, view, peer, other, address = pair()
    view.limits["w05"].admit(fleet.now_ms)
    data = view.links.encode(peer, view.heartbeat_for(peer, fleet.now_ms))
    other.adopt_catalog(catalog(2, ["a", "b"]), fleet.now_ms)
    assert decode_datagram(data, other.links.find_order).spent["w05"] == (1, 1)


def test_same_version_of_another_configuration_is_not_mistaken():
    """Guards against counts of the wrong workspace after the store came back from an older copy."""
    fleet, view, peer, _, address = pair()
    data = view.links.encode(peer, view.heartbeat_for(peer, fleet.now_ms))
    other = FleetView("b", 2, peer.address)
    other.adopt_catalog(catalog(1, [f"x{number}" for number in range(74)]), fleet.now_ms)
    with pytest.raises(HeartbeatError):
        decode_datagram(data, other.links.find_order)


def test_unchanged_state_survives_the_compact_form():
    fleet, view, peer, other, address = pair()
    view.primary_failures["g"] = PrimaryFailure("s1", 40, True)
    heartbeat = view.heartbeat_for(peer, fleet.now_ms)
    data = view.links.encode(peer, heartbeat)
    assert decode_datagram(data, other.links.find_order) == heartbeat
