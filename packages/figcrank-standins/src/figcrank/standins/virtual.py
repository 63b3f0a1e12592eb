"""A fleet of host cores on a virtual clock, with fakes at every interface.

:class:`VirtualFleet` carries out the actions of its cores against fake networks, backend servers
and a fake platform, all in one thread and in virtual time. Runs repeat exactly for equal seeds.
"""

import random
from collections.abc import Callable

from figcrank.coordination import (
    Action,
    CallPeer,
    CallPlatform,
    CallServer,
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    CoreSettings,
    CountMetric,
    Credentials,
    Event,
    GossipReceived,
    HostCore,
    LeaveRequested,
    OpenConnection,
    OperatorReceived,
    PeerFailed,
    PeerReplied,
    PeerRequestReceived,
    PlatformReplied,
    RecordDecision,
    RecordSpan,
    Refuse,
    Respond,
    RespondOperator,
    RespondPeer,
    SendGossip,
    ServerReplied,
    SetReady,
    StartWork,
    StatementsReceived,
    Stop,
    Tick,
    Timings,
    TransactionReceived,
    WorkFinished,
)
from figcrank.protocol import (
    CommitWork,
    Decision,
    OperatorRequest,
    PlatformHost,
    PlatformResult,
    ServerFailure,
    ServerFailureKind,
    ServerReply,
    Statement,
    StatementsBody,
    WorkFailed,
    WorkFailureKind,
    WorkResult,
    WriteWork,
)
from figcrank.standins._platform_model import PlatformModel
from figcrank.standins._virtual_host import Call as Call
from figcrank.standins._virtual_host import Connection, VirtualHost
from figcrank.standins._virtual_loop import VirtualLoop, VirtualNetwork
from figcrank.standins._virtual_servers import (
    PLATFORM,
    VirtualGroup,
    VirtualPlatform,
    lost,
)
from figcrank.state import Group, Host, PresentedKey, Session

CONNECT_MS = 12
DEFAULT_TIMEOUT_MS = 5_000
HOST_LIST_LAG_MS = 5_000


