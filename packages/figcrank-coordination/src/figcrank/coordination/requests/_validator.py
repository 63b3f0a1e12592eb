"""Validation of callers' requests: key, names, profile, session and statements."""

import hashlib
from collections.abc import Collection

from figcrank.coordination._call import RETRY_AFTER_MS, Call
from figcrank.coordination._events import Credentials, StatementsReceived, TransactionReceived
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.groups import group_of_transaction
from figcrank.protocol import (
    Failure,
    FailureKind,
    OwnedRequest,
    TransactionStep,
    is_read,
)
from figcrank.state import (
    Key,
    Profile,
    ProfileMode,
    RandomSource,
    Route,
    Service,
    Session,
    Workspace,
)


class RequestValidator:
    """Converts a caller's request into a :class:`Call`, or returns why it is refused.

    :param settings: static settings of this host.
    :param configuration: configuration in force.
    :param groups: names of the database groups.
    :param random: random source for request ids.
    """

    def __init__(
        self,
        settings: CoreSettings,
        configuration: Configuration,
        groups: Collection[str],
        random: RandomSource,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._groups = groups
        self._random = random

    def validate_statements(self, event: StatementsReceived, now_ms: int) -> Call | Failure:
        """Validate a request to run statements."""
        if event.route:
            return self._validate_open_route_request(event, now_ms)
        key = self._authenticate(event.credentials, now_ms)
        if isinstance(key, Failure):
            return key
        profile = self._configuration.snapshot.find("profile", event.profile)
        if not isinstance(profile, Profile):
            return _unknown_name(FailureKind.UNKNOWN_PROFILE, "profile", event.profile)
        return self._make_call(event, event.service, profile, key.workspace, key.key_id, now_ms)

    def _validate_open_route_request(
        self, event: StatementsReceived, now_ms: int
    ) -> Call | Failure:
        route = self._configuration.snapshot.find("route", event.route)
        if not isinstance(route, Route):
            return _unknown_name(FailureKind.UNKNOWN_ROUTE, "route", event.route)
        if any(statement.sql != route.sql for statement in event.body.statements):
            message = f"The open route {route.name} does not allow this statement."
            return Failure.not_run(FailureKind.FOREIGN_WORKSPACE, message)
        profile = self._configuration.snapshot.find("profile", route.profile)
        if not isinstance(profile, Profile) or profile.mode is ProfileMode.WRITE:
            return _unknown_name(FailureKind.UNKNOWN_PROFILE, "read profile", route.profile)
        return self._make_call(event, route.service, profile, route.workspace, "", now_ms)

    def _authenticate(self, credentials: Credentials, now_ms: int) -> Key | Failure:
        if not self._configuration.is_fresh(now_ms):
            message = "This host has received no configuration updates for too long."
            return Failure.not_run(FailureKind.STALE_CONFIG, message, RETRY_AFTER_MS)
        return self._configuration.authenticate(credentials.key)

    def _make_call(
        self,
        event: StatementsReceived,
        service_name: str,
        profile: Profile,
        workspace_name: str,
        key_id: str,
        now_ms: int,
    ) -> Call | Failure:
        resolved = self._resolve(event.credentials, service_name, workspace_name)
        if isinstance(resolved, Failure):
            return resolved
        service, workspace, session = resolved
        statements = event.body.statements
        if not statements:
            return Failure.not_run(FailureKind.BAD_REQUEST, "The request contains no statements.")
        read_only = all(is_read(statement) for statement in statements)
        if not read_only and profile.mode is not ProfileMode.WRITE:
            message = f"The profile {profile.name} only permits reads."
            return Failure.not_run(FailureKind.WRITE_IN_READ_PROFILE, message)
        request = OwnedRequest(
            self._request_id(workspace.name, event.idempotency_key),
            workspace.name,
            key_id,
            service.group,
            profile,
            statements,
            session.position_in(service.group),
            event.body.repeatable or read_only,
            event.timeout_ms,
            workspace.rate_per_s,
            event.traceparent,
        )
        deadline_ms = now_ms + event.timeout_ms
        return Call(event.call_id, session, request, workspace, now_ms, deadline_ms)

    def _resolve(
        self, credentials: Credentials, service_name: str, workspace_name: str
    ) -> tuple[Service, Workspace, Session] | Failure:
        service = self._configuration.snapshot.find("service", service_name)
        if not isinstance(service, Service) or service.group not in self._groups:
            return _unknown_name(FailureKind.UNKNOWN_SERVICE, "service", service_name)
        workspace = self._configuration.workspace(workspace_name)
        if workspace is None:
            return _no_workspace()
        session = _session_for(workspace, credentials)
        if isinstance(session, Failure):
            return session
        return service, workspace, session

    def validate_step(self, event: TransactionReceived, now_ms: int) -> Call | Failure:
        """Validate a step of a transaction."""
        key = self._authenticate(event.credentials, now_ms)
        if isinstance(key, Failure):
            return key
        workspace = self._configuration.workspace(key.workspace)
        if workspace is None:
            return _no_workspace()
        session = _session_for(workspace, event.credentials)
        if isinstance(session, Failure):
            return session
        group = self._group_of_step(event)
        if isinstance(group, Failure):
            return group
        step = TransactionStep(
            self._request_id(workspace.name, ""),
            event.transaction,
            event.action,
            workspace.name,
            key.key_id,
            group,
            event.statements,
            event.timeout_ms,
            workspace.rate_per_s,
            event.traceparent,
        )
        deadline_ms = now_ms + event.timeout_ms
        return Call(event.call_id, session, step, workspace, now_ms, deadline_ms)

    def _group_of_step(self, event: TransactionReceived) -> str | Failure:
        if event.action == "begin":
            service = self._configuration.snapshot.find("service", event.service)
            if isinstance(service, Service) and service.group in self._groups:
                return service.group
            return _unknown_name(FailureKind.UNKNOWN_SERVICE, "service", event.service)
        group = group_of_transaction(event.transaction)
        if group not in self._groups:
            return _unknown_name(FailureKind.UNKNOWN_TRANSACTION, "transaction", event.transaction)
        return group

    def _request_id(self, workspace: str, idempotency_key: str) -> str:
        if idempotency_key:
            digest = hashlib.sha256(idempotency_key.encode()).hexdigest()[:32]
            return f"{workspace}/{digest}"
        return f"{self._settings.host.name}/{self._random.getrandbits(96):024x}"


def _session_for(workspace: Workspace, credentials: Credentials) -> Session | Failure:
    session = credentials.session or Session(workspace.name)
    if session.workspace == workspace.name:
        return session
    message = "The session token belongs to another workspace."
    return Failure.not_run(FailureKind.BAD_SESSION, message)


def _no_workspace() -> Failure:
    return Failure.not_run(FailureKind.BAD_KEY, "The key's workspace no longer exists.")


def _unknown_name(kind: FailureKind, object_type: str, name: str) -> Failure:
    return Failure.not_run(kind, f"There is no {object_type} {name!r}.")
