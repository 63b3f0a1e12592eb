"""The group owners of the fleet, as this owner's view gives them.

Fleets without relays have none: there every host serves all groups.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from figcrank.coordination.owners import assign_groups, serving_zone
from figcrank.coordination.peers import Peer
from figcrank.coordination.placement import (
    OwnerCounts,
    group_connection_quota,
    max_retained_group_connections,
)
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.protocol.owners import Owner
from figcrank.state._catalog import Catalog

if TYPE_CHECKING:
    from figcrank.coordination.fleet._view import FleetView

# Relays show themselves every 1.5 s; group owners must not come and go with a few lost datagrams.
RELAY_MEMORY_MS = 120_000
MAX_CACHED = 64  # assignments; a zone has one for each set of its live owners
Assignment = dict[str, tuple[str, ...]]  # owners by group, the group owner first


class GroupOwnership:
    """Decides which owner of each availability zone serves a group.

    :param view: this host's view of the fleet.
    """

    def __init__(self, view: "FleetView") -> None:
        self._view = view
        self.regions: Mapping[str, str] = {}
        self._relay_seen_ms = NEVER_MS
        self._catalog: Catalog | None = None  # the one that the names of groups were taken from
        self._sorted_groups: tuple[str, ...] = ()
        self._assigned: dict[tuple[tuple[str, ...], tuple[str, ...]], Assignment] = {}

    def record_relay(self, now_ms: int) -> None:
        """Record that a relay has shown itself to this host."""
        self._relay_seen_ms = now_ms

    def sees_relays(self, now_ms: int) -> bool:
        """Return whether a relay has shown itself to this host recently."""
        seen_ms = self._relay_seen_ms
        return seen_ms != NEVER_MS and now_ms - seen_ms <= RELAY_MEMORY_MS

    def has_relays(self, now_ms: int) -> bool:
        """Return whether this host or a peer sees relays, so that groups have group owners."""
        return self.sees_relays(now_ms) or any(
            peer.heartbeat.extension.sees_relays
            for peer in self._view.peers.all()
            if peer.heartbeat is not None and peer.heartbeat.extension is not None
        )

    def assignments(self, now_ms: int) -> dict[str, Assignment]:
        """Return, for each availability zone with live owners, the owners of each group.

        The owners' names are in the order in which they serve the group. Owners that are silent,
        leave or run an earlier release serve none.

        :returns: an empty dictionary in fleets without relays.
        """
        if not self.has_relays(now_ms):
            return {}
        names: dict[str, list[str]] = {}
        for owner in self._live_owners(now_ms):
            names.setdefault(owner.availability_zone, []).append(owner.name)
        groups = self._groups()
        return {zone: self._assign(groups, owners) for zone, owners in sorted(names.items())}

    def group_owners(self, group: str, now_ms: int) -> list[str]:
        """Return the names of the owners that serve a group, one for each zone with live owners.

        :returns: an empty list in fleets without relays, where every owner serves it.
        """
        assignments = self.assignments(now_ms).values()
        return [assigned[group][0] for assigned in assignments if group in assigned]

    def owners_for(
        self,
        group: str,
        zone: str,
        now_ms: int,
        permits: Callable[[str], bool] | None = None,
    ) -> list[Owner]:
        """Return the owners for a zone's sessions in a group, the group owner first.

        :param permits: tells whether the sessions may pass through hosts of an availability zone;
            ``None`` if they may pass through all.
        :returns: an empty list if there is no group owner that may run them.
        """
        assignments = self.assignments(now_ms)
        if permits is not None:
            assignments = {name: owners for name, owners in assignments.items() if permits(name)}
        serving = serving_zone(zone, assignments, self.regions)
        if serving is None or group not in assignments[serving]:
            return []
        owners = {owner.name: owner for owner in self._live_owners(now_ms)}
        return [owners[name] for name in assignments[serving][group]]

    def connection_limits(
        self, group: str, max_connections: int, now_ms: int
    ) -> tuple[int, int] | None:
        """Return how many connections this owner may hold, and retain, to a server of a group.

        :param max_connections: connections that the server accepts from all hosts.
        :returns: ``None`` in fleets without relays.
        """
        if not self.has_relays(now_ms):
            return None
        counts = self._counts()
        half_shares = sum(
            self._serves(group, self._live_owners(now_ms, with_leaving))
            for with_leaving in (False, True)
        )
        quota = group_connection_quota(max_connections, counts, half_shares)
        return quota, max_retained_group_connections(quota, counts.zones)

    def _serves(self, group: str, live_owners: list[Owner]) -> bool:
        """Return whether this host would be the group owner of its zone among some owners."""
        zone = self._view.itself.availability_zone
        names = [owner.name for owner in live_owners if owner.availability_zone == zone]
        order = self._assign(self._groups(), names).get(group)
        return order is not None and order[0] == self._view.host

    def _counts(self) -> OwnerCounts:
        earlier = [peer for peer in self._view.peers.all() if _is_earlier(peer)]
        zones = {peer.availability_zone for peer in self._view.peers.all() if not _is_earlier(peer)}
        zones = zones - {""} | {self._view.itself.availability_zone}
        return OwnerCounts(self._view.host_count(), len(zones), len(earlier))

    def _live_owners(self, now_ms: int, with_leaving: bool = False) -> list[Owner]:
        peers = self._view.peers
        owners = [] if self._view.leaving and not with_leaving else [self._view.itself]
        for peer in peers.live(now_ms):
            known = peer.reads_extension and peer.availability_zone
            if known and (with_leaving or not peer.heartbeat.leaving):
                owners.append(Owner(peer.name, peer.address, peer.availability_zone))
        return owners

    def _groups(self) -> tuple[str, ...]:
        catalog = self._view.catalog
        if catalog is not self._catalog:
            self._catalog = catalog
            routed = {route.group for route in catalog.routes.values()}
            self._sorted_groups = tuple(sorted(routed | catalog.groups.keys()))
        return self._sorted_groups

    def _assign(self, groups: tuple[str, ...], owners: list[str]) -> Assignment:
        key = groups, tuple(sorted(owners))
        if key not in self._assigned:
            if len(self._assigned) >= MAX_CACHED:
                self._assigned.clear()
            self._assigned[key] = assign_groups(*key)
        return self._assigned[key]


def _is_earlier(peer: Peer) -> bool:
    """Return whether a peer runs an earlier release, or has not shown yet that it doesn't."""
    return peer.heartbeat is not None and not peer.reads_extension
