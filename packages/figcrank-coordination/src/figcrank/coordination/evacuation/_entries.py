"""The store's entries of evacuated availability zones, and which of them are valid.

Addresses operators' mistakes: an entry that names no zone of the fleet, or that has
content that this release doesn't know, must not change which servers are used.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass

UNKNOWN_ZONE = "no host or server is in this availability zone"


@dataclass(frozen=True, slots=True)
class EvacuationEntry:
    """One entry of the store's list.

    :param zone: name of the availability zone; empty if it can't be read.
    :param revision: store revision of the entry; 0 if it can't be read.
    :param problem: reason for which the entry can't be decoded; empty if it can.
    """

    zone: str
    revision: int
    problem: str = ""


@dataclass(frozen=True, slots=True)
class EvacuationListing:
    """The store's list of evacuated availability zones.

    :param revision: store revision at which it was read.
    :param entries: its entries, including invalid ones.
    """

    revision: int
    entries: tuple[EvacuationEntry, ...] = ()


def check_entries(
    entries: Iterable[EvacuationEntry], known_zones: Set[str], evacuated_zones: Set[str]
) -> tuple[frozenset[str], list[EvacuationEntry]]:
    """Return the zones of the valid entries, and the invalid entries with their problems.

    :param known_zones: availability zones that a host or a server has.
    :param evacuated_zones: zones whose evacuation is in force. Their entries remain valid when
        their last server is gone, as it may return.
    """
    zones, invalid = set(), []
    for entry in entries:
        if entry.problem:
            invalid.append(entry)
        elif entry.zone in known_zones or entry.zone in evacuated_zones:
            zones.add(entry.zone)
        else:
            invalid.append(EvacuationEntry(entry.zone, entry.revision, UNKNOWN_ZONE))
    return frozenset(zones), invalid
