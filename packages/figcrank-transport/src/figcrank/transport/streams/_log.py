"""Structured event log: one JSON object per line on standard output, with a bounded volume.

Lines are buffered and written without blocking a few times per second. If the consumer of the
output is slow or gone, lines are dropped and counted, and requests are not delayed.
"""

import functools
import json
import os
import time
from collections.abc import Callable

import eventlet

from figcrank.state._clock import Clock

FLUSH_INTERVAL_MS = 200  # longest delay of a line; batches lines into fewer writes
LINES_PER_S = 40  # per event name; beyond that, a sample of an event's lines is enough to diagnose
MAX_PENDING_LINES = 2_000  # between two writes; exceeds the budget of all events for 1 s
MAX_UNWRITTEN_BYTES = 500_000  # buffered for a slow consumer; a few seconds at the maximum rate
STDOUT = 1


def _standard_output() -> Callable[[bytes], int]:
    """Return a non-blocking write to standard output."""
    os.set_blocking(STDOUT, False)
    return functools.partial(os.write, STDOUT)


class EventLog:
    """Writes events as JSON lines and counts those that it dropped.

    :param host: name of this host, included in every line.
    :param clock: this host's clock.
    :param write: writes bytes and returns how many were written, as ``os.write`` does; defaults to
        standard output.
    """

    def __init__(
        self, host: str, clock: Clock, write: Callable[[bytes], int] | None = None
    ) -> None:
        self._write = write or _standard_output()
        self._unwritten = b""
        self._host = host
        self._clock = clock
        self._lines: list[str] = []
        self._lines_in_second: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._current_second = -1

    def event(self, event: str, **fields: object) -> None:
        """Log one event, unless its budget for the current second is used up.

        :param event: name of the event, fixed per kind of event.
        :param fields: details such as inputs with their age or version, outcome and reason.
        """
        now_ms = self._clock.now_ms()
        if now_ms // 1_000 != self._current_second:
            self._begin_second(now_ms)
        count = self._lines_in_second.get(event, 0)
        self._lines_in_second[event] = count + 1
        if count >= LINES_PER_S or len(self._lines) >= MAX_PENDING_LINES:
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return
        self._append(now_ms, event, fields)

    def _begin_second(self, now_ms: int) -> None:
        self._current_second = now_ms // 1_000
        self._lines_in_second.clear()
        if self._dropped:
            dropped, self._dropped = self._dropped, {}
            self._append(now_ms, "lines_dropped", dropped)

    def _append(self, now_ms: int, event: str, fields: dict) -> None:
        # Wall-clock time may jump; it only serves to correlate the logs of several hosts.
        at_ms = time.time_ns() // 1_000_000
        line = {"at_ms": at_ms, "t_ms": now_ms, "host": self._host, "event": event, **fields}
        self._lines.append(json.dumps(line, separators=(",", ":"), default=str) + "\n")

    def flush(self) -> None:
        """Write buffered lines, as far as the reader accepts them."""
        data = self._unwritten + "".join(self._lines).encode("utf-8", "replace")
        if not data:
            return
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0  # the reader is slow; keep the data up to the limit below
        except OSError:
            written = len(data)  # the reader is gone, so the error can't be logged either
        self._lines.clear()
        self._unwritten = data[written:]
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self._drop_unwritten()

    def _drop_unwritten(self) -> None:
        """Drop unwritten lines, except the rest of a partly written one."""
        end = self._unwritten.find(b"\n") + 1
        dropped = self._unwritten.count(b"\n", end)
        self._unwritten = self._unwritten[:end]
        self._dropped["unread"] = self._dropped.get("unread", 0) + dropped

    def run(self) -> None:
        """Flush periodically until the process ends."""
        while True:
            eventlet.sleep(FLUSH_INTERVAL_MS / 1_000)
            self.flush()
