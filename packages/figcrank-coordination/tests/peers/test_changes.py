from figcrank.coordination.peers import ChangeLog
from figcrank.protocol.heartbeats import NEVER_MS


def test_only_what_changed_since_is_newer():
    changes = ChangeLog()
    changes.note({"w": 1, "v": 1}, 100)
    parts = {"w": 1, "v": 2}
    changes.note(parts, 200)
    assert changes.newer(parts, 150) == {"v": 2}


def test_a_change_in_the_same_millisecond_may_not_have_been_told():
    changes = ChangeLog()
    changes.note({"w": 1}, 100)
    assert changes.newer({"w": 1}, 100) == {"w": 1}
    assert changes.newer({"w": 1}, 101) == {}


def test_everything_is_newer_than_never():
    changes = ChangeLog()
    changes.note({"w": None}, 0)
    assert changes.newer({"w": None}, NEVER_MS) == {"w": None}
