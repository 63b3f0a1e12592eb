"""Lists of evacuated zones across eras of the store."""

import itertools

from figcrank.coordination.evacuation import is_provisional, merge_lists, provisional_list
from figcrank.protocol.heartbeats import Evacuations
from figcrank.state import revision_of


def listed(era, number, *zones):
    return Evacuations(revision_of(era, number), frozenset(zones))


def provisional(era, *zones):
    return provisional_list(revision_of(era, 7), frozenset(zones))


def test_newer_list_replaces_an_older_one_and_not_the_other_way_round():
    older, newer = listed(1, 4, "z"), listed(1, 6)
    assert merge_lists(older, newer) == newer
    assert merge_lists(newer, older) == newer
    assert merge_lists(Evacuations(), older) == older
    assert merge_lists(older, Evacuations()) == older


def test_list_of_a_newer_era_replaces_one_of_an_older_era_whatever_its_number():
    before, after = listed(1, 90, "z"), listed(2, 30, "y")
    assert merge_lists(before, after) == after
    assert merge_lists(after, before) == after


def test_entry_that_a_copy_has_lost_is_kept_while_lists_of_the_new_era_are_provisional():
    """Guards against an evacuation that ends because the store came back from an older copy."""
    merged = merge_lists(listed(1, 90, "z"), provisional(2, "y"))
    assert merged.zones == {"y", "z"}
    assert is_provisional(merged)
    assert merge_lists(merged, provisional(2)).zones == {"y", "z"}
    settled = listed(2, 40, "y")
    assert merge_lists(merged, settled) == settled
    assert not is_provisional(settled)


def test_host_that_started_in_the_new_era_takes_lost_entries_from_peers_of_the_old_one():
    assert merge_lists(provisional(2), listed(1, 90, "z")).zones == {"z"}


def test_provisional_list_does_not_replace_one_that_was_read_later():
    settled = listed(2, 40)
    assert merge_lists(settled, provisional(2, "z")) == settled
    assert merge_lists(settled, provisional(3, "z")).zones == {"z"}


def test_hosts_agree_in_whichever_order_lists_arrive():
    lists = [listed(1, 90, "a"), provisional(2, "b"), provisional(2)]
    results = set()
    for order in itertools.permutations(lists):
        known = Evacuations()
        for received in order:
            known = merge_lists(known, received)
        results.add(known)
    assert results == {provisional(2, "a", "b")}


def test_store_without_eras_has_no_provisional_lists():
    assert not is_provisional(Evacuations(12, frozenset({"z"})))
    assert not is_provisional(Evacuations())
