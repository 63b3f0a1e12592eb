"""What operations use, and the time after which it is taken back.

Load pattern: one in five replies of a primary never comes, at an owner that may have one statement
in flight there. If only a reply gives back what a statement uses, the first lost one takes it for
good: the owner serves nothing of the group that needs the primary, while no server is down. Each
use therefore has an end, whatever the server does.
"""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

Resource = TypeVar("Resource", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Use:
    """The use of a resource by one operation.

    :param kind: kind of the operation.
    :param began_ms: time at which it took the resource.
    :param ends_ms: time after which the resource is taken back.
    :param service_ms: time that the operation's statements took so far, ``None`` before the first
        one has ended.
    """

    kind: str
    began_ms: int
    ends_ms: int
    service_ms: int | None = None


class UseTable(Generic[Resource]):
    """The resources of one kind that are in use.

    Every use has an end, so that a resource whose user never gives it back becomes free.
    """

    def __init__(self) -> None:
        self._uses: dict[Resource, Use] = {}

    def __len__(self) -> int:
        return len(self._uses)

    def __iter__(self) -> Iterator[Resource]:
        return iter(self._uses)

    def __contains__(self, resource: Resource) -> bool:
        return resource in self._uses

    def begin(self, resource: Resource, kind: str, now_ms: int, ends_ms: int) -> None:
        """Take a resource for an operation."""
        self._uses[resource] = Use(kind, now_ms, ends_ms)

    def extend(self, resource: Resource, ends_ms: int) -> None:
        """Set the end of a use anew; a resource that was taken back meanwhile stays free."""
        use = self._uses.get(resource)
        if use is not None:
            self._uses[resource] = replace(use, ends_ms=ends_ms)

    def record_service(self, resource: Resource, took_ms: int) -> None:
        """Add the time of a statement that ran to its operation."""
        use = self._uses.get(resource)
        if use is not None:
            service_ms = (use.service_ms or 0) + took_ms
            self._uses[resource] = replace(use, service_ms=service_ms)

    def end(self, resource: Resource) -> Use | None:
        """Give a resource back and return its use, ``None`` if it was free already."""
        return self._uses.pop(resource, None)

    def overdue(self, now_ms: int) -> list[tuple[Resource, Use]]:
        """Return the uses whose end has passed, the oldest first."""
        found = [(r, use) for r, use in self._uses.items() if now_ms > use.ends_ms]
        return sorted(found, key=lambda item: item[1].ends_ms)
