"""Finds a server and a connection to it for a statement."""

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import eventlet

from figcrank.coordination.admission import Demand, Stage
from figcrank.coordination.sessions import HostLifetime, RetryAction, after_failed_connect
from figcrank.state._catalog import DatabaseRoute, ReadMode
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._admission_gate import AdmissionError
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._pool import ServerPool
from figcrank.transport.streams._preparer import ConnectionPreparer
from figcrank.transport.streams._router import Router

if TYPE_CHECKING:
    from figcrank.transport.streams._session import CallerSession

RETRY_PAUSE_MS = 25  # about one statement's duration; then a slot or connection is likely free
HEDGE_ACQUIRE_MS = 40  # a hedged read only helps if a connection is free at once
# The position prober checks every 100 ms, and a status query to another region takes 50 ms.
POSITION_WAIT_MS = 300
ANSWER_MARGIN_MS = 20  # time to send the answer before the caller's timeout


@dataclass(slots=True)
class Attempt:
    """A connection on which a statement is to be sent.

    :param pool: pool of the server.
    :param connection: connection to it.
    :param min_position: position that the server must have reached, ``None`` at the primary.
    """

    pool: ServerPool
    connection: ServerConnection
    min_position: Position | None


class ConnectionAcquirer:
    """Acquires connections for statements, with the session's variables set.

    :param router: server pools.
    :param clock: this host's clock.
    :param preparer: sets the variables.
    :param lifetime: how long this host runs.
    """

    def __init__(
        self,
        router: Router,
        clock: Clock,
        preparer: ConnectionPreparer,
        lifetime: HostLifetime,
    ) -> None:
        self._lifetime = lifetime
        self._router = router
        self._clock = clock
        self._preparer = preparer

    def demand(
        self, session: "CallerSession", route: DatabaseRoute, workspace: str, form: str
    ) -> Demand:
        """Return what an operation asks for whose first statement has just arrived.

        :param form: ``read``, ``write`` or ``transaction``.
        """
        now_ms = self._clock.now_ms()
        return Demand(
            workspace,
            f"{route.name} {form}",
            (route.priority, self._router.workspace_priority(workspace)),
            now_ms,
            now_ms + route.target_latency_ms,
            self._lifetime.limit_ms(now_ms + route.timeout_ms - ANSWER_MARGIN_MS),
            session.is_connected,
            lambda: session.acts_for(workspace),
        )

    def hedge(self, demand: Demand) -> Demand:
        """Return the demand of a second attempt of a read that is running at another server."""
        deadline_ms = min(demand.deadline_ms, self._clock.now_ms() + HEDGE_ACQUIRE_MS)
        return replace(demand, deadline_ms=deadline_ms, is_hedge=True)

    def acquire_primary(
        self, session: "CallerSession", route: DatabaseRoute, demand: Demand
    ) -> tuple[ServerPool, ServerConnection]:
        """Return a connection to the primary.

        :raises OpenError: if no connection is available by the deadline, or the primary is in a
            region where the statement may not run.
        """
        deadline_ms = demand.deadline_ms
        while True:
            self._router.await_evacuations()
            self._router.require_allowed_primary(route, demand.workspace)
            pool = self._await_primary(route.group, demand)
            # Another server may have become the primary meanwhile.
            self._router.require_allowed_primary(route, demand.workspace)
            try:
                connection = pool.acquire(demand, session.variables)
            except AdmissionError:
                raise
            except OpenError as error:
                if self._clock.now_ms() + RETRY_PAUSE_MS >= deadline_ms:
                    raise
                if after_failed_connect(error.failure) is RetryAction.WAIT_AND_RETRY:
                    eventlet.sleep(RETRY_PAUSE_MS / 1_000)
                continue
            # The primary may have been fenced while the connection was opened.
            if not self.is_usable_primary(pool, route.group):
                pool.release(connection)
                continue
            if not self._router.admit_to_cold(pool):
                pool.release(connection)
                continue
            if self._apply_variables(session, connection, demand):
                return pool, connection
            self._router.discard_failed_connection(pool, connection)

    def _await_primary(self, group: str, demand: Demand) -> ServerPool:
        started_ms = self._clock.now_ms()
        try:
            return self._router.await_primary(group, demand.deadline_ms, demand.arrived_ms)
        finally:
            demand.stages.add(Stage.PRIMARY, self._clock.now_ms() - started_ms)

    def _apply_variables(
        self, session: "CallerSession", connection: ServerConnection, demand: Demand
    ) -> bool:
        started_ms = self._clock.now_ms()
        applied = self._preparer.apply_variables(session, connection)
        demand.stages.add(Stage.PREPARE, self._clock.now_ms() - started_ms)
        return applied

    def is_usable_primary(self, pool: ServerPool, group: str) -> bool:
        """Return whether statements may be sent to a server as the primary of its group."""
        if not self._router.may_send_to(pool.entry):
            return False
        return self._router.is_primary(pool) and self._router.primary_usable(group)

    def acquire_server(
        self,
        session: "CallerSession",
        route: DatabaseRoute,
        demand: Demand,
        tried: set[str],
        force_primary: bool,
    ) -> Attempt:
        """Return a connection for a read, on which the read has not been sent yet.

        :param tried: servers where this read failed.
        :raises OpenError: if no connection is available by the deadline.
        """
        rejections: dict[str, AdmissionError] = {}
        position_due_ms = min(demand.deadline_ms, self._clock.now_ms() + POSITION_WAIT_MS)
        while True:
            self._router.await_evacuations()
            if route.mode is ReadMode.PRIMARY or force_primary:
                pool, connection = self.acquire_primary(session, route, demand)
                return Attempt(pool, connection, None)
            last_commit = session.last_commit.get(route.group)
            pools = self._router.read_pools(route, last_commit, demand, tried | set(rejections))
            if not pools and rejections:
                raise min(rejections.values(), key=lambda e: e.rejection.retry_after_ms)
            if not pools and len(tried) > 0:
                tried.clear()
                pools = self._router.read_pools(route, last_commit, demand, tried)
            if not pools:
                in_time = self._clock.now_ms() < position_due_ms
                if in_time and self._router.awaits_position(route, demand.workspace):
                    eventlet.sleep(RETRY_PAUSE_MS / 1_000)
                    demand.stages.add(Stage.POSITION, RETRY_PAUSE_MS)
                    continue
                force_primary = True
                continue
            pool, min_position = pools[0]
            try:
                connection = pool.acquire(demand, session.variables)
            except AdmissionError as error:
                rejections[pool.entry.server_id] = error
                continue
            except OpenError as error:
                if after_failed_connect(error.failure) is RetryAction.TRY_ELSEWHERE:
                    tried.add(pool.entry.server_id)
                if self._clock.now_ms() + RETRY_PAUSE_MS >= demand.deadline_ms:
                    raise
                if after_failed_connect(error.failure) is RetryAction.WAIT_AND_RETRY:
                    eventlet.sleep(RETRY_PAUSE_MS / 1_000)
                continue
            if self._router.must_leave(pool, route, last_commit, demand, tried):
                pool.release(connection)
                continue
            if min_position is None and not self._router.primary_usable(route.group):
                pool.release(connection)
                continue
            if not self._router.admit_to_cold(pool):
                pool.release(connection)
                continue
            if self._apply_variables(session, connection, demand):
                return Attempt(pool, connection, min_position)
            self._router.discard_failed_connection(pool, connection)
