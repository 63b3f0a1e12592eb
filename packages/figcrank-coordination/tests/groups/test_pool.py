import pytest

from figcrank.coordination import (
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    CoreSettings,
    OpenConnection,
    StartWork,
    WorkFinished,
)
from figcrank.coordination._outbox import REPLY_GRACE_MS, Outbox
from figcrank.coordination.groups._pool import ConnectionPool, Share
from figcrank.protocol import ReadWork, WorkDone, WorkFailed, WriteWork
from figcrank.standins.samples import group_of
from figcrank.state import ORIGIN, Host

HOSTS = tuple(Host(f"host-{n}", f"zone-{n}", f"g{n}", f"p{n}") for n in range(1, 10))
GROUP = group_of("roster", ("zone-1", "zone-2", "zone-3"), 5, 35)
SERVER = "roster-a"
SETTINGS = CoreSettings("test", HOSTS[0], HOSTS, (GROUP,))
DONE = WorkDone((), ORIGIN)
WRITE = WriteWork("id-1", 1, ())


@pytest.fixture
def outbox():
    return Outbox()


@pytest.fixture
def pool(outbox):
    """A pool in which the share of the owner with rank 0 is in effect."""
    pool = ConnectionPool(SETTINGS, outbox, GROUP)
    pool.tick(0, 0)
    pool.tick(0, SETTINGS.timings.suspicion_ms)
    return pool


def open_all(outbox, pool, now_ms=1_000):
    """Open every requested connection; return the ids of those to :data:`SERVER`."""
    opening = [a for a in outbox.drain() if isinstance(a, OpenConnection)]
    for action in opening:
        assert pool.on_opened(ConnectionOpened(action.connection_id, 7), now_ms)
    return [a.connection_id for a in opening if a.server.name == SERVER]


def start_work(outbox, pool, work, now_ms, results, timeout_ms=100):
    assert pool.can_start(SERVER, now_ms)
    connection = pool.acquire(SERVER)
    pool.run(connection, work, timeout_ms, "", now_ms, lambda r, at_ms: results.append(r))
    started = [a for a in outbox.drain() if isinstance(a, StartWork)]
    return started[-1]


@pytest.mark.parametrize("owners", [1, 2, 3])
@pytest.mark.parametrize(("slots", "connections"), [(3, 35), (5, 35), (3, 40), (5, 40)])
def test_shares_of_owners_and_a_predecessor_stay_within_the_limits(owners, slots, connections):
    group = group_of("roster", ("a", "b", "c"), slots, connections)
    settings = CoreSettings("test", HOSTS[0], HOSTS, (group,), owners_per_group=owners)
    shares = [Share.from_rank(settings, group, rank) for rank in range(owners)]
    assert sum(share.slots for share in shares) == slots
    control = 3 * (owners + 2)
    predecessor = max(share.connections for share in shares)
    assert sum(share.connections for share in shares) + predecessor + control <= connections


def test_a_new_owner_waits_before_it_uses_its_share(outbox):
    pool = ConnectionPool(SETTINGS, outbox, GROUP)
    pool.tick(1, 0)
    pool.tick(1, SETTINGS.timings.suspicion_ms - 1)
    assert pool.share.slots == 0
    pool.tick(1, SETTINGS.timings.suspicion_ms)
    assert pool.share.slots == 2


def test_smaller_share_takes_effect_at_once(pool):
    pool.tick(1, 1_000)
    assert pool.share.slots == 2


def test_no_more_work_starts_than_slots(outbox, pool):
    open_all(outbox, pool)
    for _ in range(pool.share.slots):
        start_work(outbox, pool, WRITE, 1_000, [])
    assert not pool.can_start(SERVER, 1_000)


def test_spare_connection_is_kept_open_to_every_server(outbox, pool):
    per_server = [a.server.name for a in outbox.drain() if isinstance(a, OpenConnection)]
    assert {per_server.count(s.name) for s in GROUP.servers} == {pool.share.slots + 1}


@pytest.mark.parametrize(("work", "commit_sent"), [(WRITE, True), (ReadWork(()), False)])
def test_unresponsive_connection_is_closed_and_its_work_lost(outbox, pool, work, commit_sent):
    open_all(outbox, pool)
    results = []
    action = start_work(outbox, pool, work, 2_000, results, timeout_ms=100)
    pool.tick(0, 2_100 + REPLY_GRACE_MS)
    assert isinstance(results[0], WorkFailed)
    assert results[0].commit_sent is commit_sent
    assert CloseConnection(action.connection_id) in outbox.drain()


def test_a_late_result_is_dropped(outbox, pool):
    open_all(outbox, pool)
    results = []
    action = start_work(outbox, pool, WRITE, 2_000, results, timeout_ms=100)
    pool.tick(0, 2_100 + REPLY_GRACE_MS)
    pool.on_finished(WorkFinished(action.connection_id, action.work_id, DONE), 2_300)
    assert len(results) == 1


def test_a_result_of_earlier_work_on_a_connection_is_dropped(outbox, pool):
    open_all(outbox, pool)
    results = []
    action = start_work(outbox, pool, WRITE, 2_000, results)
    pool.on_finished(WorkFinished(action.connection_id, action.work_id - 1, DONE), 2_010)
    assert results == []
    pool.on_finished(WorkFinished(action.connection_id, action.work_id, DONE), 2_020)
    assert results == [DONE]


def test_idle_connections_opened_before_the_lost_work_are_closed(outbox, pool):
    ids = open_all(outbox, pool)
    start_work(outbox, pool, WRITE, 2_000, [], timeout_ms=100)
    pool.tick(0, 2_100 + REPLY_GRACE_MS)
    closed = {a.connection_id for a in outbox.drain() if isinstance(a, CloseConnection)}
    assert closed == set(ids)


def test_events_of_other_groups_are_ignored(pool):
    assert not pool.on_opened(ConnectionOpened(999, 1), 0)
    assert not pool.on_failed(ConnectionFailed(999), 0)
    assert not pool.on_finished(WorkFinished(999, 1, DONE), 0)


def test_server_at_its_connection_limit_is_not_reconnected_at_once(outbox, pool):
    opening = [
        a for a in outbox.drain() if isinstance(a, OpenConnection) and a.server.name == SERVER
    ]
    for action in opening:
        pool.on_failed(ConnectionFailed(action.connection_id, at_connection_limit=True), 1_000)
    pool.tick(0, 1_100)
    assert not [a for a in outbox.drain() if isinstance(a, OpenConnection)]
