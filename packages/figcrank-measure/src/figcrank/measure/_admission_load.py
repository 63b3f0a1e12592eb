"""Replays an overloaded primary in virtual time, with two orders of the waiting statements.

Household reads arrive at 2.5 times their rate while one workspace sends seven times its usual load.
``python -m figcrank.measure._admission_load`` prints what was served in time.
"""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections import Counter, deque
from dataclasses import dataclass

from figcrank.coordination.admission import AdmissionQueue, Demand, Rejection, ServiceTimes
from figcrank.measure._busy_count_order import Waiter, next_waiter

SLOTS = 4
WORKSPACES = 22  # 87 over four groups
LARGEST, LARGEST_SHARE = "w0", 1 / 3  # the workspace with the most traffic, and its share
BURSTING = "w5"
BURST_FACTOR = 7
HOUSEHOLD_FACTOR = 2.5
IN_FLIGHT_FACTOR = 1.5  # statements in flight of all owners, for each slot
ROUND_TRIP_MS = 2


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of statement.

    :param service_ms: mean time for which it occupies a slot.
    :param per_s: usual arrivals per second.
    :param worth: worth in time.
    :param worth_late: worth after the target and before the timeout.
    """

    name: str
    service_ms: float
    per_s: float
    target_ms: int
    timeout_ms: int
    priority: int
    worth: float
    worth_late: float


# The rates use 70% of the slots on a usual day.
KINDS = (
    Kind("submissions", 6, 150, 150, 800, 0, 3.5, 0.43),
    Kind("household", 30, 40, 1_000, 2_000, 2, 0.47, 0.21),
    Kind("reconciliation", 18, 40, 250, 800, 1, 1.9, 0.28),
)


@dataclass(eq=False, slots=True)
class Statement:
    """A statement of the load.

    :param attempts: how often it was sent to an owner.
    :param deadline_ms: time after which its caller no longer waits for the last attempt.
    :param ended_ms: when the caller got its result, ``None`` if it did not.
    """

    kind: Kind
    workspace: str
    arrived_ms: float
    service_ms: float
    attempts: int = 0
    deadline_ms: float = 0.0
    ended_ms: float | None = None

    def demand(self, now_ms: float) -> Demand:
        """Return its demand when it arrives at an owner."""
        kind, at_ms = self.kind, int(now_ms)
        target_ms, deadline_ms = at_ms + kind.target_ms, at_ms + kind.timeout_ms
        priority = (kind.priority, 0)
        return Demand(self.workspace, kind.name, priority, at_ms, target_ms, deadline_ms)

    @property
    def in_time(self) -> bool:
        """Return whether the caller got its result by the target, from its first attempt on."""
        return self.ended_ms is not None and self.ended_ms <= self.arrived_ms + self.kind.target_ms

    @property
    def overran(self) -> bool:
        """Return whether it ended after its caller got an error: a write is then in doubt."""
        return self.ended_ms is not None and self.ended_ms > self.deadline_ms


class Order(ABC):
    """The queue of an owner.

    :param allowed: number of statements that the owner may have in flight.
    """

    def __init__(self, allowed: int) -> None:
        self.allowed = allowed

    @abstractmethod
    def add(self, statement: Statement, now_ms: float) -> int | None:
        """Add a statement; return the time after which to retry if it is rejected."""

    @abstractmethod
    def take(self, now_ms: float) -> Statement | None:
        """Remove and return the next statement."""

    @abstractmethod
    def rejected(self, now_ms: float) -> list[tuple[Statement, int]]:
        """Return the waiting statements that were rejected, with the time after which to retry."""

    def begin(self, statement: Statement) -> None:  # noqa: B027 - not every order needs it
        """Record a statement that is sent to the server."""

    @abstractmethod
    def record(self, statement: Statement, took_ms: float) -> None:
        """Record an answer of the server."""


class BusyCountOrder(Order):
    """The order of :func:`next_waiter`; statements wait until their timeouts."""

    def __init__(self, allowed: int) -> None:
        super().__init__(allowed)
        self._waiting: list[tuple[Waiter, Statement]] = []
        self._busy: Counter[str] = Counter()
        self._sequence = itertools.count()

    def add(self, statement: Statement, now_ms: float) -> int | None:
        deadline_ms = int(now_ms) + statement.kind.timeout_ms
        priority = statement.kind.priority
        waiter = Waiter(statement.workspace, priority, deadline_ms, next(self._sequence))
        self._waiting.append((waiter, statement))
        return None

    def take(self, now_ms: float) -> Statement | None:
        if not self._waiting:
            return None
        index = next_waiter([waiter for waiter, _ in self._waiting], self._busy)
        return self._waiting.pop(index)[1]

    def begin(self, statement: Statement) -> None:
        self._busy[statement.workspace] += 1

    def rejected(self, now_ms: float) -> list[tuple[Statement, int]]:
        over = [(s, 0) for waiter, s in self._waiting if waiter.deadline_ms <= now_ms]
        self._waiting = [(w, s) for w, s in self._waiting if w.deadline_ms > now_ms]
        return over

    def record(self, statement: Statement, took_ms: float) -> None:
        self._busy[statement.workspace] -= 1


class AdmissionOrder(Order):
    """The order of :class:`AdmissionQueue`."""

    def __init__(self, allowed: int) -> None:
        super().__init__(allowed)
        self._times = ServiceTimes()
        self._queue = AdmissionQueue(self._times)
        self._statements: dict[int, Statement] = {}

    def add(self, statement: Statement, now_ms: float) -> int | None:
        decision = self._queue.arrive(statement.demand(now_ms), now_ms, self.allowed)
        if isinstance(decision, Rejection):
            return decision.retry_after_ms
        self._statements[decision.sequence] = statement
        return None

    def take(self, now_ms: float) -> Statement | None:
        ticket = self._queue.take(now_ms, self.allowed)
        return self._statements.pop(ticket.sequence) if ticket else None

    def rejected(self, now_ms: float) -> list[tuple[Statement, int]]:
        self._queue.advance(now_ms)
        rejected = self._queue.drain_rejected()
        return [(self._statements.pop(t.sequence), r.retry_after_ms) for t, r in rejected]

    def record(self, statement: Statement, took_ms: float) -> None:
        self._times.record(statement.kind.name, took_ms)


def statements(
    seed: int, span_ms: int, household_factor: float, burst_factor: float
) -> list[Statement]:
    """Return the load, ordered by arrival.

    :param household_factor: rate of household reads, as a multiple of the usual one.
    :param burst_factor: rate of the bursting workspace, as a multiple of the usual one.
    """
    rng = random.Random(seed)
    names = [f"w{number}" for number in range(WORKSPACES)]
    shares = [LARGEST_SHARE] + [(1 - LARGEST_SHARE) / (WORKSPACES - 1)] * (WORKSPACES - 1)
    load = []
    for kind in KINDS:
        factor = household_factor if kind.name == "household" else 1
        for name, share in zip(names, shares, strict=True):
            burst = burst_factor if name == BURSTING else 1
            per_ms = kind.per_s * share * factor * burst / 1_000
            at_ms = rng.expovariate(per_ms)
            while at_ms < span_ms:
                service_ms = kind.service_ms * rng.uniform(0.5, 1.5)
                load.append(Statement(kind, name, at_ms, service_ms))
                at_ms += rng.expovariate(per_ms)
    return sorted(load, key=lambda statement: statement.arrived_ms)


class Replay:
    """Runs the load before owners and one server with a queue of its own.

    :param order: class of the owners' queues.
    :param owners: number of owners; callers are spread evenly.
    :param retries: how often a caller retries after a rejection.
    """

    def __init__(self, order: type[Order], owners: int, retries: int, seed: int = 1) -> None:
        allowed = max(1, round(SLOTS * IN_FLIGHT_FACTOR / owners))
        self._owners = [order(allowed) for _ in range(owners)]
        self._in_flight = [0] * owners
        self._retries = retries
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, str, tuple]] = []
        self._sequence = itertools.count()
        self._server_queue: deque[tuple[Statement, int, float]] = deque()
        self._running = 0
        self.now_ms = 0.0

    def run(self, load: list[Statement]) -> None:
        """Run the load to its end."""
        for statement in load:
            self._schedule(statement.arrived_ms, "arrive", statement)
        while self._events:
            self.now_ms, _, name, arguments = heapq.heappop(self._events)
            getattr(self, f"_{name}")(*arguments)

    def _schedule(self, at_ms: float, name: str, *arguments: object) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), name, arguments))

    def _arrive(self, statement: Statement) -> None:
        statement.attempts += 1
        statement.deadline_ms = self.now_ms + statement.kind.timeout_ms
        owner = self._rng.randrange(len(self._owners))
        if self._in_flight[owner] < self._owners[owner].allowed:
            self._send(statement, owner)
            return
        retry_after_ms = self._owners[owner].add(statement, self.now_ms)
        if retry_after_ms is not None:
            self._retry(statement, retry_after_ms)
        else:
            self._schedule(self.now_ms + statement.kind.timeout_ms, "expire", owner)
        self._expire(owner)

    def _expire(self, owner: int) -> None:
        for statement, retry_after_ms in self._owners[owner].rejected(self.now_ms):
            self._retry(statement, retry_after_ms)

    def _retry(self, statement: Statement, retry_after_ms: int) -> None:
        if statement.attempts <= self._retries:
            self._schedule(self.now_ms + retry_after_ms, "arrive", statement)

    def _send(self, statement: Statement, owner: int) -> None:
        self._in_flight[owner] += 1
        self._owners[owner].begin(statement)
        self._server_queue.append((statement, owner, self.now_ms))
        self._serve()

    def _serve(self) -> None:
        while self._server_queue and self._running < SLOTS:
            statement, owner, sent_ms = self._server_queue.popleft()
            self._running += 1
            end_ms = self.now_ms + statement.service_ms
            self._schedule(end_ms, "free", statement, owner, sent_ms)

    def _free(self, statement: Statement, owner: int, sent_ms: float) -> None:
        self._running -= 1
        self._serve()
        self._schedule(self.now_ms + ROUND_TRIP_MS, "answer", statement, owner, sent_ms)

    def _answer(self, statement: Statement, owner: int, sent_ms: float) -> None:
        statement.ended_ms = self.now_ms
        queue = self._owners[owner]
        queue.record(statement, self.now_ms - sent_ms)
        self._in_flight[owner] -= 1
        self._expire(owner)
        while self._in_flight[owner] < queue.allowed:
            following = queue.take(self.now_ms)
            if following is None:
                break
            self._send(following, owner)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Shares of the load.

    :param in_time: share served in time, by kind and by ``others``, ``largest`` or ``bursting``
        for the workspace.
    :param worth: worth of what was served, as a share of that of all.
    :param rejected: number of rejected statements.
    :param overran: number of statements that ended after their deadlines.
    """

    in_time: dict[tuple[str, str], float]
    worth: float
    rejected: int
    overran: int


