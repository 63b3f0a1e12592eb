"""The replicated log of a backend server."""

import msgspec

from figcrank.protocol import Statement
from figcrank.state import ORIGIN, Position


class LogEntry(msgspec.Struct, frozen=True):
    """One committed transaction.

    :param position: place in the log.
    :param statements: statements to apply, in order; none for the entry that begins a term.
    :param request_id: id of the request record, empty if the transaction kept none.
    :param results: JSON text of the results kept with the record.
    """

    position: Position
    statements: tuple[Statement, ...] = ()
    request_id: str = ""
    results: str = "[]"


class ReplicationBatch(msgspec.Struct, frozen=True):
    """Entries for a replica.

    :param after: position of the entry before the first one; the logs agree up to it if the
        replica holds it, else they diverge at its offset or earlier.
    :param entries: consecutive entries.
    """

    after: Position
    entries: tuple[LogEntry, ...]


class ReplicationLog:
    """Entries in order of their offsets, which count from 1 without gaps.

    Two logs that hold the same position are equal up to it.
    """

    def __init__(self) -> None:
        self._entries: list[LogEntry] = []
        self._term_starts: dict[int, int] = {}

    @property
    def last(self) -> Position:
        """Return the position of the last entry, :data:`ORIGIN` if there is none."""
        return self.position_at(len(self._entries))

    def append(self, entry: LogEntry) -> None:
        """Add an entry at the end."""
        self._entries.append(entry)
        self._term_starts.setdefault(entry.position.term, entry.position.offset)

    def entry(self, offset: int) -> LogEntry:
        """Return the entry at ``offset``."""
        return self._entries[offset - 1]

    def position_at(self, offset: int) -> Position:
        """Return the position of the entry at ``offset``, :data:`ORIGIN` for 0."""
        return self._entries[offset - 1].position if offset else ORIGIN

    def holds(self, position: Position) -> bool:
        """Return whether the log contains the entry at ``position``."""
        if position.offset > len(self._entries):
            return False
        return self.position_at(position.offset) == position

    def term_start(self, term: int) -> int:
        """Return the offset of the first entry of ``term``, 0 if there is none."""
        return self._term_starts.get(term, 0)

    def truncate(self, offset: int) -> None:
        """Drop every entry after ``offset``."""
        del self._entries[offset:]
        starts = self._term_starts.items()
        self._term_starts = {term: start for term, start in starts if start <= offset}

    def batch_after(self, position: Position, limit: int) -> ReplicationBatch:
        """Return up to ``limit`` entries for a log that ends at ``position``.

        If ``position`` is not in this log, the batch starts after the newest entry that is
        neither of a later term nor at a greater offset.
        """
        offset = min(position.offset, len(self._entries))
        while offset and self.position_at(offset).term > position.term:
            offset -= 1
        entries = tuple(self._entries[offset : offset + limit])
        return ReplicationBatch(self.position_at(offset), entries)
