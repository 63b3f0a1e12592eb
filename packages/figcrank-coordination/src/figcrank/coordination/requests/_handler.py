"""Requests at the entry host: validation, admission, choice of an owner host, and the answer."""

from collections.abc import Callable, Mapping
from dataclasses import replace

import msgspec

from figcrank.coordination._actions import RecordSpan, Refuse, Respond
from figcrank.coordination._call import (
    RETRY_AFTER_MS,
    Call,
    deadline_failure,
    has_no_lasting_effect,
    with_uncertain_outcome,
)
from figcrank.coordination._events import (
    PeerFailed,
    StatementsReceived,
    TransactionReceived,
)
from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.groups import (
    GroupOwner,
    owner_host_of,
    owner_lost_failure,
    settlement_outcome,
    settling_request,
)
from figcrank.coordination.limits import Limiter
from figcrank.coordination.membership import Membership, Placement
from figcrank.coordination.requests._validator import RequestValidator
from figcrank.protocol import (
    Failure,
    FailureKind,
    OwnedAnswer,
    OwnedFailure,
    PeerReply,
    TransactionStep,
)
from figcrank.state import (
    Host,
    HostState,
    RandomSource,
)

# Subtracted from a forwarded request's timeout so that the answer still reaches the caller.
FORWARD_MARGIN_MS = 5
MAX_OWNERS_TRIED = 3
_RETRY_ELSEWHERE = frozenset({FailureKind.NO_OWNER, FailureKind.LEAVING})


