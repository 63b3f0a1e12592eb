"""Requests to the operator APIs of one or more hosts."""

import ipaddress
from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec

from figcrank.cli._ctl_errors import (
    RefusedError,
    UnansweredError,
    UnexpectedReplyError,
    UnreachableError,
    UsageError,
)
from figcrank.protocol import (
    Failure,
    FailureKind,
    MessageError,
    OperatorFailure,
    OperatorReply,
    OperatorRequest,
    Outcome,
)
from figcrank.protocol.codecs import decode_operator_reply, encode
from figcrank.transport import HttpCallError, HttpClient

OPERATOR_PATH = "/v1/operator"
URL_PREFIX = "http://"
HTTP_OK = 200
MAX_PORT = 65_535
READ_TIMEOUT_MS = 5_000
# Longer than the host itself waits for the platform, so that its answer is not missed.
ORDER_TIMEOUT_MS = 35_000

Reply = TypeVar("Reply")


class FailureBody(msgspec.Struct, frozen=True):
    """A failure in an HTTP error response."""

    type: FailureKind
    outcome: Outcome
    message: str
    retry_after_ms: int | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an HTTP error response."""

    failure: FailureBody


class HostReply(msgspec.Struct, frozen=True):
    """What one host answered to a question that went to several.

    :param url: URL of the host's operator API.
    :param reply: its reply, ``None`` without one.
    :param problem: why there is no reply.
    """

    url: str
    reply: Any = None
    problem: str = ""


class OperatorClient:
    """Sends requests to hosts with an operator key.

    :param urls: URLs of operator APIs, in order of preference.
    :param key: operator key.
    :param http: HTTP client.
    """

    def __init__(self, urls: tuple[str, ...], key: str, http: HttpClient) -> None:
        self.urls = urls
        self._key = key
        self._headers = {"Authorization": f"Bearer {key}"}
        self._http = http

    @classmethod
    def from_config(cls, urls: Iterable[str], key: str) -> "OperatorClient":
        """Check URLs and key and return the client.

        :raises UsageError: if there is no URL or key, or one has the wrong form.
        """
        trimmed = tuple(url.strip().rstrip("/") for url in urls if url.strip())
        if not trimmed:
            raise UsageError("No host was named; give --operator-url or FIGCRANK_OPERATOR_URL.")
        for url in trimmed:
            address_of(url)
        if not key:
            raise UsageError("No operator key; give --operator-key or FIGCRANK_OPERATOR_KEY.")
        if not key.isascii() or not key.isprintable():
            raise UsageError("An operator key has printable ASCII characters only.")
        return cls(trimmed, key, HttpClient())

    def narrowed(self, url: str) -> "OperatorClient":
        """Return a client of one of the hosts."""
        return OperatorClient((url,), self._key, self._http)

    def ask(self, request: OperatorRequest, expected: type[Reply]) -> Reply:
        """Return the first reply to a question that changes nothing.

        :raises UnreachableError: if no host answers.
        :raises RefusedError: if a host refuses.
        """
        problems = []
        for url in self.urls:
            try:
                reply = self._exchange(url, request, READ_TIMEOUT_MS)
            except HttpCallError as error:
                problems.append(str(error))
                continue
            return _checked(url, reply, expected)
        raise UnreachableError(tuple(problems))

    def ask_all(self, request: OperatorRequest, expected: type[Reply]) -> tuple[HostReply, ...]:
        """Return what every host replies to a question.

        :raises UnreachableError: if no host answers.
        :raises RefusedError: if the only answers are refusals.
        """
        replies = self.poll(request, expected)
        if all(entry.reply is None for entry in replies):
            # Repeated, so that the error is that of a single question.
            self.ask(request, expected)
        return replies

    def poll(self, request: OperatorRequest, expected: type[Reply]) -> tuple[HostReply, ...]:
        """Return what every host replies to a question, problems included."""
        return tuple(self._reply_or_problem(url, request, expected) for url in self.urls)

    def order(self, request: OperatorRequest, expected: Any) -> Any:
        """Send an order that is never repeated once a host may have got it.

        :param expected: types of reply that are taken.
        :raises UnreachableError: if no host got the order.
        :raises UnansweredError: if a host got it and did not answer.
        :raises RefusedError: if a host refuses it.
        """
        problems = []
        for url in self.urls:
            try:
                reply = self._exchange(url, request, ORDER_TIMEOUT_MS)
            except HttpCallError as error:
                if error.sent:
                    raise UnansweredError(url, f"did not answer ({error.reason})") from error
                problems.append(str(error))
                continue
            return _checked(url, reply, expected)
        raise UnreachableError(tuple(problems))

    def _reply_or_problem(
        self, url: str, request: OperatorRequest, expected: type[Reply]
    ) -> HostReply:
        try:
            reply = self._exchange(url, request, READ_TIMEOUT_MS)
            return HostReply(url, _checked(url, reply, expected))
        except (HttpCallError, RefusedError, UnexpectedReplyError) as error:
            return HostReply(url, problem=str(error))

    def _exchange(self, url: str, request: OperatorRequest, timeout_ms: int) -> OperatorReply:
        reply = self._http.post(
            address_of(url), OPERATOR_PATH, encode(request), self._headers, timeout_ms
        )
        try:
            if reply.status == HTTP_OK:
                return decode_operator_reply(reply.body)
            body = msgspec.json.decode(reply.body, type=ErrorBody).failure
        except (MessageError, msgspec.DecodeError) as error:
            raise UnexpectedReplyError(url) from error
        failure = Failure(body.type, body.outcome, body.message, body.retry_after_ms)
        raise RefusedError(failure)


def address_of(url: str) -> str:
    """Return the ``ip:port`` of a URL.

    :raises UsageError: if the URL is not ``http://ip:port``.
    """
    address = url.removeprefix(URL_PREFIX)
    ip, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT
    if not url.startswith(URL_PREFIX) or not is_port or not _is_ip(ip):
        raise UsageError(f"{url!r} is no URL of a host; expected http://IP:PORT.")
    return address


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text.strip("[]"))
    except ValueError:
        return False
    return True


def _checked(url: str, reply: OperatorReply, expected: Any) -> Any:
    if isinstance(reply, OperatorFailure):
        raise RefusedError(reply.failure)
    if not isinstance(reply, expected):
        raise UnexpectedReplyError(url)
    return reply
