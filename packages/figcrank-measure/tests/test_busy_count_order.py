from figcrank.measure._busy_count_order import Waiter, next_waiter


def waiter(workspace, order, priority=1):
    return Waiter(workspace, priority, deadline_ms=1_000, order=order)


def test_workspace_with_the_fewest_busy_connections_goes_first():
    waiters = [waiter("market", 0), waiter("market", 1), waiter("clinic", 2)]
    assert next_waiter(waiters, {"market": 3}) == 2


def test_ties_are_broken_by_priority_then_arrival():
    waiters = [waiter("a", 0, priority=2), waiter("b", 1), waiter("c", 2)]
    assert next_waiter(waiters, {}) == 1


def test_overloaded_workspace_delays_another_by_at_most_one_turn():
    """Simulates a workspace at eight times its usual load with a single connection."""
    waiting = [waiter("market", order) for order in range(40)]
    waiting.append(waiter("clinic", 40))
    busy = {"market": 1}
    served = [waiting.pop(next_waiter(waiting, busy)).workspace for _ in range(2)]
    assert served[0] == "clinic"
