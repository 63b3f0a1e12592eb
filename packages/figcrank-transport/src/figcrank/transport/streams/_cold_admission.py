"""Admission of statements to servers that started a short time ago and are still slow."""

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.placement import ColdServers
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.sessions import SessionFailure
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import OpenError
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._pool import ServerPool


class ColdAdmission:
    """Limits what this host sends to cold servers.

    :param servers: the cold servers and this host's part of their limits.
    :param view: this host's view of the fleet.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    """

    def __init__(
        self,
        servers: ColdServers,
        view: FleetView,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._servers = servers
        self._view = view
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def tick(self) -> None:
        """Update the cold servers from the registry; called every 100 ms or sooner."""
        catalog = self._view.catalog
        cold_per_s = {n: p.cold_per_s for n, p in catalog.groups.items()} if catalog else {}
        owners = {self._view.host, *(peer.name for peer in self._view.peers.all())}
        entries = self._view.registry.servers.values()
        for change in self._servers.update(entries, cold_per_s, owners, self._clock.now_ms()):
            self._log.event(
                "server_cold" if change.cold else "server_warm",
                server=change.entry.server_id,
                group=change.entry.group,
                share_per_s=change.share,
            )

    def server_ids(self) -> set[str]:
        """Return the ids of the cold servers."""
        now_ms = self._clock.now_ms()
        return {n for n in self._view.registry.servers if self._servers.is_cold(n, now_ms)}

    def ranks_lower(self, pool: ServerPool) -> bool:
        """Return whether a server is cold and what it gets is not limited."""
        server_id, now_ms = pool.entry.server_id, self._clock.now_ms()
        return self._servers.is_cold(server_id, now_ms) and not self._servers.is_limited(
            server_id, now_ms
        )

    def is_exhausted(self, pool: ServerPool) -> bool:
        """Return whether this host has sent a cold server what it may."""
        return self._retry_after_ms(pool) > 0

    def check(self, pool: ServerPool) -> None:
        """Check that a statement that only this server can run may be sent to it.

        :raises OpenError: if the server is cold and this host has sent it what it may.
        """
        retry_after_ms = self._retry_after_ms(pool)
        if retry_after_ms > 0:
            self._metrics.count("cold_rejected", server=pool.entry.server_id)
            detail = f"server {pool.entry.server_id} has just started"
            detail = f"{detail}; retry after {retry_after_ms} ms"
            raise OpenError(SessionFailure.BUSY, detail, reason=RefusalReason.COLD)

    def admit(self, pool: ServerPool) -> bool:
        """Return whether a statement may be sent to a server now, and count it if so."""
        if self.is_exhausted(pool):
            return False
        self.record(pool)
        return True

    def record(self, pool: ServerPool) -> None:
        """Count a statement that is sent to a server."""
        self._servers.record(pool.entry.server_id, self._clock.now_ms())

    def gauges(self) -> dict[str, float]:
        """Return this host's part of the limit at each cold server."""
        shares = self._servers.shares(self._clock.now_ms())
        return {f'cold_server_share{{server="{name}"}}': share for name, share in shares.items()}

    def _retry_after_ms(self, pool: ServerPool) -> int:
        return self._servers.retry_after_ms(pool.entry.server_id, self._clock.now_ms())
