"""Requests at the host that their callers reached: checks, admission, owner and answer."""

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import msgspec

from figcrank.coordination._actions import RecordSpan, Refuse, Respond
from figcrank.coordination._configuration import Configuration
from figcrank.coordination._events import (
    Credentials,
    PeerFailed,
    StatementsReceived,
    TransactionReceived,
)
from figcrank.coordination._limits import Limiter
from figcrank.coordination._lost_commits import lost_transaction, settled, settling_request
from figcrank.coordination._membership import Membership
from figcrank.coordination._owner import GroupOwner
from figcrank.coordination._placement import Placement
from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.protocol import (
    Failure,
    FailureKind,
    Outcome,
    OwnedAnswer,
    OwnedFailure,
    OwnedRequest,
    PeerReply,
    TransactionStep,
    is_read,
)
from figcrank.state import (
    Host,
    HostState,
    Key,
    Profile,
    ProfileMode,
    RandomSource,
    Route,
    Service,
    Session,
    Workspace,
)

RETRY_AFTER_MS = 200
# Time kept back from a forwarded request so that its answer still reaches the caller.
FORWARD_MARGIN_MS = 5
MAX_ATTEMPTS = 3
_ELSEWHERE = frozenset({FailureKind.NO_OWNER, FailureKind.LEAVING})


@dataclass(frozen=True, slots=True)
class _Call:
    """A caller's request that has passed its checks.

    :param tried: owner hosts that it was given to, the latest last.
    :param may_have_run: whether one of them was lost after it had got the request.
    """

    call_id: int
    session: Session
    request: OwnedRequest | TransactionStep
    workspace: Workspace
    started_ms: int
    deadline_ms: int
    tried: tuple[str, ...] = ()
    may_have_run: bool = False

    @property
    def is_settling(self) -> bool:
        """Return whether it asks for the outcome of a lost commit."""
        return isinstance(self.request, OwnedRequest) and self.request.settles

    def left_ms(self, now_ms: int) -> int:
        """Return the time left, in milliseconds."""
        return self.deadline_ms - now_ms


