"""Settles commits whose owner host was lost.

A commit stores a record under the transaction's id, and a record's key is unique. Storing a marker
under the same key therefore settles the outcome: the marker is refused if the commit has taken
effect; if the marker is stored, the commit can no longer take effect.
"""

import msgspec

from figcrank.coordination.groups._open_transactions import transaction_lost_failure
from figcrank.protocol import (
    Failure,
    OwnedAnswer,
    OwnedRequest,
    Statement,
    TransactionStep,
)
from figcrank.state import ORIGIN, Profile, ProfileMode

_MARKER_COLUMN = "figcrank_rolled_back"
_MARKER_STATEMENT = Statement(f"SELECT 1 AS {_MARKER_COLUMN}")
_SETTLING_PROFILE = Profile("settling", ProfileMode.WRITE)


def commit_record_key(workspace: str, transaction: str) -> str:
    """Return the key of a transaction's commit record, which is unique across workspaces."""
    return f"{workspace}/{transaction}"


def settling_request(step: TransactionStep) -> OwnedRequest:
    """Return a request that any owner host can run to settle the commit of ``step``."""
    return OwnedRequest(
        commit_record_key(step.workspace, step.transaction),
        step.workspace,
        step.key_id,
        step.group,
        _SETTLING_PROFILE,
        (_MARKER_STATEMENT,),
        ORIGIN,
        True,
        step.timeout_ms,
        step.weight,
        step.traceparent,
        settles=True,
    )


def settlement_outcome(answer: OwnedAnswer) -> OwnedAnswer | Failure:
    """Return the answer to the caller of the commit.

    :param answer: answer to the settling request, with the results of the stored record.
    """
    if any(result.columns == (_MARKER_COLUMN,) for result in answer.results):
        return owner_lost_failure()
    return msgspec.structs.replace(answer, results=(), replayed=False)


def owner_lost_failure() -> Failure:
    """Return the failure of a step whose transaction was lost with its owner host."""
    return transaction_lost_failure("Its owner host was lost.")
