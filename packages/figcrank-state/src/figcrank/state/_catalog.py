"""What a fleet serves: routes, workspaces with their limits, database groups and their servers."""

from dataclasses import dataclass, field
from enum import Enum


class ReadMode(Enum):
    """How fresh a route's reads are.

    ``PRIMARY`` reads see every acknowledged commit. ``BOUNDED`` reads see every commit that was
    acknowledged longer ago than the route's bound. ``OWN_WRITES`` reads see the commits of their
    session besides.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@dataclass(frozen=True, slots=True)
class DatabaseRoute:
    """The way from a database's name to the group that holds it.

    :param name: name of the route.
    :param database: name that callers ask for.
    :param group: database group that holds it.
    :param mode: how fresh reads are.
    :param timeout_ms: longest time of one statement.
    :param target_latency_ms: time within which callers expect an operation.
    :param priority: 0 is served first.
    :param max_staleness_ms: age bound of reads; unused for ``PRIMARY``.
    :param open_to_all: whether callers need no key.
    """

    name: str
    database: str
    group: str
    mode: ReadMode
    timeout_ms: int
    target_latency_ms: int
    priority: int = 0
    max_staleness_ms: int = 0
    open_to_all: bool = False


@dataclass(frozen=True, slots=True)
class WorkspaceLimit:
    """A workspace's limit over the whole fleet.

    :param name: name of the workspace.
    :param rate_per_s: operations a second.
    :param burst: operations that may come at once.
    """

    name: str
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class GroupPolicy:
    """What holds for a database group.

    :param name: name of the group.
    :param max_connections: most connections that one of its servers takes from all hosts.
    :param sync_replicas: replicas that hold a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration.

    :param version: grows with each change.
    :param routes: by database name.
    :param workspaces: by name.
    :param workspace_by_key: the workspace that holds each key.
    :param groups: by name.
    :param transaction_idle_ms: idle time after which a transaction may be ended.
    """

    version: int
    routes: dict[str, DatabaseRoute] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceLimit] = field(default_factory=dict)
    workspace_by_key: dict[str, str] = field(default_factory=dict)
    groups: dict[str, GroupPolicy] = field(default_factory=dict)
    transaction_idle_ms: int = 3_000


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """What the registry says of a backend server.

    :param server_id: its id; a restarted server may keep it.
    :param group: database group that it belongs to.
    :param address: ``ip:port``.
    :param availability_zone: where it runs.
    :param slots: statements that it runs at once.
    :param draining: whether it is about to leave.
    :param claims_primary: whether it sees itself as the primary.
    :param born_ms: Unix millisecond of its start.
    """

    server_id: str
    group: str
    address: str
    availability_zone: str
    slots: int
    draining: bool
    claims_primary: bool
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class Registry:
    """The backend servers that were registered at one revision of the store.

    :param revision: store revision of the listing.
    :param servers: by id.
    """

    revision: int = 0
    servers: dict[str, ServerEntry] = field(default_factory=dict)

    def of_group(self, group: str) -> tuple[ServerEntry, ...]:
        """Return the servers of ``group``."""
        return tuple(entry for entry in self.servers.values() if entry.group == group)
