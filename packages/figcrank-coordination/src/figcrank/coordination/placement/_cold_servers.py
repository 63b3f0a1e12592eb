"""How much each owner may send to a server that has started a short time ago and is still slow.

Load pattern: a server restarts, and the reads of all hosts return to it within one heartbeat, which
keeps it slow. All owners together may send it a limited number of statements in any one second.
The limit is divided without messages: the first owners in rendezvous order get an equal whole
number each. An owner's part never grows while the server is cold, so that the sum can't exceed the
limit while owners join and leave.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from figcrank.coordination.placement._rendezvous import rendezvous_order
from figcrank.state._catalog import ServerEntry

WINDOW_MS = 1_000
# An owner that starts or was paused has heard of the others after this time, and they of it.
SETTLE_MS = 2_000
PAUSED_MS = 1_000  # updates come every 100 ms


def cold_share(limit: float, owner: str, owners: Collection[str], server_id: str) -> int:
    """Return the statements that an owner may send to a cold server in any one second.

    :param limit: statements in any one second from all owners.
    :param owners: every owner, also silent ones.
    """
    count = min(math.floor(limit), len(owners))
    if owner not in rendezvous_order(server_id, owners)[:count]:
        return 0
    return math.floor(limit) // count


@dataclass(slots=True)
class _ColdServer:
    """State of a server since its start.

    :param until_ms: time at which it is no longer cold.
    :param share: statements that this owner may send in any one second; ``None`` if not limited.
    :param sent_ms: times of the statements sent in the last second.
    """

    until_ms: int
    share: int | None = None
    sent_ms: deque[int] = field(default_factory=deque)


@dataclass(frozen=True, slots=True)
class ColdChange:
    """A server that became or ceased to be cold.

    :param entry: its entry.
    :param cold: whether it is cold now.
    :param share: statements per second that this owner may send; ``None`` if not limited.
    """

    entry: ServerEntry
    cold: bool
    share: int | None


class ColdServers:
    """The cold servers, as seen by one owner.

    :param owner: name of the owner.
    :param overage: factor by which the load may exceed what the group's servers bear when cold;
        ``None`` if it is not limited.
    :param headroom: statements per second allowed besides.
    """

    def __init__(self, owner: str, overage: float | None = None, headroom: float = 0.0) -> None:
        self._owner = owner
        self._overage = overage
        self._headroom = headroom
        self._servers: dict[tuple[str, int], _ColdServer] = {}  # by id and start time
        self._births: dict[str, int] = {}
        self._cold: dict[str, ServerEntry] = {}
        self._updated_ms: int | None = None
        self._settled_ms = 0

    def update(
        self,
        entries: Iterable[ServerEntry],
        cold_per_s: Mapping[str, float | None],
        owners: Collection[str],
        now_ms: int,
    ) -> list[ColdChange]:
        """Update the state from the registry; called every 100 ms.

        :param cold_per_s: statements per second that a cold server bears, by group; groups without
            one are not limited.
        :param owners: every owner, also silent ones.
        :returns: the servers that became or ceased to be cold.
        """
        if self._was_paused(now_ms):
            self._settled_ms = now_ms + SETTLE_MS
        self._updated_ms = now_ms
        known = {entry.server_id: entry for entry in entries}
        for entry in known.values():
            self._births[entry.server_id] = entry.born_ms
            if entry.cold_remaining_ms > 0:
                self._update_server(entry, cold_per_s.get(entry.group), owners, now_ms)
        self._forget(known, now_ms)
        return self._changes(known, now_ms)

    def _was_paused(self, now_ms: int) -> bool:
        return self._updated_ms is None or now_ms - self._updated_ms > PAUSED_MS

    def _update_server(
        self,
        entry: ServerEntry,
        cold_per_s: float | None,
        owners: Collection[str],
        now_ms: int,
    ) -> None:
        until_ms = now_ms + entry.cold_remaining_ms
        server = self._servers.setdefault((entry.server_id, entry.born_ms), _ColdServer(until_ms))
        server.until_ms = min(server.until_ms, until_ms)
        if self._overage is None or cold_per_s is None:
            return
        limit = cold_per_s * self._overage + self._headroom
        share = cold_share(limit, self._owner, owners, entry.server_id)
        server.share = share if server.share is None else min(server.share, share)

    def _forget(self, known: Mapping[str, ServerEntry], now_ms: int) -> None:
        for key, server in list(self._servers.items()):
            entry = known.get(key[0])
            if now_ms >= server.until_ms and (entry is None or entry.born_ms != key[1]):
                del self._servers[key]
        for server_id in self._births.keys() - known.keys():
            if (server_id, self._births[server_id]) not in self._servers:
                del self._births[server_id]

    def _changes(self, known: Mapping[str, ServerEntry], now_ms: int) -> list[ColdChange]:
        cold = {name: entry for name, entry in known.items() if self.is_cold(name, now_ms)}
        changes = [
            ColdChange(entry, True, self._server(server_id).share)
            for server_id, entry in cold.items()
            if server_id not in self._cold
        ]
        changes += [
            ColdChange(entry, False, None)
            for server_id, entry in self._cold.items()
            if server_id not in cold
        ]
        self._cold = cold
        return changes

    def _server(self, server_id: str) -> _ColdServer | None:
        return self._servers.get((server_id, self._births.get(server_id, 0)))

    def is_cold(self, server_id: str, now_ms: int) -> bool:
        """Return whether a server is still slow after its start."""
        server = self._server(server_id)
        return server is not None and now_ms < server.until_ms

    def is_limited(self, server_id: str, now_ms: int) -> bool:
        """Return whether a server is cold and what it gets is limited."""
        return self.is_cold(server_id, now_ms) and self._server(server_id).share is not None

    def retry_after_ms(self, server_id: str, now_ms: int) -> int:
        """Return the time after which a statement may be sent to a server, 0 if it may now."""
        if not self.is_limited(server_id, now_ms):
            return 0
        server = self._server(server_id)
        left_ms = server.until_ms - now_ms
        if server.share == 0:
            return min(left_ms, WINDOW_MS)  # other owners may have a part of the limit
        # An owner may send before its first update after a pause.
        wait_ms = SETTLE_MS if self._was_paused(now_ms) else self._settled_ms - now_ms
        sent_ms = [at_ms for at_ms in server.sent_ms if at_ms > now_ms - WINDOW_MS]
        if len(sent_ms) >= server.share:
            wait_ms = max(wait_ms, sent_ms[-server.share] + WINDOW_MS - now_ms)
        return max(0, min(left_ms, wait_ms))

    def record(self, server_id: str, now_ms: int) -> None:
        """Record a statement that is sent to a server."""
        if not self.is_limited(server_id, now_ms):
            return
        sent_ms = self._server(server_id).sent_ms
        sent_ms.append(now_ms)
        while sent_ms[0] <= now_ms - WINDOW_MS:
            sent_ms.popleft()

    def shares(self, now_ms: int) -> dict[str, int]:
        """Return this owner's part of the limit at each cold server that has one."""
        return {
            server_id: self._server(server_id).share
            for server_id in self._cold
            if self.is_limited(server_id, now_ms)
        }
