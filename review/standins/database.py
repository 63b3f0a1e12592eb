"""A database group: servers with slots, terms, a replicated log, promotion and ``syncReplicas``."""

import asyncio
import hashlib
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.http import serve_http
from standins.store import Store

QUEUE = 40
HANDSHAKE_MS = 12
STATUS_MS = 1
NETWORK_MS = 1.4
APPLY_MS = 8  # from the receipt of a commit at a replica until it is applied
HEARTBEAT_MS = 1_200
SILENCE_MS = 3 * HEARTBEAT_MS  # a crashed server's entry is removed after this
STEP_DOWN_MS = 1_000  # an old primary continues for so long after it can reach the new one
LINE_LIMIT = 2 * 1_048_576


@dataclass(frozen=True)
class GroupSize:
    """Figures of a group, by default those of the first site.

    :param slots: statements that a server runs at a time.
    :param max_connections: connections of a server, from all callers.
    :param promote_ms: time from an order until the server leads.
    :param sync_replicas: replicas that must have received a commit before it is acknowledged.
    """

    slots: int = 5
    max_connections: int = 34
    promote_ms: int = 300
    sync_replicas: int = 0


@dataclass(frozen=True)
class Commit:
    """One entry of a server's log.

    :param term: term of the primary that committed it.
    :param request_id: id of the client's write or commit.
    :param writes: ``(item, data)`` pairs.
    """

    term: int
    request_id: str
    writes: tuple[tuple[str, str], ...]


@dataclass
class Promotion:
    """A promotion that has taken effect.

    :param at: time by the steady clock, in seconds.
    :param server_id: the new primary.
    :param term: its term.
    :param log: request ids of its log at that time.
    """

    at: float
    server_id: str
    term: int
    log: list[str] = field(repr=False)


