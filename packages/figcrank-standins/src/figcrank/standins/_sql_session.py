"""One client's session: query strings in, protocol messages out."""

from abc import ABC, abstractmethod

import msgspec

from figcrank.protocol import (
    Fence,
    Follow,
    Lookup,
    Promote,
    QueryStatus,
    ServerFailure,
    ServerReply,
    ServerRequest,
    Statement,
    StatementResult,
    StatusReply,
    is_read,
)
from figcrank.standins import _wire
from figcrank.standins._errors import WorkError
from figcrank.standins._server_model import ServerModel
from figcrank.standins._sql_block import ReadBlock, SqlBlock, WriteBlock
from figcrank.standins._sql_text import ParsedStatement, Verb, parse_query
from figcrank.state import Position, ServerRole

POSITION_PARAMETER = "group.position"
_ROW_OF_ONE = StatementResult(("done",), ((1,),), 1)
_CONTROL_FUNCTIONS = frozenset(
    {"group_status", "group_fence", "group_promote", "group_follow", "group_lookup"}
)


class ControlPort(ABC):
    """What a session asks of the process that runs the server."""

    @abstractmethod
    def control(self, request: ServerRequest) -> ServerReply:
        """Answer a control request, waiting if it asks for that."""

    @abstractmethod
    def set_knob(self, name: str, value: int, pid: int) -> None:
        """Change how the stand-in misbehaves.

        :param pid: session that asks.
        :raises WorkError: if there is no such knob.
        """


class SqlSession:
    """Runs the query strings of one connection.

    :param model: the server.
    :param pid: process id that the server gave the session.
    :param port: answers control requests.
    """

    def __init__(self, model: ServerModel, pid: int, port: ControlPort) -> None:
        self.pid = pid
        self.is_closed = False
        self._model = model
        self._port = port
        self._block: SqlBlock | None = None
        self._is_explicit = False
        self._is_read_only = False
        self._is_failed = False
        self._ended_at: Position | None = None

    def run(self, text: str) -> bytes:
        """Run a query string and return the messages that answer it."""
        if not self._model.has_session(self.pid):
            self.is_closed = True
            error = WorkError.terminated(self.pid)
            return _wire.error(error.sqlstate, error.message, severity="FATAL")
        parts: list[bytes] = []
        try:
            self._run_all(text, parts)
        except WorkError as error:
            parts.append(_wire.error(error.sqlstate, error.message, error.constraint))
            self._fail()
        parts.append(self._position_message())
        parts.append(_wire.ready_for_query(self._status()))
        return b"".join(parts)

    def _run_all(self, text: str, parts: list[bytes]) -> None:
        statements = parse_query(text)
        if not statements:
            parts.append(_wire.empty_query())
        for statement in statements:
            parts.append(self._run_one(statement))
        if not self._is_explicit:
            self._commit()

    def _run_one(self, statement: ParsedStatement) -> bytes:
        match statement.verb:
            case Verb.BEGIN:
                return self._begin(statement)
            case Verb.COMMIT:
                return self._end_explicit(commit=not self._is_failed)
            case Verb.ROLLBACK:
                return self._end_explicit(commit=False)
        if self._is_failed:
            raise WorkError.transaction_failed()
        match statement.verb:
            case Verb.SETTING:
                return _wire.command_complete(statement.sql.split(maxsplit=1)[0].upper())
            case Verb.CALL:
                return _answer(statement, self._call(statement))
            case _:
                return _answer(statement, self._execute(statement))

    def _begin(self, statement: ParsedStatement) -> bytes:
        self._is_explicit = True
        self._is_read_only = statement.is_read_only
        return _wire.command_complete("BEGIN")

    def _end_explicit(self, commit: bool) -> bytes:
        self._is_explicit = False
        if commit:
            self._commit()
        self._forget_block()
        return _wire.command_complete("COMMIT" if commit else "ROLLBACK")

    def _commit(self) -> None:
        block = self._block
        self._forget_block()
        if block is not None:
            self._ended_at = block.commit()

    def _fail(self) -> None:
        is_explicit = self._is_explicit
        self._forget_block()
        self._is_explicit = is_explicit
        self._is_failed = is_explicit

    def _forget_block(self) -> None:
        self._block = None
        self._is_explicit = False
        self._is_read_only = False
        self._is_failed = False

    def _execute(self, statement: ParsedStatement) -> StatementResult:
        if self._block is None:
            self._block = self._unguarded_block(statement)
        return self._block.execute(statement.sql)

    def _unguarded_block(self, statement: ParsedStatement) -> SqlBlock:
        only_reads = is_read(Statement(statement.sql))
        is_primary = self._model.role is ServerRole.PRIMARY
        if self._is_read_only or (only_reads and not (self._is_explicit and is_primary)):
            return self._read_block()
        if not is_primary:
            raise WorkError.not_primary(self._model.name)
        return WriteBlock(self._model, self._model.term)

    def _read_block(self) -> SqlBlock:
        if not self._is_explicit:
            return ReadBlock(self._model.database, self._model.status().applied)
        snapshot = self._model.snapshot()
        return ReadBlock(snapshot.database, snapshot.position)

    def _call(self, call: ParsedStatement) -> StatementResult:
        if call.function in _CONTROL_FUNCTIONS:
            return self._control(call)
        match (call.function, *call.arguments):
            case ("group_guard_read", int(term), int(offset), int() | None as primary_term):
                self._model.check_read(Position(term, offset), primary_term)
                self._enter(self._read_block())
            case ("group_guard_write", int(term)):
                self._enter(WriteBlock(self._model, term))
            case ("group_record", str(request_id)):
                self._required_block().keep_record(request_id)
            case ("group_result", str(request_id), str(results)):
                self._required_block().keep_results(request_id, results)
            case ("standin_set", str(name), int(value)):
                self._port.set_knob(name, value, self.pid)
            case _:
                raise WorkError.bad_call(call.function)
        return _ROW_OF_ONE

    def _enter(self, block: SqlBlock) -> None:
        if self._block is not None:
            raise WorkError.transaction_open()
        self._block = block

    def _required_block(self) -> SqlBlock:
        if self._block is None:
            raise WorkError.no_transaction()
        return self._block

    def _control(self, call: ParsedStatement) -> StatementResult:
        reply = self._port.control(_control_request(call))
        if isinstance(reply, ServerFailure):
            raise WorkError.refused(reply)
        message = reply.status if isinstance(reply, StatusReply) else reply
        return StatementResult((call.function,), ((msgspec.json.encode(message).decode(),),), 1)

    def _position_message(self) -> bytes:
        if self._ended_at is None:
            return b""
        position, self._ended_at = self._ended_at, None
        return position_status(position)

    def _status(self) -> bytes:
        if not self._is_explicit:
            return b"I"
        return b"E" if self._is_failed else b"T"


