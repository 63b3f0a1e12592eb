import pytest

from figcrank.coordination import GossipReceived
from figcrank.protocol import (
    ConfigPush,
    EditConflict,
    EditDone,
    EditObject,
    FailureKind,
    OperatorFailure,
    Outcome,
)
from figcrank.state import (
    ConfigObject,
    Key,
    ObjectId,
    PresentedKey,
    Profile,
    ProfileMode,
    Route,
    Service,
    Workspace,
)

STALENESS_LIMIT_MS = 2_000
FIRST_KEY = PresentedKey("k1", "first")
SECOND_KEY = PresentedKey("k2", "second")


@pytest.fixture
def fleet(make_fleet, sample_objects):
    fleet = make_fleet(9)
    for value in sample_objects:
        fleet.store.put(value, value.key_id if isinstance(value, Key) else value.name)
    fleet.run(2_500)
    assert all(core.configuration.is_fresh(fleet.now_ms) for core in fleet.cores.values())
    return fleet


def accepts_key(fleet, name, presented=FIRST_KEY):
    configuration = fleet.cores[name].configuration
    if not configuration.is_fresh(fleet.now_ms):
        return False
    return isinstance(configuration.authenticate(presented), Key)


def hosts_accepting_key(fleet, presented=FIRST_KEY):
    return [name for name in fleet.cores if accepts_key(fleet, name, presented)]


def edit_of(value, name, version, kind=None):
    return EditObject(kind or type(value).__name__.lower(), name, version, value, "ivana")


def withdrawal(fleet):
    stored = fleet.store.objects["key", "k1"]
    key = Key.from_secret("k1", "crews", "salt", "first")
    changed = Key(key.key_id, key.workspace, key.salt, key.digest, withdrawn=True)
    return edit_of(changed, "k1", stored.version)


def submit_edit(fleet, name, request, wait_ms=8_000):
    before = len(fleet.replies)
    fleet.send_operator_request(name, request)
    fleet.run(wait_ms, until=lambda: len(fleet.replies) > before)
    return fleet.replies[-1][2]


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_every_host_rejects_withdrawn_key_in_time(fleet, loss):
    fleet.loss = loss
    stopped = {}
    for name, core in fleet.cores.items():
        core.configuration.add_withdrawal_listener(
            lambda key, at, n=name: stopped.setdefault(n, key)
        )
    assert isinstance(submit_edit(fleet, "cell-1-host-5", withdrawal(fleet)), EditDone)
    assert fleet.run(STALENESS_LIMIT_MS, until=lambda: not hosts_accepting_key(fleet))
    assert stopped == dict.fromkeys(fleet.cores, "k1")
    assert len(hosts_accepting_key(fleet, SECOND_KEY)) == 9


def test_isolated_host_rejects_withdrawn_key_in_time(fleet):
    fleet.is_cut = lambda a, b: "cell-1-host-2" in (a, b)
    fleet.cut_from_store = {"cell-1-host-2"}
    assert isinstance(submit_edit(fleet, "cell-1-host-5", withdrawal(fleet)), EditDone)
    assert fleet.run(STALENESS_LIMIT_MS, until=lambda: not hosts_accepting_key(fleet))


def test_minority_side_after_an_outage_rejects_withdrawn_key_in_time(fleet):
    minority = {"cell-1-host-1", "cell-1-host-2", "cell-1-host-3"}
    fleet.store.up = False
    fleet.run(5_000)
    assert len(hosts_accepting_key(fleet)) == 9
    fleet.is_cut = lambda a, b: (a in minority) != (b in minority)
    fleet.cut_from_store = minority
    fleet.store.up = True
    fleet.run(400)
    reply = submit_edit(fleet, "cell-1-host-5", withdrawal(fleet))
    assert isinstance(reply, EditDone)
    assert fleet.run(STALENESS_LIMIT_MS, until=lambda: not hosts_accepting_key(fleet))


def test_paused_host_does_not_serve_on_a_stale_configuration(fleet):
    fleet.paused["cell-1-host-2"] = fleet.now_ms + 4_000
    submit_edit(fleet, "cell-1-host-5", withdrawal(fleet))
    fleet.run(4_000, until=lambda: fleet.now_ms >= fleet.paused["cell-1-host-2"])
    assert not accepts_key(fleet, "cell-1-host-2")


