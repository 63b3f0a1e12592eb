"""What this host does for replacements of primaries, by its own connections to them."""

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import PrimaryFailure
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._pool import ServerPool

FAILOVER_DRAIN_MS = 200  # running statements at an unreachable primary are closed after this
PLANNED_DRAIN_MS = 500  # transactions still open in a planned switch are closed after this


class PrimaryMonitor:
    """Tells peers which primaries fail, and ends what still runs at replaced ones.

    :param view: this host's view of the fleet.
    :param pools: server pools by server id, shared with the router.
    :param log: event log.
    """

    def __init__(self, view: FleetView, pools: dict[str, ServerPool], log: EventLog) -> None:
        self._view = view
        self._pools = pools
        self._log = log
        self._serving: set[str] = set()  # ids of the primaries that serve

    def release_replaced(self) -> None:
        """Make statements that wait at a primary leave it when it ceases to serve."""
        records = self._view.primary_table.all().values()
        serving = {record.server_id for record in records if not record.moving}
        for server_id in self._serving - serving:
            pool = self._pools.get(server_id)
            if pool is not None:
                pool.send_waiters_elsewhere("the primary is being replaced")
        self._serving = serving

    def publish(self, now_ms: int) -> None:
        """Set what the next heartbeats tell of primaries: which fail, and which are unused."""
        failures = {}
        for group, record in self._view.primary_table.all().items():
            pool = self._pools.get(record.server_id)
            if pool is None or pool.health.failing_since_ms is None:
                continue
            refused = pool.health.last_refused_ms is not None
            # Failures from before the server became the primary don't count.
            known_ms = self._view.primary_table.unchanged_for_ms(group, now_ms)
            failing_ms = max(1, min(known_ms, pool.health.failing_for_ms(now_ms)))
            failures[group] = PrimaryFailure(record.server_id, failing_ms, refused)
        self._view.primary_failures = failures
        self._view.quiesced_groups = {
            group
            for group, record in self._view.primary_table.all().items()
            if record.moving and self._are_unused(self._view.primary_table.replaced_servers(group))
        }

    def close_drained(self, now_ms: int) -> None:
        """Close connections to replaced primaries when the drain time is over."""
        for group, record in self._view.primary_table.all().items():
            moving_ms = self._view.primary_table.moving_for_ms(group, now_ms)
            if moving_ms < (PLANNED_DRAIN_MS if record.planned else FAILOVER_DRAIN_MS):
                continue
            for server_id in self._view.primary_table.replaced_servers(group):
                if not self._are_unused({server_id}):
                    self._log.event("fenced_work_ended", group=group, server=server_id)
                    self._pools[server_id].close_all()

    def _are_unused(self, server_ids: set[str]) -> bool:
        pools = (self._pools.get(server_id) for server_id in server_ids)
        return all(pool is None or pool.is_unused for pool in pools)
