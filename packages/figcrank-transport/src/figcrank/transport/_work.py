"""Runs a piece of work on one connection to a backend server."""

import datetime
import decimal
import re
import uuid
from collections.abc import Callable
from typing import Any

import eventlet
import psycopg2
import psycopg2.extensions

from figcrank.protocol import (
    REQUESTS_TABLE,
    SQLSTATE_BEHIND,
    SQLSTATE_NOT_PRIMARY,
    SQLSTATE_STALE_TERM,
    BeginWork,
    CommitWork,
    ReadWork,
    RollbackWork,
    Scalar,
    Statement,
    StatementResult,
    StatementsWork,
    Work,
    WorkDone,
    WorkFailed,
    WorkFailureKind,
    WorkResult,
    WriteWork,
)
from figcrank.protocol.codecs import encode
from figcrank.state import ORIGIN
from figcrank.transport._calls import MS_PER_S
from figcrank.transport._psycopg import position_of
from figcrank.transport._sql import refusal_of

_KINDS = {
    SQLSTATE_STALE_TERM: WorkFailureKind.STALE_TERM,
    SQLSTATE_NOT_PRIMARY: WorkFailureKind.STALE_TERM,
    SQLSTATE_BEHIND: WorkFailureKind.BEHIND,
}
_UNIQUE_VIOLATION = "23505"
_REQUESTS_CONSTRAINT = f"{REQUESTS_TABLE}_pkey"
# Connection exceptions and operator intervention: the session is gone, whatever it was doing.
_LOST_CLASSES = ("08", "57P")
_BAD_PARAMETERS = "The parameters do not fit the statement's placeholders."
_TEXT_TYPES = (decimal.Decimal, datetime.date, datetime.time, datetime.timedelta, uuid.UUID)

_PLACEHOLDERS = re.compile("%[s%]")


class _RefusedStatementError(Exception):
    """A statement that is not sent."""


