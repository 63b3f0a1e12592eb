import pytest

from figcrank.coordination.fleet import LEASE_RENEWAL_TIMEOUT_MS, FleetView, PrimaryUse
from figcrank.coordination.primaries import LEASE_MS, MAJORITY_LEASE_MS
from figcrank.protocol.heartbeats import NEVER_MS, Heartbeat, PrimaryRecord
from figcrank.state import Position, revision_of
from figcrank.state._catalog import Catalog, Registry, ServerEntry, WorkspaceLimit


def make_view(name="a", number=1):
    view = FleetView(name, number, (f"10.0.0.{number}", 7000))
    view.merge_primary("g", PrimaryRecord(1, 3, "s1"), 0)
    return view


def exchange(one, other, now_ms, clock_gap_ms=0):
    """Exchange two rounds of heartbeats between hosts whose clocks differ by ``clock_gap_ms``."""
    addresses = {"a": ("10.0.0.1", 7000), "b": ("10.0.0.2", 7000)}
    for sender, receiver, gap in ((one, other, 0), (other, one, clock_gap_ms)) * 2:
        peer = next((p for p in sender.peers.all() if p.name == receiver.host), None)
        sender_now = now_ms + gap
        receiver_now = now_ms + clock_gap_ms - gap
        if peer is None:
            sender.peers.register(receiver.host, addresses[receiver.host], sender_now)
            peer = sender.peers.all()[0]
        receiver.receive(
            sender.heartbeat_for(peer, sender_now), addresses[sender.host], receiver_now
        )


def test_primary_is_usable_while_a_majority_responds():
    view, other = make_view(), make_view("b", 2)
    exchange(view, other, 1_000)
    assert view.primary_use("g", 1_000 + LEASE_MS) is PrimaryUse.USABLE
    assert view.primary_use("g", 1_001 + LEASE_MS) is PrimaryUse.NO_LEASE


def test_bare_majority_loses_its_lease_without_the_store():
    view, other = make_view(), make_view("b", 2)
    view.peers.register("c", ("10.0.0.3", 7000), 0)
    for now_ms in range(1_000, 9_000, 500):
        exchange(view, other, now_ms)
    assert view.primary_use("g", 9_000) is PrimaryUse.NO_LEASE
    view.confirmed_ms = 8_000 - MAJORITY_LEASE_MS // 2
    assert view.primary_use("g", 9_000) is PrimaryUse.USABLE


def test_more_than_two_thirds_keep_their_lease_without_the_store():
    """Seen in a simulated day: one of nine hosts was lost during a store outage, so the others
    could not renew their leases and stopped using all primaries.
    """
    view = make_view()
    for number in range(2, 9):
        address = (f"10.0.0.{number}", 7000)
        view.peers.register(f"h{number}", address, 8_000)
        if number > 2:
            heartbeat = Heartbeat(f"h{number}", 1, 5, echo_ms=8_900)
            view.receive(heartbeat, address, 9_000)
    assert view.primary_use("g", 9_000) is PrimaryUse.USABLE


def test_suspended_host_needs_a_new_confirmation():
    view, other = make_view(), make_view("b", 2)
    exchange(view, other, 1_000)
    assert view.primary_use("g", 60_000) is PrimaryUse.NO_LEASE
    view.confirmed_ms = 59_900
    assert view.primary_use("g", 60_000) is PrimaryUse.USABLE


def test_primary_that_is_being_replaced_is_not_usable():
    view = make_view()
    view.merge_primary("g", PrimaryRecord(2, 3, "s1", moving=True), 10)
    assert view.primary_use("g", 20) is PrimaryUse.MOVING


@pytest.mark.parametrize("gap_ms", [0, 500_000, -500_000])
def test_clock_differences_and_delays_never_make_a_position_appear_newer(gap_ms):
    view, other = make_view(), make_view("b", 2)
    other.position_history("g").observe(900 + gap_ms, Position(3, 40))
    exchange(view, other, 1_000, clock_gap_ms=gap_ms)
    sent_ms, position = view.position_history("g").newest()
    assert position == Position(3, 40)
    assert sent_ms <= 900


