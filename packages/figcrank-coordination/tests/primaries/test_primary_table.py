from figcrank.coordination.primaries import PrimaryTable
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state._catalog import Registry, ServerEntry


def listing(revision, **claims):
    entries = {
        server_id: ServerEntry(server_id, "g", "10.1.0.1:80", "a", 5, False, claim)
        for server_id, claim in claims.items()
    }
    return Registry(revision, entries)


def test_registry_decides_until_a_primary_is_replaced():
    table = PrimaryTable()
    assert table.adopt_registry(listing(1, a=True, b=False), 10) == ["g"]
    assert table.get("g").server_id == "a"
    table.merge("g", PrimaryRecord(2, 2, "b"), 20)
    assert table.adopt_registry(listing(2, a=True, b=False), 30) == []
    assert table.get("g").server_id == "b"


def test_conflicting_primary_claims_are_ignored():
    table = PrimaryTable()
    assert table.adopt_registry(listing(1, a=True, b=True), 10) == []
    assert table.get("g") is None


def test_only_a_higher_version_changes_the_record():
    table = PrimaryTable()
    assert table.merge("g", PrimaryRecord(2, 2, "b"), 10)
    assert not table.merge("g", PrimaryRecord(1, 1, "a", moving=True), 20)
    assert not table.merge("g", PrimaryRecord(2, 2, "b"), 30)
    assert table.merge("g", PrimaryRecord(3, 2, "b", moving=True), 40)
    assert table.moving_for_ms("g", 90) == 50


def test_server_promoted_by_an_interrupted_replacement_is_replaced_too():
    table = PrimaryTable()
    table.merge("g", PrimaryRecord(1, 1, "a"), 10)
    assert table.replaced_servers("g") == set()
    table.merge("g", PrimaryRecord(3, 1, "a", moving=True), 20)
    assert table.replaced_servers("g") == {"a"}
    table.merge("g", PrimaryRecord(4, 2, "b"), 30)
    table.merge("g", PrimaryRecord(5, 1, "a", moving=True), 40)
    assert table.replaced_servers("g") == {"a", "b"}
    table.merge("g", PrimaryRecord(6, 2, "b"), 50)
    assert table.replaced_servers("g") == set()


def test_unknown_term_is_taken_from_the_primary_only():
    table = PrimaryTable()
    table.adopt_registry(listing(1, a=True, b=False), 10)
    table.set_initial_term("g", "b", 9)
    assert table.get("g").term == 0
    table.set_initial_term("g", "a", 4)
    assert table.get("g").term == 4
