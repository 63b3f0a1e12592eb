"""Passes events to a host core and executes the actions that it returns."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import eventlet
from absl import logging

from figcrank.coordination import Action, Event, HostCore, Tick
from figcrank.state import Clock
from figcrank.transport._calls import MS_PER_S

ActionHandler = Callable[[Any], None]


class HostDriver:
    """Passes events to a host core, one at a time, and executes the resulting actions.

    :param core: the host core.
    :param clock: source of the time passed to the core.
    :param tick_ms: interval between two ticks, in milliseconds.
    """

    def __init__(self, core: HostCore, clock: Clock, tick_ms: int) -> None:
        self._core = core
        self._clock = clock
        self._tick_ms = tick_ms
        self._handlers: dict[type, ActionHandler] = {}
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._ticker: eventlet.greenthread.GreenThread | None = None

    def register_handlers(self, handlers: Mapping[type, ActionHandler]) -> None:
        """Register the function that executes each type of action; it must not block."""
        self._handlers.update(handlers)

    def start(self) -> None:
        """Execute the core's initial actions and start sending periodic ticks."""
        self._run(self._core.start(self._clock.now_ms()))
        self._ticker = eventlet.spawn(self._tick)

    def stop(self) -> None:
        """Stop sending ticks."""
        if self._ticker is not None:
            self._ticker.kill()

    def dispatch(self, event: Event) -> None:
        """Pass an event to the core and execute the resulting actions.

        An event that is dispatched while another one is being handled is queued, so that the core
        and its action handlers are never called reentrantly.
        """
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._run(self._core.handle(self._events.popleft(), self._clock.now_ms()))
        finally:
            self._dispatching = False

    def _run(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            self._handlers[type(action)](action)

    def _tick(self) -> None:
        while True:
            eventlet.sleep(self._tick_ms / MS_PER_S)
            try:
                self.dispatch(Tick())
            except Exception:
                logging.exception("Failed to handle a tick.")


def spawn_logged(task: Callable[..., None], *args: Any) -> eventlet.greenthread.GreenThread:
    """Run ``task`` in a new greenlet and log any exception that it raises."""
    return eventlet.spawn(_run_logged, task, *args)


def _run_logged(task: Callable[..., None], *args: Any) -> None:
    try:
        task(*args)
    except Exception:
        logging.exception("A background task failed.")
