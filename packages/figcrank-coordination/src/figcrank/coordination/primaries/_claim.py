"""Ownership of a primary's replacement, decided by the record in the store.

Every write to the record is conditional on its revision, so only one host holds it at a time. A
host that has lost the record never claims it again for the same replacement, because the new
holder may already have ordered a promotion.
"""

from dataclasses import replace

from figcrank.protocol.heartbeats import PrimaryRecord, StoredPrimaries

VERSION_STEP = 2  # the version in between is reserved for the result of an interrupted replacement


def moving_record(record: PrimaryRecord, planned: bool) -> PrimaryRecord:
    """Return the record that begins or takes over a replacement.

    The host of an interrupted replacement may still publish its result; the version of the
    returned record is higher.
    """
    version = record.version + VERSION_STEP
    return replace(record, version=version, moving=True, planned=planned)


def completed_record(
    moving: PrimaryRecord, server_id: str, term: int, address: str
) -> PrimaryRecord:
    """Return the record that ends a replacement."""
    return PrimaryRecord(moving.version + 1, term, server_id, address=address)


def claim_replacement(
    stored: StoredPrimaries, group: str, record: PrimaryRecord, host: str, renews: bool
) -> StoredPrimaries | None:
    """Return what a host writes to the store, ``None`` if another host runs the replacement.

    :param stored: the current content of the store.
    :param record: the record to write for the group.
    :param renews: whether the host has already written the group's record and only confirms it.
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