class Server:
    """One server of a group.

    :param group: its group.
    :param server_id: its id.
    :param address: ``(ip, port)`` to listen on.
    :param zone: its availability zone.
    """

    def __init__(self, group: "Group", server_id: str, address: tuple[str, int], zone: str) -> None:
        self.group = group
        self.server_id = server_id
        self.address = address
        self.zone = zone
        self.role = "replica"
        self.term = 1
        self.log: list[Commit] = []  # received
        self.applied = 0
        self.items: dict[str, str] = {}
        self.alive = False
        self.dark = False  # down, and silent: neither answers nor refuses anything
        self.deaf = False  # receives no commits
        self.held_term = 0  # of a PAUSE; receives no commits until a RESUME
        self.slow_x = 1.0
        self.draining = False
        self.waiting = 0
        self.slots = asyncio.Semaphore(group.size.slots)
        self.writers: set[asyncio.StreamWriter] = set()
        self.received = asyncio.Event()
        self.sequence = 0
        self._born_ms = 0
        self._light = asyncio.Event()
        self._listener: asyncio.Server | None = None

    @property
    def position(self) -> tuple[int, int]:
        """Return the position of the last entry that was received."""
        return self._position_at(len(self.log))

    @property
    def applied_position(self) -> tuple[int, int]:
        """Return the position of the last entry that was applied."""
        return self._position_at(self.applied)

    def _position_at(self, length: int) -> tuple[int, int]:
        return (self.log[length - 1].term if length else 1, length)

    async def start(self) -> None:
        """Listen, with the log from before; as a replica if another server was promoted."""
        if self.group.primary is not self:
            self.role = "replica"
        self.alive, self.held_term = True, 0
        self._born_ms = int(time.time() * 1_000)
        self.slots = asyncio.Semaphore(self.group.size.slots)
        self.waiting = 0
        self._listener = await asyncio.start_server(self._serve, *self.address, limit=LINE_LIMIT)
        self.register()

    def crash(self) -> None:
        """Reset every connection and stop listening; the log is kept."""
        self.alive = False
        self._listener.close()
        self._reset_connections()

    def _reset_connections(self) -> None:
        writers, self.writers = list(self.writers), set()
        for writer in writers:
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def go_dark(self) -> None:
        """Crash without a sign to the far ends of its connections."""
        self.dark, self._light = True, asyncio.Event()

    async def wait_in_dark(self) -> None:
        """Leave a connection unanswered until the server is back, which resets it."""
        await self._light.wait()
        raise ConnectionResetError

    def return_from_dark(self) -> None:
        """Come back with the log; what the far ends still have open is reset."""
        self.dark = False
        self._light.set()
        self._reset_connections()
        self.register()

    def register(self) -> None:
        """Write the entry of this server to the store."""
        self.sequence += 1
        self.group.store.put(
            "servers",
            self.server_id,
            {
                "service": self.group.name,
                "address": "{}:{}".format(*self.address),
                "zone": self.zone,
                "configVersion": "v1",
                "capacity": self.group.size.slots,
                "state": "draining" if self.draining else "ready",
                "coldRemainingMs": 0,
                "dbRole": self.role,
                "sequence": self.sequence,
                "born": self._born_ms,
            },
        )

    def change_role(self, role: str) -> None:
        """Change the role and report that immediately."""
        if self.role != role:
            self.role = role
            self.register()

    def append(self, commit: Commit) -> None:
        """Append a commit that this server has made or received."""
        self.log.append(commit)
        self.received.set()
        self.received = asyncio.Event()
        if self.role == "primary":
            self.apply(len(self.log))
        else:
            asyncio.get_running_loop().call_later(APPLY_MS / 1_000, self.apply, len(self.log))

    def apply(self, length: int) -> None:
        """Apply the log up to a length."""
        for commit in self.log[self.applied : length]:
            self.items.update(commit.writes)
        self.applied = max(self.applied, min(length, len(self.log)))

    def truncate(self, length: int) -> None:
        """Roll back what a new primary does not have."""
        if len(self.log) > length:
            self.log = self.log[:length]
            self.items = {}
            self.applied = 0
            self.apply(length)

    async def commit(self, request_id: str, writes: tuple[tuple[str, str], ...]) -> bool:
        """Commit; return once enough replicas have received it, ``False`` if the lead is lost."""
        term = self.term
        self.append(Commit(term, request_id, writes))
        length = len(self.log)
        while self.alive and self.role == "primary" and self.term == term:
            holders = sum(1 for s in self.group.replicas_of(self) if len(s.log) >= length)
            if holders >= self.group.size.sync_replicas:
                return True
            await asyncio.sleep(NETWORK_MS / 2_000)
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            if self.dark:
                await self.wait_in_dark()
            await _Connection(self, reader, writer).run()
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError):
            pass  # the far end has closed the connection; an open transaction is rolled back
        finally:
            self.writers.discard(writer)
            writer.close()


class _BusyError(Exception):
    """The server's queue is full; nothing was run."""


