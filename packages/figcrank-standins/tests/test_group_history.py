"""Random histories of a group, from fixed seeds: what was acknowledged is never lost."""

import random

import pytest

from figcrank.protocol import (
    Fence,
    Follow,
    Lookup,
    Promote,
    ReadWork,
    Statement,
    StatusReply,
    WorkDone,
    WorkFailed,
    WorkFailureKind,
    WriteWork,
)
from figcrank.standins import ServerModel, _server_model, form_group, replicate
from figcrank.state import ServerRole

NAMES = ("a", "b", "c")
MAJORITY = 2
STEPS = 300
BATCH_ENTRIES = 2
CREATE = Statement("CREATE TABLE movements (id TEXT PRIMARY KEY)")
ALL = Statement("SELECT id FROM movements ORDER BY id")


class History:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.models = tuple(ServerModel(name, NAMES) for name in NAMES)
        self.by_name = {model.name: model for model in self.models}
        self.pending = {}
        self.acknowledged = {}
        self.late = []
        self.next_id = 0
        self.next_fencer = 0
        form_group(self.models)
        self.write_as(self.models[0], "create", CREATE)
        for replica in self.models[1:]:
            replicate(self.models[0], replica)

    def step(self):
        choices = (self.write, self.fetch, self.fetch, self.deliver_late, self.apply, self.retry)
        self.random.choice(choices)()
        if self.random.random() < 0.05:
            self.fail_over()
        self.acknowledge()
        self.check_kept()

    def write_as(self, model, request_id, statement):
        pid = model.open_session()
        result = model.run(pid, WriteWork(request_id, model.term, (statement,)))
        model.close_session(pid)
        if isinstance(result, WorkDone):
            self.pending[request_id] = result.position
        return result

    def write(self):
        request_id = f"m{self.next_id}"
        self.next_id += 1
        self.write_as(self.random.choice(self.models), request_id, insert(request_id))

    def retry(self):
        model = self.random.choice(self.models)
        if not self.acknowledged or model.role is not ServerRole.PRIMARY:
            return
        request_id = self.random.choice(sorted(self.acknowledged))
        result = self.write_as(model, request_id, insert(request_id))
        # A replaced primary may lack the record; it can then not reach a majority either.
        assert isinstance(result, WorkDone | WorkFailed)
        if isinstance(result, WorkFailed):
            assert result.kind is WorkFailureKind.DUPLICATE

    def fetch(self):
        replica = self.random.choice(self.models)
        if replica.role is not ServerRole.REPLICA:
            return
        term = replica.term
        batch = self.by_name[replica.primary].entries_after(term, replica.fetch_from())
        if batch is None:
            return
        if self.random.random() < 0.3:
            self.late.append((replica, batch, term))
        else:
            replica.accept(batch, term)

    def deliver_late(self):
        if self.late:
            replica, batch, term = self.random.choice(self.late)
            replica.accept(batch, term)

    def apply(self):
        model = self.random.choice(self.models)
        model.apply_up_to(self.random.randint(0, model.fetch_from().offset))

    def fail_over(self):
        self.next_fencer += 1
        fencer = f"host-{self.next_fencer}"
        reached = self.random.sample(self.models, MAJORITY)
        term = max(model.term for model in reached) + self.random.randint(0, 1)
        replies = [model.request(Fence(term, fencer)) for model in reached]
        if not all(isinstance(reply, StatusReply) for reply in replies):
            return
        best = max(replies, key=lambda reply: reply.status.durable).status.server
        self.by_name[best].request(Promote(term, fencer))
        for model in self.models:
            if model.name != best and self.random.random() < 0.8:
                model.request(Follow(term, best))

    def acknowledge(self):
        for request_id, position in tuple(self.pending.items()):
            holders = [model for model in self.models if holds(model, position)]
            if len(holders) >= MAJORITY:
                self.acknowledged.setdefault(request_id, position)

    def check_kept(self):
        for position in self.acknowledged.values():
            assert sum(model.holds(position) for model in self.models) >= MAJORITY

    def settle(self):
        term = max(model.term for model in self.models) + 1
        reached = self.random.sample(self.models, MAJORITY)
        replies = [model.request(Fence(term, "last")) for model in reached]
        best = self.by_name[max(replies, key=lambda r: r.status.durable).status.server]
        best.request(Promote(term, "last"))
        for model in self.models:
            if model is not best:
                model.request(Follow(term, best.name))
                assert replicate(best, model)
                model.apply_all()
        return best


def holds(model, position):
    status = model.status()
    return status.term == position.term and status.durable >= position


def insert(request_id):
    return Statement("INSERT INTO movements VALUES (%s)", (request_id,))


def contents(model):
    pid = model.open_session()
    result = model.run(pid, ReadWork((ALL,)))
    model.close_session(pid)
    return result.results[0].rows


@pytest.mark.parametrize("seed", range(40))
def test_acknowledged_writes_survive_once_on_every_server(seed, monkeypatch):
    monkeypatch.setattr(_server_model, "MAX_BATCH_ENTRIES", BATCH_ENTRIES)
    history = History(seed)
    for _ in range(STEPS):
        history.step()
    primary = history.settle()
    for request_id in history.acknowledged:
        assert primary.request(Lookup(request_id, primary.term)).found
    kept = {row[0] for row in contents(primary)}
    assert set(history.acknowledged) <= kept | {"create"}
    assert all(contents(model) == contents(primary) for model in history.models)
