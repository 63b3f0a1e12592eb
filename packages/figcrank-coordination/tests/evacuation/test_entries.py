from figcrank.coordination.evacuation import EvacuationEntry, check_entries

KNOWN = {"zone-a", "zone-b"}


def test_entry_of_an_unknown_zone_is_ignored_and_the_others_hold():
    """Guards against a mistyped name that changes anything else."""
    entries = [EvacuationEntry("zone-a", 4), EvacuationEntry("zone-x", 5)]
    zones, invalid = check_entries(entries, KNOWN, frozenset())
    assert zones == {"zone-a"}
    assert [(entry.zone, entry.revision) for entry in invalid] == [("zone-x", 5)]
    assert invalid[0].problem


def test_entry_that_could_not_be_decoded_is_ignored_with_its_problem():
    bad = EvacuationEntry("zone-a", 4, "the spec is not an object")
    assert check_entries([bad], KNOWN, frozenset()) == (frozenset(), [bad])


def test_evacuation_holds_when_the_last_server_of_its_zone_is_gone():
    """The server may come back while the zone is still evacuated."""
    entries = [EvacuationEntry("zone-x", 5)]
    assert check_entries(entries, KNOWN, {"zone-x"}) == (frozenset({"zone-x"}), [])
