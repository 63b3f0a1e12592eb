"""Table of requests that wait for an answer from the host core."""

import itertools
from typing import Any

import eventlet
from eventlet.event import Event

MS_PER_S = 1_000


class CallTable:
    """Assigns call ids and passes each answer to the greenlet that waits for it."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._waiting: dict[int, Event] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def open(self) -> int:
        """Register a call and return its id.

        The call stays registered until :meth:`wait` or :meth:`discard` is called with the id.
        """
        call_id = next(self._ids)
        self._waiting[call_id] = Event()
        return call_id

    def resolve(self, call_id: int, answer: Any) -> None:
        """Set the answer of a call; late and repeated answers are ignored."""
        event = self._waiting.get(call_id)
        if event is not None and not event.ready():
            event.send(answer)

    def give_up(self) -> None:
        """Let each call that waits for its answer go on without one, as after its timeout."""
        for call_id in list(self._waiting):
            self.resolve(call_id, None)

    def wait(self, call_id: int, timeout_ms: int) -> Any | None:
        """Wait for the answer of a call and return it, ``None`` if it comes too late."""
        event = self._waiting[call_id]
        try:
            with eventlet.Timeout(timeout_ms / MS_PER_S, False):
                return event.wait()
            return None
        finally:
            self.discard(call_id)

    def discard(self, call_id: int) -> None:
        """Remove a call; its answer, if one arrives, is ignored."""
        self._waiting.pop(call_id, None)
