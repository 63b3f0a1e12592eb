"""Answers the status queries of relays and of hosts that start."""

from collections.abc import Callable

import eventlet
from eventlet.green import socket

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.owners import STATUS_QUERY, OwnerStatus, encode_status
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._owner_tracker import OwnerTracker

MAX_QUERY_BYTES = 2_048
ERROR_PAUSE_MS = 300


class StatusResponder:
    """Answers the status queries of relays and of hosts that start.

    :param address: ``(ip, port)`` of the queries.
    :param view: this host's view of the fleet.
    :param tracker: the owners that this host knows as a relay.
    :param accepts_sessions: returns whether this host accepts relayed sessions now.
    :param log: event log.
    """

    def __init__(
        self,
        address: tuple[str, int],
        view: FleetView,
        tracker: OwnerTracker,
        accepts_sessions: Callable[[], bool],
        log: EventLog,
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._accepts_sessions = accepts_sessions
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)

    def run(self) -> None:
        """Answer queries until the process ends."""
        while True:
            try:
                data, sender = self._socket.recvfrom(MAX_QUERY_BYTES)
                if data == STATUS_QUERY:
                    self._socket.sendto(encode_status(self.status()), sender)
            except OSError as error:
                self._log.event("owner_query_failed", reason=str(error))
                eventlet.sleep(ERROR_PAUSE_MS / 1_000)

    def status(self) -> OwnerStatus:
        """Return this host's status."""
        view = self._view
        owners = view.owners() if view.is_owner else self._tracker.owners()
        version = view.catalog.version if view.catalog else 0
        return OwnerStatus(view.host, self._accepts_sessions(), version, tuple(owners))
