"""An owner's recent load on one server, which it reports to the other owners.

Load pattern: statements of 6 to 30 ms that arrive in bursts. A count of the statements in flight at
one moment says little about them, so the load is averaged over a heartbeat interval.
"""

import math
from collections import deque
from dataclasses import dataclass

from figcrank.protocol.heartbeats import ServerLoad

WINDOW_MS = 1_000  # of service times and rejections; fewer samples make the mean unsteady
DEMAND_WINDOW_MS = 300  # of statements in flight and waiting; one heartbeat interval


@dataclass(slots=True)
class _Interval:
    """What happened between two samples.

    :param start_ms: its start.
    :param end_ms: its end.
    :param in_flight: statements and new connections in flight at its end.
    :param waiting: statements waiting at its end.
    :param service_total_ms: sum of the service times of the replies.
    :param samples: number of replies.
    :param rejections: number of rejections.
    """

    start_ms: int
    end_ms: int
    in_flight: int = 0
    waiting: int = 0
    service_total_ms: float = 0.0
    samples: int = 0
    rejections: int = 0


class LoadMeter:
    """Measures one owner's load on one server.

    :param now_ms: current time.
    """

    def __init__(self, now_ms: int) -> None:
        self._open = _Interval(now_ms, now_ms)
        self._closed: deque[_Interval] = deque()

    def record_reply(self, service_ms: float) -> None:
        """Record a reply.

        :param service_ms: time from sending the statement to its reply.
        """
        self._open.service_total_ms += service_ms
        self._open.samples += 1

    def record_rejection(self) -> None:
        """Record a statement or connection that the server rejected with a full queue."""
        self._open.rejections += 1

    def sample(self, in_flight: int, waiting: int, now_ms: int) -> ServerLoad | None:
        """Return the load over the last second, ``None`` if there was none.

        :param in_flight: statements and new connections in flight now.
        :param waiting: statements waiting now.
        """
        interval = self._open
        interval.end_ms, interval.in_flight, interval.waiting = now_ms, in_flight, waiting
        self._closed.append(interval)
        self._open = _Interval(now_ms, now_ms)
        while self._closed[0].end_ms <= now_ms - WINDOW_MS:
            self._closed.popleft()
        if not any(i.in_flight or i.waiting or i.samples or i.rejections for i in self._closed):
            return None
        return self._load(now_ms)

    def _load(self, now_ms: int) -> ServerLoad:
        samples = sum(interval.samples for interval in self._closed)
        total_ms = sum(interval.service_total_ms for interval in self._closed)
        recent = [i for i in self._closed if i.end_ms > now_ms - DEMAND_WINDOW_MS]
        span_ms = max(1, now_ms - recent[0].start_ms)
        counted = sum(interval.in_flight for interval in recent) / len(recent)
        # Samples miss statements that are shorter than the time between two samples. By Little's
        # law, the service times that end in a time span give the mean in flight during it.
        worked = sum(interval.service_total_ms for interval in recent) / span_ms
        return ServerLoad(
            math.ceil(max(counted, worked)),
            math.ceil(sum(interval.waiting for interval in recent) / len(recent)),
            total_ms / samples if samples else 0.0,
            samples,
            sum(interval.rejections for interval in self._closed),
        )
