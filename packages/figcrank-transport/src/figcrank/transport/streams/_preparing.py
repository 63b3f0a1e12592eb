"""Gives a server connection what a session's statement needs: values and prepared statements."""

from typing import TYPE_CHECKING

from figcrank.protocol.sessions import ServerCodec, SessionFailure, Verb
from figcrank.state._positions import Position
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._metrics import Metrics

if TYPE_CHECKING:
    from figcrank.transport.streams._session import CallerSession
    from figcrank.transport.streams._work import Statement

OWN_STATEMENT_MS = 300  # setting a value takes no slot; ten times a slow round trip


class ConnectionPreparer:
    """Prepares connections.

    Prepared statements get names of this host's own, one for each shape, so that sessions that name
    theirs alike can share a connection.

    :param codec: the servers' wire format.
    :param metrics: where this host's own statements are counted.
    """

    def __init__(self, codec: ServerCodec, metrics: Metrics) -> None:
        self._codec = codec
        self._metrics = metrics
        self._shapes: dict[tuple[bool, str], str] = {}

    def apply_values(self, session: "CallerSession", connection: ServerConnection) -> bool:
        """Give a connection the session's values; return whether that worked."""
        if connection.values == session.values:
            return True
        if not connection.values.items() <= session.values.items() and not (
            connection.values.keys() <= session.values.keys()
        ):
            if not self._own(connection, self._codec.reset()):
                return False
            connection.values = {}
            connection.prepared.clear()
        for name, value in session.values.items():
            if connection.values.get(name) == value:
                continue
            if not self._own(connection, self._codec.set_value(name, value)):
                return False
            connection.values[name] = value
        return True

    def _own(self, connection: ServerConnection, text: str) -> bool:
        """Run a statement of this host; return whether it succeeded."""
        self._metrics.count("own_statements", kind=text.partition(" ")[0].lower())
        data = self._codec.query(self._codec.OWN_ID, text)
        reply = connection.ask(data, OWN_STATEMENT_MS)
        return reply is not None and reply.failure is None

    def encode(
        self, connection: ServerConnection, statement: "Statement", after: Position | None
    ) -> bytes:
        """Return a statement's bytes, once it is prepared where it must be.

        :raises OpenError: if preparing it failed; it was not sent.
        """
        request = statement.request
        if request.verb is not Verb.EXECUTE:
            return self._codec.query(request.request_id, request.text, after)
        name = self._shape_name(statement)
        if name not in connection.prepared:
            text = self._codec.prepare(name, statement.is_write, statement.shape)
            if not self._own(connection, text):
                raise OpenError(SessionFailure.UNREACHABLE, "preparing a statement failed")
            connection.prepared.add(name)
        text = self._codec.execute(name, request.rest)
        return self._codec.query(request.request_id, text, after)

    def _shape_name(self, statement: "Statement") -> str:
        key = (statement.is_write, statement.shape)
        name = self._shapes.get(key)
        if name is None:
            name = self._shapes[key] = f"f{len(self._shapes)}"
        return name
