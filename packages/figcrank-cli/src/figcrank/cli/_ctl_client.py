"""The operators' client: one request to one host's operator API."""

import time
import warnings
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlsplit

import msgspec

with warnings.catch_warnings():
    warnings.filterwarnings("ignore", message=r"(?s)\s*Eventlet is deprecated")
    from figcrank.transport import HttpCallError, HttpClient

from figcrank.protocol import (
    ConfigList,
    FigcrankError,
    FleetStatus,
    ListConfig,
    MessageError,
    OperatorFailure,
    OperatorReply,
    OperatorRequest,
    StatusQuery,
)
from figcrank.protocol.codecs import decode_operator_reply, encode

OPERATOR_PATH = "/v1/operator"
TIMEOUT_MS = 10_000
POLL_MS = 100
_MS_PER_S = 1_000
_OK = 200

Reply = TypeVar("Reply")


class UnreachableError(FigcrankError):
    """A host's operator API can't be reached or doesn't answer as one.

    :param url: URL that was tried.
    :param reason: what went wrong.
    """

    def __init__(self, url: str, reason: str) -> None:
        super().__init__(f"{url} gave no answer: {reason}. Check --operator-url, or try another.")
        self.url = url


class RefusedError(FigcrankError):
    """A host did not do what it was asked for.

    :param message: the host's reason and what to do next.
    """


class AddressError(FigcrankError):
    """An operator URL that is not one.

    :param url: the text given.
    """

    def __init__(self, url: str) -> None:
        super().__init__(f"{url!r} is not an operator URL; give one like http://10.0.0.1:8081.")


class MissingUrlError(FigcrankError):
    """No operator URL was given.

    :param variable: environment variable that may hold one.
    """

    def __init__(self, variable: str) -> None:
        super().__init__(f"No operator URL is known; give --operator-url or set ${variable}.")


class _FailureText(msgspec.Struct, frozen=True):
    type: str
    message: str
    outcome: str = ""


class _FailureBody(msgspec.Struct, frozen=True):
    failure: _FailureText


@dataclass(frozen=True, slots=True)
class SpreadReport:
    """How far a configuration revision has come.

    :param revision: the revision waited for.
    :param there: hosts that have it in force.
    :param missing: hosts that do not, or gave no answer.
    """

    revision: int
    there: tuple[str, ...]
    missing: tuple[str, ...]


class OperatorClient:
    """Talks to the operator API of one host.

    :param url: URL of the API, such as ``http://10.0.0.1:8081``.
    :param key: operator key.
    :param timeout_ms: deadline of each request, in milliseconds.
    :raises AddressError: if ``url`` can't be used.
    """

    def __init__(self, url: str, key: str, timeout_ms: int = TIMEOUT_MS) -> None:
        self.url = url
        self._address = _address(url)
        self._key = key
        self._timeout_ms = timeout_ms
        self._http = HttpClient()

    def send(self, request: OperatorRequest) -> OperatorReply:
        """Send a request and return the reply.

        :raises UnreachableError: if there is no answer.
        :raises RefusedError: if the host refused.
        """
        headers = {"Authorization": f"Bearer {self._key}", "Content-Type": "application/json"}
        try:
            reply = self._http.post(
                self._address, OPERATOR_PATH, encode(request), headers, self._timeout_ms
            )
        except HttpCallError as error:
            raise UnreachableError(self.url, error.reason) from error
        if reply.status != _OK:
            raise self._refusal(reply.status, reply.body)
        try:
            decoded = decode_operator_reply(reply.body)
        except MessageError as error:
            raise UnreachableError(self.url, "the reply is not an operator reply") from error
        if isinstance(decoded, OperatorFailure):
            raise RefusedError(decoded.failure.message)
        return decoded

    def status(self) -> FleetStatus:
        """Return the host's view of the fleet."""
        return self._expect(StatusQuery(), FleetStatus)

    def config(self, kind: str = "") -> ConfigList:
        """Return the configuration in force at the host, of one kind or all."""
        return self._expect(ListConfig(kind), ConfigList)

    def _expect(self, request: OperatorRequest, expected: type[Reply]) -> Reply:
        reply = self.send(request)
        if not isinstance(reply, expected):
            raise UnreachableError(self.url, f"unexpected reply {type(reply).__name__}")
        return reply

    def _refusal(self, status: int, body: bytes) -> FigcrankError:
        try:
            failure = msgspec.json.decode(body, type=_FailureBody).failure
        except msgspec.DecodeError:
            return UnreachableError(self.url, f"HTTP status {status}")
        if failure.type == "bad_key":
            return RefusedError(f"{failure.message} Give a working one by --operator-key.")
        return RefusedError(failure.message)


def wait_for_spread(clients: list[OperatorClient], revision: int, wait_ms: int) -> SpreadReport:
    """Ask hosts until every one has ``revision`` in force, or the time is over.

    Each host given is asked itself; of the others, what the given ones have heard counts.

    :param wait_ms: longest wait, in milliseconds.
    """
    deadline_s = time.monotonic() + wait_ms / _MS_PER_S
    while True:
        report = _spread(clients, revision)
        if not report.missing or time.monotonic() >= deadline_s:
            return report
        time.sleep(POLL_MS / _MS_PER_S)


def _spread(clients: list[OperatorClient], revision: int) -> SpreadReport:
    known: dict[str, int] = {}
    silent: list[str] = []
    for client in clients:
        try:
            status = client.status()
        except FigcrankError:
            silent.append(client.url)
            continue
        known[status.host] = max(status.config_revision, known.get(status.host, -1))
        for host in status.hosts:
            known[host.name] = max(host.config_revision, known.get(host.name, -1))
    there = sorted(name for name, reached in known.items() if reached >= revision)
    missing = sorted(name for name, reached in known.items() if reached < revision)
    return SpreadReport(revision, tuple(there), (*missing, *silent))


def _address(url: str) -> str:
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError as error:
        raise AddressError(url) from error
    if parts.scheme != "http" or not parts.hostname or port is None:
        raise AddressError(url)
    host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
    return f"{host}:{port}"
