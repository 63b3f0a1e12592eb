"""Moves callers to other hosts while this host is cut off from its peers and the store."""

from collections.abc import Collection

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.state._clock import Clock
from figcrank.transport.streams._caller_connection import CallerConnection
from figcrank.transport.streams._log import EventLog

CHECK_INTERVAL_MS = 300  # the heartbeat interval; the state doesn't change more often
BALANCER_REMOVAL_MS = 2_200  # the load balancer removes a host after two failed checks, 1 s apart


class IsolationMonitor:
    """Tracks whether this host is isolated, that is, cut off from its peers and the store.

    An isolated host refuses statements for primaries at once and reports itself not ready. It
    closes idle sessions once the load balancer no longer routes their callers back to it.

    :param view: this host's view of the fleet.
    :param sessions: live collection of the open sessions.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        view: FleetView,
        sessions: Collection[CallerConnection],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._view = view
        self._sessions = sessions
        self._clock = clock
        self._log = log
        self._isolated_since_ms: int | None = None

    @property
    def isolated(self) -> bool:
        """Return whether this host was isolated at the last update."""
        return self._isolated_since_ms is not None

    def run(self) -> None:
        """Update periodically until the process ends."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
            self.update(self._clock.now_ms())

    def update(self, now_ms: int) -> None:
        """Update the isolation state; close idle sessions if it has lasted long enough."""
        if not self._view.is_isolated(now_ms):
            if self._isolated_since_ms is not None:
                self._log.event("rejoined", isolated_ms=now_ms - self._isolated_since_ms)
            self._isolated_since_ms = None
            return
        if self._isolated_since_ms is None:
            self._isolated_since_ms = now_ms
            self._log.event(
                "isolated",
                lease_lost_ms=self._view.lease_lost_ms(now_ms),
                hosts_heard=len(self._view.peers.live(now_ms)),
                hosts=self._view.host_count(),
                store_ok=self._view.store_ok,
            )
        if now_ms - self._isolated_since_ms >= BALANCER_REMOVAL_MS:
            for session in list(self._sessions):
                session.close_when_idle()
