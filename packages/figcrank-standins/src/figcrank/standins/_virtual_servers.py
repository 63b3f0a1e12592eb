"""Backend servers and the platform on the virtual clock."""

from collections.abc import Callable
from dataclasses import dataclass, field

from figcrank.protocol import (
    ObjectList,
    PlatformCall,
    PlatformFailed,
    PlatformResult,
    QueryStatus,
    ServerReply,
    ServerRequest,
    StatusReply,
    WatchObjects,
    Work,
    WorkFailed,
    WorkFailureKind,
    WorkResult,
)
from figcrank.standins._errors import ServerFullError
from figcrank.standins._platform_model import PlatformModel
from figcrank.standins._server_model import ServerModel, form_group
from figcrank.standins._virtual_loop import VirtualLoop, VirtualNetwork
from figcrank.state import Group, Position, Server, ServerRole

PLATFORM = "platform"
REPLICATION_INTERVAL_MS = 20
PLATFORM_DELAY_MS = 3
PLATFORM_POLL_MS = 5


@dataclass(slots=True)
class _Waiter:
    wait_for: Position
    reply: Callable[[ServerReply], None]
    answered: bool = False


@dataclass(slots=True)
class VirtualServer:
    """One backend server with its model and its faults.

    :param server: its address and availability zone.
    :param model: what it decides and stores.
    :param apply_lag_ms: time between holding an entry durably and showing it to reads.
    :param silent: whether it takes requests, but neither runs nor answers them.
    :param loses_answers: whether it runs work without answering it.
    """

    server: Server
    model: ServerModel
    slots: int
    alive: bool = True
    silent: bool = False
    loses_answers: bool = False
    apply_lag_ms: int = 0
    slot_free_ms: list[float] = field(default_factory=list)
    waiters: list[_Waiter] = field(default_factory=list)
    sessions: set[int] = field(default_factory=set)


class VirtualGroup:
    """A database group on the virtual clock, replicating asynchronously.

    :param loop: the loop.
    :param network: the network; replication follows its cuts.
    :param group: the group's members and capacity.
    :param service_ms: time that a piece of work takes in a slot.
    """

    def __init__(
        self, loop: VirtualLoop, network: VirtualNetwork, group: Group, service_ms: float = 1.0
    ) -> None:
        self._loop = loop
        self._network = network
        self._service_ms = service_ms
        self.group_name = group.name
        names = tuple(server.name for server in group.servers)
        self.servers = {
            server.name: VirtualServer(
                server,
                ServerModel(server.name, names, group.connections_per_server),
                group.slots_per_server,
                slot_free_ms=[0.0] * group.slots_per_server,
            )
            for server in group.servers
        }
        for server in group.servers:
            network.place(server.name, server.availability_zone)
        form_group(tuple(entry.model for entry in self.servers.values()))
        loop.after(REPLICATION_INTERVAL_MS, self._replicate_periodically)

    @property
    def primary(self) -> VirtualServer | None:
        """Return the live primary of the highest term."""
        primaries = [s for s in self.servers.values() if s.alive and _is_primary(s)]
        return max(primaries, key=lambda s: s.model.status().term, default=None)

    def kill(self, name: str) -> None:
        """Stop a server; its log stays."""
        entry = self.servers[name]
        entry.alive = False
        for pid in entry.sessions:
            entry.model.close_session(pid)
        entry.sessions.clear()
        entry.waiters.clear()

    def restart(self, name: str) -> None:
        """Start a stopped server with the log that it had."""
        self.servers[name].alive = True

    def request(
        self, name: str, request: ServerRequest, reply: Callable[[ServerReply], None]
    ) -> None:
        """Take a control request that has arrived at a server."""
        entry = self.servers[name]
        if not entry.alive or entry.silent:
            return
        answer = entry.model.request(request)
        if isinstance(request, QueryStatus) and _must_wait(request, answer):
            self._wait(entry, request, reply)
            return
        reply(answer)
        self.replicate()

    def open_session(self, name: str) -> int | None:
        """Open a session; return its process id, ``None`` if the server is full."""
        entry = self.servers[name]
        try:
            pid = entry.model.open_session()
        except ServerFullError:
            return None
        entry.sessions.add(pid)
        return pid

    def close_session(self, name: str, session_pid: int) -> None:
        """Close a session; what it had open is rolled back."""
        self.servers[name].sessions.discard(session_pid)
        self.servers[name].model.close_session(session_pid)

    def run(
        self, name: str, session_pid: int, work: Work, reply: Callable[[WorkResult], None]
    ) -> None:
        """Run work that has arrived at a server, once one of its slots is free."""
        entry = self.servers[name]
        if not entry.alive or entry.silent:
            return
        slot = min(range(entry.slots), key=lambda index: entry.slot_free_ms[index])
        start_ms = max(entry.slot_free_ms[slot], self._loop.now_ms)
        entry.slot_free_ms[slot] = start_ms + self._service_ms

        def done() -> None:
            if not entry.alive or entry.silent:
                return
            result = entry.model.run(session_pid, work)
            if not entry.loses_answers:
                reply(result)
            self.replicate()

        self._loop.after(start_ms + self._service_ms - self._loop.now_ms, done)

    def replicate(self) -> None:
        """Ship new entries of each primary to the replicas that it reaches."""
        for entry in self.servers.values():
            if entry.alive and _is_primary(entry):
                self._ship(entry)
                self._answer_waiters(entry)

    def _ship(self, primary: VirtualServer) -> None:
        for replica in self.servers.values():
            if replica is primary or not replica.alive:
                continue
            held = replica.model.fetch_from()
            term = primary.model.status().term
            batch = primary.model.entries_after(term, held)
            if batch is None:
                continue

            def arrive(
                replica: VirtualServer = replica, batch: object = batch, term: int = term
            ) -> None:
                if not replica.alive:
                    return
                replica.model.accept(batch, term)
                self._answer_waiters(replica)
                offset = replica.model.status().durable.offset
                self._loop.after(replica.apply_lag_ms, lambda: replica.model.apply_up_to(offset))

            self._network.send(primary.server.name, replica.server.name, arrive)

    def _replicate_periodically(self) -> None:
        self.replicate()
        self._loop.after(REPLICATION_INTERVAL_MS, self._replicate_periodically)

    def _wait(
        self, entry: VirtualServer, request: QueryStatus, reply: Callable[[ServerReply], None]
    ) -> None:
        waiter = _Waiter(request.wait_for, reply)
        entry.waiters.append(waiter)

        def expire() -> None:
            if waiter in entry.waiters:
                entry.waiters.remove(waiter)
                reply(StatusReply(entry.model.status()))

        self._loop.after(request.wait_ms, expire)

    def _answer_waiters(self, entry: VirtualServer) -> None:
        status = entry.model.status()
        ready = [waiter for waiter in entry.waiters if waiter.wait_for <= status.durable]
        for waiter in ready:
            entry.waiters.remove(waiter)
            waiter.reply(StatusReply(status))


