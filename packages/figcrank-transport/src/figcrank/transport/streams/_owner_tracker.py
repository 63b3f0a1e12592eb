"""Keeps a relay's list of owners current and detects owners that no longer answer."""

import eventlet
from eventlet.event import Event
from eventlet.green import socket

from figcrank.coordination.owners import OwnerDirectory, OwnerMemory
from figcrank.protocol.owners import (
    RELAY_NOTICE,
    STATUS_QUERY,
    Owner,
    OwnerStatus,
    decode_status,
)
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._traffic import (
    MessageKind,
    TrafficChannel,
    TrafficMeter,
    uncounted,
)

Address = tuple[str, int]
QUERY_INTERVAL_MS = 1_500  # a leaving owner also refuses sessions itself
CHECK_INTERVAL_MS = 250  # between two calls of OwnerTracker.check
# A request unanswered for this long makes the relay ask its owner for a status.
SLOW_REPLY_MS = 500
# Three queries; a single datagram may be lost, and a busy owner answers within a few turns.
SILENT_OWNER_MS = 900
MAX_DATAGRAM_BYTES = 65_000


class OwnerTracker:
    """Knows the owners of the fleet on behalf of a relay.

    :param directory: chooses owners for sessions.
    :param relay_port: port on which every host accepts relayed sessions and status queries.
    :param ip: address of this host.
    :param clock: this host's clock.
    :param log: event log.
    :param traffic: counts the bytes of queries and answers.
    """

    def __init__(
        self,
        directory: OwnerDirectory,
        relay_port: int,
        ip: str,
        clock: Clock,
        log: EventLog,
        traffic: TrafficMeter | None = None,
    ) -> None:
        self._traffic = traffic or uncounted()
        self._directory = directory
        self._relay_port = relay_port
        self._clock = clock
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, 0))
        self._connections: dict[Address, set[ServerConnection]] = {}
        self._answered_ms: dict[Address, int] = {}
        self._suspected_ms: dict[Address, int] = {}
        self._queried_ms = 0
        self._heard_ms = 0
        self._changed = Event()
        self.seen_version = 0
        self.memory = OwnerMemory()

    def wait(self, wait_ms: float) -> None:
        """Wait at most ``wait_ms`` for an answer of any owner."""
        changed = self._changed
        with eventlet.Timeout(wait_ms / 1_000, False):
            changed.wait()

    def choose(self, session_key: str, tried: set[Address]) -> Owner | None:
        """Return the owner for a session, ``None`` if every known one was tried."""
        return self._directory.choose(session_key, self._clock.now_ms(), tried)

    def is_usable(self) -> bool:
        """Return whether any owner is believed to accept sessions."""
        return self._directory.is_usable(self._clock.now_ms())

    def owners(self) -> list[Owner]:
        """Return every known owner."""
        return self._directory.owners()

    @property
    def has_sessions(self) -> bool:
        """Return whether any session runs at an owner."""
        return bool(self._connections)

    def update(self, owners: list[Owner]) -> None:
        """Replace the list of owners."""
        self._directory.update(owners)

    def session_address(self, owner: Owner) -> Address:
        """Return the address at which an owner accepts relayed sessions."""
        return owner.address[0], self._relay_port

    def attach(self, owner: Owner, connection: ServerConnection) -> None:
        """Watch the connection of a session."""
        self._connections.setdefault(owner.address, set()).add(connection)

    def detach(self, owner: Owner, connection: ServerConnection) -> None:
        """Stop watching the connection of a session that has ended."""
        connections = self._connections.get(owner.address, set())
        connections.discard(connection)
        if not connections:
            self._connections.pop(owner.address, None)

    def record_reply(self, owner: Owner, catalog_version: int) -> None:
        """Record an owner's reply to a session."""
        self.record_version(catalog_version)
        self._answered_ms[owner.address] = self._clock.now_ms()

    def record_version(self, catalog_version: int) -> None:
        """Record the configuration version that this host or an owner has in use."""
        self.seen_version = max(self.seen_version, catalog_version)

    def record_failure(self, owner: Owner, reason: str) -> None:
        """Record that an owner did not open a session."""
        self._log.event("owner_refused_session", owner=owner.name, reason=reason)
        self._directory.record_failure(owner.address, self._clock.now_ms())
        self.memory.forget_address(owner.address)

    def is_avoided(self, owner: Owner) -> bool:
        """Return whether new sessions go to other owners than this one."""
        return self._directory.is_avoided(owner.address, self._clock.now_ms())

    def is_nearest(self, owner: Owner) -> bool:
        """Return whether no known owner is nearer to this host than this one."""
        return self._directory.is_nearest(owner)

    def reads_options(self, owner: Owner) -> bool:
        """Return whether an owner has shown that it reads the options of a session's start."""
        return self._directory.reads_options(owner.address)

    def announce_relay(self) -> None:
        """Tell every known owner that this host is a relay, and ask what it reads.

        Group owners exist only in fleets with relays, and should before the first session.
        """
        for owner in self._directory.owners():
            self._send(RELAY_NOTICE, owner.address[0])
            self.query(owner.address[0])

    def query_all(self) -> None:
        """Ask every known owner for its status."""
        for owner in self._directory.owners():
            self.query(owner.address[0])

    def has_answered(self, address: Address, since_ms: int) -> bool:
        """Return whether an owner has answered a query or a request since a time."""
        return self._answered_ms.get(address, since_ms) > since_ms

    def has_any_answered(self, since_ms: int) -> bool:
        """Return whether any owner has answered a query or a request since a time."""
        return any(answered_ms > since_ms for answered_ms in self._answered_ms.values())

    def has_heard(self, since_ms: int) -> bool:
        """Return whether any host, owner or relay, has answered a query since a time."""
        return self._heard_ms > since_ms

    def query(self, ip: str) -> None:
        """Ask a host for its status; the answer is processed when it arrives."""
        self._send(STATUS_QUERY, ip)

    def _send(self, datagram: bytes, ip: str) -> None:
        try:
            self._socket.sendto(datagram, (ip, self._relay_port))
            self.channel_to(ip).sent(len(datagram))
        except OSError as error:
            self._log.event("owner_query_failed", peer=ip, reason=str(error))

    def channel_to(self, ip: str) -> TrafficChannel:
        """Return the counter for status queries and answers exchanged with a host."""
        zones = (o.availability_zone for o in self._directory.owners() if o.address[0] == ip)
        return self._traffic.channel(MessageKind.RELAY, next(zones, ""))

    def run_receiver(self) -> None:
        """Receive the answers to status queries until the process ends."""
        while True:
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                self.channel_to(address[0]).received(len(data))
                self._receive(decode_status(data), address[0])
            except OSError as error:
                self._log.event("owner_query_failed", reason=str(error))
                eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
            except ValueError as error:
                self._log.event("owner_status_unreadable", reason=str(error))

    def _receive(self, status: OwnerStatus, ip: str) -> None:
        now_ms = self._clock.now_ms()
        self._heard_ms = now_ms
        self.record_version(status.catalog_version)
        is_owner = any(owner.address[0] == ip for owner in status.owners)
        if is_owner or not self._directory.owners():  # a relay's list may be outdated
            self._directory.update(status.owners)
        listed = {owner.address for owner in self._directory.owners()}
        for address in listed | self._connections.keys():
            if address[0] == ip:
                self._answered_ms[address] = now_ms
                self._suspected_ms.pop(address, None)
                self._directory.record_answer(
                    address, status.accepts_sessions, now_ms, status.reads_options
                )
        changed, self._changed = self._changed, Event()
        changed.send(None)

    def check(self, now_ms: int) -> None:
        """Keep the list of owners current and end the sessions of silent ones."""
        is_due = now_ms - self._queried_ms >= QUERY_INTERVAL_MS
        if is_due or not self.is_usable() or self._directory.has_unknown_options():
            self._queried_ms = now_ms
            for owner in self._directory.owners_to_query(now_ms):
                self.query(owner.address[0])
                self._send(RELAY_NOTICE, owner.address[0])
        self.check_sessions(now_ms)

    def check_sessions(self, now_ms: int) -> None:
        """Query owners that leave requests unanswered; end the sessions of silent ones."""
        for address in list(self._connections):
            self._check_sessions(address, now_ms)

    def _check_sessions(self, address: Address, now_ms: int) -> None:
        if not self._is_slow(address, now_ms):
            self._suspected_ms.pop(address, None)
            return
        suspected_ms = self._suspected_ms.setdefault(address, now_ms)
        if now_ms - suspected_ms < SILENT_OWNER_MS:
            self.query(address[0])
            return
        connections = self._connections.pop(address)
        self._suspected_ms.pop(address)
        self._log.event("owner_silent", owner=address, sessions=len(connections))
        self._directory.record_failure(address, now_ms)
        self.memory.forget_address(address)
        for connection in connections:
            _close(connection)

    def _is_slow(self, address: Address, now_ms: int) -> bool:
        """Return whether a request waits for an owner that has not answered anything meanwhile."""
        waiting = [c.sent_ms for c in self._connections[address] if c.outstanding]
        if not waiting or now_ms - min(waiting) < SLOW_REPLY_MS:
            return False
        return now_ms - self._answered_ms.get(address, 0) >= SLOW_REPLY_MS


def _close(connection: ServerConnection) -> None:
    """Close a connection, and end its session if no request is in progress."""
    was_idle = not connection.outstanding
    connection.close()
    if was_idle and connection.on_idle_close:
        connection.on_idle_close(connection)
