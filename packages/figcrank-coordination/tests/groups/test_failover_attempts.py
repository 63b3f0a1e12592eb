"""Failover attempts of one host, with each server reply given by the test."""

import random

import pytest

from figcrank.coordination import CallServer, CoreSettings, ServerReplied
from figcrank.coordination._outbox import Outbox
from figcrank.coordination.groups._failover import Failover
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._reports import ReportExchange
from figcrank.protocol import (
    Fence,
    Follow,
    GroupReport,
    Promote,
    ServerFailure,
    ServerFailureKind,
    StatusReply,
)
from figcrank.standins.samples import group_of
from figcrank.state import Host, Position, ServerRole, ServerStatus

GROUP = group_of("roster", ("zone-1", "zone-2", "zone-3"), 5, 35)
HOSTS = tuple(Host(f"host-{n}", f"zone-{n}", f"g{n}", f"p{n}") for n in (1, 2, 3))
SETTINGS = CoreSettings("test", HOSTS[0], HOSTS, (GROUP,))
TIMED_OUT = ServerFailure(ServerFailureKind.TIMEOUT, "no reply")
FENCED_ELSEWHERE = ServerFailure(ServerFailureKind.REFUSED, "given to host-2")


class StaticPlacement:
    def probers(self, group):
        return HOSTS


def status(letter, role, term, durable, applied=None, fencer=""):
    held = Position(*durable)
    return ServerStatus(f"roster-{letter}", role, term, 0, held, applied or held, fencer)


def granted(letter, durable, applied=None):
    return StatusReply(status(letter, ServerRole.FENCED, 2, durable, applied, "host-1"))


class FailoverHarness:
    """Failover of host-1 for a group whose primary roster-a has stalled; host-2 agrees."""

    def __init__(self):
        self.outbox = Outbox()
        self.view = GroupView(SETTINGS, self.outbox, GROUP)
        reports = ReportExchange(SETTINGS, self.outbox, StaticPlacement(), GROUP, self.view)
        self.failover = Failover(
            SETTINGS,
            self.outbox,
            StaticPlacement(),
            GROUP,
            random.Random(1),
            self.view,
            reports,
            lambda paused: None,
            lambda: 0,
        )
        self.view.record(status("b", ServerRole.REPLICA, 1, (1, 5)), 0)
        self.view.record(status("c", ServerRole.REPLICA, 1, (1, 5)), 0)
        self.view.record(status("a", ServerRole.PRIMARY, 1, (1, 9)), 0)
        reports.record("host-2", GroupReport("roster", 1, "roster-a", (), 0, 500), 450)
        self.failover.tick(0, 500)

    def take_sent_calls(self, kind):
        sent_calls = [action for action in self.outbox.drain() if isinstance(action, CallServer)]
        return {call.server.name: call for call in sent_calls if isinstance(call.request, kind)}

    def reply(self, call, answer, now_ms):
        self.outbox.on_reply(ServerReplied(call.call_id, answer), now_ms)


def test_suspect_is_not_fenced_while_the_others_form_a_majority():
    assert set(FailoverHarness().take_sent_calls(Fence)) == {"roster-b", "roster-c"}


def test_suspect_is_fenced_when_the_others_form_no_majority():
    harness = FailoverHarness()
    fences = harness.take_sent_calls(Fence)
    harness.reply(fences["roster-b"], granted("b", (1, 5)), 503)
    harness.reply(fences["roster-c"], TIMED_OUT, 510)
    assert set(harness.take_sent_calls(Fence)) == {"roster-a"}


@pytest.mark.parametrize("refusal", [TIMED_OUT, FENCED_ELSEWHERE])
def test_no_server_is_promoted_without_a_fenced_majority(refusal):
    harness = FailoverHarness()
    fences = harness.take_sent_calls(Fence)
    harness.reply(fences["roster-b"], granted("b", (1, 5)), 503)
    harness.failover.tick(0, 550)
    assert not harness.take_sent_calls(Promote)
    harness.reply(fences["roster-c"], refusal, 560)
    harness.reply(harness.take_sent_calls(Fence)["roster-a"], refusal, 570)
    assert not harness.take_sent_calls(Promote)


def test_a_grant_to_another_host_does_not_count():
    harness = FailoverHarness()
    fences = harness.take_sent_calls(Fence)
    harness.reply(fences["roster-b"], granted("b", (1, 5)), 503)
    other = status("c", ServerRole.FENCED, 2, (1, 5), fencer="host-2")
    harness.reply(fences["roster-c"], StatusReply(other), 504)
    assert not harness.take_sent_calls(Promote)


def test_longest_durable_log_is_promoted_even_if_its_entries_are_not_applied():
    harness = FailoverHarness()
    fences = harness.take_sent_calls(Fence)
    harness.reply(fences["roster-b"], granted("b", (1, 7), Position(1, 2)), 503)
    harness.reply(fences["roster-c"], granted("c", (1, 6)), 504)
    assert set(harness.take_sent_calls(Promote)) == {"roster-b"}


def test_failed_attempt_is_retried_in_a_higher_term_after_backoff():
    harness = FailoverHarness()
    fences = harness.take_sent_calls(Fence)
    for name in ("roster-b", "roster-c"):
        harness.view.record(status(name[-1], ServerRole.FENCED, 2, (1, 5), fencer="host-2"), 502)
        harness.reply(fences[name], FENCED_ELSEWHERE, 503)
    harness.reply(harness.take_sent_calls(Fence)["roster-a"], FENCED_ELSEWHERE, 505)
    harness.failover.tick(0, 510)
    assert not harness.take_sent_calls(Fence)
    harness.failover.tick(0, 590)
    assert {call.request.term for call in harness.take_sent_calls(Fence).values()} == {3}


def test_other_servers_follow_the_promoted_one_at_once():
    harness = FailoverHarness()
    fences = harness.take_sent_calls(Fence)
    harness.reply(fences["roster-b"], granted("b", (1, 7)), 503)
    harness.reply(fences["roster-c"], granted("c", (1, 6)), 504)
    promoted = status("b", ServerRole.PRIMARY, 2, (2, 8), fencer="host-1")
    harness.reply(harness.take_sent_calls(Promote)["roster-b"], StatusReply(promoted), 506)
    follows = harness.take_sent_calls(Follow)
    assert {c.request for c in follows.values()} == {Follow(2, "roster-b")}
    assert set(follows) == {"roster-a", "roster-c"}
