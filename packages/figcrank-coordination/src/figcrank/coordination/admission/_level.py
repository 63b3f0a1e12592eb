"""Statements of one priority, shared fairly between workspaces by service time.

Addresses a workspace that sends five to seven times its usual load: its statements wait behind
those of the other workspaces, and only they wait.

Start-time fair queueing: each workspace with waiting statements has a start tag, the virtual time
at which its next statement begins. The workspace with the lowest tag is served, and its tag rises
by the service time of the statement. A workspace that begins to wait starts at the virtual time of
the level, which is the tag of the statement that was taken last.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from figcrank.coordination.admission._demand import Demand
from figcrank.coordination.admission._service_times import CONNECT_MS

MAX_FINISH_TAGS = 256  # above this number, the tags that no longer matter are removed
SHARE_WINDOW_MS = 500.0  # service time over which the share of a level is averaged
FIRST = -1  # precedes every sequence number
MIN_SHARE = 0.02  # keeps expected waits finite for a level that currently gets no service


@dataclass(slots=True, eq=False)
class Ticket:
    """A waiting statement.

    :param demand: what it asks for.
    :param cost_ms: expected service time at its arrival, with the connection that has to be opened.
    :param sequence: number of its arrival at the queue.
    :param connects: whether a connection had to be opened for it when it arrived.
    :param slots: number of statements that this host could have in flight when it arrived.
    :param level: where it waits, ``None`` once it does not.
    """

    demand: Demand
    cost_ms: float
    sequence: int
    connects: bool = False
    slots: int = 1
    level: "Level | None" = None

    @property
    def late_after_ms(self) -> float:
        """Return the last time at which it can begin and be in time."""
        return self.demand.target_ms - self.cost_ms


@dataclass(slots=True, eq=False)
class _Backlog:
    """Waiting statements of one workspace, ordered by the arrival of their operations."""

    start_ms: float
    work_ms: float = 0.0
    count: int = 0
    entries: list[tuple[int, int, Ticket]] = field(default_factory=list)


class Level:
    """Waiting statements of one priority.

    Removed statements stay in the heaps until they reach the top.
    """

    def __init__(self) -> None:
        self.work_ms = 0.0
        self.count = 0
        self.credit_ms = 0.0  # service time owed by the floor of the level
        self.share = 1.0  # of the service time while statements of the level waited
        self._virtual_ms = 0.0
        self._backlogs: dict[str, _Backlog] = {}
        self._kinds: Counter[tuple[str, bool]] = Counter()  # by whether a connection is opened
        self._finish_ms: dict[str, float] = {}  # of workspaces that have nothing waiting
        self._order: list[tuple[float, int, str, _Backlog]] = []
        self._sequence = itertools.count()

    def add(self, ticket: Ticket) -> None:
        """Add a statement."""
        demand = ticket.demand
        backlog = self._backlogs.get(demand.workspace)
        if backlog is None:
            backlog = _Backlog(self._start_ms(demand.workspace))
            self._finish_ms.pop(demand.workspace, None)
            self._backlogs[demand.workspace] = backlog
            self._push(demand.workspace, backlog)
        heapq.heappush(backlog.entries, (demand.arrived_ms, ticket.sequence, ticket))
        backlog.work_ms += ticket.cost_ms
        backlog.count += 1
        self.work_ms += ticket.cost_ms
        self.count += 1
        self._kinds[demand.kind, ticket.connects] += 1
        ticket.level = self

    def remove(self, ticket: Ticket) -> None:
        """Remove a statement that is not to be served."""
        workspace = ticket.demand.workspace
        backlog = self._forget(ticket)
        if not backlog.count:
            self._end_backlog(workspace, backlog.start_ms)

    def head(self) -> Ticket:
        """Return the statement that is next; there has to be one."""
        backlog = self._first_backlog()
        while backlog.entries[0][2].level is not self:
            heapq.heappop(backlog.entries)
        return backlog.entries[0][2]

    def prefer(self, workspaces: Container[str]) -> None:
        """Place one of some workspaces first among those that are next with equal start tags.

        It is not preferred a second time before the others, as its tag rises with its statement.
        """
        self._first_backlog()  # removes entries that are not valid any more
        start_ms, _, workspace, _ = self._order[0]
        if workspace in workspaces:
            return
        tied = []
        while self._order and self._order[0][0] == start_ms:
            entry = heapq.heappop(self._order)
            if self._backlogs.get(entry[2]) is entry[3]:
                tied.append(entry)
        first = next((entry for entry in tied if entry[2] in workspaces), tied[0])
        for entry in tied:
            sequence = FIRST if entry is first else entry[1]
            heapq.heappush(self._order, (entry[0], sequence, *entry[2:]))

    def take(self) -> Ticket:
        """Remove and return the statement that is next, and charge its workspace."""
        ticket = self.head()
        backlog = self._first_backlog()
        heapq.heappop(backlog.entries)
        heapq.heappop(self._order)
        self._forget(ticket)
        self._virtual_ms = backlog.start_ms
        backlog.start_ms += ticket.cost_ms
        if backlog.count:
            self._push(ticket.demand.workspace, backlog)
        else:
            self._end_backlog(ticket.demand.workspace, backlog.start_ms)
        return ticket

    def last(self) -> Ticket:
        """Return a late-comer of the workspace that is served last; there has to be one."""
        backlog = max(self._backlogs.values(), key=lambda b: b.start_ms + b.work_ms)
        while backlog.entries[-1][2].level is not self:
            backlog.entries.pop()
        return backlog.entries[-1][2]

    def present_work_ms(self, service_ms: Callable[[str], float]) -> float:
        """Return the waiting work by the present service times of its kinds."""
        return sum(
            count * (service_ms(kind) + (CONNECT_MS if connects else 0.0))
            for (kind, connects), count in self._kinds.items()
        )

    def work_before_ms(self, workspace: str) -> float:
        """Return the waiting work that precedes a new statement of a workspace.

        As :attr:`work_ms`, it is counted by the service times at the arrival of each statement.
        """
        own = self._backlogs.get(workspace)
        own_work_ms = own.work_ms if own else 0.0
        start_ms = (own.start_ms if own else self._start_ms(workspace)) + own_work_ms
        before_ms = own_work_ms
        for backlog in self._backlogs.values():
            if backlog is own or start_ms < backlog.start_ms:
                continue
            mean_ms = backlog.work_ms / backlog.count
            before_ms += min(backlog.work_ms, start_ms - backlog.start_ms + mean_ms)
        return before_ms

    def record_service(self, is_own: bool, cost_ms: float, floor: float, slots: int) -> None:
        """Update the share and the credit of a level that has statements waiting.

        :param is_own: whether the service went to a statement of this level.
        :param cost_ms: the service time.
        :param floor: share of the service time that the level is to get at least.
        :param slots: number of statements that are served at once.
        """
        weight = min(1.0, cost_ms / (slots * SHARE_WINDOW_MS))
        self.share += weight * ((1.0 if is_own else 0.0) - self.share)
        self.share = max(MIN_SHARE, self.share)
        self.credit_ms += floor * cost_ms - (cost_ms if is_own else 0.0)
        self.credit_ms = max(0.0, self.credit_ms)

    def _start_ms(self, workspace: str) -> float:
        return max(self._virtual_ms, self._finish_ms.get(workspace, 0.0))

    def _push(self, workspace: str, backlog: _Backlog) -> None:
        entry = (backlog.start_ms, next(self._sequence), workspace, backlog)
        heapq.heappush(self._order, entry)

    def _first_backlog(self) -> _Backlog:
        while self._backlogs.get(self._order[0][2]) is not self._order[0][3]:
            heapq.heappop(self._order)
        return self._order[0][3]

    def _forget(self, ticket: Ticket) -> _Backlog:
        backlog = self._backlogs[ticket.demand.workspace]
        backlog.work_ms -= ticket.cost_ms
        backlog.count -= 1
        self.work_ms -= ticket.cost_ms
        self.count -= 1
        key = ticket.demand.kind, ticket.connects
        self._kinds[key] -= 1
        if not self._kinds[key]:
            del self._kinds[key]
        ticket.level = None
        return backlog

    def _end_backlog(self, workspace: str, finish_ms: float) -> None:
        del self._backlogs[workspace]
        self._finish_ms[workspace] = finish_ms
        if not self.count:
            self._reset()
        elif len(self._finish_ms) > MAX_FINISH_TAGS:
            virtual_ms = self._virtual_ms
            self._finish_ms = {w: f for w, f in self._finish_ms.items() if f > virtual_ms}

    def _reset(self) -> None:
        """Begin a new busy period, in which all workspaces start equal."""
        self.work_ms = 0.0
        self.credit_ms = 0.0
        self.share = 1.0
        self._virtual_ms = 0.0
        self._order.clear()
        self._finish_ms.clear()
