"""Exchanges heartbeats with peers and fetches newer configuration and server lists from them."""

import base64
import json
import zlib

import eventlet
from eventlet.green import socket

from figcrank.coordination.evacuation import EvacuationChange
from figcrank.coordination.fleet import FleetView
from figcrank.coordination.peers import Peer
from figcrank.protocol.compact_heartbeats import decode_datagram
from figcrank.protocol.heartbeats import NEVER_MS, Evacuations, Heartbeat, HeartbeatError
from figcrank.protocol.owners import Owner
from figcrank.state._catalog import Registry, ServerEntry
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import Store
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._traffic import (
    MessageKind,
    TrafficChannel,
    TrafficMeter,
    uncounted,
)
from figcrank.transport.streams._view_fetcher import ViewFetcher

HEARTBEAT_INTERVAL_MS = 300  # five per lease; eight hosts send 190 datagrams/s in all
MAX_DATAGRAM_BYTES = 65_000
FAST_COMPRESSION = 1  # a configuration shrinks by most of its size at the fastest level
# Fields of a server in the view page.
SERVER_FIELDS = tuple(name for name in ServerEntry.__slots__ if name != "cold_remaining_ms")
Address = tuple[str, int]


class PeerLink:
    """Exchanges state with the other hosts and applies it to this host's view.

    :param address: this host's heartbeat address.
    :param view: this host's view of the fleet.
    :param router: notified when a primary changes.
    :param store: decodes configurations.
    :param clock: this host's clock.
    :param log: event log.
    :param traffic: counts the bytes of heartbeats and views.
    """

    def __init__(
        self,
        address: Address,
        view: FleetView,
        router: Router,
        store: Store,
        clock: Clock,
        log: EventLog,
        traffic: TrafficMeter | None = None,
    ) -> None:
        self._traffic = traffic or uncounted()
        self._view = view
        self._router = router
        self._store = store
        self._clock = clock
        self._log = log
        self._address = address
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._fetcher = ViewFetcher(view, self._apply_peer_view, self.view_channel, clock, log)
        self.is_removed = False  # whether peers removed this host; it must register again
        self.catalog_content = b""
        self._packed = b"", ""  # the configuration that was last compressed, and the result

    def register(self, owner: Owner) -> None:
        """Add an owner from a listing to the view."""
        self._view.peers.register(
            owner.name, owner.address, self._clock.now_ms(), owner.availability_zone
        )

    def remove(self, address: Address, source: str) -> None:
        """Remove a host that is no longer listed in the store.

        :param address: heartbeat address of the host.
        :param source: origin of the removal, for the log.
        """
        if address == self._address:
            self.is_removed = True
            return
        now_ms = self._clock.now_ms()
        removed = self._view.remove_host(address, now_ms)
        if removed is not None:
            silent_ms = now_ms - max(removed.received_ms, removed.known_ms)
            self._log.event("peer_gone", peer=removed.name, silent_ms=silent_ms, source=source)

    def run_receiver(self) -> None:
        """Receive heartbeats until the process ends."""
        while True:
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                self._channel_to(MessageKind.HEARTBEAT, address[0]).received(len(data))
                self._receive(data, address)
            except OSError as error:
                self._log.event("heartbeat_error", reason=str(error))
                eventlet.sleep(HEARTBEAT_INTERVAL_MS / 1_000)
            except HeartbeatError as error:
                self._log.event("heartbeat_unreadable", sender=address, reason=str(error))

    def _channel_to(self, kind: MessageKind, ip: str) -> TrafficChannel:
        zones = (p.availability_zone for p in self._view.peers.all() if p.address[0] == ip)
        return self._traffic.channel(kind, next(zones, ""))

    def view_channel(self, ip: str) -> TrafficChannel:
        """Return the counter for the views that this host and another one fetch from each other."""
        return self._channel_to(MessageKind.VIEW, ip)

    def _receive(self, data: bytes, address: Address) -> None:
        if not self._view.is_owner:
            return
        heartbeat = decode_datagram(data, self._view.links.find_order)
        known = self._view.peers.by_address(address)
        is_new = (
            known is None or known.heartbeat is None or known.heartbeat.boot_id != heartbeat.boot_id
        )
        for group in self._view.receive(heartbeat, address, self._clock.now_ms()):
            self._handle_primary_change(group, heartbeat.host)
        self._adopt_from_heartbeat(heartbeat, address)
        for removed in heartbeat.removed:
            self.remove(removed, heartbeat.host)
        if is_new:
            self._log.event("peer_heard", peer=heartbeat.host, boot=heartbeat.boot_id)
            peer = self._view.peers.by_address(address)
            if peer is not None:
                self._send(peer, self._view.heartbeat_for(peer, self._clock.now_ms()))
        self._fetcher.record_heartbeat(heartbeat, address, is_new)

    def _adopt_from_heartbeat(self, heartbeat: Heartbeat, address: Address) -> None:
        peer = self._view.peers.by_address(address)
        if heartbeat.extension is None or peer is None or peer.heartbeat is None:
            return
        if peer.heartbeat.sent_ms != heartbeat.sent_ms:
            return  # it was overtaken; the peer's time of sending is that of a later one
        change = self._view.evacuation.adopt_from_peer(
            heartbeat.extension.evacuations,
            heartbeat.extension.evacuations_age_ms,
            peer.sent_after_ms,
            self._clock.now_ms(),
        )
        self._apply_evacuations(change, heartbeat.host)

    def adopt_evacuations(self, evacuations: Evacuations, as_of_ms: int, source: str) -> None:
        """Adopt a list of evacuated zones if it is newer.

        :param as_of_ms: time as of which the store had it; ``NEVER_MS`` if it is not known.
        :param source: origin of the list, for the log.
        """
        change = self._view.evacuation.adopt(evacuations, as_of_ms, self._clock.now_ms())
        self._apply_evacuations(change, source)

    def _apply_evacuations(self, change: EvacuationChange, source: str) -> None:
        if not change:
            return
        now_ms = self._clock.now_ms()
        evacuation = self._view.evacuation
        for zone in change.adopted:
            self._log.event(
                "evacuation_adopted",
                zone=zone,
                revision=evacuation.listed.revision,
                source=source,
                stop_in_ms=evacuation.stop_in_ms(zone, now_ms),
            )
        for zone in change.withdrawn:
            revision = evacuation.listed.revision
            self._log.event("evacuation_withdrawn", zone=zone, revision=revision, source=source)
        self._router.tick()
        self._router.notify_primary_change()
        eventlet.spawn_n(self.broadcast_heartbeat)

    def log_primary(self, group: str, source: str) -> None:
        """Log a changed primary record.

        :param source: origin of the change.
        """
        record = self._view.primary_table.get(group)
        self._log.event(
            "primary_changed",
            group=group,
            server=record.server_id,
            term=record.term,
            version=record.version,
            moving=record.moving,
            source=source,
        )

    def _handle_primary_change(self, group: str, source: str) -> None:
        self.log_primary(group, source)
        self._router.tick()
        self._router.notify_primary_change()
        if self._view.primary_table.get(group).moving:
            eventlet.spawn_n(self.broadcast_heartbeat)

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to every peer now."""
        for peer, heartbeat in self._view.heartbeats(self._clock.now_ms()):
            self._send(peer, heartbeat)

    def _send(self, peer: Peer, heartbeat: Heartbeat) -> None:
        data = self._view.links.encode(peer, heartbeat)
        try:
            self._socket.sendto(data, peer.address)
            self._traffic.channel(MessageKind.HEARTBEAT, peer.availability_zone).sent(len(data))
        except OSError as error:
            self._log.event("heartbeat_error", peer=peer.name, reason=str(error))

    def run_heartbeats(self) -> None:
        """Send heartbeats periodically."""
        while True:
            now_ms = self._clock.now_ms()
            self._view.start_limit_interval(now_ms)
            self.broadcast_heartbeat()
            eventlet.sleep(HEARTBEAT_INTERVAL_MS / 1_000)

    def _apply_peer_view(self, view: dict, as_of_ms: int) -> None:
        for name, address, *zone in view["hosts"]:  # earlier releases send no zone
            if not self._view.was_removed(tuple(address)):
                self.register(Owner(name, tuple(address), *(zone or [""])))
        if view.get("packed_catalog"):  # earlier releases send it as text only
            packed = base64.b64decode(view["packed_catalog"])
            self.adopt_catalog(zlib.decompress(packed), "peer")
        elif view["catalog"]:
            self.adopt_catalog(view["catalog"].encode(), "peer")
        cold_ms = view.get("cold_remaining_ms", {})  # earlier releases don't send it
        servers = {
            item["server_id"]: ServerEntry(
                **item, cold_remaining_ms=cold_ms.get(item["server_id"], 0)
            )
            for item in view["servers"]
        }
        self._adopt_from_view(view)
        registry = Registry(view["revision"], servers)
        if view["registry_age_ms"] >= 0:
            self.adopt_registry(registry, as_of_ms - view["registry_age_ms"], "peer")

    def _adopt_from_view(self, view: dict) -> None:
        revision, zones = view.get("evacuations", (0, ()))  # earlier releases don't send it
        # The page does not tell how old the list is.
        self.adopt_evacuations(Evacuations(int(revision), frozenset(zones)), NEVER_MS, "peer")

    def adopt_catalog(self, content: bytes, source: str) -> int:
        """Adopt a configuration if it is newer.

        :param content: the encoded configuration.
        :param source: origin of the configuration, for the log.
        :returns: its version; 0 if it can't be decoded.
        """
        try:
            catalog = self._store.decode_catalog(content)
        except ValueError as error:
            self._log.event("configuration_unreadable", source=source, reason=str(error))
            return 0
        now_ms = self._clock.now_ms()
        age_ms = self._view.configuration_age.age_ms(now_ms)
        if self._view.adopt_catalog(catalog, now_ms):
            self.catalog_content = content
            self._log.event(
                "configuration_adopted",
                version=catalog.version,
                routes=len(catalog.routes),
                keys=len(catalog.workspace_by_key),
                source=source,
                named_before_ms=self._fetcher.named_before_ms(catalog.version, now_ms),
                previous_age_ms=age_ms,
            )
            eventlet.spawn_n(self.broadcast_heartbeat)
        return catalog.version

    def adopt_registry(self, registry: Registry, as_of_ms: int, source: str) -> None:
        """Adopt a list of servers if it is newer.

        :param as_of_ms: time at which it was read from the store.
        :param source: origin of the list, for the log.
        """
        before = self._view.registry.servers
        now_ms = self._clock.now_ms()
        if not self._view.adopt_registry(registry, as_of_ms, now_ms, source == "peer"):
            return
        for server_id in before.keys() | registry.servers.keys():
            entry = registry.servers.get(server_id)
            if entry != before.get(server_id):
                self._log.event(
                    "server_changed",
                    server=server_id,
                    revision=registry.revision,
                    source=source,
                    draining=entry.draining if entry else None,
                    claims_primary=entry.claims_primary if entry else None,
                    present=entry is not None,
                )
        self._router.tick()
        self._router.notify_primary_change()
        eventlet.spawn_n(self.broadcast_heartbeat)

    def view_page(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return this host's view as an HTTP status and a JSON body.

        The configuration is left out if the peer's version, in ``query``, is as new, and compressed
        if the peer asks for that.
        """
        view = self._view
        known = int(query.get("catalog", "0"))
        newer = view.catalog is not None and view.catalog.version > known
        packed = newer and query.get("packed") == "1"
        now_ms = self._clock.now_ms()
        body = {
            "catalog": self.catalog_content.decode() if newer and not packed else "",
            **({"packed_catalog": self._packed_catalog()} if packed else {}),
            "revision": view.registry.revision,
            "registry_age_ms": now_ms - view.registry_ms if view.registry_ms >= 0 else -1,
            "servers": [_as_fields(entry) for entry in view.registry.servers.values()],
            "cold_remaining_ms": {
                entry.server_id: entry.cold_remaining_ms
                for entry in view.registry.servers.values()
                if entry.cold_remaining_ms
            },
            "evacuations": [view.evacuations.revision, sorted(view.evacuations.zones)],
            "hosts": [[o.name, o.address, o.availability_zone] for o in view.owners()],
        }
        return 200, json.dumps(body, separators=(",", ":")).encode()

    def _packed_catalog(self) -> str:
        """Return the compressed configuration as text; all peers fetch a new one at once."""
        if self._packed[0] is not self.catalog_content:
            packed = zlib.compress(self.catalog_content, FAST_COMPRESSION)
            self._packed = self.catalog_content, base64.b64encode(packed).decode()
        return self._packed[1]


def _as_fields(entry: ServerEntry) -> dict:
    """Return the fields of an entry that hosts of earlier releases know; they accept no others."""
    return {name: getattr(entry, name) for name in SERVER_FIELDS}
