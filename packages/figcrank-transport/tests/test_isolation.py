from figcrank.state import ManualClock
from figcrank.transport.streams._isolation import BALANCER_REMOVAL_MS, IsolationMonitor
from figcrank.transport.streams._log import EventLog


class FakeView:
    """Fleet view with a settable isolation state."""

    store_ok = False
    isolated = True

    class peers:  # noqa: N801 - replaces an attribute
        @staticmethod
        def live(_now_ms):
            return []

    def is_isolated(self, _now_ms):
        return self.isolated

    def lease_lost_ms(self, _now_ms):
        return 1_000

    def host_count(self):
        return 9


class FakeSession:
    def __init__(self):
        self.close_calls = 0

    def close_when_idle(self):
        self.close_calls += 1


def make_monitor():
    view, session = FakeView(), FakeSession()
    clock = ManualClock(0)
    monitor = IsolationMonitor(view, {session}, clock, EventLog("a", clock, len))
    return monitor, view, session


def test_sessions_are_closed_after_the_balancer_removed_the_host():
    monitor, _, session = make_monitor()
    monitor.update(0)
    assert monitor.isolated
    monitor.update(BALANCER_REMOVAL_MS - 1)
    assert session.close_calls == 0
    monitor.update(BALANCER_REMOVAL_MS)
    assert session.close_calls == 1


def test_isolation_that_ends_early_closes_no_sessions():
    monitor, view, session = make_monitor()
    monitor.update(0)
    view.isolated = False
    monitor.update(300)
    assert not monitor.isolated
    view.isolated = True
    monitor.update(BALANCER_REMOVAL_MS)
    assert session.close_calls == 0
