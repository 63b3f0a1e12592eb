"""Sharing of a server's connections among hosts and workspaces."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

RESERVED_CONNECTIONS = 2  # for status queries and connections that are still closing


def connection_quota(max_connections: int, hosts: int) -> int:
    """Return the number of connections that each host may hold to one server.

    The quotas of all hosts never exceed the server's limit unless there are more hosts than
    connections.

    :param max_connections: connections that the server accepts from all hosts.
    :param hosts: number of hosts.
    """
    return max(1, (max_connections - RESERVED_CONNECTIONS) // max(1, hosts))


def max_retained_connections(quota: int) -> int:
    """Return the number of connections to a server above which a host closes idle ones.

    A server takes seconds to drop the connections of hosts that lost power. Because hosts keep no
    more than half of their quota, all of them can restart and reconnect at once in the meantime.

    :param quota: result of :func:`connection_quota`.
    """
    return max(1, quota // 2)


@dataclass(frozen=True, slots=True)
class Waiter:
    """A statement that waits for a connection.

    :param workspace: workspace that the statement belongs to.
    :param priority: 0 is served first, higher values later.
    :param deadline_ms: time after which the caller no longer waits for the result.
    :param order: sequence number of its arrival.
    """

    workspace: str
    priority: int
    deadline_ms: int
    order: int


def next_waiter(waiters: Sequence[Waiter], busy: Mapping[str, int]) -> int:
    """Return the index of the waiter that gets the next free connection.

    Waiters are ordered by the number of busy connections of their workspace, then by priority and
    arrival. A workspace that sends many times its usual load thus delays only itself.

    :param waiters: one or more waiters.
    :param busy: number of busy connections by workspace.
    """

    def rank(index: int) -> tuple[int, int, int]:
        waiter = waiters[index]
        return busy.get(waiter.workspace, 0), waiter.priority, waiter.order

    return min(range(len(waiters)), key=rank)
