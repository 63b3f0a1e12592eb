"""Order and admission of waiting statements, in virtual time."""

import pytest

from figcrank.coordination.admission import (
    AdmissionQueue,
    Demand,
    Rejection,
    RejectionReason,
    ServiceTimes,
)
from figcrank.coordination.admission._queue import MAX_RETRY_MS

SERVICE_MS = {"submit": 6.0, "read": 30.0, "reconcile": 18.0}
TARGET_MS = {"submit": 150, "read": 1_000, "reconcile": 250}
TIMEOUT_MS = {"submit": 800, "read": 2_000, "reconcile": 800}
PRIORITY = {"submit": 0, "read": 2, "reconcile": 1}
SLOTS = 4


def demand(kind, workspace="w", arrived_ms=0, workspace_priority=0, **changes):
    fields = {
        "priority": (PRIORITY[kind], workspace_priority),
        "target_ms": arrived_ms + TARGET_MS[kind],
        "deadline_ms": arrived_ms + TIMEOUT_MS[kind],
        **changes,
    }
    return Demand(workspace, kind, arrived_ms=arrived_ms, **fields)


def service_times():
    times = ServiceTimes()
    for kind, service_ms in SERVICE_MS.items():
        times.record(kind, service_ms)
    return times


@pytest.fixture
def queue():
    return AdmissionQueue(service_times())


def fill(queue, kind, count, **fields):
    tickets = [queue.arrive(demand(kind, **fields), 0, SLOTS) for _ in range(count)]
    assert not any(isinstance(ticket, Rejection) for ticket in tickets)
    return tickets


def fill_until_rejected(queue, kind, now_ms=0, slots=SLOTS, **fields):
    """Add statements until one is rejected; return the number admitted and the rejection."""
    for count in range(10_000):
        decision = queue.arrive(demand(kind, arrived_ms=now_ms, **fields), now_ms, slots)
        if isinstance(decision, Rejection):
            return count, decision
    raise AssertionError("nothing was rejected")


def take_all(queue, now_ms=0):
    taken = []
    while ticket := queue.take(now_ms, SLOTS):
        taken.append(ticket.demand)
    return taken


def test_urgent_route_goes_first(queue):
    """Guards against submissions served worst in overload, as they were in arrival order."""
    fill(queue, "read", 3)
    fill(queue, "reconcile", 1)
    fill(queue, "submit", 1)
    assert [d.kind for d in take_all(queue)][:2] == ["submit", "reconcile"]


def test_workspace_priority_decides_within_a_route(queue):
    fill(queue, "submit", 1, workspace="low", workspace_priority=1)
    fill(queue, "submit", 1, workspace="high")
    fill(queue, "read", 1, workspace="top")
    assert [d.workspace for d in take_all(queue)] == ["high", "low", "top"]


def test_statements_of_a_workspace_go_in_the_order_of_their_arrival(queue):
    """Guards against a statement that waited for a primary and queues behind newer ones."""
    for arrived_ms in (30, 10, 20):
        queue.arrive(demand("submit", arrived_ms=arrived_ms), 40, SLOTS)
    assert [d.arrived_ms for d in take_all(queue, 40)] == [10, 20, 30]


def test_workspace_that_causes_the_queue_waits_behind_the_others(queue):
    """Guards against a workspace at seven times its usual load that delays another one."""
    fill(queue, "submit", 40, workspace="heavy")
    queue.take(0, SLOTS)
    fill(queue, "submit", 1, workspace="light")
    served = [d.workspace for d in take_all(queue)]
    assert "light" in served[:2]


def test_workspaces_share_by_service_time_and_not_by_count(queue):
    """Guards against a workspace whose statements need a new connection each, 18 ms for 6 ms."""
    for _ in range(30):
        queue.arrive(demand("submit", workspace="connecting"), 0, SLOTS, connects=True)
        queue.arrive(demand("submit", workspace="connected"), 0, SLOTS)
    served = [d.workspace for d in take_all(queue)][:20]
    assert served.count("connected") == pytest.approx(3 * served.count("connecting"), abs=3)


def test_workspace_with_a_connection_goes_first_among_equals(queue):
    """Guards against a connection that is opened while one of an equal statement is unused."""
    for workspace in ("a", "b", "c"):
        fill(queue, "submit", 2, workspace=workspace)
    first = [queue.take(0, SLOTS, {"c"}).demand.workspace for _ in range(3)]
    assert first == ["c", "a", "b"]
    assert sorted(d.workspace for d in take_all(queue)) == ["a", "b", "c"]


def test_workspace_with_a_connection_takes_no_more_than_its_share(queue):
    """Guards against a workspace that keeps its connections busy and starves the others."""
    for workspace in ("a", "b", "c"):
        fill(queue, "submit", 30, workspace=workspace)
    served = [queue.take(0, SLOTS, {"c"}).demand.workspace for _ in range(45)]
    assert served.count("c") == 15


