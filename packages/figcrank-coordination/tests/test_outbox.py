import pytest

from figcrank.coordination import CallPlatform, PlatformReplied, RecordDecision
from figcrank.coordination._outbox import REPLY_GRACE_MS, Outbox
from figcrank.protocol import HostList, ListHosts, PlatformFailed

TIMEOUT_MS = 100


@pytest.fixture
def outbox():
    return Outbox()


def start_platform_call(outbox, replies):
    outbox.call_platform(ListHosts(), TIMEOUT_MS, 0, lambda reply, now_ms: replies.append(reply))
    (action,) = outbox.drain()
    assert isinstance(action, CallPlatform)
    return action.call_id


def test_reply_reaches_its_caller_once(outbox):
    replies = []
    call_id = start_platform_call(outbox, replies)
    for _ in range(2):
        outbox.on_reply(PlatformReplied(call_id, HostList(())), 10)
    assert replies == [HostList(())]


def test_call_without_a_reply_fails_after_its_deadline(outbox):
    replies = []
    call_id = start_platform_call(outbox, replies)
    outbox.tick(TIMEOUT_MS + REPLY_GRACE_MS - 1)
    assert not replies
    outbox.tick(TIMEOUT_MS + REPLY_GRACE_MS)
    outbox.on_reply(PlatformReplied(call_id, HostList(())), TIMEOUT_MS + REPLY_GRACE_MS + 1)
    assert replies == [PlatformFailed("timeout")]


@pytest.mark.parametrize("subject", ["", "workspace/demo", "demo", "asen"])
def test_decision_is_found_by_subject_name_and_input(outbox, subject):
    outbox.record_decision(5, "edit", "workspace/demo", "The edit was stored.", operator="asen")
    (recorded,) = outbox.drain()
    assert isinstance(recorded, RecordDecision)
    assert outbox.decisions(subject) == (recorded.decision,)


@pytest.mark.parametrize("subject", ["workspace", "dem", "boyana"])
def test_decision_is_not_found_by_a_part_of_a_name(outbox, subject):
    outbox.record_decision(5, "edit", "workspace/demo", "The edit was stored.", operator="asen")
    assert outbox.decisions(subject) == ()
