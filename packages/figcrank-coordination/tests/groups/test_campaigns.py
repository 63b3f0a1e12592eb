"""Campaigns of one host, reply by reply."""

import random

import pytest

from figcrank.coordination import CallServer, CoreSettings, ServerReplied
from figcrank.coordination._port import Port
from figcrank.coordination.groups._failover import Failover
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._reports import Reports
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
LOST = ServerFailure(ServerFailureKind.TIMEOUT, "late")
TAKEN = ServerFailure(ServerFailureKind.REFUSED, "given to host-2")


class Probers:
    def probers(self, group):
        return HOSTS


def status(letter, role, term, durable, applied=None, fencer=""):
    held = Position(*durable)
    return ServerStatus(f"roster-{letter}", role, term, 0, held, applied or held, fencer)


def granted(letter, durable, applied=None):
    return StatusReply(status(letter, ServerRole.FENCED, 2, durable, applied, "host-1"))


class Bench:
    """The coordinator of a group whose primary a has stalled, as host-2 agrees."""

    def __init__(self):
        self.port = Port()
        self.view = GroupView(SETTINGS, self.port, GROUP)
        reports = Reports(SETTINGS, self.port, Probers(), GROUP, self.view)
        self.failover = Failover(
            SETTINGS,
            self.port,
            Probers(),
            GROUP,
            random.Random(1),
            self.view,
            reports,
            lambda held: None,
            lambda: 0,
        )
        self.view.take(status("b", ServerRole.REPLICA, 1, (1, 5)), 0)
        self.view.take(status("c", ServerRole.REPLICA, 1, (1, 5)), 0)
        self.view.take(status("a", ServerRole.PRIMARY, 1, (1, 9)), 0)
        reports.take("host-2", GroupReport("roster", 1, "roster-a", (), 0, 500), 450)
        self.failover.tick(0, 500)

    def calls(self, kind):
        calls = [action for action in self.port.drain() if isinstance(action, CallServer)]
        return {call.server.name: call for call in calls if isinstance(call.request, kind)}

    def reply(self, call, answer, now_ms):
        self.port.on_reply(ServerReplied(call.call_id, answer), now_ms)


def test_the_suspect_is_not_asked_while_the_others_form_a_majority():
    assert set(Bench().calls(Fence)) == {"roster-b", "roster-c"}


def test_the_suspect_is_asked_when_the_others_form_none():
    bench = Bench()
    fences = bench.calls(Fence)
    bench.reply(fences["roster-b"], granted("b", (1, 5)), 503)
    bench.reply(fences["roster-c"], LOST, 510)
    assert set(bench.calls(Fence)) == {"roster-a"}


@pytest.mark.parametrize("refusal", [LOST, TAKEN])
def test_no_server_is_promoted_without_a_fenced_majority(refusal):
    bench = Bench()
    fences = bench.calls(Fence)
    bench.reply(fences["roster-b"], granted("b", (1, 5)), 503)
    bench.failover.tick(0, 550)
    assert not bench.calls(Promote)
    bench.reply(fences["roster-c"], refusal, 560)
    bench.reply(bench.calls(Fence)["roster-a"], refusal, 570)
    assert not bench.calls(Promote)


def test_a_grant_to_another_host_does_not_count():
    bench = Bench()
    fences = bench.calls(Fence)
    bench.reply(fences["roster-b"], granted("b", (1, 5)), 503)
    other = status("c", ServerRole.FENCED, 2, (1, 5), fencer="host-2")
    bench.reply(fences["roster-c"], StatusReply(other), 504)
    assert not bench.calls(Promote)


def test_the_longest_durable_log_is_promoted_whatever_it_has_applied():
    bench = Bench()
    fences = bench.calls(Fence)
    bench.reply(fences["roster-b"], granted("b", (1, 7), Position(1, 2)), 503)
    bench.reply(fences["roster-c"], granted("c", (1, 6)), 504)
    assert set(bench.calls(Promote)) == {"roster-b"}


def test_a_campaign_that_was_lost_is_followed_by_a_higher_term():
    bench = Bench()
    fences = bench.calls(Fence)
    for name in ("roster-b", "roster-c"):
        bench.view.take(status(name[-1], ServerRole.FENCED, 2, (1, 5), fencer="host-2"), 502)
        bench.reply(fences[name], TAKEN, 503)
    bench.reply(bench.calls(Fence)["roster-a"], TAKEN, 505)
    bench.failover.tick(0, 510)
    assert not bench.calls(Fence)
    bench.failover.tick(0, 590)
    assert {call.request.term for call in bench.calls(Fence).values()} == {3}


def test_the_others_follow_at_once():
    bench = Bench()
    fences = bench.calls(Fence)
    bench.reply(fences["roster-b"], granted("b", (1, 7)), 503)
    bench.reply(fences["roster-c"], granted("c", (1, 6)), 504)
    promoted = status("b", ServerRole.PRIMARY, 2, (2, 8), fencer="host-1")
    bench.reply(bench.calls(Promote)["roster-b"], StatusReply(promoted), 506)
    follows = bench.calls(Follow)
    assert {c.request for c in follows.values()} == {Follow(2, "roster-b")}
    assert set(follows) == {"roster-a", "roster-c"}
