"""Order and admission of the statements that wait for one server.

Addresses household reads at 2.5 times their rate together with one workspace at seven times its
usual load. Without it, more than a hundred statements wait at each owner until their timeouts, and
the most urgent kind is served worst.
"""

import heapq
import itertools
import math
from collections.abc import Container, Iterable

from figcrank.coordination.admission._demand import Demand
from figcrank.coordination.admission._level import MIN_SHARE, Level, Ticket
from figcrank.coordination.admission._rejection import Rejection, RejectionReason
from figcrank.coordination.admission._service_times import CONNECT_MS, ServiceTimes

FLOOR = 0.1  # share of the service time that each priority level gets while it has work in time
# With many levels the floors are lowered, so that half of the service time follows the priorities.
MAX_FLOORS = 0.5
MAX_WAITING = 1_000  # half of the sessions of a fleet; bounds the memory of one queue
MIN_RETRY_MS = 25  # about one statement's duration
# Several statements end in between, and a caller is told soon enough to do something else.
RECHECK_MS = 50
MAX_RETRY_MS = 5_000  # a forecast beyond a few seconds of the present load is worth little

Levels = dict[tuple[int, int], Level]


def _floor(levels: int) -> float:
    """Return the share of the service time that each of some levels gets at least."""
    return min(FLOOR, MAX_FLOORS / max(1, levels - 1))


