"""Hosts, their connections and callers' requests on the virtual clock."""

from collections import Counter
from dataclasses import dataclass, field

from figcrank.coordination import Event, HostCore, RecordSpan
from figcrank.protocol import Decision, Failure, OperatorReply, OwnedAnswer
from figcrank.state import Host, Session


@dataclass(slots=True)
class Call:
    """A caller's or operator's request and what came of it.

    :param sent_ms: when it was sent.
    :param answered_ms: when the answer was back, ``None`` before.
    """

    sent_ms: int
    answered_ms: int | None = None
    answer: OwnedAnswer | None = None
    failure: Failure | None = None
    session: Session | None = None
    reply: OperatorReply | None = None

    @property
    def rows(self) -> list[tuple]:
        """Return the rows of the last statement's result.

        :raises AssertionError: if the request has not succeeded.
        """
        assert self.answer is not None, self.failure
        return [tuple(row) for row in self.answer.results[-1].rows]


@dataclass(slots=True)
class Connection:
    """A connection of a host to a backend server.

    :param work_id: work under way, ``None`` while idle.
    """

    server: str
    group: str
    session_pid: int | None = None
    work_id: int | None = None


@dataclass(slots=True)
class VirtualHost:
    """One host of the fleet and its faults.

    :param paused: whether events wait until the host goes on.
    """

    host: Host
    core: HostCore
    alive: bool = True
    paused: bool = False
    ready: bool = False
    stopped: bool = False
    waiting: list[Event] = field(default_factory=list)
    connections: dict[int, Connection] = field(default_factory=dict)
    decisions: list[Decision] = field(default_factory=list)
    spans: list[RecordSpan] = field(default_factory=list)
    counters: Counter = field(default_factory=Counter)
