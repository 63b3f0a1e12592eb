"""Requests to backend servers and their results.

``docs/BACKEND.md`` describes the SQL behind each request.
"""

from enum import StrEnum

import msgspec

from figcrank.protocol._statements import Statement, StatementResult
from figcrank.state import ORIGIN, Position, ServerStatus

SQLSTATE_STALE_TERM = "FG001"
SQLSTATE_BEHIND = "FG002"
SQLSTATE_NOT_PRIMARY = "FG003"
SQLSTATE_TOO_MANY_CONNECTIONS = "53300"
REQUESTS_TABLE = "figcrank_requests"


class QueryStatus(msgspec.Struct, frozen=True, tag=True):
    """Request a server's status, immediately or once a log position is durable.

    :param wait_for: reply once the server's durable position has reached this one; :data:`ORIGIN`
        to reply immediately.
    :param wait_ms: maximum wait, in milliseconds.
    """

    wait_for: Position = ORIGIN
    wait_ms: int = 0


class Fence(msgspec.Struct, frozen=True, tag=True):
    """Reject every term below ``term``. A server grants each term to only one fencer.

    :param term: the new term.
    :param fencer: host that requests the fence.
    """

    term: int
    fencer: str


class Promote(msgspec.Struct, frozen=True, tag=True):
    """Become the primary of ``term``; ``fencer`` must hold the fence for it on this server."""

    term: int
    fencer: str


class Follow(msgspec.Struct, frozen=True, tag=True):
    """Replicate from ``primary`` in ``term``, discarding log entries that it does not have."""

    term: int
    primary: str


class Lookup(msgspec.Struct, frozen=True, tag=True):
    """Look up the record of a request on the primary of ``term``.

    :param request_id: id of the request.
    :param term: term in which the server must be primary.
    :param session_pid: process id of the database session to terminate first, so that it can't
        commit after the lookup.
    """

    request_id: str
    term: int
    session_pid: int | None = None


ServerRequest = QueryStatus | Fence | Promote | Follow | Lookup


class ServerFailureKind(StrEnum):
    """Why a backend server did not carry out a request."""

    REFUSED = "refused"
    STALE_TERM = "stale_term"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


class StatusReply(msgspec.Struct, frozen=True, tag=True):
    """The server's status after the request took effect."""

    status: ServerStatus


class RecordReply(msgspec.Struct, frozen=True, tag=True):
    """Result of a :class:`Lookup`.

    :param found: whether the request committed.
    :param position: log position at or after the commit; :data:`ORIGIN` if not found.
    :param results: results stored with the record.
    """

    found: bool
    position: Position = ORIGIN
    results: tuple[StatementResult, ...] = ()


class ServerFailure(msgspec.Struct, frozen=True, tag=True):
    """The server did not confirm that the request took effect."""

    kind: ServerFailureKind
    message: str


ServerReply = StatusReply | RecordReply | ServerFailure


class ReadWork(msgspec.Struct, frozen=True, tag=True):
    """Run read-only statements.

    :param statements: statements to run on one snapshot.
    :param min_position: minimum log position; a server that is behind it rejects the work with
        :data:`SQLSTATE_BEHIND`.
    :param primary_term: if set, the server must be the primary of exactly this term.
    """

    statements: tuple[Statement, ...]
    min_position: Position = ORIGIN
    primary_term: int | None = None


class WriteWork(msgspec.Struct, frozen=True, tag=True):
    """Run statements, insert a record of the request and commit, all in one transaction.

    :param request_id: unique key of the record, which prevents a second commit of the request.
    :param term: term in which the server must be primary.
    :param statements: statements to run.
    """

    request_id: str
    term: int
    statements: tuple[Statement, ...]


class BeginWork(msgspec.Struct, frozen=True, tag=True):
    """Begin a transaction on the primary of ``term``."""

    term: int


class StatementsWork(msgspec.Struct, frozen=True, tag=True):
    """Run statements in the open transaction."""

    statements: tuple[Statement, ...]


class CommitWork(msgspec.Struct, frozen=True, tag=True):
    """Insert a record of ``request_id`` and commit the open transaction."""

    request_id: str


class RollbackWork(msgspec.Struct, frozen=True, tag=True):
    """Roll the open transaction back."""


Work = ReadWork | WriteWork | BeginWork | StatementsWork | CommitWork | RollbackWork


class WorkFailureKind(StrEnum):
    """Why work on a backend connection failed."""

    STALE_TERM = "stale_term"
    BEHIND = "behind"
    DUPLICATE = "duplicate"
    SQL = "sql"
    LOST = "lost"


class WorkDone(msgspec.Struct, frozen=True, tag=True):
    """Result of work that succeeded.

    :param results: one result per statement.
    :param position: the server's log position after the work: committed for writes, applied for
        reads.
    """

    results: tuple[StatementResult, ...]
    position: Position


class WorkFailed(msgspec.Struct, frozen=True, tag=True):
    """Result of work that failed.

    :param kind: cause of the failure; every kind except ``LOST`` means that the transaction was
        rolled back.
    :param message: error message from the server.
    :param sqlstate: SQLSTATE, if the server sent one.
    :param commit_sent: for ``LOST``, whether a commit had been sent and may have taken effect.
    """

    kind: WorkFailureKind
    message: str
    sqlstate: str = ""
    commit_sent: bool = False


WorkResult = WorkDone | WorkFailed
