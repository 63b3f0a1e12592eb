"""One host's view of the fleet: configuration, servers, primaries, positions, limits and peers.

Hosts exchange it in heartbeats. Each part has its own rule for which of two states is newer.
"""

from dataclasses import dataclass
from enum import Enum, auto

from figcrank.coordination.evacuation import ZoneEvacuations
from figcrank.coordination.fleet._configuration_age import ConfigurationAge
from figcrank.coordination.fleet._group_ownership import GroupOwnership
from figcrank.coordination.fleet._region_links import RegionLinks
from figcrank.coordination.owners import HostRole
from figcrank.coordination.peers import ChangeTracker, Peer, PeerTable
from figcrank.coordination.placement import PositionHistory
from figcrank.coordination.primaries import (
    LEASE_MS,
    MAJORITY_LEASE_MS,
    SILENT_THRESHOLD_MS,
    PrimaryTable,
)
from figcrank.coordination.quotas import SharedLimit
from figcrank.coordination.regions import RegionMap
from figcrank.protocol.heartbeats import (
    NEVER_MS,
    OMITTABLE_FIELDS,
    Evacuations,
    Heartbeat,
    HeartbeatExtension,
    PrimaryFailure,
    PrimaryRecord,
    ServerLoad,
)
from figcrank.protocol.owners import Owner
from figcrank.state import era_of
from figcrank.state._catalog import Catalog, Registry, ServerEntry
from figcrank.state._positions import Position

# Partitions between regions last minutes; hosts on the other side must still receive the removal.
# For this time a removed host still counts for leases and promotions, as it may only be cut off.
ANNOUNCE_REMOVED_MS = 600_000
# A peer removes a host after 15 s of silence. A host that was heard within this time has returned,
# or is cut off from that peer alone.
REMOVED_SILENCE_MS = 10_000
# Three heartbeats or two store reads without a response; the lease is then unlikely to be renewed.
LEASE_RENEWAL_TIMEOUT_MS = 1_000
# Two lists of servers, which are read once per second, were not read.
STORE_AWAY_MS = 2_500
# Three heartbeats; a peer that is silent for longer is assumed to spend its whole share.
SILENT_PEER_MS = 900


class PrimaryUse(Enum):
    """Whether a group's primary may be used now.

    ``UNKNOWN`` means that the group has no primary record, ``MOVING`` that its primary is being
    replaced, and ``NO_LEASE`` that the record was not confirmed recently enough.
    """

    USABLE = auto()
    UNKNOWN = auto()
    MOVING = auto()
    NO_LEASE = auto()


@dataclass(frozen=True, slots=True)
class _SharedFields:
    """Fields that are the same in the heartbeats to all peers at one time.

    :param state: the fields that a heartbeat may omit, by name.
    :param spent: numbers of admitted and requested operations by workspace.
    :param observed: newest position of each group's primary and its age in milliseconds.
    :param confirmed_age_ms: age of the newest confirmation of the primaries by the store.
    """

    state: dict[str, object]
    spent: dict[str, tuple[int, int]]
    observed: dict[str, tuple[Position, int]]
    confirmed_age_ms: int


