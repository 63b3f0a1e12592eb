"""Resources in use are taken back at the end of their use, whatever their user does."""

from figcrank.coordination.placement import UseTable


def table():
    uses = UseTable()
    uses.begin("a", "read", now_ms=0, ends_ms=100)
    return uses


def test_use_is_overdue_only_after_its_end():
    uses = table()
    assert uses.overdue(100) == []
    ((resource, use),) = uses.overdue(101)
    assert (resource, use.kind, use.began_ms) == ("a", "read", 0)


def test_overdue_uses_come_oldest_first():
    uses = table()
    uses.begin("b", "read", now_ms=10, ends_ms=50)
    assert [resource for resource, _ in uses.overdue(200)] == ["b", "a"]


def test_extended_use_ends_later():
    uses = table()
    uses.extend("a", 300)
    assert uses.overdue(300) == []
    assert len(uses.overdue(301)) == 1


def test_resource_that_was_taken_back_stays_free():
    """Guards against a late statement that marks a closed connection as in use again."""
    uses = table()
    uses.end("a")
    uses.extend("a", 300)
    uses.record_service("a", 5)
    assert "a" not in uses
    assert uses.end("a") is None


def test_service_time_adds_up_over_the_statements_of_an_operation():
    assert table().end("a").service_ms is None
    uses = table()
    uses.record_service("a", 5)
    uses.record_service("a", 7)
    assert uses.end("a").service_ms == 12
