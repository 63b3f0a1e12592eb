"""The order of waiting statements by busy connections, to which admission is compared."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass


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