def position_status(position: Position) -> bytes:
    """Return the message that reports a position to a client."""
    return _wire.parameter_status(POSITION_PARAMETER, f"{position.term}:{position.offset}")


def _control_request(call: ParsedStatement) -> ServerRequest:
    match (call.function, *call.arguments):
        case ("group_status", int(term), int(offset), int(wait_ms)):
            return QueryStatus(Position(term, offset), wait_ms)
        case ("group_fence", int(term), str(fencer)):
            return Fence(term, fencer)
        case ("group_promote", int(term), str(fencer)):
            return Promote(term, fencer)
        case ("group_follow", int(term), str(server)):
            return Follow(term, server)
        case ("group_lookup", str(request_id), int(term), int() | None as pid):
            return Lookup(request_id, term, pid)
    raise WorkError.bad_call(call.function)


def _answer(statement: ParsedStatement, result: StatementResult) -> bytes:
    complete = _wire.command_complete(_tag(statement, result))
    if not result.columns:
        return complete
    return _wire.rows(result) + complete


def _tag(statement: ParsedStatement, result: StatementResult) -> str:
    words = statement.sql.upper().split(maxsplit=2)
    match words[0]:
        case "INSERT" | "REPLACE":
            return f"INSERT 0 {result.row_count}"
        case "UPDATE" | "DELETE":
            return f"{words[0]} {result.row_count}"
        case "SELECT" | "VALUES" | "WITH" | "EXPLAIN":
            return f"SELECT {result.row_count}"
        case _:
            return " ".join(words[:2])
