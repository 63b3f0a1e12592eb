from figcrank.coordination.fleet import ConfigurationAge, FleetView
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.state._catalog import Catalog


def catalog(version):
    return Catalog(version, {}, {}, {}, {}, 3_000)


def test_age_is_unknown_until_the_first_confirmation():
    age = ConfigurationAge()
    assert age.age_ms(1_000) is None
    assert age.is_older_than(10**9, 1_000)


def test_confirmation_of_the_own_or_an_older_version_counts_at_once():
    age = ConfigurationAge()
    age.confirm(5, 800, own_version=5)
    assert age.age_ms(1_000) == 200
    age.confirm(4, 900, own_version=5)
    assert age.age_ms(1_000) == 100
    age.confirm(5, 700, own_version=5)
    assert age.age_ms(1_000) == 100


def test_confirmation_of_a_newer_version_counts_once_it_is_adopted():
    """Guards against a host that counts as current by a version that it has not fetched."""
    age = ConfigurationAge()
    age.confirm(5, 500, own_version=5)
    age.confirm(7, 900, own_version=5)
    assert age.age_ms(1_000) == 500
    age.record_adopted(6)
    assert age.age_ms(1_000) == 500
    age.record_adopted(7)
    assert age.age_ms(1_000) == 100


def test_confirmation_of_an_older_pending_version_is_not_taken_for_the_newer_one():
    age = ConfigurationAge()
    age.confirm(8, 300, own_version=5)
    age.confirm(7, 900, own_version=5)
    age.record_adopted(8)
    assert age.age_ms(1_000) == 700


def exchange(sender, receiver, now_ms, delay_ms=0):
    """Exchange heartbeats until the receiver knows when the sender's last one was sent."""
    for one, other in ((sender, receiver), (receiver, sender)) * 2 + ((sender, receiver),):
        one.peers.register(other.host, other.itself.address, now_ms)
        peer = one.peers.by_address(other.itself.address)
        heartbeat = one.heartbeat_for(peer, now_ms)
        other.receive(heartbeat, one.itself.address, now_ms + delay_ms)


def test_peer_learns_the_age_by_heartbeats():
    reader = FleetView("a", 1, ("10.0.0.1", 7000))
    other = FleetView("b", 2, ("10.0.0.2", 7000))
    for view in (reader, other):
        view.adopt_catalog(catalog(5), 0)
    reader.confirm_configuration(5, 9_900)
    exchange(reader, other, 10_000)
    assert other.configuration_age.age_ms(10_000) == 100


def test_age_of_a_delayed_heartbeat_counts_from_its_sending():
    """Guards against a configuration that counts as current by a heartbeat held up on its way."""
    reader = FleetView("a", 1, ("10.0.0.1", 7000))
    other = FleetView("b", 2, ("10.0.0.2", 7000))
    for view in (reader, other):
        view.adopt_catalog(catalog(5), 0)
    reader.confirm_configuration(5, 10_000)
    exchange(reader, other, 10_000)
    peer = reader.peers.by_address(other.itself.address)
    held_up = reader.heartbeat_for(peer, 10_100)
    other.receive(held_up, reader.itself.address, 14_000)
    assert other.configuration_age.age_ms(14_000) >= 3_900


def test_peer_that_names_a_newer_version_confirms_nothing_until_it_is_adopted():
    reader = FleetView("a", 1, ("10.0.0.1", 7000))
    other = FleetView("b", 2, ("10.0.0.2", 7000))
    reader.adopt_catalog(catalog(6), 0)
    other.adopt_catalog(catalog(5), 0)
    reader.confirm_configuration(6, 9_900)
    exchange(reader, other, 10_000)
    assert other.configuration_age.confirmed_ms == NEVER_MS
    other.adopt_catalog(catalog(6), 10_010)
    assert other.configuration_age.age_ms(10_010) == 110
