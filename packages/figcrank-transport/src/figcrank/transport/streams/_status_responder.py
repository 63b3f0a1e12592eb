"""Answers the status queries of relays and of hosts that start."""

from collections.abc import Callable

import eventlet
from eventlet.green import socket

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.owners import RELAY_NOTICE, STATUS_QUERY, OwnerStatus, encode_status
from figcrank.state._clock import Clock
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
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        address: tuple[str, int],
        view: FleetView,
        tracker: OwnerTracker,
        accepts_sessions: Callable[[], bool],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._view = view
        self._tracker = tracker
        self._accepts_sessions = accepts_sessions
        self._clock = clock
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)

    def run(self) -> None:
        """Answer queries until the process ends."""
        while True:
            try:
                data, sender = self._socket.recvfrom(MAX_QUERY_BYTES)
                traffic = self._tracker.channel_to(sender[0])
                traffic.received(len(data))
                if data == RELAY_NOTICE:
                    self._view.ownership.record_relay(self._clock.now_ms())
                if data == STATUS_QUERY:
                    answer = encode_status(self.status())
                    self._socket.sendto(answer, sender)
                    traffic.sent(len(answer))
            except OSError as error:
                self._log.event("owner_query_failed", reason=str(error))
                eventlet.sleep(ERROR_PAUSE_MS / 1_000)

    def status(self) -> OwnerStatus:
        """Return this host's status."""
        view = self._view
        owners = view.owners() if view.is_owner else self._tracker.owners()
        version = view.catalog.version if view.catalog else 0
        accepts = self._accepts_sessions()
        return OwnerStatus(view.host, accepts, version, tuple(owners), reads_options=True)