class _Connection:
    """A connection to a server."""

    def __init__(
        self, server: Server, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._read_only = False
        self._lead_term = 0  # of a plain transaction
        self._writes: list[tuple[str, str]] = []
        self._prepared: dict[str, str] = {}
        self._caller = ""

    async def run(self) -> None:
        word, _, fields = (await self._line()).partition(" ")
        if word != "START" or not await self._start(fields.split(" ")):
            return
        while True:
            word, _, fields = (await self._line()).partition(" ")
            if word != "QUERY":
                return
            request_id, _, text = fields.partition(" ")
            answer = await self._query(request_id, text)
            if not self._server.alive:
                return
            if self._server.dark:
                await self._server.wait_in_dark()
            self._send(*answer, self._ready())
            await self._writer.drain()

    async def _line(self) -> str:
        return (await self._reader.readuntil(b"\r\n"))[:-2].decode("latin-1")

    def _send(self, *lines: str) -> None:
        self._writer.write("".join(line + "\r\n" for line in lines).encode("latin-1"))

    def _ready(self) -> str:
        return "READY {} {}.{}".format(self._state, *self._server.applied_position)

    async def _start(self, fields: list[str]) -> bool:
        server = self._server
        name, self._caller, *server_id = fields
        if name != server.group.name or server_id not in ([], [server.server_id]):
            self._send(f"ERROR MISROUTED {server.server_id}")
            return False
        if len(server.writers) > server.group.size.max_connections:
            self._send("ERROR CONNLIMIT too many connections")
            return False
        try:
            await self._occupy(HANDSHAKE_MS)
        except _BusyError:
            self._send("ERROR BUSY the queue is full")
            return False
        self._send(self._ready())
        return True

    async def _occupy(self, work_ms: float) -> None:
        """Hold a slot for some time, after waiting for one."""
        server = self._server
        if server.slots.locked() and server.waiting >= QUEUE:
            raise _BusyError
        server.waiting += 1
        try:
            await server.slots.acquire()
        finally:
            server.waiting -= 1
        try:
            await asyncio.sleep(work_ms * server.slow_x / 1_000)
        finally:
            server.slots.release()

    async def _query(self, request_id: str, text: str) -> list[str]:
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
        word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED the transaction failed"]
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return [f"ERROR NOSTMT {name}"]
            word = self._prepared[name]
        try:
            return await getattr(self, f"_do_{word.lower()}")(request_id, rest, after)
        except _BusyError:
            return ["ERROR BUSY the queue is full"]

    def _is_behind(self, after: tuple[int, int] | None) -> bool:
        return after is not None and self._server.applied_position < after

    def _has_lost_lead(self) -> bool:
        server = self._server
        return server.role != "primary" or server.term != self._lead_term

    def _fail_readonly(self) -> list[str]:
        if self._state == "T":
            self._state = "E"
        return [f"ERROR READONLY {self._server.server_id}"]

    def _success(self, request_id: str, *rows: str) -> list[str]:
        text = f"{self._server.server_id}/{request_id}"
        mac = hashlib.sha256(text.encode()).hexdigest()[:24]
        self._server.group.on_run(self._server, self._caller, request_id)
        return [*(f"ROW {row}" for row in rows), f"COMPLETE {mac}"]

    async def _do_begin(self, _id: str, rest: str, after: tuple[int, int] | None) -> list[str]:
        if self._is_behind(after):
            return ["ERROR LAGGING {}.{}".format(*self._server.applied_position)]
        self._read_only = rest == "READ"
        if not self._read_only and self._server.role != "primary":
            return [f"ERROR READONLY {self._server.server_id}"]
        self._state, self._writes, self._lead_term = "T", [], self._server.term
        return ["COMPLETE -"]

    async def _do_read(self, request_id: str, rest: str, after: tuple | None) -> list[str]:
        await self._occupy(self._server.group.work_ms())
        if self._is_behind(after):
            return ["ERROR LAGGING {}.{}".format(*self._server.applied_position)]
        if self._state == "T" and not self._read_only and self._has_lost_lead():
            return self._fail_readonly()
        item = rest.split(" ")[0]
        return self._success(request_id, self._server.items.get(item, "none"))

    async def _do_write(self, request_id: str, rest: str, _after: tuple | None) -> list[str]:
        server = self._server
        await self._occupy(server.group.work_ms())
        item, _, data = rest.partition(" ")
        if self._state == "T":
            if self._read_only or self._has_lost_lead():
                return self._fail_readonly()
            self._writes.append((item, data))
            return self._success(request_id)
        if server.role != "primary":
            return [f"ERROR READONLY {server.server_id}"]
        return await self._commit(request_id, ((item, data),))

    async def _commit(self, request_id: str, writes: tuple) -> list[str]:
        if not await self._server.commit(request_id, writes):
            raise EOFError  # the server has crashed or lost the lead; the answer is lost
        self._server.group.on_commit(self._server, request_id)
        return self._success(request_id)

    async def _do_commit(self, request_id: str, _rest: str, _after: tuple | None) -> list[str]:
        writes, failed = tuple(self._writes), self._state == "E"
        if self._state == "I":
            return ["ERROR MALFORMED no transaction is open"]
        await self._occupy(self._server.group.work_ms())
        self._state, self._writes = "I", []
        if failed or (writes and self._has_lost_lead()):
            return [f"ERROR READONLY {self._server.server_id}"]
        return await self._commit(request_id, writes) if writes else self._success(request_id)

    async def _do_rollback(self, _id: str, _rest: str, _after: tuple | None) -> list[str]:
        self._state, self._writes = "I", []
        return ["COMPLETE -"]

    async def _do_set(self, _id: str, _rest: str, _after: tuple | None) -> list[str]:
        return ["COMPLETE -"]

    async def _do_prepare(self, _id: str, rest: str, _after: tuple | None) -> list[str]:
        name, access, _ = rest.split(" ", 2)
        self._prepared[name] = access
        return ["COMPLETE -"]

    async def _do_dealloc(self, _id: str, rest: str, _after: tuple | None) -> list[str]:
        self._prepared.pop(rest, None)
        return ["COMPLETE -"]

    async def _do_reset(self, _id: str, _rest: str, _after: tuple | None) -> list[str]:
        self._prepared.clear()
        return ["COMPLETE -"]

    async def _do_status(self, _id: str, _rest: str, _after: tuple | None) -> list[str]:
        await self._occupy(STATUS_MS)
        server = self._server
        lag_ms = 0 if server.applied == len(server.log) else APPLY_MS
        busy = server.group.size.slots if server.slots.locked() else 0
        received = "{}.{}".format(*server.position)
        row = f"{server.role} {server.term} {received} {server.held_term} {lag_ms} {busy}"
        return [f"ROW {row} {len(server.writers)}", "COMPLETE -"]

    async def _do_pause(self, request_id: str, rest: str, after: tuple | None) -> list[str]:
        server = self._server
        if server.role == "replica" and int(rest) > server.term:
            server.held_term = int(rest)
        return await self._do_status(request_id, "", after)

    async def _do_resume(self, request_id: str, _rest: str, after: tuple | None) -> list[str]:
        self._server.held_term = 0
        return await self._do_status(request_id, "", after)

    async def _do_demote(self, request_id: str, rest: str, after: tuple | None) -> list[str]:
        server = self._server
        if server.role == "primary" and int(rest) > server.term:
            server.change_role("replica")
        return await self._do_status(request_id, rest, after)


class Group:
    """A service of one primary and its replicas.

    :param name: name of the service.
    :param store: the store in which the servers register.
    :param size: its figures.
    :param work_ms: draws the work of one read, write or commit.
    :param on_event: told what happens, for the record.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        size: GroupSize,
        work_ms: Callable[[], float],
        on_event: Callable[..., None],
    ) -> None:
        self.name = name
        self.store = store
        self.size = size
        self.work_ms = work_ms
        self.servers: list[Server] = []
        self.primary: Server | None = None
        self.promotions: list[Promotion] = []
        self.acknowledged: dict[str, float] = {}  # by the servers: time by request id
        self.runs: list[tuple[float, str, str, str]] = []
        self._on_event = on_event

    async def start(self, addresses: list[tuple[str, int]], zones: list[str]) -> None:
        """Start the servers, the first one as primary."""
        for number, (address, zone) in enumerate(zip(addresses, zones, strict=True), 1):
            self.servers.append(Server(self, f"i-{self.name}-{number}", address, zone))
        self.primary = self.servers[0]
        self.primary.role = "primary"
        for server in self.servers:
            await server.start()
        asyncio.create_task(self._register_forever())
        asyncio.create_task(self._replicate_forever())

    def replicas_of(self, primary: Server) -> list[Server]:
        """Return the running servers that follow a primary."""
        running = [s for s in self.servers if s.alive and not s.dark]
        return [s for s in running if s is not primary and s.role == "replica"]

    def on_run(self, server: Server, caller: str, request_id: str) -> None:
        """Record a statement that was run."""
        self.runs.append((time.monotonic(), server.server_id, caller, request_id))

    def on_commit(self, server: Server, request_id: str) -> None:
        """Record a commit that a server acknowledges."""
        self.acknowledged[request_id] = time.monotonic()

    async def _register_forever(self) -> None:
        silent_since: dict[str, float] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1_000)
            for server in self.servers:
                if server.alive and not server.dark:
                    silent_since.pop(server.server_id, None)
                    server.register()
                    continue
                since = silent_since.setdefault(server.server_id, time.monotonic())
                if time.monotonic() - since >= SILENCE_MS / 1_000:
                    self.store.delete("servers", server.server_id)

    async def _replicate_forever(self) -> None:
        """Send the primary's log to each replica that receives, in order."""
        while True:
            await asyncio.sleep(NETWORK_MS / 1_000)
            primary = self.primary
            if not primary.alive or primary.role != "primary":
                continue
            for replica in self.replicas_of(primary):
                if replica.deaf or replica.held_term:
                    continue
                replica.term = primary.term
                for commit in primary.log[len(replica.log) :]:
                    replica.append(commit)

    async def promote(self, server_id: str) -> bool:
        """Order a promotion; return whether the server runs."""
        server = next((s for s in self.servers if s.server_id == server_id), None)
        if server is None or not server.alive or server.dark:
            return False
        if server is not self.primary or server.role != "primary":
            asyncio.create_task(self._lead_later(server))
        return True

    async def _lead_later(self, server: Server) -> None:
        await asyncio.sleep(self.size.promote_ms / 1_000)
        if not server.alive or server.dark or (server is self.primary and server.role == "primary"):
            return
        old = self.primary
        server.term = max(s.term for s in self.servers) + 1
        self.primary = server
        for other in self.servers:
            other.held_term = 0
        server.apply(len(server.log))
        server.change_role("primary")
        ids = [commit.request_id for commit in server.log]
        self.promotions.append(Promotion(time.monotonic(), server.server_id, server.term, ids))
        self._on_event(
            "promoted",
            server=server.server_id,
            term=server.term,
            position=len(ids),
            others={s.server_id: len(s.log) for s in self.servers if s is not server},
        )
        for other in self.servers:
            if other is not server and other.role == "replica":
                other.truncate(len(ids))
        if old is not server:
            asyncio.create_task(self._step_down(old, server, len(ids)))

    async def _step_down(self, old: Server, new: Server, length: int) -> None:
        """Make an old primary follow the new one.

        :param length: length of the new one's log when it was promoted.
        """
        if old.alive:
            await asyncio.sleep(STEP_DOWN_MS / 1_000)
        if self.primary is not new:
            return
        old.truncate(length)
        if old.alive:
            old.change_role("replica")
        else:
            old.role = "replica"


class FailoverApi:
    """The platform's API that designates a group's primary.

    :param address: ``(ip, port)`` to listen on.
    :param groups: the groups.
    :param on_event: told of each call, for the record.
    """

    def __init__(
        self, address: tuple[str, int], groups: list[Group], on_event: Callable[..., None]
    ) -> None:
        self.address = address
        self.calls: list[tuple[float, str, int, str, str]] = []
        self._groups = {group.name: group for group in groups}
        self._on_event = on_event

    async def start(self) -> None:
        """Listen for calls."""
        await serve_http(self.address, self._handle)

    async def _handle(
        self, method: str, parts: list[str], _query: dict, headers: dict, body: object
    ) -> tuple[int, object]:
        if method != "POST" or parts != ["failover"]:
            return 404, None
        holder, token = headers["lease-holder"], int(headers["fencing-token"])
        service, server_id = body["service"], body["id"]
        self.calls.append((time.monotonic(), holder, token, service, server_id))
        self._on_event("failover", holder=holder, token=token, service=service, id=server_id)
        group = self._groups.get(service)
        found = group is not None and await group.promote(server_id)
        return (200 if found else 409), None
