"""Structured logs: one JSON object a line on standard output, bounded in volume.

Lines are collected and written a few times a second without blocking: a reader that is slow or
gone costs lines, which are counted, and never a request.
"""

import functools
import json
import os
import time
from collections.abc import Callable

import eventlet

from figcrank.state._clock import Clock

FLUSH_MS = 200  # lines reach a reader within this time; fewer writes than one a line
LINES_PER_S = 40  # of one event; an on-call engineer needs samples of a flood, not all of it
MAX_PENDING_LINES = 2_000  # between two writes; more than any second's budget of all events
MAX_UNWRITTEN_BYTES = 500_000  # kept for a reader that is slow; a few seconds of a flood
STDOUT = 1


def _standard_output() -> Callable[[bytes], int]:
    """Return a write to standard output that never waits for the reader."""
    os.set_blocking(STDOUT, False)
    return functools.partial(os.write, STDOUT)


class EventLog:
    """Writes events and counts those that it had to leave out.

    :param host: name of this host, on every line.
    :param clock: this host's clock.
    :param write: takes bytes and returns how many it took, like ``os.write`` on standard output.
    """

    def __init__(
        self, host: str, clock: Clock, write: Callable[[bytes], int] | None = None
    ) -> None:
        self._write = write or _standard_output()
        self._unwritten = b""
        self._host = host
        self._clock = clock
        self._lines: list[str] = []
        self._in_second: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._second = -1

    def event(self, event: str, **fields: object) -> None:
        """Write one line, unless the event's budget of this second is used up.

        :param event: what happened, the same word for the same kind of thing.
        :param fields: inputs with their age or version, outcome, reason.
        """
        now_ms = self._clock.now_ms()
        if now_ms // 1_000 != self._second:
            self._begin_second(now_ms)
        count = self._in_second.get(event, 0)
        self._in_second[event] = count + 1
        if count >= LINES_PER_S or len(self._lines) >= MAX_PENDING_LINES:
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return
        self._append(now_ms, event, fields)

    def _begin_second(self, now_ms: int) -> None:
        self._second = now_ms // 1_000
        self._in_second.clear()
        if self._dropped:
            dropped, self._dropped = self._dropped, {}
            self._append(now_ms, "lines_dropped", dropped)

    def _append(self, now_ms: int, event: str, fields: dict) -> None:
        # The time of day may jump; it serves to lay the logs of several hosts side by side.
        at_ms = time.time_ns() // 1_000_000
        line = {"at_ms": at_ms, "t_ms": now_ms, "host": self._host, "event": event, **fields}
        self._lines.append(json.dumps(line, separators=(",", ":"), default=str) + "\n")

    def flush(self) -> None:
        """Write what was collected, as far as the reader takes it."""
        data = self._unwritten + "".join(self._lines).encode("utf-8", "replace")
        if not data:
            return
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0  # the reader is slow; lines wait, and are dropped once there are too many
        except OSError:
            written = len(data)  # nobody reads any more; there is nobody to tell either
        self._lines.clear()
        self._unwritten = data[written:]
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self._drop_unwritten()

    def _drop_unwritten(self) -> None:
        """Drop lines that a slow reader has not taken, but for the rest of the one begun."""
        end = self._unwritten.find(b"\n") + 1
        dropped = self._unwritten.count(b"\n", end)
        self._unwritten = self._unwritten[:end]
        self._dropped["unread"] = self._dropped.get("unread", 0) + dropped

    def run(self) -> None:
        """Flush for ever."""
        while True:
            eventlet.sleep(FLUSH_MS / 1_000)
            self.flush()
