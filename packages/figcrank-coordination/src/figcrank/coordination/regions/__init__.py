"""Decisions for a fleet in several regions: distance, allowed regions, control traffic."""

from figcrank.coordination.regions._region_map import Direction as Direction
from figcrank.coordination.regions._region_map import RegionMap as RegionMap