class VirtualFleet:
    """Drives host cores against fakes.

    :param hosts: the hosts; each starts at once.
    :param groups: the database groups.
    :param seed: seed of every random source.
    :param timings: timings of the cores.
    :param zone_delay_ms: one-way delay between availability zones.
    :param caller_delay_ms: one-way delay between callers and hosts.
    """

    def __init__(
        self,
        hosts: tuple[Host, ...],
        groups: tuple[Group, ...],
        seed: int = 1,
        timings: Timings | None = None,
        zone_delay_ms: float = 1.5,
        caller_delay_ms: float = 1.0,
        fleet: str = "test",
    ) -> None:
        self.loop = VirtualLoop(seed)
        self.network = VirtualNetwork(self.loop, zone_delay_ms)
        self.platform = VirtualPlatform(self.loop, PlatformModel())
        self.groups = {group.name: VirtualGroup(self.loop, self.network, group) for group in groups}
        self.hosts: dict[str, VirtualHost] = {}
        self._group_of = {s.name: group.name for group in groups for s in group.servers}
        self._group_settings = groups
        self._timings = timings or Timings()
        self._caller_delay_ms = caller_delay_ms
        self._fleet = fleet
        self._seeds = hosts
        self._seed = seed
        self._calls: dict[tuple[str, int], Call] = {}
        self._peer_calls: dict[tuple[str, int], tuple[str, int]] = {}
        self._next_call = 0
        self._performers: dict[type, Callable] = {
            Respond: self._respond,
            Refuse: self._refuse,
            RespondOperator: self._respond_operator,
            CallPeer: self._call_peer,
            RespondPeer: self._respond_peer,
            SendGossip: self._send_gossip,
            CallPlatform: self._call_platform,
            CallServer: self._call_server,
            OpenConnection: self._open_connection,
            CloseConnection: self._close_connection,
            StartWork: self._start_work,
        }

    # Life of hosts

    def start(self) -> None:
        """Start every host that the fleet was made with."""
        for host in self._seeds:
            self.add_host(host)

    def add_host(self, host: Host) -> VirtualHost:
        """Start a host, such as a replacement."""
        seeds = tuple(entry.host for entry in self.hosts.values()) + self._seeds
        settings = CoreSettings(
            self._fleet, host, seeds, self._group_settings, timings=self._timings
        )
        core = HostCore(settings, random.Random(f"{self._seed}/{host.name}"))
        entry = VirtualHost(host, core)
        self.hosts[host.name] = entry
        self.network.place(host.name, host.availability_zone)
        self._perform(entry, core.start(self.loop.now_ms))
        self._tick(entry)
        self._publish_hosts()
        return entry

    def kill(self, name: str) -> None:
        """Stop a host at once; its connections are reset."""
        entry = self.hosts[name]
        entry.alive = False
        for connection in entry.connections.values():
            self._drop_session(entry, connection)
        self._publish_hosts()

    def pause(self, name: str) -> None:
        """Stop a host from running; what arrives waits."""
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        """Let a paused host go on with what has waited."""
        entry = self.hosts[name]
        entry.paused = False
        waiting, entry.waiting = entry.waiting, []
        for event in waiting:
            self._dispatch(entry, event)

    def leave(self, name: str) -> None:
        """Ask a host to shut down gracefully."""
        self._dispatch(self.hosts[name], LeaveRequested())

    def run_for(self, span_ms: int) -> None:
        """Let virtual time pass."""
        self.loop.run_for(span_ms)

    # Callers and operators

    def statements(
        self,
        host: str,
        key: PresentedKey | None,
        service: str,
        profile: str,
        *sql: str | Statement,
        session: Session | None = None,
        repeatable: bool = False,
        idempotency_key: str = "",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
        route: str = "",
    ) -> Call:
        """Send a request to a host as a caller would."""
        texts = tuple(Statement(text) if isinstance(text, str) else text for text in sql)
        body = StatementsBody(texts, repeatable)
        credentials = Credentials(key, session)

        def event(number: int) -> Event:
            return StatementsReceived(
                number,
                credentials,
                service,
                profile,
                body,
                timeout_ms,
                route=route,
                idempotency_key=idempotency_key,
            )

        return self._send(host, event)

    def transaction(
        self,
        host: str,
        key: PresentedKey | None,
        action: str,
        *sql: str,
        service: str = "",
        transaction: str = "",
        session: Session | None = None,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Call:
        """Take a step of a transaction as a caller would."""
        statements = tuple(Statement(text) for text in sql)
        credentials = Credentials(key, session)

        def event(number: int) -> Event:
            return TransactionReceived(
                number, credentials, action, timeout_ms, service, transaction, statements
            )

        return self._send(host, event)

    def operator(self, host: str, request: OperatorRequest) -> Call:
        """Send an operator's request to a host."""
        return self._send(host, lambda number: OperatorReceived(number, request))

    def decisions(self, kind: str = "") -> list[Decision]:
        """Return the decisions of every host, of one kind if given."""
        every = [d for entry in self.hosts.values() for d in entry.decisions]
        return [decision for decision in every if not kind or decision.kind == kind]

    def _send(self, host: str, make_event: Callable[[int], Event]) -> Call:
        self._next_call += 1
        number = self._next_call
        call = Call(self.loop.now_ms)
        self._calls[(host, number)] = call
        entry = self.hosts[host]
        self.loop.after(self._caller_delay_ms, lambda: self._dispatch(entry, make_event(number)))
        return call

    # Driving a core

    def _tick(self, entry: VirtualHost) -> None:
        if not entry.alive:
            return
        if not entry.paused:
            self._dispatch(entry, Tick())
        self.loop.after(self._timings.tick_ms, lambda: self._tick(entry))

    def _dispatch(self, entry: VirtualHost, event: Event) -> None:
        if not entry.alive:
            return
        if entry.paused:
            entry.waiting.append(event)
            return
        self._perform(entry, entry.core.handle(event, self.loop.now_ms))

    def _perform(self, entry: VirtualHost, actions: tuple[Action, ...]) -> None:
        for action in actions:
            performer = self._performers.get(type(action))
            if performer is not None:
                performer(entry, action)
            else:
                self._note(entry, action)

    def _note(self, entry: VirtualHost, action: Action) -> None:
        if isinstance(action, RecordDecision):
            entry.decisions.append(action.decision)
        elif isinstance(action, RecordSpan):
            entry.spans.append(action)
        elif isinstance(action, CountMetric):
            entry.counters[action.name] += action.amount
        elif isinstance(action, SetReady):
            entry.ready = action.ready
        elif isinstance(action, Stop):
            entry.stopped = True
            self.loop.after(0, lambda: self.kill(entry.host.name))

    # Answers

    def _respond(self, entry: VirtualHost, action: Respond) -> None:
        call = self._calls.pop((entry.host.name, action.call_id))
        call.answer = action.answer
        call.session = action.session
        self._answered(call)

    def _refuse(self, entry: VirtualHost, action: Refuse) -> None:
        call = self._calls.pop((entry.host.name, action.call_id))
        call.failure = action.failure
        self._answered(call)

    def _respond_operator(self, entry: VirtualHost, action: RespondOperator) -> None:
        call = self._calls.pop((entry.host.name, action.call_id))
        call.reply = action.reply
        self._answered(call)

    def _answered(self, call: Call) -> None:
        call.answered_ms = self.loop.now_ms + int(self._caller_delay_ms)

    # Peers

    def _call_peer(self, entry: VirtualHost, action: CallPeer) -> None:
        source, target = entry.host.name, action.host.name
        peer = self.hosts.get(target)
        if peer is None or not peer.alive or self.network.is_cut(source, target):
            failed = PeerFailed(action.call_id, sent=False)
            self.loop.after(1, lambda: self._dispatch(entry, failed))
            return
        self._next_call += 1
        number = self._next_call
        self._peer_calls[(target, number)] = (source, action.call_id)
        event = PeerRequestReceived(number, source, action.request)
        self.network.send(source, target, lambda: self._dispatch(peer, event))
        late = PeerFailed(action.call_id, sent=True)
        self.loop.after(action.timeout_ms, lambda: self._dispatch(entry, late))

    def _respond_peer(self, entry: VirtualHost, action: RespondPeer) -> None:
        source, call_id = self._peer_calls.pop((entry.host.name, action.call_id))
        caller = self.hosts[source]
        event = PeerReplied(call_id, action.reply)
        self.network.send(entry.host.name, source, lambda: self._dispatch(caller, event))

    def _send_gossip(self, entry: VirtualHost, action: SendGossip) -> None:
        source = entry.host.name
        event = GossipReceived(source, action.message)
        for peer in self.hosts.values():
            if peer.host.gossip_address == action.address:
                self.network.send_datagram(
                    source, peer.host.name, lambda peer=peer: self._dispatch(peer, event)
                )

    # Platform

    def _call_platform(self, entry: VirtualHost, action: CallPlatform) -> None:
        source = entry.host.name

        def reply(result: PlatformResult) -> None:
            event = PlatformReplied(action.call_id, result)
            self.network.send(PLATFORM, source, lambda: self._dispatch(entry, event))

        self.network.send(source, PLATFORM, lambda: self.platform.call(action.call, reply))

    def _publish_hosts(self) -> None:
        hosts = tuple(
            PlatformHost(
                entry.host.name,
                entry.host.availability_zone,
                entry.host.gossip_address,
                entry.host.peer_address,
            )
            for entry in self.hosts.values()
            if entry.alive
        )
        self.loop.after(HOST_LIST_LAG_MS, lambda: self.platform.model.set_hosts(hosts))

    # Backend servers

    def _call_server(self, entry: VirtualHost, action: CallServer) -> None:
        source, target = entry.host.name, action.server.name
        group = self.groups[self._group_of[target]]

        def reply(answer: ServerReply) -> None:
            event = ServerReplied(action.call_id, answer)
            self.network.send(target, source, lambda: self._dispatch(entry, event))

        if not group.servers[target].alive and not self.network.is_cut(source, target):
            refused = ServerFailure(ServerFailureKind.UNREACHABLE, "connection refused")
            self.loop.after(1, lambda: reply(refused))
            return
        self.network.send(source, target, lambda: group.request(target, action.request, reply))

    def _open_connection(self, entry: VirtualHost, action: OpenConnection) -> None:
        source, target = entry.host.name, action.server.name
        group = self.groups[self._group_of[target]]
        connection = Connection(target, group.group_name)
        entry.connections[action.connection_id] = connection

        def opened() -> None:
            if action.connection_id not in entry.connections or not entry.alive:
                return
            reachable = group.servers[target].alive and not group.servers[target].silent
            pid = group.open_session(target) if reachable else None
            if pid is None or self.network.is_cut(source, target):
                del entry.connections[action.connection_id]
                failed = ConnectionFailed(action.connection_id, at_connection_limit=reachable)
                self._dispatch(entry, failed)
                return
            connection.session_pid = pid
            self._dispatch(entry, ConnectionOpened(action.connection_id, pid))

        self.loop.after(CONNECT_MS + 2 * self.network.delay_ms(source, target), opened)

    def _close_connection(self, entry: VirtualHost, action: CloseConnection) -> None:
        connection = entry.connections.pop(action.connection_id, None)
        if connection is not None:
            self._drop_session(entry, connection)

    def _drop_session(self, entry: VirtualHost, connection: Connection) -> None:
        if connection.session_pid is None:
            return
        pid = connection.session_pid
        group, server = self.groups[connection.group], connection.server
        self.network.send(entry.host.name, server, lambda: group.close_session(server, pid))

    def _start_work(self, entry: VirtualHost, action: StartWork) -> None:
        source = entry.host.name
        connection = entry.connections.get(action.connection_id)
        if connection is None or connection.session_pid is None:
            never_sent = WorkFailed(WorkFailureKind.LOST, "The connection is closed.")
            self._finish_later(entry, action, never_sent)
            return
        group = self.groups[connection.group]
        connection.work_id = action.work_id
        server, pid = connection.server, connection.session_pid

        def reply(result: WorkResult) -> None:
            self.network.send(server, source, lambda: self._finish(entry, action, result))

        if not group.servers[server].alive and not self.network.is_cut(source, server):
            self._finish_later(entry, action, lost(action.work, commits=False))
            return
        self.network.send(source, server, lambda: group.run(server, pid, action.work, reply))
        commits = isinstance(action.work, WriteWork | CommitWork)
        timed_out = lost(action.work, commits)
        self.loop.after(action.timeout_ms, lambda: self._finish(entry, action, timed_out))

    def _finish_later(self, entry: VirtualHost, action: StartWork, result: WorkFailed) -> None:
        self.loop.after(1, lambda: self._finish(entry, action, result))

    def _finish(self, entry: VirtualHost, action: StartWork, result: WorkResult) -> None:
        connection = entry.connections.get(action.connection_id)
        is_current = connection is not None and connection.work_id == action.work_id
        if connection is not None and not is_current:
            return
        if connection is not None:
            connection.work_id = None
        if isinstance(result, WorkFailed) and result.kind is WorkFailureKind.LOST:
            self._close_connection(entry, CloseConnection(action.connection_id))
        event = WorkFinished(action.connection_id, action.work_id, result)
        self._dispatch(entry, event)
