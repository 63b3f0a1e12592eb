from figcrank.coordination.peers import ChangeTracker
from figcrank.protocol.heartbeats import NEVER_MS


def test_only_later_changes_are_returned():
    changes = ChangeTracker()
    changes.record({"w": 1, "v": 1}, 100)
    fields = {"w": 1, "v": 2}
    changes.record(fields, 200)
    assert changes.changed_since(fields, 150) == {"v": 2}


def test_change_in_the_same_millisecond_is_returned():
    changes = ChangeTracker()
    changes.record({"w": 1}, 100)
    assert changes.changed_since({"w": 1}, 100) == {"w": 1}
    assert changes.changed_since({"w": 1}, 101) == {}


def test_all_fields_are_returned_if_nothing_was_sent():
    changes = ChangeTracker()
    changes.record({"w": None}, 0)
    assert changes.changed_since({"w": None}, NEVER_MS) == {"w": None}