class FleetView:
    """The view that this host has of the fleet.

    :param host: name of this host.
    :param boot_id: random id of this start of the host.
    :param address: heartbeat address of this host.
    :param headroom: operations by which a workspace's limit may be exceeded in any time span.
    :param started_ms: time at which this host started.
    :param availability_zone: availability zone of this host.
    :param evacuation_ms: bound on an evacuation of a zone; 0 if zones can't be evacuated.
    :param regions: regions of the availability zones; one region by default.
    """

    def __init__(
        self,
        host: str,
        boot_id: int,
        address: tuple[str, int],
        headroom: float = 0.0,
        started_ms: int = 0,
        availability_zone: str = "",
        evacuation_ms: int = 0,
        regions: RegionMap | None = None,
    ) -> None:
        self.itself = Owner(host, address, availability_zone)
        self.regions = regions or RegionMap(availability_zone)
        self.links = RegionLinks(self.regions)
        self.role = HostRole.UNDECIDED
        self._headroom = headroom
        self._started_ms = started_ms
        self.host = host
        self.boot_id = boot_id
        self.peers = PeerTable(host, address, availability_zone)
        self.primary_table = PrimaryTable()
        self.catalog: Catalog | None = None
        self.configuration_age = ConfigurationAge()
        self.registry = Registry()
        self.registry_ms = NEVER_MS
        # When a list of a new era of the store was adopted; entries may be missing for a moment.
        self.registry_era_ms = NEVER_MS
        self.store_ok = True
        self.leaving = False
        self.confirmed_ms = NEVER_MS
        self.position_histories: dict[str, PositionHistory] = {}
        self.limits: dict[str, SharedLimit] = {}
        self.primary_failures: dict[str, PrimaryFailure] = {}
        self.quiesced_groups: set[str] = set()
        self.evacuation = ZoneEvacuations(evacuation_ms)
        self.busy_zones: tuple[str, ...] = ()  # evacuated ones in which this host still has work
        self.server_loads: dict[str, ServerLoad] = {}  # of this host
        self.ownership = GroupOwnership(self)
        self._removed_ms: dict[tuple[str, int], int] = {}
        self._state_changes = ChangeTracker()
        self._spent_changes = ChangeTracker()

    @property
    def evacuations(self) -> Evacuations:
        """Return the list of evacuated zones that is in force."""
        return self.evacuation.listed

    @property
    def is_owner(self) -> bool:
        """Return whether this host is an owner."""
        return self.role is HostRole.OWNER

    def owners(self) -> list[Owner]:
        """Return every owner that this host knows as an owner, including itself."""
        peers = (Owner(p.name, p.address, p.availability_zone) for p in self.peers.all())
        return [self.itself, *peers]

    def group_owners(self, group: str, now_ms: int) -> list[str]:
        """Return the names of the hosts that serve a group, one for each zone with live owners.

        :returns: an empty list in fleets without relays, where every host serves it.
        """
        return self.ownership.group_owners(group, now_ms)

    def adopt_catalog(self, catalog: Catalog, now_ms: int) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it is."""
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return False
        self.catalog = catalog
        self.configuration_age.record_adopted(catalog.version)
        self.links.record_catalog(catalog)
        for name, workspace in catalog.workspaces.items():
            limit = self.limits.get(name)
            rate_per_s, burst = workspace.rate_per_s, workspace.burst
            if limit is None:
                self.limits[name] = SharedLimit(rate_per_s, burst, self._headroom, now_ms)
            else:
                limit.configure(rate_per_s, burst)
        for name in self.limits.keys() - catalog.workspaces.keys():
            del self.limits[name]
        return True

    @property
    def catalog_version(self) -> int:
        """Return the version of this host's configuration, 0 while it has none."""
        return self.catalog.version if self.catalog else 0

    def confirm_configuration(self, version: int, as_of_ms: int) -> None:
        """Record that the store had no newer configuration than a version.

        :param as_of_ms: time of it by this host's clock, or a lower bound.
        """
        self.configuration_age.confirm(version, as_of_ms, self.catalog_version)

    def newest_named_version(self) -> int:
        """Return the newest version of the configuration in the peers' heartbeats."""
        heartbeats = (peer.heartbeat for peer in self.peers.all())
        return max((h.catalog_version for h in heartbeats if h is not None), default=0)

    def adopt_registry(
        self, registry: Registry, as_of_ms: int, now_ms: int, from_peer: bool
    ) -> bool:
        """Apply a list of servers and return whether it differs from the current one.

        :param registry: the list; it is ignored if its revision is older than the current one. A
            list of a newer era of the store is newer, whatever its number.
        :param as_of_ms: time at which the store had this list.
        :param from_peer: whether a peer sent the list, rather than the store.
        """
        if registry.revision < self.registry.revision:
            return False
        self.registry_ms = max(self.registry_ms, as_of_ms)
        changed = registry.servers != self.registry.servers
        era, known_era = era_of(registry.revision), era_of(self.registry.revision)
        if era > known_era and self.registry.revision:
            self.registry_era_ms = now_ms
        if changed or from_peer or era > known_era:
            # An unchanged list keeps its older revision, so that peers do not fetch it. The first
            # list of a new era keeps its own, so that peers learn of the era.
            self.registry = registry
        if changed and not era:
            # In a store with eras, entries may be from an older copy; the record tells the primary.
            self.primary_table.adopt_registry(registry, now_ms)
        return changed

    def position_history(self, group: str) -> PositionHistory:
        """Return the observed positions of a group's primary."""
        history = self.position_histories.get(group)
        if history is None:
            history = self.position_histories[group] = PositionHistory()
        return history

    def observe_failing_primary(self, group: str, now_ms: int) -> None:
        """Extend the position history of a primary that answers no owner.

        Every commit passes an owner, which observes its position. While each owner reports that the
        primary does not answer, no commit is newer than the positions that they have observed, so
        replicas can go on serving bounded reads. An owner that is silent may still reach the
        primary.
        """
        record = self.primary_table.get(group)
        if record is None or record.moving or not _reports(self.primary_failures, group, record):
            return
        newest = self.position_history(group).newest()
        positions = [newest[1]] if newest else []
        reported_ms = now_ms
        for peer in self.peers.all():
            if not self.peers.is_live(peer, now_ms) or peer.sent_after_ms == NEVER_MS:
                return
            if not _reports(peer.heartbeat.primary_failures, group, record):
                return
            reported_ms = min(reported_ms, peer.sent_after_ms)
            if group in peer.heartbeat.observed:
                positions.append(peer.heartbeat.observed[group][0])
        if positions and all(position.term == record.term for position in positions):
            self.position_history(group).observe(reported_ms, max(positions))

    def primary_is_irreplaceable(self, group: str, now_ms: int) -> bool:
        """Return whether a group's primary does not answer and can't be replaced for now.

        A replacement needs the store; no host has read the list of servers for some time.
        """
        record = self.primary_table.get(group)
        if record is None or record.moving:
            return False
        report = self.primary_failures.get(group)
        if report is None or report.failing_ms < SILENT_THRESHOLD_MS:
            return False
        return self.registry_ms == NEVER_MS or now_ms - self.registry_ms > STORE_AWAY_MS

    def merge_primary(self, group: str, record: PrimaryRecord, now_ms: int) -> bool:
        """Merge a primary record and return whether it changed this host's record."""
        changed = self.primary_table.merge(group, record, now_ms)
        if changed and record.term:
            self.position_history(group).discard_before(record.term)
        return changed

    def primary_use(self, group: str, now_ms: int) -> PrimaryUse:
        """Return whether the group's primary may be used now."""
        record = self.primary_table.get(group)
        if record is None:
            return PrimaryUse.UNKNOWN
        if record.moving:
            return PrimaryUse.MOVING
        return PrimaryUse.USABLE if self.has_lease(now_ms) else PrimaryUse.NO_LEASE

    def has_lease(self, now_ms: int) -> bool:
        """Return whether the primary records were confirmed within the last lease."""
        return now_ms - self.lease_renewed_ms(now_ms) <= LEASE_MS

    def lease_renewed_ms(self, now_ms: int) -> int:
        """Return the time at which the primary records were last confirmed.

        A heartbeat exchange with more than two thirds of the hosts confirms them, because fewer
        than a third of the hosts never replace a primary. A bare majority confirms them only for
        a limited time after the last read of the store, or after the last time at which every
        host had responded.
        """
        stored_ms = max(self.confirmed_ms, self.peers.store_confirmed_ms())
        removed_count = self.removed_host_count()
        all_responded_ms = NEVER_MS if removed_count else self.peers.all_responded_ms(now_ms)
        if now_ms - max(stored_ms, all_responded_ms) > MAJORITY_LEASE_MS:
            return max(stored_ms, self.peers.two_thirds_responded_ms(now_ms, removed_count))
        return max(stored_ms, self.peers.majority_responded_ms(now_ms, removed_count))

    def majority_responded_ms(self, now_ms: int) -> int:
        """Return the latest time after which a majority of the hosts responded."""
        return self.peers.majority_responded_ms(now_ms, self.removed_host_count())

    def two_thirds_responded_ms(self, now_ms: int) -> int:
        """Return the latest time after which more than two thirds of the hosts responded."""
        return self.peers.two_thirds_responded_ms(now_ms, self.removed_host_count())

    def lease_lost_ms(self, now_ms: int) -> int:
        """Return the time since this host lost its lease on primaries, 0 while it has one."""
        ended_ms = max(self.lease_renewed_ms(now_ms) + LEASE_MS, self._started_ms)
        return max(0, now_ms - ended_ms)

    def lease_renewal_timed_out(self, now_ms: int) -> bool:
        """Return whether the lease is unlikely to be renewed before a statement times out."""
        return self.lease_lost_ms(now_ms) >= LEASE_RENEWAL_TIMEOUT_MS

    def is_isolated(self, now_ms: int) -> bool:
        """Return whether callers should be sent to other hosts.

        A host that receives heartbeats from half of the fleet is never isolated. At most a minority
        of the hosts is therefore isolated at once, and a store outage or a partition does not take
        all of them out of service.
        """
        if 2 * (1 + len(self.peers.live(now_ms))) >= self.host_count():
            return False
        return self.lease_renewal_timed_out(now_ms)

    def primary_of(self, group: str) -> ServerEntry | None:
        """Return the registry entry of a group's primary, ``None`` if it is unknown."""
        record = self.primary_table.get(group)
        return self.registry.servers.get(record.server_id) if record else None

    def receive(self, heartbeat: Heartbeat, address: tuple[str, int], now_ms: int) -> list[str]:
        """Process a heartbeat and return the groups whose primary record it changed."""
        before = self.peers.by_address(address)
        old_boot_id = before.heartbeat.boot_id if before and before.heartbeat else heartbeat.boot_id
        peer = self.peers.receive(heartbeat, address, now_ms)
        if peer is None:
            return []
        self._record_spent(peer, peer.heartbeat, old_boot_id)
        self._record_observed(peer, heartbeat)
        self._record_confirmation(peer, heartbeat)
        return [
            group
            for group, record in heartbeat.primaries.items()
            if self.merge_primary(group, record, now_ms)
        ]

    def _record_spent(self, peer: Peer, heartbeat: Heartbeat, old_boot_id: int) -> None:
        reporter = f"{peer.name}/{heartbeat.boot_id}"
        if old_boot_id != heartbeat.boot_id:
            for limit in self.limits.values():
                limit.forget(f"{peer.name}/{old_boot_id}")
        for workspace, (admitted, asked) in heartbeat.spent.items():
            limit = self.limits.get(workspace)
            if limit is None:
                continue
            limit.report(reporter, admitted, asked, peer.received_ms)

    def _record_observed(self, peer: Peer, heartbeat: Heartbeat) -> None:
        if peer.sent_after_ms == NEVER_MS:
            return
        for group, (position, age_ms) in heartbeat.observed.items():
            record = self.primary_table.get(group)
            if record is None or record.moving or record.term != position.term:
                continue
            self.position_history(group).observe(peer.sent_after_ms - age_ms, position)

    def _record_confirmation(self, peer: Peer, heartbeat: Heartbeat) -> None:
        """Take over what a peer knows of the age of its configuration."""
        if heartbeat.extension is None or peer.sent_after_ms == NEVER_MS:
            return
        age_ms = heartbeat.extension.configuration_age_ms
        if age_ms != NEVER_MS:
            self.confirm_configuration(heartbeat.catalog_version, peer.sent_after_ms - age_ms)

    def heartbeats(self, now_ms: int) -> list[tuple[Peer, Heartbeat]]:
        """Return every peer with the heartbeat to send to it now."""
        shared = self._shared_fields(now_ms)
        return [(peer, self._build_heartbeat(peer, shared, now_ms)) for peer in self.peers.all()]

    def heartbeat_for(self, peer: Peer, now_ms: int) -> Heartbeat:
        """Return the heartbeat to send to a peer now, without the fields that the peer has."""
        return self._build_heartbeat(peer, self._shared_fields(now_ms), now_ms)

    def _shared_fields(self, now_ms: int) -> _SharedFields:
        """Return the fields shared by all heartbeats now, and record which have changed."""
        state = {
            "primaries": self.primary_table.replaced(),
            "quiesced_groups": tuple(sorted(self.quiesced_groups)),
            "primary_failures": dict(self.primary_failures),
            "removed": self._announced_removals(now_ms),
        }
        spent = {name: (limit.admitted, limit.asked) for name, limit in self.limits.items()}
        self._state_changes.record(state, now_ms)
        self._spent_changes.record(spent, now_ms)
        confirmed_ms = max(self.confirmed_ms, self.peers.store_confirmed_ms())
        return _SharedFields(
            state, spent, self._observed_positions(now_ms), _age_ms(confirmed_ms, now_ms)
        )

    def _build_heartbeat(self, peer: Peer, shared: _SharedFields, now_ms: int) -> Heartbeat:
        may_echo = peer.heartbeat is not None and not peer.needs_all_fields
        echo_ms = peer.heartbeat.sent_ms if may_echo else NEVER_MS
        echo_age_ms = now_ms - peer.received_ms if may_echo else 0
        peer_echo_ms = peer.heartbeat.echo_ms if peer.heartbeat else NEVER_MS
        state, spent = shared.state, shared.spent
        partial = peer_echo_ms != NEVER_MS
        if partial:
            state = self._state_changes.changed_since(state, peer_echo_ms)
            spent = self._spent_changes.changed_since(spent, peer_echo_ms)
        return Heartbeat(
            self.host,
            self.boot_id,
            now_ms,
            echo_ms,
            echo_age_ms,
            self.leaving,
            self.catalog_version,
            self.registry.revision,
            _age_ms(self.registry_ms, now_ms),
            self.store_ok,
            shared.confirmed_age_ms,
            observed=shared.observed,
            spent=spent,
            partial=partial,
            unchanged=tuple(name for name in OMITTABLE_FIELDS if name not in state),
            extension=self._extension(now_ms) if peer.reads_extension else None,
            **state,
        )

    def _extension(self, now_ms: int) -> HeartbeatExtension:
        return HeartbeatExtension(
            self.evacuations,
            self.busy_zones,
            self.server_loads,
            sees_relays=self.ownership.sees_relays(now_ms),
            evacuations_age_ms=_age_ms(self.evacuation.known_as_of_ms, now_ms),
            configuration_age_ms=_age_ms(self.configuration_age.confirmed_ms, now_ms),
        )

    def _observed_positions(self, now_ms: int) -> dict:
        observed = {}
        for group, history in self.position_histories.items():
            newest = history.newest()
            if newest is not None:
                observed[group] = (newest[1], now_ms - newest[0])
        return observed

    def quiesced_hosts(self, now_ms: int) -> dict[str, tuple[int, list[str]]]:
        """Return the quiesced hosts of each group whose primary is being replaced.

        A host is quiesced once it no longer uses the old primary.

        :returns: by group, the version of its record and the sorted names of the quiesced hosts.
        """
        quiesced = {}
        for group, record in self.primary_table.all().items():
            if not record.moving:
                continue
            hosts = [self.host] if group in self.quiesced_groups else []
            for peer in self.peers.live(now_ms):
                reported = peer.heartbeat.primaries.get(group)
                if (
                    reported
                    and reported.version == record.version
                    and group in peer.heartbeat.quiesced_groups
                ):
                    hosts.append(peer.name)
            if hosts:
                quiesced[group] = (record.version, sorted(hosts))
        return quiesced

    def start_limit_interval(self, now_ms: int) -> None:
        """Start a new interval of every workspace's limit.

        Peers that have been silent for longer than :data:`SILENT_PEER_MS` are marked as silent.
        """
        for peer in self.peers.all():
            if peer.heartbeat is None:
                continue
            if now_ms - peer.received_ms <= SILENT_PEER_MS:
                continue
            for limit in self.limits.values():
                limit.set_silent(f"{peer.name}/{peer.heartbeat.boot_id}")
        for limit in self.limits.values():
            limit.start_interval(now_ms)

    def remove_host(self, address: tuple[str, int], now_ms: int) -> Peer | None:
        """Remove a departed host and its operation counts, and announce the removal to peers.

        :returns: the removed host, ``None`` if it is unknown or was heard or listed recently.
        """
        known = self.peers.by_address(address)
        if known is None or now_ms - max(known.received_ms, known.known_ms) <= REMOVED_SILENCE_MS:
            return None
        self.peers.remove(address)
        self._removed_ms[address] = now_ms
        for limit in self.limits.values():
            if known.heartbeat:
                limit.forget(f"{known.name}/{known.heartbeat.boot_id}")
        return known

    def record_replaced(self, address: tuple[str, int], now_ms: int) -> None:
        """Announce that the seat of an owner that does not answer was taken over.

        The owner still counts for leases and promotions, and stops when it learns of this.
        """
        self._removed_ms[address] = now_ms

    def was_removed(self, address: tuple[str, int]) -> bool:
        """Return whether a host was removed recently; peers may still list it."""
        return address in self._removed_ms

    def _announced_removals(self, now_ms: int) -> tuple[tuple[str, int], ...]:
        for address, removed_ms in list(self._removed_ms.items()):
            if now_ms - removed_ms > ANNOUNCE_REMOVED_MS:
                del self._removed_ms[address]
        return tuple(sorted(self._removed_ms))

    def removed_host_count(self) -> int:
        """Return the number of removed hosts that still count for leases and promotions.

        These are the hosts that this host or a peer removed recently. Two sides of a partition may
        remove each other's hosts. If each side then counted its own hosts alone, one could keep its
        leases while the other one promotes. The hosts that respond are therefore compared with all
        hosts that may take part in a promotion, whichever side removed them.
        """
        removed = set(self._removed_ms)
        for peer in self.peers.all():
            if peer.heartbeat is not None:
                removed.update(peer.heartbeat.removed)
        removed.discard(self.itself.address)
        return sum(1 for address in removed if self.peers.by_address(address) is None)

    def host_count(self) -> int:
        """Return the number of hosts that may hold connections, including this and silent ones."""
        return 1 + len(self.peers.all())


def _reports(failures: dict[str, PrimaryFailure], group: str, record: PrimaryRecord) -> bool:
    """Return whether a host reports that the primary of a group does not answer it."""
    report = failures.get(group)
    return report is not None and report.server_id == record.server_id


def _age_ms(at_ms: int, now_ms: int) -> int:
    return NEVER_MS if at_ms == NEVER_MS else now_ms - at_ms
