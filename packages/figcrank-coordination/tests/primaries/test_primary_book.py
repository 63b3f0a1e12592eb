from figcrank.coordination.primaries import PrimaryBook
from figcrank.protocol.heartbeats import PrimaryRecord
from figcrank.state._catalog import Registry, ServerEntry


def listing(revision, **claims):
    entries = {
        server_id: ServerEntry(server_id, "g", "10.1.0.1:80", "a", 5, False, claim)
        for server_id, claim in claims.items()
    }
    return Registry(revision, entries)


def test_the_servers_own_word_holds_until_a_primary_is_replaced():
    book = PrimaryBook()
    assert book.adopt_registry(listing(1, a=True, b=False), 10) == ["g"]
    assert book.get("g").server_id == "a"
    book.merge("g", PrimaryRecord(2, 2, "b"), 20)
    assert book.adopt_registry(listing(2, a=True, b=False), 30) == []
    assert book.get("g").server_id == "b"


def test_two_servers_that_claim_to_lead_are_not_believed():
    book = PrimaryBook()
    assert book.adopt_registry(listing(1, a=True, b=True), 10) == []
    assert book.get("g") is None


def test_only_a_higher_version_changes_the_belief():
    book = PrimaryBook()
    assert book.merge("g", PrimaryRecord(2, 2, "b"), 10)
    assert not book.merge("g", PrimaryRecord(1, 1, "a", moving=True), 20)
    assert not book.merge("g", PrimaryRecord(2, 2, "b"), 30)
    assert book.merge("g", PrimaryRecord(3, 2, "b", moving=True), 40)
    assert book.moving_for_ms("g", 90) == 50


def test_an_unknown_term_is_learned_from_the_primary_alone():
    book = PrimaryBook()
    book.adopt_registry(listing(1, a=True, b=False), 10)
    book.learn_term("g", "b", 9)
    assert book.get("g").term == 0
    book.learn_term("g", "a", 4)
    assert book.get("g").term == 4
