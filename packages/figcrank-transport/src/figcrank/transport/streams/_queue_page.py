"""The page that shows an operator the queues of a database group at this host."""

from figcrank.coordination.admission import summarize_waiting
from figcrank.coordination.sessions import REFUSALS_WINDOW_MS
from figcrank.protocol.queues import (
    MAX_REFUSAL_ROWS,
    MAX_SERVERS,
    MAX_WAITING_ROWS,
    GroupQueues,
    RefusalCount,
    ServerQueue,
    encode_queues,
)
from figcrank.state._clock import Clock
from figcrank.transport.streams._pool import ServerPool
from figcrank.transport.streams._refusals import RefusalRecorder
from figcrank.transport.streams._router import Router

QUEUES_PATH = "/queues"


class QueuePage:
    """Answers ``/queues?group=NAME``, bounded in size.

    :param router: server pools.
    :param refusals: refusals of the last seconds.
    :param clock: this host's clock.
    """

    def __init__(self, router: Router, refusals: RefusalRecorder, clock: Clock) -> None:
        self._router = router
        self._refusals = refusals
        self._clock = clock

    def render(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return status and body."""
        group = query.get("group", "")
        if not group:
            return 404, b"name a database group: /queues?group=NAME"
        return 200, encode_queues(self._collect(group))

    def _collect(self, group: str) -> GroupQueues:
        now_ms = self._clock.now_ms()
        pools = [pool for pool in self._router.pools() if pool.entry.group == group]
        pools.sort(key=lambda pool: pool.entry.server_id)
        tickets = [ticket for pool in pools for ticket in pool.waiting_tickets]
        waiting = summarize_waiting(tickets, now_ms)
        counts = self._refusals.recent.of_group(group, now_ms)
        refusals = [RefusalCount(r.value, workspace, n) for (r, workspace), n in counts.items()]
        refusals.sort(key=lambda row: (-row.count, row.reason, row.workspace))
        return GroupQueues(
            self._router.view.host,
            group,
            self._router.view.is_owner,
            self._router.awaiting_primary(group),
            tuple(self._server_queue(pool, now_ms) for pool in pools[:MAX_SERVERS]),
            tuple(waiting[:MAX_WAITING_ROWS]),
            sum(row.count for row in waiting[MAX_WAITING_ROWS:]),
            tuple(refusals[:MAX_REFUSAL_ROWS]),
            sum(row.count for row in refusals[MAX_REFUSAL_ROWS:]),
            REFUSALS_WINDOW_MS,
        )

    def _server_queue(self, pool: ServerPool, now_ms: int) -> ServerQueue:
        use = pool.service_use
        return ServerQueue(
            pool.entry.server_id,
            self._router.is_primary(pool),
            pool.in_flight,
            pool.max_in_flight,
            pool.waiting,
            round(sum(ticket.cost_ms for ticket in pool.waiting_tickets), 1),
            round(use.statements_per_s(now_ms), 1),
            round(use.service_ms_per_s(now_ms), 1),
        )
