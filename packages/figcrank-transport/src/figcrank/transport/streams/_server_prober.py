"""Probes servers that leave statements unanswered or that seem to fail."""

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.sessions import ServerCodec, SessionFailure
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._pool import ServerPool, split_address
from figcrank.transport.streams._traffic import MessageKind, TrafficMeter

PROBE_AFTER_MS = 500  # a statement unanswered for this long triggers a probe
RECENT_ANSWER_MS = 200  # an answer newer than this outweighs a peer's failure report


class ServerProber:
    """Probes servers by opening and closing a separate connection.

    :param view: this host's view of the fleet.
    :param codec: server wire format.
    :param clock: this host's clock.
    :param log: event log.
    :param traffic: counts the bytes of probes.
    """

    def __init__(
        self,
        view: FleetView,
        codec: ServerCodec,
        clock: Clock,
        log: EventLog,
        traffic: TrafficMeter,
    ) -> None:
        self._view = view
        self._codec = codec
        self._clock = clock
        self._log = log
        self._traffic = traffic

    def probe_if_suspect(self, pool: ServerPool, now_ms: int) -> None:
        """Start a probe of a server that leaves statements unanswered or that seems to fail."""
        waited_ms = pool.oldest_outstanding_ms(now_ms)
        unanswered = (
            waited_ms >= PROBE_AFTER_MS and now_ms - pool.health.last_response_ms >= PROBE_AFTER_MS
        )
        record = self._view.primary_table.get(pool.entry.group)
        at_primary = record is not None and record.server_id == pool.entry.server_id
        failing = at_primary and pool.health.failing_since_ms is not None
        reported_failing = at_primary and self._is_reported_failing(pool, now_ms)
        if (
            (unanswered or failing or reported_failing)
            and pool.health.usable(now_ms)
            and pool.may_send()
            and not pool.probe_running
        ):
            pool.probe_running = True
            eventlet.spawn_n(self.probe, pool)

    def _is_reported_failing(self, pool: ServerPool, now_ms: int) -> bool:
        """Return whether a peer reports a primary failing and this host has no recent answer."""
        if (
            now_ms - pool.health.last_response_ms < RECENT_ANSWER_MS
            or pool.health.failing_since_ms is not None
        ):
            return False
        reports = (
            peer.heartbeat.primary_failures.get(pool.entry.group)
            for peer in self._view.peers.live(now_ms)
        )
        return any(report and report.server_id == pool.entry.server_id for report in reports)

    def probe(self, pool: ServerPool) -> None:
        """Probe a server by opening and closing a separate connection."""
        entry = pool.entry
        start_message = self._codec.start(entry.group, self._view.host, entry.server_id)
        try:
            connection, _ = ServerConnection.open(
                split_address(entry.address),
                self._codec.decoder(),
                start_message,
                self._view.host,
                self._clock,
                pool.may_send,
                self._traffic.channel(MessageKind.STATEMENT, entry.availability_zone),
            )
        except OpenError as error:
            self._record_failed_probe(pool, error)
        else:
            connection.close()
            pool.health.record_answer(self._clock.now_ms())
        finally:
            pool.probe_running = False

    def _record_failed_probe(self, pool: ServerPool, error: OpenError) -> None:
        now_ms = self._clock.now_ms()
        if error.failure in (SessionFailure.BUSY, SessionFailure.CONNECTION_LIMIT):
            pool.health.record_answer(now_ms)
            return
        pool.health.record_failure(now_ms, error.refused)
        self._log.event(
            "server_unreachable",
            server=pool.entry.server_id,
            group=pool.entry.group,
            failing_ms=pool.health.failing_for_ms(now_ms),
            reason=str(error),
        )
