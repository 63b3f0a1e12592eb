from figcrank.coordination import Timings
from figcrank.protocol import FailureKind, Outcome

ROW = "INSERT INTO change (id, note) VALUES (1, 'in a transaction')"


def begin(fleet, **options):
    return fleet.finish(fleet.step("begin", **options)).answer.transaction


def test_committed_transaction_is_visible_and_a_rolled_back_one_is_not(make_group_fleet):
    fleet = make_group_fleet()
    for ending, expected in (("rollback", []), ("commit", [1])):
        name = begin(fleet)
        fleet.finish(fleet.step("statements", ROW, transaction=name))
        assert fleet.final_ids() == []
        fleet.finish(fleet.step(ending, transaction=name))
        assert fleet.final_ids() == expected


def test_transactions_do_not_share_a_connection(make_group_fleet):
    fleet = make_group_fleet()
    names = [begin(fleet) for _ in range(4)]
    fleet.finish(fleet.step("statements", ROW, transaction=names[0]))
    for name in names[1:]:
        count = fleet.step("statements", "SELECT count(*) FROM change", transaction=name)
        assert fleet.finish(count).rows == [(0,)]
        fleet.finish(fleet.step("rollback", transaction=name))
    assert fleet.finish(fleet.step("commit", transaction=names[0])).answer is not None


def test_step_from_another_workspace_is_refused(make_group_fleet):
    fleet = make_group_fleet()
    name = begin(fleet)
    refused = fleet.finish(fleet.step("commit", transaction=name, workspace="crew-2"))
    assert refused.failure.kind is FailureKind.FOREIGN_WORKSPACE
    assert fleet.finish(fleet.step("commit", transaction=name)).answer is not None


def test_an_idle_transaction_is_rolled_back(make_group_fleet):
    fleet = make_group_fleet(timings=Timings(transaction_idle_ms=300))
    name = begin(fleet)
    fleet.finish(fleet.step("statements", ROW, transaction=name))
    fleet.run_for(500)
    late = fleet.finish(fleet.step("commit", transaction=name))
    assert late.failure.kind is FailureKind.UNKNOWN_TRANSACTION
    assert fleet.final_ids() == []


def test_a_withdrawn_key_ends_its_transactions(make_group_fleet):
    fleet = make_group_fleet()
    name = begin(fleet)
    fleet.finish(fleet.step("statements", ROW, transaction=name))
    for host in fleet.virtual_fleet.hosts.values():
        host.core.owners["roster"].withdraw_key("key1", fleet.virtual_fleet.loop.now_ms)
    late = fleet.finish(fleet.step("commit", transaction=name))
    assert late.failure.outcome is Outcome.NOT_RUN
    assert fleet.final_ids() == []


def test_transactions_of_a_replaced_primary_are_reported_as_not_run(make_group_fleet):
    fleet = make_group_fleet()
    name = begin(fleet)
    fleet.finish(fleet.step("statements", ROW, transaction=name))
    fleet.group.kill(fleet.primary)
    fleet.run_for(1_500)
    late = fleet.finish(fleet.step("commit", transaction=name))
    assert late.failure.outcome is Outcome.NOT_RUN
    assert fleet.final_ids() == []


def test_a_commit_on_a_primary_that_is_cut_off_is_settled(make_group_fleet):
    fleet = make_group_fleet()
    name = begin(fleet)
    fleet.finish(fleet.step("statements", ROW, transaction=name))
    fleet.virtual_fleet.network.cut(fleet.primary, *fleet.replicas)
    commit = fleet.finish(fleet.step("commit", transaction=name))
    assert commit.failure.kind is FailureKind.TRANSACTION_LOST
    assert fleet.final_ids() == []
