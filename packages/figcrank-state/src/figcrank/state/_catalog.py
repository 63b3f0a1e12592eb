"""The configuration of a fleet: routes, workspace limits, database groups and their servers."""

from dataclasses import dataclass, field
from enum import Enum


class ReadMode(Enum):
    """How fresh a route's reads are.

    ``PRIMARY`` reads include every acknowledged commit. ``BOUNDED`` reads include every commit
    that was acknowledged before the route's staleness bound. ``OWN_WRITES`` reads additionally
    include the commits of their own session.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@dataclass(frozen=True, slots=True)
class DatabaseRoute:
    """Maps a database name to the group that holds the database.

    :param name: name of the route.
    :param database: database name that callers connect to.
    :param group: database group that holds the database.
    :param mode: freshness of reads.
    :param timeout_ms: maximum time of a statement.
    :param target_latency_ms: time within which callers expect an operation to complete.
    :param priority: 0 is served first, higher values later.
    :param max_staleness_ms: staleness bound of reads; unused for ``PRIMARY``.
    :param allows_anonymous: whether callers need no key.
    :param allowed_regions: regions whose servers may run its statements; empty for every region.
    """

    name: str
    database: str
    group: str
    mode: ReadMode
    timeout_ms: int
    target_latency_ms: int
    priority: int = 0
    max_staleness_ms: int = 0
    allows_anonymous: bool = False
    allowed_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkspaceLimit:
    """The rate limit of a workspace across the whole fleet.

    :param name: name of the workspace.
    :param rate_per_s: operations per second.
    :param burst: operations that are admitted at once.
    """

    name: str
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class GroupPolicy:
    """Settings of a database group.

    :param name: name of the group.
    :param max_connections: maximum number of connections from all hosts to each of its servers.
    :param sync_replicas: number of replicas that must hold a commit before it is acknowledged.
    :param cold_per_s: statements per second that a cold server of the group bears; ``None`` if the
        configuration doesn't say.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0
    cold_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration.

    :param version: increases with each change.
    :param routes: routes by database name.
    :param workspaces: workspace limits by workspace name.
    :param workspace_by_key: name of the workspace that each key belongs to.
    :param groups: database groups by name.
    :param transaction_idle_ms: idle time after which a transaction may be ended.
    :param workspace_priorities: priority by workspace name, 0 is served first; absent is 0.
    :param workspace_regions: regions whose servers may run a workspace's statements, by workspace
        name; absent for every region.
    """

    version: int
    routes: dict[str, DatabaseRoute] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceLimit] = field(default_factory=dict)
    workspace_by_key: dict[str, str] = field(default_factory=dict)
    groups: dict[str, GroupPolicy] = field(default_factory=dict)
    transaction_idle_ms: int = 3_000
    workspace_priorities: dict[str, int] = field(default_factory=dict)
    workspace_regions: dict[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """The registry entry of a backend server.

    :param server_id: id of the server, which it may keep across restarts.
    :param group: database group that it belongs to.
    :param address: ``ip:port``.
    :param availability_zone: availability zone that it runs in.
    :param slots: number of statements that it runs at once.
    :param draining: whether it is about to leave.
    :param claims_primary: whether it reports itself as the primary.
    :param born_ms: its start time, in milliseconds since the Unix epoch.
    :param cold_remaining_ms: time for which it is still slow after its start, when its entry was
        read. Not compared, since it changes with every registration.
    """

    server_id: str
    group: str
    address: str
    availability_zone: str
    slots: int
    draining: bool
    claims_primary: bool
    born_ms: int = 0
    cold_remaining_ms: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Registry:
    """The backend servers registered at one revision of the store.

    :param revision: store revision at which the servers were listed.
    :param servers: entries by server id.
    """

    revision: int = 0
    servers: dict[str, ServerEntry] = field(default_factory=dict)

    def of_group(self, group: str) -> tuple[ServerEntry, ...]:
        """Return the servers of ``group``."""
        return tuple(entry for entry in self.servers.values() if entry.group == group)
