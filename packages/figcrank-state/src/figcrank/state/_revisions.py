"""Revisions of the store across its eras.

A store that comes back from an older copy of itself begins a new era and gives out again the
revision numbers that it had counted since that copy. Outside the platform's adapter, a revision is
therefore one integer that orders by era first and by the store's own number second. A store without
eras is in era 0, where a revision equals the store's number. Revision 0 means none.
"""

# 400 changes per second for 87 years. Below era 8192, a revision stays under 2**53, which every
# JSON reader keeps exact.
NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1


def revision_of(era: int, number: int) -> int:
    """Return the revision with the store's own ``number`` in an era.

    :raises ValueError: if the era is negative or the number does not fit.
    """
    if era < 0 or not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"no revision has era {era} and number {number}")
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & MAX_NUMBER