class Entry:
    """Takes callers' requests and answers each exactly once.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param membership: the live hosts.
    :param configuration: configuration in force.
    :param limiter: admission by workspace.
    :param placement: tells the owners of a group.
    :param owners: the local side of every group.
    :param random: random source for request ids.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        membership: Membership,
        configuration: Configuration,
        limiter: Limiter,
        placement: Placement,
        owners: Mapping[str, GroupOwner],
        random: RandomSource,
    ) -> None:
        self._settings = settings
        self._port = port
        self._membership = membership
        self._configuration = configuration
        self._limiter = limiter
        self._placement = placement
        self._owners = owners
        self._random = random
        self._in_hand: dict[int, _Call] = {}

    @property
    def in_hand(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self._in_hand)

    def on_statements(self, event: StatementsReceived, now_ms: int) -> None:
        """Take a request to run statements."""
        call = self._checked_statements(event, now_ms)
        self._begin(event.call_id, call, now_ms)

    def on_transaction(self, event: TransactionReceived, now_ms: int) -> None:
        """Take a step of a transaction."""
        call = self._checked_step(event, now_ms)
        self._begin(event.call_id, call, now_ms)

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """Refuse the requests of a withdrawn key that have not left this host."""
        for call in list(self._in_hand.values()):
            if call.request.key_id == key_id and not call.tried:
                failure = Failure.not_run(FailureKind.BAD_KEY, "The key was withdrawn.")
                self._finish(call, failure, now_ms)

    def tick(self, now_ms: int) -> None:
        """Give up on requests whose time has passed."""
        late = [call for call in self._in_hand.values() if call.deadline_ms <= now_ms]
        for call in late:
            self._finish(call, _too_late(call), now_ms)
        for call in self._at_dead_hosts():
            self._on_peer_lost(call, PeerFailed(0, sent=True), now_ms)

    def _at_dead_hosts(self) -> list[_Call]:
        """Return the calls whose latest owner host is believed to be dead."""
        targets = {call.tried[-1] for call in self._in_hand.values() if call.tried}
        dead = {name for name in targets if self._membership.state(name) is HostState.DEAD}
        if not dead:
            return []
        return [call for call in self._in_hand.values() if call.tried and call.tried[-1] in dead]

    def _begin(self, call_id: int, call: _Call | Failure, now_ms: int) -> None:
        if isinstance(call, Failure):
            self._port.decide(now_ms, "refusal", str(call_id), call.message, failure=call.kind)
            self._port.emit(Refuse(call_id, call))
            return
        self._in_hand[call_id] = call
        if isinstance(call.request, TransactionStep) and call.request.action != "begin":
            self._dispatch(call, now_ms)
            return
        admitted = self._when_open(call, self._dispatch)
        self._limiter.admit(call.workspace, call.deadline_ms, now_ms, admitted)

    def _when_open(
        self, call: _Call, proceed: Callable[[_Call, int], None]
    ) -> Callable[[Failure | None, int], None]:
        """Return a call-back for the limiter that drops calls answered meanwhile."""

        def decided(failure: Failure | None, now_ms: int) -> None:
            if call.call_id not in self._in_hand:
                return
            if failure is None:
                proceed(call, now_ms)
            else:
                self._finish(call, failure, now_ms)

        return decided

    # Checks

    def _checked_statements(self, event: StatementsReceived, now_ms: int) -> _Call | Failure:
        if event.route:
            return self._checked_open(event, now_ms)
        key = self._authenticated(event.credentials, now_ms)
        if isinstance(key, Failure):
            return key
        profile = self._configuration.snapshot.find("profile", event.profile)
        if not isinstance(profile, Profile):
            return _unknown(FailureKind.UNKNOWN_PROFILE, "profile", event.profile)
        return self._call_for(event, event.service, profile, key.workspace, key.key_id, now_ms)

    def _checked_open(self, event: StatementsReceived, now_ms: int) -> _Call | Failure:
        route = self._configuration.snapshot.find("route", event.route)
        if not isinstance(route, Route):
            return _unknown(FailureKind.UNKNOWN_ROUTE, "route", event.route)
        if any(statement.sql != route.sql for statement in event.body.statements):
            message = f"The open route {route.name} does not admit this statement."
            return Failure.not_run(FailureKind.FOREIGN_WORKSPACE, message)
        profile = self._configuration.snapshot.find("profile", route.profile)
        if not isinstance(profile, Profile) or profile.mode is ProfileMode.WRITE:
            return _unknown(FailureKind.UNKNOWN_PROFILE, "read profile", route.profile)
        return self._call_for(event, route.service, profile, route.workspace, "", now_ms)

    def _authenticated(self, credentials: Credentials, now_ms: int) -> Key | Failure:
        if not self._configuration.is_fresh(now_ms):
            message = "This host has not heard of configuration changes for too long."
            return Failure.not_run(FailureKind.STALE_CONFIG, message, RETRY_AFTER_MS)
        return self._configuration.authenticate(credentials.key)

    def _call_for(
        self,
        event: StatementsReceived,
        service_name: str,
        profile: Profile,
        workspace_name: str,
        key_id: str,
        now_ms: int,
    ) -> _Call | Failure:
        parts = self._resolved(event.credentials, service_name, workspace_name)
        if isinstance(parts, Failure):
            return parts
        service, workspace, session = parts
        statements = event.body.statements
        if not statements:
            return Failure.not_run(FailureKind.BAD_REQUEST, "There are no statements.")
        reads = all(is_read(statement) for statement in statements)
        if not reads and profile.mode is not ProfileMode.WRITE:
            message = f"The profile {profile.name} only permits reads."
            return Failure.not_run(FailureKind.WRITE_IN_READ_PROFILE, message)
        request = OwnedRequest(
            self._request_id(workspace.name, event.idempotency_key),
            workspace.name,
            key_id,
            service.group,
            profile,
            statements,
            session.position_in(service.group),
            event.body.repeatable or reads,
            event.timeout_ms,
            workspace.rate_per_s,
            event.traceparent,
        )
        deadline_ms = now_ms + event.timeout_ms
        return _Call(event.call_id, session, request, workspace, now_ms, deadline_ms)

    def _resolved(
        self, credentials: Credentials, service_name: str, workspace_name: str
    ) -> tuple[Service, Workspace, Session] | Failure:
        service = self._configuration.snapshot.find("service", service_name)
        if not isinstance(service, Service) or service.group not in self._owners:
            return _unknown(FailureKind.UNKNOWN_SERVICE, "service", service_name)
        workspace = self._configuration.workspace(workspace_name)
        if workspace is None:
            return _no_workspace()
        session = _session_for(workspace, credentials)
        if isinstance(session, Failure):
            return session
        return service, workspace, session

    def _checked_step(self, event: TransactionReceived, now_ms: int) -> _Call | Failure:
        key = self._authenticated(event.credentials, now_ms)
        if isinstance(key, Failure):
            return key
        workspace = self._configuration.workspace(key.workspace)
        if workspace is None:
            return _no_workspace()
        session = _session_for(workspace, event.credentials)
        if isinstance(session, Failure):
            return session
        group = self._group_of_step(event)
        if isinstance(group, Failure):
            return group
        step = TransactionStep(
            self._request_id(workspace.name, ""),
            event.transaction,
            event.action,
            workspace.name,
            key.key_id,
            group,
            event.statements,
            event.timeout_ms,
            workspace.rate_per_s,
            event.traceparent,
        )
        deadline_ms = now_ms + event.timeout_ms
        return _Call(event.call_id, session, step, workspace, now_ms, deadline_ms)

    def _group_of_step(self, event: TransactionReceived) -> str | Failure:
        if event.action == "begin":
            service = self._configuration.snapshot.find("service", event.service)
            if isinstance(service, Service) and service.group in self._owners:
                return service.group
            return _unknown(FailureKind.UNKNOWN_SERVICE, "service", event.service)
        group = _group_of(event.transaction)
        if group not in self._owners:
            return _unknown(FailureKind.UNKNOWN_TRANSACTION, "transaction", event.transaction)
        return group

    def _request_id(self, workspace: str, idempotency_key: str) -> str:
        if idempotency_key:
            digest = hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]
            return f"{workspace}/{digest}"
        return f"{self._settings.host.name}/{self._random.getrandbits(96):024x}"

    # Dispatch to an owner host

    def _dispatch(self, call: _Call, now_ms: int) -> None:
        host = self._owner_for(call)
        if host is None and isinstance(call.request, TransactionStep) and call.request.transaction:
            self._on_owner_lost(call, now_ms)
            return
        if host is None:
            message = "No owner host of the database group can be reached."
            failure = Failure.not_run(FailureKind.NO_OWNER, message, RETRY_AFTER_MS)
            self._finish(call, failure, now_ms)
            return
        call = replace(call, tried=(*call.tried, host.name))
        self._in_hand[call.call_id] = call
        if host.name == self._settings.host.name:
            self._run_here(call, now_ms)
            return
        self._forward(call, host, now_ms)

    def _owner_for(self, call: _Call) -> Host | None:
        if isinstance(call.request, TransactionStep) and call.request.transaction:
            return self._membership.host(_host_of(call.request.transaction))
        owners = self._placement.owners(call.request.group)
        zone = self._settings.host.availability_zone
        local_first = sorted(owners, key=lambda host: host.availability_zone != zone)
        untried = [host for host in local_first if host.name not in call.tried]
        return untried[0] if untried else None

    def _run_here(self, call: _Call, now_ms: int) -> None:
        owner = self._owners[call.request.group]

        def answered(answer: OwnedAnswer | Failure, at_ms: int) -> None:
            self._on_answer(call, answer, at_ms)

        if isinstance(call.request, TransactionStep):
            owner.step(call.request, call.deadline_ms, now_ms, answered)
        else:
            owner.submit(call.request, call.deadline_ms, now_ms, answered)

    def _forward(self, call: _Call, host: Host, now_ms: int) -> None:
        timeout_ms = max(1, call.left_ms(now_ms) - FORWARD_MARGIN_MS)
        request = msgspec.structs.replace(call.request, timeout_ms=timeout_ms)

        def replied(reply: PeerReply | PeerFailed, at_ms: int) -> None:
            if isinstance(reply, OwnedAnswer):
                self._on_answer(call, reply, at_ms)
            elif isinstance(reply, OwnedFailure):
                self._on_answer(call, reply.failure, at_ms)
            elif isinstance(reply, PeerFailed):
                self._on_peer_lost(call, reply, at_ms)

        self._port.call_peer(host, request, timeout_ms, now_ms, replied)

    def _on_answer(self, call: _Call, answer: OwnedAnswer | Failure, now_ms: int) -> None:
        if call.call_id not in self._in_hand:
            return
        if isinstance(answer, Failure) and not self._is_latest(call):
            return
        if isinstance(answer, Failure) and answer.kind in _ELSEWHERE and self._may_retry(call):
            self._dispatch(call, now_ms)
            return
        if isinstance(answer, OwnedAnswer) and call.is_settling:
            self._finish(replace(call, may_have_run=False), settled(answer), now_ms)
            return
        self._finish(call, answer, now_ms)

    def _on_peer_lost(self, call: _Call, failed: PeerFailed, now_ms: int) -> None:
        """Try another owner; the request's record makes a second commit impossible."""
        if not self._is_latest(call):
            return
        call = replace(call, may_have_run=call.may_have_run or failed.sent)
        if isinstance(call.request, TransactionStep) and call.request.transaction:
            self._on_owner_lost(call, now_ms)
            return
        if self._may_retry(call) and call.left_ms(now_ms) > FORWARD_MARGIN_MS:
            self._dispatch(call, now_ms)
            return
        if not _is_harmless(call.request) and (failed.sent or len(call.tried) > 1):
            failure = Failure.unknown("The owner host was lost before it answered.")
        else:
            message = "No owner host answered in time."
            failure = Failure.not_run(FailureKind.NO_OWNER, message, RETRY_AFTER_MS)
        self._finish(call, failure, now_ms)

    def _on_owner_lost(self, call: _Call, now_ms: int) -> None:
        """Answer a transaction step whose owner host is gone; settle it if it is a commit."""
        if call.request.action != "commit":
            self._finish(call, lost_transaction(), now_ms)
            return
        self._port.decide(
            now_ms,
            "settlement",
            call.request.transaction,
            "The owner host was lost, so that the commit's record decides.",
        )
        call = replace(call, request=settling_request(call.request), tried=())
        self._in_hand[call.call_id] = call
        admitted = self._when_open(call, self._dispatch)
        self._limiter.admit(call.workspace, call.deadline_ms, now_ms, admitted)

    def _is_latest(self, call: _Call) -> bool:
        """Return whether ``call`` is the newest attempt of a request that is still open.

        A failure of an earlier attempt says nothing about the attempt under way.
        """
        current = self._in_hand.get(call.call_id)
        return current is not None and current.tried == call.tried

    def _may_retry(self, call: _Call) -> bool:
        if isinstance(call.request, TransactionStep) and call.request.transaction:
            return False
        return len(call.tried) < MAX_ATTEMPTS and self._owner_for(call) is not None

    def _finish(self, call: _Call, answer: OwnedAnswer | Failure, now_ms: int) -> None:
        if self._in_hand.pop(call.call_id, None) is None:
            return
        outcome = "answered"
        if isinstance(answer, Failure):
            answer = _as_certain(call, answer)
            outcome = str(answer.kind)
            subject = call.request.request_id
            self._port.decide(now_ms, "refusal", subject, answer.message, failure=answer.kind)
            self._port.emit(Refuse(call.call_id, answer))
        else:
            session = call.session.advanced(answer.group, answer.position)
            self._port.emit(Respond(call.call_id, answer, session))
        attributes = (("workspace", call.workspace.name), ("outcome", outcome))
        trace = call.request.traceparent
        self._port.emit(RecordSpan(trace, "entry", call.started_ms, now_ms, attributes))