@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_platform_outage_alone_does_not_stop_hosts(fleet, is_silent, loss):
    fleet.loss = loss
    fleet.store.is_silent = is_silent
    fleet.store.up = False
    refused = 0
    for _ in range(200):
        fleet.run(50)
        refused += 9 - len(hosts_accepting_key(fleet))
    assert refused == 0
    fleet.store.up = True
    assert isinstance(submit_edit(fleet, "cell-1-host-4", withdrawal(fleet)), EditDone)


def test_slow_platform_does_not_stop_hosts(fleet):
    fleet.store.delay_ms = 400
    for _ in range(200):
        fleet.run(50)
        assert len(hosts_accepting_key(fleet)) == 9
    assert isinstance(submit_edit(fleet, "cell-1-host-4", withdrawal(fleet)), EditDone)
    assert fleet.run(STALENESS_LIMIT_MS, until=lambda: not hosts_accepting_key(fleet))


def test_platform_outage_with_a_killed_host_does_not_stop_hosts(fleet):
    fleet.store.up = False
    fleet.run(2_000)
    fleet.kill("cell-1-host-3")
    for _ in range(100):
        fleet.run(50)
        assert len(hosts_accepting_key(fleet)) == 8


def test_host_on_the_minority_side_accepts_no_edit(fleet):
    minority = {"cell-1-host-1", "cell-1-host-2", "cell-1-host-3"}
    fleet.is_cut = lambda a, b: (a in minority) != (b in minority)
    fleet.run(STALENESS_LIMIT_MS)
    reply = submit_edit(fleet, "cell-1-host-1", withdrawal(fleet))
    assert reply.failure.kind is FailureKind.STALE_CONFIG
    assert reply.failure.outcome is Outcome.NOT_RUN


def test_host_starts_from_peers_while_the_platform_is_down(fleet, new_host):
    fleet.store.up = False
    fleet.run(3_000)
    fleet.add(new_host(10))
    assert fleet.run(3_000, until=lambda: accepts_key(fleet, "cell-1-host-10"))


def test_peers_without_a_configuration_do_not_make_a_host_fresh(make_fleet):
    fleet = make_fleet(3)
    fleet.store.up = False
    fleet.run(5_000)
    assert not any(core.configuration.is_fresh(fleet.now_ms) for core in fleet.cores.values())


def test_few_hosts_call_the_platform(fleet):
    fleet.store.calls = 0
    fleet.run(10_000)
    assert fleet.store.calls <= 10 * 10


def test_calls_do_not_pile_up_while_the_platform_is_down(fleet):
    fleet.store.up = False
    fleet.run(10_000)
    fleet.store.calls = 0
    fleet.run(20_000)
    assert fleet.store.calls <= 10 * 20


def test_second_of_two_operators_gets_the_stored_object(fleet):
    version = fleet.store.objects["workspace", "crews"].version
    first = submit_edit(
        fleet, "cell-1-host-1", edit_of(Workspace("crews", 200, 50), "crews", version)
    )
    second = submit_edit(
        fleet, "cell-1-host-9", edit_of(Workspace("crews", 300, 50), "crews", version)
    )
    assert isinstance(first, EditDone)
    assert isinstance(second, EditConflict)
    assert second.current == first.stored


def test_lost_reply_is_resolved_by_the_operation_id(fleet):
    fleet.store.lose_put_answers = 1
    assert isinstance(submit_edit(fleet, "cell-1-host-1", withdrawal(fleet)), EditDone)


def test_edit_without_a_reply_has_an_unknown_outcome(fleet):
    fleet.store.up = False
    reply = submit_edit(fleet, "cell-1-host-1", withdrawal(fleet))
    assert reply.failure.kind is FailureKind.PLATFORM_UNAVAILABLE
    assert reply.failure.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("value", "name"),
    [
        (Workspace("crews", 0, 5), "crews"),
        (Workspace("crews", 5, 0), "crews"),
        (Workspace("crews", 5, 5), "other"),
        (Key.from_secret("k3", "nobody", "salt", "x"), "k3"),
        (Key("k_3", "crews", "salt", "0" * 64), "k_3"),
        (Key("k3", "crews", "", "0" * 64), "k3"),
        (Profile("late", ProfileMode.BOUNDED), "late"),
        (Profile("late", ProfileMode.FRESH, 5), "late"),
        (Service("roster", "no-such-group"), "roster"),
        (Route("closures", "roster", "late", "crews", "select 1"), "closures"),
    ],
)
def test_invalid_edit_is_refused(fleet, value, name):
    reply = submit_edit(fleet, "cell-1-host-1", edit_of(value, name, 0))
    assert isinstance(reply, OperatorFailure)
    assert reply.failure.kind is FailureKind.BAD_REQUEST


