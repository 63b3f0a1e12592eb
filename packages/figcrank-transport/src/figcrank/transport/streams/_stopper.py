"""Stops a host: closes idle sessions, ends transactions, answers what is left, and then exits."""

import math
import os
import traceback

import eventlet

from figcrank.coordination.sessions import HostLifetime, StopPlan
from figcrank.state._clock import Clock
from figcrank.transport.streams._caller_connection import STOPPING_DETAIL, CallerConnection
from figcrank.transport.streams._isolation import BALANCER_REMOVAL_MS
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics

CHECK_INTERVAL_MS = 100
SPREAD_INTERVAL_MS = 20


class HostStopper:
    """Ends the sessions of a stopping host within its grace time.

    :param sessions: live collection of the open sessions.
    :param lifetime: is told when the host ends.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    """

    def __init__(
        self,
        sessions: set[CallerConnection],
        lifetime: HostLifetime,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._sessions = sessions
        self._lifetime = lifetime
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def begin(self, grace_ms: int) -> None:
        """Plan the stop.

        :param grace_ms: time from now until the process is killed.
        """
        now_ms = self._clock.now_ms()
        self._lifetime.plan = StopPlan.from_grace(now_ms, grace_ms, BALANCER_REMOVAL_MS)
        self._log.event("stopping", sessions=len(self._sessions))

    def run(self) -> None:
        """End all sessions by the end of the plan; every request that was read is answered."""
        plan = self._lifetime.plan
        try:
            self._close_between_operations(plan)
        except Exception:  # noqa: BLE001 - the requests in progress must be answered all the same
            self._log.event("internal_error", trace=traceback.format_exc()[-1500:])
            self._metrics.count("internal_errors")
            self._sleep_until(plan.answers_end_ms)
        self._answer_the_rest(plan)
        self._log.event(
            "stopped",
            sessions=len(self._sessions),
            unanswered=sum(session.is_answering for session in self._sessions),
        )

    def exit(self) -> None:
        """End the process."""
        self._log.flush()
        os._exit(0)

    def _close_between_operations(self, plan: StopPlan) -> None:
        """Close sessions and roll back idle transactions until all have ended or time is up."""
        self._sleep_until(plan.closing_ms)
        sessions = list(self._sessions)
        closed, share = 0, 0.0
        while share < 1.0:
            # The loop of a busy host may need longer than planned for each of many sessions.
            share = plan.closing_share(self._clock.now_ms())
            due = math.ceil(share * len(sessions))
            for session in sessions[closed:due]:
                session.close_when_idle(spare_new=True)
            closed = due
            eventlet.sleep(SPREAD_INTERVAL_MS / 1_000)
        while self._sessions and self._clock.now_ms() < plan.answers_end_ms:
            for session in list(self._sessions):
                session.close_when_idle(spare_new=True)
                if session.in_transaction and self._clock.now_ms() >= plan.transactions_end_ms:
                    session.abort_transaction()
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)

    def _answer_the_rest(self, plan: StopPlan) -> None:
        for session in list(self._sessions):
            session.interrupt(STOPPING_DETAIL)
        while self._sessions and self._clock.now_ms() < plan.exit_ms:
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
        for session in self._sessions:
            session.report_unanswered("the host exits")

    def _sleep_until(self, at_ms: int) -> None:
        eventlet.sleep(max(0, at_ms - self._clock.now_ms()) / 1_000)
