"""Commands that this host sends to backend servers: status queries and demotions."""

from figcrank.protocol.sessions import ServerCodec, ServerReport
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._pool import split_address
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._traffic import MessageKind

COMMAND_TIMEOUT_MS = 250  # a status query needs a round trip and a server slot


class ServerCommands:
    """Sends commands to backend servers, each on a separate connection.

    :param host: name of this host, sent in the handshake as the workspace.
    :param router: its pools' health records refused connections.
    :param codec: server wire format.
    :param clock: this host's clock.
    """

    def __init__(self, host: str, router: Router, codec: ServerCodec, clock: Clock) -> None:
        self._host = host
        self._router = router
        self._codec = codec
        self._clock = clock

    def demote(self, entry: ServerEntry, term: int) -> ServerReport | None:
        """Demote a primary of an earlier term.

        :param term: the primary is demoted if its term is below this one.
        :returns: status of the server afterwards, ``None`` if it does not reply.
        """
        return self._run(entry, self._codec.demote(term))

    def pause(self, entry: ServerEntry, term: int) -> ServerReport | None:
        """Stop a replica from receiving commits of the terms before ``term``.

        :returns: status of the server afterwards, ``None`` if it does not reply.
        """
        return self._run(entry, self._codec.pause(term))

    def status(self, entry: ServerEntry) -> ServerReport | None:
        """Return the status of a server, ``None`` if it does not reply."""
        return self._run(entry, self._codec.status())

    def _run(self, entry: ServerEntry, text: str) -> ServerReport | None:
        """Run a command on a separate connection, which is closed afterwards.

        A server in an evacuated zone gets none after the stop.
        """
        if not self._router.may_send_to(entry):
            return None
        start_message = self._codec.start(entry.group, self._host, entry.server_id)
        try:
            connection, _ = ServerConnection.open(
                split_address(entry.address),
                self._codec.decoder(),
                start_message,
                self._host,
                self._clock,
                lambda: self._router.may_send_to(entry),
                self._router.traffic.channel(MessageKind.STATEMENT, entry.availability_zone),
            )
        except OpenError as error:
            pool = self._router.pool(entry.server_id)
            if pool is not None and error.refused:
                pool.health.record_failure(self._clock.now_ms(), refused=True)
            return None
        try:
            reply = connection.send_and_wait(
                self._codec.query(self._codec.PROXY_REQUEST_ID, text), COMMAND_TIMEOUT_MS
            )
        finally:
            connection.close()
        return self._codec.read_status(reply) if reply else None
