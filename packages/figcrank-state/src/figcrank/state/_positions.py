"""Positions in the replicated log of a database group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in a group's log, ordered by term and then by offset.

    A log contains an acknowledged position if the position of its last entry is not lower, because
    a term starts only on a log that holds every acknowledged entry of earlier terms.

    :param term: term in which the entry was written.
    :param offset: index of the entry in the log, counted from 1; 0 precedes every entry.
    """

    term: int
    offset: int


ORIGIN = Position(0, 0)
