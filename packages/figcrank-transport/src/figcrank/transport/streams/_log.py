"""Structured logs: one JSON object a line on standard output, bounded in volume.

Lines are collected and written a few times a second without blocking: a reader that is slow or
gone costs lines, which are counted, and never a request.
"""

import json
import os

import eventlet

from figcrank.state._clock import Clock

FLUSH_MS = 200  # lines reach a reader within this time; fewer writes than one a line
LINES_PER_S = 40  # of one event; an on-call engineer needs samples of a flood, not all of it
MAX_PENDING_LINES = 2_000  # kept for a reader that is slow; about half a megabyte
STDOUT = 1


class EventLog:
    """Writes events and counts those that it had to leave out.

    :param host: name of this host, on every line.
    :param clock: this host's clock.
    """

    def __init__(self, host: str, clock: Clock) -> None:
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
        line = {"t_ms": now_ms, "host": self._host, "event": event, **fields}
        self._lines.append(json.dumps(line, separators=(",", ":"), default=str))

    def flush(self) -> None:
        """Write what was collected, as far as the reader takes it."""
        if not self._lines:
            return
        data = ("\n".join(self._lines) + "\n").encode("utf-8", "replace")
        count = len(self._lines)
        self._lines.clear()
        try:
            written = os.write(STDOUT, data)
        except OSError:
            # The reader is slow or gone; the loss is told once it reads again.
            written = 0
        if written < len(data):
            lost = data[written:].count(b"\n")
            self._dropped["unread"] = self._dropped.get("unread", 0) + min(count, lost)

    def run(self) -> None:
        """Flush for ever."""
        while True:
            eventlet.sleep(FLUSH_MS / 1_000)
            self.flush()
