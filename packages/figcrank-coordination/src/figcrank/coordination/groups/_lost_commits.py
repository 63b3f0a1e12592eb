"""The outcome of a commit whose owner host was lost.

A commit stores a record under the transaction's id, and a record's key is unique. Storing a marker
under the same key therefore decides: either it is refused, because the commit came first, or it
stands, and the commit can't take effect any more.
"""

import msgspec

from figcrank.coordination.groups._open_transactions import transaction_lost
from figcrank.protocol import (
    Failure,
    OwnedAnswer,
    OwnedRequest,
    Statement,
    TransactionStep,
)
from figcrank.state import ORIGIN, Profile, ProfileMode

_MARKER_COLUMN = "figcrank_rolled_back"
_MARKER = Statement(f"SELECT 1 AS {_MARKER_COLUMN}")
_SETTLING = Profile("settling", ProfileMode.WRITE)


def commit_record(workspace: str, transaction: str) -> str:
    """Return the key of a transaction's commit record; each workspace has its own."""
    return f"{workspace}/{transaction}"


def settling_request(step: TransactionStep) -> OwnedRequest:
    """Return the request that settles the commit of ``step`` through any owner host."""
    return OwnedRequest(
        commit_record(step.workspace, step.transaction),
        step.workspace,
        step.key_id,
        step.group,
        _SETTLING,
        (_MARKER,),
        ORIGIN,
        True,
        step.timeout_ms,
        step.weight,
        step.traceparent,
        settles=True,
    )


def settled(answer: OwnedAnswer) -> OwnedAnswer | Failure:
    """Return what the caller of the commit is told.

    :param answer: answer to the settling request, with the results kept in the record that stands.
    """
    if any(result.columns == (_MARKER_COLUMN,) for result in answer.results):
        return lost_transaction()
    return msgspec.structs.replace(answer, results=(), replayed=False)


def lost_transaction() -> Failure:
    """Return the failure of a step whose transaction ended with its owner host."""
    return transaction_lost("Its owner host was lost.")
