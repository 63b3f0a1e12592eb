"""Owners of server connections: their entries in the store and the status that relays ask for.

A status query and its answer are each one UDP datagram of JSON.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from figcrank.protocol.decoding import DECODE_ERRORS


@dataclass(frozen=True, slots=True)
class Owner:
    """A host that holds connections to backend servers.

    :param name: name of the host; a host restarted at another address may keep it.
    :param address: ``(ip, port)`` for heartbeats.
    :param availability_zone: availability zone of the host; empty while unknown.
    """

    name: str
    address: tuple[str, int]
    availability_zone: str


@dataclass(frozen=True, slots=True)
class SeatEntry:
    """Entry of a seat in the store.

    :param seat: name of the entry; the number of seats in an availability zone is fixed.
    :param owner: the host that holds the seat.
    :param revision: revision of the store at which the entry was written.
    """

    seat: str
    owner: Owner
    revision: int


@dataclass(frozen=True, slots=True)
class OwnerStatus:
    """A host's answer to a status query.

    :param host: name of the host that answers.
    :param accepts_sessions: whether it is an owner that accepts relayed sessions now.
    :param catalog_version: version of its configuration; 0 while it has none.
    :param owners: every owner that it knows, including itself if it is one.
    :param reads_options: whether it reads the options of a session's start; only an answer that
        accepts sessions shows that.
    """

    host: str
    accepts_sessions: bool
    catalog_version: int
    owners: tuple[Owner, ...]
    reads_options: bool = False


STATUS_QUERY = b'"status"'
# Sent by a relay along with its queries, and not answered; earlier releases ignore it.
RELAY_NOTICE = b'"relay"'
# Earlier releases answer 0 or 1, and take any other number for 1.
ACCEPTS_SESSIONS_WITH_OPTIONS = 2


def encode_owners(owners: Iterable[Owner]) -> list[list]:
    """Return owners as lists to encode as JSON."""
    return [[o.name, *o.address, o.availability_zone] for o in owners]


def decode_owners(items: Iterable) -> tuple[Owner, ...]:
    """Return the owners in lists made by :func:`encode_owners`.

    :raises ValueError: if an item has another number of elements, or no port.
    :raises TypeError: if an item is not a list.
    """
    return tuple(
        Owner(str(name), (str(ip), int(port)), str(zone)) for name, ip, port, zone in items
    )


def encode_status(status: OwnerStatus) -> bytes:
    """Return a status as a datagram."""
    owners = encode_owners(status.owners)
    accepts = int(status.accepts_sessions)
    if accepts and status.reads_options:
        accepts = ACCEPTS_SESSIONS_WITH_OPTIONS
    fields = [status.host, accepts, status.catalog_version, owners]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_status(data: bytes) -> OwnerStatus:
    """Return the status in a datagram.

    :raises ValueError: if the datagram can't be decoded as a status.
    """
    try:
        host, accepts_sessions, catalog_version, owners = json.loads(data)
        decoded = decode_owners(owners)
        reads_options = accepts_sessions == ACCEPTS_SESSIONS_WITH_OPTIONS
        accepts = bool(accepts_sessions)
        return OwnerStatus(str(host), accepts, int(catalog_version), decoded, reads_options)
    except DECODE_ERRORS as error:
        raise ValueError(f"datagram of {len(data)} bytes is not a status: {error}") from error
