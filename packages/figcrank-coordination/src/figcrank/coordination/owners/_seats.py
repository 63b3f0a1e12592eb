"""Which hosts are owners: each availability zone has a fixed number of seats in the store.

Connections to servers, leases and limits are shared among owners, so their cost follows the number
of seats and not the size of the fleet. The store's entry of a seat names the host that holds it.
"""

import hashlib
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from figcrank.protocol.owners import Owner, SeatEntry

# Owners of a fleet, rounded up to the same number in each availability zone. With more of them, the
# connections that each may hold to a server serve few workspaces, and heartbeats between all owners
# grow with the square of their number.
TARGET_OWNERS = 12


class HostRole(Enum):
    """Role of a host; ``UNDECIDED`` until it has read which seats are taken."""

    UNDECIDED = auto()
    OWNER = auto()
    RELAY = auto()


@dataclass(frozen=True, slots=True)
class Seat:
    """A seat that a host may take.

    :param name: name of the seat's entry in the store.
    :param replaced: entry of the same host at an earlier address; ``None`` if the seat is free.
    """

    name: str
    replaced: SeatEntry | None = None


def seats_per_zone(zones: int) -> int:
    """Return the number of seats in each availability zone, given the number of zones."""
    return -(-TARGET_OWNERS // max(1, zones))


def is_listed(host: Owner, owners: Collection[Owner]) -> bool:
    """Return whether a host is listed as an owner at its present address."""
    return any(o.name == host.name and o.address == host.address for o in owners)


def choose_seat(host: Owner, entries: Collection[SeatEntry], seats: int) -> Seat | None:
    """Return the seat that a host should take, ``None`` if those of its zone are taken.

    Hosts that start together try the free seats in different orders.

    :param entries: the store's entries of all seats.
    :param seats: number of seats in each availability zone.
    """
    for entry in entries:
        if entry.owner.name == host.name:
            return Seat(entry.seat, entry)
    taken = {entry.seat for entry in entries}
    free = [name for name in _seat_names(host.availability_zone, seats) if name not in taken]
    free.sort(key=lambda name: hashlib.blake2b(f"{host.name}|{name}".encode()).digest())
    return Seat(free[0]) if free else None


def _seat_names(availability_zone: str, seats: int) -> Sequence[str]:
    return [f"{availability_zone}.{number}" for number in range(seats)]


def has_free_seat(availability_zone: str, owners: Collection[Owner], seats: int) -> bool:
    """Return whether fewer owners than seats are known in an availability zone."""
    return sum(o.availability_zone == availability_zone for o in owners) < seats