class VirtualPlatform:
    """The platform's object API on the virtual clock.

    :param loop: the loop.
    :param model: objects, versions and call counts.
    """

    def __init__(self, loop: VirtualLoop, model: PlatformModel) -> None:
        self._loop = loop
        self.model = model
        self.down = False
        self.extra_delay_ms = 0
        self.answers_to_lose = 0

    def call(self, call: PlatformCall, reply: Callable[[PlatformResult], None]) -> None:
        """Take a call that has arrived; during an outage it is never answered."""
        if self.down:
            return
        result = self.model.call(call)
        if isinstance(call, WatchObjects) and isinstance(result, ObjectList) and not result.objects:
            self._watch(call, call.wait_ms, reply)
            return
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return
        self._loop.after(PLATFORM_DELAY_MS + self.extra_delay_ms, lambda: reply(result))

    def _watch(
        self, call: WatchObjects, left_ms: int, reply: Callable[[PlatformResult], None]
    ) -> None:
        def look() -> None:
            if self.down:
                reply(PlatformFailed("connection reset"))
                return
            result = self.model.changes(call)
            if result.objects or left_ms <= PLATFORM_POLL_MS:
                reply(result)
                return
            self._watch(call, left_ms - PLATFORM_POLL_MS, reply)

        self._loop.after(PLATFORM_POLL_MS, look)


def lost(work: Work, commits: bool) -> WorkFailed:
    """Return the result of work whose connection was lost.

    :param commits: whether the work included a commit.
    """
    message = f"The connection was lost during {type(work).__name__}."
    return WorkFailed(WorkFailureKind.LOST, message, commit_sent=commits)


def _is_primary(entry: VirtualServer) -> bool:
    return entry.model.status().role is ServerRole.PRIMARY


def _must_wait(request: QueryStatus, answer: ServerReply) -> bool:
    if request.wait_ms <= 0 or not isinstance(answer, StatusReply):
        return False
    return answer.status.durable < request.wait_for
