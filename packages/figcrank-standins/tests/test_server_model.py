import pytest

from figcrank.protocol import (
    BeginWork,
    CommitWork,
    Fence,
    Follow,
    Lookup,
    Promote,
    ReadWork,
    RecordReply,
    ServerFailure,
    ServerFailureKind,
    Statement,
    StatementsWork,
    StatusReply,
    WorkDone,
    WorkFailed,
    WorkFailureKind,
    WriteWork,
)
from figcrank.standins import ServerFullError, ServerModel, form_group, replicate
from figcrank.state import ORIGIN, Position, ServerRole

NAMES = ("a", "b", "c")
CREATE = Statement("CREATE TABLE shifts (crew TEXT PRIMARY KEY, lane INTEGER)")
COUNT = Statement("SELECT count(*) FROM shifts")


def insert(crew, lane=1):
    return Statement("INSERT INTO shifts VALUES (%s, %s)", (crew, lane))


def write(server, request_id, *statements, term=None):
    pid = server.open_session()
    try:
        return server.run(pid, WriteWork(request_id, term or server.term, statements))
    finally:
        server.close_session(pid)


def read(server, statement=COUNT, **limits):
    pid = server.open_session()
    try:
        return server.run(pid, ReadWork((statement,), **limits))
    finally:
        server.close_session(pid)


def count(server):
    return read(server).results[0].rows[0][0]


@pytest.fixture
def group():
    models = tuple(ServerModel(name, NAMES) for name in NAMES)
    form_group(models)
    write(models[0], "create", CREATE)
    for replica in models[1:]:
        assert replicate(models[0], replica)
        replica.apply_all()
    return models


def test_first_server_begins_term_one(group):
    status = group[0].status()
    assert (status.role, status.term, status.term_start) == (ServerRole.PRIMARY, 1, 1)
    assert group[1].status().role is ServerRole.REPLICA


def test_write_reaches_replica_and_is_visible_once_applied(group):
    done = write(group[0], "r1", insert("north"))
    assert replicate(group[0], group[1])
    assert group[1].status().durable == done.position
    assert count(group[1]) == 0
    group[1].apply_all()
    assert count(group[1]) == 1


def test_read_below_minimum_position_is_refused(group):
    done = write(group[0], "r1", insert("north"))
    assert read(group[1], min_position=done.position).kind is WorkFailureKind.BEHIND


def test_read_for_primary_term_needs_the_primary(group):
    assert isinstance(read(group[0], primary_term=1), WorkDone)
    assert read(group[1], primary_term=1).kind is WorkFailureKind.STALE_TERM


def test_read_never_changes_data(group):
    assert read(group[0], insert("north")).sqlstate == "25006"
    assert count(group[0]) == 0


def test_write_needs_the_primary_of_the_term(group):
    assert write(group[0], "r1", insert("x"), term=2).kind is WorkFailureKind.STALE_TERM
    assert write(group[1], "r1", insert("x")).kind is WorkFailureKind.STALE_TERM


def test_only_one_fencer_gets_a_term(group):
    assert isinstance(group[0].request(Fence(2, "host-1")), StatusReply)
    assert isinstance(group[0].request(Fence(2, "host-1")), StatusReply)
    refused = group[0].request(Fence(2, "host-2"))
    assert refused.kind is ServerFailureKind.REFUSED
    assert group[0].request(Promote(2, "host-2")).kind is ServerFailureKind.REFUSED


def test_term_below_own_is_always_refused(group):
    group[0].request(Fence(3, "host-1"))
    for request in (Fence(2, "host-1"), Promote(2, "host-1"), Follow(2, "b"), Lookup("x", 2)):
        reply = group[0].request(request)
        assert isinstance(reply, ServerFailure)
        assert reply.kind is ServerFailureKind.STALE_TERM


def test_promotion_begins_the_term_with_an_entry(group):
    group[1].request(Fence(2, "host-1"))
    status = group[1].request(Promote(2, "host-1")).status
    assert status.durable == Position(2, status.term_start)
    assert group[1].request(Promote(2, "host-1")).status == status


def test_promoted_server_is_not_fenced_again_in_its_term(group):
    group[1].request(Fence(2, "host-1"))
    group[1].request(Promote(2, "host-1"))
    assert group[1].request(Fence(2, "host-1")).kind is ServerFailureKind.REFUSED
    assert group[1].request(Follow(2, "a")).kind is ServerFailureKind.REFUSED


def test_fresh_server_is_not_promoted_without_a_fence():
    server = ServerModel("a", NAMES)
    assert server.request(Promote(0, "")).kind is ServerFailureKind.REFUSED


def test_commit_after_fence_rolls_back(group):
    pid = group[0].open_session()
    group[0].run(pid, BeginWork(1))
    group[0].run(pid, StatementsWork((insert("north"),)))
    group[0].request(Fence(2, "host-1"))
    assert group[0].run(pid, CommitWork("r1")).kind is WorkFailureKind.STALE_TERM
    assert count(group[0]) == 0


