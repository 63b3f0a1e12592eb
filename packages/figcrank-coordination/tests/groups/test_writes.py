import pytest

from figcrank.protocol import FailureKind, Outcome, WorkFailed, WorkFailureKind


def lose_results(fleet, kind, count=1):
    """Replace the next ``count`` results of work of type ``kind`` by a lost connection."""
    real = fleet.virtual_fleet._finish
    left = [count]

    def finish(virtual_host, action, result):
        if left[0] and type(action.work).__name__ == kind and not isinstance(result, WorkFailed):
            left[0] -= 1
            result = WorkFailed(WorkFailureKind.LOST, "answer lost", commit_sent=True)
        real(virtual_host, action, result)

    fleet.virtual_fleet._finish = finish


def test_a_write_whose_answer_was_lost_is_answered_from_its_record(make_group_fleet):
    fleet = make_group_fleet()
    lose_results(fleet, "WriteWork")
    assert fleet.finish(fleet.insert(1)).answer.replayed is False
    assert fleet.final_ids() == [1]
    assert [d.inputs["found"] for d in fleet.virtual_fleet.decisions("settlement")] == ["True"]


def test_a_write_that_was_lost_before_it_ran_runs_once(make_group_fleet):
    fleet = make_group_fleet()
    fleet.run_for(1_000)
    for host in fleet.virtual_fleet.hosts.values():
        for connection in host.connections.values():
            fleet.group.servers[connection.server].model.close_session(connection.session_pid)
    assert fleet.finish(fleet.insert(1)).answer is not None
    assert fleet.final_ids() == [1]


def test_repeated_idempotency_key_returns_the_stored_answer(make_group_fleet):
    fleet = make_group_fleet()
    first = fleet.finish(fleet.insert(1, idempotency_key="order-1"))
    again = fleet.finish(fleet.insert(1, idempotency_key="order-1", host="host-2"))
    assert (first.answer.replayed, again.answer.replayed) == (False, True)
    assert again.answer.results == first.answer.results
    assert fleet.final_ids() == [1]


def test_write_with_a_failed_statement_is_reported_as_not_run(make_group_fleet):
    fleet = make_group_fleet()
    failed = fleet.finish(fleet.write("INSERT INTO change (id) VALUES (1)", "INSERT INTO nowhere"))
    assert failed.failure.kind is FailureKind.STATEMENT_FAILED
    assert failed.failure.outcome is Outcome.NOT_RUN
    assert fleet.final_ids() == []


def test_no_write_is_acknowledged_before_a_majority_holds_it(make_group_fleet):
    fleet = make_group_fleet()
    for name in fleet.replicas:
        fleet.group.kill(name)
    written = fleet.finish(fleet.insert(1, timeout_ms=1_000))
    assert written.failure.outcome is Outcome.UNKNOWN


def test_a_write_held_without_a_primary_is_refused_as_not_run(make_group_fleet):
    fleet = make_group_fleet()
    for name in list(fleet.group.servers):
        fleet.group.kill(name)
    fleet.run_for(300)
    held = fleet.finish(fleet.insert(1, timeout_ms=1_000))
    assert held.failure.outcome is Outcome.NOT_RUN
    assert held.failure.retry_after_ms > 0
    assert held.answered_ms - held.sent_ms <= 1_002


def test_write_that_cannot_start_in_time_is_refused_at_once(make_group_fleet):
    fleet = make_group_fleet(slots=1)
    calls = [fleet.insert(number, timeout_ms=150) for number in range(1, 200)]
    fleet.run_for(1_000)
    refused = [call for call in calls if call.failure is not None]
    assert refused
    assert min(call.answered_ms - call.sent_ms for call in refused) < 50
    fleet.assert_no_write_lost_or_duplicated()


def test_write_on_an_unresponsive_connection_is_retried_on_a_new_one(make_group_fleet):
    fleet = make_group_fleet()
    fleet.run_for(1_000)
    silent = {
        connection.session_pid
        for host in fleet.virtual_fleet.hosts.values()
        for connection in host.connections.values()
    }
    real = fleet.group.run

    def run(name, session_pid, work, reply):
        if session_pid not in silent:
            real(name, session_pid, work, reply)

    fleet.group.run = run
    assert fleet.finish(fleet.insert(1, timeout_ms=2_000)).answer is not None
    assert fleet.final_ids() == [1]


def kill_primary(fleet):
    fleet.group.kill(fleet.primary)


def kill_owner(fleet):
    fleet.virtual_fleet.kill(fleet.owners[0])


@pytest.mark.parametrize("fault", [kill_primary, kill_owner])
@pytest.mark.parametrize("interval_ms", [1, 5])
def test_concurrent_work_stays_within_the_slots_while_servers_or_owners_change(
    make_group_fleet, fault, interval_ms
):
    fleet = make_group_fleet(slots=3)
    running = {name: [] for name in fleet.group.servers}
    max_running = [0]
    real = fleet.group.run

    def run(name, session_pid, work, reply):
        running[name].append(session_pid)
        max_running[0] = max(max_running[0], len(running[name]))

        def done(result):
            running[name].remove(session_pid)
            reply(result)

        real(name, session_pid, work, done)

    fleet.start_load(2_500, interval_ms=interval_ms)
    fleet.run_for(300)
    fault(fleet)
    fleet.run_for(100)
    fleet.group.run = run
    fleet.run_for(9_000)
    assert 0 < max_running[0] <= 3
    fleet.assert_no_write_lost_or_duplicated()


def test_write_that_a_lost_owner_may_have_run_has_an_unknown_outcome(make_group_fleet):
    fleet = make_group_fleet()
    entry = fleet.entry
    zone = fleet.virtual_fleet.hosts[entry].host.availability_zone
    owners = [fleet.virtual_fleet.hosts[name].host for name in fleet.owners]
    first = min(owners, key=lambda host: host.availability_zone != zone)
    call = fleet.insert(1, host=entry, timeout_ms=4_000)

    def lose_owner_and_servers():
        fleet.virtual_fleet.kill(first.name)
        for name in fleet.group.servers:
            fleet.group.kill(name)

    fleet.virtual_fleet.loop.after(6, lose_owner_and_servers)
    assert fleet.finish(call).failure.outcome is Outcome.UNKNOWN
