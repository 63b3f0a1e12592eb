"""Keeps statements of routes and workspaces with allowed regions at servers of these regions."""

from collections.abc import Collection

from figcrank.coordination.fleet import FleetView, PrimaryUse
from figcrank.coordination.regions import AllowedRegions, allowed_regions
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.sessions import SessionFailure
from figcrank.state._catalog import DatabaseRoute, ReadMode, ServerEntry
from figcrank.transport.streams._connection import OpenError


class RegionConfinement:
    """Applies the allowed regions of the configuration to servers.

    :param view: this host's view of the fleet.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        # By group, when a read lacked the position of a primary where it may not run.
        self.lacking_ms: dict[str, int] = {}

    def allowed(self, route: DatabaseRoute, workspace: str) -> AllowedRegions:
        """Return the regions that a workspace's statements on a route are confined to."""
        return allowed_regions(route, workspace, self._view.catalog, self._view.regions)

    def may_run(self, entry: ServerEntry, route: DatabaseRoute, workspace: str) -> bool:
        """Return whether a server is in a region where a workspace's statements may run now.

        :param route: a route of the statements, perhaps of an earlier configuration.
        """
        catalog = self._view.catalog
        present = catalog.routes.get(route.database, route) if catalog else route
        return self.allowed(present, workspace).permits_server(entry.availability_zone)

    def needs_position(
        self,
        route: DatabaseRoute,
        allowed: AllowedRegions,
        entries: Collection[ServerEntry],
        now_ms: int,
    ) -> bool:
        """Return whether a read lacks only the position of a primary where it may not run.

        :param entries: the servers of the group.
        """
        if route.mode is ReadMode.PRIMARY or not allowed.is_confined:
            return False
        view = self._view
        primary = view.primary_of(route.group)
        if primary is not None and allowed.permits_server(primary.availability_zone):
            return False
        history = view.position_history(route.group)
        return (
            history.required_position(now_ms, route.max_staleness_ms) is None
            and any(allowed.permits_server(entry.availability_zone) for entry in entries)
            and view.primary_use(route.group, now_ms) is PrimaryUse.USABLE
        )

    def require_primary(
        self, route: DatabaseRoute, workspace: str, entries: Collection[ServerEntry]
    ) -> None:
        """Reject what needs a primary if no server of an allowed region can be the one.

        :param entries: the servers of the group.
        :raises OpenError: if that is so.
        """
        allowed = self.allowed(route, workspace)
        if not allowed.is_confined:
            return
        zones = {entry.server_id: entry.availability_zone for entry in entries}
        record = self._view.primary_table.get(route.group)
        is_settled = record is not None and not record.moving
        primary_zone = zones.get(record.server_id, "") if is_settled else None
        refusal = allowed.refusal(zones.values(), primary_zone)
        if refusal is not None:
            raise OpenError(SessionFailure.BUSY, refusal, reason=RefusalReason.REGION)
