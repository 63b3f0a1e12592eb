"""Drives a host core: turns input into events and the core's actions into output."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import eventlet
from absl import logging

from figcrank.coordination import Action, Event, HostCore, Tick
from figcrank.state import Clock
from figcrank.transport._calls import MS_PER_S

Runner = Callable[[Any], None]


class HostDriver:
    """Owns a host core and runs its actions, one event at a time.

    :param core: the host core.
    :param clock: clock that the core is given.
    :param tick_ms: interval between two ticks, in milliseconds.
    """

    def __init__(self, core: HostCore, clock: Clock, tick_ms: int) -> None:
        self._core = core
        self._clock = clock
        self._tick_ms = tick_ms
        self._runners: dict[type, Runner] = {}
        self._events: deque[Event] = deque()
        self._handling = False
        self._ticker: eventlet.greenthread.GreenThread | None = None

    def run_with(self, runners: Mapping[type, Runner]) -> None:
        """Add what runs each type of action; a runner must not block."""
        self._runners.update(runners)

    def start(self) -> None:
        """Run the core's first actions and begin to tick."""
        self._run(self._core.start(self._clock.now_ms()))
        self._ticker = eventlet.spawn(self._tick)

    def stop(self) -> None:
        """Stop ticking."""
        if self._ticker is not None:
            self._ticker.kill()

    def dispatch(self, event: Event) -> None:
        """Give the core an event and run what it asks for.

        An event that arrives while another one is being handled waits for its end, so that the
        core and its actions are never entered twice.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._run(self._core.handle(self._events.popleft(), self._clock.now_ms()))
        finally:
            self._handling = False

    def _run(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            self._runners[type(action)](action)

    def _tick(self) -> None:
        while True:
            eventlet.sleep(self._tick_ms / MS_PER_S)
            try:
                self.dispatch(Tick())
            except Exception:
                logging.exception("A tick failed.")


def spawn_logged(task: Callable[..., None], *args: Any) -> eventlet.greenthread.GreenThread:
    """Run ``task`` in a greenlet of its own; an unexpected exception is logged."""
    return eventlet.spawn(_run_logged, task, *args)


def _run_logged(task: Callable[..., None], *args: Any) -> None:
    try:
        task(*args)
    except Exception:
        logging.exception("A background task failed.")
