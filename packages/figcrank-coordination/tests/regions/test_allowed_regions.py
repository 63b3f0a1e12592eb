import pytest

from figcrank.coordination.regions import AllowedRegions, RegionMap, allowed_regions
from figcrank.state._catalog import Catalog, DatabaseRoute, ReadMode

REGIONS = RegionMap("n1", {"n1": "north", "n2": "north", "s1": "south", "w1": "west"})


def allowed(route=(), workspace=(), regions=REGIONS):
    fields = DatabaseRoute("r", "db", "g", ReadMode.BOUNDED, 700, 300, allowed_regions=route)
    catalog = Catalog(1, {"db": fields}, workspace_regions={"w": workspace})
    return allowed_regions(fields, "w", catalog, regions)


@pytest.mark.parametrize(
    ("route", "workspace", "permitted"),
    [
        ((), (), ["n1", "n2", "s1", "w1"]),
        (("north",), (), ["n1", "n2"]),
        ((), ("south",), ["s1"]),
        (("north", "south"), ("south", "west"), ["s1"]),
        (("north",), ("south",), []),
    ],
)
def test_servers_are_those_of_regions_that_route_and_workspace_allow(route, workspace, permitted):
    regions = allowed(route, workspace)
    zones = ["n1", "n2", "s1", "w1"]
    assert [zone for zone in zones if regions.permits_server(zone)] == permitted


def test_workspace_without_regions_is_confined_by_the_route_only():
    fields = DatabaseRoute("r", "db", "g", ReadMode.BOUNDED, 1, 1, allowed_regions=("north",))
    assert allowed_regions(fields, "other", Catalog(1), REGIONS).names == {"north"}
    assert allowed_regions(fields, "other", None, REGIONS).names == {"north"}


def test_server_in_a_zone_without_a_region_runs_nothing_that_is_confined():
    """Guards against data that leaves its region for a zone missing from the settings."""
    assert not allowed(("north",)).permits_server("new")
    assert not allowed(("north",)).permits_server("")
    assert allowed().permits_server("new")


def test_fleet_without_regions_confines_nothing():
    regions = allowed(("north",), ("south",), RegionMap("n1", {}))
    assert regions.permits_server("n1")
    assert regions.permits_host("n1", "")
    assert regions.refusal(["n1"], "n1") is None


@pytest.mark.parametrize(
    ("host_zone", "caller_zone", "permitted"),
    [
        ("n2", "s1", True),  # in an allowed region
        ("s1", "s1", True),  # the caller's own host
        ("w1", "s1", False),
        ("s1", "", False),  # an earlier release does not tell the caller's zone
        ("new", "new", True),
        ("new", "", False),
        ("new", "other", False),
    ],
)
def test_hosts_are_those_of_allowed_regions_and_of_the_callers_own(
    host_zone, caller_zone, permitted
):
    assert allowed(("north",)).permits_host(host_zone, caller_zone) is permitted


def test_host_of_the_callers_region_in_another_zone_is_permitted():
    assert allowed(("south",)).permits_host("n2", "n1")


def test_what_no_allowed_server_can_run_has_a_reason():
    regions = allowed(("north", "south"), ("south",))
    assert regions.refusal(["n1", "n2"], None) == (
        "the group has no server in an allowed region (south)"
    )
    assert regions.refusal(["n1", "s1"], "n1") == (
        "the primary is in region north, and no server in an allowed region (south) can run it"
    )
    assert "an unknown region" in regions.refusal(["", "s1"], "")


def test_nothing_is_refused_while_an_allowed_server_may_be_the_primary():
    regions = allowed(("south",))
    assert regions.refusal(["n1", "s1"], "s1") is None
    assert regions.refusal(["n1", "s1"], None) is None  # the primary is being replaced
    assert regions.refusal([], None) is None  # no server is known yet
    assert AllowedRegions().refusal(["n1"], "n1") is None
