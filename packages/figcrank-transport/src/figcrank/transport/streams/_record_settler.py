"""Writes the primaries again after the store has come back from an older copy.

The copy may lack replacements that were written to the store since. A group's record is settled in
the store's present era once a holder of this era has written it. Until then, reading the store
confirms no primary, and a host that knows no record of a group does not take one from the store.
"""

from collections.abc import Callable

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import (
    PROMOTION_EFFECT_MS,
    first_version,
    is_settled,
    proven_primary,
)
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.protocol.sessions import ServerReport
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import StoreError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._primary_record_writer import PrimaryRecordWriter
from figcrank.transport.streams._store_reader import StoreReader

POLL_INTERVAL_MS = 100
RETRY_MS = 1_000  # a server that did not answer may answer then


class RecordSettler:
    """Settles the records of all groups in the store's present era, one attempt at a time.

    :param view: this host's view of the fleet.
    :param store: makes store calls.
    :param writer: writes the record of primaries.
    :param query: returns the status report of each known server of a group, by server id; ``None``
        for one that does not answer.
    :param address_of: returns the address of a server.
    :param merge: merges a group's record into this host's view.
    :param start_replacement: replaces the primary of a group in which no server is primary.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        view: FleetView,
        store: StoreReader,
        writer: PrimaryRecordWriter,
        query: Callable[[str], dict[str, ServerReport | None]],
        address_of: Callable[[str], str],
        merge: Callable[[str, PrimaryRecord], None],
        start_replacement: Callable[[str, PrimaryRecord], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._view = view
        self._store = store
        self._writer = writer
        self._query = query
        self._address_of = address_of
        self._merge = merge
        self._start_replacement = start_replacement
        self._clock = clock
        self._log = log
        self._running = False
        self._next_attempt_ms = 0

    def check(self, now_ms: int) -> None:
        """Begin an attempt if this host is the first store reader and a record is not settled."""
        if self._running or now_ms < self._next_attempt_ms or not self._store.era:
            return
        if self._unsettled_groups() and self._store.is_first_reader(now_ms):
            self._running = True
            eventlet.spawn_n(self._run)

    def _unsettled_groups(self) -> list[str]:
        table, era = self._view.primary_table, self._store.era
        registered = {entry.group for entry in self._view.registry.servers.values()}
        groups = sorted(registered | table.all().keys())
        return [group for group in groups if not is_settled(table.get(group), era)]

    def _run(self) -> None:
        try:
            self._settle()
        except StoreError as error:
            self._log.event("primaries_not_settled", reason=str(error))
        finally:
            self._next_attempt_ms = self._clock.now_ms() + RETRY_MS
            self._running = False

    def _settle(self) -> None:
        era = self._store.era
        stored = self._writer.read()
        for group, record in stored.records.items():
            if is_settled(record, era):
                self._merge(group, record)
        if not self._unsettled_groups():
            return
        right = self._writer.hold()
        # Promotions that were ordered before have then arrived and taken effect.
        settled_ms = right.not_before_ms + PROMOTION_EFFECT_MS
        while self._clock.now_ms() < settled_ms or not self._registry_is_complete():
            eventlet.sleep(POLL_INTERVAL_MS / 1_000)
        complete = self._store.registry_is_fresh(self._clock.now_ms())
        if not complete or era != self._store.era:
            return
        settled = {}
        for group in self._unsettled_groups():
            own = self._view.primary_table.get(group)
            if own is not None and own.moving:
                continue  # its replacement writes the record
            record = self._find_primary(group, own or stored.records.get(group), era)
            settled.update({group: record} if record else {})
        if settled:
            for group, record in self._writer.settle(settled).records.items():
                self._merge(group, record)

    def _registry_is_complete(self) -> bool:
        """Return whether servers have had the time to write their entries again."""
        now_ms = self._clock.now_ms()
        return self._store.registry_is_fresh(now_ms) or not self._store.is_first_reader(now_ms)

    def _find_primary(
        self, group: str, known: PrimaryRecord | None, era: int
    ) -> PrimaryRecord | None:
        """Return the record of the primary that a group's servers prove, ``None`` if they don't.

        A group in which no server is primary is replaced.

        :param known: the newest known record, which may lack a replacement.
        """
        reports = self._query(group)
        primary = proven_primary(reports)
        self._log.event(
            "primary_settled" if primary else "primary_not_settled",
            group=group,
            era=era,
            known_server=known.server_id if known else None,
            primary=primary[0] if primary else None,
            silent=sorted(server_id for server_id, report in reports.items() if report is None),
        )
        if primary is not None:
            server_id, report = primary
            address = self._address_of(server_id)
            return PrimaryRecord(first_version(era), report.term, server_id, address=address)
        answered = [report for report in reports.values() if report is not None]
        leaderless = not any(report.is_primary for report in answered)
        if known and leaderless and len(answered) == len(reports):
            self._start_replacement(group, known)
        return None
