"""Which of two lists of evacuated zones is newer, also across eras of the store.

Addresses a store that comes back from an older copy of itself during an evacuation.
The copy may lack entries that were acknowledged, and the operator has 2.5 s to write them again.
Until then, the lists of the new era are provisional: they carry revision number 0 of the era, and
merging one with any other list keeps the zones of both. Hosts that learn of the era in any order
thus agree, and none ends an evacuation because of an entry that the copy has lost.
"""

from figcrank.protocol.heartbeats import Evacuations
from figcrank.state import era_of, number_of, revision_of


def provisional_list(revision: int, zones: frozenset[str]) -> Evacuations:
    """Return a list that was read before the operator had the time to write lost entries again.

    :param revision: store revision at which it was read.
    """
    return Evacuations(revision_of(era_of(revision), 0), zones)


def is_provisional(evacuations: Evacuations) -> bool:
    """Return whether a list may lack entries that the store has lost."""
    return evacuations.revision != 0 and number_of(evacuations.revision) == 0


def merge_lists(known: Evacuations, received: Evacuations) -> Evacuations:
    """Return the list that is in force for a host that knows one and receives another.

    A list that is not provisional replaces those of earlier eras, and older ones of its own era.
    """
    if not known.revision or not received.revision:
        return known if known.revision else received
    newest = max(known, received, key=lambda evacuations: evacuations.revision)
    if not is_provisional(newest):
        return known if known.revision == newest.revision else received
    return Evacuations(newest.revision, known.zones | received.zones)
