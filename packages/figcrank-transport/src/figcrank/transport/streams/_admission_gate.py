"""Statements that wait for a free slot of one server, with their events and metrics."""

import math
from collections.abc import Container

import eventlet
from eventlet.event import Event

from figcrank.coordination.admission import (
    AdmissionQueue,
    Demand,
    Rejection,
    RejectionReason,
    ServiceTimes,
    ServiceUse,
    Ticket,
    busiest_workspace,
    waiting_by_workspace,
)
from figcrank.coordination.sessions import reason_of_rejection
from figcrank.protocol.sessions import SessionFailure
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import CALLER_CHECK_MS, OpenError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics

REJECTING_MS = 2_000  # a queue without a rejection for this long has ceased to reject
DETAILS = {
    RejectionReason.DEADLINE: "the statement could not end before its deadline",
    RejectionReason.EXPIRED: "the statement could no longer end before its deadline",
    RejectionReason.FULL: "too many statements wait for the server",
    RejectionReason.DISPLACED: "the statement was late and gave way to a more urgent one",
    RejectionReason.DISCONNECTED: "the caller has disconnected",
}


class AdmissionError(OpenError):
    """A statement was not admitted to a server; nothing was sent.

    :param rejection: the decision.
    """

    def __init__(self, rejection: Rejection) -> None:
        detail = f"{DETAILS[rejection.reason]}; retry after {rejection.retry_after_ms} ms"
        reason = reason_of_rejection(rejection.reason)
        super().__init__(SessionFailure.BUSY, detail, reason=reason)
        self.rejection = rejection


class _Waiter:
    """A waiting statement and its outcome, ``None`` while it waits."""

    def __init__(self, ticket: Ticket) -> None:
        self.ticket = ticket
        self.admitted = False
        self.error: OpenError | None = None
        self._resumed = Event()

    @property
    def is_waiting(self) -> bool:
        return not self.admitted and self.error is None

    def admit(self) -> None:
        self.admitted = True
        self._resumed.send(None)

    def fail(self, error: OpenError) -> None:
        self.error = error
        self._resumed.send(None)

    def wait(self, wait_ms: float) -> None:
        with eventlet.Timeout(max(0.001, wait_ms / 1_000), False):
            self._resumed.wait()


