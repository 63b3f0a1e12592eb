"""What is learned from a server's reply, and where its connection goes afterwards."""

from figcrank.protocol.sessions import SessionFailure, StatementReply, TransactionState
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import ServerConnection
from figcrank.transport.streams._pool import ServerPool
from figcrank.transport.streams._router import Router


class ReplyObserver:
    """Passes what replies tell to the router and to the pools.

    :param router: server pools.
    :param clock: this host's clock.
    """

    def __init__(self, router: Router, clock: Clock) -> None:
        self._router = router
        self._clock = clock

    def observe(
        self, pool: ServerPool, connection: ServerConnection, reply: StatementReply
    ) -> None:
        """Record the service time, the health and the position that a reply tells."""
        if reply.failure in (None, SessionFailure.FAILED):
            pool.record_service(connection, self._clock.now_ms() - connection.sent_ms)
        self._router.observe_reply(pool, connection.sent_ms, reply)


def release_or_discard(pool: ServerPool, connection: ServerConnection) -> None:
    """Return a connection to its pool, or close it if a transaction is left open there."""
    if connection.state is TransactionState.IDLE:
        pool.release(connection)
    else:
        pool.discard(connection)
