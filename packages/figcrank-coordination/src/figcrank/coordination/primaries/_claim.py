"""The records that begin and end a primary's replacement."""

from dataclasses import replace

from figcrank.protocol.heartbeats import PrimaryRecord

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
