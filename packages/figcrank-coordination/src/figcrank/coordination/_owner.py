"""One database group at one of its owner hosts: connections, routing, writes, failover."""

from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._actions import OpenConnection, StartWork
from figcrank.coordination._events import ConnectionFailed, ConnectionOpened, WorkFinished
from figcrank.coordination._placement import Placement
from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.protocol import (
    Failure,
    FailureKind,
    GroupReport,
    GroupStatus,
    OwnedAnswer,
    OwnedRequest,
    QueryStatus,
    ReadWork,
    ServerReply,
    StatusReply,
    TransactionStep,
    WorkDone,
    WriteWork,
    is_read,
)
from figcrank.state import Group, RandomSource, ServerRole, ServerStatus

OnAnswer = Callable[[OwnedAnswer | Failure, int], None]


@dataclass(frozen=True, slots=True)
class _Job:
    request: OwnedRequest
    on_answer: OnAnswer


class GroupOwner:
    """Runs requests on one database group and keeps the group alive.

    Every host has one for each group; it only queries servers while it is an owner.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param placement: tells the owners of the group.
    :param group: the group.
    :param random: random source for jitter.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        placement: Placement,
        group: Group,
        random: RandomSource,
    ) -> None:
        self._settings = settings
        self._port = port
        self._placement = placement
        self._group = group
        self._random = random
        self._statuses: dict[str, ServerStatus] = {}
        self._idle: list[int] = []
        self._opening = 0
        self._waiting: list[_Job] = []
        self._running: dict[int, _Job] = {}
        self._next_query_ms = 0

    def submit(
        self, request: OwnedRequest, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Run a request of one transaction; calls back exactly once."""
        if not self._primary():
            refusal = Failure.not_run(FailureKind.NO_PRIMARY, "The group has no primary.", 100)
            on_answer(refusal, now_ms)
            return
        self._waiting.append(_Job(request, on_answer))
        self._start_waiting()

    def step(
        self, step: TransactionStep, deadline_ms: int, now_ms: int, on_answer: OnAnswer
    ) -> None:
        """Take a step of a transaction owned here; calls back exactly once."""
        on_answer(Failure.not_run(FailureKind.UNKNOWN_TRANSACTION, "No such transaction."), now_ms)

    def tick(self, now_ms: int) -> None:
        """Query servers, expire queued requests, detect failures and drive failover."""
        if now_ms < self._next_query_ms:
            return
        self._next_query_ms = now_ms + self._settings.timings.status_interval_ms
        timeout_ms = self._settings.timings.server_timeout_ms
        for server in self._group.servers:
            self._port.call_server(server, QueryStatus(), timeout_ms, now_ms, self._on_status)

    def on_gossip(self, sender: str, message: GroupReport, now_ms: int) -> None:
        """Take what another probing host saw of the group."""

    def on_opened(self, event: ConnectionOpened, now_ms: int) -> bool:
        """Take an opened connection; return whether it is one of this group's."""
        self._opening -= 1
        self._idle.append(event.connection_id)
        self._start_waiting()
        return True

    def on_failed(self, event: ConnectionFailed, now_ms: int) -> bool:
        """Take a failed connection; return whether it is one of this group's."""
        self._opening -= 1
        return True

    def on_finished(self, event: WorkFinished, now_ms: int) -> bool:
        """Take the end of work; return whether the connection is one of this group's."""
        job = self._running.pop(event.work_id, None)
        if job is None:
            return False
        self._idle.append(event.connection_id)
        if isinstance(event.result, WorkDone):
            answer = OwnedAnswer(
                event.result.results, event.result.position, self._primary(), self._group.name
            )
            job.on_answer(answer, now_ms)
        else:
            failure = Failure.not_run(FailureKind.STATEMENT_FAILED, event.result.message)
            job.on_answer(failure, now_ms)
        self._start_waiting()
        return True

    def withdraw_key(self, key_id: str, now_ms: int) -> None:
        """End the queued requests and open transactions of a key."""

    def switch(self, server: str, now_ms: int) -> Failure | None:
        """Begin a planned change of primary; return why not, if it can't be done."""
        return Failure.not_run(FailureKind.BAD_REQUEST, "Not supported yet.")

    def drain_server(self, server: str, draining: bool, now_ms: int) -> None:
        """Give a server no new work, or take it back into use."""

    def leave(self, now_ms: int) -> None:
        """Take no new requests; what is in hand finishes."""

    def is_idle(self) -> bool:
        """Return whether nothing is in hand."""
        return not self._waiting and not self._running

    def status(self) -> GroupStatus:
        """Return what is believed of the group."""
        owners = tuple(host.name for host in self._placement.owners(self._group.name))
        statuses = tuple(self._statuses.values())
        term = max((status.term for status in statuses), default=0)
        return GroupStatus(
            self._group.name, term, self._primary(), owners, statuses, len(self._waiting)
        )

    def _primary(self) -> str:
        for status in self._statuses.values():
            if status.role is ServerRole.PRIMARY:
                return status.server
        return ""

    def _on_status(self, reply: ServerReply, now_ms: int) -> None:
        if isinstance(reply, StatusReply):
            self._statuses[reply.status.server] = reply.status

    def _start_waiting(self) -> None:
        while self._waiting and self._idle:
            self._start(self._waiting.pop(0), self._idle.pop())
        if self._waiting and not self._opening:
            self._opening += 1
            server = self._group.server(self._primary())
            self._port.emit(OpenConnection(self._port.new_id(), server))

    def _start(self, job: _Job, connection_id: int) -> None:
        request = job.request
        work_id = self._port.new_id()
        self._running[work_id] = job
        if all(is_read(statement) for statement in request.statements):
            work = ReadWork(request.statements, request.position)
        else:
            term = self._statuses[self._primary()].term
            work = WriteWork(request.request_id, term, request.statements)
        self._port.emit(
            StartWork(connection_id, work_id, work, request.timeout_ms, request.traceparent)
        )
