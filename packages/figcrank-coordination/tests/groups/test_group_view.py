import pytest

from figcrank.coordination import CallServer, CoreSettings, ServerReplied
from figcrank.coordination._outbox import Outbox
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._majority import MajorityWait
from figcrank.protocol import ServerFailure, ServerFailureKind, StatusReply
from figcrank.standins.samples import group_of
from figcrank.state import Host, Position, ServerRole, ServerStatus

ZONES = ("zone-1", "zone-2", "zone-3")
GROUP = group_of("roster", ZONES, 5, 35)
HOST = Host("host-1", "zone-1", "g", "p")
SETTINGS = CoreSettings("test", HOST, (HOST,), (GROUP,))
P, R, F = ServerRole.PRIMARY, ServerRole.REPLICA, ServerRole.FENCED
TIMED_OUT = ServerFailure(ServerFailureKind.TIMEOUT, "no reply")


def status(letter, role, term, durable, applied=None):
    held = Position(*durable)
    return ServerStatus(f"roster-{letter}", role, term, 1, held, applied or held)


def run_round(replies, now_ms=100):
    """Run one polling round in which the servers a, b and c return ``replies``."""
    outbox = Outbox()
    view = GroupView(SETTINGS, outbox, GROUP)
    view.tick(now_ms)
    calls = [action for action in outbox.drain() if isinstance(action, CallServer)]
    for call, reply in zip(calls, replies, strict=True):
        answer = StatusReply(reply) if isinstance(reply, ServerStatus) else reply
        outbox.on_reply(ServerReplied(call.call_id, answer), now_ms + 3)
    return view


@pytest.mark.parametrize(
    ("replies", "covering"),
    [
        ((status("a", P, 2, (2, 9)), status("b", R, 2, (2, 7)), status("c", R, 2, (2, 5))), (2, 7)),
        # A server that did not report is assumed to hold everything that the primary holds.
        ((status("a", P, 2, (2, 9)), status("b", R, 2, (2, 7)), TIMED_OUT), (2, 9)),
        ((status("a", P, 2, (2, 9)), TIMED_OUT, TIMED_OUT), None),
        ((TIMED_OUT, status("b", R, 2, (2, 7)), status("c", R, 2, (2, 5))), None),
        ((status("a", P, 2, (2, 9)), status("b", F, 3, (2, 7)), status("c", R, 3, (3, 8))), None),
        ((status("a", P, 2, (2, 9)), status("b", F, 3, (2, 7)), status("c", R, 2, (2, 8))), (2, 8)),
    ],
)
def test_covering_position_requires_a_majority_in_the_term_of_the_primary(replies, covering):
    view = run_round(replies)
    assert view.position_covering(100) == (Position(*covering) if covering else None)


def test_round_does_not_cover_times_after_its_start():
    view = run_round([status("a", P, 2, (2, 9)), status("b", R, 2, (2, 9)), TIMED_OUT])
    assert view.position_covering(101) is None


@pytest.mark.parametrize(
    ("replies", "primary"),
    [
        ((status("a", P, 1, (1, 9)), status("b", P, 2, (2, 9)), TIMED_OUT), "roster-b"),
        ((status("a", P, 1, (1, 9)), status("b", F, 2, (1, 9)), TIMED_OUT), "roster-a"),
        ((status("a", P, 1, (1, 9)), status("b", F, 2, (1, 9)), status("c", F, 2, (1, 9))), None),
    ],
)
def test_primary_has_the_highest_term_unless_a_majority_is_in_a_later_one(replies, primary):
    found = run_round(replies).primary()
    assert (found.server if found else None) == primary


@pytest.mark.parametrize(
    ("holder", "held"),
    [
        (status("b", R, 2, (2, 9)), True),
        (status("b", R, 2, (2, 8)), False),
        # A position of an earlier term does not cover one of this term, whatever its offset.
        (status("b", R, 2, (1, 20)), False),
        # A server fenced in a later term no longer counts towards a majority of the old term.
        (status("b", F, 3, (2, 9)), False),
    ],
)
def test_a_position_counts_only_where_it_is_held_in_its_own_term(holder, held):
    view = GroupView(SETTINGS, Outbox(), GROUP)
    majority_wait = MajorityWait(SETTINGS, Outbox(), GROUP, view)
    held_at = []
    majority_wait.wait("roster-a", Position(2, 9), 0, held_at.append, lambda at_ms: None)
    view.record(holder, 5)
    assert bool(held_at) is held


def test_a_wait_ends_when_a_later_term_begins():
    view = GroupView(SETTINGS, Outbox(), GROUP)
    majority_wait = MajorityWait(SETTINGS, Outbox(), GROUP, view)
    replaced = []
    majority_wait.wait("roster-a", Position(2, 9), 0, lambda at_ms: None, replaced.append)
    view.record(status("b", P, 3, (3, 10)), 5)
    assert replaced == [5]


def test_stall_is_measured_while_replicas_make_no_progress():
    view = GroupView(SETTINGS, Outbox(), GROUP)
    for letter in "bc":
        view.record(status(letter, R, 2, (2, 5)), 0)
    view.record(status("a", P, 2, (2, 5)), 0)
    assert view.stalled_ms(100) == 0
    view.record(status("a", P, 2, (2, 6)), 100)
    assert view.stalled_ms(300) == 200
    view.record(status("b", R, 2, (2, 6)), 300)
    assert view.stalled_ms(400) == 0
