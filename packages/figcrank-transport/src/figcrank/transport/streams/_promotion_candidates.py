"""The servers of each group that may be promoted without losing an acknowledged commit."""

from collections.abc import Callable

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import GroupMembers, complete_position, rank_candidates
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.protocol.sessions import ServerReport
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._interfaces import StoreError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._primary_record_writer import PrimaryRecordWriter
from figcrank.transport.streams._router import Router

DEPARTURE_CHECK_MS = 1_000  # between rounds of status queries after a server has left
MEMBERS_RETRY_MS = 3_000  # between attempts to write a group's members

Reports = dict[str, ServerReport | None]
Candidate = tuple[str, ServerReport]


class PromotionCandidates:
    """Finds the candidates of a group, and follows which servers are its members.

    :param view: this host's view of the fleet.
    :param router: server pools.
    :param query: returns the status reports of a group's servers, but for one.
    :param stop: stops a group's servers, but for one, from acknowledging and receiving commits of
        the terms before one, and returns their reports.
    :param writer: writes the members to the store.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        view: FleetView,
        router: Router,
        query: Callable[[str, str], Reports],
        stop: Callable[[str, str, int], Reports],
        writer: PrimaryRecordWriter,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._view = view
        self._router = router
        self._query = query
        self._stop = stop
        self._writer = writer
        self._clock = clock
        self._log = log
        self._members: dict[str, GroupMembers] = {}
        self._recorded: dict[str, frozenset[str]] = {}  # members in the store, by group
        self._next_record_ms: dict[str, int] = {}
        self._next_departure_check_ms: dict[str, int] = {}

    def sync_replicas(self, group: str) -> int:
        """Return how many replicas of a group must hold a commit before it is acknowledged."""
        policy = self._view.catalog.groups.get(group) if self._view.catalog else None
        return policy.sync_replicas if policy else 0

    def members(self, group: str) -> frozenset[str]:
        """Return the members of a group with synchronous replicas; none for another group."""
        found = self._members.get(group)
        return found.ids if found else frozenset()

    def track(self, group: str, record: PrimaryRecord, is_first_reader: bool) -> None:
        """Update the members of a group whose primary is not being replaced.

        :param is_first_reader: whether this host writes them to the store.
        """
        if not self.sync_replicas(group):
            self._members.pop(group, None)
            return
        members = self._members.setdefault(group, GroupMembers())
        members.observe(self._router.entries_of(group))
        now_ms = self._clock.now_ms()
        if members.departed and now_ms >= self._next_departure_check_ms.get(group, 0):
            self._next_departure_check_ms[group] = now_ms + DEPARTURE_CHECK_MS
            eventlet.spawn_n(self._check_departed, group, record.server_id)
        is_due = now_ms >= self._next_record_ms.get(group, 0)
        if is_first_reader and is_due and self._recorded.get(group) != members.ids:
            self._next_record_ms[group] = now_ms + MEMBERS_RETRY_MS
            eventlet.spawn_n(self._record_members, group)

    def _check_departed(self, group: str, primary_id: str) -> None:
        """Forget the departed members once the others have every commit of theirs."""
        members = self._members.get(group)
        pool = self._router.pool(primary_id)
        if members is None or pool is None:
            return
        departed = members.departed
        primary = self._query(group, "").get(primary_id)
        replicas = self._query(group, primary_id).values() if primary is not None else ()
        if members.forget_departed(self.sync_replicas(group), primary, list(replicas)):
            self._log.event("members_departed", group=group, servers=sorted(departed))

    def _record_members(self, group: str) -> None:
        """Write the members to the store, for hosts that start while one of them is not registered.

        A host that writes them for the first time adds those that an earlier one has left there.
        """
        members = self._members.get(group)
        if members is None:
            return
        try:
            stored = self._writer.read().members.get(group, frozenset())
            if group not in self._recorded:
                members.add(stored)
            wanted = members.ids
            if stored != wanted:
                self._writer.write_members(group, wanted)
            self._recorded[group] = wanted
        except StoreError:
            return  # logged and counted by the call; retried later

    def adopt_stored_members(self, group: str) -> None:
        """Add the members that the store has after a replacement was written there."""
        if self.sync_replicas(group):
            members = self._members.setdefault(group, GroupMembers())
            members.add(self._writer.members(group))

    def find(self, group: str, record: PrimaryRecord) -> list[Candidate]:
        """Return the servers that may be promoted now, best first.

        In a group with synchronous replicas these are the ones that have every acknowledged
        commit; none while the servers that answer do not prove which ones that are. The old
        primary is one of them once it is demoted, and otherwise if no other server answers.

        :param record: record of the replacement, which fences the old primary.
        """
        leaving = {e.server_id for e in self._router.entries_of(group) if e.draining}
        sync_replicas = self.sync_replicas(group)
        if not sync_replicas:
            candidates = self._rank(self._query(group, record.server_id), leaving)
            return candidates or self._rank(self._query(group, ""), leaving)
        members = self._members.setdefault(group, GroupMembers())
        members.observe(self._router.entries_of(group))
        reports = self._stop_all(group, record.server_id, record.term + 1)
        complete = complete_position(members.ids, sync_replicas, reports)
        if complete is None:  # the answer of the old primary, if it has returned, may prove one
            reports = self._stop_all(group, "", record.term + 1)
            complete = complete_position(members.ids, sync_replicas, reports)
        if complete is None:
            self._log.event(
                "complete_log_unproven",
                group=group,
                sync_replicas=sync_replicas,
                members=sorted(members.ids),
                answered=sorted(name for name, report in reports.items() if report is not None),
            )
            return []
        holders = {
            server_id: report
            for server_id, report in reports.items()
            if report is not None and report.position is not None and report.position >= complete
        }
        return self._rank(holders, leaving | {record.server_id})

    def _stop_all(self, group: str, except_id: str, term: int) -> Reports:
        """Return the servers' reports as of when they stopped receiving from the old primary.

        An interrupted replacement may have promoted a server, so that the newest term is not known.

        :param except_id: id of a server that is not asked.
        :param term: a term above the newest one that is known.
        """
        while True:
            reports = self._stop(group, except_id, term)
            terms = [report.term for report in reports.values() if report is not None]
            if max(terms, default=0) < term:
                return reports
            term = max(terms) + 1

    def _rank(self, reports: Reports, leaving: set[str]) -> list[Candidate]:
        found = [
            (server_id, report)
            for server_id, report in reports.items()
            if report is not None and not self.is_evacuated(server_id)
        ]
        return rank_candidates(found, leaving, self._router.cold.server_ids())

    def is_evacuated(self, server_id: str) -> bool:
        """Return whether a server is in an availability zone that is evacuated."""
        pool = self._router.pool(server_id)
        return pool is not None and not self._router.guard.is_open(pool.entry)

    def best_has_reached(self, group: str, old_id: str, target: Position) -> bool:
        """Return whether the best candidate has reached a position of the primary."""
        leaving = {e.server_id for e in self._router.entries_of(group) if e.draining}
        candidates = self._rank(self._query(group, old_id), leaving)
        return bool(candidates) and (candidates[0][1].position or target) >= target

    def has_caught_up(self, group: str, old_id: str, target: Position) -> bool:
        """Return whether a server that could take over has reached a position of the primary."""
        reports = self._query(group, old_id)
        leaving = {e.server_id for e in self._router.entries_of(group) if e.draining}
        return any(
            (report.position or target) >= target
            for server_id, report in self._rank(reports, leaving)
            if server_id not in leaving
        )
