"""One database group at one of its owner hosts: combines connections, reads, writes, failover."""

from collections.abc import Callable
from dataclasses import replace

from figcrank.coordination._call import RETRY_AFTER_MS
from figcrank.coordination._events import ConnectionFailed, ConnectionOpened, WorkFinished
from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._failover import Failover
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._majority import MajorityWait
from figcrank.coordination.groups._pool import ConnectionPool, Share
from figcrank.coordination.groups._reports import ReportExchange
from figcrank.coordination.groups._routing import ReadRouter
from figcrank.coordination.groups._settlement import Settlement
from figcrank.coordination.groups._transactions import TransactionManager
from figcrank.coordination.groups._writes import WriteExecutor
from figcrank.coordination.membership import Placement
from figcrank.protocol import (
    Failure,
    FailureKind,
    GroupReport,
    GroupStatus,
    OwnedAnswer,
    OwnedRequest,
    TransactionStep,
    is_read,
)
from figcrank.state import Group, RandomSource

OnAnswer = Callable[[OwnedAnswer | Failure, int], None]

# Work on a server is abandoned once the server has been unresponsive for this long.
ABANDON_AFTER_MS = 250
# A new process that has no share yet queues requests for this many suspicion periods, then refuses
# them so that other owners take them.
STARTUP_SUSPICION_PERIODS = 2


