"""Failures that the stand-ins raise."""

from figcrank.protocol import (
    SQLSTATE_BEHIND,
    SQLSTATE_NOT_PRIMARY,
    SQLSTATE_STALE_TERM,
    FigcrankError,
    ServerFailure,
    ServerFailureKind,
    WorkFailed,
    WorkFailureKind,
)
from figcrank.state import Position

SQLSTATE_UNIQUE = "23505"
SQLSTATE_SERIALIZATION = "40001"
SQLSTATE_ACTIVE_TRANSACTION = "25001"
SQLSTATE_NO_TRANSACTION = "25P01"
SQLSTATE_ADMIN_SHUTDOWN = "57P01"
SQLSTATE_FAILED_TRANSACTION = "25P02"
SQLSTATE_BAD_VALUE = "22023"
SQLSTATE_NOT_SUPPORTED = "0A000"
SQLSTATE_INTERNAL = "XX000"
REQUESTS_CONSTRAINT = "figcrank_requests_pkey"


class ServerFullError(FigcrankError):
    """A server has no connection left.

    :param server: the server's name.
    :param max_connections: connections that it accepts.
    """

    def __init__(self, server: str, max_connections: int) -> None:
        super().__init__(
            f"Sorry, too many clients already: {server} has {max_connections} connections."
        )
        self.server = server
        self.max_connections = max_connections


class WorkError(FigcrankError):
    """Work that a server did not do; its transaction is rolled back.

    :param kind: what went wrong.
    :param sqlstate: SQLSTATE of the error.
    :param message: one sentence for a person.
    :param constraint: name of the constraint violated, empty if none.
    """

    def __init__(
        self, kind: WorkFailureKind, sqlstate: str, message: str, constraint: str = ""
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.sqlstate = sqlstate
        self.message = message
        self.constraint = constraint

    @classmethod
    def stale_term(cls, server: str, asked: int, own: int) -> "WorkError":
        """Return the error of work for a term in which the server is not primary."""
        message = f"{server} is not the primary of term {asked}; its own term is {own}."
        return cls(WorkFailureKind.STALE_TERM, SQLSTATE_STALE_TERM, message)

    @classmethod
    def behind(cls, server: str, wanted: Position, applied: Position) -> "WorkError":
        """Return the error of a read that needs a position not applied yet."""
        message = (
            f"{server} has applied {applied.term}:{applied.offset},"
            f" the read needs {wanted.term}:{wanted.offset}."
        )
        return cls(WorkFailureKind.BEHIND, SQLSTATE_BEHIND, message)

    @classmethod
    def duplicate(cls, request_id: str) -> "WorkError":
        """Return the error of a request that has committed before."""
        message = f"Request {request_id} has committed before."
        return cls(WorkFailureKind.DUPLICATE, SQLSTATE_UNIQUE, message, REQUESTS_CONSTRAINT)

    @classmethod
    def conflict(cls) -> "WorkError":
        """Return the error of a transaction whose earlier results no longer hold."""
        message = "Could not serialize access because of a concurrent change."
        return cls(WorkFailureKind.SQL, SQLSTATE_SERIALIZATION, message)

    @classmethod
    def transaction_open(cls) -> "WorkError":
        """Return the error of a transaction begun inside another."""
        message = "A transaction is already open."
        return cls(WorkFailureKind.SQL, SQLSTATE_ACTIVE_TRANSACTION, message)

    @classmethod
    def no_transaction(cls) -> "WorkError":
        """Return the error of a step without a transaction."""
        message = "No transaction is open."
        return cls(WorkFailureKind.SQL, SQLSTATE_NO_TRANSACTION, message)

    @classmethod
    def not_primary(cls, server: str) -> "WorkError":
        """Return the error of a change on a server that is not primary."""
        message = f"{server} is not primary."
        return cls(WorkFailureKind.STALE_TERM, SQLSTATE_NOT_PRIMARY, message)

    @classmethod
    def refused(cls, failure: ServerFailure) -> "WorkError":
        """Return the error that reports a refused control request."""
        if failure.kind is ServerFailureKind.STALE_TERM:
            return cls(WorkFailureKind.STALE_TERM, SQLSTATE_STALE_TERM, failure.message)
        return cls(WorkFailureKind.STALE_TERM, SQLSTATE_NOT_PRIMARY, failure.message)

    @classmethod
    def transaction_failed(cls) -> "WorkError":
        """Return the error of a statement after another one failed."""
        message = "The transaction has failed; roll it back."
        return cls(WorkFailureKind.SQL, SQLSTATE_FAILED_TRANSACTION, message)

    @classmethod
    def bad_call(cls, function: str) -> "WorkError":
        """Return the error of a function call with unusable arguments."""
        message = f"The arguments of {function} are of the wrong number or type."
        return cls(WorkFailureKind.SQL, SQLSTATE_BAD_VALUE, message)

    @classmethod
    def terminated(cls, pid: int) -> "WorkError":
        """Return the error of work on a session that was ended."""
        message = f"Session {pid} was terminated."
        return cls(WorkFailureKind.LOST, SQLSTATE_ADMIN_SHUTDOWN, message)

    def to_result(self) -> WorkFailed:
        """Return the result that says the same."""
        return WorkFailed(self.kind, self.message, self.sqlstate)
