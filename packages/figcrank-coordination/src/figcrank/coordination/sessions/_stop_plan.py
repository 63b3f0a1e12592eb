"""When a stopping host closes sessions, ends transactions, answers what is left and exits."""

from dataclasses import dataclass

EXIT_MARGIN_MS = 700  # exit this long before the process would be killed
DELIVERY_MS = 300  # for the last answers to reach their callers, a few lost packets included
STATEMENT_MARGIN_MS = 100  # from the end of a statement until its answer is sent, on a busy host
TRANSACTION_GRACE_FRACTION = 0.5  # of the grace time, for open transactions
REJECTION_MS = 1_000  # a session that starts later might not get its first answer
MAX_CLOSE_SPREAD_MS = 1_200  # idle sessions are closed over this time, to spread reconnects


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of a host's stop, in milliseconds of the host's clock.

    :param closing_ms: idle sessions are closed from then on.
    :param close_spread_ms: time over which the sessions that are idle then are closed.
    :param transactions_end_ms: open transactions are rolled back from then on.
    :param rejecting_ms: new sessions are rejected from then on.
    :param statements_end_ms: no statement runs longer.
    :param answers_end_ms: requests that are still in progress are answered with a failure.
    :param exit_ms: the process exits.
    """

    closing_ms: int
    close_spread_ms: int
    transactions_end_ms: int
    rejecting_ms: int
    statements_end_ms: int
    answers_end_ms: int
    exit_ms: int

    @classmethod
    def from_grace(cls, started_ms: int, grace_ms: int, removal_ms: int) -> "StopPlan":
        """Return the plan of a stop that begins now.

        :param started_ms: time at which the stop began.
        :param grace_ms: time from then until the process is killed.
        :param removal_ms: time until the load balancer sends no new callers. With a short grace
            time sessions are closed before.
        """
        exit_ms = started_ms + max(0, grace_ms - EXIT_MARGIN_MS)
        answers_end_ms = max(started_ms, exit_ms - DELIVERY_MS)
        closing_ms = started_ms + min(removal_ms, (answers_end_ms - started_ms) // 2)
        return cls(
            closing_ms,
            min(MAX_CLOSE_SPREAD_MS, (answers_end_ms - closing_ms) // 2),
            started_ms + int(grace_ms * TRANSACTION_GRACE_FRACTION),
            max(closing_ms, answers_end_ms - REJECTION_MS),
            max(started_ms, answers_end_ms - STATEMENT_MARGIN_MS),
            answers_end_ms,
            exit_ms,
        )

    def closing_share(self, now_ms: int) -> float:
        """Return the share of the sessions that are to be closed by now, from 0 to 1."""
        if now_ms >= self.closing_ms + self.close_spread_ms:
            return 1.0
        return max(0.0, (now_ms - self.closing_ms) / self.close_spread_ms)


class HostLifetime:
    """Tells the sessions of a host how long it runs."""

    def __init__(self) -> None:
        self.plan: StopPlan | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether the host was told to stop."""
        return self.plan is not None

    def rejects_sessions(self, now_ms: int) -> bool:
        """Return whether the host ends too soon to begin another session."""
        return self.plan is not None and now_ms >= self.plan.rejecting_ms

    def limit_ms(self, deadline_ms: int) -> int:
        """Return the deadline of a statement, not later than the host can answer it."""
        if self.plan is None:
            return deadline_ms
        return min(deadline_ms, self.plan.statements_end_ms)
