"""Taking over the seats of owners that are all gone for good at once.

Answers the loss of every owner of a fleet of 90 hosts: no owner is left to remove the entries of
the others, and each relay goes on to find all seats taken.
"""

import hashlib
from collections.abc import Collection
from dataclasses import dataclass

from figcrank.coordination.owners._seats import Seat
from figcrank.protocol.owners import Owner, SeatEntry


@dataclass(frozen=True, slots=True)
class LostOwners:
    """The owners that a relay's listing shows, none of which answers it.

    :param addresses: their addresses.
    :param since_ms: time from which on an answer of any of them ends the takeover.
    :param attempt_ms: time at which this relay tries to take a seat.
    """

    addresses: frozenset[tuple[str, int]]
    since_ms: int
    attempt_ms: int


def seat_to_take_over(
    host: Owner, entries: Collection[SeatEntry], lost: Collection[tuple[str, int]]
) -> Seat | None:
    """Return the seat of a lost owner that a relay should take, ``None`` if none is left.

    The write replaces the entry under the condition of its revision. Relays that try at the same
    time choose different seats of their zone.

    :param entries: the store's entries of all seats; those of new owners are not replaced.
    :param lost: addresses of the lost owners.
    """
    zone = host.availability_zone
    left = [e for e in entries if e.seat.rpartition(".")[0] == zone and e.owner.address in lost]

    def rank(entry: SeatEntry) -> bytes:
        return hashlib.blake2b(f"{host.name}|{entry.seat}".encode()).digest()

    chosen = min(left, key=rank, default=None)
    return None if chosen is None else Seat(chosen.seat, chosen)
