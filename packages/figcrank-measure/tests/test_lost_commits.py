"""Commits whose owner host dies while they are under way."""

import pytest

from figcrank.measure._load import create_table
from figcrank.measure._scenario import Scenario
from figcrank.protocol import FailureKind
from figcrank.standins.samples import patna

SEED = 5
INSERT = "INSERT INTO change (id, note) VALUES (1, 'swap')"


@pytest.fixture
def scenario():
    scenario = Scenario.from_size(patna(), SEED, group_count=1)
    create_table(scenario)
    return scenario


def begun(scenario):
    """Open a transaction with one row at an owner host; return its id, owner and another host."""
    fleet, key = scenario.fleet, scenario.key()
    begin = scenario.finish(fleet.transaction("host-1", key, "begin", service=scenario.service))
    transaction = begin.answer.transaction
    owner = transaction.split("~")[0]
    other = next(name for name in fleet.hosts if name != owner)
    step = fleet.transaction(other, key, "statements", INSERT, transaction=transaction)
    assert scenario.finish(step).answer is not None
    return transaction, owner, other


def commit(scenario, host, transaction, workspace=1):
    key = scenario.key(workspace)
    return scenario.fleet.transaction(host, key, "commit", transaction=transaction)


def count_rows(scenario, host):
    number = int(host.removeprefix("host-"))
    read = scenario.read("SELECT count(*) FROM change", host=number, profile="fresh")
    return scenario.finish(read).rows[0][0]


@pytest.mark.parametrize("killed_after_ms", [0, 1, 2, 3, 4, 5, 6, 8, 12])
def test_commit_at_a_dying_owner_gets_its_true_outcome(scenario, killed_after_ms):
    transaction, owner, other = begun(scenario)
    call = commit(scenario, other, transaction)
    scenario.fleet.run_for(killed_after_ms)
    scenario.fleet.kill(owner)
    scenario.finish(call)
    if call.answer is None:
        assert call.failure.kind is FailureKind.TRANSACTION_LOST
    assert count_rows(scenario, other) == (1 if call.answer is not None else 0)


def test_commit_after_its_owner_died_is_rolled_back(scenario):
    transaction, owner, other = begun(scenario)
    scenario.fleet.kill(owner)
    scenario.fleet.run_for(3_000)
    call = scenario.finish(commit(scenario, other, transaction))
    assert call.failure.kind is FailureKind.TRANSACTION_LOST
    assert count_rows(scenario, other) == 0


def test_settled_commit_can_not_take_effect_later(scenario):
    transaction, owner, other = begun(scenario)
    others = [name for name in scenario.fleet.hosts if name != owner]
    scenario.fleet.network.cut(owner, *others)
    scenario.fleet.run_for(3_000)
    call = scenario.finish(commit(scenario, other, transaction))
    assert call.failure.kind is FailureKind.TRANSACTION_LOST
    late = scenario.finish(commit(scenario, owner, transaction))
    assert late.answer is None
    scenario.fleet.network.heal(owner)
    assert count_rows(scenario, other) == 0


def test_another_workspace_can_not_settle_a_commit(scenario):
    transaction, owner, other = begun(scenario)
    others = [name for name in scenario.fleet.hosts if name != owner]
    scenario.fleet.network.cut(owner, *others)
    scenario.fleet.run_for(3_000)
    foreign = scenario.finish(commit(scenario, other, transaction, workspace=2))
    assert foreign.answer is None
    scenario.fleet.network.heal(owner)
    assert count_rows(scenario, other) == 0
