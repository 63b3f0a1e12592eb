"""Questions of this host's own to backend servers: what they are, and the order to step down."""

from figcrank.protocol.sessions import ServerCodec, ServerReport
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._pool import split_address
from figcrank.transport.streams._router import Router

STATUS_MS = 250  # a status answer takes a round trip and a free slot


class ServerQuestions:
    """Asks servers.

    :param host: name of this host, which servers are told.
    :param router: learns of servers whose process is gone.
    :param codec: the servers' wire format.
    :param clock: this host's clock.
    """

    def __init__(self, host: str, router: Router, codec: ServerCodec, clock: Clock) -> None:
        self._host = host
        self._router = router
        self._codec = codec
        self._clock = clock

    def demote(self, entry: ServerEntry, term: int) -> ServerReport | None:
        """Make a primary of a term below ``term`` a replica, and return what it says then."""
        return self._ask(entry, self._codec.demote(term))

    def status(self, entry: ServerEntry) -> ServerReport | None:
        """Return what a server says of itself, ``None`` if it does not answer."""
        return self._ask(entry, self._codec.status())

    def _ask(self, entry: ServerEntry, text: str) -> ServerReport | None:
        """Send a statement of this host's own on a connection that is closed afterwards."""
        hello = self._codec.start(entry.group, self._host, entry.server_id)
        try:
            connection, _ = ServerConnection.open(
                split_address(entry.address), self._codec, hello, self._host, self._clock
            )
        except OpenError as error:
            pool = self._router.pool(entry.server_id)
            if pool is not None and error.refused:
                pool.health.failed(self._clock.now_ms(), refused=True)
            return None
        try:
            reply = connection.ask(self._codec.query(self._codec.OWN_ID, text), STATUS_MS)
        finally:
            connection.close()
        return self._codec.read_status(reply) if reply else None
