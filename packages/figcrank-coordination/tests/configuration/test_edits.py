import random

import pytest

from figcrank.coordination import CallPlatform, CoreSettings, PlatformReplied
from figcrank.coordination._outbox import Outbox
from figcrank.coordination.configuration._edits import EDIT_DEADLINE_MS, RETRY_INTERVAL_MS, Editor
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
from figcrank.protocol.objects import encode_config_value
from figcrank.state import Workspace

VALUE = Workspace("crews", 5, 5)
FAILED = PlatformFailed("timeout")


class EditorHarness:
    """An editor with a platform client whose calls the test answers."""

    def __init__(self, host):
        self.outbox = Outbox()
        platform = PlatformClient(self.outbox, None, random.Random(1))
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
        (action,) = [a for a in self.outbox.drain() if isinstance(a, CallPlatform)]
        return action

    def answer(self, action, result):
        self.outbox.on_reply(PlatformReplied(action.call_id, result), self.now_ms)

    def advance(self, span_ms=RETRY_INTERVAL_MS):
        self.now_ms += span_ms
        self.editor.tick(self.now_ms)


@pytest.fixture
def harness(new_host):
    return EditorHarness(new_host(1))


def stored_object(version, operation_id="other"):
    return StoredObject("workspace", "crews", version, encode_config_value(VALUE), operation_id)


def test_conflict_returns_the_stored_object(harness):
    harness.answer(harness.submit(3), PutConflict(stored_object(4)))
    assert isinstance(harness.replies[0], EditConflict)
    assert harness.replies[0].current.version == 4


def test_conflict_with_the_same_operation_is_a_success(harness):
    put = harness.submit(3)
    harness.answer(put, PutConflict(stored_object(4, put.call.operation_id)))
    assert isinstance(harness.replies[0], EditDone)
    assert len(harness.stored) == 1


def test_other_edit_after_a_lost_reply_has_an_unknown_outcome(harness):
    harness.answer(harness.submit(3), FAILED)
    harness.advance()
    harness.answer(harness.next_call(), ObjectList(9, (stored_object(5),)))
    assert harness.replies[0].failure.outcome is Outcome.UNKNOWN
    assert not harness.stored


@pytest.mark.parametrize(
    ("version", "found", "expected"),
    [(3, (stored_object(3),), PutObject), (0, (), GetObject)],
)
def test_only_an_update_is_sent_again(harness, version, found, expected):
    put = harness.submit(version)
    harness.answer(put, FAILED)
    harness.advance()
    harness.answer(harness.next_call(), ObjectList(9, found))
    harness.advance()
    again = harness.next_call().call
    assert isinstance(again, expected)
    if expected is PutObject:
        assert again == put.call


def test_edit_fails_at_its_deadline(harness):
    harness.submit(3)
    harness.advance(EDIT_DEADLINE_MS)
    assert harness.replies[0].failure.outcome is Outcome.UNKNOWN


def test_edit_that_was_never_sent_did_not_run(harness):
    for _ in range(4):
        harness.submit(3)
    request = EditObject("workspace", "crews", 3, VALUE, "ivana")
    harness.editor.submit(request, 0, lambda reply, now_ms: harness.replies.append(reply))
    (reply,) = harness.replies
    assert isinstance(reply, OperatorFailure)
    assert reply.failure.outcome is Outcome.NOT_RUN
