"""Checks invariants of the configuration under random faults from fixed seeds."""

import random

import pytest

from figcrank.protocol import EditConflict, EditDone, EditObject
from figcrank.state import Key, Workspace

RECOVERY_MS = 15_000
MAX_STEP_MS = 1_500
STEPS = 25
MAX_WITHDRAWAL_MS = 2_000


class FaultRun:
    """A run of random faults with edits by two operators."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.revisions = {}
        self.versions = {}
        self.accepted = {}
        self.withdrawn_ms = {}
        self.collected_replies = 0
        self.late_withdrawals = []
        self.next_rate = 100
        self.faults = (
            self.partition,
            self.heal,
            self.set_loss,
            self.pause,
            self.kill,
            self.stop_store,
            self.start_store,
            self.slow_store,
            self.lose_put_answer,
            self.cut_from_store,
            self.edit,
            self.edit,
            self.edit_twice,
            self.withdraw,
        )

    def live(self):
        return sorted(self.fleet.cores)

    def partition(self):
        size = self.random.randint(1, 4)
        some = set(self.random.sample(self.live(), min(size, len(self.live()) - 1)))
        self.fleet.is_cut = lambda a, b: (a in some) != (b in some)

    def heal(self):
        self.fleet.is_cut = lambda a, b: False
        self.fleet.cut_from_store = set()

    def set_loss(self):
        self.fleet.loss = self.random.choice((0.0, 0.2, 0.4))

    def pause(self):
        name = self.random.choice(self.live())
        self.fleet.paused[name] = self.fleet.now_ms + self.random.randint(100, 4_000)

    def kill(self):
        if len(self.live()) > 5:
            self.fleet.kill(self.random.choice(self.live()))

    def stop_store(self):
        self.fleet.store.up = False
        self.fleet.store.is_silent = self.random.random() < 0.5

    def start_store(self):
        self.fleet.store.up = True

    def slow_store(self):
        self.fleet.store.delay_ms = self.random.choice((2, 2, 300, 900))

    def lose_put_answer(self):
        self.fleet.store.lose_put_answers = 1

    def cut_from_store(self):
        self.fleet.cut_from_store = set(self.random.sample(self.live(), 3))

    def edit(self):
        self.next_rate += 1
        name = self.random.choice(self.live())
        all_objects = self.fleet.cores[name].configuration.snapshot.objects
        current = next(o for i, o in all_objects.items() if i.kind == "workspace")
        value = Workspace("crews", self.next_rate, 50)
        request = EditObject("workspace", "crews", current.version, value, "ivana")
        self.fleet.send_operator_request(name, request)

    def edit_twice(self):
        self.edit()
        self.edit()

    def withdraw(self):
        name = self.random.choice(self.live())
        snapshot = self.fleet.cores[name].configuration.snapshot
        active_keys = [o for o in snapshot.objects.values() if _is_active(o)]
        if not active_keys:
            return
        key = active_keys[0].value
        withdrawn_key = Key(key.key_id, key.workspace, key.salt, key.digest, withdrawn=True)
        request = EditObject("key", key.key_id, active_keys[0].version, withdrawn_key, "musa")
        self.fleet.send_operator_request(name, request)

    def run(self):
        for _ in range(STEPS):
            self.random.choice(self.faults)()
            self.run_for(self.random.randint(50, MAX_STEP_MS))
        self.heal()
        self.start_store()
        self.fleet.loss = 0.0
        self.fleet.store.delay_ms = 2
        self.run_for(RECOVERY_MS)

    def run_for(self, duration_ms):
        for _ in range(duration_ms // 50 + 1):
            self.fleet.run(50)
            self.check()

    def check(self):
        self.collect_replies()
        for name, core in self.fleet.cores.items():
            if self.fleet.paused.get(name, 0) > self.fleet.now_ms:
                continue
            self.check_versions(name, core.configuration.snapshot)
            self.check_keys(name, core.configuration)

    def check_versions(self, name, snapshot):
        assert snapshot.revision >= self.revisions.get(name, 0)
        self.revisions[name] = snapshot.revision
        for object_id, stored_object in snapshot.objects.items():
            assert stored_object.version >= self.versions.get((name, object_id), 0)
            self.versions[name, object_id] = stored_object.version

    def check_keys(self, name, configuration):
        if not configuration.is_fresh(self.fleet.now_ms):
            return
        for key_id, at_ms in self.withdrawn_ms.items():
            if self.fleet.now_ms - at_ms <= MAX_WITHDRAWAL_MS:
                continue
            key = configuration.snapshot.find("key", key_id)
            if key is not None and not key.withdrawn:
                self.late_withdrawals.append((name, key_id, self.fleet.now_ms - at_ms))

    def collect_replies(self):
        for at_ms, _, reply in self.fleet.replies[self.collected_replies :]:
            if isinstance(reply, EditDone):
                stored = reply.stored
                self.accepted.setdefault(stored.object_id, []).append(stored)
                if stored.object_id.kind == "key":
                    self.withdrawn_ms[stored.object_id.name] = at_ms
        self.collected_replies = len(self.fleet.replies)


def _is_active(stored_object):
    return isinstance(stored_object.value, Key) and not stored_object.value.withdrawn


@pytest.fixture(scope="module")
def finished_runs():
    return {}


@pytest.fixture
def fault_run(make_fleet, sample_objects, finished_runs):
    def make(seed):
        if seed in finished_runs:
            return finished_runs[seed]
        fleet = make_fleet(9, seed=seed)
        for value in sample_objects:
            fleet.store.put(value, value.key_id if isinstance(value, Key) else value.name)
        fleet.run(2_500)
        run = FaultRun(fleet, seed)
        run.run()
        finished_runs[seed] = run
        return run

    return make


@pytest.mark.parametrize("seed", range(8))
def test_hosts_converge_on_the_stored_configuration_after_faults(fault_run, seed):
    run = fault_run(seed)
    snapshots = [core.configuration.snapshot for core in run.fleet.cores.values()]
    stored = {key: o.version for key, o in run.fleet.store.objects.items()}
    for snapshot in snapshots:
        held = {(i.kind, i.name): found.version for i, found in snapshot.objects.items()}
        assert held == stored
    assert not run.late_withdrawals


@pytest.mark.parametrize("seed", range(8))
def test_each_accepted_edit_gets_its_own_version(fault_run, seed):
    run = fault_run(seed)
    conflicts = [r for _, _, r in run.fleet.replies if isinstance(r, EditConflict)]
    assert all(conflict.current is not None for conflict in conflicts)
    for object_id, stored in run.accepted.items():
        versions = [stored_object.version for stored_object in stored]
        assert len(set(versions)) == len(versions)
        newest = run.fleet.store.objects[object_id.kind, object_id.name].version
        assert newest >= max(versions)
