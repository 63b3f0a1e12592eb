"""Exit codes and errors of figcrankctl."""

from enum import IntEnum

from figcrank.protocol import Failure, FailureKind, FigcrankError, Outcome

_HINTS = {
    FailureKind.BAD_REQUEST: "Correct the command and run it again.",
    FailureKind.BAD_KEY: "Check --operator-key against operator_keys in the host's settings.",
    FailureKind.STALE_CONFIG: "Put another host first in --operator-url.",
    FailureKind.PLATFORM_UNAVAILABLE: "Edits cannot be stored while the platform is unavailable.",
    FailureKind.NO_PRIMARY: "Check the group with 'figcrankctl groups'.",
}
_UNKNOWN_OUTCOME_HINT = "Check the result with 'figcrankctl config get' before retrying."


class ExitCode(IntEnum):
    """Exit status of figcrankctl."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


class CtlError(FigcrankError):
    """Base class of command failures.

    The message is one line: the error, then a hint on how to proceed.
    """

    exit_code = ExitCode.REFUSED


class UsageError(CtlError):
    """Missing, invalid or incompatible arguments."""

    exit_code = ExitCode.USAGE


class FileError(CtlError):
    """A file that cannot be read, written or parsed.

    :param path: path of the file.
    :param where: line, entry or key in error; empty for the file as a whole.
    :param expected: description of a valid value.
    """

    exit_code = ExitCode.USAGE

    def __init__(self, path: str, where: str, expected: str) -> None:
        place = f"{path}: {where}" if where else path
        super().__init__(f"{place}: expected {expected}; nothing was changed.")


class UnreachableError(CtlError):
    """No host could be reached.

    :param reasons: one error message per URL.
    """

    exit_code = ExitCode.UNREACHABLE

    def __init__(self, reasons: tuple[str, ...]) -> None:
        super().__init__(
            f"No host could be reached: {' '.join(reasons)} "
            "Check --operator-url and that figcrankd is running."
        )


class IncompleteError(CtlError):
    """A result that lacks the answers of some hosts.

    :param addresses: the hosts without an answer.
    :param asked: number of hosts that were asked.
    """

    exit_code = ExitCode.UNREACHABLE

    def __init__(self, addresses: tuple[str, ...], asked: int) -> None:
        super().__init__(
            f"{len(addresses)} of {asked} hosts did not answer: {', '.join(addresses)}. "
            "What they hold is missing above."
        )


class NoReplyError(CtlError):
    """A host sent no reply to a command that it may have executed.

    :param url: URL of the host.
    :param reason: cause of the missing reply, as the rest of a sentence.
    """

    exit_code = ExitCode.UNREACHABLE

    def __init__(self, url: str, reason: str) -> None:
        super().__init__(
            f"{url} may have received the command but {reason}; it may have taken effect. "
            "Check with 'config get', 'groups' or 'explain' before retrying."
        )


class RefusedError(CtlError):
    """A host rejected a request.

    :param failure: failure returned by the host.
    """

    def __init__(self, failure: Failure) -> None:
        text = f"{failure.kind}, outcome {failure.outcome}: {failure.message}"
        hint = _HINTS.get(failure.kind, "")
        if failure.outcome is not Outcome.NOT_RUN:
            hint = _UNKNOWN_OUTCOME_HINT
        if failure.retry_after_ms is not None:
            hint += f" Retry after {failure.retry_after_ms} ms or later."
        super().__init__(f"{text} {hint}".strip())
        self.failure = failure


class UnexpectedReplyError(CtlError):
    """A response that is not a valid reply to the request.

    :param url: URL of the host.
    """

    def __init__(self, url: str) -> None:
        super().__init__(
            f"{url} sent a response that is not an operator API reply; "
            "check that it is the operator address of a host of the same release."
        )


class ConflictError(CtlError):
    """A concurrent edit changed the object first.

    :param name: kind and name of the object.
    :param version: current version; 0 if the object does not exist.
    """

    def __init__(self, name: str, version: int) -> None:
        super().__init__(
            f"{name}: conflict with another edit, now at version {version}; nothing was changed. "
            "Compare both values, then run the command again."
        )


class NotInForceError(CtlError):
    """A stored change was not in force at every live host in time.

    :param revision: expected configuration revision.
    :param waited_s: timeout in seconds.
    :param missing: names or URLs of the hosts without the revision.
    """

    exit_code = ExitCode.NOT_IN_FORCE

    def __init__(self, revision: int, waited_s: float, missing: tuple[str, ...]) -> None:
        super().__init__(
            f"Revision {revision} is stored but after {waited_s:g} s not in force at "
            f"{', '.join(missing)}; check their progress with 'figcrankctl hosts'."
        )
