"""A small fleet of limiters on a virtual clock, with a network that fails on demand."""

import heapq
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from figcrank.coordination import CoreSettings, SendGossip
from figcrank.coordination._outbox import Outbox
from figcrank.coordination.limits import Limiter, LimitMessage
from figcrank.coordination.membership import Placement
from figcrank.protocol import Failure
from figcrank.state import MILLI, ConfigObject, ConfigSnapshot, Host, HostState, ObjectId, Workspace

TICK_MS = 10
TIMEOUT_MS = 2_000


@dataclass(frozen=True, slots=True)
class Arrival:
    """A caller's request.

    :param host: index of its entry host.
    """

    at_ms: int
    workspace: str
    host: int


@dataclass(frozen=True, slots=True)
class Network:
    """How datagrams travel.

    :param loss: share that is lost.
    :param duplication: share that arrives twice.
    :param min_delay_ms: shortest time on the way.
    :param max_delay_ms: longest time on the way.
    """

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_ms: int = 1
    max_delay_ms: int = 2


@dataclass(slots=True)
class Outcomes:
    """What became of one workspace's requests, by time of the decision."""

    admitted_ms: list[int] = field(default_factory=list)
    refused_ms: list[int] = field(default_factory=list)
    asked: int = 0


class View:
    """One host's list of live hosts, set by the test."""

    def __init__(self, hosts: tuple[Host, ...]) -> None:
        self._all = {host.name: host for host in hosts}
        self.live = hosts
        self.leaving: set[str] = set()
        self.suspects: set[str] = set()

    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts that may be given work."""
        return self.live

    def host(self, name: str) -> Host | None:
        """Return any host of the fleet."""
        return self._all.get(name)

    def state(self, name: str) -> HostState:
        """Return what is believed of a host."""
        if name in self.leaving:
            return HostState.LEAVING
        if name in self.suspects:
            return HostState.SUSPECT
        return HostState.ALIVE if self.host(name) in self.live else HostState.DEAD

    def remove(self, name: str) -> None:
        """Drop a host from the list."""
        self.live = tuple(host for host in self.live if host.name != name)

    def add(self, host: Host) -> None:
        """Put a host on the list."""
        self.suspects.discard(host.name)
        self._all[host.name] = host
        self.live = tuple(sorted({*self.live, host}, key=lambda item: item.name))


class FixedConfiguration:
    """A configuration of workspaces only."""

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        objects = [ConfigObject(ObjectId("workspace", w.name), 1, w) for w in workspaces]
        self.snapshot = ConfigSnapshot().merged(1, objects)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace in force."""
        return self.snapshot.find("workspace", name)


class Member:
    """One host with its limiter."""

    def __init__(
        self, host: Host, hosts: tuple[Host, ...], workspaces: Iterable[Workspace]
    ) -> None:
        settings = CoreSettings("fleet", host, hosts, ())
        self.host = host
        self.outbox = Outbox()
        self.view = View(hosts)
        self.placement = Placement(settings, self.view)
        self.limiter = Limiter(
            settings, self.outbox, self.placement, FixedConfiguration(workspaces)
        )
        self.alive = True
        self.paused = False
        self.socket: deque[tuple[str, LimitMessage]] = deque()


