"""Validation of operators' edits before they are stored."""

from collections.abc import Callable

from figcrank.protocol import EditObject, Failure, FailureKind, Statement, is_read
from figcrank.protocol.objects import CONFIG_KINDS
from figcrank.state import (
    ConfigSnapshot,
    Group,
    Key,
    Profile,
    ProfileMode,
    Route,
    Service,
    Workspace,
)

DIGEST_CHARS = 64
MAX_NAME_CHARS = 128
MAX_RATE_PER_S = 1_000_000
MAX_STALENESS_MS = 86_400_000

_TYPES = {
    "key": Key,
    "profile": Profile,
    "route": Route,
    "service": Service,
    "workspace": Workspace,
}


def check_edit(
    request: EditObject, snapshot: ConfigSnapshot, groups: tuple[Group, ...]
) -> Failure | None:
    """Validate an edit and return the reason for refusing it, ``None`` if it is valid.

    :param request: the edit.
    :param snapshot: configuration in which the edit's references are looked up.
    :param groups: database groups that a service may refer to.
    """
    problem = _check_fields(request)
    if problem is None and request.value is None:
        problem = _check_deletion(request, snapshot)
    elif problem is None:
        problem = _check_value(request, snapshot, groups)
    return None if problem is None else Failure.not_run(FailureKind.BAD_REQUEST, problem)


def _check_fields(request: EditObject) -> str | None:
    if request.kind not in CONFIG_KINDS:
        return f"Unknown kind {request.kind!r}; expected one of {', '.join(CONFIG_KINDS)}."
    if not 0 < len(request.name) <= MAX_NAME_CHARS:
        return f"The name must have 1 to {MAX_NAME_CHARS} characters."
    if request.expected_version < 0:
        return "The expected version must be 0 or greater."
    if not request.operator:
        return "The edit must name its operator."
    if request.value is not None and not isinstance(request.value, _TYPES[request.kind]):
        return f"The value is not a {request.kind}."
    return None


def _check_value(
    request: EditObject, snapshot: ConfigSnapshot, groups: tuple[Group, ...]
) -> str | None:
    value = request.value
    value_name = value.key_id if isinstance(value, Key) else getattr(value, "name", "")
    if value_name != request.name:
        return f"The value has the name {value_name!r}, but the edit has the name {request.name!r}."
    if isinstance(value, Service):
        return _check_service(value, groups)
    return _CHECKS[request.kind](value, snapshot)


def _check_service(service: Service, groups: tuple[Group, ...]) -> str | None:
    if any(group.name == service.group for group in groups):
        return None
    return f"There is no group {service.group!r}."


def _check_workspace(workspace: Workspace, snapshot: ConfigSnapshot) -> str | None:
    if not 1 <= workspace.rate_per_s <= MAX_RATE_PER_S:
        return f"The rate must be 1 to {MAX_RATE_PER_S} requests per second."
    if not 1 <= workspace.burst <= MAX_RATE_PER_S:
        return f"The burst must be 1 to {MAX_RATE_PER_S} requests."
    return None


def _check_key(key: Key, snapshot: ConfigSnapshot) -> str | None:
    if "_" in key.key_id:
        return "A key id must not contain an underscore."
    if len(key.digest) != DIGEST_CHARS or not key.salt:
        return "A key must have a salt and a SHA-256 digest in hexadecimal."
    if not isinstance(snapshot.find("workspace", key.workspace), Workspace):
        return f"There is no workspace {key.workspace!r}."
    current = snapshot.find("key", key.key_id)
    if isinstance(current, Key) and current.withdrawn and not key.withdrawn:
        return "A withdrawn key stays withdrawn; create a new one."
    return None


def _check_profile(profile: Profile, snapshot: ConfigSnapshot) -> str | None:
    if profile.mode is not ProfileMode.BOUNDED:
        return (
            None
            if profile.max_staleness_ms == 0
            else "Only a bounded profile may have a maximum staleness."
        )
    if 1 <= profile.max_staleness_ms <= MAX_STALENESS_MS:
        return None
    return f"The maximum staleness of a bounded profile must be 1 to {MAX_STALENESS_MS} ms."


def _check_route(route: Route, snapshot: ConfigSnapshot) -> str | None:
    for kind, name in (("service", route.service), ("workspace", route.workspace)):
        if snapshot.find(kind, name) is None:
            return f"There is no {kind} {name!r}."
    profile = snapshot.find("profile", route.profile)
    if not isinstance(profile, Profile) or profile.mode is ProfileMode.WRITE:
        return f"There is no read profile {route.profile!r}."
    return None if is_read(Statement(route.sql)) else "The SQL of a route must be a read statement."


def _check_deletion(request: EditObject, snapshot: ConfigSnapshot) -> str | None:
    users = [key.key_id for key in snapshot.of_kind("key") if _uses(key, request)]
    users += [route.name for route in snapshot.of_kind("route") if _uses(route, request)]
    if not users:
        return None
    return f"The {request.kind} is still used by {', '.join(sorted(users))}."


def _uses(value: object, request: EditObject) -> bool:
    if isinstance(value, Key) and value.withdrawn:
        return False
    return getattr(value, request.kind, None) == request.name


_CHECKS: dict[str, Callable[..., str | None]] = {
    "key": _check_key,
    "profile": _check_profile,
    "route": _check_route,
    "workspace": _check_workspace,
}
