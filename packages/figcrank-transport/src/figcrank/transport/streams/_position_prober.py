"""Asks servers for their positions while no replies of their primaries tell them.

That is so while this host has no lease on a primary, and for reads that may not run in the region
of a primary which no statement reaches.
"""

import eventlet

from figcrank.coordination.fleet import FleetView, PrimaryUse
from figcrank.coordination.primaries import proven_position
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._server_commands import ServerCommands

# Two rounds within the staleness bounds in use; each query holds a slot of a server.
PROBE_INTERVAL_MS = 600
CHECK_INTERVAL_MS = 100
DEMAND_MS = 2_000  # a group is probed for this long after a read that lacked a position


class PositionProber:
    """Observes positions by status queries, so that replicas can serve bounded reads.

    :param view: this host's view of the fleet.
    :param router: server pools, and the groups in which reads lack a position.
    :param commands: queries the servers.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    """

    def __init__(
        self,
        view: FleetView,
        router: Router,
        commands: ServerCommands,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._router = router
        self._commands = commands
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._probed_ms: dict[str, int] = {}

    def run(self) -> None:
        """Probe the groups that need it, until the process ends."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
            now_ms = self._clock.now_ms()
            for group in self.due_groups(now_ms):
                self._probed_ms[group] = now_ms
                eventlet.spawn_n(self.probe, group)

    def due_groups(self, now_ms: int) -> list[str]:
        """Return the groups to probe.

        Reads lack a position there, and there is no lease or they may not run at the primary.
        """
        return [
            group
            for group, lacking_ms in self._router.position_lacking_ms.items()
            if now_ms - lacking_ms <= DEMAND_MS
            and now_ms - self._probed_ms.get(group, -PROBE_INTERVAL_MS) >= PROBE_INTERVAL_MS
            and (
                self._view.primary_use(group, now_ms) is PrimaryUse.NO_LEASE
                or self._is_probed_with_lease(group, now_ms)
            )
        ]

    def _is_probed_with_lease(self, group: str, now_ms: int) -> bool:
        lacking_ms = self._router.confinement.lacking_ms.get(group)
        usable = self._view.primary_use(group, now_ms) is PrimaryUse.USABLE
        return usable and lacking_ms is not None and now_ms - lacking_ms <= DEMAND_MS

    def probe(self, group: str) -> None:
        """Query a group's servers and observe the position that the answers prove.

        With a lease, the answer of the primary suffices.
        """
        started_ms = self._clock.now_ms()
        if self._view.primary_use(group, started_ms) is PrimaryUse.USABLE:
            self._probe_primary(group, started_ms)
            return
        entries = self._router.entries_of(group)
        reports = list(eventlet.GreenPool().imap(self._commands.status, entries))
        position = proven_position(reports)
        self._metrics.count("position_probes", result="proven" if position else "unproven")
        self._log.event(
            "position_probed",
            group=group,
            servers=len(entries),
            answered=sum(report is not None for report in reports),
            position=position,
            took_ms=self._clock.now_ms() - started_ms,
        )
        if position is not None:
            self._view.position_history(group).observe(started_ms, position)

    def _probe_primary(self, group: str, started_ms: int) -> None:
        record = self._view.primary_table.get(group)
        pool = self._router.pool(record.server_id)
        report = self._commands.status(pool.entry) if pool else None
        answered = report is not None and report.is_primary and report.position is not None
        self._metrics.count("position_probes", result="primary" if answered else "unproven")
        if answered:
            self._router.observe_position(pool, started_ms, report.position)