def test_withdrawn_key_cannot_be_restored(fleet):
    submit_edit(fleet, "cell-1-host-1", withdrawal(fleet))
    version = fleet.store.objects["key", "k1"].version
    again = edit_of(Key.from_secret("k1", "crews", "salt", "first"), "k1", version)
    assert submit_edit(fleet, "cell-1-host-1", again).failure.kind is FailureKind.BAD_REQUEST


def test_workspace_with_keys_is_not_deleted(fleet):
    version = fleet.store.objects["workspace", "crews"].version
    reply = submit_edit(fleet, "cell-1-host-1", edit_of(None, "crews", version, kind="workspace"))
    assert reply.failure.kind is FailureKind.BAD_REQUEST


def test_editing_host_knows_at_once_which_hosts_have_the_change(fleet):
    editor = fleet.cores["cell-1-host-5"].configuration
    version = submit_edit(fleet, "cell-1-host-5", withdrawal(fleet)).stored.version
    assert fleet.run(
        50, until=lambda: all(editor.revision_of(name) >= version for name in fleet.cores)
    )


def test_change_reaches_other_cells(make_fleet, new_host):
    fleet = make_fleet(0)
    fleet.seeds = tuple(new_host(n, cell=f"cell-{c}") for c in (1, 2) for n in (1, 2, 3))
    for host in fleet.seeds:
        fleet.add(host)
    fleet.run(3_000)
    fleet.cut_from_store = {name for name in fleet.cores if name.startswith("cell-2")}
    fleet.store.put(Workspace("crews", 5, 5), "crews")
    assert fleet.run(
        STALENESS_LIMIT_MS,
        until=lambda: all(c.configuration.workspace("crews") for c in fleet.cores.values()),
    )


def test_edit_survives_the_loss_of_the_editing_host(fleet):
    fleet.loss = 0.4
    request = withdrawal(fleet)
    assert isinstance(submit_edit(fleet, "cell-1-host-5", request), EditDone)
    fleet.kill("cell-1-host-5")
    assert fleet.run(STALENESS_LIMIT_MS, until=lambda: not hosts_accepting_key(fleet))


def test_large_change_reaches_every_host(fleet):
    for number in range(100):
        fleet.store.put(Workspace(f"w{number}", 100, 50), f"w{number}")
    fleet.run(STALENESS_LIMIT_MS)
    for core in fleet.cores.values():
        assert len(core.configuration.snapshot.of_kind("workspace")) == 101
    pushes = [action.message for action in fleet.sent if isinstance(action.message, ConfigPush)]
    assert max(len(fleet.codec.encode("host", push)) for push in pushes) <= 1_500


@pytest.mark.parametrize(
    "push",
    [
        ConfigPush(0, 2**60, ()),
        ConfigPush(9, 4, ()),
        ConfigPush(-1, 4, ()),
        ConfigPush(3, 3, (ConfigObject(ObjectId("key", "k1"), 2**60, None),)),
        ConfigPush(3, 3, (ConfigObject(ObjectId("key", "k1"), 1, None),)),
        ConfigPush(3, 3, (ConfigObject(ObjectId("lease", "x"), 4, None),)),
    ],
)
def test_implausible_or_replayed_push_is_ignored(fleet, push):
    before = fleet.cores["cell-1-host-1"].configuration.snapshot
    fleet.send("cell-1-host-1", GossipReceived("cell-1-host-2", push))
    assert fleet.cores["cell-1-host-1"].configuration.snapshot == before


def test_push_after_a_gap_does_not_advance_the_revision(fleet):
    core = fleet.cores["cell-1-host-1"]
    own = core.configuration.snapshot.revision
    late = ConfigObject(ObjectId("workspace", "late"), own + 5, Workspace("late", 1, 1))
    push = ConfigPush(own + 4, own + 5, (late,))
    fleet.send("cell-1-host-1", GossipReceived("cell-1-host-2", push))
    assert core.configuration.snapshot.revision == own
    assert core.configuration.workspace("late") is not None


def test_replayed_message_makes_no_host_fresh(fleet):
    fleet.is_cut = lambda a, b: "cell-1-host-2" in (a, b)
    fleet.cut_from_store = {"cell-1-host-2"}
    recorded = [s.message for s in fleet.sent if s.address == "10.0.1.2:1"][-200:]
    for number in range(STALENESS_LIMIT_MS // 10):
        fleet.run(10)
        message = recorded[number % len(recorded)]
        fleet.send("cell-1-host-2", GossipReceived("cell-1-host-3", message))
    assert not accepts_key(fleet, "cell-1-host-2")
