from figcrank.coordination.peers import PeerTable
from figcrank.protocol.heartbeats import NEVER_MS, Heartbeat

OWN = ("10.0.0.1", 7000)


def address(number):
    return (f"10.0.0.{number}", 7000)


def heartbeat(host, sent_ms=0, echo_ms=NEVER_MS, echo_age_ms=0, boot=1, **fields):
    return Heartbeat(host, boot, sent_ms, echo_ms, echo_age_ms, **fields)


def test_response_is_dated_by_its_echo_and_not_by_its_arrival():
    table = PeerTable("a", OWN)
    table.receive(heartbeat("b", 10, echo_ms=1_000, echo_age_ms=50), address(2), now_ms=9_000)
    assert table.majority_responded_ms(9_000) == 1_050


def test_heartbeat_without_an_echo_has_no_time():
    table = PeerTable("a", OWN)
    table.receive(heartbeat("b", 10), address(2), now_ms=9_000)
    assert table.majority_responded_ms(9_000) == NEVER_MS


def test_majority_is_counted_over_all_known_hosts():
    table = PeerTable("a", OWN)
    for number in range(2, 6):
        table.register(f"h{number}", address(number), 0)
    table.receive(heartbeat("h2", 5, echo_ms=900), address(2), 1_000)
    assert table.majority_responded_ms(1_000) == NEVER_MS
    table.receive(heartbeat("h3", 5, echo_ms=800), address(3), 1_000)
    assert table.majority_responded_ms(1_000) == 800


def test_single_host_is_its_own_majority():
    assert PeerTable("a", OWN).majority_responded_ms(500) == 500


def test_older_heartbeat_of_the_same_boot_is_ignored():
    table = PeerTable("a", OWN)
    assert table.receive(heartbeat("b", 20), address(2), 100) is not None
    assert table.receive(heartbeat("b", 10), address(2), 110) is None
    assert table.receive(heartbeat("b", 10, boot=2), address(2), 120) is not None


def test_own_heartbeats_and_own_address_are_ignored():
    table = PeerTable("a", OWN)
    table.register("", OWN, 0)
    assert table.receive(heartbeat("a", 1), address(2), 10) is None
    assert table.all() == []


def test_hosts_that_cannot_reach_the_store_or_are_leaving_are_not_store_readers():
    table = PeerTable("m", OWN)
    table.receive(heartbeat("a", 1, store_ok=False), address(2), 10)
    table.receive(heartbeat("b", 1, leaving=True), address(3), 10)
    table.receive(heartbeat("c", 1), address(4), 10)
    table.receive(heartbeat("z", 1), address(5), 10)
    assert table.store_readers(20, self_eligible=True) == ["c", "m"]


def test_hosts_that_ignore_eras_are_skipped_as_store_readers_if_eras_are_needed():
    table = PeerTable("m", OWN)
    table.receive(heartbeat("a", 1, ignores_eras=True), address(2), 10)
    table.receive(heartbeat("c", 1), address(4), 10)
    assert table.store_readers(20, self_eligible=True) == ["a", "c"]
    assert table.store_readers(20, self_eligible=True, needs_eras=True) == ["c", "m"]


def test_store_readers_are_in_two_zones_where_possible():
    """Guards against two readers that one event in a zone affects together."""
    table = PeerTable("a", OWN, "zone-1")
    for number, (name, zone) in enumerate((("b", "zone-1"), ("c", "zone-2"), ("d", "zone-3")), 2):
        table.register(name, address(number), 0, zone)
        table.receive(heartbeat(name, 1), address(number), 10)
    assert table.store_readers(20, self_eligible=True) == ["a", "c"]
    assert table.store_readers(20, self_eligible=False) == ["b", "c"]


def test_store_readers_are_in_one_zone_if_no_other_has_hosts():
    table = PeerTable("a", OWN, "zone-1")
    table.register("b", address(2), 0, "zone-1")
    table.receive(heartbeat("b", 1), address(2), 10)
    assert table.store_readers(20, self_eligible=True) == ["a", "b"]


def test_silent_host_counts_until_it_is_removed():
    table = PeerTable("a", OWN)
    table.receive(heartbeat("b", 1, echo_ms=0), address(2), 0)
    assert table.removal_candidates(14_000) == []
    assert [peer.name for peer in table.removal_candidates(16_000)] == ["b"]
    assert table.majority_responded_ms(16_000) == 0
    assert table.remove(address(2)).name == "b"
    assert table.majority_responded_ms(16_000) == 16_000


def test_host_with_less_than_a_third_live_removes_no_host():
    table = PeerTable("a", OWN)
    for number in range(2, 10):
        table.register(f"h{number}", address(number), 0)
    table.receive(heartbeat("h2", 1), address(2), 20_000)
    assert not table.may_remove(20_100)
    table.receive(heartbeat("h3", 1), address(3), 20_000)
    assert table.may_remove(20_100)


def test_store_confirmation_of_a_peer_is_dated_by_its_age():
    table = PeerTable("a", OWN)
    table.receive(heartbeat("b", 1, echo_ms=1_000, confirmed_age_ms=300), address(2), 1_200)
    assert table.store_confirmed_ms() == 700
