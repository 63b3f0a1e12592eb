"""What this host believes of each group's primary, and for how long it may act on it.

The belief is a lease: it is renewed by a round trip with a majority of the hosts, or by a reading
of the store, at first hand or through a peer. A host that is cut off from all of them stops using
primaries before the others may promote another server.
"""

from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state._catalog import Registry

LEASE_MS = 1_500  # five heartbeats; a promotion waits this long for hosts that don't answer
MAJORITY_LEASE_MS = 3_000  # two leases; a promotion waits so long for a possible majority


class PrimaryBook:
    """The primary of each database group."""

    def __init__(self) -> None:
        self._records: dict[str, PrimaryRecord] = {}
        self._changed_ms: dict[str, int] = {}

    def get(self, group: str) -> PrimaryRecord | None:
        """Return the belief about a group, ``None`` if there is none."""
        return self._records.get(group)

    def all(self) -> dict[str, PrimaryRecord]:
        """Return the beliefs by group."""
        return dict(self._records)

    def replaced(self) -> dict[str, PrimaryRecord]:
        """Return the beliefs that the registry does not give to every host by itself."""
        return {group: record for group, record in self._records.items() if record.version}

    def merge(self, group: str, record: PrimaryRecord, now_ms: int) -> bool:
        """Take in what a peer or the store says; return whether the belief changed."""
        known = self._records.get(group)
        if known is not None and record.version <= known.version:
            if record.version < known.version or known.term or not record.term:
                return False
            if record.server_id != known.server_id:
                return False
        self._records[group] = record
        if known != record:
            self._changed_ms[group] = now_ms
        return known != record

    def adopt_registry(self, registry: Registry, now_ms: int) -> list[str]:
        """Believe the servers' own words for groups in which no primary was ever replaced.

        :returns: the groups whose belief changed.
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
            self._changed_ms[group] = now_ms
            changed.append(group)
        return changed

    def learn_term(self, group: str, server_id: str, term: int) -> None:
        """Note the term in which the believed primary answers, where it is unknown yet."""
        known = self._records.get(group)
        if known and not known.term and not known.moving and known.server_id == server_id:
            self._records[group] = PrimaryRecord(known.version, term, server_id)

    def unchanged_for_ms(self, group: str, now_ms: int) -> int:
        """Return for how long the belief about a group has stood."""
        return now_ms - self._changed_ms.get(group, now_ms)

    def moving_for_ms(self, group: str, now_ms: int) -> int:
        """Return for how long the group's replacement has been under way, 0 if none is."""
        known = self._records.get(group)
        if known is None or not known.moving:
            return 0
        return max(1, now_ms - self._changed_ms[group])
