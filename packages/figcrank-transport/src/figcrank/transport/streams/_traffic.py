"""Counts the bytes that this host sends and receives, by kind of message and by distance."""

from enum import Enum

from figcrank.coordination.regions import RegionMap
from figcrank.transport.streams._metrics import Metrics


class MessageKind(Enum):
    """Kinds of message whose bytes are counted.

    ``RELAY`` covers relayed sessions and the status queries of relays, ``STATEMENT`` everything
    that is exchanged with backend servers.
    """

    HEARTBEAT = "heartbeat"
    VIEW = "view"
    RELAY = "relayed_session"
    STATEMENT = "server_statement"
    STORE = "store"


class TrafficChannel:
    """Counts the bytes of one kind of message exchanged with one availability zone.

    :param metrics: metrics registry.
    :param kind: kind of message.
    :param direction: distance of the zone, as a label.
    """

    def __init__(self, metrics: Metrics, kind: MessageKind, direction: str) -> None:
        self._metrics = metrics
        self._kind = kind.value
        self._direction = direction

    def sent(self, size_bytes: int) -> None:
        """Count bytes that this host sends."""
        self._count(size_bytes, "sent")

    def received(self, size_bytes: int) -> None:
        """Count bytes that this host has received."""
        self._count(size_bytes, "received")

    def _count(self, size_bytes: int, way: str) -> None:
        if size_bytes:
            labels = {"kind": self._kind, "direction": self._direction, "way": way}
            self._metrics.count("traffic_bytes", size_bytes, **labels)


class TrafficMeter:
    """Counts bytes in ``traffic_bytes{kind,direction,way}``, at most 40 combinations of labels.

    :param regions: distance of the availability zones.
    :param metrics: metrics registry.
    """

    def __init__(self, regions: RegionMap, metrics: Metrics) -> None:
        self._regions = regions
        self._metrics = metrics

    def channel(self, kind: MessageKind, availability_zone: str) -> TrafficChannel:
        """Return the counter for messages exchanged with an availability zone.

        :param availability_zone: zone of the other side; empty if it is not known.
        """
        direction = self._regions.direction(availability_zone)
        return TrafficChannel(self._metrics, kind, direction.value)


def uncounted() -> TrafficMeter:
    """Return a meter whose counts are not published."""
    return TrafficMeter(RegionMap(), Metrics())
