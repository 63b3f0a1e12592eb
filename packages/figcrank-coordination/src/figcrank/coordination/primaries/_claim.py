"""The records that begin and end a primary's replacement."""

from dataclasses import replace

from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state import era_of, revision_of

VERSION_STEP = 2  # the version in between is reserved for the result of an interrupted replacement


def first_version(era: int) -> int:
    """Return the version of a group's first record in an era of the store.

    Records of earlier eras that the store has lost have lower versions.
    """
    return revision_of(era, 1)


def moving_record(record: PrimaryRecord, planned: bool, era: int = 0) -> PrimaryRecord:
    """Return the record that begins or takes over a replacement.

    The host of an interrupted replacement may still publish its result; the version of the
    returned record is higher.

    :param era: era of the store that the record will be written in.
    """
    version = max(record.version, revision_of(era, 0)) + VERSION_STEP
    return replace(record, version=version, moving=True, planned=planned)


def completed_record(
    moving: PrimaryRecord, server_id: str, term: int, address: str
) -> PrimaryRecord:
    """Return the record that ends a replacement."""
    return PrimaryRecord(moving.version + 1, term, server_id, address=address)


def is_settled(record: PrimaryRecord | None, era: int) -> bool:
    """Return whether a group's record was written in an era of the store, or it has no eras.

    A record of an earlier era may lack a replacement that the store has lost.
    """
    return not era or (record is not None and era_of(record.version) >= era)