class AdmissionQueue:
    """Statements that wait for one server.

    Statements that can still be in time precede late ones. Both are ordered by priority, with a
    floor for each level, then fairly between workspaces, then by arrival. An arrival costs the
    number of workspaces, taking a statement the logarithm of the queue and the number of
    workspaces with equal places.

    :param times: measured service times at the server.
    :param max_waiting: number of statements that may wait.
    """

    def __init__(self, times: ServiceTimes, max_waiting: int = MAX_WAITING) -> None:
        self._times = times
        self._max_waiting = max_waiting
        self._in_time: Levels = {}
        self._late: Levels = {}
        self._late_heap: list[tuple[float, int, Ticket]] = []
        # By kind, as the times that kinds take change while statements wait.
        self._by_deadline: dict[tuple[str, bool], list[tuple[float, int, Ticket]]] = {}
        self._rejected: list[tuple[Ticket, Rejection]] = []
        self._next_return_ms: dict[tuple[int, int], float] = {}
        self._sequence = itertools.count()
        self._slots = 1
        self._recheck_ms = 0.0  # time of the next check of what was admitted
        self._risen_samples: int | None = None  # when the service times rose, while they are higher

    @property
    def waiting(self) -> int:
        """Return the number of waiting statements."""
        levels = (*self._in_time.values(), *self._late.values())
        return sum(level.count for level in levels)

    @property
    def waiting_tickets(self) -> list[Ticket]:
        """Return the waiting statements, in no particular order."""
        entries = itertools.chain.from_iterable(self._by_deadline.values())
        # A statement that was put back has two entries.
        return list({id(t): t for _, _, t in entries if t.level is not None}.values())

    def waiting_by_priority(self) -> dict[int, int]:
        """Return the number of waiting statements by the priority of their route."""
        counts: dict[int, int] = {}
        for levels in (self._in_time, self._late):
            for (route_priority, _), level in levels.items():
                counts[route_priority] = counts.get(route_priority, 0) + level.count
        return counts

    def arrive(
        self, demand: Demand, now_ms: float, slots: int, connects: bool = False
    ) -> Ticket | Rejection:
        """Decide on a statement that finds no free slot.

        :param slots: number of statements that this host may have in flight at the server.
        :param connects: whether a connection has to be opened for it.
        :return: its place in the queue, or its rejection.
        """
        self._slots = max(1, slots)
        self.advance(now_ms)
        cost_ms = self._times.cost_ms(demand.kind, connects)
        # The share that a level got allows for work that arrives later; a margin on top of it
        # would reject what is likely to end in time.
        wait_ms = max(
            self._expected_wait_ms(demand, now_ms, cost_ms),
            self._expected_wait_ms(demand, now_ms, cost_ms, by_share=False)
            + self._margin_ms(demand.kind, demand.is_hedge),
        )
        end_ms = now_ms + wait_ms + cost_ms
        if end_ms > demand.deadline_ms:
            excess_ms = end_ms - demand.deadline_ms
            return self._reject(demand, cost_ms, RejectionReason.DEADLINE, now_ms, excess_ms)
        if self.waiting >= self._max_waiting and not self._displace(demand, cost_ms, now_ms):
            return self._reject(demand, cost_ms, RejectionReason.FULL, now_ms, 0.0)
        ticket = Ticket(demand, cost_ms, next(self._sequence), connects, self._slots)
        self.put_back(ticket, now_ms)
        return ticket

    def put_back(self, ticket: Ticket, now_ms: float) -> None:
        """Add a statement without a decision, for example one that was taken and could not run."""
        self._in_time.setdefault(ticket.demand.priority, Level()).add(ticket)
        heapq.heappush(self._late_heap, (ticket.late_after_ms, ticket.sequence, ticket))
        deadline_ms = ticket.demand.deadline_ms - (CONNECT_MS if ticket.connects else 0.0)
        heap = self._by_deadline.setdefault((ticket.demand.kind, ticket.demand.is_hedge), [])
        heapq.heappush(heap, (deadline_ms, ticket.sequence, ticket))
        self.advance(now_ms)

    def remove(self, ticket: Ticket) -> None:
        """Remove a statement, if it still waits."""
        if ticket.level is not None:
            ticket.level.remove(ticket)

    def take(
        self, now_ms: float, slots: int, connected_workspaces: Container[str] = ()
    ) -> Ticket | None:
        """Remove and return the statement that is to run next, ``None`` if none waits.

        :param connected_workspaces: workspaces that have an unused connection; of statements with
            equal places, one of these goes first.
        """
        self._slots = max(1, slots)
        self.advance(now_ms)
        for levels in (self._in_time, self._late):
            chosen = self._choose(levels)
            if chosen is not None:
                chosen.prefer(connected_workspaces)
                return self._take_from(chosen, levels)
        return None

    def advance(self, now_ms: float) -> None:
        """Reorder statements that became late, and reject those that can't end any more."""
        while self._late_heap and self._late_heap[0][0] < now_ms:
            ticket = heapq.heappop(self._late_heap)[2]
            priority = ticket.demand.priority
            if ticket.level is not None and ticket.level is self._in_time.get(priority):
                ticket.level.remove(ticket)
                self._late.setdefault(priority, Level()).add(ticket)
        for key in list(self._by_deadline):
            self._expire(key, now_ms)
        if not 0 <= self._recheck_ms - now_ms <= RECHECK_MS:
            self._recheck_ms = now_ms + RECHECK_MS
            if self._has_slowed():
                self._recheck(now_ms)

    def _has_slowed(self) -> bool:
        """Return whether waiting work takes longer than at its arrival, and not after a stall only.

        A stall lengthens every statement that is in flight. The times have to be higher still when
        as many more have ended.
        """
        levels = (*self._in_time.values(), *self._late.values())
        service_ms = self._times.low_mean_ms
        if not any(o.count and o.present_work_ms(service_ms) > o.work_ms for o in levels):
            self._risen_samples = None
            return False
        if self._risen_samples is None:
            self._risen_samples = self._times.samples
        return self._times.samples - self._risen_samples >= self._slots

    def _recheck(self, now_ms: float) -> None:
        """Reject from the end of the order what can't begin in time by the present service times.

        Service times rise in a burst, after the decisions on the arrivals of the burst. The work
        that waits is counted by the least that the means may be, and by the slots of the decision
        if they are fewer now, so that a limit that falls for a moment rejects nothing.
        """
        service_ms = self._times.low_mean_ms
        before_ms = 0.0
        for levels in (self._in_time, self._late):
            backlogged = [levels[p] for p in sorted(levels) if levels[p].count]
            floor = _floor(len(backlogged)) if levels is self._in_time else 0.0
            for index, level in enumerate(backlogged):
                work_ms = level.present_work_ms(service_ms)
                rejected = []
                while level.count and work_ms > level.work_ms:
                    ticket = level.last()
                    own_ms = work_ms * (1 - ticket.cost_ms / level.work_ms)
                    wait_ms = before_ms + own_ms
                    if index and floor:
                        wait_ms = min(wait_ms, own_ms / floor)
                    begin_ms = now_ms + wait_ms / max(self._slots, ticket.slots)
                    if begin_ms <= self.expires_after_ms(ticket):
                        break
                    self.remove(ticket)
                    rejected.append(ticket)
                    work_ms = level.present_work_ms(service_ms)
                # The first to arrive get the earliest retry times.
                for ticket in sorted(rejected, key=lambda t: (t.demand.arrived_ms, t.sequence)):
                    self._evict(ticket, RejectionReason.EXPIRED, now_ms)
                before_ms += work_ms

    def _expire(self, key: tuple[str, bool], now_ms: float) -> None:
        """Reject the statements of a kind that can't be expected to end in time any more."""
        needed_ms = self._times.mean_ms(key[0]) + self._margin_ms(*key)
        heap = self._by_deadline[key]
        while heap and (heap[0][2].level is None or heap[0][0] < now_ms + needed_ms):
            ticket = heapq.heappop(heap)[2]
            if ticket.level is not None:
                self._evict(ticket, RejectionReason.EXPIRED, now_ms)
        if not heap:
            del self._by_deadline[key]

    def drain_rejected(self) -> list[tuple[Ticket, Rejection]]:
        """Return the waiting statements that were rejected since the last call."""
        rejected, self._rejected = self._rejected, []
        return rejected

    def drain_waiting(self) -> list[Ticket]:
        """Remove and return all waiting statements in the order of their arrival."""
        tickets = sorted(self.waiting_tickets, key=lambda t: (t.demand.arrived_ms, t.sequence))
        for ticket in tickets:
            self.remove(ticket)
        return tickets

    def expires_after_ms(self, ticket: Ticket) -> float:
        """Return the last time at which a statement can begin and be expected to end in time."""
        demand = ticket.demand
        needed_ms = self._times.cost_ms(demand.kind, ticket.connects)
        return demand.deadline_ms - needed_ms - self._margin_ms(demand.kind, demand.is_hedge)

    def _margin_ms(self, kind: str, is_hedge: bool) -> float:
        """Return the margin before the deadline; that of a hedge is not the end of its caller."""
        return 0.0 if is_hedge else self._times.margin_ms(kind)

    def expected_wait_ms(self, demand: Demand, now_ms: float, slots: int) -> float:
        """Return the expected wait of a statement that finds no free slot."""
        self._slots = max(1, slots)
        self.advance(now_ms)
        return self._expected_wait_ms(demand, now_ms, self._times.mean_ms(demand.kind))

    def _expected_wait_ms(
        self, demand: Demand, now_ms: float, cost_ms: float, by_share: bool = True
    ) -> float:
        first_slot_ms = self._times.overall_ms / (self._slots + 1)  # the next slot becomes free
        wait_ms = first_slot_ms + self._wait_in_ms(self._in_time, demand, cost_ms, by_share)
        if now_ms + wait_ms + cost_ms <= demand.target_ms:
            return wait_ms
        in_time_ms = self._present_work_ms(self._in_time.values()) / self._slots
        late_ms = first_slot_ms + in_time_ms
        late_ms += self._wait_in_ms(self._late, demand, cost_ms, by_share)
        return max(wait_ms, late_ms)

    def _wait_in_ms(self, levels: Levels, demand: Demand, cost_ms: float, by_share: bool) -> float:
        """Return the time to serve what precedes a statement among those in time or late.

        Work that arrives later may precede it too. The share that its level got recently accounts
        for this, and the floor of the level bounds it; late work has no floor against work in time.

        :param by_share: whether to use this share; otherwise only the work that waits now counts.
        """
        higher = [level for p, level in levels.items() if p < demand.priority and level.count]
        higher_ms = self._present_work_ms(higher)
        level = levels.get(demand.priority)
        before_ms = 0.0
        if level and level.count:
            before_ms = level.work_before_ms(demand.workspace)
            before_ms *= self._present_work_ms([level]) / level.work_ms
        wait_ms = (higher_ms + before_ms) / self._slots
        if before_ms and by_share:
            wait_ms = max(wait_ms, before_ms / (self._slots * level.share))
        if not higher or levels is self._late:
            return wait_ms
        backlogged = sum(1 for other in levels.values() if other.count and other is not level) + 1
        return min(wait_ms, (before_ms + cost_ms) / (self._slots * _floor(backlogged)))

    def _present_work_ms(self, levels: Iterable[Level]) -> float:
        return sum(level.present_work_ms(self._times.mean_ms) for level in levels)

    def _choose(self, levels: Levels) -> Level | None:
        """Return the level to serve: one that is owed service by its floor, else the highest."""
        backlogged = [levels[p] for p in sorted(levels) if levels[p].count]
        if not backlogged:
            return None
        owed = [o for o in backlogged[1:] if o.credit_ms >= o.head().cost_ms]
        return max(owed, key=lambda o: o.credit_ms) if owed else backlogged[0]

    def _take_from(self, chosen: Level, levels: Levels) -> Ticket:
        ticket = chosen.head()
        backlogged = [level for level in levels.values() if level.count]
        floor = _floor(len(backlogged))
        for level in backlogged:
            level.record_service(level is chosen, ticket.cost_ms, floor, self._slots)
        if levels is self._in_time:
            for level in self._late.values():
                if level.count:
                    level.record_service(False, ticket.cost_ms, 0.0, self._slots)
        return chosen.take()

    def _displace(self, demand: Demand, cost_ms: float, now_ms: float) -> bool:
        """Reject the least urgent late statement for one that can be in time; return if done."""
        if now_ms + cost_ms > demand.target_ms:
            return False
        late = [p for p, level in self._late.items() if level.count and p >= demand.priority]
        if not late:
            return False
        self._evict(self._late[max(late)].last(), RejectionReason.DISPLACED, now_ms)
        return True

    def _evict(self, ticket: Ticket, reason: RejectionReason, now_ms: float) -> None:
        self.remove(ticket)
        cost_ms = self._times.cost_ms(ticket.demand.kind, ticket.connects)
        rejection = self._reject(ticket.demand, cost_ms, reason, now_ms, 0.0)
        self._rejected.append((ticket, rejection))

    def _reject(
        self,
        demand: Demand,
        cost_ms: float,
        reason: RejectionReason,
        now_ms: float,
        excess_ms: float,
    ) -> Rejection:
        """Return a rejection, with a retry time after those of earlier ones of the level.

        :param excess_ms: time by which the statement would have missed its deadline.
        """
        earliest_ms = now_ms + max(MIN_RETRY_MS, excess_ms)
        if demand.is_hedge:
            return Rejection(reason, MIN_RETRY_MS)
        return_ms = max(earliest_ms, self._next_return_ms.get(demand.priority, 0.0))
        return_ms = min(return_ms, now_ms + MAX_RETRY_MS)
        level = self._in_time.get(demand.priority)
        share = max(MIN_SHARE, level.share) if level else 1.0
        self._next_return_ms[demand.priority] = return_ms + cost_ms / (self._slots * share)
        return Rejection(reason, math.ceil(return_ms - now_ms))
