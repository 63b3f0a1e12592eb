"""Sets session variables and prepares statements on server connections."""

from typing import TYPE_CHECKING

from figcrank.protocol.sessions import ServerCodec, SessionFailure, Verb
from figcrank.state._positions import Position
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._metrics import Metrics

if TYPE_CHECKING:
    from figcrank.transport.streams._session import CallerSession
    from figcrank.transport.streams._statements import Statement

PROXY_STATEMENT_TIMEOUT_MS = 300  # needs no server slot; ten times a slow round trip


class ConnectionPreparer:
    """Prepares server connections for the statements of sessions.

    Prepared statements get one host-wide name per definition, so that sessions that use the same
    name for different statements can share a connection.

    :param codec: server wire format.
    :param metrics: counts the proxy's own statements.
    """

    def __init__(self, codec: ServerCodec, metrics: Metrics) -> None:
        self._codec = codec
        self._metrics = metrics
        self._definition_names: dict[tuple[bool, str], str] = {}

    def apply_variables(self, session: "CallerSession", connection: ServerConnection) -> bool:
        """Set the session's variables on a connection; return whether that succeeded."""
        if connection.variables == session.variables:
            return True
        if not connection.variables.items() <= session.variables.items() and not (
            connection.variables.keys() <= session.variables.keys()
        ):
            if not self._run_proxy_statement(connection, self._codec.reset()):
                return False
            connection.variables = {}
            connection.prepared.clear()
        for name, value in session.variables.items():
            if connection.variables.get(name) == value:
                continue
            if not self._run_proxy_statement(connection, self._codec.set_value(name, value)):
                return False
            connection.variables[name] = value
        return True

    def _run_proxy_statement(self, connection: ServerConnection, text: str) -> bool:
        """Run one of the proxy's own statements; return whether it succeeded."""
        self._metrics.count("own_statements", kind=text.partition(" ")[0].lower())
        data = self._codec.query(self._codec.PROXY_REQUEST_ID, text)
        reply = connection.send_and_wait(data, PROXY_STATEMENT_TIMEOUT_MS)
        return reply is not None and reply.failure is None

    def encode(
        self, connection: ServerConnection, statement: "Statement", min_position: Position | None
    ) -> bytes:
        """Encode a statement, after preparing it on the connection if needed.

        :raises OpenError: if preparing failed; the statement was not sent.
        """
        request = statement.request
        if request.verb is not Verb.EXECUTE:
            return self._codec.query(request.request_id, request.text, min_position)
        name = self._definition_name(statement)
        if name not in connection.prepared:
            text = self._codec.prepare(name, statement.is_write, statement.definition)
            if not self._run_proxy_statement(connection, text):
                raise OpenError(SessionFailure.UNREACHABLE, "the statement could not be prepared")
            connection.prepared.add(name)
        text = self._codec.execute(name, request.argument)
        return self._codec.query(request.request_id, text, min_position)

    def _definition_name(self, statement: "Statement") -> str:
        key = (statement.is_write, statement.definition)
        name = self._definition_names.get(key)
        if name is None:
            name = self._definition_names[key] = f"f{len(self._definition_names)}"
        return name
