"""Waits until a majority of a group's servers holds a position durably in its term."""

from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.protocol import QueryStatus, ServerReply, StatusReply
from figcrank.state import Group, Position, Server, ServerStatus

WAIT_MS = 50
# A replica that failed a query is asked again after this time.
RETRY_MS = 50

OnSettled = Callable[[int], None]


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    server: str
    position: Position
    on_held: OnSettled
    on_replaced: OnSettled


class MajorityWait:
    """Asks replicas for their durable positions on behalf of every write that waits.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param group: the group.
    :param view: statuses of its servers.
    """

    def __init__(self, settings: CoreSettings, port: Port, group: Group, view: GroupView) -> None:
        self._timeout_ms = settings.timings.server_timeout_ms
        self._port = port
        self._group = group
        self._view = view
        self._waiters: list[_Waiter] = []
        self._asked: set[str] = set()
        self._retry_ms: dict[str, int] = {}
        view.when_changed(self.advance)

    def wait(
        self,
        server: str,
        position: Position,
        now_ms: int,
        on_held: OnSettled,
        on_replaced: OnSettled,
    ) -> None:
        """Wait for a position that ``server`` holds as primary of the position's term.

        :param on_held: called once a majority holds it in its term.
        :param on_replaced: called instead if a later term begins first.
        """
        self._waiters.append(_Waiter(server, position, on_held, on_replaced))
        self.advance(now_ms)

    def advance(self, now_ms: int) -> None:
        """Tell the writes whose wait is over and ask replicas for the others."""
        if not self._waiters:
            return
        waiting, self._waiters = self._waiters, []
        settled: list[OnSettled] = []
        for waiter in waiting:
            if self._is_held(waiter):
                settled.append(waiter.on_held)
            elif self._is_replaced(waiter):
                settled.append(waiter.on_replaced)
            else:
                self._waiters.append(waiter)
        for callback in settled:
            callback(now_ms)
        self._ask(now_ms)

    def _is_held(self, waiter: _Waiter) -> bool:
        holders = {status.server for status in self._view.statuses if _holds(status, waiter)}
        holders.add(waiter.server)
        return len(holders) >= self._group.majority

    def _is_replaced(self, waiter: _Waiter) -> bool:
        primary = self._view.primary()
        return primary is not None and primary.term > waiter.position.term

    def _ask(self, now_ms: int) -> None:
        if not self._waiters:
            return
        oldest = min(self._waiters, key=lambda waiter: waiter.position)
        for server in self._group.servers:
            idle = server.name not in self._asked and server.name != oldest.server
            if idle and now_ms >= self._retry_ms.get(server.name, 0):
                self._query(server, oldest.position, now_ms)

    def _query(self, server: Server, position: Position, now_ms: int) -> None:
        self._asked.add(server.name)
        self._retry_ms[server.name] = now_ms

        def replied(reply: ServerReply, at_ms: int) -> None:
            self._asked.discard(server.name)
            if isinstance(reply, StatusReply):
                if reply.status.durable < position:
                    self._retry_ms[server.name] = at_ms + 1
                self._view.take(reply.status, at_ms)
            else:
                self._retry_ms[server.name] = at_ms + RETRY_MS

        query = QueryStatus(position, WAIT_MS)
        self._port.call_server(server, query, WAIT_MS + self._timeout_ms, now_ms, replied)


def _holds(status: ServerStatus, waiter: _Waiter) -> bool:
    term = waiter.position.term
    in_term = status.term == term and status.durable.term == term
    return in_term and status.durable >= waiter.position
