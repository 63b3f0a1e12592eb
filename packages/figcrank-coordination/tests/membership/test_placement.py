from figcrank.coordination import CoreSettings
from figcrank.coordination.membership._placement import Placement
from figcrank.state import Host

HOSTS = tuple(Host(f"host-{n}", f"zone-{n % 3}", f"g{n}", f"p{n}") for n in range(9))


class FakeMembership:
    def __init__(self, hosts=HOSTS):
        self.live = hosts

    def hosts(self):
        return self.live


def make_placement(membership):
    return Placement(CoreSettings("fleet", HOSTS[0], HOSTS, ()), membership)


def test_owners_are_in_different_availability_zones():
    placement = make_placement(FakeMembership())
    for n in range(50):
        owners = placement.owners(f"group-{n}")
        assert len({owner.availability_zone for owner in owners}) == len(owners) == 2


def test_only_the_homes_of_a_lost_host_move():
    membership = FakeMembership()
    placement = make_placement(membership)
    before = {f"w{n}": placement.home(f"w{n}") for n in range(900)}
    membership.live = HOSTS[:4] + HOSTS[5:]
    moved = {name for name, host in before.items() if placement.home(name) != host}
    assert moved == {name for name, host in before.items() if host == HOSTS[4]}
    assert 60 <= len(moved) <= 140


def test_the_next_ranked_host_becomes_home_once_the_home_has_left():
    membership = FakeMembership()
    placement = make_placement(membership)
    home = placement.home("crew")
    successor = placement.home("crew", excluded=frozenset({home.name}))
    membership.live = tuple(host for host in HOSTS if host != home)
    assert placement.home("crew") == successor != home


def test_rankings_are_computed_once_for_a_list_of_hosts(monkeypatch):
    placement = make_placement(FakeMembership())
    first = placement.owners("group")
    monkeypatch.setattr("xxhash.xxh64_intdigest", None)
    assert placement.owners("group") is first
