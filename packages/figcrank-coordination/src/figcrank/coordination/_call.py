"""A caller's request in progress, and the outcome to report when it fails."""

from dataclasses import dataclass

from figcrank.protocol import (
    Failure,
    FailureKind,
    Outcome,
    OwnedRequest,
    TransactionStep,
    is_read,
)
from figcrank.state import Session, Workspace

RETRY_AFTER_MS = 200


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request that has been validated.

    :param owners_tried: names of the owner hosts that the request was sent to, most recent last.
    :param may_have_run: whether one of them became unreachable after it received the request.
    """

    call_id: int
    session: Session
    request: OwnedRequest | TransactionStep
    workspace: Workspace
    started_ms: int
    deadline_ms: int
    owners_tried: tuple[str, ...] = ()
    may_have_run: bool = False

    @property
    def is_settling(self) -> bool:
        """Return whether the request looks up the outcome of a commit whose answer was lost."""
        return isinstance(self.request, OwnedRequest) and self.request.settles

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time until the deadline, in milliseconds."""
        return self.deadline_ms - now_ms


def deadline_failure(call: Call) -> Failure:
    """Return the failure for a request that has passed its deadline."""
    if call.owners_tried and not has_no_lasting_effect(call.request):
        return Failure.unknown("The request timed out before its outcome was known.")
    message = "The request timed out before it could run."
    return Failure.not_run(FailureKind.HELD_TOO_LONG, message, RETRY_AFTER_MS)


def with_uncertain_outcome(call: Call, failure: Failure) -> Failure:
    """Return ``failure``, with an unknown outcome if an earlier attempt may have run."""
    if failure.outcome is not Outcome.NOT_RUN or not call.may_have_run:
        return failure
    if has_no_lasting_effect(call.request):
        return failure
    message = "An owner host became unreachable before it answered."
    return Failure.unknown(message, failure.retry_after_ms)


def has_no_lasting_effect(request: OwnedRequest | TransactionStep) -> bool:
    """Return whether a request has no lasting effect, so that its outcome need not be known."""
    if isinstance(request, TransactionStep):
        return request.action != "commit"
    return not request.settles and all(is_read(statement) for statement in request.statements)
