"""Positions in the replicated log of a database group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a group's log, ordered by term and then by offset.

    An acknowledged position is contained in every log whose last entry compares equal or greater,
    because a term starts only on a log that holds every acknowledged entry of earlier terms.

    :param term: the term in which the entry was written.
    :param offset: the entry's index in the log, counted from 1; 0 precedes every entry.
    """

    term: int
    offset: int


ORIGIN = Position(0, 0)
