"""Exit codes and errors of figcrankctl."""

from enum import IntEnum

from figcrank.protocol import Failure, FailureKind, FigcrankError, Outcome

_ADVICE = {
    FailureKind.BAD_REQUEST: "Correct the command and run it again.",
    FailureKind.BAD_KEY: "Check --operator-key against operator_keys in the host's settings.",
    FailureKind.STALE_CONFIG: "Name another host first with --operator-url.",
    FailureKind.PLATFORM_UNAVAILABLE: "The platform has to answer before an edit can be stored.",
    FailureKind.NO_PRIMARY: "Look at 'figcrankctl groups' first.",
}
_UNKNOWN_ADVICE = "Look at 'figcrankctl config get' before you repeat it."


class ExitCode(IntEnum):
    """What the exit status of figcrankctl means."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


class CtlError(FigcrankError):
    """A command that could not be carried out.

    The message is one line that says what went wrong and what to do next.
    """

    exit_code = ExitCode.REFUSED


class UsageError(CtlError):
    """Arguments that can't be used together, or a missing one."""

    exit_code = ExitCode.USAGE


class FileError(CtlError):
    """A file that can't be used.

    :param path: path of the file.
    :param where: line, entry or key at fault; empty for the file as a whole.
    :param expected: what was expected there.
    """

    exit_code = ExitCode.USAGE

    def __init__(self, path: str, where: str, expected: str) -> None:
        place = f"{path}: {where}" if where else path
        super().__init__(f"{place}: expected {expected}; nothing was changed.")


class UnreachableError(CtlError):
    """No host gave an answer.

    :param reasons: what each host's URL came to.
    """

    exit_code = ExitCode.UNREACHABLE

    def __init__(self, reasons: tuple[str, ...]) -> None:
        super().__init__(
            f"No host could be reached: {' '.join(reasons)} "
            "Check --operator-url and that figcrankd runs."
        )


class UnansweredError(CtlError):
    """A host may have taken an order that it did not answer.

    :param url: URL of the host.
    :param reason: what went wrong.
    """

    exit_code = ExitCode.UNREACHABLE

    def __init__(self, url: str, reason: str) -> None:
        super().__init__(
            f"{url} got the order but {reason}; it may have taken effect. "
            "Look with 'config get', 'groups' or 'explain' before you repeat it."
        )


class RefusedError(CtlError):
    """A host refused a request.

    :param failure: why.
    """

    def __init__(self, failure: Failure) -> None:
        text = f"{failure.kind}, outcome {failure.outcome}: {failure.message}"
        advice = _ADVICE.get(failure.kind, "")
        if failure.outcome is not Outcome.NOT_RUN:
            advice = _UNKNOWN_ADVICE
        if failure.retry_after_ms is not None:
            advice += f" Try again in {failure.retry_after_ms} ms at the earliest."
        super().__init__(f"{text} {advice}".strip())
        self.failure = failure


class UnexpectedReplyError(CtlError):
    """A host answered with something that is no reply to the request.

    :param url: URL of the host.
    """

    def __init__(self, url: str) -> None:
        super().__init__(
            f"{url} gave an answer that is none of the operator API's; "
            "check that it is the operator address and of the same release."
        )


class ConflictError(CtlError):
    """Another edit came first.

    :param name: kind and name of the object.
    :param version: version that stands; 0 if the object is absent.
    """

    def __init__(self, name: str, version: int) -> None:
        super().__init__(
            f"{name}: another edit came first and version {version} stands; nothing was changed. "
            "Compare both sides, then repeat the command."
        )


class NotInForceError(CtlError):
    """A stored change that some hosts did not have in time.

    :param revision: revision that was waited for.
    :param waited_s: how long, in seconds.
    :param missing: names or URLs of the hosts.
    """

    exit_code = ExitCode.NOT_IN_FORCE

    def __init__(self, revision: int, waited_s: float, missing: tuple[str, ...]) -> None:
        super().__init__(
            f"Revision {revision} is stored but after {waited_s:g} s not in force at "
            f"{', '.join(missing)}; run 'figcrankctl hosts' to see whether they catch up."
        )