class RequestHandler:
    """Handles callers' requests and answers each exactly once.

    :param settings: static settings of this host.
    :param outbox: sends requests, responses and decisions.
    :param membership: the live hosts.
    :param configuration: configuration in force.
    :param limiter: admits requests within the rate limit of their workspace.
    :param placement: provides the owner hosts of a group.
    :param owners: this host's :class:`GroupOwner` of each group, by group name.
    :param random: random source for request ids.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        membership: Membership,
        configuration: Configuration,
        limiter: Limiter,
        placement: Placement,
        owners: Mapping[str, GroupOwner],
        random: RandomSource,
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._membership = membership
        self._limiter = limiter
        self._placement = placement
        self._owners = owners
        self._validator = RequestValidator(settings, configuration, owners, random)
        self._unanswered: dict[int, Call] = {}

    @property
    def unanswered(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._unanswered)

    def on_statements(self, event: StatementsReceived, now_ms: int) -> None:
        """Handle a request to run statements."""
        call = self._validator.validate_statements(event, now_ms)
        self._begin(event.call_id, call, now_ms)

    def on_transaction(self, event: TransactionReceived, now_ms: int) -> None:
        """Handle a step of a transaction."""
        call = self._validator.validate_step(event, now_ms)
        self._begin(event.call_id, call, now_ms)

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """Refuse the requests of a withdrawn key that have not been sent to an owner host."""
        for call in list(self._unanswered.values()):
            if call.request.key_id == key_id and not call.owners_tried:
                failure = Failure.not_run(FailureKind.BAD_KEY, "The key was withdrawn.")
                self._finish(call, failure, now_ms)

    def tick(self, now_ms: int) -> None:
        """Fail requests whose deadline has passed and retry those sent to dead hosts."""
        expired = [call for call in self._unanswered.values() if call.deadline_ms <= now_ms]
        for call in expired:
            self._finish(call, deadline_failure(call), now_ms)
        for call in self._calls_at_dead_hosts():
            self._on_peer_lost(call, PeerFailed(0, sent=True), now_ms)

    def _calls_at_dead_hosts(self) -> list[Call]:
        """Return the calls whose latest owner host the membership lists as dead."""
        targets = {call.owners_tried[-1] for call in self._unanswered.values() if call.owners_tried}
        dead = {name for name in targets if self._membership.state(name) is HostState.DEAD}
        if not dead:
            return []
        return [
            call
            for call in self._unanswered.values()
            if call.owners_tried and call.owners_tried[-1] in dead
        ]

    def _begin(self, call_id: int, call: Call | Failure, now_ms: int) -> None:
        if isinstance(call, Failure):
            self._outbox.record_decision(
                now_ms, "refusal", str(call_id), call.message, failure=call.kind
            )
            self._outbox.emit(Refuse(call_id, call))
            return
        self._unanswered[call_id] = call
        if isinstance(call.request, TransactionStep) and call.request.action != "begin":
            self._dispatch(call, now_ms)
            return
        admitted = self._make_admission_callback(call, self._dispatch)
        self._limiter.admit(call.workspace, call.deadline_ms, now_ms, admitted)

    def _make_admission_callback(
        self, call: Call, proceed: Callable[[Call, int], None]
    ) -> Callable[[Failure | None, int], None]:
        """Return a callback for the limiter that ignores calls already answered."""

        def on_admission(failure: Failure | None, now_ms: int) -> None:
            if call.call_id not in self._unanswered:
                return
            if failure is None:
                proceed(call, now_ms)
            else:
                self._finish(call, failure, now_ms)

        return on_admission

    # Dispatch to an owner host

    def _dispatch(self, call: Call, now_ms: int) -> None:
        host = self._owner_for(call)
        if host is None and isinstance(call.request, TransactionStep) and call.request.transaction:
            self._on_owner_lost(call, now_ms)
            return
        if host is None:
            message = "No owner host of the database group can be reached."
            failure = Failure.not_run(FailureKind.NO_OWNER, message, RETRY_AFTER_MS)
            self._finish(call, failure, now_ms)
            return
        call = replace(call, owners_tried=(*call.owners_tried, host.name))
        self._unanswered[call.call_id] = call
        if host.name == self._settings.host.name:
            self._run_locally(call, now_ms)
            return
        self._forward(call, host, now_ms)

    def _owner_for(self, call: Call) -> Host | None:
        if isinstance(call.request, TransactionStep) and call.request.transaction:
            return self._membership.host(owner_host_of(call.request.transaction))
        owners = self._placement.owners(call.request.group)
        zone = self._settings.host.availability_zone
        local_first = sorted(owners, key=lambda host: host.availability_zone != zone)
        untried = [host for host in local_first if host.name not in call.owners_tried]
        return untried[0] if untried else None

    def _run_locally(self, call: Call, now_ms: int) -> None:
        owner = self._owners[call.request.group]

        def answered(answer: OwnedAnswer | Failure, at_ms: int) -> None:
            self._on_answer(call, answer, at_ms)

        if isinstance(call.request, TransactionStep):
            owner.step(call.request, call.deadline_ms, now_ms, answered)
        else:
            owner.submit(call.request, call.deadline_ms, now_ms, answered)

    def _forward(self, call: Call, host: Host, now_ms: int) -> None:
        timeout_ms = max(1, call.remaining_ms(now_ms) - FORWARD_MARGIN_MS)
        request = msgspec.structs.replace(call.request, timeout_ms=timeout_ms)

        def replied(reply: PeerReply | PeerFailed, at_ms: int) -> None:
            if isinstance(reply, OwnedAnswer):
                self._on_answer(call, reply, at_ms)
            elif isinstance(reply, OwnedFailure):
                self._on_answer(call, reply.failure, at_ms)
            elif isinstance(reply, PeerFailed):
                self._on_peer_lost(call, reply, at_ms)

        self._outbox.call_peer(host, request, timeout_ms, now_ms, replied)

    def _on_answer(self, call: Call, answer: OwnedAnswer | Failure, now_ms: int) -> None:
        if call.call_id not in self._unanswered:
            return
        if isinstance(answer, Failure) and not self._is_latest(call):
            return
        if (
            isinstance(answer, Failure)
            and answer.kind in _RETRY_ELSEWHERE
            and self._may_retry(call)
        ):
            self._dispatch(call, now_ms)
            return
        if isinstance(answer, OwnedAnswer) and call.is_settling:
            self._finish(replace(call, may_have_run=False), settlement_outcome(answer), now_ms)
            return
        self._finish(call, answer, now_ms)

    def _on_peer_lost(self, call: Call, failed: PeerFailed, now_ms: int) -> None:
        """Retry at another owner host; the request's record prevents a second commit."""
        if not self._is_latest(call):
            return
        call = replace(call, may_have_run=call.may_have_run or failed.sent)
        if isinstance(call.request, TransactionStep) and call.request.transaction:
            self._on_owner_lost(call, now_ms)
            return
        if self._may_retry(call) and call.remaining_ms(now_ms) > FORWARD_MARGIN_MS:
            self._dispatch(call, now_ms)
            return
        if not has_no_lasting_effect(call.request) and (failed.sent or len(call.owners_tried) > 1):
            failure = Failure.unknown("The owner host was lost before it answered.")
        else:
            message = "No owner host answered in time."
            failure = Failure.not_run(FailureKind.NO_OWNER, message, RETRY_AFTER_MS)
        self._finish(call, failure, now_ms)

    def _on_owner_lost(self, call: Call, now_ms: int) -> None:
        """Answer a step whose owner host was lost; a commit is settled through another owner."""
        if call.request.action != "commit":
            self._finish(call, owner_lost_failure(), now_ms)
            return
        self._outbox.record_decision(
            now_ms,
            "settlement",
            call.request.transaction,
            "The owner host was lost, so that the commit's record decides.",
        )
        call = replace(call, request=settling_request(call.request), owners_tried=())
        self._unanswered[call.call_id] = call
        admitted = self._make_admission_callback(call, self._dispatch)
        self._limiter.admit(call.workspace, call.deadline_ms, now_ms, admitted)

    def _is_latest(self, call: Call) -> bool:
        """Return whether ``call`` is the latest attempt of a request that is still unanswered.

        A failure of an earlier attempt does not determine the outcome of the current one.
        """
        current = self._unanswered.get(call.call_id)
        return current is not None and current.owners_tried == call.owners_tried

    def _may_retry(self, call: Call) -> bool:
        if isinstance(call.request, TransactionStep) and call.request.transaction:
            return False
        return len(call.owners_tried) < MAX_OWNERS_TRIED and self._owner_for(call) is not None

    def _finish(self, call: Call, answer: OwnedAnswer | Failure, now_ms: int) -> None:
        if self._unanswered.pop(call.call_id, None) is None:
            return
        outcome = "answered"
        if isinstance(answer, Failure):
            answer = with_uncertain_outcome(call, answer)
            outcome = str(answer.kind)
            subject = call.request.request_id
            self._outbox.record_decision(
                now_ms, "refusal", subject, answer.message, failure=answer.kind
            )
            self._outbox.emit(Refuse(call.call_id, answer))
        else:
            session = call.session.advanced(answer.group, answer.position)
            self._outbox.emit(Respond(call.call_id, answer, session))
        attributes = (("workspace", call.workspace.name), ("outcome", outcome))
        trace = call.request.traceparent
        self._outbox.emit(RecordSpan(trace, "entry", call.started_ms, now_ms, attributes))