class LimitFleet:
    """Drives limiters millisecond by millisecond.

    :param workspaces: the workspaces in force everywhere.
    :param seed: seed of the network's choices.
    :param network: how datagrams travel.
    :param size: number of hosts.
    """

    def __init__(
        self,
        workspaces: Iterable[Workspace],
        seed: int = 1,
        network: Network | None = None,
        size: int = 9,
    ) -> None:
        self.workspaces = {workspace.name: workspace for workspace in workspaces}
        hosts = tuple(make_host(number) for number in range(size))
        self.members = [Member(host, hosts, self.workspaces.values()) for host in hosts]
        self.network = network or Network()
        self.parted: set[frozenset[str]] = set()
        self.now_ms = 0
        self.outcomes: dict[str, Outcomes] = defaultdict(Outcomes)
        self._random = Random(seed)
        self._on_way: list[tuple[int, int, str, str, LimitMessage]] = []
        self.messages = 0
        self._gone: set[str] = set()

    def member(self, name: str) -> Member:
        """Return a host by name."""
        return next(member for member in self.members if member.host.name == name)

    def home(self, workspace: str) -> Member:
        """Return the home host in the first live host's view."""
        viewer = next(member for member in self.members if member.alive)
        return self.member(viewer.placement.home(workspace).name)

    def join(self) -> Member:
        """Add a host that every live host knows at once."""
        host = make_host(len(self.members))
        staying = [m.host for m in self.members if m.alive and m.host.name not in self._gone]
        known = (*staying, host)
        self.members.append(Member(host, known, self.workspaces.values()))
        for member in self.members:
            member.view.add(host)
        return self.members[-1]

    def run(self, arrivals: Iterable[Arrival], until_ms: int) -> None:
        """Advance to ``until_ms`` and take the arrivals on the way."""
        for arrival in arrivals:
            self._advance(min(arrival.at_ms, until_ms))
            self._admit(arrival)
        self._advance(until_ms)

    def ask(self, workspace: str, host: int) -> None:
        """Let one request arrive now."""
        self._admit(Arrival(self.now_ms, workspace, host))

    def leave(self, member: Member) -> None:
        """Let a host leave cleanly; the others know at once."""
        self._gone.add(member.host.name)
        for other in self.members:
            other.view.leaving.add(member.host.name)
            if other is not member:
                other.view.remove(member.host.name)
        member.limiter.leave(self.now_ms)
        self._send_from(member)

    def kill(self, member: Member) -> None:
        """Stop a host for good; the others do not know."""
        member.alive = False

    def suspect(self, name: str) -> None:
        """Let every host but ``name`` suspect that it is dead."""
        for member in self.members:
            if member.host.name != name:
                member.view.suspects.add(name)

    def forget(self, name: str) -> None:
        """Let every host but ``name`` believe that it is dead."""
        for member in self.members:
            if member.host.name != name:
                member.view.remove(name)

    def resume(self, member: Member) -> None:
        """Let a paused host read what waited in its socket."""
        member.paused = False
        while member.socket:
            sender, message = member.socket.popleft()
            self._deliver(member, sender, message)

    def over_admission(self, workspace: str) -> int:
        """Return by how many requests any window exceeded rate times its length plus burst."""
        limit = self.workspaces[workspace]
        used_milli = worst_milli = last_ms = 0
        for at_ms in self.outcomes[workspace].admitted_ms:
            used_milli = max(0, used_milli - (at_ms - last_ms) * limit.rate_per_s) + MILLI
            worst_milli = max(worst_milli, used_milli)
            last_ms = at_ms
        return -(-max(0, worst_milli - limit.burst * MILLI) // MILLI)

    def _advance(self, until_ms: int) -> None:
        while self.now_ms < until_ms:
            self.now_ms += 1
            self._deliver_due()
            for number, member in enumerate(self.members):
                if (self.now_ms + number) % TICK_MS == 0 and member.alive and not member.paused:
                    member.limiter.tick(self.now_ms)
                    self._send_from(member)

    def _admit(self, arrival: Arrival) -> None:
        member = self.members[arrival.host]
        if not member.alive or member.paused:
            return
        outcomes = self.outcomes[arrival.workspace]
        outcomes.asked += 1

        def decided(failure: Failure | None, at_ms: int) -> None:
            if member.alive:
                (outcomes.refused_ms if failure else outcomes.admitted_ms).append(at_ms)

        workspace = self.workspaces[arrival.workspace]
        deadline_ms = self.now_ms + TIMEOUT_MS
        member.limiter.admit(workspace, deadline_ms, self.now_ms, decided)
        self._send_from(member)

    def _send_from(self, member: Member) -> None:
        for action in member.outbox.drain():
            if isinstance(action, SendGossip):
                self._send(member.host.name, action)

    def _send(self, sender: str, action: SendGossip) -> None:
        copies = 2 if self._random.random() < self.network.duplication else 1
        for _ in range(copies):
            if self._random.random() < self.network.loss:
                continue
            spread_ms = self.network.max_delay_ms - self.network.min_delay_ms
            delay_ms = self.network.min_delay_ms + round(spread_ms * self._random.random())
            self.messages += 1
            item = (self.now_ms + delay_ms, self.messages, sender, action.address, action.message)
            heapq.heappush(self._on_way, item)

    def _deliver_due(self) -> None:
        while self._on_way and self._on_way[0][0] <= self.now_ms:
            _, _, sender, address, message = heapq.heappop(self._on_way)
            member = self.member(address)
            if not member.alive or frozenset((sender, address)) in self.parted:
                continue
            if member.paused:
                member.socket.append((sender, message))
                continue
            self._deliver(member, sender, message)

    def _deliver(self, member: Member, sender: str, message: LimitMessage) -> None:
        member.limiter.on_gossip(sender, message, self.now_ms)
        self._send_from(member)


def make_host(number: int) -> Host:
    """Return host ``number``; its gossip address is its name."""
    name = f"host-{number}"
    return Host(name, f"zone-{number % 3}", name, name)
