"""Which workspaces and kinds wait for a server, and what it has been running."""

import pytest

from figcrank.coordination.admission import (
    AdmissionQueue,
    Demand,
    ServiceTimes,
    ServiceUse,
    busiest_workspace,
    summarize_waiting,
    waiting_by_workspace,
)
from figcrank.coordination.admission._service_use import MAX_WORKSPACES_PER_STEP, WINDOW_MS


def queue_of(*demands):
    """Return a queue in which statements of (workspace, kind, arrival) wait, 10 ms each."""
    queue = AdmissionQueue(ServiceTimes())
    for workspace, kind, arrived_ms in demands:
        demand = Demand(workspace, kind, (0, 0), arrived_ms, 1_000, 60_000)
        queue.arrive(demand, arrived_ms, 1)
    return queue


def test_waiting_work_is_summed_by_kind_and_workspace():
    queue = queue_of(("w", "r read", 0), ("w", "r read", 30), ("v", "r read", 20))
    rows = summarize_waiting(queue.waiting_tickets, 100)
    found = [(row.workspace, row.count, row.work_ms, row.oldest_ms) for row in rows]
    assert found == [("w", 2, 20.0, 100), ("v", 1, 10.0, 80)]


def test_statement_that_left_the_queue_is_not_shown():
    """Guards against removed statements, which stay in the queue's heaps for a while."""
    queue = queue_of(("w", "k", 0), ("v", "k", 0))
    ticket = queue.take(0, 1)
    assert waiting_by_workspace(queue.waiting_tickets) == {"v": 10.0}
    queue.put_back(ticket, 0)
    assert waiting_by_workspace(queue.waiting_tickets) == {"v": 10.0, "w": 10.0}


def test_busiest_workspace_is_the_one_with_the_most_time_waiting_and_used():
    """Guards against naming a workspace that waits and uses little."""
    assert busiest_workspace({"a": 30.0, "b": 20.0}, {"b": 50.0}) == ("b", 0.7)
    assert busiest_workspace({}, {}) is None


def test_use_is_that_of_the_last_seconds():
    use = ServiceUse(0)
    for at_ms in range(0, 10_000, 100):
        use.record("w", 20, at_ms)
    use.record("v", 7, 9_999)
    assert use.statements_per_s(10_000) == pytest.approx(10, rel=0.15)
    assert use.service_ms_per_s(10_000) == pytest.approx(200, rel=0.15)
    assert use.by_workspace(10_000 + WINDOW_MS // 2)["v"] == 7
    assert use.by_workspace(10_000 + 2 * WINDOW_MS) == {}
    assert use.statements_per_s(10_000 + 2 * WINDOW_MS) == 0


def test_number_of_workspaces_is_bounded():
    """Guards against memory that grows with the workspaces of a group."""
    use = ServiceUse(0)
    for number in range(MAX_WORKSPACES_PER_STEP + 3):
        use.record(f"w{number}", 1, 0)
    used_ms = use.by_workspace(0)
    assert len(used_ms) == MAX_WORKSPACES_PER_STEP + 1
    assert used_ms[""] == 3