def test_less_urgent_workspace_with_a_connection_waits(queue):
    fill(queue, "submit", 1, workspace="a")
    fill(queue, "reconcile", 1, workspace="b")
    assert queue.take(0, SLOTS, {"b"}).demand.workspace == "a"


def test_each_priority_level_gets_a_tenth_of_the_service_time(queue):
    """Guards against household reads that starve behind a burst of submissions."""
    fill(queue, "read", 30)
    fill(queue, "submit", 300)
    taken = [queue.take(0, SLOTS).demand for _ in range(200)]
    total_ms = sum(SERVICE_MS[d.kind] for d in taken)
    read_ms = sum(SERVICE_MS[d.kind] for d in taken if d.kind == "read")
    assert read_ms >= 0.1 * total_ms - SERVICE_MS["read"]
    assert read_ms <= 0.1 * total_ms + SERVICE_MS["read"]


def test_many_levels_leave_half_of_the_service_time_to_the_order_of_priorities(queue):
    fill(queue, "submit", 100)
    for priority in range(1, 20):
        fill(queue, "submit", 5, workspace_priority=priority)
    taken = [queue.take(0, SLOTS).demand for _ in range(100)]
    assert sum(d.priority == (0, 0) for d in taken) >= 45


def test_late_statements_go_after_those_in_time(queue):
    """Guards against capacity spent on late submissions while reads become late too."""
    fill(queue, "submit", 5)
    queue.arrive(demand("read", arrived_ms=200), 200, SLOTS)
    kinds = [d.kind for d in take_all(queue, 200)]
    assert kinds == ["read"] + ["submit"] * 5


def test_late_statement_is_not_dropped_before_its_deadline(queue):
    fill(queue, "submit", 1)
    assert [d.kind for d in take_all(queue, 800 - 6)] == ["submit"]


def test_statement_that_cannot_end_any_more_is_rejected_while_it_waits(queue):
    (ticket,) = fill(queue, "submit", 1)
    assert queue.take(800 - 5, SLOTS) is None
    ((rejected, rejection),) = queue.drain_rejected()
    assert rejected is ticket
    assert rejection.reason is RejectionReason.EXPIRED
    assert queue.drain_rejected() == []


def test_statement_that_cannot_end_by_its_deadline_is_rejected_on_arrival(queue):
    """Guards against statements that wait until their timeouts and are refused only then."""
    count, rejection = fill_until_rejected(queue, "submit")
    assert rejection.reason is RejectionReason.DEADLINE
    # All that were admitted can end in time at full use of the slots.
    assert count * SERVICE_MS["submit"] <= SLOTS * TIMEOUT_MS["submit"]
    # What was rejected could not.
    assert (count + 2) * SERVICE_MS["submit"] >= SLOTS * (TIMEOUT_MS["submit"] - 30)


def test_work_ahead_is_counted_by_service_time(queue):
    """Guards against a limit by count, which is five times too high for reads."""
    count, _ = fill_until_rejected(queue, "read")
    assert count * SERVICE_MS["read"] <= SLOTS * TIMEOUT_MS["read"]


def test_less_urgent_work_causes_no_rejection(queue):
    fill_until_rejected(queue, "read")
    queue.take(0, SLOTS)
    assert not isinstance(queue.arrive(demand("submit"), 0, SLOTS), Rejection)


def test_only_the_workspace_that_fills_the_queue_is_rejected(queue):
    fill_until_rejected(queue, "submit", workspace="heavy")
    assert not isinstance(queue.arrive(demand("submit", workspace="light"), 0, SLOTS), Rejection)


def test_retry_times_are_spread_at_the_drain_rate_earlier_ones_first(queue):
    """Guards against rejected callers that return together and are rejected again."""
    fill_until_rejected(queue, "submit")
    retries = [queue.arrive(demand("submit"), 0, SLOTS).retry_after_ms for _ in range(100)]
    assert retries == sorted(retries)
    per_ms = 100 / (retries[-1] - retries[0])
    assert per_ms <= 1.1 * SLOTS / SERVICE_MS["submit"]


def test_retry_times_are_bounded(queue):
    fill_until_rejected(queue, "submit", slots=1)
    for _ in range(2_000):
        assert queue.arrive(demand("submit"), 0, 1).retry_after_ms <= MAX_RETRY_MS


def test_rejected_hedge_takes_no_place_in_the_order_of_retries(queue):
    _, first = fill_until_rejected(queue, "submit")
    for _ in range(50):
        queue.arrive(demand("submit", is_hedge=True), 0, SLOTS)
    again = queue.arrive(demand("submit"), 0, SLOTS)
    assert again.retry_after_ms - first.retry_after_ms <= SERVICE_MS["submit"]


def full_queue(now_ms, *kinds):
    queue = AdmissionQueue(service_times(), max_waiting=len(kinds))
    tickets = [queue.arrive(demand(kind), 0, SLOTS) for kind in kinds]
    queue.advance(now_ms)
    return queue, tickets