def _host_of(transaction: str) -> str:
    return transaction.split("~")[0]


def _group_of(transaction: str) -> str:
    parts = transaction.split("~")
    return parts[1] if len(parts) == 3 else ""


def _session_for(workspace: Workspace, credentials: Credentials) -> Session | Failure:
    session = credentials.session or Session(workspace.name)
    if session.workspace == workspace.name:
        return session
    message = "The session token belongs to another workspace."
    return Failure.not_run(FailureKind.BAD_SESSION, message)


def _no_workspace() -> Failure:
    return Failure.not_run(FailureKind.BAD_KEY, "The key's workspace no longer exists.")


def _unknown(kind: FailureKind, what: str, name: str) -> Failure:
    return Failure.not_run(kind, f"There is no {what} {name!r}.")


def _too_late(call: _Call) -> Failure:
    if call.tried and not _is_harmless(call.request):
        return Failure.unknown("The request's time passed before its outcome was known.")
    message = "The request's time passed before it could run."
    return Failure.not_run(FailureKind.HELD_TOO_LONG, message, RETRY_AFTER_MS)


def _as_certain(call: _Call, failure: Failure) -> Failure:
    """Return a failure that claims no more than is certain after every owner host tried."""
    if failure.outcome is not Outcome.NOT_RUN or not call.may_have_run:
        return failure
    if _is_harmless(call.request):
        return failure
    message = "An owner host was lost before it answered."
    return Failure.unknown(message, failure.retry_after_ms)


def _is_harmless(request: OwnedRequest | TransactionStep) -> bool:
    if isinstance(request, TransactionStep):
        return request.action != "commit"
    return not request.settles and all(is_read(statement) for statement in request.statements)
