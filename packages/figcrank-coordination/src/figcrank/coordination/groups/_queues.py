"""The queue ahead of a group's slots: fair between workspaces, bounded, deadline-aware."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item")

MAX_QUEUED = 1_000


@dataclass(frozen=True, slots=True)
class Queued(Generic[Item]):
    """A queued item.

    :param workspace: workspace that it belongs to.
    :param weight: the workspace's share, its rate in requests a second.
    :param key_id: key that it came with, empty if none.
    :param deadline_ms: time by which it must have started.
    :param item: what is queued.
    """

    workspace: str
    weight: int
    key_id: str
    deadline_ms: int
    item: Item


@dataclass(slots=True, eq=False)
class _Node(Generic[Item]):
    """An entry and whether it still waits; a removed one is dropped when it is reached."""

    entry: Queued[Item]
    waiting: bool = True


@dataclass(slots=True, eq=False)
class _Lane(Generic[Item]):
    """The entries of one workspace.

    :param credit: service earned in units of weight; one entry costs the queue's cost.
    :param waiting: number of entries that still wait.
    """

    nodes: deque[_Node[Item]] = field(default_factory=deque)
    credit: int = 0
    waiting: int = 0


class FairQueue(Generic[Item]):
    """Serves workspaces by deficit round robin, in proportion to their weights.

    Each turn earns a workspace its weight in credit. An entry costs the least weight seen since
    the queue was last empty, so every turn serves at least one entry and a push or pop takes
    constant time on average, apart from the logarithmic upkeep of the deadlines.

    :param max_per_workspace: most items that one workspace may have waiting.
    :param max_total: most items that may wait in all.
    """

    def __init__(self, max_per_workspace: int, max_total: int = MAX_QUEUED) -> None:
        self._max_per_workspace = max_per_workspace
        self._max_total = max_total
        self._lanes: dict[str, _Lane[Item]] = {}
        self._turns: deque[str] = deque()
        self._by_deadline: list[tuple[int, int, _Node[Item]]] = []
        self._by_key: dict[str, dict[int, _Node[Item]]] = {}
        self._next_number = 0
        self._cost = 0
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def push(self, entry: Queued[Item]) -> bool:
        """Add an entry; return ``False`` if its workspace or the queue has too many waiting."""
        lane = self._lanes.get(entry.workspace)
        waiting = lane.waiting if lane else 0
        if waiting >= self._max_per_workspace or self._waiting >= self._max_total:
            return False
        if lane is None:
            lane = self._open_lane(entry.workspace)
        weight = max(1, entry.weight)
        self._cost = min(self._cost, weight) if self._waiting else weight
        node = _Node(entry)
        lane.nodes.append(node)
        lane.waiting += 1
        self._waiting += 1
        self._index(node)
        return True

    def pop(self) -> Queued[Item] | None:
        """Remove and return the next entry, ``None`` if there is none."""
        while self._turns:
            workspace = self._turns[0]
            lane = self._lanes[workspace]
            _drop_removed(lane)
            if not lane.nodes:
                self._close_lane(workspace)
                continue
            if lane.credit < self._cost:
                lane.credit += max(1, lane.nodes[0].entry.weight)
                self._turns.rotate(-1)
                continue
            lane.credit -= self._cost
            node = lane.nodes.popleft()
            self._remove(node)
            return node.entry
        return None

    def expire(self, now_ms: int) -> list[Queued[Item]]:
        """Remove and return the entries whose deadline has passed, earliest first."""
        late: list[Queued[Item]] = []
        while self._by_deadline and self._by_deadline[0][0] <= now_ms:
            node = heapq.heappop(self._by_deadline)[2]
            if node.waiting:
                self._remove(node)
                late.append(node.entry)
        return late

    def remove_key(self, key_id: str) -> list[Queued[Item]]:
        """Remove and return the entries that came with a key."""
        nodes = list(self._by_key.get(key_id, {}).values())
        for node in nodes:
            self._remove(node)
        return [node.entry for node in nodes]

    def _open_lane(self, workspace: str) -> _Lane[Item]:
        lane: _Lane[Item] = _Lane()
        self._lanes[workspace] = lane
        self._turns.append(workspace)
        return lane

    def _close_lane(self, workspace: str) -> None:
        self._turns.popleft()
        del self._lanes[workspace]

    def _index(self, node: _Node[Item]) -> None:
        self._next_number += 1
        heapq.heappush(self._by_deadline, (node.entry.deadline_ms, self._next_number, node))
        if node.entry.key_id:
            self._by_key.setdefault(node.entry.key_id, {})[id(node)] = node

    def _remove(self, node: _Node[Item]) -> None:
        node.waiting = False
        self._waiting -= 1
        self._lanes[node.entry.workspace].waiting -= 1
        self._forget_key(node)
        if len(self._by_deadline) > 2 * self._waiting + MAX_QUEUED:
            self._compact()

    def _forget_key(self, node: _Node[Item]) -> None:
        nodes = self._by_key.get(node.entry.key_id)
        if nodes is None:
            return
        nodes.pop(id(node), None)
        if not nodes:
            del self._by_key[node.entry.key_id]

    def _compact(self) -> None:
        """Drop removed entries from the deadlines, so that memory follows what waits."""
        self._by_deadline = [item for item in self._by_deadline if item[2].waiting]
        heapq.heapify(self._by_deadline)


def _drop_removed(lane: _Lane) -> None:
    while lane.nodes and not lane.nodes[0].waiting:
        lane.nodes.popleft()
