from collections import Counter

import pytest

from figcrank.coordination import FairQueue, QueueEntry


def entry(workspace, number=0, weight=10, key_id="", deadline_ms=1_000):
    return QueueEntry(workspace, weight, key_id, deadline_ms, number)


def test_workspaces_are_served_in_proportion_to_their_weights():
    queue = FairQueue(500)
    for number in range(200):
        queue.push(entry("large", number, weight=30))
        queue.push(entry("small", number, weight=10))
    served = Counter(queue.pop().workspace for _ in range(100))
    assert served["small"] == pytest.approx(25, abs=1)


def test_a_flood_does_not_delay_another_workspace():
    queue = FairQueue(500)
    for number in range(300):
        queue.push(entry("flood", number))
    queue.push(entry("calm"))
    assert "calm" in [queue.pop().workspace for _ in range(3)]


def test_entries_of_one_workspace_stay_in_order():
    queue = FairQueue(10)
    for number in range(5):
        queue.push(entry("crew", number))
    assert [queue.pop().item for _ in range(5)] == [0, 1, 2, 3, 4]
    assert queue.pop() is None


@pytest.mark.parametrize(("per_workspace", "total", "accepted"), [(2, 10, 4), (10, 3, 3)])
def test_length_is_bounded_per_workspace_and_in_total(per_workspace, total, accepted):
    queue = FairQueue(per_workspace, total)
    pushed = [queue.push(entry(f"crew-{n % 2}", n)) for n in range(8)]
    assert sum(pushed) == accepted == len(queue)


def test_expired_entries_are_never_served():
    queue = FairQueue(10)
    queue.push(entry("crew", 1, deadline_ms=50))
    queue.push(entry("crew", 2, deadline_ms=90))
    assert [late.item for late in queue.expire(50)] == [1]
    assert queue.pop().item == 2
    assert queue.expire(90) == []
    assert len(queue) == 0


def test_withdrawn_key_removes_only_its_own_entries():
    queue = FairQueue(10)
    queue.push(entry("crew", 1, key_id="old"))
    queue.push(entry("crew", 2, key_id="new"))
    queue.push(entry("clerk", 3, key_id="old"))
    assert [gone.item for gone in queue.remove_key("old")] == [1, 3]
    assert queue.pop().item == 2
    assert queue.pop() is None


def test_capacity_is_freed_by_removal():
    queue = FairQueue(1)
    queue.push(entry("crew", 1, deadline_ms=5))
    queue.expire(5)
    assert queue.push(entry("crew", 2))
    assert queue.pop().item == 2
