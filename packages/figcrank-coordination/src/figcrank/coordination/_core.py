"""The host core: dispatches events to the components that make one host's decisions."""

from collections.abc import Callable

from figcrank.coordination import _events as events
from figcrank.coordination._actions import Action, RespondOperator, RespondPeer, SetReady, Stop
from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.groups import GroupOwner
from figcrank.coordination.limits import Limiter
from figcrank.coordination.membership import Membership, Placement
from figcrank.coordination.requests import RequestHandler
from figcrank.protocol import (
    Accepted,
    Ack,
    ConfigList,
    ConfigPull,
    ConfigPush,
    DecisionList,
    Digest,
    DrainServer,
    EditObject,
    Explain,
    Failure,
    FailureKind,
    FleetStatus,
    GroupReport,
    HostStatus,
    ListConfig,
    OperatorFailure,
    OperatorReply,
    OwnedAnswer,
    OwnedFailure,
    OwnedRequest,
    Ping,
    PingRequest,
    SwitchPrimary,
    TransactionStep,
)
from figcrank.state import Host, RandomSource


class HostCore:
    """A deterministic state machine that takes events and the time and returns actions.

    :param settings: static settings of the host.
    :param random: random source; a fixed seed makes a run repeatable.
    """

    def __init__(self, settings: CoreSettings, random: RandomSource) -> None:
        self._settings = settings
        self._outbox = Outbox()
        self.membership = Membership(settings, self._outbox, random, self._digest, self._on_digest)
        self.configuration = Configuration(settings, self._outbox, self.membership, random)
        self.placement = Placement(settings, self.membership)
        self.limiter = Limiter(settings, self._outbox, self.placement, self.configuration)
        self.owners = {
            group.name: GroupOwner(settings, self._outbox, self.placement, group, random)
            for group in settings.groups
        }
        self.request_handler = RequestHandler(
            settings,
            self._outbox,
            self.membership,
            self.configuration,
            self.limiter,
            self.placement,
            self.owners,
            random,
        )
        self.configuration.add_withdrawal_listener(self._on_key_withdrawn)
        self._ready = False
        self._leaving = False
        self._stopped = False
        self._handlers: dict[type, Callable] = {
            events.Tick: self._on_tick,
            events.StatementsReceived: self._on_statements,
            events.TransactionReceived: self._on_transaction,
            events.OperatorReceived: self._on_operator,
            events.PeerRequestReceived: self._on_peer_request,
            events.PeerReplied: self._outbox.on_reply,
            events.PeerFailed: self._outbox.on_reply,
            events.PlatformReplied: self._outbox.on_reply,
            events.ServerReplied: self._outbox.on_reply,
            events.GossipReceived: self._on_gossip,
            events.ConnectionOpened: self._on_connection_opened,
            events.ConnectionFailed: self._on_connection_failed,
            events.WorkFinished: self._on_work_finished,
            events.LeaveRequested: self._on_leave,
        }

    def start(self, now_ms: int) -> tuple[Action, ...]:
        """Return the actions that start the host."""
        self.membership.start(now_ms)
        self.configuration.start(now_ms)
        return self._outbox.drain()

    def handle(self, event: events.Event, now_ms: int) -> tuple[Action, ...]:
        """Process one event at ``now_ms`` and return the resulting actions."""
        self._handlers[type(event)](event, now_ms)
        return self._outbox.drain()

    def _on_tick(self, event: events.Tick, now_ms: int) -> None:
        self._outbox.tick(now_ms)
        self.membership.tick(now_ms)
        self.configuration.tick(now_ms)
        self.limiter.tick(now_ms)
        for owner in self.owners.values():
            owner.tick(now_ms)
        self.request_handler.tick(now_ms)
        self._update_readiness(now_ms)
        self._stop_when_idle()

    def _update_readiness(self, now_ms: int) -> None:
        ready = not self._leaving and self.configuration.is_fresh(now_ms)
        if ready != self._ready:
            self._ready = ready
            self._outbox.emit(SetReady(ready))

    def _stop_when_idle(self) -> None:
        if not self._leaving or self._stopped or self.request_handler.unanswered:
            return
        if all(owner.is_idle() for owner in self.owners.values()):
            self._stopped = True
            self._outbox.emit(Stop())

    def _on_statements(self, event: events.StatementsReceived, now_ms: int) -> None:
        self.request_handler.on_statements(event, now_ms)

    def _on_transaction(self, event: events.TransactionReceived, now_ms: int) -> None:
        self.request_handler.on_transaction(event, now_ms)

    def _on_key_withdrawn(self, key_id: str, now_ms: int) -> None:
        self.request_handler.withdraw_key(key_id, now_ms)
        for owner in self.owners.values():
            owner.withdraw_key(key_id, now_ms)

    def _on_peer_request(self, event: events.PeerRequestReceived, now_ms: int) -> None:
        request = event.request
        if isinstance(request, ConfigPull):
            self._outbox.emit(RespondPeer(event.call_id, self.configuration.on_pull(request)))
            return
        owner = self.owners.get(request.group)
        send_reply = self._peer_responder(event.call_id)
        if owner is None:
            message = f"The group {request.group!r} is not configured on this host."
            send_reply(Failure.not_run(FailureKind.NO_OWNER, message), now_ms)
            return
        deadline_ms = now_ms + request.timeout_ms
        if isinstance(request, TransactionStep):
            owner.step(request, deadline_ms, now_ms, send_reply)
        elif isinstance(request, OwnedRequest):
            owner.submit(request, deadline_ms, now_ms, send_reply)

    def _peer_responder(self, call_id: int) -> Callable[[OwnedAnswer | Failure, int], None]:
        def send_reply(answer: OwnedAnswer | Failure, now_ms: int) -> None:
            reply = OwnedFailure(answer) if isinstance(answer, Failure) else answer
            self._outbox.emit(RespondPeer(call_id, reply))

        return send_reply

    def _on_gossip(self, event: events.GossipReceived, now_ms: int) -> None:
        message = event.message
        if isinstance(message, Ping | Ack | PingRequest):
            self.membership.on_gossip(event.sender, message, now_ms)
        elif isinstance(message, ConfigPush | ConfigPull):
            self.configuration.on_gossip(event.sender, message, now_ms)
        elif isinstance(message, GroupReport):
            if message.group in self.owners:
                self.owners[message.group].on_gossip(event.sender, message, now_ms)
        else:
            self.limiter.on_gossip(event.sender, message, now_ms)

    def _digest(self, now_ms: int) -> Digest:
        return self.configuration.digest(now_ms)

    def _on_digest(self, host: str, digest: Digest, now_ms: int) -> None:
        self.configuration.on_digest(host, digest, now_ms)

    def _on_connection_opened(self, event: events.ConnectionOpened, now_ms: int) -> None:
        any(owner.on_opened(event, now_ms) for owner in self.owners.values())

    def _on_connection_failed(self, event: events.ConnectionFailed, now_ms: int) -> None:
        any(owner.on_failed(event, now_ms) for owner in self.owners.values())

    def _on_work_finished(self, event: events.WorkFinished, now_ms: int) -> None:
        any(owner.on_finished(event, now_ms) for owner in self.owners.values())

    def _on_leave(self, event: events.LeaveRequested, now_ms: int) -> None:
        if self._leaving:
            return
        self._leaving = True
        self._update_readiness(now_ms)
        self.membership.leave(now_ms)
        self.limiter.leave(now_ms)
        for owner in self.owners.values():
            owner.leave(now_ms)
        host = self._settings.host.name
        self._outbox.record_decision(
            now_ms, "drain", host, "The process received a shutdown request."
        )

    def _on_operator(self, event: events.OperatorReceived, now_ms: int) -> None:
        def send_reply(reply: OperatorReply, at_ms: int) -> None:
            self._outbox.emit(RespondOperator(event.call_id, reply))

        if isinstance(event.request, EditObject):
            self.configuration.edit(event.request, now_ms, send_reply)
            return
        send_reply(self._operator_reply(event.request, now_ms), now_ms)

    def _operator_reply(self, request: object, now_ms: int) -> OperatorReply:
        if isinstance(request, ListConfig):
            return self._config_list(request)
        if isinstance(request, Explain):
            return DecisionList(self._outbox.decisions(request.subject))
        if isinstance(request, SwitchPrimary | DrainServer):
            return self._on_server_command(request, now_ms)
        return self._fleet_status(now_ms)

    def _config_list(self, request: ListConfig) -> ConfigList:
        snapshot = self.configuration.snapshot
        wanted = [
            o for o in snapshot.since(0) if not request.kind or o.object_id.kind == request.kind
        ]
        return ConfigList(snapshot.revision, tuple(wanted))

    def _on_server_command(
        self, request: SwitchPrimary | DrainServer, now_ms: int
    ) -> OperatorReply:
        owner = self.owners.get(request.group)
        if owner is None:
            message = f"The group {request.group!r} is not configured on this host."
            return OperatorFailure(Failure.not_run(FailureKind.BAD_REQUEST, message))
        if isinstance(request, DrainServer):
            return self._drain_server(owner, request, now_ms)
        failure = owner.switch(request.server, now_ms)
        if failure is not None:
            return OperatorFailure(failure)
        return Accepted(f"{request.group}: the primary is being switched.")

    def _drain_server(self, owner: GroupOwner, request: DrainServer, now_ms: int) -> OperatorReply:
        if not owner.has_server(request.server):
            message = f"The group {request.group!r} has no server {request.server!r}."
            return OperatorFailure(Failure.not_run(FailureKind.BAD_REQUEST, message))
        owner.drain_server(request.server, request.draining, now_ms)
        result_text = "receives no new work" if request.draining else "may receive work again"
        reason = f"Requested by an operator: the server {result_text}."
        kind = "drain" if request.draining else "restore"
        self._outbox.record_decision(now_ms, kind, request.server, reason, group=request.group)
        return Accepted(f"{request.server} {result_text}.")

    def _fleet_status(self, now_ms: int) -> FleetStatus:
        hosts = tuple(self._host_status(host) for host in self.membership.hosts())
        groups = tuple(owner.status(now_ms) for owner in self.owners.values())
        return FleetStatus(
            self._settings.host.name,
            self._ready,
            self.configuration.snapshot.revision,
            self.configuration.platform_reachable(),
            hosts,
            groups,
            self.limiter.statuses(now_ms),
        )

    def _host_status(self, host: Host) -> HostStatus:
        return HostStatus(
            host.name,
            host.availability_zone,
            self.membership.state(host.name),
            self.membership.incarnation(host.name),
            self.configuration.revision_of(host.name),
        )
