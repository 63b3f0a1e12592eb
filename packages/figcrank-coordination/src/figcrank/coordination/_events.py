"""Everything that can happen to a host core.

``call_id`` of an event that starts a call is chosen by the driver; ``call_id`` of a reply is the
one of the action that it answers.
"""

from dataclasses import dataclass

from figcrank.protocol import (
    Gossip,
    OperatorRequest,
    PeerReply,
    PeerRequest,
    PlatformResult,
    ServerReply,
    Statement,
    StatementsBody,
    WorkResult,
)
from figcrank.state import PresentedKey, Session


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Credentials:
    """What a caller presented.

    :param key: the caller's key, ``None`` if absent or malformed.
    :param session: the decoded session token, ``None`` if absent.
    """

    key: PresentedKey | None
    session: Session | None


@dataclass(frozen=True, slots=True)
class StatementsReceived:
    """A caller asks to run statements in one transaction.

    :param service: service name; empty on an open route.
    :param profile: profile name; empty on an open route.
    :param route: open route, empty for requests with a key.
    :param idempotency_key: caller's key for repetition, empty if none.
    :param timeout_ms: time that the caller gives, in milliseconds.
    :param traceparent: W3C trace context of the entry span.
    """

    call_id: int
    credentials: Credentials
    service: str
    profile: str
    body: StatementsBody
    timeout_ms: int
    route: str = ""
    idempotency_key: str = ""
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class TransactionReceived:
    """A caller takes a step of a transaction.

    :param action: ``begin``, ``statements``, ``commit`` or ``rollback``.
    :param service: service name, for ``begin``.
    :param transaction: transaction id, for the other steps.
    """

    call_id: int
    credentials: Credentials
    action: str
    timeout_ms: int
    service: str = ""
    transaction: str = ""
    statements: tuple[Statement, ...] = ()
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class OperatorReceived:
    """An authenticated operator asks for something."""

    call_id: int
    request: OperatorRequest


@dataclass(frozen=True, slots=True)
class PeerRequestReceived:
    """Another host asks for something over HTTP."""

    call_id: int
    sender: str
    request: PeerRequest


@dataclass(frozen=True, slots=True)
class PeerReplied:
    """A peer answered a request."""

    call_id: int
    reply: PeerReply


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """A peer did not answer.

    :param sent: whether the peer may have got the request.
    """

    call_id: int
    sent: bool


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """An authentic datagram arrived."""

    sender: str
    message: Gossip


@dataclass(frozen=True, slots=True)
class PlatformReplied:
    """The platform answered, or failed to."""

    call_id: int
    result: PlatformResult


@dataclass(frozen=True, slots=True)
class ServerReplied:
    """A backend server answered a control request, or failed to."""

    call_id: int
    reply: ServerReply


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection to a backend server is ready.

    :param session_pid: process id of the backend session.
    """

    connection_id: int
    session_pid: int


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """A connection could not be opened, or closed while idle.

    :param refused_full: whether the server is at its connection limit.
    """

    connection_id: int
    refused_full: bool = False


@dataclass(frozen=True, slots=True)
class WorkFinished:
    """Work on a connection ended.

    :param work_id: id given with the work; the core drops an id that it no longer expects.
    """

    connection_id: int
    work_id: int
    result: WorkResult


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process was asked to shut down gracefully."""


Event = (
    Tick
    | StatementsReceived
    | TransactionReceived
    | OperatorReceived
    | PeerRequestReceived
    | PeerReplied
    | PeerFailed
    | GossipReceived
    | PlatformReplied
    | ServerReplied
    | ConnectionOpened
    | ConnectionFailed
    | WorkFinished
    | LeaveRequested
)
