"""Which regions' servers may run a statement, and which hosts it may pass through.

Load pattern: a fleet in two regions whose demand moves through the zones, with routes and
workspaces whose data must stay in their regions also while servers or owners there are gone.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from figcrank.coordination.regions._region_map import RegionMap
from figcrank.state._catalog import Catalog, DatabaseRoute


@dataclass(frozen=True, slots=True)
class AllowedRegions:
    """The regions that a statement is confined to.

    A zone whose region is not configured is in no allowed region: data must not leave its regions
    because a zone is missing from the settings. Without any configured region there is no
    confinement.

    :param names: names of the regions, ``None`` for every region.
    :param regions: regions of the availability zones.
    """

    names: frozenset[str] | None = None
    regions: RegionMap = field(default_factory=RegionMap)

    @property
    def is_confined(self) -> bool:
        """Return whether any server or host may be excluded."""
        return self.names is not None and self.regions.is_configured

    def permits_server(self, zone: str) -> bool:
        """Return whether a server of an availability zone may run the statement."""
        return not self.is_confined or self.regions.region_of(zone) in self.names

    def permits_host(self, zone: str, caller_zone: str) -> bool:
        """Return whether the statement may pass through a host of an availability zone.

        :param caller_zone: zone of the host that the caller reached; empty if it is not known.
        """
        if self.permits_server(zone) or (zone and zone == caller_zone):
            return True
        region = self.regions.region_of(zone)
        return bool(region) and region == self.regions.region_of(caller_zone)

    def host_refusal(self, zone: str, caller_zone: str) -> str | None:
        """Return why a host may not run the session of a caller, ``None`` if it may.

        :param zone: availability zone of the host.
        :param caller_zone: as in :meth:`permits_host`.
        """
        if self.permits_host(zone, caller_zone):
            return None
        place = self.regions.region_of(zone) or "an unknown region"
        caller = self.regions.region_of(caller_zone) or "unknown"
        return (
            f"no owner was reached in an allowed region ({self._allowed_text}) or in the caller's"
            f" ({caller}); this one is in {place}"
        )

    @property
    def _allowed_text(self) -> str:
        return ", ".join(sorted(self.names or ())) or "none"

    def refusal(self, server_zones: Collection[str], primary_zone: str | None) -> str | None:
        """Return why no server can run what needs the primary, ``None`` if one may.

        :param server_zones: availability zones of the group's servers.
        :param primary_zone: zone of the primary; ``None`` while there is none or it is replaced.
        """
        if not self.is_confined:
            return None
        allowed = self._allowed_text
        if server_zones and not any(map(self.permits_server, server_zones)):
            return f"the group has no server in an allowed region ({allowed})"
        if primary_zone is None or self.permits_server(primary_zone):
            return None
        region = self.regions.region_of(primary_zone)
        place = f"in region {region}" if region else "in an unknown region"
        return f"the primary is {place}, and no server in an allowed region ({allowed}) can run it"


EVERY_REGION = AllowedRegions()


def allowed_regions(
    route: DatabaseRoute, workspace: str, catalog: Catalog | None, regions: RegionMap
) -> AllowedRegions:
    """Return the regions of a workspace's statements on a route: those that both allow.

    :param catalog: the configuration in force.
    :param regions: regions of the availability zones.
    """
    of_workspace = catalog.workspace_regions.get(workspace, ()) if catalog is not None else ()
    confining = [frozenset(names) for names in (route.allowed_regions, of_workspace) if names]
    if not confining:
        return EVERY_REGION
    return AllowedRegions(frozenset.intersection(*confining), regions)
