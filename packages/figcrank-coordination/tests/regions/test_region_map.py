import pytest

from figcrank.coordination.regions import Direction, RegionMap

REGIONS = {"north-1": "north", "north-2": "north", "south-1": "south"}


@pytest.mark.parametrize(
    ("zone", "direction"),
    [
        ("north-1", Direction.ZONE),
        ("north-2", Direction.OTHER_ZONE),
        ("south-1", Direction.OTHER_REGION),
        ("", Direction.UNKNOWN),
    ],
)
def test_direction_follows_zone_and_region(zone, direction):
    assert RegionMap("north-1", REGIONS).direction(zone) is direction


def test_zone_without_a_configured_region_is_in_the_own_region():
    """Guards against fleets without regions that treat each other's zones as distant."""
    assert RegionMap("a", {}).direction("b") is Direction.OTHER_ZONE
    assert RegionMap("north-1", REGIONS).direction("new") is Direction.OTHER_ZONE
    assert RegionMap("new", REGIONS).direction("south-1") is Direction.OTHER_ZONE