class GroupOwner:
    """Runs requests on one database group and drives its failover.

    Every host has one instance per group. An instance queries servers only while this host is one
    of the group's probing hosts (the owners and one more host), has unfinished work, or has ever
    drained a server for an operator.

    :param settings: static settings of this host.
    :param outbox: sends requests and emits actions.
    :param placement: provides the owners and probing hosts of the group.
    :param group: the group.
    :param random: random source for jitter and transaction ids.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        placement: Placement,
        group: Group,
        random: RandomSource,
    ) -> None:
        self._settings = settings
        self._placement = placement
        self._group = group
        self._view = GroupView(settings, outbox, group)
        self._pool = ConnectionPool(settings, outbox, group)
        self._majority_wait = MajorityWait(settings, outbox, group, self._view)
        self._settlement = Settlement(settings, outbox, group, self._view, self._majority_wait)
        self._reads = ReadRouter(settings, outbox, group, self._view, self._pool)
        self._writes = WriteExecutor(
            settings, outbox, group, self._view, self._pool, self._majority_wait, self._settlement
        )
        self._transactions = TransactionManager(
            settings,
            outbox,
            group,
            self._view,
            self._pool,
            self._majority_wait,
            self._settlement,
            self._writes,
            random,
        )
        self._reports = ReportExchange(settings, outbox, placement, group, self._view)
        self._failover = Failover(
            settings,
            outbox,
            placement,
            group,
            random,
            self._view,
            self._reports,
            self._writes.set_paused,
            lambda: self._writes.in_flight,
        )
        self._view.add_listener(self._on_view_change)
        self._primary = ""
        self._primary_term = 0
        self._started_ms: int | None = None
        self._rank: int | None = None
        self._leaving = False

    def submit(
        self, request: OwnedRequest, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Run a request as one transaction; calls back exactly once."""
        refusal = self._refusal(now_ms)
        if refusal is not None:
            on_answer(refusal, now_ms)
        elif not request.settles and all(is_read(statement) for statement in request.statements):
            self._reads.submit(request, deadline_ms, now_ms, on_answer)
        else:
            self._writes.submit(request, deadline_ms, now_ms, on_answer)

    def step(
        self, step: TransactionStep, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Run a step of a transaction that this host owns; calls back exactly once."""
        refusal = self._refusal(now_ms) if step.action == "begin" else None
        if refusal is not None:
            on_answer(refusal, now_ms)
            return
        self._transactions.step(step, deadline_ms, now_ms, on_answer)

    def tick(self, now_ms: int) -> None:
        """Query servers, expire queued requests, detect failures and drive failover."""
        if self._started_ms is None:
            self._started_ms = now_ms
        prober_rank = self._update_rank(now_ms)
        if prober_rank is None and not self._view.has_drain_requests and self.is_idle():
            return
        self._view.tick(now_ms)
        self._reports.tick(now_ms)
        if prober_rank is not None:
            self._failover.tick(prober_rank, now_ms)
        self._abandon_unresponsive(now_ms)
        self._pool.tick(self._rank, now_ms)
        self._majority_wait.advance(now_ms)
        self._settlement.tick(now_ms)
        self._transactions.tick(now_ms)
        self._writes.tick(now_ms)
        self._reads.tick(now_ms)
        self._dispatch(now_ms)

    def on_gossip(self, sender: str, message: GroupReport, now_ms: int) -> None:
        """Process a report from another probing host."""
        self._reports.record(sender, message, now_ms)

    def on_opened(self, event: ConnectionOpened, now_ms: int) -> bool:
        """Process an opened connection; return whether it belongs to this group."""
        belongs = self._pool.on_opened(event, now_ms)
        if belongs:
            self._dispatch(now_ms)
        return belongs

    def on_failed(self, event: ConnectionFailed, now_ms: int) -> bool:
        """Process a failed connection; return whether it belongs to this group."""
        return self._pool.on_failed(event, now_ms)

    def on_finished(self, event: WorkFinished, now_ms: int) -> bool:
        """Process finished work; return whether its connection belongs to this group."""
        belongs = self._pool.on_finished(event, now_ms)
        if belongs:
            self._dispatch(now_ms)
        return belongs

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """Refuse the queued requests and end the open transactions of a withdrawn key."""
        self._reads.withdraw_key(key_id, now_ms)
        self._writes.withdraw_key(key_id, now_ms)
        self._transactions.withdraw_key(key_id, now_ms)

    def switch(self, server: str, now_ms: int) -> Failure | None:
        """Begin a planned switch of the primary.

        :param server: server to promote, empty for the best candidate.
        :returns: why the switch was refused, ``None`` if it has begun.
        """
        probers = [host.name for host in self._placement.probers(self._group.name)]
        if self._settings.host.name not in probers:
            message = (
                "This host does not probe the group; send the request to one of"
                f" {', '.join(probers)}."
            )
            return Failure.not_run(FailureKind.NO_OWNER, message)
        return self._failover.switch(server, now_ms)

    def has_server(self, name: str) -> bool:
        """Return whether the group has a server called ``name``."""
        return any(server.name == name for server in self._group.servers)

    def drain_server(self, server: str, draining: bool, now_ms: int) -> None:
        """Drain a server, so that it gets no new work, or end the drain.

        The probing hosts receive the change through this host's reports and apply the latest one.
        They switch the primary away from a drained server.
        """
        self._view.drain(server, draining)

    def leave(self, now_ms: int) -> None:
        """Refuse new requests; unfinished work completes."""
        self._leaving = True

    def is_idle(self) -> bool:
        """Return whether no work is unfinished."""
        return not (
            self._reads.unanswered or self._writes.unanswered or self._transactions.unanswered
        )

    def status(self, now_ms: int) -> GroupStatus:
        """Return the group's status as observed by this host."""
        owners = tuple(host.name for host in self._placement.owners(self._group.name))
        primary = self._view.primary()
        statuses = tuple(
            replace(status, leaving=self._view.is_draining(status.server))
            for status in self._view.statuses
        )
        return GroupStatus(
            self._group.name,
            primary.term if primary else self._view.highest_term,
            primary.server if primary else "",
            owners,
            statuses,
            self._writes.queued,
            tuple(
                s.name for s in self._group.servers if self._view.is_unresponsive(s.name, now_ms)
            ),
        )

    def _refusal(self, now_ms: int) -> Failure | None:
        if self._leaving:
            return Failure.not_run(FailureKind.LEAVING, "This host is leaving.", RETRY_AFTER_MS)
        if self._rank is not None and not self._lacks_share(now_ms):
            return None
        message = "This host does not own the database group."
        return Failure.not_run(FailureKind.NO_OWNER, message, RETRY_AFTER_MS)

    def _lacks_share(self, now_ms: int) -> bool:
        if self._pool.share.slots > 0 or self._started_ms is None:
            return False
        startup_ms = STARTUP_SUSPICION_PERIODS * self._settings.timings.suspicion_ms
        return now_ms - self._started_ms >= startup_ms

    def _update_rank(self, now_ms: int) -> int | None:
        """Update this host's rank among the owners; return its rank among the probing hosts.

        Refuses the queued requests if this host is no longer an owner.
        """
        probers = [host.name for host in self._placement.probers(self._group.name)]
        host_name = self._settings.host.name
        prober_rank = probers.index(host_name) if host_name in probers else None
        if self._leaving:
            return prober_rank
        # With fewer slots than owners, the owners of the highest ranks have none and refuse work.
        slots = Share.from_rank(self._settings, self._group, prober_rank).slots
        rank = prober_rank if slots > 0 else None
        if rank is None and self._rank is not None:
            message = "This host no longer owns the database group."
            failure = Failure.not_run(FailureKind.NO_OWNER, message, RETRY_AFTER_MS)
            self._writes.flush(failure, now_ms)
            self._reads.flush(failure, now_ms)
            self._transactions.flush(failure, now_ms)
        self._rank = rank
        return prober_rank

    def _on_view_change(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is not None and primary.term > self._primary_term:
            replaced, self._primary = self._primary, primary.server
            self._primary_term = primary.term
            if replaced and replaced != primary.server:
                self._pool.abandon(replaced, include_reads=False, now_ms=now_ms)
            self._settlement.tick(now_ms)
        self._dispatch(now_ms)

    def _abandon_unresponsive(self, now_ms: int) -> None:
        for server in self._group.servers:
            if self._view.unresponsive_ms(server.name, now_ms) >= ABANDON_AFTER_MS:
                self._pool.abandon(server.name, include_reads=True, now_ms=now_ms)

    def _dispatch(self, now_ms: int) -> None:
        self._transactions.dispatch(now_ms)
        self._writes.dispatch(now_ms)
        self._reads.dispatch(now_ms)