def test_divergent_tail_is_dropped(group):
    write(group[0], "lost-1", insert("lost"))
    write(group[0], "lost-2", insert("lost too"))
    for server in group[1:]:
        server.request(Fence(2, "host-1"))
    group[1].request(Promote(2, "host-1"))
    write(group[1], "kept", insert("kept"))
    group[0].request(Follow(2, "b"))
    assert replicate(group[1], group[0])
    group[0].apply_all()
    crews = read(group[0], Statement("SELECT crew FROM shifts")).results[0].rows
    assert crews == (("kept",),)
    assert group[0].status().durable == group[1].status().durable


def test_replica_refuses_a_batch_of_an_older_term(group):
    batch = group[0].entries_after(1, ORIGIN)
    group[1].request(Follow(2, "c"))
    assert not group[1].accept(batch, 1)


def test_late_empty_batch_drops_nothing(group):
    late = group[0].entries_after(1, group[1].fetch_from())
    assert late.entries == ()
    done = write(group[0], "r1", insert("north"))
    replicate(group[0], group[1])
    group[1].accept(late, 1)
    assert group[1].holds(done.position)


def test_replaced_primary_gives_no_entries(group):
    group[0].request(Fence(2, "host-1"))
    assert group[0].entries_after(1, ORIGIN) is None


def test_request_commits_once(group):
    done = write(group[0], "r1", insert("north"))
    again = write(group[0], "r1", insert("south"))
    assert again.kind is WorkFailureKind.DUPLICATE
    assert count(group[0]) == 1
    found = group[0].request(Lookup("r1", 1))
    assert found == RecordReply(True, done.position, done.results)


def test_repeated_request_is_a_duplicate_though_its_statement_would_fail(group):
    write(group[0], "r1", insert("north"))
    assert write(group[0], "r1", insert("north")).kind is WorkFailureKind.DUPLICATE
    pid = group[0].open_session()
    group[0].run(pid, BeginWork(1))
    group[0].run(pid, StatementsWork((COUNT,)))
    write(group[0], "r2", insert("south"))
    assert group[0].run(pid, CommitWork("r2")).kind is WorkFailureKind.DUPLICATE


def test_record_survives_promotion(group):
    done = write(group[0], "r1", insert("north"))
    replicate(group[0], group[1])
    group[1].request(Fence(2, "host-1"))
    group[1].request(Promote(2, "host-1"))
    assert group[1].request(Lookup("r1", 2)) == RecordReply(True, done.position, done.results)
    assert write(group[1], "r1", insert("x")).kind is WorkFailureKind.DUPLICATE


def test_lookup_ends_the_session_first(group):
    pid = group[0].open_session()
    group[0].run(pid, BeginWork(1))
    assert not group[0].request(Lookup("r1", 1, pid)).found
    assert group[0].run(pid, CommitWork("r1")).kind is WorkFailureKind.LOST


def test_uncommitted_changes_are_private(group):
    first, second = group[0].open_session(), group[0].open_session()
    group[0].run(first, BeginWork(1))
    group[0].run(first, StatementsWork((insert("north"),)))
    assert group[0].run(first, StatementsWork((COUNT,))).results[0].rows == ((1,),)
    assert group[0].run(second, ReadWork((COUNT,))).results[0].rows == ((0,),)
    assert isinstance(group[0].run(first, CommitWork("r1")), WorkDone)
    assert count(group[0]) == 1


def test_transaction_fails_when_what_it_read_has_changed(group):
    pid = group[0].open_session()
    group[0].run(pid, BeginWork(1))
    group[0].run(pid, StatementsWork((COUNT,)))
    write(group[0], "r1", insert("north"))
    result = group[0].run(pid, CommitWork("r2"))
    assert isinstance(result, WorkFailed)
    assert result.sqlstate == "40001"


def test_failed_statement_rolls_the_whole_write_back(group):
    result = write(group[0], "r1", insert("north"), insert("north"))
    assert (result.kind, result.sqlstate) == (WorkFailureKind.SQL, "23505")
    assert count(group[0]) == 0
    assert not group[0].request(Lookup("r1", 1)).found


@pytest.mark.parametrize(
    "sql",
    ["COMMIT", "/* x */ ROLLBACK", "PRAGMA query_only = OFF", "DELETE FROM figcrank_requests"],
)
def test_statements_stay_inside_their_transaction(group, sql):
    assert write(group[0], "r1", Statement(sql)).sqlstate == "42501"


def test_connections_are_limited():
    server = ServerModel("a", NAMES, max_connections=1)
    pid = server.open_session()
    with pytest.raises(ServerFullError):
        server.open_session()
    server.close_session(pid)
    server.open_session()
