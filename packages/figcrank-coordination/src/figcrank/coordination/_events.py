"""Events that a driver passes to a host core.

The driver chooses the ``call_id`` of an event that starts a call. A reply carries the ``call_id``
of the action that it answers.
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
    """The tick interval has elapsed."""


@dataclass(frozen=True, slots=True)
class Credentials:
    """Credentials that a caller sent with a request.

    :param key: the caller's key, ``None`` if absent or malformed.
    :param session: the decoded session token, ``None`` if absent.
    """

    key: PresentedKey | None
    session: Session | None


@dataclass(frozen=True, slots=True)
class StatementsReceived:
    """A caller requests to run statements in one transaction.

    :param service: service name; empty on an open route.
    :param profile: profile name; empty on an open route.
    :param route: open route; empty for requests with a key.
    :param idempotency_key: caller's key that identifies retries of the request; empty if none.
    :param timeout_ms: timeout set by the caller, in milliseconds.
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
    """A caller requests one step of an interactive transaction.

    :param action: ``begin``, ``statements``, ``commit`` or ``rollback``.
    :param service: service name, for ``begin``.
    :param transaction: transaction id, for the other actions.
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
    """An authenticated operator sent a request."""

    call_id: int
    request: OperatorRequest


@dataclass(frozen=True, slots=True)
class PeerRequestReceived:
    """Another host sent a request over HTTP."""

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

    :param sent: whether the peer may have received the request.
    """

    call_id: int
    sent: bool


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A datagram with a valid signature arrived."""

    sender: str
    message: Gossip


@dataclass(frozen=True, slots=True)
class PlatformReplied:
    """A platform call was answered or failed."""

    call_id: int
    result: PlatformResult


@dataclass(frozen=True, slots=True)
class ServerReplied:
    """A control request to a backend server was answered or failed."""

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
    """A connection could not be opened, or was closed while idle.

    :param at_connection_limit: whether the server refused it because it is at its connection limit.
    """

    connection_id: int
    at_connection_limit: bool = False


@dataclass(frozen=True, slots=True)
class WorkFinished:
    """Work on a connection ended.

    :param work_id: id from ``StartWork``; the core ignores ids that it no longer expects.
    """

    connection_id: int
    work_id: int
    result: WorkResult


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process received a request for a graceful shutdown."""


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