class WorkRunner:
    """Runs work on a connection and keeps track of whether a commit was sent.

    :param connection: an idle connection in autocommit mode.
    """

    def __init__(self, connection: psycopg2.extensions.connection) -> None:
        self._connection = connection
        self._cursor = connection.cursor()
        self._results: tuple[StatementResult, ...] = ()
        self._commit_sent = False
        self._handlers: dict[type, Callable[[Any], tuple[StatementResult, ...]]] = {
            ReadWork: self._read,
            WriteWork: self._write,
            BeginWork: self._begin,
            StatementsWork: self._statements,
            CommitWork: self._commit,
            RollbackWork: self._rollback,
        }

    def run(self, work: Work, timeout_ms: int) -> WorkResult:
        """Run ``work``; after a ``LOST`` result the connection must be closed.

        :param timeout_ms: time after which the work counts as lost, in milliseconds.
        """
        self._commit_sent = False
        timer = eventlet.Timeout(timeout_ms / MS_PER_S)
        try:
            results = self._handlers[type(work)](work)
            return WorkDone(results, position_of(self._connection) or ORIGIN)
        except eventlet.Timeout as error:
            if error is not timer:
                raise
            return self._lost("The server did not answer in time.")
        except _RefusedStatementError as error:
            return self._failed(WorkFailureKind.SQL, str(error))
        except psycopg2.Error as error:
            return self._on_error(error)
        finally:
            timer.cancel()

    def _read(self, work: ReadWork) -> tuple[StatementResult, ...]:
        queries = [self._rendered(statement) for statement in work.statements]
        guard = self._guard_read(work)
        if len(queries) == 1:
            # One simple-query message is one implicit transaction, so the guard holds for both.
            return (self._execute(f"{guard}; {queries[0]}"),)
        begin = f"BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY; {guard}"
        results = self._execute_all(begin, queries)
        self._cursor.execute("COMMIT")
        return results

    def _write(self, work: WriteWork) -> tuple[StatementResult, ...]:
        queries = [self._rendered(statement) for statement in work.statements]
        record = self._mogrify("SELECT group_record(%s)", (work.request_id,))
        begin = f"BEGIN; SELECT group_guard_write({work.term:d}); {record}"
        results = self._execute_all(begin, queries)
        self._keep_and_commit(work.request_id, results)
        return results

    def _begin(self, work: BeginWork) -> tuple[StatementResult, ...]:
        self._results = ()
        self._cursor.execute(f"BEGIN; SELECT group_guard_write({work.term:d})")
        return ()

    def _statements(self, work: StatementsWork) -> tuple[StatementResult, ...]:
        queries = [self._rendered(statement) for statement in work.statements]
        results = self._execute_all("", queries)
        self._results += results
        return results

    def _commit(self, work: CommitWork) -> tuple[StatementResult, ...]:
        self._cursor.execute("SELECT group_record(%s)", (work.request_id,))
        self._keep_and_commit(work.request_id, self._results)
        return ()

    def _rollback(self, work: RollbackWork) -> tuple[StatementResult, ...]:
        self._cursor.execute("ROLLBACK")
        return ()

    def _keep_and_commit(self, request_id: str, results: tuple[StatementResult, ...]) -> None:
        kept = encode(results).decode()
        keep = self._mogrify("SELECT group_result(%s, %s)", (request_id, kept))
        self._commit_sent = True
        self._cursor.execute(f"{keep}; COMMIT")

    def _execute_all(self, prefix: str, queries: list[str]) -> tuple[StatementResult, ...]:
        results = []
        for query in queries:
            text = f"{prefix}; {query}" if prefix else query
            results.append(self._execute(text))
            prefix = ""
        return tuple(results)

    def _execute(self, text: str) -> StatementResult:
        self._cursor.execute(text)
        if self._cursor.description is None:
            return StatementResult(row_count=max(0, self._cursor.rowcount))
        columns = tuple(column.name for column in self._cursor.description)
        rows = tuple(tuple(map(_scalar, row)) for row in self._cursor.fetchall())
        return StatementResult(columns, rows, len(rows))

    def _guard_read(self, work: ReadWork) -> str:
        position = work.min_position
        term = "NULL" if work.primary_term is None else f"{work.primary_term:d}"
        return f"SELECT group_guard_read({position.term:d}, {position.offset:d}, {term})"

    def _rendered(self, statement: Statement) -> str:
        text = self._mogrify(statement.sql, statement.params)
        refusal = refusal_of(text)
        if refusal:
            raise _RefusedStatementError(refusal)
        return text.rstrip("; \t\r\n")

    def _mogrify(self, sql: str, params: tuple[Scalar, ...]) -> str:
        # The driver formats as Python does, where a width or a conversion can fail in any way.
        if params and "%" in _PLACEHOLDERS.sub("", sql):
            raise _RefusedStatementError("A statement with parameters has %s and %% only.")
        # The driver ignores parameters when there is no placeholder at all.
        if params and "%" not in sql:
            raise _RefusedStatementError(_BAD_PARAMETERS)
        try:
            return self._cursor.mogrify(sql, params or None).decode()
        except (TypeError, ValueError, IndexError, KeyError, psycopg2.ProgrammingError) as error:
            raise _RefusedStatementError(_BAD_PARAMETERS) from error

    def _on_error(self, error: psycopg2.Error) -> WorkFailed:
        sqlstate = error.pgcode or ""
        message = (error.diag.message_primary or str(error)).strip()
        gone = not sqlstate or sqlstate.startswith(_LOST_CLASSES)
        if self._connection.closed or gone:
            return self._lost(message, sqlstate)
        return self._failed(_kind_of(error), message, sqlstate)

    def _failed(self, kind: WorkFailureKind, message: str, sqlstate: str = "") -> WorkFailed:
        """Report a definite failure once the transaction is rolled back."""
        self._results = ()
        status = self._connection.info.transaction_status
        if status != psycopg2.extensions.TRANSACTION_STATUS_IDLE:
            try:
                self._cursor.execute("ROLLBACK")
            except (psycopg2.Error, eventlet.Timeout):
                # The server's answer to the statement stands; the connection is of no more use.
                self._connection.close()
        return WorkFailed(kind, message, sqlstate)

    def _lost(self, message: str, sqlstate: str = "") -> WorkFailed:
        self._connection.close()
        return WorkFailed(WorkFailureKind.LOST, message, sqlstate, self._commit_sent)


def _kind_of(error: psycopg2.Error) -> WorkFailureKind:
    constraint = error.diag.constraint_name
    if error.pgcode == _UNIQUE_VIOLATION and constraint == _REQUESTS_CONSTRAINT:
        return WorkFailureKind.DUPLICATE
    return _KINDS.get(error.pgcode, WorkFailureKind.SQL)


def _scalar(value: Any) -> Scalar:
    """Return a column value as JSON can carry it, exact values as text."""
    if value is None or isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, bytes | memoryview):
        return bytes(value).hex()
    if isinstance(value, _TEXT_TYPES):
        return str(value)
    return encode(value).decode()
