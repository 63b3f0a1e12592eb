"""Requests that wait for the host core's answer."""

import itertools
from typing import Any

import eventlet
from eventlet.event import Event

MS_PER_S = 1_000


class CallTable:
    """Hands out call ids and wakes the greenlet that waits for each one's answer."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._waiting: dict[int, Event] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def open(self) -> int:
        """Return the id of a new call; give it to :meth:`wait` or :meth:`forget`."""
        call_id = next(self._ids)
        self._waiting[call_id] = Event()
        return call_id

    def resolve(self, call_id: int, answer: Any) -> None:
        """Give a call its answer; a late or second one is dropped."""
        event = self._waiting.get(call_id)
        if event is not None and not event.ready():
            event.send(answer)

    def wait(self, call_id: int, timeout_ms: int) -> Any | None:
        """Return the answer of a call, ``None`` if there is none within ``timeout_ms``."""
        event = self._waiting[call_id]
        try:
            with eventlet.Timeout(timeout_ms / MS_PER_S, False):
                return event.wait()
            return None
        finally:
            self.forget(call_id)

    def forget(self, call_id: int) -> None:
        """Drop a call that nobody waits for any more."""
        self._waiting.pop(call_id, None)
