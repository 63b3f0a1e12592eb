"""Finds the first primary of groups whose servers' entries do not name exactly one.

An entry of another writer may claim to be the primary, or the primary may be gone when the hosts
start for the first time. No host has promoted a server then, so the servers themselves tell which
one is the primary.
"""

from collections.abc import Callable

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import newest_primary
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import StoreError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._primary_record_writer import PrimaryRecordWriter
from figcrank.transport.streams._promotion_candidates import Reports
from figcrank.transport.streams._store_reader import StoreReader

QUERY_INTERVAL_MS = 500
# Servers that start together with the hosts have all reported their roles by then.
LEADERLESS_MS = 5_000


class InitialPrimaries:
    """Records the primaries of groups without a record, one attempt at a time for each group.

    :param view: this host's view of the fleet.
    :param store: tells whether this host reads for all and whether the store has eras.
    :param writer: writes the records.
    :param query: returns the status report of each known server of a group.
    :param address_of: returns the address of a server.
    :param merge: merges a group's record into this host's view.
    :param replace: replaces the primary of a group in which no server is one.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        view: FleetView,
        store: StoreReader,
        writer: PrimaryRecordWriter,
        query: Callable[[str], Reports],
        address_of: Callable[[str], str],
        merge: Callable[[str, PrimaryRecord], None],
        replace: Callable[[str, PrimaryRecord], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._view = view
        self._store = store
        self._writer = writer
        self._query = query
        self._address_of = address_of
        self._merge = merge
        self._replace = replace
        self._clock = clock
        self._log = log
        self._since_ms: dict[str, int] = {}  # by group without a record
        self._next_query_ms: dict[str, int] = {}

    def check(self, now_ms: int) -> None:
        """Query the servers of each group that has had no record for a moment."""
        known = self._view.primary_table.all()
        groups = {entry.group for entry in self._view.registry.servers.values()} - known.keys()
        # A store with eras has a record from the first settlement on.
        if not groups or self._store.era or not self._store.is_first_reader(now_ms):
            self._since_ms.clear()
            return
        for group in self._since_ms.keys() - groups:
            del self._since_ms[group]
        for group in groups:
            since_ms = self._since_ms.setdefault(group, now_ms)
            due_ms = max(since_ms + QUERY_INTERVAL_MS, self._next_query_ms.get(group, 0))
            if now_ms >= due_ms and self._store.registry_is_recent(now_ms):
                self._next_query_ms[group] = now_ms + QUERY_INTERVAL_MS
                eventlet.spawn_n(self._find, group, now_ms - since_ms)

    def _find(self, group: str, lacking_ms: int) -> None:
        reports = self._query(group)
        if self._view.primary_table.get(group) is not None:
            return
        found = newest_primary(reports)
        answered = [report for report in reports.values() if report is not None]
        self._log.event(
            "primary_settled" if found else "primary_not_settled",
            group=group,
            primary=found[0] if found else None,
            silent=sorted(name for name, report in reports.items() if report is None),
        )
        if found is None:
            leaderless = answered and not any(report.is_primary for report in answered)
            if leaderless and lacking_ms >= LEADERLESS_MS:
                self._replace(group, PrimaryRecord(0, max(report.term for report in answered), ""))
            return
        server_id, report = found
        record = PrimaryRecord(1, report.term, server_id, address=self._address_of(server_id))
        try:
            self._writer.write(group, record)
        except StoreError:
            return  # logged and counted by the call; retried later
        self._merge(group, record)
