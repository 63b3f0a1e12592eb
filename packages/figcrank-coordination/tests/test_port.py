import pytest

from figcrank.coordination import CallPlatform, PlatformReplied, RecordDecision
from figcrank.coordination._port import GRACE_MS, Port
from figcrank.protocol import HostList, ListHosts, PlatformFailed

TIMEOUT_MS = 100


@pytest.fixture
def port():
    return Port()


def start_platform_call(port, replies):
    port.call_platform(ListHosts(), TIMEOUT_MS, 0, lambda reply, now_ms: replies.append(reply))
    (action,) = port.drain()
    assert isinstance(action, CallPlatform)
    return action.call_id


def test_reply_reaches_its_caller_once(port):
    replies = []
    call_id = start_platform_call(port, replies)
    for _ in range(2):
        port.on_reply(PlatformReplied(call_id, HostList(())), 10)
    assert replies == [HostList(())]


def test_call_without_a_reply_fails_after_its_deadline(port):
    replies = []
    call_id = start_platform_call(port, replies)
    port.tick(TIMEOUT_MS + GRACE_MS - 1)
    assert not replies
    port.tick(TIMEOUT_MS + GRACE_MS)
    port.on_reply(PlatformReplied(call_id, HostList(())), TIMEOUT_MS + GRACE_MS + 1)
    assert replies == [PlatformFailed("timeout")]


@pytest.mark.parametrize("subject", ["", "workspace/demo", "demo", "asen"])
def test_decision_is_found_by_subject_name_and_input(port, subject):
    port.decide(5, "edit", "workspace/demo", "The edit was stored.", operator="asen")
    (recorded,) = port.drain()
    assert isinstance(recorded, RecordDecision)
    assert port.decisions(subject) == (recorded.decision,)


@pytest.mark.parametrize("subject", ["workspace", "dem", "boyana"])
def test_decision_is_not_found_by_a_part_of_a_name(port, subject):
    port.decide(5, "edit", "workspace/demo", "The edit was stored.", operator="asen")
    assert port.decisions(subject) == ()
