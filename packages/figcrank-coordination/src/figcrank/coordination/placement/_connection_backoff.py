"""Pause in opening connections to a server that has as many as it accepts.

Load pattern: all hosts lose power and return within two seconds, while the server keeps the
connections that they had for three. Without a pause each waiting statement opens a connection again
every 25 ms, and the server spends its time on rejecting them.
"""

from figcrank.protocol.heartbeats import NEVER_MS

PAUSE_MS = 300  # a tenth of the time that a server needs to drop the connections of lost hosts


class ConnectionBackoff:
    """Limit on the connections that this host holds after the server rejected one."""

    def __init__(self) -> None:
        self._limit = 0
        self._until_ms = NEVER_MS

    def record(self, connections: int, now_ms: int) -> None:
        """Record that the server rejected a connection because it has too many.

        :param connections: the other connections of this host, open or being opened.
        """
        self._limit = max(1, connections)
        self._until_ms = now_ms + PAUSE_MS

    def max_connections(self, quota: int, now_ms: int) -> int:
        """Return how many connections this host may hold now.

        :param quota: its part of the server's connections.
        """
        return min(quota, self._limit) if now_ms < self._until_ms else quota
