"""Heartbeats to peers in another availability zone or region: their encoding.

Load pattern: twelve owners in six zones of two regions with 74 workspaces, of which
some 30 change between two heartbeats. Workspace names and counts are then most of a heartbeat. Of
seven owners in three zones with little load, heartbeats are a quarter of the bytes between zones.
"""

from figcrank.coordination.peers import Peer
from figcrank.coordination.regions import Direction, RegionMap
from figcrank.protocol.compact_heartbeats import NameOrder, encode_compact
from figcrank.protocol.heartbeats import Heartbeat, encode_heartbeat
from figcrank.state._catalog import Catalog

# A datagram that was encoded before its receiver adopted a newer configuration still decodes.
KEPT_ORDERS = 3
# Bytes within a zone cost nothing, so that their encoding saves only processor time.
NEAR = (Direction.ZONE, Direction.UNKNOWN)


class RegionLinks:
    """What this host sends to other regions, and how.

    :param regions: regions of the availability zones.
    """

    def __init__(self, regions: RegionMap) -> None:
        self._regions = regions
        self._orders: list[NameOrder] = []  # newest last
        self._catalog_version = 0

    def record_catalog(self, catalog: Catalog) -> None:
        """Record the configuration that this host adopted."""
        self._catalog_version = catalog.version
        self._orders = [*self._orders, NameOrder(catalog.workspaces)][-KEPT_ORDERS:]

    def find_order(self, checksum: int) -> NameOrder | None:
        """Return the order of workspaces with a checksum, ``None`` if this host lacks it."""
        return next((order for order in self._orders if order.checksum == checksum), None)

    def crosses(self, peer: Peer) -> bool:
        """Return whether a peer is known to be in another region."""
        return self._regions.crosses(peer.availability_zone)

    def encode(self, peer: Peer, heartbeat: Heartbeat) -> bytes:
        """Return the datagram for a peer: a compact one if it reads it and is in another zone."""
        is_near = self._regions.direction(peer.availability_zone) in NEAR
        if is_near or not peer.reads_extension:
            return encode_heartbeat(heartbeat)
        return encode_compact(heartbeat, self._order_for(peer))

    def _order_for(self, peer: Peer) -> NameOrder | None:
        """Return the newest order if the peer has reported the same configuration version."""
        same = peer.heartbeat and peer.heartbeat.catalog_version == self._catalog_version
        return self._orders[-1] if same and self._orders else None