def test_position_of_another_term_is_ignored():
    view, other = make_view(), make_view("b", 2)
    other.merge_primary("g", PrimaryRecord(2, 4, "s2"), 0)
    view.merge_primary("g", PrimaryRecord(5, 6, "s3"), 0)
    other.position_history("g").observe(900, Position(4, 40))
    exchange(view, other, 1_000)
    assert view.position_history("g").newest() is None


def catalog(version, rate=10):
    return Catalog(version, workspaces={"w": WorkspaceLimit("w", rate, rate)})


def test_older_configuration_is_ignored():
    view = make_view()
    assert view.adopt_catalog(catalog(7), 0)
    assert not view.adopt_catalog(catalog(6), 10)
    assert view.catalog.version == 7


def test_limits_drop_reports_from_before_a_peer_restarted():
    """Seen in a simulated day: reports from before a restart were kept, so the shares of the limit
    no longer changed and callers were refused.
    """
    view = make_view()
    view.adopt_catalog(catalog(1), 0)
    address = ("10.0.0.2", 7000)
    view.receive(Heartbeat("b", 1, 10, spent={"w": (3, 4)}), address, 100)
    view.receive(Heartbeat("b", 2, 5), address, 400)
    view.receive(Heartbeat("b", 2, 6, spent={"w": (0, 0)}), address, 700)
    assert view.limits["w"].peers() == {"b/2"}


def listing(revision, *ids):
    entries = {i: ServerEntry(i, "g", "10.1.0.1:80", "a", 5, False, False) for i in ids}
    return Registry(revision, entries)


def test_older_list_of_servers_is_ignored():
    view = make_view()
    assert view.adopt_registry(listing(5, "s1"), 0, 0, from_peer=False)
    assert not view.adopt_registry(listing(4, "s1", "s2"), 0, 0, from_peer=True)
    assert set(view.registry.servers) == {"s1"}


def test_unchanged_list_keeps_its_revision_so_that_peers_do_not_fetch_it():
    view = make_view()
    view.adopt_registry(listing(5, "s1"), 0, 0, from_peer=False)
    assert not view.adopt_registry(listing(9, "s1"), 1_000, 1_000, from_peer=False)
    assert view.registry.revision == 5
    assert view.registry_ms == 1_000


@pytest.mark.parametrize("from_peer", [False, True])
def test_list_of_a_newer_era_is_adopted_although_its_number_is_lower(from_peer):
    """Guards against servers that stay unknown after the store came back from an older copy."""
    view = make_view()
    view.adopt_registry(listing(revision_of(1, 900), "s1"), 0, 0, from_peer=False)
    assert view.adopt_registry(listing(revision_of(2, 40), "s1", "s2"), 10, 20, from_peer)
    assert set(view.registry.servers) == {"s1", "s2"}
    assert not view.adopt_registry(listing(revision_of(1, 901), "s1"), 30, 30, from_peer)
    assert view.registry.revision == revision_of(2, 40)
    assert view.registry_ms == 10


def test_unchanged_list_of_a_new_era_gets_its_revision_so_that_peers_learn_of_the_era():
    view = make_view()
    view.adopt_registry(listing(revision_of(1, 900), "s1"), 0, 0, from_peer=False)
    assert not view.adopt_registry(listing(revision_of(2, 40), "s1"), 1_000, 1_000, False)
    assert view.registry.revision == revision_of(2, 40)
    assert not view.adopt_registry(listing(revision_of(2, 45), "s1"), 2_000, 2_000, False)
    assert view.registry.revision == revision_of(2, 40)


def test_time_of_a_new_era_is_kept_but_not_that_of_the_first_list():
    view = make_view()
    view.adopt_registry(listing(revision_of(3, 900), "s1"), 0, 0, from_peer=False)
    assert view.registry_era_ms == NEVER_MS
    view.adopt_registry(listing(revision_of(4, 40), "s1"), 10, 50, from_peer=True)
    view.adopt_registry(listing(revision_of(4, 41)), 60, 90, from_peer=False)
    assert view.registry_era_ms == 50


