"""Waits until a log position is durable, in its own term, on a majority of a group's servers."""

from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.protocol import QueryStatus, ServerReply, StatusReply
from figcrank.state import Group, Position, Server, ServerStatus

QUERY_WAIT_MS = 50
# Delay before a replica is queried again after a failed query.
QUERY_RETRY_MS = 50

OnWaitEnded = Callable[[int], None]


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    server: str
    position: Position
    on_durable: OnWaitEnded
    on_replaced: OnWaitEnded


class MajorityWait:
    """Queries replicas for their durable positions on behalf of all waiting writes.

    :param settings: static settings of this host.
    :param outbox: sends the status queries.
    :param group: the group.
    :param view: statuses of its servers.
    """

    def __init__(
        self, settings: CoreSettings, outbox: Outbox, group: Group, view: GroupView
    ) -> None:
        self._timeout_ms = settings.timings.server_timeout_ms
        self._outbox = outbox
        self._group = group
        self._view = view
        self._waiters: list[_Waiter] = []
        self._queried: set[str] = set()
        self._next_query_ms: dict[str, int] = {}
        view.add_listener(self.advance)

    def wait(
        self,
        server: str,
        position: Position,
        now_ms: int,
        on_durable: OnWaitEnded,
        on_replaced: OnWaitEnded,
    ) -> None:
        """Wait for a position that ``server`` holds as the primary of the position's term.

        At most one of the callbacks is called, and only once.

        :param on_durable: called once a majority holds the position in its term.
        :param on_replaced: called if a later term begins first.
        """
        self._waiters.append(_Waiter(server, position, on_durable, on_replaced))
        self.advance(now_ms)

    def advance(self, now_ms: int) -> None:
        """Call back the finished waits and query the replicas for the others."""
        if not self._waiters:
            return
        waiting, self._waiters = self._waiters, []
        finished: list[OnWaitEnded] = []
        for waiter in waiting:
            if self._is_durable(waiter):
                finished.append(waiter.on_durable)
            elif self._is_replaced(waiter):
                finished.append(waiter.on_replaced)
            else:
                self._waiters.append(waiter)
        for callback in finished:
            callback(now_ms)
        self._query_replicas(now_ms)

    def _is_durable(self, waiter: _Waiter) -> bool:
        holders = {status.server for status in self._view.statuses if _holds(status, waiter)}
        holders.add(waiter.server)
        return len(holders) >= self._group.majority

    def _is_replaced(self, waiter: _Waiter) -> bool:
        primary = self._view.primary()
        return primary is not None and primary.term > waiter.position.term

    def _query_replicas(self, now_ms: int) -> None:
        if not self._waiters:
            return
        oldest = min(self._waiters, key=lambda waiter: waiter.position)
        for server in self._group.servers:
            may_query = server.name not in self._queried and server.name != oldest.server
            if may_query and now_ms >= self._next_query_ms.get(server.name, 0):
                self._query(server, oldest.position, now_ms)

    def _query(self, server: Server, position: Position, now_ms: int) -> None:
        self._queried.add(server.name)
        self._next_query_ms[server.name] = now_ms

        def replied(reply: ServerReply, at_ms: int) -> None:
            self._queried.discard(server.name)
            if isinstance(reply, StatusReply):
                if reply.status.durable < position:
                    self._next_query_ms[server.name] = at_ms + 1
                self._view.record(reply.status, at_ms)
            else:
                self._next_query_ms[server.name] = at_ms + QUERY_RETRY_MS

        query = QueryStatus(position, QUERY_WAIT_MS)
        self._outbox.call_server(server, query, QUERY_WAIT_MS + self._timeout_ms, now_ms, replied)


def _holds(status: ServerStatus, waiter: _Waiter) -> bool:
    term = waiter.position.term
    in_term = status.term == term and status.durable.term == term
    return in_term and status.durable >= waiter.position
