"""Which owner of an availability zone serves a database group, and who comes after it.

Answers sessions of 87 workspaces that are spread over all twelve owners: each of them then has four
connections to a server, opens one for most requests, and has a queue of its own for each server.
With one owner for a group in each zone, a zone has one queue and its connections are kept in use.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping


def assign_groups(groups: Collection[str], owners: Collection[str]) -> dict[str, tuple[str, ...]]:
    """Return the owners of a zone for each group: the group owner, followed by its successors.

    Rendezvous hashing with bounded load: groups choose in the order of their names, and an owner
    that has ``ceil(groups / owners)`` of them is passed over. The result depends only on the names.

    :param groups: names of all groups.
    :param owners: names of the owners that may serve groups; silent and leaving ones may not.
    """
    if not owners:
        return {}
    bound = -(-len(groups) // len(owners))
    loads = dict.fromkeys(owners, 0)
    assigned = {}
    for group in sorted(groups):
        ranked = sorted(loads, key=lambda owner: (_hash(f"{group}|{owner}"), owner))
        first = next(owner for owner in ranked if loads[owner] < bound)
        loads[first] += 1
        assigned[group] = first, *(owner for owner in ranked if owner != first)
    return assigned


def serving_zone(
    zone: str, zones_with_owners: Iterable[str], regions: Mapping[str, str]
) -> str | None:
    """Return the zone whose owners serve the callers of a zone, ``None`` if there is none.

    This is the zone itself if it has owners, else one of its region, else any. Zones without owners
    are spread over the others by rendezvous hashing.

    :param regions: region of each availability zone.
    """

    def rank(other: str) -> tuple[int, bytes]:
        return zone_distance(zone, other, regions), _hash(f"{zone}|{other}")

    return min(zones_with_owners, key=rank, default=None)


def zone_distance(zone: str, other: str, regions: Mapping[str, str]) -> int:
    """Return 0 for the same availability zone, 1 for the same region, and 2 for another one."""
    if zone == other:
        return 0
    region = regions.get(zone)
    return 1 if region is not None and region == regions.get(other) else 2


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
