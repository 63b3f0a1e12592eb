"""Writes the record of primaries on behalf of all groups that this host replaces."""

from collections.abc import Callable, Mapping, Set
from typing import NoReturn

from eventlet.semaphore import Semaphore

from figcrank.coordination.primaries import PromotionRight, RecordHolder
from figcrank.protocol.heartbeats import PrimaryRecord, StoredPrimaries
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._store_reader import StoreReader

MAX_WRITE_ATTEMPTS = 3  # the record's revision also changes with other groups


class PrimaryRecordWriter:
    """Writes groups' records as the holder, one write at a time.

    :param host: name of this host.
    :param store: makes store calls.
    :param merge: merges a newer record that the store has for a group.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        host: str,
        store: StoreReader,
        merge: Callable[[str, PrimaryRecord], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._store = store
        self._merge = merge
        self._clock = clock
        self._log = log
        self._holder = RecordHolder(host)
        self._stored = StoredPrimaries()
        self._lock = Semaphore()

    def read(self) -> StoredPrimaries:
        """Return the present record.

        :raises StoreError: if it can't be read.
        """
        with self._lock:
            self._stored = self._store.call("read_primaries")
            return self._stored

    def hold(self) -> PromotionRight:
        """Become the holder, or confirm that this host is, without changing a group's record.

        :raises StoreError: if the record can't be written.
        """
        return self._write(self._holder.take_over)

    def settle(self, records: Mapping[str, PrimaryRecord]) -> StoredPrimaries:
        """Write settled records of several groups at once and return the record then stored.

        :raises StoreError: if this host is no longer the holder or the record can't be written.
        """

        def claim(stored: StoredPrimaries) -> StoredPrimaries:
            wanted = self._holder.settle(stored, records)
            if wanted is None:
                self._stored = StoredPrimaries()
                raise StoreError(StoreErrorKind.CONFLICT, "another host became the holder")
            return wanted

        self._write(claim, settled=sorted(records))
        return self._stored

    def write(
        self,
        group: str,
        record: PrimaryRecord,
        renews: bool = False,
        members: Set[str] = frozenset(),
    ) -> PromotionRight:
        """Write a group's record as the holder and return the right that this confirms.

        :param renews: whether this host has already written the record and only confirms it.
        :param members: the group's members that this host knows, in a group with synchronous
            replicas.
        :raises StoreError: if another host is the holder or the record can't be written.
        """

        def claim(stored: StoredPrimaries) -> StoredPrimaries:
            wanted = self._holder.claim(stored, group, record, renews, members)
            if wanted is None:
                self._yield_to_holder(group)
            return wanted

        return self._write(claim, group=group, version=record.version, moving=record.moving)

    def members(self, group: str) -> frozenset[str]:
        """Return a group's members as last read from the store or written there."""
        return self._stored.members.get(group, frozenset())

    def write_members(self, group: str, members: Set[str]) -> None:
        """Write a group's members to the store, unless a primary is being replaced.

        :raises StoreError: if they can't be written.
        """

        def claim(stored: StoredPrimaries) -> StoredPrimaries:
            wanted = self._holder.record_members(stored, group, members)
            if wanted is None:
                raise StoreError(StoreErrorKind.CONFLICT, "a primary is being replaced")
            return wanted

        self._write(claim, group=group, members=len(members))

    def _write(
        self, claim: Callable[[StoredPrimaries], StoredPrimaries], **fields: object
    ) -> PromotionRight:
        """Write what ``claim`` makes of the present record.

        :param fields: what is written, for the log.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            with self._lock:
                right = self._try_write(claim, fields)
            if right is not None:
                return right
        raise StoreError(
            StoreErrorKind.UNKNOWN, "writing the record of primaries conflicted or failed each time"
        )

    def _try_write(
        self, claim: Callable[[StoredPrimaries], StoredPrimaries], fields: dict[str, object]
    ) -> PromotionRight | None:
        """Write the record; return ``None`` if the write may be tried again.

        :raises StoreError: if another host is the holder or the write was rejected.
        """
        if not self._stored.revision:
            self._stored = self._store.call("read_primaries")
        stored = self._stored
        wanted = claim(stored)
        sent_ms = self._clock.now_ms()
        try:
            written = self._store.call("write_primaries", wanted)
        except StoreError as error:
            self._log.event("primaries_not_written", reason=str(error), **fields)
            self._stored = StoredPrimaries()
            if error.kind is StoreErrorKind.NOT_DONE:
                raise
            return None
        self._stored = written
        now_ms = self._clock.now_ms()
        right = self._holder.record_write(stored, written, sent_ms, now_ms)
        self._log.event(
            "primaries_written",
            token=right.token,
            revision=written.revision,
            previous_holder=stored.holder,
            wait_ms=max(0, right.not_before_ms - now_ms),
            took_ms=now_ms - sent_ms,
            **fields,
        )
        return right

    def _yield_to_holder(self, group: str) -> NoReturn:
        """Merge the record that another host wrote and stop the replacement.

        :raises StoreError: always.
        """
        known = self._stored.records.get(group)
        self._stored = StoredPrimaries()
        if known is not None:
            self._merge(group, known)
        raise StoreError(StoreErrorKind.CONFLICT, "another host is replacing this primary")
