"""How a server's few connections are shared among hosts and among workspaces."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

SPARE_CONNECTIONS = 2  # kept for status queries and for connections that are still closing


def connection_quota(max_connections: int, hosts: int) -> int:
    """Return how many connections to one server each of ``hosts`` hosts may hold.

    The shares never sum above the server's limit unless there are more hosts than connections.
    """
    return max(1, (max_connections - SPARE_CONNECTIONS) // max(1, hosts))


def kept_connections(quota: int) -> int:
    """Return how many of its connections to a server a host keeps while they are not all in use.

    A server drops the connections of hosts that lost power only after seconds. While the hosts
    keep no more than half, all of them can come back at once and find room.
    """
    return max(1, quota // 2)


@dataclass(frozen=True, slots=True)
class Waiter:
    """A statement that waits for a connection.

    :param workspace: workspace that it belongs to.
    :param priority: 0 is served first.
    :param deadline_ms: time after which nobody waits for the answer.
    :param order: order of arrival.
    """

    workspace: str
    priority: int
    deadline_ms: int
    order: int


def next_waiter(waiters: Sequence[Waiter], busy: Mapping[str, int]) -> int:
    """Return the index of the waiter that gets the next free connection.

    The workspace that holds the fewest busy connections goes first, so that one which sends many
    times its usual load delays itself alone; then by priority and by arrival.

    :param waiters: at least one waiter.
    :param busy: busy connections by workspace.
    """

    def rank(index: int) -> tuple[int, int, int]:
        waiter = waiters[index]
        return busy.get(waiter.workspace, 0), waiter.priority, waiter.order

    return min(range(len(waiters)), key=rank)
