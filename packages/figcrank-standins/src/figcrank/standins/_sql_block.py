"""Transaction blocks of a client's session."""

from abc import ABC, abstractmethod

import msgspec

from figcrank.protocol import Statement, StatementResult, is_read
from figcrank.standins._database import Database
from figcrank.standins._errors import WorkError
from figcrank.standins._server_model import ServerModel
from figcrank.state import Position

_results_decoder = msgspec.json.Decoder(tuple[StatementResult, ...])


class SqlBlock(ABC):
    """The statements between the begin and the end of a transaction."""

    @abstractmethod
    def execute(self, sql: str) -> StatementResult:
        """Run a statement.

        :raises WorkError: if it fails.
        """

    @abstractmethod
    def keep_record(self, request_id: str) -> None:
        """Keep a record of a request when the block commits.

        :raises WorkError: if the request has committed before.
        """

    @abstractmethod
    def keep_results(self, request_id: str, results: str) -> None:
        """Keep the JSON text of the request's results with its record.

        :raises WorkError: if no record of the request is kept or the text is not results.
        """

    @abstractmethod
    def commit(self) -> Position:
        """Commit the block.

        :returns: the committed position, or the one that was read if nothing was logged.
        :raises WorkError: if the block can't commit; it is rolled back.
        """


class ReadBlock(SqlBlock):
    """A block that can't change anything.

    :param database: database to read; a snapshot if the block outlives one query.
    :param position: position of the database.
    """

    def __init__(self, database: Database, position: Position) -> None:
        self._database = database
        self._position = position

    def execute(self, sql: str) -> StatementResult:
        return self._database.read((Statement(sql),))[0]

    def keep_record(self, request_id: str) -> None:
        raise WorkError.no_transaction()

    def keep_results(self, request_id: str, results: str) -> None:
        raise WorkError.no_transaction()

    def commit(self) -> Position:
        return self._position


class WriteBlock(SqlBlock):
    """A block on the primary.

    :param model: the server.
    :param term: term in which the server must stay primary.
    :raises WorkError: if the server is not primary of ``term``.
    """

    def __init__(self, model: ServerModel, term: int) -> None:
        self._model = model
        self._transaction = model.begin(term)
        self._request_id = ""
        self._results: str | None = None

    def execute(self, sql: str) -> StatementResult:
        self._model.check_primary(self._transaction.term)
        return self._transaction.execute((Statement(sql),))[0]

    def keep_record(self, request_id: str) -> None:
        self._model.database.require_new(request_id)
        self._request_id = request_id

    def keep_results(self, request_id: str, results: str) -> None:
        if not request_id or request_id != self._request_id:
            raise WorkError.bad_call("group_result")
        try:
            _results_decoder.decode(results)
        except msgspec.DecodeError as error:
            raise WorkError.bad_call("group_result") from error
        self._results = results

    def commit(self) -> Position:
        if not self._request_id and all(map(is_read, self._transaction.statements)):
            self._model.check_primary(self._transaction.term)
            return self._model.status().applied
        done = self._model.commit(self._transaction, self._request_id, self._results)
        return done.position
