"""The decision logic of one host, without input or output.

A driver calls :meth:`HostCore.start` once and then ``handle(event, now_ms)`` for each
:data:`Event`. It carries out the returned :data:`Action` values and passes their outcomes back as
events. It sends a ``Tick`` every ``Timings.tick_ms`` milliseconds. The core does not need
eventlet.
"""

from figcrank.state._lazy import lazy_names

_MODULE_OF = {
    "Action": "figcrank.coordination._actions",
    "CallPeer": "figcrank.coordination._actions",
    "CallPlatform": "figcrank.coordination._actions",
    "CallServer": "figcrank.coordination._actions",
    "CloseConnection": "figcrank.coordination._actions",
    "CountMetric": "figcrank.coordination._actions",
    "OpenConnection": "figcrank.coordination._actions",
    "RecordDecision": "figcrank.coordination._actions",
    "RecordSpan": "figcrank.coordination._actions",
    "Refuse": "figcrank.coordination._actions",
    "Respond": "figcrank.coordination._actions",
    "RespondOperator": "figcrank.coordination._actions",
    "RespondPeer": "figcrank.coordination._actions",
    "SendGossip": "figcrank.coordination._actions",
    "SetReady": "figcrank.coordination._actions",
    "StartWork": "figcrank.coordination._actions",
    "Stop": "figcrank.coordination._actions",
    "TimeMetric": "figcrank.coordination._actions",
    "HostCore": "figcrank.coordination._core",
    "ConnectionFailed": "figcrank.coordination._events",
    "ConnectionOpened": "figcrank.coordination._events",
    "Credentials": "figcrank.coordination._events",
    "Event": "figcrank.coordination._events",
    "GossipReceived": "figcrank.coordination._events",
    "LeaveRequested": "figcrank.coordination._events",
    "OperatorReceived": "figcrank.coordination._events",
    "PeerFailed": "figcrank.coordination._events",
    "PeerReplied": "figcrank.coordination._events",
    "PeerRequestReceived": "figcrank.coordination._events",
    "PlatformReplied": "figcrank.coordination._events",
    "ServerReplied": "figcrank.coordination._events",
    "StatementsReceived": "figcrank.coordination._events",
    "Tick": "figcrank.coordination._events",
    "TransactionReceived": "figcrank.coordination._events",
    "WorkFinished": "figcrank.coordination._events",
    "FairQueue": "figcrank.coordination.groups._queues",
    "QueueEntry": "figcrank.coordination.groups._queues",
    "CoreSettings": "figcrank.coordination._settings",
    "Timings": "figcrank.coordination._settings",
}
__all__ = list(_MODULE_OF)
__getattr__ = lazy_names(__name__, _MODULE_OF)