def test_late_and_less_urgent_statement_gives_way_to_one_that_can_be_in_time():
    queue, tickets = full_queue(260, "submit", "reconcile", "read")
    ticket = queue.arrive(demand("submit", arrived_ms=260), 260, SLOTS)
    assert not isinstance(ticket, Rejection)
    ((displaced, rejection),) = queue.drain_rejected()
    assert displaced is tickets[1]  # the read is less urgent, but can still be in time
    assert rejection.reason is RejectionReason.DISPLACED


def test_nothing_in_time_and_nothing_more_urgent_gives_way():
    queue, _ = full_queue(0, "submit", "read")
    assert queue.arrive(demand("submit"), 0, SLOTS).reason is RejectionReason.FULL
    queue, _ = full_queue(160, "submit", "submit")
    decision = queue.arrive(demand("read", arrived_ms=160), 160, SLOTS)
    assert decision.reason is RejectionReason.FULL
    assert queue.drain_rejected() == []


def test_removed_statement_is_neither_served_nor_counted(queue):
    """Guards against statements of disconnected callers that delay the others."""
    tickets = fill(queue, "submit", 10)
    before_ms = queue.expected_wait_ms(demand("submit"), 0, SLOTS)
    for ticket in tickets[:9]:
        queue.remove(ticket)
        queue.remove(ticket)
    assert queue.waiting == 1
    assert queue.expected_wait_ms(demand("submit"), 0, SLOTS) < before_ms / 2
    assert len(take_all(queue)) == 1
    assert queue.take(0, SLOTS) is None


def test_kind_without_samples_counts_as_the_mean_of_the_others(queue):
    """Guards against a new route that is admitted as if it took no time."""
    unknown = demand("submit", deadline_ms=10_000)
    times = service_times()
    assert times.mean_ms("new") == times.overall_ms
    assert times.overall_ms >= min(SERVICE_MS.values())
    assert ServiceTimes().mean_ms("new") > 0
    queue = AdmissionQueue(ServiceTimes())
    assert not isinstance(queue.arrive(unknown, 0, SLOTS), Rejection)


def test_clock_that_jumped_over_a_suspension_expires_the_queue_once(queue):
    """Guards against a host that wakes up and serves callers that are long gone."""
    fill(queue, "submit", 20)
    hour_ms = 3_600_000
    assert queue.take(hour_ms, SLOTS) is None
    assert len(queue.drain_rejected()) == 20
    now = demand("submit", arrived_ms=hour_ms)
    assert not isinstance(queue.arrive(now, hour_ms, SLOTS), Rejection)
    assert queue.take(hour_ms, SLOTS).demand is now


def test_service_time_over_a_suspension_at_most_doubles_the_mean():
    """Guards against a mean of minutes, with which every statement would be rejected."""
    times = service_times()
    times.record("submit", 3_600_000)
    assert times.mean_ms("submit") <= 2 * SERVICE_MS["submit"]


def test_mean_follows_a_server_that_becomes_slow():
    times = service_times()
    for _ in range(20):
        times.record("submit", 5 * SERVICE_MS["submit"])
    assert times.mean_ms("submit") >= 4 * SERVICE_MS["submit"]


def test_limit_of_one_slot_rejects_by_the_lower_rate(queue):
    """Guards against a decision by the slots of before the limit fell."""
    fill(queue, "submit", 200)
    assert queue.arrive(demand("submit"), 0, 1).reason is RejectionReason.DEADLINE
    assert queue.take(0, 1) is not None


def test_level_that_gets_no_service_ceases_to_admit(queue):
    """Guards against late work that waits for its deadline while work in time fills the slots."""
    fill(queue, "submit", 30)
    for now_ms in range(200, 500):
        queue.arrive(demand("reconcile", arrived_ms=now_ms), now_ms, SLOTS)
        queue.take(now_ms, SLOTS)
    late = demand("submit", arrived_ms=300, target_ms=450, deadline_ms=1_000)
    assert isinstance(queue.arrive(late, 500, SLOTS), Rejection)


def test_cost_of_an_admission_grows_with_the_logarithm_of_the_queue():
    """Guards against a scan of every waiting statement for each admission."""

    class CountedDemand(Demand):
        reads = 0

        def __getattribute__(self, name):
            CountedDemand.reads += 1
            return super().__getattribute__(name)

    reads = {}
    for waiting in (50, 800):
        queue = AdmissionQueue(service_times())
        for number in range(waiting):
            workspace = f"w{number % 10}"
            late = {"target_ms": 10**6, "deadline_ms": 10**6}
            fields = {"arrived_ms": 0, "priority": (0, 0), **late}
            queue.arrive(CountedDemand(workspace, "submit", **fields), 0, SLOTS)
        CountedDemand.reads = 0
        for _ in range(40):
            queue.take(0, SLOTS)
        reads[waiting] = CountedDemand.reads
    assert reads[800] <= 2 * reads[50]