def test_quiesced_hosts_are_counted_for_the_current_record_only():
    view = make_view()
    view.merge_primary("g", PrimaryRecord(4, 3, "s1", moving=True), 0)
    view.quiesced_groups = {"g"}
    for number, version in ((2, 4), (3, 3)):
        record = PrimaryRecord(version, 3, "s1", moving=True)
        heartbeat = Heartbeat(f"h{number}", 1, 5, primaries={"g": record}, quiesced_groups=("g",))
        view.receive(heartbeat, (f"10.0.0.{number}", 7000), 100)
    assert view.quiesced_hosts(100) == {"g": (4, ["a", "h2"])}


def test_isolated_host_never_becomes_a_majority_by_itself():
    """During a 26 s partition, hosts treated silent peers as departed after 15 s."""
    view, other = make_view(), make_view("b", 2)
    view.peers.register("c", ("10.0.0.3", 7000), 0)
    exchange(view, other, 1_000)
    for now_ms in range(2_000, 120_000, 300):
        view.start_limit_interval(now_ms)
    assert view.primary_use("g", 120_000) is PrimaryUse.NO_LEASE


def test_removal_of_a_host_is_announced_to_the_peers():
    view, other = make_view(), make_view("b", 2)
    view.peers.register("c", ("10.0.0.3", 7000), 0)
    exchange(view, other, 20_000)
    view.remove_host(("10.0.0.3", 7000), 20_000)
    (peer,) = view.peers.all()
    heartbeat = view.heartbeat_for(peer, 20_300)
    assert heartbeat.removed == (("10.0.0.3", 7000),)
    assert view.was_removed(("10.0.0.3", 7000))


def test_live_host_is_not_removed():
    view, other = make_view(), make_view("b", 2)
    exchange(view, other, 20_000)
    assert view.remove_host(("10.0.0.2", 7000), 20_100) is None
    assert [peer.name for peer in view.peers.all()] == ["b"]


def test_host_heard_recently_is_not_removed_on_the_word_of_a_peer():
    """Guards against removing a host that has returned, by an announcement from before.

    Seen in a hunted day: hosts that had returned were removed again after 1.2 s of silence.
    """
    view, other = make_view(), make_view("b", 2)
    exchange(view, other, 20_000)
    assert view.remove_host(("10.0.0.2", 7000), 24_000) is None
    assert view.host_count() == 2
    assert view.remove_host(("10.0.0.2", 7000), 35_000) is not None
    assert view.host_count() == 1


def make_fleet_of_five(live_peers, now_ms, started_ms=0):
    view = FleetView("a", 1, ("10.0.0.1", 7000), started_ms=started_ms)
    for number in range(2, 6):
        address = (f"10.0.0.{number}", 7000)
        view.peers.register(f"h{number}", address, started_ms)
        if number < 2 + live_peers:
            view.receive(Heartbeat(f"h{number}", 1, 5, echo_ms=now_ms), address, now_ms)
    return view


def test_host_with_few_live_peers_and_no_store_is_isolated():
    view = make_fleet_of_five(live_peers=1, now_ms=9_000)
    assert view.lease_lost_ms(9_000) >= LEASE_RENEWAL_TIMEOUT_MS
    assert view.is_isolated(9_000)


def test_host_with_half_of_the_fleet_live_is_not_isolated():
    view = make_fleet_of_five(live_peers=2, now_ms=9_000)
    assert not view.is_isolated(9_000)


def test_host_that_reads_the_store_is_not_isolated():
    view = make_fleet_of_five(live_peers=0, now_ms=9_000)
    view.confirmed_ms = 8_800
    assert not view.is_isolated(9_000)


def test_host_that_has_just_started_is_not_isolated():
    view = make_fleet_of_five(live_peers=0, now_ms=9_000, started_ms=8_500)
    assert not view.is_isolated(9_000)
