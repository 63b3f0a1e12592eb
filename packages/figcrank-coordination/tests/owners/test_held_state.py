"""A session moves to another owner only if it loses nothing and no request runs twice."""

import pytest

from figcrank.coordination.owners import HeldState
from figcrank.protocol.sessions import Request, TransactionState, Verb

IDLE = TransactionState.IDLE
WITHOUT_STATE = [Verb.READ, Verb.EXECUTE, Verb.DEALLOCATE, Verb.BEGIN, Verb.COMMIT, Verb.ROLLBACK]


def after(verb, may_write=False):
    held = HeldState()
    held.record(Request("id", verb, "text"), may_write)
    return held


def test_new_session_may_move():
    assert HeldState().may_move(IDLE, sent=False)


@pytest.mark.parametrize("verb", WITHOUT_STATE)
def test_session_that_left_nothing_at_its_owner_may_move(verb):
    assert after(verb).may_move(IDLE, sent=False)


@pytest.mark.parametrize("verb", [Verb.SET, Verb.PREPARE])
def test_session_with_a_value_or_a_prepared_statement_stays(verb):
    assert not after(verb).may_move(IDLE, sent=False)


@pytest.mark.parametrize("verb", [Verb.WRITE, Verb.EXECUTE])
def test_session_that_may_have_written_stays(verb):
    """Guards against a session that no longer reads its own writes."""
    assert not after(verb, may_write=True).may_move(IDLE, sent=False)


def test_state_is_held_for_good():
    """A relay can't tell whether removing a name or a rollback succeeded."""
    held = after(Verb.PREPARE)
    held.record(Request("id", Verb.DEALLOCATE, "text"), False)
    assert not held.may_move(IDLE, sent=False)


@pytest.mark.parametrize("state", [TransactionState.OPEN, TransactionState.FAILED])
def test_session_in_a_transaction_stays(state):
    assert not HeldState().may_move(state, sent=False)


def test_request_that_may_have_been_read_is_not_sent_to_another_owner():
    """Guards against a write that runs twice."""
    assert not HeldState().may_move(IDLE, sent=True)
