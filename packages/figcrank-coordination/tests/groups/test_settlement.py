import pytest

from figcrank.coordination import CallServer, CoreSettings, ServerReplied
from figcrank.coordination._outbox import Outbox
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._majority import MajorityWait
from figcrank.coordination.groups._settlement import CommitAttempt, Settlement
from figcrank.protocol import Lookup, RecordReply, ServerFailure, ServerFailureKind
from figcrank.standins.samples import group_of
from figcrank.state import Host, Position, ServerRole, ServerStatus

GROUP = group_of("roster", ("zone-1", "zone-2", "zone-3"), 5, 35)
HOST = Host("host-1", "zone-1", "g", "p")
SETTINGS = CoreSettings("test", HOST, (HOST,), (GROUP,))
TIMED_OUT = ServerFailure(ServerFailureKind.TIMEOUT, "no reply")


def status(letter, role, term, durable, term_start=1):
    held = Position(*durable)
    return ServerStatus(f"roster-{letter}", role, term, term_start, held, held)


class SettlementHarness:
    """Settlement of an attempt that ran in term 1 on server a, with ``primary`` as the primary."""

    def __init__(self, primary):
        self.outbox = Outbox()
        self.view = GroupView(SETTINGS, self.outbox, GROUP)
        majority_wait = MajorityWait(SETTINGS, self.outbox, GROUP, self.view)
        self.settlement = Settlement(SETTINGS, self.outbox, GROUP, self.view, majority_wait)
        self.records = []
        self.view.record(primary, 0)
        attempt = CommitAttempt("id-1", "roster-a", 1, 77)
        self.settlement.settle(attempt, 5_000, 0, lambda *found: self.records.append(found))

    def lookups(self):
        calls = [a for a in self.outbox.drain() if isinstance(a, CallServer)]
        return [call for call in calls if isinstance(call.request, Lookup)]

    def reply(self, call, answer, now_ms=5):
        self.outbox.on_reply(ServerReplied(call.call_id, answer), now_ms)


@pytest.mark.parametrize(
    ("primary", "session_pid"),
    [
        (status("a", ServerRole.PRIMARY, 1, (1, 9)), 77),
        (status("b", ServerRole.PRIMARY, 2, (2, 9)), None),
    ],
)
def test_session_is_ended_only_on_the_server_that_ran_the_attempt(primary, session_pid):
    (call,) = SettlementHarness(primary).lookups()
    assert call.request == Lookup("id-1", primary.term, session_pid)


def test_record_missing_in_the_same_term_settles_the_attempt():
    harness = SettlementHarness(status("a", ServerRole.PRIMARY, 1, (1, 9)))
    (call,) = harness.lookups()
    harness.reply(call, RecordReply(found=False))
    assert len(harness.records) == 1


def test_record_missing_in_a_later_term_settles_once_a_majority_holds_that_term():
    harness = SettlementHarness(status("b", ServerRole.PRIMARY, 2, (2, 9), term_start=9))
    (call,) = harness.lookups()
    harness.reply(call, RecordReply(found=False))
    assert harness.records == []
    harness.view.record(status("c", ServerRole.REPLICA, 2, (1, 8)), 10)
    assert harness.records == []
    harness.view.record(status("c", ServerRole.REPLICA, 2, (2, 9)), 20)
    assert len(harness.records) == 1


def test_record_missing_in_an_ended_term_is_looked_up_again():
    harness = SettlementHarness(status("b", ServerRole.PRIMARY, 2, (2, 9), term_start=9))
    (call,) = harness.lookups()
    harness.reply(call, RecordReply(found=False))
    harness.view.record(status("a", ServerRole.PRIMARY, 3, (3, 10), term_start=10), 10)
    (again,) = harness.lookups()
    assert (again.server.name, again.request.term) == ("roster-a", 3)
    harness.reply(again, RecordReply(True, Position(1, 9)), 15)
    assert harness.records[0][0].position == Position(3, 10)


def test_failed_lookup_is_retried():
    harness = SettlementHarness(status("a", ServerRole.PRIMARY, 1, (1, 9)))
    (call,) = harness.lookups()
    harness.reply(call, TIMED_OUT)
    harness.settlement.tick(100)
    assert len(harness.lookups()) == 1
