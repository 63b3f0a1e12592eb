"""Tests that the driver handles events one at a time and keeps ticking after errors."""

import eventlet
import pytest

from figcrank.coordination import CountMetric, LeaveRequested, SetReady, Tick
from figcrank.state import ManualClock
from figcrank.transport import HostDriver


class ScriptedCore:
    def __init__(self, actions):
        self.actions = actions
        self.handled = []

    def start(self, now_ms):
        return ()

    def handle(self, event, now_ms):
        self.handled.append((type(event), now_ms))
        actions = self.actions.get(type(event), ())
        if isinstance(actions, Exception):
            raise actions
        return actions


def test_event_from_a_handler_is_queued():
    core = ScriptedCore({Tick: (SetReady(True), CountMetric("seen"))})
    driver = HostDriver(core, ManualClock(7), 10)
    order = []

    def on_ready(action):
        driver.dispatch(LeaveRequested())
        order.append("ready")

    driver.register_handlers(
        {SetReady: on_ready, CountMetric: lambda action: order.append("count")}
    )
    driver.dispatch(Tick())
    assert order == ["ready", "count"]
    assert core.handled == [(Tick, 7), (LeaveRequested, 7)]


def test_driver_is_usable_after_an_exception():
    core = ScriptedCore({LeaveRequested: ValueError("fault")})
    driver = HostDriver(core, ManualClock(), 10)
    with pytest.raises(ValueError, match="fault"):
        driver.dispatch(LeaveRequested())
    driver.dispatch(Tick())
    assert core.handled[-1][0] is Tick


def test_ticks_continue_after_an_exception():
    core = ScriptedCore({Tick: ValueError("fault")})
    driver = HostDriver(core, ManualClock(), 1)
    driver.start()
    with eventlet.Timeout(10):
        while len(core.handled) < 3:
            eventlet.sleep(0.001)
    driver.stop()
