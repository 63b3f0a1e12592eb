"""Finds out, from the record that each write keeps, whether an attempt committed."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._majority import MajorityWait
from figcrank.protocol import Lookup, RecordReply, ServerReply
from figcrank.state import Group, Position, ServerStatus

# Control connections are few; settlements share this many at once.
MAX_LOOKUPS = 2
RETRY_MS = 20


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to commit.

    :param request_id: key of the record.
    :param server: server that it ran on.
    :param term: term in which it ran.
    :param session_pid: backend session that ran it, ``None`` if not known.
    """

    request_id: str
    server: str
    term: int
    session_pid: int | None


OnRecord = Callable[[RecordReply, str, int], None]


@dataclass(frozen=True, slots=True, eq=False)
class _Case:
    attempt: Attempt
    deadline_ms: int
    on_record: OnRecord
    due_ms: int


class Settlement:
    """Looks records up on the primary, in this term or the next.

    A record that is missing on the primary of the same term, once the session was ended, proves
    that the attempt did not commit and never will. One that is missing on the primary of a later
    term proves it once a majority holds the beginning of that term: before, yet another term could
    begin on a log that has it.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param group: the group.
    :param view: statuses of its servers.
    :param majority: waits for durable positions.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        group: Group,
        view: GroupView,
        majority: MajorityWait,
    ) -> None:
        self._timeout_ms = settings.timings.server_timeout_ms
        self._port = port
        self._group = group
        self._view = view
        self._majority = majority
        self._waiting: deque[_Case] = deque()
        self._running = 0

    def settle(self, attempt: Attempt, deadline_ms: int, now_ms: int, on_record: OnRecord) -> None:
        """Look an attempt's record up; calls back once with what was found and where.

        It does not call back after ``deadline_ms``.
        """
        self._waiting.append(_Case(attempt, deadline_ms, on_record, now_ms))
        self.tick(now_ms)

    def tick(self, now_ms: int) -> None:
        """Start the look-ups that are due."""
        self._waiting = deque(case for case in self._waiting if case.deadline_ms > now_ms)
        primary = self._view.primary()
        if primary is None or self._view.is_failing(primary.server, now_ms):
            return
        due = [case for case in self._waiting if self._is_due(case, primary, now_ms)]
        for case in due[: MAX_LOOKUPS - self._running]:
            self._waiting.remove(case)
            self._look_up(case, primary, now_ms)

    def _is_due(self, case: _Case, primary: ServerStatus, now_ms: int) -> bool:
        return case.due_ms <= now_ms and primary.term >= case.attempt.term

    def _look_up(self, case: _Case, primary: ServerStatus, now_ms: int) -> None:
        self._running += 1
        attempt = case.attempt
        session_pid = attempt.session_pid if primary.server == attempt.server else None
        lookup = Lookup(attempt.request_id, primary.term, session_pid)

        def replied(reply: ServerReply, at_ms: int) -> None:
            self._running -= 1
            if isinstance(reply, RecordReply):
                self._on_record(case, primary, reply, at_ms)
            else:
                again = _Case(attempt, case.deadline_ms, case.on_record, at_ms + RETRY_MS)
                self._waiting.append(again)
            self.tick(at_ms)

        server = self._group.server(primary.server)
        self._port.call_server(server, lookup, self._timeout_ms, now_ms, replied)

    def _on_record(
        self, case: _Case, primary: ServerStatus, reply: RecordReply, now_ms: int
    ) -> None:
        self._port.decide(
            now_ms,
            "settlement",
            case.attempt.request_id,
            "The request's record was looked up, because its outcome was open.",
            group=self._group.name,
            server=primary.server,
            term=primary.term,
            found=reply.found,
        )
        position = _in_term(reply.position, primary)
        record = RecordReply(reply.found, position, reply.results)
        if reply.found or primary.term == case.attempt.term:
            case.on_record(record, primary.server, now_ms)
            return

        def confirmed(at_ms: int) -> None:
            case.on_record(record, primary.server, at_ms)

        def replaced(at_ms: int) -> None:
            self.settle(case.attempt, case.deadline_ms, at_ms, case.on_record)

        began = Position(primary.term, primary.term_start)
        self._majority.wait(primary.server, began, now_ms, confirmed, replaced)


def _in_term(position: Position, primary: ServerStatus) -> Position:
    """Return a position of the primary's own term that covers ``position``.

    Entries of earlier terms only count as held once an entry of the current term is.
    """
    if position.term == primary.term:
        return position
    return Position(primary.term, max(position.offset, primary.term_start))
