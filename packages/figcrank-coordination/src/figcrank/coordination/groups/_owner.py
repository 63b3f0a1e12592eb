"""One database group at one of its owner hosts: connections, routing, writes, failover."""

from collections.abc import Callable
from dataclasses import replace

from figcrank.coordination._call import RETRY_AFTER_MS
from figcrank.coordination._events import ConnectionFailed, ConnectionOpened, WorkFinished
from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._failover import Failover
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._majority import MajorityWait
from figcrank.coordination.groups._pool import Pool, Share
from figcrank.coordination.groups._reports import Reports
from figcrank.coordination.groups._routing import Reads
from figcrank.coordination.groups._settlement import Settlement
from figcrank.coordination.groups._transactions import Transactions
from figcrank.coordination.groups._writes import Writes
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

# Work on a server that has not answered for this time is given up.
ABANDON_MS = 250
# A new process holds requests while it waits for its share; later, other owners take them.
STARTUP_SHARES = 2


class GroupOwner:
    """Runs requests on one database group and keeps the group alive.

    Every host has one for each group; it only queries servers while it is an owner or the one
    prober besides, or still has work in hand.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param placement: tells the owners of the group.
    :param group: the group.
    :param random: random source for jitter.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        placement: Placement,
        group: Group,
        random: RandomSource,
    ) -> None:
        self._settings = settings
        self._placement = placement
        self._group = group
        self._view = GroupView(settings, port, group)
        self._pool = Pool(settings, port, group)
        self._majority = MajorityWait(settings, port, group, self._view)
        self._settlement = Settlement(settings, port, group, self._view, self._majority)
        self._reads = Reads(settings, port, group, self._view, self._pool)
        self._writes = Writes(
            settings, port, group, self._view, self._pool, self._majority, self._settlement
        )
        self._transactions = Transactions(
            settings,
            port,
            group,
            self._view,
            self._pool,
            self._majority,
            self._settlement,
            self._writes,
            random,
        )
        self._reports = Reports(settings, port, placement, group, self._view)
        self._failover = Failover(
            settings,
            port,
            placement,
            group,
            random,
            self._view,
            self._reports,
            self._writes.pause,
            lambda: self._writes.sent,
        )
        self._view.when_changed(self._on_change)
        self._primary = ""
        self._primary_term = 0
        self._started_ms: int | None = None
        self._rank: int | None = None
        self._leaving = False

    def submit(
        self, request: OwnedRequest, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Run a request of one transaction; calls back exactly once."""
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
        """Take a step of a transaction owned here; calls back exactly once."""
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
        if prober_rank is None and not self._view.has_orders and self.is_idle():
            return
        self._view.tick(now_ms)
        self._reports.tick(now_ms)
        if prober_rank is not None:
            self._failover.tick(prober_rank, now_ms)
        self._give_up_on_silent(now_ms)
        self._pool.tick(self._rank, now_ms)
        self._majority.advance(now_ms)
        self._settlement.tick(now_ms)
        self._transactions.tick(now_ms)
        self._writes.tick(now_ms)
        self._reads.tick(now_ms)
        self._dispatch(now_ms)

    def on_gossip(self, sender: str, message: GroupReport, now_ms: int) -> None:
        """Take what another probing host saw of the group."""
        self._reports.take(sender, message, now_ms)

    def on_opened(self, event: ConnectionOpened, now_ms: int) -> bool:
        """Take an opened connection; return whether it is one of this group's."""
        mine = self._pool.on_opened(event, now_ms)
        if mine:
            self._dispatch(now_ms)
        return mine

    def on_failed(self, event: ConnectionFailed, now_ms: int) -> bool:
        """Take a failed connection; return whether it is one of this group's."""
        return self._pool.on_failed(event, now_ms)

    def on_finished(self, event: WorkFinished, now_ms: int) -> bool:
        """Take the end of work; return whether the connection is one of this group's."""
        mine = self._pool.on_finished(event, now_ms)
        if mine:
            self._dispatch(now_ms)
        return mine

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """End the queued requests and open transactions of a key."""
        self._reads.withdraw_key(key_id, now_ms)
        self._writes.withdraw_key(key_id, now_ms)
        self._transactions.withdraw_key(key_id, now_ms)

    def switch(self, server: str, now_ms: int) -> Failure | None:
        """Begin a planned change of primary; return why not, if it can't be done."""
        probers = [host.name for host in self._placement.probers(self._group.name)]
        if self._settings.host.name not in probers:
            message = f"This host does not own the group; ask one of {', '.join(probers)}."
            return Failure.not_run(FailureKind.NO_OWNER, message)
        return self._failover.switch(server, now_ms)

    def has_server(self, name: str) -> bool:
        """Return whether the group has a server called ``name``."""
        return any(server.name == name for server in self._group.servers)

    def drain_server(self, server: str, draining: bool, now_ms: int) -> None:
        """Give a server no new work, or take it back into use.

        The probing hosts learn it from this host's reports, and keep to the last one that they
        heard; they move the primary off the server.
        """
        self._view.drain(server, draining)

    def leave(self, now_ms: int) -> None:
        """Take no new requests; what is in hand finishes."""
        self._leaving = True

    def is_idle(self) -> bool:
        """Return whether nothing is in hand."""
        return not (self._reads.in_hand or self._writes.in_hand or self._transactions.in_hand)

    def status(self, now_ms: int) -> GroupStatus:
        """Return what is believed of the group."""
        owners = tuple(host.name for host in self._placement.owners(self._group.name))
        primary = self._view.primary()
        statuses = tuple(
            replace(status, leaving=self._view.is_leaving(status.server))
            for status in self._view.statuses
        )
        return GroupStatus(
            self._group.name,
            primary.term if primary else self._view.highest_term,
            primary.server if primary else "",
            owners,
            statuses,
            self._writes.queued,
            tuple(s.name for s in self._group.servers if self._view.is_failing(s.name, now_ms)),
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
        startup_ms = STARTUP_SHARES * self._settings.timings.suspicion_ms
        return now_ms - self._started_ms >= startup_ms

    def _update_rank(self, now_ms: int) -> int | None:
        """Note this host's place among the owners; return its place among the probing hosts."""
        probers = [host.name for host in self._placement.probers(self._group.name)]
        me = self._settings.host.name
        place = probers.index(me) if me in probers else None
        if self._leaving:
            return place
        # With fewer slots than owners, the last owners have none and leave requests to the others.
        slots = Share.from_rank(self._settings, self._group, place).slots
        rank = place if slots > 0 else None
        if rank is None and self._rank is not None:
            message = "This host does not own the database group any more."
            failure = Failure.not_run(FailureKind.NO_OWNER, message, RETRY_AFTER_MS)
            self._writes.flush(failure, now_ms)
            self._reads.flush(failure, now_ms)
            self._transactions.flush(failure, now_ms)
        self._rank = rank
        return place

    def _on_change(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is not None and primary.term > self._primary_term:
            replaced, self._primary = self._primary, primary.server
            self._primary_term = primary.term
            if replaced and replaced != primary.server:
                self._pool.abandon(replaced, reads_too=False, now_ms=now_ms)
            self._settlement.tick(now_ms)
        self._dispatch(now_ms)

    def _give_up_on_silent(self, now_ms: int) -> None:
        for server in self._group.servers:
            if self._view.silent_ms(server.name, now_ms) >= ABANDON_MS:
                self._pool.abandon(server.name, reads_too=True, now_ms=now_ms)

    def _dispatch(self, now_ms: int) -> None:
        self._transactions.dispatch(now_ms)
        self._writes.dispatch(now_ms)
        self._reads.dispatch(now_ms)
