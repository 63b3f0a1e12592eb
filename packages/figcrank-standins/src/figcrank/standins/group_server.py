"""Stand-in servers of a database group, on real sockets."""

import time
from typing import Any, BinaryIO

import eventlet
import msgspec
from absl import logging
from eventlet.green import socket

from figcrank.protocol import (
    SQLSTATE_TOO_MANY_CONNECTIONS,
    Lookup,
    QueryStatus,
    ServerReply,
    ServerRequest,
    StatusReply,
)
from figcrank.standins import _wire
from figcrank.standins._errors import SQLSTATE_NOT_SUPPORTED, ServerFullError
from figcrank.standins._knobs import DEFAULT_KNOBS, Knobs
from figcrank.standins._replication import EntryFeed, EntrySource, Replicator, serve_entries
from figcrank.standins._server_model import ServerModel, form_group
from figcrank.standins._signal import Signal
from figcrank.standins._sql_session import ControlPort, SqlSession, position_status
from figcrank.standins.samples import SAMPLE_GROUP, group_of
from figcrank.state import Group, Server

LOOPBACK = "127.0.0.1"
BACKLOG = 256
EMBEDDED_SLOTS = 5
EMBEDDED_CONNECTIONS = 35
EMBEDDED_ZONES = ("zone-a", "zone-b", "zone-c")
_SILENCE = "silence"
_STARTUP_PARAMETERS = (
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
)


class GroupServer(ControlPort):
    """One server of a group: client connections, control requests and replication.

    :param model: the server's state; it outlives a stop and a new start.
    :param knobs: delays and faults.
    """

    def __init__(self, model: ServerModel, knobs: Knobs = DEFAULT_KNOBS) -> None:
        self.model = model
        self.address = ""
        self._knobs = knobs
        self._changed = Signal()
        self._connections: dict[int, _Connection] = {}
        self._accepting: Any = None
        self._replicator: Replicator | None = None
        self._listener: Any = None
        self._sources: dict[str, EntrySource] = {}
        self.feed = EntryFeed(model, self._changed, self._is_partitioned)

    @property
    def knobs(self) -> Knobs:
        """Return the delays and faults in force."""
        return self._knobs

    def listen(self, host: str = LOOPBACK, port: int = 0) -> str:
        """Bind the socket and return its ``ip:port``; connections wait until :meth:`start`.

        :param port: 0 for any free port.
        """
        self._listener = eventlet.listen((host, port), backlog=BACKLOG, reuse_port=False)
        bound_host, bound_port = self._listener.getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"
        return self.address

    def start(self, sources: dict[str, EntrySource]) -> None:
        """Serve connections and replicate.

        :param sources: the other servers by name.
        """
        self._sources = sources
        self._replicator = Replicator(
            self.model, self._changed, sources, self._lag_ms, self._is_partitioned
        )
        self._replicator.start()
        self._accepting = eventlet.spawn(self._accept_all)

    def stop(self) -> None:
        """Drop every connection and stop; open transactions roll back, the log stays."""
        self._accepting.kill()
        self._replicator.stop()
        self._listener.close()
        for connection in tuple(self._connections.values()):
            connection.drop()

    def restart(self) -> None:
        """Start again on the same address with the log that was kept."""
        host, _, port = self.address.rpartition(":")
        self.listen(host, int(port))
        self.start(self._sources)

    def control(self, request: ServerRequest) -> ServerReply:
        """Answer a control request, waiting if it asks for that."""
        if isinstance(request, QueryStatus):
            return self._wait_for(request)
        term, primary = self.model.term, self.model.primary
        reply = self.model.request(request)
        if (self.model.term, self.model.primary) != (term, primary):
            self._on_new_term()
        if isinstance(request, Lookup) and request.session_pid in self._connections:
            self._connections[request.session_pid].drop()
        return reply

    def set_knob(self, name: str, value: int, pid: int = 0) -> None:
        """Set a knob, or make the open connections silent with ``silence``.

        :param pid: session that asks, which is not made silent.
        :raises WorkError: if there is no such knob.
        """
        if name == _SILENCE:
            self.silence(still_runs=bool(value), except_pid=pid)
            return
        self._knobs = self._knobs.changed(name, value)
        self.model.leaving = bool(self._knobs.leaving)

    def silence(self, still_runs: bool, except_pid: int = 0) -> None:
        """Never answer again on the connections that are open now.

        :param still_runs: whether queries that come on them still run.
        :param except_pid: session that goes on.
        """
        for pid, connection in self._connections.items():
            if pid != except_pid:
                connection.silence(still_runs)

    def notify(self) -> None:
        """Wake whoever waits for a change of the model."""
        self._changed.notify()

    def _on_new_term(self) -> None:
        self._changed.notify()
        if self._replicator is not None:
            self._replicator.reset()

    def _wait_for(self, request: QueryStatus) -> ServerReply:
        deadline = time.monotonic() + request.wait_ms / 1_000
        term = self.model.term
        while self.model.fetch_from() < request.wait_for and self.model.term == term:
            remaining_ms = int((deadline - time.monotonic()) * 1_000)
            if remaining_ms <= 0:
                break
            self._changed.wait(remaining_ms)
        return StatusReply(self.model.status())

    def _accept_all(self) -> None:
        while True:
            client, _ = self._listener.accept()
            eventlet.spawn_n(self._serve, client)

    def _serve(self, client: Any) -> None:
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve_client(client)
        except (OSError, ValueError, msgspec.DecodeError, _wire.WireError) as error:
            logging.debug("%s: a connection ended: %s", self.model.name, error)
        finally:
            client.close()

    def _serve_client(self, client: Any) -> None:
        reader = client.makefile("rb")
        first_byte = reader.read(1)
        if first_byte == b"{":
            serve_entries(self.feed, first_byte, reader, client)
        elif first_byte and _greet(first_byte, reader, client):
            self._serve_session(reader, client)

    def _serve_session(self, reader: BinaryIO, client: Any) -> None:
        eventlet.sleep(self._knobs.connect_ms / 1_000)
        try:
            pid = self.model.open_session()
        except ServerFullError as error:
            client.sendall(_wire.error(SQLSTATE_TOO_MANY_CONNECTIONS, str(error), severity="FATAL"))
            return
        connection = _Connection(self, pid, reader, client)
        self._connections[pid] = connection
        try:
            connection.run()
        finally:
            del self._connections[pid]
            self.model.close_session(pid)

    def _lag_ms(self) -> int:
        return self._knobs.lag_ms

    def _is_partitioned(self) -> bool:
        return bool(self._knobs.partitioned)


