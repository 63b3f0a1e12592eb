"""Decisions for a fleet in several regions: distance, allowed regions, control traffic."""

from figcrank.coordination.regions._allowed_regions import AllowedRegions as AllowedRegions
from figcrank.coordination.regions._allowed_regions import allowed_regions as allowed_regions
from figcrank.coordination.regions._region_map import Direction as Direction
from figcrank.coordination.regions._region_map import RegionMap as RegionMap
