"""The primary of each database group, as this host knows it.

A host uses the records under a lease. A round trip to a majority of the hosts renews it, and so
does a read of the store by this host or by a peer. A host that reaches neither stops using
primaries before another host may promote a server.
"""

from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state._catalog import Registry

LEASE_MS = 1_500  # five heartbeats; a promotion waits this long for hosts that don't respond
# Two leases; a promotion waits this long if a majority of the hosts may still use the old primary.
MAJORITY_LEASE_MS = 3_000


class PrimaryTable:
    """The newest known primary record of each database group."""

    def __init__(self) -> None:
        self._records: dict[str, PrimaryRecord] = {}
        self._changed_ms: dict[str, int] = {}
        self._usable_server_ids: dict[str, str] = {}

    def get(self, group: str) -> PrimaryRecord | None:
        """Return the record of a group, ``None`` if it is unknown."""
        return self._records.get(group)

    def all(self) -> dict[str, PrimaryRecord]:
        """Return all records by group."""
        return dict(self._records)

    def replaced(self) -> dict[str, PrimaryRecord]:
        """Return the records that hosts cannot derive from the registry."""
        return {group: record for group, record in self._records.items() if record.version}

    def merge(self, group: str, record: PrimaryRecord, now_ms: int) -> bool:
        """Merge a record from a peer or the store and return whether it changed the table."""
        known = self._records.get(group)
        if known is not None and record.version <= known.version:
            if record.version < known.version or known.term or not record.term:
                return False
            if record.server_id != known.server_id:
                return False
        self._records[group] = record
        if not record.moving:
            self._usable_server_ids[group] = record.server_id
        if known != record:
            self._changed_ms[group] = now_ms
        return known != record

    def adopt_registry(self, registry: Registry, now_ms: int) -> list[str]:
        """Take the primary from the registry for groups whose primary was never replaced.

        A group in which no server or several servers claim to be the primary is skipped.

        :returns: the groups whose record changed.
        """
        changed = []
        groups = {entry.group for entry in registry.servers.values()}
        for group in sorted(groups):
            known = self._records.get(group)
            if known is not None and known.version > 0:
                continue
            claims = [e.server_id for e in registry.of_group(group) if e.claims_primary]
            if len(claims) != 1 or (known and known.server_id == claims[0]):
                continue
            self._records[group] = PrimaryRecord(0, 0, claims[0])
            self._usable_server_ids[group] = claims[0]
            self._changed_ms[group] = now_ms
            changed.append(group)
        return changed

    def replaced_servers(self, group: str) -> set[str]:
        """Return the servers that must no longer be used as the group's primary.

        During a replacement that follows an interrupted one, this may be a server that the
        interrupted one promoted, besides the one that is being replaced.

        :returns: server ids, none if the primary isn't being replaced.
        """
        record = self._records.get(group)
        if record is None or not record.moving:
            return set()
        return {record.server_id, self._usable_server_ids.get(group, record.server_id)}

    def set_initial_term(self, group: str, server_id: str, term: int) -> None:
        """Record the term that the primary reports, if the term is not known yet."""
        known = self._records.get(group)
        if known and not known.term and not known.moving and known.server_id == server_id:
            self._records[group] = PrimaryRecord(known.version, term, server_id)

    def unchanged_for_ms(self, group: str, now_ms: int) -> int:
        """Return the time since the record of a group last changed."""
        return now_ms - self._changed_ms.get(group, now_ms)

    def moving_for_ms(self, group: str, now_ms: int) -> int:
        """Return the time since the group's current replacement began, 0 if there is none."""
        known = self._records.get(group)
        if known is None or not known.moving:
            return 0
        return max(1, now_ms - self._changed_ms[group])
