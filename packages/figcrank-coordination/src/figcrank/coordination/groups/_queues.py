"""Bounded queue of requests that wait for a slot: fair between workspaces, with deadlines."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Item = TypeVar("Item")

MAX_QUEUED = 1_000


@dataclass(frozen=True, slots=True)
class QueueEntry(Generic[Item]):
    """A queue entry.

    :param workspace: workspace of the request.
    :param weight: scheduling weight of the workspace: its rate limit in requests per second.
    :param key_id: key that the request was sent with, empty if none.
    :param deadline_ms: time by which the request must start.
    :param item: the queued request.
    """

    workspace: str
    weight: int
    key_id: str
    deadline_ms: int
    item: Item


@dataclass(slots=True, eq=False)
class _Node(Generic[Item]):
    """An entry and whether it is still waiting; removed entries are discarded lazily."""

    entry: QueueEntry[Item]
    is_waiting: bool = True


@dataclass(slots=True, eq=False)
class _WorkspaceQueue(Generic[Item]):
    """The entries of one workspace.

    :param deficit: deficit counter in units of weight; serving an entry subtracts the entry cost
        of the :class:`FairQueue`.
    :param waiting_count: number of entries that are still waiting.
    """

    nodes: deque[_Node[Item]] = field(default_factory=deque)
    deficit: int = 0
    waiting_count: int = 0


class FairQueue(Generic[Item]):
    """Serves workspaces by deficit round robin, in proportion to their weights.

    Each turn adds a workspace's weight to its deficit counter. An entry costs the smallest weight
    seen since the queue was last empty, so every turn serves at least one entry. A push or pop
    takes amortized constant time, apart from the logarithmic cost of the deadline heap.

    :param max_per_workspace: maximum number of waiting entries per workspace.
    :param max_total: maximum number of waiting entries in total.
    """

    def __init__(self, max_per_workspace: int, max_total: int = MAX_QUEUED) -> None:
        self._max_per_workspace = max_per_workspace
        self._max_total = max_total
        self._queues: dict[str, _WorkspaceQueue[Item]] = {}
        self._rotation: deque[str] = deque()
        self._by_deadline: list[tuple[int, int, _Node[Item]]] = []
        self._by_key: dict[str, dict[int, _Node[Item]]] = {}
        self._next_number = 0
        self._entry_cost = 0
        self._waiting_count = 0

    def __len__(self) -> int:
        return self._waiting_count

    def push(self, entry: QueueEntry[Item]) -> bool:
        """Add an entry; return ``False`` if its workspace or the whole queue is at its limit."""
        queue = self._queues.get(entry.workspace)
        waiting_count = queue.waiting_count if queue else 0
        if waiting_count >= self._max_per_workspace or self._waiting_count >= self._max_total:
            return False
        if queue is None:
            queue = self._add_workspace(entry.workspace)
        weight = max(1, entry.weight)
        self._entry_cost = min(self._entry_cost, weight) if self._waiting_count else weight
        node = _Node(entry)
        queue.nodes.append(node)
        queue.waiting_count += 1
        self._waiting_count += 1
        self._index(node)
        return True

    def pop(self) -> QueueEntry[Item] | None:
        """Remove and return the next entry, ``None`` if the queue is empty."""
        while self._rotation:
            workspace = self._rotation[0]
            queue = self._queues[workspace]
            _drop_removed(queue)
            if not queue.nodes:
                self._remove_workspace(workspace)
                continue
            if queue.deficit < self._entry_cost:
                queue.deficit += max(1, queue.nodes[0].entry.weight)
                self._rotation.rotate(-1)
                continue
            queue.deficit -= self._entry_cost
            node = queue.nodes.popleft()
            self._remove(node)
            return node.entry
        return None

    def expire(self, now_ms: int) -> list[QueueEntry[Item]]:
        """Remove and return the entries whose deadline has passed, earliest first."""
        expired: list[QueueEntry[Item]] = []
        while self._by_deadline and self._by_deadline[0][0] <= now_ms:
            node = heapq.heappop(self._by_deadline)[2]
            if node.is_waiting:
                self._remove(node)
                expired.append(node.entry)
        return expired

    def remove_key(self, key_id: str) -> list[QueueEntry[Item]]:
        """Remove and return the entries that were sent with a key."""
        nodes = list(self._by_key.get(key_id, {}).values())
        for node in nodes:
            self._remove(node)
        return [node.entry for node in nodes]

    def _add_workspace(self, workspace: str) -> _WorkspaceQueue[Item]:
        queue: _WorkspaceQueue[Item] = _WorkspaceQueue()
        self._queues[workspace] = queue
        self._rotation.append(workspace)
        return queue

    def _remove_workspace(self, workspace: str) -> None:
        self._rotation.popleft()
        del self._queues[workspace]

    def _index(self, node: _Node[Item]) -> None:
        self._next_number += 1
        heapq.heappush(self._by_deadline, (node.entry.deadline_ms, self._next_number, node))
        if node.entry.key_id:
            self._by_key.setdefault(node.entry.key_id, {})[id(node)] = node

    def _remove(self, node: _Node[Item]) -> None:
        node.is_waiting = False
        self._waiting_count -= 1
        self._queues[node.entry.workspace].waiting_count -= 1
        self._unindex_key(node)
        if len(self._by_deadline) > 2 * self._waiting_count + MAX_QUEUED:
            self._compact()

    def _unindex_key(self, node: _Node[Item]) -> None:
        nodes = self._by_key.get(node.entry.key_id)
        if nodes is None:
            return
        nodes.pop(id(node), None)
        if not nodes:
            del self._by_key[node.entry.key_id]

    def _compact(self) -> None:
        """Discard removed entries from the deadline heap, to bound its memory use."""
        self._by_deadline = [item for item in self._by_deadline if item[2].is_waiting]
        heapq.heapify(self._by_deadline)


def _drop_removed(queue: _WorkspaceQueue) -> None:
    while queue.nodes and not queue.nodes[0].is_waiting:
        queue.nodes.popleft()