def outcome(
    order: type[Order],
    owners: int,
    retries: int = 0,
    seed: int = 1,
    span_ms: int = 20_000,
    household_factor: float = HOUSEHOLD_FACTOR,
    burst_factor: float = BURST_FACTOR,
) -> Outcome:
    """Replay the load and return what was served."""
    load = statements(seed, span_ms, household_factor, burst_factor)
    Replay(order, owners, retries, seed).run(load)
    sent: Counter[tuple[str, str]] = Counter()
    in_time: Counter[tuple[str, str]] = Counter()
    worth = total = 0.0
    classes = {LARGEST: "largest", BURSTING: "bursting"}
    for statement in load:
        key = statement.kind.name, classes.get(statement.workspace, "others")
        sent[key] += 1
        total += statement.kind.worth
        if statement.in_time:
            in_time[key] += 1
            worth += statement.kind.worth
        elif statement.ended_ms is not None and not statement.overran:
            worth += statement.kind.worth_late
    shares = {key: in_time[key] / sent[key] for key in sorted(sent)}
    rejected = sum(statement.ended_ms is None for statement in load)
    overran = sum(statement.overran for statement in load)
    return Outcome(shares, worth / total, rejected, overran)


def main() -> None:
    """Print the shares for each order, number of queues and number of retries."""
    for factors, retries in (((1, 1), 0), ((2, 7), 0), ((2.5, 7), 0), ((2.5, 7), 2)):
        for owners, order in itertools.product((3, 1), (BusyCountOrder, AdmissionOrder)):
            result = outcome(order, owners, retries, 1, 20_000, *factors)
            shares = " ".join(f"{k}/{w}={s:.3f}" for (k, w), s in result.in_time.items())
            title = f"{order.__name__} factors={factors} queues={owners} retries={retries}"
            counts = f"rejected={result.rejected} overran={result.overran}"
            print(f"{title} worth={result.worth:.3f} {counts} {shares}")


if __name__ == "__main__":
    main()
