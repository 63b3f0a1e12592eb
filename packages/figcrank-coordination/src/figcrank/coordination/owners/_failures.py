"""What a caller is told when the owner of its session is lost."""

from figcrank.protocol.sessions import Request, SessionFailure, TransactionState, Verb


def after_lost_owner(
    request: Request, state: TransactionState, may_write: bool, wrote: bool, sent: bool
) -> SessionFailure:
    """Return the failure to report for a request whose owner was lost before it replied.

    Servers roll back the transactions of a lost owner, so only a commit or a single write that was
    sent to the owner may have taken effect.

    :param state: transaction state of the session before the request.
    :param may_write: whether the request is a statement that may change data.
    :param wrote: whether an earlier statement of the open transaction may have changed data.
    :param sent: whether the request was sent to the owner.
    """
    if not sent:
        in_transaction = state is not TransactionState.IDLE
        return SessionFailure.ABORTED if in_transaction else SessionFailure.BUSY
    if request.verb is Verb.COMMIT and wrote:
        return SessionFailure.IN_DOUBT
    if state is TransactionState.IDLE and may_write:
        return SessionFailure.IN_DOUBT
    return SessionFailure.ABORTED
