"""Actions that a host core returns for its driver to carry out."""

from dataclasses import dataclass

from figcrank.protocol import (
    Decision,
    Failure,
    Gossip,
    OperatorReply,
    OwnedAnswer,
    PeerReply,
    PeerRequest,
    PlatformCall,
    ServerRequest,
    Work,
)
from figcrank.state import Host, Server, Session


@dataclass(frozen=True, slots=True)
class Respond:
    """Send an answer to a caller.

    :param session: session to use for the caller's next request.
    """

    call_id: int
    answer: OwnedAnswer
    session: Session


@dataclass(frozen=True, slots=True)
class Refuse:
    """Send a failure to a caller."""

    call_id: int
    failure: Failure


@dataclass(frozen=True, slots=True)
class RespondOperator:
    """Send a reply to an operator."""

    call_id: int
    reply: OperatorReply


@dataclass(frozen=True, slots=True)
class CallPeer:
    """Send a request to another host; answered by ``PeerReplied`` or ``PeerFailed``."""

    call_id: int
    host: Host
    request: PeerRequest
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class RespondPeer:
    """Send a reply to another host's request."""

    call_id: int
    reply: PeerReply


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a datagram without delivery guarantee.

    :param address: ``ip:port`` of the receiver.
    """

    address: str
    message: Gossip


@dataclass(frozen=True, slots=True)
class CallPlatform:
    """Call the platform; answered by ``PlatformReplied``."""

    call_id: int
    call: PlatformCall
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class CallServer:
    """Send a control request to a backend server; answered by ``ServerReplied``."""

    call_id: int
    server: Server
    request: ServerRequest
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection; answered by ``ConnectionOpened`` or ``ConnectionFailed``."""

    connection_id: int
    server: Server


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a connection immediately and abandon any work on it."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class StartWork:
    """Run work on an open connection; answered by ``WorkFinished``.

    :param timeout_ms: time after which the driver closes the connection and reports it lost.
    """

    connection_id: int
    work_id: int
    work: Work
    timeout_ms: int
    traceparent: str = ""


@dataclass(frozen=True, slots=True)
class RecordDecision:
    """Write an entry to the decision log."""

    decision: Decision


@dataclass(frozen=True, slots=True)
class CountMetric:
    """Add to a statsd counter."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class TimeMetric:
    """Send a statsd timing, in milliseconds."""

    name: str
    elapsed_ms: int


@dataclass(frozen=True, slots=True)
class RecordSpan:
    """Write a finished span.

    :param traceparent: W3C context of the parent span.
    :param name: span name.
    :param started_ms: start time on the core's clock.
    :param ended_ms: end time on the core's clock.
    :param attributes: ``(name, value)`` pairs.
    """

    traceparent: str
    name: str
    started_ms: int
    ended_ms: int
    attributes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class SetReady:
    """Set the readiness that ``/readyz`` reports to the load balancer."""

    ready: bool


@dataclass(frozen=True, slots=True)
class Stop:
    """Let the process exit; all work in progress has finished."""


Action = (
    Respond
    | Refuse
    | RespondOperator
    | CallPeer
    | RespondPeer
    | SendGossip
    | CallPlatform
    | CallServer
    | OpenConnection
    | CloseConnection
    | StartWork
    | RecordDecision
    | CountMetric
    | TimeMetric
    | RecordSpan
    | SetReady
    | Stop
)
