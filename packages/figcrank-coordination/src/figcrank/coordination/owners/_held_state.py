"""What a relayed session holds at its owner, and when it may go on at another one."""

from figcrank.protocol.sessions import Request, TransactionState, Verb


class HeldState:
    """What a session holds at its owner, as far as its relay can tell.

    Callers don't notice that a session without such state goes on at another owner. A relay does
    not decode replies: a request that failed at the owner counts like one that succeeded.
    """

    def __init__(self) -> None:
        self._holds_any = False

    def record(self, request: Request, may_write: bool) -> None:
        """Record a request that the owner has answered.

        :param may_write: whether it is a statement that may change data. Only the owner knows its
            position, which later reads of the session must have reached.
        """
        if may_write or request.verb in (Verb.SET, Verb.PREPARE):
            self._holds_any = True

    def may_move(self, state: TransactionState, sent: bool) -> bool:
        """Return whether the session may go on at another owner once the connection is lost.

        :param state: transaction state of the session.
        :param sent: whether the owner may have read a request that it has not answered; another
            owner would run it a second time.
        """
        return state is TransactionState.IDLE and not sent and not self._holds_any
