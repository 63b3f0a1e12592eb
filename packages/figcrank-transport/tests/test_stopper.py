"""The stop of a host, on a clock that its own work advances."""

import pytest

from figcrank.coordination.sessions import HostLifetime
from figcrank.state._clock import ManualClock
from figcrank.transport.streams import _stopper
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._stopper import HostStopper

GRACE_MS = 6_000
LOOP_ROUND_MS = 5  # of a busy host


class FakeSession:
    """A session that ends when it is told to close, unless it has a request in progress."""

    in_transaction = False

    def __init__(self, scenario, is_answering=False):
        self._scenario = scenario
        self.is_answering = is_answering

    def close_when_idle(self, spare_new=False):
        if not self.is_answering:
            self._end()

    def interrupt(self, reason):
        self.is_answering = False
        self._end()

    def _end(self):
        self._scenario.sessions.discard(self)
        self._scenario.ended_ms.append(self._scenario.clock.now_ms())

    def report_unanswered(self, reason):
        raise AssertionError(reason)


class Scenario:
    def __init__(self):
        self.clock = ManualClock(0)
        self.sessions = set()
        self.ended_ms = []
        self.events = {}
        log = EventLog("host", self.clock, len)
        log.event = lambda event, **fields: self.events.update({event: fields})
        self.lifetime = HostLifetime()
        self.stopper = HostStopper(self.sessions, self.lifetime, self.clock, log, Metrics())

    def sleep(self, seconds):
        """Sleep, for at least a round of the event loop."""
        self.clock.advance_to(self.clock.now_ms() + max(LOOP_ROUND_MS, round(seconds * 1_000)))

    def stop(self):
        self.stopper.begin(GRACE_MS)
        self.stopper.run()


@pytest.fixture
def scenario(monkeypatch):
    scenario = Scenario()
    monkeypatch.setattr(_stopper.eventlet, "sleep", scenario.sleep)
    return scenario


def test_host_with_many_sessions_stops_within_its_grace_time(scenario):
    """Guards against a stop that takes a round of the event loop for each session."""
    scenario.sessions.update(FakeSession(scenario) for _ in range(1_500))
    scenario.stop()
    assert len(scenario.ended_ms) == 1_500
    assert scenario.clock.now_ms() <= scenario.lifetime.plan.answers_end_ms


def test_reconnects_of_the_sessions_are_spread(scenario):
    scenario.sessions.update(FakeSession(scenario) for _ in range(100))
    scenario.stop()
    plan = scenario.lifetime.plan
    middle_ms = plan.closing_ms + plan.close_spread_ms / 2
    assert 40 <= sum(ended_ms <= middle_ms for ended_ms in scenario.ended_ms) <= 60


def test_requests_in_progress_are_answered_before_the_host_exits(scenario):
    scenario.sessions.update(FakeSession(scenario, is_answering=True) for _ in range(100))
    scenario.stop()
    assert len(scenario.ended_ms) == 100
    assert min(scenario.ended_ms) >= scenario.lifetime.plan.answers_end_ms
    assert scenario.clock.now_ms() < scenario.lifetime.plan.exit_ms
    assert scenario.events["stopped"] == {"sessions": 0, "unanswered": 0}


def test_error_while_sessions_are_closed_does_not_end_the_stop(scenario, monkeypatch):
    """Guards against a stop that ends at the first session that can't be closed."""

    def fail(self, spare_new=False):
        raise OSError("not connected")

    monkeypatch.setattr(FakeSession, "close_when_idle", fail)
    scenario.sessions.update(FakeSession(scenario, is_answering=True) for _ in range(3))
    scenario.stop()
    assert len(scenario.ended_ms) == 3
    assert "OSError" in scenario.events["internal_error"]["trace"]
