"""State of open transactions and their pending steps, and the failures of steps."""

from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination.groups._pool import Connection
from figcrank.protocol import (
    Failure,
    FailureKind,
    OwnedAnswer,
    TransactionStep,
    WorkFailed,
    WorkFailureKind,
)

OnAnswer = Callable[[OwnedAnswer | Failure, int], None]


@dataclass(slots=True, eq=False)
class OpenTransaction:
    """An open transaction.

    :param transaction_id: the transaction's id.
    :param term: term of the primary that it runs on.
    :param pending_step: step that has not been answered yet, ``None`` between steps.
    """

    transaction_id: str
    workspace: str
    key_id: str
    connection: Connection
    term: int
    idle_since_ms: int
    pending_step: "PendingStep | None" = None
    ended: bool = False


@dataclass(slots=True, eq=False)
class PendingStep:
    """A step that has not been answered yet.

    :param request: the caller's request.
    :param commit_sent: whether a commit was sent and so may have taken effect.
    """

    request: TransactionStep
    deadline_ms: int
    on_answer: OnAnswer
    transaction: OpenTransaction | None = None
    commit_sent: bool = False
    answered: bool = False


def make_transaction_id(host: str, group: str, number: int) -> str:
    """Return a transaction's id, made of its owner host, group and a random number.

    The number is random, not sequential, because a restarted process has the same host name.
    """
    return f"{host}~{group}~{number:x}"


def owner_host_of(transaction: str) -> str:
    """Return the name of the owner host from a transaction's id."""
    return transaction.split("~")[0]


def group_of_transaction(transaction: str) -> str:
    """Return the name of the group from a transaction's id, empty if the id is malformed."""
    parts = transaction.split("~")
    return parts[1] if len(parts) == 3 else ""


def refusal_of(step: TransactionStep, transaction: OpenTransaction | None) -> Failure | None:
    """Return why a step of a transaction is refused, ``None`` if it is accepted."""
    if transaction is None:
        return unknown_transaction_failure()
    if transaction.workspace != step.workspace:
        message = "The transaction belongs to another workspace."
        return Failure.not_run(FailureKind.FOREIGN_WORKSPACE, message)
    if transaction.key_id != step.key_id:
        message = "The transaction was begun with another key."
        return Failure.not_run(FailureKind.BAD_KEY, message)
    if transaction.pending_step is not None:
        message = "The transaction's previous step is still running."
        return Failure.not_run(FailureKind.BAD_REQUEST, message)
    return None


def unknown_transaction_failure() -> Failure:
    """Return the failure of a step whose transaction is not open."""
    return Failure.not_run(FailureKind.UNKNOWN_TRANSACTION, "There is no such transaction.")


def step_failure(failed: WorkFailed) -> Failure:
    """Return the failure of a step whose work failed and rolled the transaction back."""
    if failed.kind is WorkFailureKind.SQL:
        message = f"{failed.message} The transaction is rolled back."
        return Failure.not_run(FailureKind.STATEMENT_FAILED, message)
    return transaction_lost_failure("Its connection or its primary was lost.")


def transaction_lost_failure(reason: str) -> Failure:
    """Return the failure of a step whose transaction was rolled back for ``reason``."""
    message = f"The transaction is rolled back. {reason}"
    return Failure.not_run(FailureKind.TRANSACTION_LOST, message)
