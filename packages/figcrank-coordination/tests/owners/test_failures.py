"""A promise that nothing ran is given only for requests whose effect can't exist."""

import pytest

from figcrank.coordination.owners import after_lost_owner
from figcrank.protocol.sessions import Request, SessionFailure, TransactionState, Verb

IDLE, OPEN = TransactionState.IDLE, TransactionState.OPEN
ABORTED, BUSY = SessionFailure.ABORTED, SessionFailure.BUSY
IN_DOUBT = SessionFailure.IN_DOUBT


@pytest.mark.parametrize(
    ("verb", "state", "may_write", "wrote", "sent", "failure"),
    [
        (Verb.WRITE, IDLE, True, False, True, IN_DOUBT),
        (Verb.EXECUTE, IDLE, True, False, True, IN_DOUBT),
        (Verb.COMMIT, OPEN, False, True, True, IN_DOUBT),
        (Verb.COMMIT, OPEN, False, False, True, ABORTED),
        (Verb.WRITE, OPEN, True, False, True, ABORTED),
        (Verb.READ, OPEN, False, True, True, ABORTED),
        (Verb.READ, IDLE, False, False, True, ABORTED),
        (Verb.EXECUTE, IDLE, False, False, True, ABORTED),
        (Verb.WRITE, IDLE, True, False, False, BUSY),
        (Verb.COMMIT, OPEN, False, True, False, ABORTED),
    ],
)
def test_failure_of_a_request_whose_owner_was_lost(verb, state, may_write, wrote, sent, failure):
    request = Request("id", verb, "text")
    assert after_lost_owner(request, state, may_write, wrote, sent) is failure
