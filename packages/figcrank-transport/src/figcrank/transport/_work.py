"""Runs work on a connection to a backend server."""

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
from figcrank.transport._psycopg import reported_position
from figcrank.transport._sql import rejection_reason

_FAILURE_KINDS = {
    SQLSTATE_STALE_TERM: WorkFailureKind.STALE_TERM,
    SQLSTATE_NOT_PRIMARY: WorkFailureKind.STALE_TERM,
    SQLSTATE_BEHIND: WorkFailureKind.BEHIND,
}
_UNIQUE_VIOLATION = "23505"
_REQUESTS_CONSTRAINT = f"{REQUESTS_TABLE}_pkey"
# SQLSTATE prefixes of connection exceptions and operator intervention, which end the session.
_LOST_SQLSTATE_PREFIXES = ("08", "57P")
_PARAMETER_MISMATCH = "The parameters do not match the statement's placeholders."
_TEXT_TYPES = (decimal.Decimal, datetime.date, datetime.time, datetime.timedelta, uuid.UUID)

_PLACEHOLDERS = re.compile("%[s%]")


class _StatementRejectedError(Exception):
    """A statement that is rejected before it is sent to the server."""


class WorkRunner:
    """Runs work on a connection and records whether a commit was sent.

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
        """Run ``work`` and return its result; the connection is closed if that is ``LOST``.

        :param timeout_ms: time after which the result is ``LOST``, in milliseconds.
        """
        self._commit_sent = False
        timer = eventlet.Timeout(timeout_ms / MS_PER_S)
        try:
            results = self._handlers[type(work)](work)
            return WorkDone(results, reported_position(self._connection) or ORIGIN)
        except eventlet.Timeout as error:
            if error is not timer:
                raise
            return self._lost_result("The server did not answer in time.")
        except _StatementRejectedError as error:
            return self._failed_result(WorkFailureKind.SQL, str(error))
        except psycopg2.Error as error:
            return self._on_error(error)
        finally:
            timer.cancel()

    def _read(self, work: ReadWork) -> tuple[StatementResult, ...]:
        queries = [self._render(statement) for statement in work.statements]
        guard = self._guard_read(work)
        if len(queries) == 1:
            # A simple-query message is one implicit transaction, so the guard covers the query too.
            return (self._execute(f"{guard}; {queries[0]}"),)
        begin = f"BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY; {guard}"
        results = self._execute_all(begin, queries)
        self._cursor.execute("COMMIT")
        return results

    def _write(self, work: WriteWork) -> tuple[StatementResult, ...]:
        queries = [self._render(statement) for statement in work.statements]
        record = self._mogrify("SELECT group_record(%s)", (work.request_id,))
        begin = f"BEGIN; SELECT group_guard_write({work.term:d}); {record}"
        results = self._execute_all(begin, queries)
        self._store_results_and_commit(work.request_id, results)
        return results

    def _begin(self, work: BeginWork) -> tuple[StatementResult, ...]:
        self._results = ()
        self._cursor.execute(f"BEGIN; SELECT group_guard_write({work.term:d})")
        return ()

    def _statements(self, work: StatementsWork) -> tuple[StatementResult, ...]:
        queries = [self._render(statement) for statement in work.statements]
        results = self._execute_all("", queries)
        self._results += results
        return results

    def _commit(self, work: CommitWork) -> tuple[StatementResult, ...]:
        self._cursor.execute("SELECT group_record(%s)", (work.request_id,))
        self._store_results_and_commit(work.request_id, self._results)
        return ()

    def _rollback(self, work: RollbackWork) -> tuple[StatementResult, ...]:
        self._cursor.execute("ROLLBACK")
        return ()

    def _store_results_and_commit(
        self, request_id: str, results: tuple[StatementResult, ...]
    ) -> None:
        encoded_results = encode(results).decode()
        store_query = self._mogrify("SELECT group_result(%s, %s)", (request_id, encoded_results))
        self._commit_sent = True
        self._cursor.execute(f"{store_query}; COMMIT")

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
        rows = tuple(tuple(map(_to_scalar, row)) for row in self._cursor.fetchall())
        return StatementResult(columns, rows, len(rows))

    def _guard_read(self, work: ReadWork) -> str:
        position = work.min_position
        term = "NULL" if work.primary_term is None else f"{work.primary_term:d}"
        return f"SELECT group_guard_read({position.term:d}, {position.offset:d}, {term})"

    def _render(self, statement: Statement) -> str:
        text = self._mogrify(statement.sql, statement.params)
        reason = rejection_reason(text)
        if reason:
            raise _StatementRejectedError(reason)
        return text.rstrip("; \t\r\n")

    def _mogrify(self, sql: str, params: tuple[Scalar, ...]) -> str:
        # psycopg2 formats like the % operator, where widths and other conversions can raise any
        # exception.
        if params and "%" in _PLACEHOLDERS.sub("", sql):
            raise _StatementRejectedError(
                "A statement with parameters may use % only in %s and %%."
            )
        # psycopg2 ignores the parameters of a statement without placeholders.
        if params and "%" not in sql:
            raise _StatementRejectedError(_PARAMETER_MISMATCH)
        try:
            return self._cursor.mogrify(sql, params or None).decode()
        except (TypeError, ValueError, IndexError, KeyError, psycopg2.ProgrammingError) as error:
            raise _StatementRejectedError(_PARAMETER_MISMATCH) from error

    def _on_error(self, error: psycopg2.Error) -> WorkFailed:
        sqlstate = error.pgcode or ""
        message = (error.diag.message_primary or str(error)).strip()
        is_lost = not sqlstate or sqlstate.startswith(_LOST_SQLSTATE_PREFIXES)
        if self._connection.closed or is_lost:
            return self._lost_result(message, sqlstate)
        return self._failed_result(_failure_kind(error), message, sqlstate)

    def _failed_result(self, kind: WorkFailureKind, message: str, sqlstate: str = "") -> WorkFailed:
        """Roll back the transaction and return a definite failure."""
        self._results = ()
        status = self._connection.info.transaction_status
        if status != psycopg2.extensions.TRANSACTION_STATUS_IDLE:
            try:
                self._cursor.execute("ROLLBACK")
            except (psycopg2.Error, eventlet.Timeout):
                # The reported failure remains valid, but the connection cannot be reused.
                self._connection.close()
        return WorkFailed(kind, message, sqlstate)

    def _lost_result(self, message: str, sqlstate: str = "") -> WorkFailed:
        self._connection.close()
        return WorkFailed(WorkFailureKind.LOST, message, sqlstate, self._commit_sent)


def _failure_kind(error: psycopg2.Error) -> WorkFailureKind:
    constraint = error.diag.constraint_name
    if error.pgcode == _UNIQUE_VIOLATION and constraint == _REQUESTS_CONSTRAINT:
        return WorkFailureKind.DUPLICATE
    return _FAILURE_KINDS.get(error.pgcode, WorkFailureKind.SQL)


def _to_scalar(value: Any) -> Scalar:
    """Convert a column value to a JSON scalar; values without an exact JSON form become text."""
    if value is None or isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, bytes | memoryview):
        return bytes(value).hex()
    if isinstance(value, _TEXT_TYPES):
        return str(value)
    return encode(value).decode()
