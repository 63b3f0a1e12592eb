"""Settlement: determines from the stored record of a write whether an attempt committed."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._majority import MajorityWait
from figcrank.protocol import Lookup, RecordReply, ServerReply
from figcrank.state import Group, Position, ServerStatus

# Maximum number of concurrent look-ups, because control connections are few.
MAX_LOOKUPS = 2
LOOKUP_RETRY_MS = 20


@dataclass(frozen=True, slots=True)
class CommitAttempt:
    """An attempt to commit.

    :param request_id: key of the stored record.
    :param server: server that the attempt ran on.
    :param term: term in which it ran.
    :param session_pid: process id of the backend session that ran it, ``None`` if unknown or if
        the session must not be ended.
    """

    request_id: str
    server: str
    term: int
    session_pid: int | None


OnRecord = Callable[[RecordReply, str, int], None]


@dataclass(frozen=True, slots=True, eq=False)
class _PendingSettlement:
    attempt: CommitAttempt
    deadline_ms: int
    on_record: OnRecord
    due_ms: int


class Settlement:
    """Looks up the record of a commit attempt.

    The look-up runs on the primary of the attempt's term or of a later one.

    If the record is missing on the primary of the same term after the session was ended, the
    attempt has not committed and never will. If it is missing on the primary of a later term, the
    same holds once a majority holds the start of that term; until then, another term could begin
    from a log that contains the record.

    :param settings: static settings of this host.
    :param outbox: sends the look-ups and records decisions.
    :param group: the group.
    :param view: statuses of its servers.
    :param majority_wait: waits until a position is durable on a majority.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        group: Group,
        view: GroupView,
        majority_wait: MajorityWait,
    ) -> None:
        self._timeout_ms = settings.timings.server_timeout_ms
        self._outbox = outbox
        self._group = group
        self._view = view
        self._majority_wait = majority_wait
        self._waiting: deque[_PendingSettlement] = deque()
        self._running = 0

    def settle(
        self, attempt: CommitAttempt, deadline_ms: int, now_ms: int, on_record: OnRecord
    ) -> None:
        """Look up an attempt's record; calls back at most once.

        The callback receives the reply, the server's name and the time. No look-up starts after
        ``deadline_ms``, and the callback is not called if none succeeds.
        """
        self._waiting.append(_PendingSettlement(attempt, deadline_ms, on_record, now_ms))
        self.tick(now_ms)

    def tick(self, now_ms: int) -> None:
        """Start the look-ups that are due."""
        self._waiting = deque(pending for pending in self._waiting if pending.deadline_ms > now_ms)
        primary = self._view.primary()
        if primary is None or self._view.is_unresponsive(primary.server, now_ms):
            return
        due = [pending for pending in self._waiting if self._is_due(pending, primary, now_ms)]
        for pending in due[: MAX_LOOKUPS - self._running]:
            self._waiting.remove(pending)
            self._look_up(pending, primary, now_ms)

    def _is_due(self, pending: _PendingSettlement, primary: ServerStatus, now_ms: int) -> bool:
        return pending.due_ms <= now_ms and primary.term >= pending.attempt.term

    def _look_up(self, pending: _PendingSettlement, primary: ServerStatus, now_ms: int) -> None:
        self._running += 1
        attempt = pending.attempt
        session_pid = attempt.session_pid if primary.server == attempt.server else None
        lookup = Lookup(attempt.request_id, primary.term, session_pid)

        def replied(reply: ServerReply, at_ms: int) -> None:
            self._running -= 1
            if isinstance(reply, RecordReply):
                self._on_record(pending, primary, reply, at_ms)
            else:
                retry = _PendingSettlement(
                    attempt, pending.deadline_ms, pending.on_record, at_ms + LOOKUP_RETRY_MS
                )
                self._waiting.append(retry)
            self.tick(at_ms)

        server = self._group.server(primary.server)
        self._outbox.call_server(server, lookup, self._timeout_ms, now_ms, replied)

    def _on_record(
        self, pending: _PendingSettlement, primary: ServerStatus, reply: RecordReply, now_ms: int
    ) -> None:
        self._outbox.record_decision(
            now_ms,
            "settlement",
            pending.attempt.request_id,
            "The request's record was looked up, because its outcome was open.",
            group=self._group.name,
            server=primary.server,
            term=primary.term,
            found=reply.found,
        )
        position = _position_in_term_of(reply.position, primary)
        record = RecordReply(reply.found, position, reply.results)
        if reply.found or primary.term == pending.attempt.term:
            pending.on_record(record, primary.server, now_ms)
            return

        def confirmed(at_ms: int) -> None:
            pending.on_record(record, primary.server, at_ms)

        def replaced(at_ms: int) -> None:
            self.settle(pending.attempt, pending.deadline_ms, at_ms, pending.on_record)

        first_position = Position(primary.term, primary.term_start)
        self._majority_wait.wait(primary.server, first_position, now_ms, confirmed, replaced)


def _position_in_term_of(position: Position, primary: ServerStatus) -> Position:
    """Return a position in the primary's own term that covers ``position``.

    An entry of an earlier term counts as durable on a majority only once an entry of the
    current term does.
    """
    if position.term == primary.term:
        return position
    return Position(primary.term, max(position.offset, primary.term_start))