class AdmissionGate:
    """The queue of one server.

    :param clock: this host's clock.
    :param metrics: metrics registry.
    :param log: event log, ``None`` to log nothing.
    """

    def __init__(self, clock: Clock, metrics: Metrics, log: EventLog | None) -> None:
        self.service_times = ServiceTimes()
        self.service_use = ServiceUse(clock.now_ms())
        self.admitted = 0  # statements that were admitted and have not resumed yet
        self._queue = AdmissionQueue(self.service_times)
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._waiters: dict[Ticket, _Waiter] = {}
        self._rejected_ms: int | None = None  # time of the last rejection, while it is recent
        self._rejections = 0  # since the queue began to reject

    @property
    def waiting(self) -> int:
        """Return the number of waiting statements."""
        return self._queue.waiting

    @property
    def waiting_tickets(self) -> list[Ticket]:
        """Return the waiting statements, in no particular order."""
        return self._queue.waiting_tickets

    @property
    def busiest(self) -> tuple[str, float] | None:
        """Return the workspace with the most service time waiting and used, and its share."""
        used_ms = self.service_use.by_workspace(self._clock.now_ms())
        return busiest_workspace(waiting_by_workspace(self.waiting_tickets), used_ms)

    def waiting_by_priority(self) -> dict[int, int]:
        """Return the number of waiting statements by the priority of their route."""
        return self._queue.waiting_by_priority()

    def expected_wait_ms(self, demand: Demand, slots: int) -> float:
        """Return the expected wait of a statement that finds no free slot."""
        return self._queue.expected_wait_ms(demand, self._clock.now_ms(), slots)

    def wait(self, demand: Demand, entry: ServerEntry, slots: int, connects: bool) -> Ticket:
        """Wait until a statement is admitted.

        The slot is reserved for the caller until this method returns; it must be used at once.

        :param entry: registration of the server, for the log.
        :raises AdmissionError: if the statement is not admitted.
        :raises OpenError: if it has to look for a server anew.
        """
        decision = self._queue.arrive(demand, self._clock.now_ms(), slots, connects)
        self._report_rejected(entry)
        if isinstance(decision, Rejection):
            self._record_rejection(demand, decision, entry)
            raise AdmissionError(decision)
        self._wait(_Waiter(decision), entry)
        return decision

    def wait_again(self, ticket: Ticket, entry: ServerEntry) -> None:
        """Wait until a statement is admitted that was admitted before and could not begin.

        :raises OpenError: as :meth:`wait`.
        """
        self._queue.put_back(ticket, self._clock.now_ms())
        self._wait(_Waiter(ticket), entry)

    def _wait(self, waiter: _Waiter, entry: ServerEntry) -> None:
        ticket = waiter.ticket
        self._waiters[ticket] = waiter
        try:
            while waiter.is_waiting:
                expires_after_ms = self._queue.expires_after_ms(ticket)
                left_ms = math.floor(expires_after_ms) + 1 - self._clock.now_ms()
                waiter.wait(min(CALLER_CHECK_MS, left_ms))
                if waiter.is_waiting:
                    self._check(waiter, entry)
        finally:
            del self._waiters[ticket]
            self._queue.remove(ticket)
            if waiter.admitted:
                self.admitted -= 1
        if waiter.error is not None:
            raise waiter.error

    def _check(self, waiter: _Waiter, entry: ServerEntry) -> None:
        """Reject a waiting statement whose caller has disconnected or whose time is over."""
        if waiter.ticket.demand.connected():
            self._queue.advance(self._clock.now_ms())
            self._report_rejected(entry)
        else:
            self._reject_disconnected(waiter, entry)

    def _reject_disconnected(self, waiter: _Waiter, entry: ServerEntry) -> None:
        self._queue.remove(waiter.ticket)
        rejection = Rejection(RejectionReason.DISCONNECTED, 0)
        self._record_rejection(waiter.ticket.demand, rejection, entry)
        waiter.fail(AdmissionError(rejection))

    def admit_next(
        self, entry: ServerEntry, slots: int, connected_workspaces: Container[str]
    ) -> bool:
        """Admit the statement that is next; return whether there was one.

        :param connected_workspaces: workspaces that have an idle connection.
        """
        while True:
            ticket = self._queue.take(self._clock.now_ms(), slots, connected_workspaces)
            self._report_rejected(entry)
            if ticket is None:
                return False
            waiter = self._waiters[ticket]
            if ticket.demand.connected():
                self.admitted += 1
                waiter.admit()
                return True
            self._reject_disconnected(waiter, entry)

    def send_elsewhere(self, detail: str) -> None:
        """Make all waiting statements look for a server anew, in the order of their arrival.

        :param detail: why the server can't run them.
        """
        for ticket in self._queue.drain_waiting():
            self._waiters[ticket].fail(OpenError(SessionFailure.UNREACHABLE, detail))

    def tick(self, entry: ServerEntry) -> None:
        """Reject what can't end any more, and detect that the queue has ceased to reject."""
        now_ms = self._clock.now_ms()
        self._queue.advance(now_ms)
        self._report_rejected(entry)
        if self._rejected_ms is not None and now_ms - self._rejected_ms >= REJECTING_MS:
            self._rejected_ms = None
            self._log_state(entry, "open", rejections=self._rejections)

    def _report_rejected(self, entry: ServerEntry) -> None:
        for ticket, rejection in self._queue.drain_rejected():
            waiter = self._waiters.get(ticket)
            if waiter is None or not waiter.is_waiting:
                continue  # it ended for another reason since
            self._record_rejection(ticket.demand, rejection, entry)
            waiter.fail(AdmissionError(rejection))

    def _record_rejection(self, demand: Demand, rejection: Rejection, entry: ServerEntry) -> None:
        if demand.is_hedge:
            return
        self._metrics.count(
            "admission_rejected",
            reason=rejection.reason.value,
            priority=str(demand.priority[0]),
        )
        if rejection.reason is RejectionReason.DISCONNECTED:
            return
        if self._rejected_ms is None:
            self._rejections = 0
            self._log_state(
                entry,
                "rejecting",
                reason=rejection.reason.value,
                workspace=demand.workspace,
                retry_after_ms=rejection.retry_after_ms,
            )
        self._rejections += 1
        self._rejected_ms = self._clock.now_ms()

    def _log_state(self, entry: ServerEntry, state: str, **fields: object) -> None:
        if self._log is None:
            return
        workspace, share = self.busiest or (None, 0.0)
        self._log.event(
            "admission_state",
            server=entry.server_id,
            group=entry.group,
            state=state,
            waiting=self.waiting,
            busiest_workspace=workspace,
            busiest_share=round(share, 2),
            **fields,
        )
