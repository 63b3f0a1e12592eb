import pytest

COUNT = "SELECT count(*) FROM change"


def lag(fleet, apply_lag_ms):
    for server in fleet.group.servers.values():
        server.apply_lag_ms = apply_lag_ms


@pytest.mark.parametrize("profile", ["fresh", "relaxed"])
@pytest.mark.parametrize("apply_lag_ms", [0, 100, 30_000])
def test_a_session_reads_its_own_write(make_group_fleet, profile, apply_lag_ms):
    fleet = make_group_fleet()
    lag(fleet, apply_lag_ms)
    for number in range(1, 6):
        written = fleet.finish(fleet.insert(number))
        read = fleet.read(COUNT, profile, session=written.session, host="host-2")
        assert fleet.finish(read).rows == [(number,)]


def test_a_fresh_read_sees_writes_of_other_sessions(make_group_fleet):
    fleet = make_group_fleet()
    lag(fleet, 200)
    for number in range(1, 6):
        fleet.finish(fleet.insert(number))
        assert fleet.finish(fleet.read(COUNT)).rows == [(number,)]


def test_a_bounded_read_is_never_older_than_its_bound(make_group_fleet):
    fleet = make_group_fleet()
    lag(fleet, 5_000)
    fleet.finish(fleet.insert(1))
    fleet.run_for(1_000)
    assert fleet.finish(fleet.read(COUNT, "relaxed")).rows == [(1,)]


def test_replicas_serve_bounded_reads(make_group_fleet):
    fleet = make_group_fleet()
    lag(fleet, 100)
    fleet.start_load(1_000)
    fleet.run_for(500)
    served = [fleet.finish(fleet.read(COUNT, "relaxed")).answer.served_by for _ in range(20)]
    assert fleet.primary not in served


def test_a_fresh_read_is_not_served_by_a_primary_that_was_cut_off(make_group_fleet):
    fleet = make_group_fleet()
    old = fleet.primary
    fleet.finish(fleet.insert(1))
    fleet.virtual_fleet.network.cut(old, *fleet.replicas)
    writing = fleet.insert(2)
    fleet.finish(writing)
    assert fleet.primary != old
    answer = fleet.finish(fleet.read(COUNT))
    assert answer.rows == [(2,)]


def test_a_bounded_read_is_served_while_there_is_no_primary(make_group_fleet):
    fleet = make_group_fleet()
    fleet.run_for(200)
    fleet.group.kill(fleet.primary)
    read = fleet.finish(fleet.read(COUNT, "relaxed"))
    assert read.answered_ms - read.sent_ms < 100


def test_read_on_an_unresponsive_server_is_answered_elsewhere(make_group_fleet):
    fleet = make_group_fleet()
    fleet.run_for(200)
    for name in fleet.replicas:
        fleet.group.servers[name].silent = True
    reads = [fleet.read(COUNT, "relaxed") for _ in range(5)]
    for read in reads:
        assert fleet.finish(read).answer is not None, read.failure


@pytest.mark.parametrize("profile", ["fresh", "relaxed"])
def test_server_receives_the_position_that_a_read_requires(make_group_fleet, profile):
    fleet = make_group_fleet()
    written = fleet.finish(fleet.insert(1))
    fleet.run_for(1_200)
    real, positions = fleet.group.run, []

    def run(name, session_pid, work, reply):
        positions.append(work.min_position)
        real(name, session_pid, work, reply)

    fleet.group.run = run
    fleet.finish(fleet.read(COUNT, profile))
    assert min(positions) >= written.answer.position


def test_reads_that_cannot_start_in_time_are_refused_at_once(make_group_fleet):
    fleet = make_group_fleet(slots=2)
    reads = [fleet.read(COUNT, "relaxed", timeout_ms=100) for _ in range(250)]
    fleet.run_for(500)
    refused = [read for read in reads if read.failure is not None]
    assert refused
    assert min(read.answered_ms - read.sent_ms for read in refused) < 50
    assert all(read.answered_ms - read.sent_ms <= 102 for read in reads)
