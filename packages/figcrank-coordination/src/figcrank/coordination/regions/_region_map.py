"""How far another availability zone is from this host's.

Load pattern: a fleet of 63 hosts in six zones of two regions, 20 ms one way between the regions,
where bytes between regions cost four times as much as bytes between zones.
"""

from collections.abc import Mapping
from enum import Enum


class Direction(Enum):
    """Where traffic of this host goes to, or comes from."""

    ZONE = "zone"
    OTHER_ZONE = "other_zone"
    OTHER_REGION = "other_region"
    UNKNOWN = "unknown"


class RegionMap:
    """The regions of the availability zones, as seen from one host.

    A zone whose region is not configured counts as being in this host's region, so that a fleet
    without configured regions is one region.

    :param availability_zone: availability zone of this host.
    :param regions: region of each availability zone.
    """

    def __init__(
        self, availability_zone: str = "", regions: Mapping[str, str] | None = None
    ) -> None:
        self.availability_zone = availability_zone
        self._regions = dict(regions or {})
        self.region = self.region_of(availability_zone)

    @property
    def is_configured(self) -> bool:
        """Return whether the region of any zone is configured."""
        return any(self._regions.values())

    def region_of(self, availability_zone: str) -> str:
        """Return the region of a zone, empty if it is not configured."""
        return self._regions.get(availability_zone, "")

    def direction(self, availability_zone: str) -> Direction:
        """Return how far a zone is from this host's; ``UNKNOWN`` for an empty name."""
        if not availability_zone:
            return Direction.UNKNOWN
        if availability_zone == self.availability_zone:
            return Direction.ZONE
        return Direction.OTHER_REGION if self.crosses(availability_zone) else Direction.OTHER_ZONE

    def crosses(self, availability_zone: str) -> bool:
        """Return whether a zone is known to be in another region than this host."""
        region = self.region_of(availability_zone)
        return bool(region and self.region) and region != self.region
