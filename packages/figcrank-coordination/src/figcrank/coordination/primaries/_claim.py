"""Which host replaces a primary, decided on the record that the store keeps.

Every change of the record is conditional on its revision, so one host at a time holds it. A host
that lost it never takes it back for the same replacement: another may have ordered a promotion.
"""

from dataclasses import replace

from figcrank.protocol.heartbeats import PrimaryRecord, StoredPrimaries

VERSION_STEP = 2  # leaves room for the outcome of the replacement that is taken over


def moving_record(record: PrimaryRecord, planned: bool) -> PrimaryRecord:
    """Return the record with which a replacement begins or is taken over.

    It outranks the outcome of an earlier replacement that its host may still announce.
    """
    version = record.version + VERSION_STEP
    return replace(record, version=version, moving=True, planned=planned)


def settled_record(moving: PrimaryRecord, server_id: str, term: int, address: str) -> PrimaryRecord:
    """Return the record with which a replacement ends."""
    return PrimaryRecord(moving.version + 1, term, server_id, address=address)


def claim(
    stored: StoredPrimaries, group: str, record: PrimaryRecord, host: str, renews: bool
) -> StoredPrimaries | None:
    """Return what a host writes to the store, ``None`` if another host has the matter in hand.

    :param stored: what the store holds.
    :param record: what the host wants it to hold for the group.
    :param renews: whether the host has written the group's record before and only confirms it.
    """
    known = stored.records.get(group)
    holds = stored.holder == host
    if renews and not holds:
        return None
    if known is not None and known.version > record.version:
        return None
    if known is not None and known.version == record.version and not (holds and known == record):
        return None
    token = stored.token if holds else stored.token + 1
    return replace(stored, holder=host, token=token, records={**stored.records, group: record})
