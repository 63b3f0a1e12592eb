"""Work for backend servers and what comes of it.

The SQL behind each request is described in ``docs/BACKEND.md``.
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
    """Ask for a status, at once or when an offset has become durable.

    :param wait_for: answer once this position is durable or passed; :data:`ORIGIN` for at once.
    :param wait_ms: longest wait, in milliseconds.
    """

    wait_for: Position = ORIGIN
    wait_ms: int = 0


class Fence(msgspec.Struct, frozen=True, tag=True):
    """Refuse every term below ``term``; granted to one fencer a term.

    :param term: the new term.
    :param fencer: host that asks.
    """

    term: int
    fencer: str


class Promote(msgspec.Struct, frozen=True, tag=True):
    """Become the primary of ``term``, which ``fencer`` has fenced here."""

    term: int
    fencer: str


class Follow(msgspec.Struct, frozen=True, tag=True):
    """Replicate from ``primary`` in ``term``, dropping entries that it does not have."""

    term: int
    primary: str


class Lookup(msgspec.Struct, frozen=True, tag=True):
    """Find the record of a request on the primary of ``term``.

    :param request_id: the request.
    :param term: term in which the server must be primary.
    :param session_pid: backend session to terminate first, so that it can't commit afterwards.
    """

    request_id: str
    term: int
    session_pid: int | None = None


ServerRequest = QueryStatus | Fence | Promote | Follow | Lookup


class ServerFailureKind(StrEnum):
    """Why a server did not do what it was asked."""

    REFUSED = "refused"
    STALE_TERM = "stale_term"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


class StatusReply(msgspec.Struct, frozen=True, tag=True):
    """The server's status after the request took effect."""

    status: ServerStatus


class RecordReply(msgspec.Struct, frozen=True, tag=True):
    """What a :class:`Lookup` found.

    :param found: whether the request committed.
    :param position: position at or after its commit, where found.
    :param results: results kept with the record.
    """

    found: bool
    position: Position = ORIGIN
    results: tuple[StatementResult, ...] = ()


class ServerFailure(msgspec.Struct, frozen=True, tag=True):
    """The request had no effect that was confirmed."""

    kind: ServerFailureKind
    message: str


ServerReply = StatusReply | RecordReply | ServerFailure


class ReadWork(msgspec.Struct, frozen=True, tag=True):
    """Run statements that only read.

    :param statements: statements to run on one snapshot.
    :param min_position: the server refuses with :data:`SQLSTATE_BEHIND` below this position.
    :param primary_term: if set, the server must be primary of just this term.
    """

    statements: tuple[Statement, ...]
    min_position: Position = ORIGIN
    primary_term: int | None = None


class WriteWork(msgspec.Struct, frozen=True, tag=True):
    """Run statements and keep a record of the request in one transaction, and commit.

    :param request_id: key of the record; a second commit under it is impossible.
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
    """Run statements within the open transaction."""

    statements: tuple[Statement, ...]


class CommitWork(msgspec.Struct, frozen=True, tag=True):
    """Keep a record of ``request_id`` and commit the open transaction."""

    request_id: str


class RollbackWork(msgspec.Struct, frozen=True, tag=True):
    """Roll the open transaction back."""


Work = ReadWork | WriteWork | BeginWork | StatementsWork | CommitWork | RollbackWork


class WorkFailureKind(StrEnum):
    """Why work on a connection failed."""

    STALE_TERM = "stale_term"
    BEHIND = "behind"
    DUPLICATE = "duplicate"
    SQL = "sql"
    LOST = "lost"


class WorkDone(msgspec.Struct, frozen=True, tag=True):
    """Work that succeeded.

    :param results: one result a statement.
    :param position: the server's position after the work: committed for writes, applied for reads.
    """

    results: tuple[StatementResult, ...]
    position: Position


class WorkFailed(msgspec.Struct, frozen=True, tag=True):
    """Work that failed.

    :param kind: what went wrong; every kind but ``LOST`` means that the transaction rolled back.
    :param message: the server's words.
    :param sqlstate: SQLSTATE, if the server sent one.
    :param commit_sent: for ``LOST``: whether a commit was under way, so that it may have run.
    """

    kind: WorkFailureKind
    message: str
    sqlstate: str = ""
    commit_sent: bool = False


WorkResult = WorkDone | WorkFailed
