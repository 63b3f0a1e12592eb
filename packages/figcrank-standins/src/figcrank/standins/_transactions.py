"""Transactions of several steps on one database."""

import msgspec

from figcrank.protocol import Statement, StatementResult
from figcrank.standins._database import Database
from figcrank.standins._errors import WorkError
from figcrank.standins._log import LogEntry
from figcrank.state import Position


class OpenTransaction:
    """A transaction that is validated when it commits.

    Between steps nothing is held in the database: each step runs the earlier ones again, and
    fails if their results have changed. Other sessions therefore never see uncommitted data,
    never wait, and committed transactions are serializable.

    :param database: the server's database.
    :param term: term in which the server was primary when the transaction began.
    """

    def __init__(self, database: Database, term: int) -> None:
        self.term = term
        self._database = database
        self._statements: list[Statement] = []
        self._results: list[StatementResult] = []

    @property
    def statements(self) -> tuple[Statement, ...]:
        """Return the statements run so far."""
        return tuple(self._statements)

    def execute(self, statements: tuple[Statement, ...]) -> tuple[StatementResult, ...]:
        """Run statements without committing them.

        :raises WorkError: if one fails or an earlier result has changed.
        """
        with self._database.transaction(keep=False):
            self._replay()
            results = tuple(self._database.execute(statement) for statement in statements)
        self._statements.extend(statements)
        self._results.extend(results)
        return results

    def commit(
        self, position: Position, request_id: str, results: str | None = None
    ) -> tuple[LogEntry, tuple[StatementResult, ...]]:
        """Commit what was executed.

        :param position: position of the new log entry.
        :param request_id: id of the request record, empty for none.
        :param results: JSON text kept with the record; the transaction's own results if ``None``.
        :raises WorkError: if an earlier result has changed or the request has committed before.
        """
        with self._database.transaction(keep=True):
            # A repeated request must be told apart from one whose statements fail.
            self._database.require_new(request_id)
            self._replay()
            entry = self._entry(position, request_id, results)
            self._database.keep_record(entry)
        return entry, tuple(self._results)

    def run(
        self, statements: tuple[Statement, ...], position: Position, request_id: str
    ) -> tuple[LogEntry, tuple[StatementResult, ...]]:
        """Run statements and commit them at once; see :meth:`commit`."""
        with self._database.transaction(keep=True):
            self._database.require_new(request_id)
            self._results = [self._database.execute(statement) for statement in statements]
            self._statements = list(statements)
            entry = self._entry(position, request_id, None)
            self._database.keep_record(entry)
        return entry, tuple(self._results)

    def _entry(self, position: Position, request_id: str, results: str | None) -> LogEntry:
        if results is None:
            results = msgspec.json.encode(self._results).decode()
        return LogEntry(position, tuple(self._statements), request_id, results)

    def _replay(self) -> None:
        again = [self._database.execute(statement) for statement in self._statements]
        if again != self._results:
            raise WorkError.conflict()
