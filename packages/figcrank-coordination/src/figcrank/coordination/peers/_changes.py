"""The time of the last change of each heartbeat field."""

from collections.abc import Mapping
from typing import TypeVar

from figcrank.protocol.heartbeats import NEVER_MS

Value = TypeVar("Value")


class ChangeTracker:
    """The latest value of each field, and the time at which it took this value."""

    def __init__(self) -> None:
        self._values: dict[str, object] = {}
        self._changed_ms: dict[str, int] = {}

    def record(self, fields: Mapping[str, object], now_ms: int) -> None:
        """Record the current values of the fields."""
        for name, value in fields.items():
            if name not in self._values or self._values[name] != value:
                self._values[name] = value
                self._changed_ms[name] = now_ms

    def changed_since(self, fields: Mapping[str, Value], since_ms: int) -> dict[str, Value]:
        """Return the fields whose current value a heartbeat sent at ``since_ms`` may lack.

        This includes fields that changed in the same millisecond, because the heartbeat may have
        been sent before the change.
        """
        changed_ms = self._changed_ms
        return {n: v for n, v in fields.items() if changed_ms.get(n, NEVER_MS) >= since_ms}
