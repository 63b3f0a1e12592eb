"""A log and the database that its entries are applied to."""

from figcrank.standins._database import Database
from figcrank.standins._log import LogEntry, ReplicationBatch, ReplicationLog
from figcrank.state import Position


class ReplicaLog:
    """Durable entries, of which a leading part is applied to a database."""

    def __init__(self) -> None:
        self.log = ReplicationLog()
        self.database = Database()
        self._applied_offset = 0

    @property
    def durable(self) -> Position:
        """Return the position of the last entry."""
        return self.log.last

    @property
    def applied(self) -> Position:
        """Return the position of the last applied entry."""
        return self.log.position_at(self._applied_offset)

    def next_position(self, term: int) -> Position:
        """Return the position that the next entry of ``term`` gets."""
        return Position(term, self.durable.offset + 1)

    def append_committed(self, entry: LogEntry) -> None:
        """Add an entry whose changes the database has committed already."""
        self.log.append(entry)
        self._applied_offset = entry.position.offset

    def extend(self, batch: ReplicationBatch) -> bool:
        """Add the entries of ``batch``, dropping what diverges from it.

        :returns: whether the entries were added; if not, the log has become shorter and the next
            batch must be fetched from its new end.
        """
        if not self.log.holds(batch.after):
            self.truncate(batch.after.offset - 1)
            return False
        self._drop_divergent(batch)
        for entry in batch.entries:
            if entry.position.offset > self.durable.offset:
                self.log.append(entry)
        return True

    def truncate(self, offset: int) -> None:
        """Drop every entry after ``offset``, rebuilding the database if some were applied."""
        self.log.truncate(offset)
        if self._applied_offset <= offset:
            return
        self.database.close()
        self.database = Database()
        self._applied_offset = 0
        self.apply_up_to(offset)

    def apply_up_to(self, offset: int) -> None:
        """Apply durable entries up to ``offset``."""
        while self._applied_offset < min(offset, self.durable.offset):
            self.database.apply(self.log.entry(self._applied_offset + 1))
            self._applied_offset += 1

    def _drop_divergent(self, batch: ReplicationBatch) -> None:
        if not batch.entries:
            # A late empty batch says nothing about entries that came after it.
            return
        agreed = batch.after.offset
        for entry in batch.entries:
            if not self.log.holds(entry.position):
                break
            agreed = entry.position.offset
        if agreed == batch.entries[-1].position.offset:
            return
        if agreed < self.durable.offset:
            self.truncate(agreed)
