"""Outgoing actions of a host core, and callbacks for the replies to its calls."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from figcrank.coordination._actions import (
    Action,
    CallPeer,
    CallPlatform,
    CallServer,
    RecordDecision,
    SendGossip,
)
from figcrank.coordination._events import PeerFailed, PeerReplied, PlatformReplied, ServerReplied
from figcrank.protocol import (
    Decision,
    Gossip,
    PeerReply,
    PeerRequest,
    PlatformCall,
    PlatformFailed,
    PlatformResult,
    ServerFailure,
    ServerFailureKind,
    ServerReply,
    ServerRequest,
)
from figcrank.state import Host, Server

OnPeerReply = Callable[[PeerReply | PeerFailed, int], None]
OnPlatformReply = Callable[[PlatformResult, int], None]
OnServerReply = Callable[[ServerReply, int], None]

MAX_DECISIONS = 1_000
# Extra time after a call's own timeout, in case the driver does not report the timeout itself.
REPLY_GRACE_MS = 100


@dataclass(frozen=True, slots=True)
class _PendingCall:
    deadline_ms: int
    on_reply: Callable[[Any, int], None]
    on_timeout: Any


class Outbox:
    """Collects the actions of all components and routes each reply to the component that called.

    Every call gets exactly one callback: with the reply, or with a failure once its deadline has
    passed. Later replies are dropped.
    """

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self._next_id = 1
        self._pending: dict[int, _PendingCall] = {}
        self._decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)

    def emit(self, action: Action) -> None:
        """Queue an action for the driver."""
        self._actions.append(action)

    def drain(self) -> tuple[Action, ...]:
        """Remove and return the queued actions."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def new_id(self) -> int:
        """Return an id that is unique within this core."""
        number = self._next_id
        self._next_id += 1
        return number

    def gossip(self, host: Host, message: Gossip) -> None:
        """Send a datagram to ``host``."""
        self.emit(SendGossip(host.gossip_address, message))

    def record_decision(
        self, now_ms: int, kind: str, subject: str, reason: str, /, **inputs: object
    ) -> None:
        """Record a decision in the decision log.

        :param inputs: values that the decision was based on.
        """
        texts = {name: str(value) for name, value in inputs.items()}
        decision = Decision(now_ms, kind, subject, reason, texts)
        self._decisions.append(decision)
        self.emit(RecordDecision(decision))

    def decisions(self, subject: str = "") -> tuple[Decision, ...]:
        """Return the latest decisions about ``subject``, or about all subjects if it is empty."""
        return tuple(d for d in self._decisions if not subject or _is_about(d, subject))

    def call_peer(
        self, host: Host, request: PeerRequest, timeout_ms: int, now_ms: int, on_reply: OnPeerReply
    ) -> None:
        """Send a request to another host."""
        call_id = self._register_call(timeout_ms, now_ms, on_reply, PeerFailed(0, sent=True))
        self.emit(CallPeer(call_id, host, request, timeout_ms))

    def call_platform(
        self, call: PlatformCall, timeout_ms: int, now_ms: int, on_reply: OnPlatformReply
    ) -> None:
        """Call the platform."""
        call_id = self._register_call(timeout_ms, now_ms, on_reply, PlatformFailed("timeout"))
        self.emit(CallPlatform(call_id, call, timeout_ms))

    def call_server(
        self,
        server: Server,
        request: ServerRequest,
        timeout_ms: int,
        now_ms: int,
        on_reply: OnServerReply,
    ) -> None:
        """Send a control request to a backend server."""
        late = ServerFailure(ServerFailureKind.TIMEOUT, f"{server.name} did not answer in time.")
        call_id = self._register_call(timeout_ms, now_ms, on_reply, late)
        self.emit(CallServer(call_id, server, request, timeout_ms))

    def on_reply(
        self, event: PeerReplied | PeerFailed | PlatformReplied | ServerReplied, now_ms: int
    ) -> None:
        """Pass a reply to the callback of its call; a late reply is dropped."""
        pending = self._pending.pop(event.call_id, None)
        if pending is None:
            return
        if isinstance(event, PlatformReplied):
            pending.on_reply(event.result, now_ms)
        elif isinstance(event, PeerFailed):
            pending.on_reply(event, now_ms)
        else:
            pending.on_reply(event.reply, now_ms)

    def tick(self, now_ms: int) -> None:
        """Fail the calls that have passed their deadline."""
        late = [key for key, pending in self._pending.items() if pending.deadline_ms <= now_ms]
        for key in late:
            pending = self._pending.pop(key)
            pending.on_reply(pending.on_timeout, now_ms)

    def _register_call(
        self, timeout_ms: int, now_ms: int, on_reply: Callable, on_timeout: Any
    ) -> int:
        call_id = self.new_id()
        self._pending[call_id] = _PendingCall(
            now_ms + timeout_ms + REPLY_GRACE_MS, on_reply, on_timeout
        )
        return call_id


def _is_about(decision: Decision, subject: str) -> bool:
    name = decision.subject.rpartition("/")[2]
    return subject in (decision.subject, name) or subject in decision.inputs.values()
