"""Real SQL on a private in-memory SQLite database."""

import re
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from figcrank.protocol import REQUESTS_TABLE, Scalar, Statement, StatementResult, WorkFailureKind
from figcrank.standins._errors import SQLSTATE_INTERNAL, SQLSTATE_UNIQUE, WorkError
from figcrank.standins._log import LogEntry
from figcrank.state import Position

_SCHEMA = (
    f"CREATE TABLE {REQUESTS_TABLE} (request_id TEXT PRIMARY KEY, term INTEGER NOT NULL,"
    " log_offset INTEGER NOT NULL, results TEXT NOT NULL) WITHOUT ROWID"
)
_INSERT_RECORD = f"INSERT INTO {REQUESTS_TABLE} VALUES (?, ?, ?, ?)"
_SELECT_RECORD = f"SELECT term, log_offset, results FROM {REQUESTS_TABLE} WHERE request_id = ?"
_PLACEHOLDER = re.compile("%[%s]")
_CONTROL_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_PRAGMA,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
    }
)
_CHANGE_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_INSERT,
        sqlite3.SQLITE_UPDATE,
        sqlite3.SQLITE_DELETE,
        sqlite3.SQLITE_DROP_TABLE,
        sqlite3.SQLITE_ALTER_TABLE,
    }
)
_SQLSTATE_BY_NAME = {
    "SQLITE_CONSTRAINT_UNIQUE": SQLSTATE_UNIQUE,
    "SQLITE_CONSTRAINT_PRIMARYKEY": SQLSTATE_UNIQUE,
    "SQLITE_CONSTRAINT_NOTNULL": "23502",
    "SQLITE_CONSTRAINT_FOREIGNKEY": "23503",
    "SQLITE_CONSTRAINT_CHECK": "23514",
    "SQLITE_READONLY": "25006",
    "SQLITE_AUTH": "42501",
    "SQLITE_MISMATCH": "42804",
}
_SQLSTATE_BY_TEXT = (
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("no such function", "42883"),
    ("already exists", "42P07"),
    ("syntax error", "42601"),
    ("incomplete input", "42601"),
    ("unrecognized token", "42601"),
    ("one statement at a time", "42601"),
    ("number of bindings", "07001"),
)


class RequestRecord(msgspec.Struct, frozen=True):
    """What is kept of a committed request.

    :param position: position of its log entry.
    :param results: JSON text of its results.
    """

    position: Position
    results: str


class Database:
    """One SQLite database with the table of request records.

    Statements must be deterministic, because replicas run them again. They may not control
    transactions, change settings or change the table of records.
    """

    def __init__(self) -> None:
        self._trusted = True
        self._connection = _connect()
        self._connection.set_authorizer(self._authorize)
        self._connection.execute(_SCHEMA)
        self._trusted = False

    def close(self) -> None:
        """Free the memory of the database."""
        self._connection.close()

    def copy(self) -> "Database":
        """Return a private copy of the committed state."""
        other = Database()
        with other._trust():
            self._connection.backup(other._connection)
        return other

    def execute(self, statement: Statement) -> StatementResult:
        """Run one statement.

        :raises WorkError: if SQLite refuses it.
        """
        try:
            cursor = self._connection.execute(_native_sql(statement), statement.params)
            rows = cursor.fetchall()
        except (sqlite3.Error, OverflowError) as error:
            raise _work_error(error) from error
        columns = tuple(column[0] for column in cursor.description or ())
        count = len(rows) if columns else max(0, cursor.rowcount)
        values = tuple(tuple(_scalar(value) for value in row) for row in rows)
        return StatementResult(columns, values, count)

    def read(self, statements: tuple[Statement, ...]) -> tuple[StatementResult, ...]:
        """Run statements that can't change anything.

        :raises WorkError: if one fails or tries to change data.
        """
        self._control("PRAGMA query_only = ON")
        try:
            return tuple(self.execute(statement) for statement in statements)
        finally:
            self._control("PRAGMA query_only = OFF")

    @contextmanager
    def transaction(self, keep: bool) -> Iterator[None]:
        """Run the body in a transaction.

        :param keep: whether to commit at the end; any exception rolls back.
        """
        self._control("BEGIN")
        try:
            yield
        except BaseException:
            self._roll_back()
            raise
        if keep:
            self._control("COMMIT")
        else:
            self._roll_back()

    def apply(self, entry: LogEntry) -> None:
        """Apply an entry of the log in a transaction of its own."""
        with self.transaction(keep=True):
            for statement in entry.statements:
                self.execute(statement)
            self.keep_record(entry)

    def keep_record(self, entry: LogEntry) -> None:
        """Insert the request record of ``entry``, if it has one, into the open transaction.

        :raises WorkError: if the request has committed before.
        """
        if not entry.request_id:
            return
        position = entry.position
        row = (entry.request_id, position.term, position.offset, entry.results)
        try:
            self._control(_INSERT_RECORD, row)
        except sqlite3.IntegrityError as error:
            raise WorkError.duplicate(entry.request_id) from error

    def require_new(self, request_id: str) -> None:
        """Check that a request has not committed before; an empty id never has.

        :raises WorkError: if it has.
        """
        if request_id and self.find_record(request_id) is not None:
            raise WorkError.duplicate(request_id)

    def find_record(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, ``None`` if it is absent."""
        row = self._control(_SELECT_RECORD, (request_id,)).fetchone()
        if row is None:
            return None
        term, offset, results = row
        return RequestRecord(Position(term, offset), results)

    def _control(self, sql: str, params: tuple[Scalar, ...] = ()) -> sqlite3.Cursor:
        with self._trust():
            return self._connection.execute(sql, params)

    @contextmanager
    def _trust(self) -> Iterator[None]:
        self._trusted = True
        try:
            yield
        finally:
            self._trusted = False

    def _roll_back(self) -> None:
        # SQLite has rolled back by itself after some errors.
        if self._connection.in_transaction:
            self._control("ROLLBACK")

    def _authorize(
        self, action: int, first: str | None, second: str | None, schema: str | None, by: str | None
    ) -> int:
        if self._trusted:
            return sqlite3.SQLITE_OK
        if action in _CONTROL_ACTIONS:
            return sqlite3.SQLITE_DENY
        if action in _CHANGE_ACTIONS and REQUESTS_TABLE in (first, second):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK


def _connect() -> sqlite3.Connection:
    # A cached statement would not be checked by the authorizer again.
    return sqlite3.connect(
        ":memory:", check_same_thread=False, isolation_level=None, cached_statements=0
    )


def _native_sql(statement: Statement) -> str:
    if not statement.params:
        return statement.sql
    return _PLACEHOLDER.sub(lambda found: "?" if found[0] == "%s" else "%", statement.sql)


def _scalar(value: Scalar | bytes) -> Scalar:
    return value.hex() if isinstance(value, bytes) else value


def _work_error(error: Exception) -> WorkError:
    message = str(error)
    return WorkError(WorkFailureKind.SQL, _sqlstate(error, message), message)


def _sqlstate(error: Exception, message: str) -> str:
    name = getattr(error, "sqlite_errorname", None)
    if name in _SQLSTATE_BY_NAME:
        return _SQLSTATE_BY_NAME[name]
    for text, sqlstate in _SQLSTATE_BY_TEXT:
        if text in message:
            return sqlstate
    return SQLSTATE_INTERNAL
