"""Heartbeats to and from the other hosts, and views fetched from those that know more."""

import json

import eventlet
from eventlet.green import socket
from eventlet.green.http import client as http_client

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.peers import Peer
from figcrank.protocol.heartbeats import (
    Heartbeat,
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from figcrank.state._catalog import Registry, ServerEntry
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._ports import Store
from figcrank.transport.streams._router import Router

HEARTBEAT_MS = 300  # five of them fit into a lease; eight hosts then send 190 datagrams a second
MAX_DATAGRAM_BYTES = 65_000
FETCH_MS = 600  # a view is tens of kilobytes from a host nearby
VIEW_PATH = "/view"
Address = tuple[str, int]


class PeerLink:
    """The way to the other hosts.

    :param address: this host's heartbeat address.
    :param view: what this host believes.
    :param router: woken when a primary changes.
    :param store: reads a configuration's text.
    :param clock: this host's clock.
    :param log: where changes of belief are written.
    """

    def __init__(
        self,
        address: Address,
        view: FleetView,
        router: Router,
        store: Store,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._view = view
        self._router = router
        self._store = store
        self._clock = clock
        self._log = log
        self._address = address
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._fetching = False
        self.is_removed = False  # whether others took this host for gone; it has to register again
        self.catalog_content = b""

    def register(self, name: str, address: Address) -> None:
        """Take in a host that a listing names."""
        self._view.peers.register(name, address, self._clock.now_ms())

    def remove(self, address: Address, source: str) -> None:
        """Drop a host that the store lists no more.

        :param address: its heartbeat address.
        :param source: who found out, for the log.
        """
        if address == self._address:
            self.is_removed = True
            return
        now_ms = self._clock.now_ms()
        gone = self._view.remove_host(address, now_ms)
        if gone is not None:
            silent_ms = now_ms - max(gone.heard_ms, gone.known_ms)
            self._log.event("peer_gone", peer=gone.name, silent_ms=silent_ms, source=source)

    def receive_for_ever(self) -> None:
        """Take in heartbeats."""
        while True:
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                self._receive(data, address)
            except OSError as error:
                self._log.event("heartbeat_error", reason=str(error))
                eventlet.sleep(HEARTBEAT_MS / 1_000)
            except HeartbeatError as error:
                self._log.event("heartbeat_unreadable", sender=address, reason=str(error))

    def _receive(self, data: bytes, address: Address) -> None:
        beat = decode_heartbeat(data)
        known = self._view.peers.at(address)
        is_new = known is None or known.beat is None or known.beat.boot_id != beat.boot_id
        for group in self._view.receive(beat, address, self._clock.now_ms()):
            self._note_primary(group, beat.host)
        for removed in beat.removed:
            self.remove(removed, beat.host)
        if is_new:
            self._log.event("peer_heard", peer=beat.host, boot=beat.boot_id)
            peer = self._view.peers.at(address)
            if peer is not None:
                self._send(peer, self._view.beat_for(peer, self._clock.now_ms()))
            self._fetch_from(address)  # it may know hosts that no listing has told
        self._fetch_if_newer(beat.catalog_version, beat.registry_revision, address)

    def log_primary(self, group: str, source: str) -> None:
        """Write a changed belief about a primary to the log.

        :param source: who it came from.
        """
        record = self._view.book.get(group)
        self._log.event(
            "primary_changed",
            group=group,
            server=record.server_id,
            term=record.term,
            version=record.version,
            moving=record.moving,
            source=source,
        )

    def _note_primary(self, group: str, source: str) -> None:
        self.log_primary(group, source)
        self._router.tick()
        self._router.announce_change()
        if self._view.book.get(group).moving:
            eventlet.spawn_n(self.tell_all)

    def tell_all(self) -> None:
        """Send a heartbeat to every host now."""
        for peer, beat in self._view.beats(self._clock.now_ms()):
            self._send(peer, beat)

    def _send(self, peer: Peer, beat: Heartbeat) -> None:
        try:
            self._socket.sendto(encode_heartbeat(beat), peer.address)
        except OSError as error:
            self._log.event("heartbeat_error", peer=peer.name, reason=str(error))

    def beat_for_ever(self) -> None:
        """Send heartbeats."""
        while True:
            now_ms = self._clock.now_ms()
            self._view.share_out_limits(now_ms)
            self.tell_all()
            eventlet.sleep(HEARTBEAT_MS / 1_000)

    # Views.

    def _fetch_if_newer(self, catalog_version: int, revision: int, address: Address) -> None:
        own_version = self._view.catalog.version if self._view.catalog else 0
        newer = catalog_version > own_version or revision > self._view.registry.revision
        if newer:
            self._fetch_from(address)

    def _fetch_from(self, address: Address) -> None:
        if not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch, address)

    def _fetch(self, address: Address) -> None:
        version = self._view.catalog.version if self._view.catalog else 0
        started_ms = self._clock.now_ms()
        try:
            with eventlet.Timeout(FETCH_MS / 1_000, OSError("no answer in time")):
                connection = http_client.HTTPConnection(*address, timeout=FETCH_MS / 1_000)
                connection.request("GET", f"{VIEW_PATH}?catalog={version}")
                body = connection.getresponse().read()
                connection.close()
            self._adopt(json.loads(body), started_ms)
        except (OSError, ValueError, KeyError, http_client.HTTPException) as error:
            self._log.event("view_not_fetched", peer=address, reason=str(error))
        finally:
            self._fetching = False

    def _adopt(self, view: dict, as_of_ms: int) -> None:
        for name, address in view["hosts"]:
            if not self._view.was_removed(tuple(address)):
                self.register(name, tuple(address))
        if view["catalog"]:
            self.adopt_catalog(view["catalog"].encode(), "peer")
        servers = {item["server_id"]: ServerEntry(**item) for item in view["servers"]}
        registry = Registry(view["revision"], servers)
        if view["registry_age_ms"] >= 0:
            self.adopt_registry(registry, as_of_ms - view["registry_age_ms"], "peer")

    def adopt_catalog(self, content: bytes, source: str) -> None:
        """Put a configuration in force if it is newer.

        :param content: its text.
        :param source: where it came from, for the log.
        """
        try:
            catalog = self._store.decode_catalog(content)
        except ValueError as error:
            self._log.event("configuration_unreadable", source=source, reason=str(error))
            return
        if self._view.adopt_catalog(catalog, self._clock.now_ms()):
            self.catalog_content = content
            self._log.event(
                "configuration_adopted",
                version=catalog.version,
                routes=len(catalog.routes),
                keys=len(catalog.workspace_by_key),
                source=source,
            )
            eventlet.spawn_n(self.tell_all)

    def adopt_registry(self, registry: Registry, as_of_ms: int, source: str) -> None:
        """Take in a list of servers if it is newer."""
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
        self._router.announce_change()
        eventlet.spawn_n(self.tell_all)

    def page(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return what this host knows, for a peer that knows less."""
        view = self._view
        known = int(query.get("catalog", "0"))
        newer = view.catalog is not None and view.catalog.version > known
        now_ms = self._clock.now_ms()
        body = {
            "catalog": self.catalog_content.decode() if newer else "",
            "revision": view.registry.revision,
            "registry_age_ms": now_ms - view.registry_ms if view.registry_ms >= 0 else -1,
            "servers": [_as_fields(entry) for entry in view.registry.servers.values()],
            "hosts": [[peer.name, peer.address] for peer in view.peers.all()],
        }
        return 200, json.dumps(body, separators=(",", ":")).encode()


def _as_fields(entry: ServerEntry) -> dict:
    return {name: getattr(entry, name) for name in ServerEntry.__slots__}
