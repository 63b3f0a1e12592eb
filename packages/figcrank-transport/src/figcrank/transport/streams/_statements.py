"""A statement to run on a backend server, and the answer to it."""

from dataclasses import dataclass, field

from figcrank.coordination.admission import StageTimes
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.sessions import Request, SessionFailure
from figcrank.state._positions import Position

# Told to a statement or transaction that arrived under a workspace which no longer holds its key.
WORKSPACE_LEFT = "the key no longer belongs to the workspace"


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement to run.

    :param request: the caller's request.
    :param is_write: whether it changes data.
    :param definition: definition of the prepared statement to execute, ``None`` if not prepared.
    """

    request: Request
    is_write: bool
    definition: str | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a statement.

    :param payload: server reply to forward; empty if this host answers itself.
    :param failure: ``None`` on success.
    :param detail: reason for a failure.
    :param tries: number of attempts.
    :param server_id: server that was used last.
    :param took_ms: time since the request was received.
    :param required: minimum position required of a replica.
    :param refusal: why nothing has run if this host refuses the statement itself.
    :param form: form of the operation: ``read``, ``write`` or ``transaction``.
    :param stages: where the time went.
    """

    payload: bytes
    failure: SessionFailure | None = None
    detail: str = ""
    tries: int = 0
    server_id: str = ""
    took_ms: int = 0
    required: Position | None = None
    refusal: RefusalReason | None = None
    form: str = ""
    stages: StageTimes = field(default_factory=StageTimes)
