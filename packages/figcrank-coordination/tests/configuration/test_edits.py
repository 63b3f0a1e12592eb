import random

import pytest

from figcrank.coordination import CallPlatform, CoreSettings, PlatformReplied
from figcrank.coordination._port import Port
from figcrank.coordination.configuration._edits import EDIT_DEADLINE_MS, SETTLE_INTERVAL_MS, Editor
from figcrank.coordination.store._platform import PlatformClient
from figcrank.protocol import (
    EditConflict,
    EditDone,
    EditObject,
    GetObject,
    ObjectList,
    OperatorFailure,
    Outcome,
    PlatformFailed,
    PutConflict,
    PutObject,
    StoredObject,
)
from figcrank.protocol.objects import stored_text
from figcrank.state import Workspace

VALUE = Workspace("crews", 5, 5)
FAILED = PlatformFailed("timeout")


class Desk:
    """An editor whose platform calls the test answers."""

    def __init__(self, host):
        self.port = Port()
        platform = PlatformClient(self.port, None, random.Random(1))
        settings = CoreSettings("fleet", host, (host,), ())
        self.replies = []
        self.stored = []
        self.editor = Editor(settings, platform, random.Random(1), self._on_stored)
        self.now_ms = 0

    def _on_stored(self, request, stored, now_ms):
        self.stored.append(stored)

    def submit(self, version):
        request = EditObject("workspace", "crews", version, VALUE, "ivana")
        self.editor.submit(request, self.now_ms, lambda reply, now_ms: self.replies.append(reply))
        return self.next_call()

    def next_call(self):
        (action,) = [a for a in self.port.drain() if isinstance(a, CallPlatform)]
        return action

    def answer(self, action, result):
        self.port.on_reply(PlatformReplied(action.call_id, result), self.now_ms)

    def wait(self, span_ms=SETTLE_INTERVAL_MS):
        self.now_ms += span_ms
        self.editor.tick(self.now_ms)


@pytest.fixture
def desk(new_host):
    return Desk(new_host(1))


def standing(version, operation_id="other"):
    return StoredObject("workspace", "crews", version, stored_text(VALUE), operation_id)


def test_conflict_shows_what_stands(desk):
    desk.answer(desk.submit(3), PutConflict(standing(4)))
    assert isinstance(desk.replies[0], EditConflict)
    assert desk.replies[0].current.version == 4


def test_conflict_with_itself_is_done(desk):
    put = desk.submit(3)
    desk.answer(put, PutConflict(standing(4, put.call.operation_id)))
    assert isinstance(desk.replies[0], EditDone)
    assert len(desk.stored) == 1


def test_other_edit_after_a_lost_answer_is_unknown(desk):
    desk.answer(desk.submit(3), FAILED)
    desk.wait()
    desk.answer(desk.next_call(), ObjectList(9, (standing(5),)))
    assert desk.replies[0].failure.outcome is Outcome.UNKNOWN
    assert not desk.stored


@pytest.mark.parametrize(
    ("version", "found", "expected"),
    [(3, (standing(3),), PutObject), (0, (), GetObject)],
)
def test_only_a_change_is_sent_again(desk, version, found, expected):
    put = desk.submit(version)
    desk.answer(put, FAILED)
    desk.wait()
    desk.answer(desk.next_call(), ObjectList(9, found))
    desk.wait()
    again = desk.next_call().call
    assert isinstance(again, expected)
    if expected is PutObject:
        assert again == put.call


def test_edit_is_given_up_at_its_deadline(desk):
    desk.submit(3)
    desk.wait(EDIT_DEADLINE_MS)
    assert desk.replies[0].failure.outcome is Outcome.UNKNOWN


def test_edit_that_was_never_sent_did_not_run(desk):
    for _ in range(4):
        desk.submit(3)
    request = EditObject("workspace", "crews", 3, VALUE, "ivana")
    desk.editor.submit(request, 0, lambda reply, now_ms: desk.replies.append(reply))
    (reply,) = desk.replies
    assert isinstance(reply, OperatorFailure)
    assert reply.failure.outcome is Outcome.NOT_RUN
