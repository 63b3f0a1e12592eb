"""Sessions of an owner's own callers, which it serves or forwards to the group owner."""

from eventlet.green import socket

from figcrank.coordination.regions import allowed_regions
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.sessions import SessionFailure, SessionStart, TransactionState
from figcrank.transport.streams._caller_connection import (
    SESSION_START_TIMEOUT_MS,
    CallerConnection,
)
from figcrank.transport.streams._owner_opener import OpenedSession
from figcrank.transport.streams._relayed_session import RelayedSession, RelayServices
from figcrank.transport.streams._session import CallerSession, SessionServices


class EntrySession(CallerConnection):
    """Reads the start of a session, and then has this host or the group owner run it.

    :param sock: connected socket of the caller.
    :param services: services of the sessions that this host runs.
    :param relay_services: services of the sessions that it forwards.
    """

    def __init__(
        self, sock: socket.socket, services: SessionServices, relay_services: RelayServices
    ) -> None:
        super().__init__(
            sock,
            services.codec,
            services.sessions,
            services.clock,
            services.log,
            services.metrics,
            services.lifetime,
        )
        self._services = services
        self._relay_services = relay_services

    def _serve(self) -> None:
        start = self._next_message(SESSION_START_TIMEOUT_MS)
        if not isinstance(start, SessionStart):
            return
        rejects = self._lifetime.rejects_sessions(self._clock.now_ms())
        opened = None if rejects else self._forward(start)
        if opened is not None:
            session: CallerConnection = RelayedSession(self._sock, self._relay_services, opened)
            session.take_over(self)
        else:
            session = CallerSession(self._sock, self._services)
            session.take_over(self, start)
            session.require_version(self._relay_services.owners.seen_version)
        self._sessions.discard(self)
        session.run()

    def _forward(self, start: SessionStart) -> OpenedSession | None:
        """Open the session at the group owner; return ``None`` if this host is to run it."""
        view = self._services.router.view
        route = view.catalog.routes.get(start.database) if view.catalog else None
        if route is None:
            return None
        zone = view.itself.availability_zone
        # The group owner must not use an older configuration than this host does.
        self._relay_services.owners.record_version(view.catalog.version)
        workspace = view.catalog.workspace_by_key.get(start.key, "")
        allowed = allowed_regions(route, workspace, view.catalog, view.regions)
        owners = view.ownership.owners_for(
            route.group,
            zone,
            self._services.clock.now_ms(),
            lambda owner_zone: allowed.permits_host(owner_zone, zone),
        )
        return self._relay_services.opener.forward(start, owners, view.itself)

    @property
    def transaction_state(self) -> TransactionState:
        """Return that no transaction is open."""
        return TransactionState.IDLE

    def abort_transaction(self) -> None:
        """Do nothing; no transaction is open."""

    def _release(self) -> None:
        pass

    def _unanswered_failure(self) -> SessionFailure:
        return SessionFailure.BUSY

    def _record_refusal(
        self,
        request_id: str,
        failure: SessionFailure,
        reason: str,
        refusal: RefusalReason = RefusalReason.NO_OWNER,
    ) -> None:
        self._metrics.count("refused", failure=failure.name.lower())
        self._metrics.count("callers_refused", reason=refusal.value)
        self._log.event("refused", id=request_id, failure=failure.name.lower(), reason=reason)
