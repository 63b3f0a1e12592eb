from figcrank.state import ManualClock
from figcrank.transport.streams._isolation import BALANCER_REMOVAL_MS, IsolationMonitor
from figcrank.transport.streams._log import EventLog


class View:
    """A belief that says what it is told to."""

    store_ok = False
    isolated = True

    class peers:  # noqa: N801 - stands for an attribute
        @staticmethod
        def live(_now_ms):
            return []

    def is_isolated(self, _now_ms):
        return self.isolated

    def lease_lost_ms(self, _now_ms):
        return 1_000

    def hosts(self):
        return 9


class Session:
    def __init__(self):
        self.left = 0

    def close_when_idle(self):
        self.left += 1


def make_watch():
    view, session = View(), Session()
    clock = ManualClock(0)
    watch = IsolationMonitor(view, {session}, clock, EventLog("a", clock, len))
    return watch, view, session


def test_sessions_end_once_the_balancer_has_taken_the_host_out():
    watch, _, session = make_watch()
    watch.update(0)
    assert watch.isolated
    watch.update(BALANCER_REMOVAL_MS - 1)
    assert session.left == 0
    watch.update(BALANCER_REMOVAL_MS)
    assert session.left == 1


def test_a_host_that_rejoined_keeps_its_sessions():
    watch, view, session = make_watch()
    watch.update(0)
    view.isolated = False
    watch.update(300)
    assert not watch.isolated
    view.isolated = True
    watch.update(BALANCER_REMOVAL_MS)
    assert session.left == 0
