"""The decisions of one host, free of input and output.

Drive a host core from outside, without eventlet, by calling :meth:`HostCore.start` once and then
``handle(event, now_ms)`` for each :data:`Event`; carry out the returned :data:`Action` values and
feed their outcomes back as events. Send a ``Tick`` every ``Timings.tick_ms`` milliseconds.
"""

from figcrank.coordination._actions import Action as Action
from figcrank.coordination._actions import CallPeer as CallPeer
from figcrank.coordination._actions import CallPlatform as CallPlatform
from figcrank.coordination._actions import CallServer as CallServer
from figcrank.coordination._actions import CloseConnection as CloseConnection
from figcrank.coordination._actions import CountMetric as CountMetric
from figcrank.coordination._actions import OpenConnection as OpenConnection
from figcrank.coordination._actions import RecordDecision as RecordDecision
from figcrank.coordination._actions import RecordSpan as RecordSpan
from figcrank.coordination._actions import Refuse as Refuse
from figcrank.coordination._actions import Respond as Respond
from figcrank.coordination._actions import RespondOperator as RespondOperator
from figcrank.coordination._actions import RespondPeer as RespondPeer
from figcrank.coordination._actions import SendGossip as SendGossip
from figcrank.coordination._actions import SetReady as SetReady
from figcrank.coordination._actions import StartWork as StartWork
from figcrank.coordination._actions import Stop as Stop
from figcrank.coordination._actions import TimeMetric as TimeMetric
from figcrank.coordination._core import HostCore as HostCore
from figcrank.coordination._events import ConnectionFailed as ConnectionFailed
from figcrank.coordination._events import ConnectionOpened as ConnectionOpened
from figcrank.coordination._events import Credentials as Credentials
from figcrank.coordination._events import Event as Event
from figcrank.coordination._events import GossipReceived as GossipReceived
from figcrank.coordination._events import LeaveRequested as LeaveRequested
from figcrank.coordination._events import OperatorReceived as OperatorReceived
from figcrank.coordination._events import PeerFailed as PeerFailed
from figcrank.coordination._events import PeerReplied as PeerReplied
from figcrank.coordination._events import PeerRequestReceived as PeerRequestReceived
from figcrank.coordination._events import PlatformReplied as PlatformReplied
from figcrank.coordination._events import ServerReplied as ServerReplied
from figcrank.coordination._events import StatementsReceived as StatementsReceived
from figcrank.coordination._events import Tick as Tick
from figcrank.coordination._events import TransactionReceived as TransactionReceived
from figcrank.coordination._events import WorkFinished as WorkFinished
from figcrank.coordination._queues import FairQueue as FairQueue
from figcrank.coordination._queues import Queued as Queued
from figcrank.coordination._settings import CoreSettings as CoreSettings
from figcrank.coordination._settings import Timings as Timings
