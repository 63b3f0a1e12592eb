"""A backend server without input, output or clock."""

from dataclasses import dataclass

import msgspec

from figcrank.protocol import (
    BeginWork,
    CommitWork,
    Fence,
    Follow,
    Lookup,
    Promote,
    QueryStatus,
    ReadWork,
    RecordReply,
    RollbackWork,
    ServerFailure,
    ServerFailureKind,
    ServerReply,
    ServerRequest,
    Statement,
    StatementResult,
    StatementsWork,
    StatusReply,
    Work,
    WorkDone,
    WorkResult,
    WriteWork,
)
from figcrank.standins._database import Database
from figcrank.standins._errors import ServerFullError, WorkError
from figcrank.standins._log import LogEntry, ReplicationBatch
from figcrank.standins._replica_log import ReplicaLog
from figcrank.standins._transactions import OpenTransaction
from figcrank.state import ORIGIN, Position, ServerRole, ServerStatus

MAX_CONNECTIONS = 40
MAX_BATCH_ENTRIES = 500
_FIRST_PID = 1_001

_results_decoder = msgspec.json.Decoder(tuple[StatementResult, ...])


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a database at one position; only to be read.

    :param position: the last entry in it.
    :param database: a private copy.
    """

    position: Position
    database: Database


class ServerModel:
    """One backend server of a database group.

    A new server is fenced in term 0; see :func:`form_group`.

    :param name: the server's name.
    :param members: names of every server of the group, this one included.
    :param max_connections: sessions that may be open at once.
    """

    def __init__(
        self, name: str, members: tuple[str, ...], max_connections: int = MAX_CONNECTIONS
    ) -> None:
        self.name = name
        self.members = members
        self.max_connections = max_connections
        self.leaving = False
        self._store = ReplicaLog()
        self._role = ServerRole.FENCED
        self._term = 0
        self._fencer = ""
        self._primary = ""
        self._sessions: dict[int, OpenTransaction | None] = {}
        self._next_pid = _FIRST_PID
        self._snapshot: Snapshot | None = None

    @property
    def term(self) -> int:
        """Return the highest term that was accepted."""
        return self._term

    @property
    def role(self) -> ServerRole:
        """Return the role in :attr:`term`."""
        return self._role

    @property
    def primary(self) -> str:
        """Return the name of the primary in :attr:`term`, empty while fenced."""
        return self._primary

    @property
    def database(self) -> Database:
        """Return the database; it is replaced when a divergent tail is dropped."""
        return self._store.database

    def status(self) -> ServerStatus:
        """Return what the server reports of itself."""
        fenced = self._role is ServerRole.FENCED
        return ServerStatus(
            server=self.name,
            role=self._role,
            term=self._term,
            term_start=0 if fenced else self._store.log.term_start(self._term),
            durable=self._store.durable,
            applied=self._store.applied,
            fencer=self._fencer,
            leaving=self.leaving,
        )

    def request(self, request: ServerRequest) -> ServerReply:
        """Answer a control request; waits are the driver's business."""
        match request:
            case QueryStatus():
                return StatusReply(self.status())
            case Fence():
                return self._fence(request)
            case Promote():
                return self._promote(request)
            case Follow():
                return self._follow(request)
            case Lookup():
                return self._lookup(request)

    def open_session(self) -> int:
        """Open a session and return its process id.

        :raises ServerFullError: if every connection is in use.
        """
        if len(self._sessions) >= self.max_connections:
            raise ServerFullError(self.name, self.max_connections)
        pid = self._next_pid
        self._next_pid += 1
        self._sessions[pid] = None
        return pid

    def close_session(self, pid: int) -> None:
        """End a session; its open transaction is rolled back. Unknown ids are ignored."""
        self._sessions.pop(pid, None)

    def has_session(self, pid: int) -> bool:
        """Return whether a session is open."""
        return pid in self._sessions

    def run(self, pid: int, work: Work) -> WorkResult:
        """Run work on a session; a failure rolls its transaction back."""
        try:
            return self._run(pid, work)
        except WorkError as error:
            if pid in self._sessions:
                self._sessions[pid] = None
            return error.to_result()

    def read(
        self,
        statements: tuple[Statement, ...],
        min_position: Position = ORIGIN,
        primary_term: int | None = None,
    ) -> WorkDone:
        """Run statements that only read.

        :raises WorkError: if one fails, or the server is behind or not primary of the term.
        """
        self.check_read(min_position, primary_term)
        return WorkDone(self.database.read(statements), self._store.applied)

    def snapshot(self) -> Snapshot:
        """Return a copy of the applied state; sessions at the same position share it."""
        if self._snapshot is None or self._snapshot.position != self._store.applied:
            self._snapshot = Snapshot(self._store.applied, self.database.copy())
        return self._snapshot

    def check_read(self, min_position: Position, primary_term: int | None) -> None:
        """Check that a read may run here; see :meth:`read`.

        :raises WorkError: if it may not.
        """
        if primary_term is not None:
            self.check_primary(primary_term)
        if self._store.applied < min_position:
            raise WorkError.behind(self.name, min_position, self._store.applied)

    def check_primary(self, term: int) -> None:
        """Check that the server is the primary of just ``term``.

        :raises WorkError: if it is not.
        """
        if self._role is not ServerRole.PRIMARY or self._term != term:
            raise WorkError.stale_term(self.name, term, self._term)

    def begin(self, term: int) -> OpenTransaction:
        """Return a new transaction of ``term``; commit it with :meth:`commit`.

        :raises WorkError: if the server is not the primary of ``term``.
        """
        self.check_primary(term)
        return OpenTransaction(self.database, term)

    def commit(
        self, transaction: OpenTransaction, request_id: str = "", results: str | None = None
    ) -> WorkDone:
        """Commit a transaction and log it.

        :param request_id: id of the request record, empty for none.
        :param results: JSON text kept with the record; the statements' results if ``None``.
        :raises WorkError: if the term has ended, the request has committed before or a result that
            the transaction gave no longer holds.
        """
        self.check_primary(transaction.term)
        position = self._store.next_position(transaction.term)
        entry, given = transaction.commit(position, request_id, results)
        self._store.append_committed(entry)
        return WorkDone(given, position)

    def holds(self, position: Position) -> bool:
        """Return whether the log contains the entry at ``position``."""
        return self._store.log.holds(position)

    def fetch_from(self) -> Position:
        """Return the position of the last entry held, after which entries are wanted."""
        return self._store.durable

    def entries_after(self, term: int, position: Position) -> ReplicationBatch | None:
        """Return entries for a replica whose log ends at ``position``.

        :returns: ``None`` if this server is not the primary of ``term``.
        """
        if self._role is not ServerRole.PRIMARY or self._term != term:
            return None
        return self._store.log.batch_after(position, MAX_BATCH_ENTRIES)

    def accept(self, batch: ReplicationBatch, term: int) -> bool:
        """Hold the entries of a batch durably, without applying them.

        A tail that the primary of ``term`` does not have is dropped.

        :returns: whether the entries were added; ``False`` if this server does not follow in
            ``term``, or if the logs diverge earlier and the next batch must be fetched.
        """
        if self._role is not ServerRole.REPLICA or self._term != term:
            return False
        return self._store.extend(batch)

    def apply_up_to(self, offset: int) -> None:
        """Make durable entries up to ``offset`` visible to reads."""
        self._store.apply_up_to(offset)

    def apply_all(self) -> None:
        """Make every durable entry visible to reads."""
        self._store.apply_up_to(self._store.durable.offset)

    def _run(self, pid: int, work: Work) -> WorkDone:
        if pid not in self._sessions:
            raise WorkError.terminated(pid)
        match work:
            case ReadWork():
                return self.read(work.statements, work.min_position, work.primary_term)
            case WriteWork():
                return self._write(work)
            case BeginWork():
                return self._begin_session(pid, work)
            case StatementsWork():
                return self._continue(pid, work)
            case CommitWork():
                return self._commit_session(pid, work)
            case RollbackWork():
                self._sessions[pid] = None
                return WorkDone((), self._store.applied)

    def _write(self, work: WriteWork) -> WorkDone:
        transaction = self.begin(work.term)
        position = self._store.next_position(work.term)
        entry, results = transaction.run(work.statements, position, work.request_id)
        self._store.append_committed(entry)
        return WorkDone(results, position)

    def _begin_session(self, pid: int, work: BeginWork) -> WorkDone:
        if self._sessions[pid] is not None:
            raise WorkError.transaction_open()
        self._sessions[pid] = self.begin(work.term)
        return WorkDone((), self._store.applied)

    def _continue(self, pid: int, work: StatementsWork) -> WorkDone:
        transaction = self._open_transaction(pid)
        self.check_primary(transaction.term)
        results = transaction.execute(work.statements)
        return WorkDone(results, self._store.applied)

    def _commit_session(self, pid: int, work: CommitWork) -> WorkDone:
        done = self.commit(self._open_transaction(pid), work.request_id)
        self._sessions[pid] = None
        return WorkDone((), done.position)

    def _open_transaction(self, pid: int) -> OpenTransaction:
        transaction = self._sessions[pid]
        if transaction is None:
            raise WorkError.no_transaction()
        return transaction

    def _fence(self, request: Fence) -> ServerReply:
        if request.term < self._term:
            return self._stale(request.term)
        if request.term == self._term and not self._is_fenced_by(request.term, request.fencer):
            message = f"{self.name} gave term {self._term} to {self._fencer or 'nobody'}."
            return ServerFailure(ServerFailureKind.REFUSED, message)
        self._enter(request.term, ServerRole.FENCED, request.fencer, "")
        return StatusReply(self.status())

    def _promote(self, request: Promote) -> ServerReply:
        if request.term < self._term:
            return self._stale(request.term)
        promoted = self._role is ServerRole.PRIMARY and self._fencer == request.fencer
        if promoted and self._term == request.term:
            return StatusReply(self.status())
        if not self._is_fenced_by(request.term, request.fencer):
            message = f"{self.name} is not fenced at term {request.term} by {request.fencer}."
            return ServerFailure(ServerFailureKind.REFUSED, message)
        self.apply_all()
        self._enter(request.term, ServerRole.PRIMARY, request.fencer, self.name)
        self._store.append_committed(LogEntry(self._store.next_position(request.term)))
        return StatusReply(self.status())

    def _follow(self, request: Follow) -> ServerReply:
        if request.term < self._term:
            return self._stale(request.term)
        is_primary = self._role is ServerRole.PRIMARY and request.term == self._term
        if is_primary or request.primary == self.name:
            message = f"{self.name} can't follow {request.primary} in term {request.term}."
            return ServerFailure(ServerFailureKind.REFUSED, message)
        fencer = self._fencer if request.term == self._term else ""
        self._enter(request.term, ServerRole.REPLICA, fencer, request.primary)
        return StatusReply(self.status())

    def _lookup(self, request: Lookup) -> ServerReply:
        if request.session_pid is not None:
            self.close_session(request.session_pid)
        if self._role is not ServerRole.PRIMARY or self._term != request.term:
            return self._stale(request.term)
        record = self.database.find_record(request.request_id)
        if record is None:
            return RecordReply(found=False)
        return RecordReply(True, record.position, _results_decoder.decode(record.results))

    def _is_fenced_by(self, term: int, fencer: str) -> bool:
        if self._role is not ServerRole.FENCED or term < 1:
            return False
        return self._term == term and self._fencer == fencer

    def _enter(self, term: int, role: ServerRole, fencer: str, primary: str) -> None:
        self._term = term
        self._role = role
        self._fencer = fencer
        self._primary = primary

    def _stale(self, term: int) -> ServerFailure:
        message = f"{self.name} is {self._role} of term {self._term}, asked for term {term}."
        return ServerFailure(ServerFailureKind.STALE_TERM, message)


def form_group(models: tuple[ServerModel, ...], fencer: str = "form-group") -> None:
    """Begin term 1 on new servers: the first one becomes primary, the others follow it."""
    primary = models[0]
    for model in models:
        model.request(Fence(1, fencer))
    primary.request(Promote(1, fencer))
    for model in models[1:]:
        model.request(Follow(1, primary.name))


def replicate(primary: ServerModel, replica: ServerModel) -> bool:
    """Copy entries to a replica until it holds all; nothing is applied there.

    :returns: whether the replica follows the primary and holds its last entry.
    """
    while replica.fetch_from() != primary.fetch_from():
        before = replica.fetch_from()
        batch = primary.entries_after(replica.term, before)
        if batch is None or replica.primary != primary.name:
            return False
        replica.accept(batch, replica.term)
        if replica.fetch_from() == before:
            return False
    return replica.role is ServerRole.REPLICA
