"""Waking every greenlet that waits for a change."""

import eventlet
from eventlet.event import Event


class Signal:
    """Wakes its waiters each time it is notified."""

    def __init__(self) -> None:
        self._event = Event()

    def notify(self) -> None:
        """Wake every greenlet that waits now."""
        event, self._event = self._event, Event()
        event.send()

    def wait(self, timeout_ms: int) -> None:
        """Wait until the next notification or until ``timeout_ms`` has passed."""
        event = self._event
        with eventlet.Timeout(timeout_ms / 1_000, False):
            event.wait()
