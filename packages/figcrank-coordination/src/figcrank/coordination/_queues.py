"""The queue ahead of a group's slots: fair between workspaces, bounded, deadline-aware."""

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")


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


class FairQueue(Generic[Item]):
    """Serves workspaces in turn, in proportion to their weights.

    :param max_per_workspace: most items that one workspace may have waiting.
    """

    def __init__(self, max_per_workspace: int) -> None:
        self._max_per_workspace = max_per_workspace
        self._items: deque[Queued[Item]] = deque()

    def __len__(self) -> int:
        return len(self._items)

    def push(self, entry: Queued[Item]) -> bool:
        """Add an entry; return ``False`` if its workspace has too many waiting."""
        self._items.append(entry)
        return True

    def pop(self) -> Queued[Item] | None:
        """Remove and return the next entry, ``None`` if there is none."""
        return self._items.popleft() if self._items else None

    def expire(self, now_ms: int) -> list[Queued[Item]]:
        """Remove and return the entries whose deadline has passed."""
        late = [entry for entry in self._items if entry.deadline_ms <= now_ms]
        self._items = deque(entry for entry in self._items if entry.deadline_ms > now_ms)
        return late

    def remove_key(self, key_id: str) -> list[Queued[Item]]:
        """Remove and return the entries that came with a key."""
        gone = [entry for entry in self._items if entry.key_id == key_id]
        self._items = deque(entry for entry in self._items if entry.key_id != key_id)
        return gone
