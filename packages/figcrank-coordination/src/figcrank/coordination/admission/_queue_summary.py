"""What waits for servers, by kind and workspace, and which workspace causes it.

Addresses household reads at 2.5 times their rate while one workspace sends five to seven times its
usual load: the summary names the few kinds and workspaces that most of the waiting work belongs to.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from figcrank.coordination.admission._level import Ticket
from figcrank.protocol.queues import WaitingWork


def waiting_by_workspace(tickets: Iterable[Ticket]) -> dict[str, float]:
    """Return the waiting service time by workspace."""
    totals: Counter[str] = Counter()
    for ticket in tickets:
        totals[ticket.demand.workspace] += ticket.cost_ms
    return dict(totals)


def busiest_workspace(
    waiting_ms: Mapping[str, float], used_ms: Mapping[str, float]
) -> tuple[str, float] | None:
    """Return the workspace with the most service time waiting and used, and its share of all.

    :param waiting_ms: waiting service time by workspace.
    :param used_ms: service time of the last seconds by workspace.
    :return: ``None`` if nothing waits and nothing was used.
    """
    totals = Counter(waiting_ms)
    totals.update(used_ms)
    sum_ms = sum(totals.values())
    if sum_ms <= 0:
        return None
    workspace = max(sorted(totals), key=lambda name: totals[name])
    return workspace, totals[workspace] / sum_ms


def summarize_waiting(tickets: Iterable[Ticket], now_ms: int) -> list[WaitingWork]:
    """Return what waits by kind and workspace, the most service time first."""
    rows: dict[tuple[str, str], WaitingWork] = {}
    for ticket in tickets:
        demand = ticket.demand
        key = (demand.kind, demand.workspace)
        row = rows.get(key) or WaitingWork(*key, 0, 0.0, 0)
        rows[key] = WaitingWork(
            *key,
            row.count + 1,
            row.work_ms + ticket.cost_ms,
            max(row.oldest_ms, now_ms - demand.arrived_ms),
        )
    return sorted(rows.values(), key=lambda r: (-r.work_ms, r.kind, r.workspace))