class _Connection:
    """One client's connection after the startup packet."""

    def __init__(self, server: GroupServer, pid: int, reader: BinaryIO, client: Any) -> None:
        self._server = server
        self._reader = reader
        self._client = client
        self._session = SqlSession(server.model, pid, server)
        self._is_silent = False
        self._still_runs = False

    def silence(self, still_runs: bool) -> None:
        """Never answer again."""
        self._is_silent = True
        self._still_runs = still_runs

    def drop(self) -> None:
        """Close the connection without a word."""
        try:
            self._client.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            logging.debug("%s: shutting down: %s", self._server.model.name, error)

    def run(self) -> None:
        """Greet the client and answer its queries until it leaves."""
        self._client.sendall(self._greeting())
        while not self._session.is_closed:
            message = _wire.read_message(self._reader)
            if message is None or message.kind == b"X":
                return
            self._answer(message)

    def _greeting(self) -> bytes:
        parts = [_wire.authentication_ok()]
        parts.extend(_wire.parameter_status(name, value) for name, value in _STARTUP_PARAMETERS)
        parts.append(position_status(self._server.model.status().applied))
        parts.append(_wire.backend_key_data(self._session.pid))
        parts.append(_wire.ready_for_query(b"I"))
        return b"".join(parts)

    def _answer(self, message: _wire.FrontendMessage) -> None:
        if self._is_silent and not self._still_runs:
            return
        if self._server.knobs.latency_ms:
            eventlet.sleep(self._server.knobs.latency_ms / 1_000)
        answer = self._answer_to(message)
        if not self._is_silent:
            self._client.sendall(answer)

    def _answer_to(self, message: _wire.FrontendMessage) -> bytes:
        if message.kind == b"S":
            return _wire.ready_for_query(b"I")
        if message.kind != b"Q":
            return _wire.error(SQLSTATE_NOT_SUPPORTED, "Only simple queries are supported.")
        before = self._server.model.fetch_from()
        answer = self._session.run(_wire.query_text(message))
        if self._server.model.fetch_from() != before:
            self._server.notify()
        return answer


class RunningGroup:
    """A group of stand-in servers in this process.

    :param group: the group with its addresses.
    :param servers: the servers by name.
    """

    def __init__(self, group: Group, servers: dict[str, GroupServer]) -> None:
        self.group = group
        self.servers = servers

    def stop(self) -> None:
        """Stop every server."""
        for server in self.servers.values():
            server.stop()


def start_group(
    name: str = SAMPLE_GROUP,
    availability_zones: tuple[str, str, str] = EMBEDDED_ZONES,
    slots: int = EMBEDDED_SLOTS,
    connections: int = EMBEDDED_CONNECTIONS,
    knobs: Knobs = DEFAULT_KNOBS,
    host: str = LOOPBACK,
) -> RunningGroup:
    """Start three servers in greenlets of this process; the first is primary of term 1.

    :param slots: statements that a server runs at once, as told to the product.
    :param connections: connections that each server accepts.
    :param knobs: delays and faults of every server.
    """
    planned = group_of(name, availability_zones, slots, connections)
    members = tuple(server.name for server in planned.servers)
    models = tuple(ServerModel(member, members, connections) for member in members)
    form_group(models)
    running = {model.name: GroupServer(model, knobs) for model in models}
    addressed = tuple(
        Server(server.name, server.availability_zone, running[server.name].listen(host))
        for server in planned.servers
    )
    for server in running.values():
        server.start(_other_feeds(running, server))
    return RunningGroup(Group(name, addressed, slots, connections), running)


def _other_feeds(running: dict[str, GroupServer], own: GroupServer) -> dict[str, EntrySource]:
    return {name: other.feed for name, other in running.items() if other is not own}


def _greet(first_byte: bytes, reader: BinaryIO, client: Any) -> bool:
    """Read startup packets; return whether a session is to begin."""
    while True:
        code = _wire.read_startup(first_byte, reader)
        if code not in (_wire.SSL_REQUEST, _wire.GSS_REQUEST):
            return code == _wire.PROTOCOL_VERSION
        client.sendall(_wire.REFUSE_ENCRYPTION)
        first_byte = reader.read(1)
