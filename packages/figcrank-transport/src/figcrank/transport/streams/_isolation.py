"""Sends callers to other hosts while this one is cut off from them and from the store."""

from collections.abc import Collection

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._session import CallerSession

CHECK_MS = 300  # a heartbeat; more often there is nothing new to hear
UNREADY_MS = 2_200  # the balancer takes a host out after two checks, one a second


class IsolationWatch:
    """Whether this host is isolated.

    An isolated host refuses work on primaries at once, is not ready, and ends idle sessions once
    the balancer no longer sends their callers back to it.

    :param view: what this host believes.
    :param sessions: the open sessions, as they come and go.
    :param clock: this host's clock.
    :param log: where the beginning and the end are written.
    """

    def __init__(
        self,
        view: FleetView,
        sessions: Collection[CallerSession],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._view = view
        self._sessions = sessions
        self._clock = clock
        self._log = log
        self._since_ms: int | None = None

    @property
    def isolated(self) -> bool:
        """Whether this host was isolated when it last looked."""
        return self._since_ms is not None

    def run(self) -> None:
        """Look for ever."""
        while True:
            eventlet.sleep(CHECK_MS / 1_000)
            self.look(self._clock.now_ms())

    def look(self, now_ms: int) -> None:
        """Note whether this host is isolated; end idle sessions if it has been for long."""
        if not self._view.is_isolated(now_ms):
            if self._since_ms is not None:
                self._log.event("rejoined", isolated_ms=now_ms - self._since_ms)
            self._since_ms = None
            return
        if self._since_ms is None:
            self._since_ms = now_ms
            self._log.event(
                "isolated",
                lease_lost_ms=self._view.lease_lost_ms(now_ms),
                hosts_heard=len(self._view.peers.live(now_ms)),
                hosts=self._view.hosts(),
                store_ok=self._view.store_ok,
            )
        if now_ms - self._since_ms >= UNREADY_MS:
            for session in list(self._sessions):
                session.leave()
