"""When each part of what heartbeats tell last changed."""

from collections.abc import Mapping
from typing import TypeVar

from figcrank.protocol.heartbeats import NEVER_MS

Value = TypeVar("Value")


class ChangeLog:
    """The last value of each part, and when it was first seen to have it."""

    def __init__(self) -> None:
        self._values: dict[str, object] = {}
        self._changed_ms: dict[str, int] = {}

    def note(self, parts: Mapping[str, object], now_ms: int) -> None:
        """Take in the parts as they are now."""
        for name, value in parts.items():
            if name not in self._values or self._values[name] != value:
                self._values[name] = value
                self._changed_ms[name] = now_ms

    def newer(self, parts: Mapping[str, Value], since_ms: int) -> dict[str, Value]:
        """Return the parts that a heartbeat sent at a time may not have told.

        One that was sent in the same millisecond as the change may have come before it.
        """
        changed_ms = self._changed_ms
        return {n: v for n, v in parts.items() if changed_ms.get(n, NEVER_MS) >= since_ms}
