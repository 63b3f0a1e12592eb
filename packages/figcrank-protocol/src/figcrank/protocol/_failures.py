"""Failures that are reported to a caller, an operator or a peer."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether a failed request took effect."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    DONE = "done"


class FailureKind(StrEnum):
    """Kinds of failure; the value appears in the JSON body."""

    BAD_REQUEST = "bad_request"
    BAD_KEY = "bad_key"
    BAD_SESSION = "bad_session"
    FOREIGN_WORKSPACE = "foreign_workspace"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PROFILE = "unknown_profile"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_TRANSACTION = "unknown_transaction"
    WRITE_IN_READ_PROFILE = "write_in_read_profile"
    TOO_LARGE = "too_large"
    OVER_LIMIT = "over_limit"
    QUEUE_FULL = "queue_full"
    HELD_TOO_LONG = "held_too_long"
    NO_OWNER = "no_owner"
    NO_PRIMARY = "no_primary"
    STALE_CONFIG = "stale_config"
    LEAVING = "leaving"
    STATEMENT_FAILED = "statement_failed"
    TRANSACTION_LOST = "transaction_lost"
    UNKNOWN_OUTCOME = "unknown_outcome"
    CONFLICT = "conflict"
    PLATFORM_UNAVAILABLE = "platform_unavailable"


_STATUS = {
    FailureKind.BAD_REQUEST: 400,
    FailureKind.BAD_KEY: 401,
    FailureKind.BAD_SESSION: 400,
    FailureKind.FOREIGN_WORKSPACE: 403,
    FailureKind.UNKNOWN_SERVICE: 404,
    FailureKind.UNKNOWN_PROFILE: 404,
    FailureKind.UNKNOWN_ROUTE: 404,
    FailureKind.UNKNOWN_TRANSACTION: 404,
    FailureKind.WRITE_IN_READ_PROFILE: 400,
    FailureKind.TOO_LARGE: 413,
    FailureKind.OVER_LIMIT: 429,
    FailureKind.STATEMENT_FAILED: 422,
    FailureKind.TRANSACTION_LOST: 409,
    FailureKind.UNKNOWN_OUTCOME: 504,
    FailureKind.CONFLICT: 409,
}
_UNAVAILABLE_STATUS = 503


@dataclass(frozen=True, slots=True)
class Failure:
    """Describes why a request failed.

    :param kind: kind of failure.
    :param outcome: whether the request ran; ``NOT_RUN`` only when that is certain.
    :param message: human-readable explanation, one sentence.
    :param retry_after_ms: delay before a retry, in milliseconds; ``None`` if a retry can't help.
    """

    kind: FailureKind
    outcome: Outcome
    message: str
    retry_after_ms: int | None = None

    @classmethod
    def not_run(
        cls, kind: FailureKind, message: str, retry_after_ms: int | None = None
    ) -> "Failure":
        """Return the failure of a request that is known not to have run."""
        return cls(kind, Outcome.NOT_RUN, message, retry_after_ms)

    @classmethod
    def unknown(cls, message: str, retry_after_ms: int | None = None) -> "Failure":
        """Return the failure of a request that may have run."""
        return cls(FailureKind.UNKNOWN_OUTCOME, Outcome.UNKNOWN, message, retry_after_ms)

    @property
    def status(self) -> int:
        """Return the HTTP status code for this failure."""
        return _STATUS.get(self.kind, _UNAVAILABLE_STATUS)


class FigcrankError(Exception):
    """Base class of figcrank's exceptions."""


class RequestError(FigcrankError):
    """A request that was rejected before any part of it ran.

    :param failure: failure to report to the caller.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class MessageError(FigcrankError):
    """A peer or platform message that is malformed, unauthenticated or from another fleet.

    :param reason: why the message was dropped; for gossip, also the last part of a metric name.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"Message dropped: {reason}.")
        self.reason = reason


@dataclass(frozen=True, slots=True)
class SettingProblem:
    """One invalid entry in a settings file.

    :param path: dotted path of the key, or ``line N`` for a syntax error.
    :param value: the value found, as text.
    :param expected: description of a valid value.
    """

    path: str
    value: str
    expected: str


class SettingsError(FigcrankError):
    """A settings file with invalid entries.

    :param source: path of the file.
    :param problems: every problem found.
    """

    def __init__(self, source: str, problems: tuple[SettingProblem, ...]) -> None:
        lines = [f"{source}: {p.path}: {p.value}: expected {p.expected}" for p in problems]
        super().__init__("\n".join(lines))
        self.problems = problems
