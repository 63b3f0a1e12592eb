"""Client of the operator APIs of one or more hosts."""

import ipaddress
from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec

from figcrank.cli._ctl_errors import (
    NoReplyError,
    RefusedError,
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
# Longer than a host's own timeout for platform calls, so that the client still receives the reply.
COMMAND_TIMEOUT_MS = 35_000

Reply = TypeVar("Reply")


class FailureBody(msgspec.Struct, frozen=True):
    """Failure in the body of an HTTP error response."""

    type: FailureKind
    outcome: Outcome
    message: str
    retry_after_ms: int | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an HTTP error response."""

    failure: FailureBody


class HostReply(msgspec.Struct, frozen=True):
    """Reply of one host to a query that is sent to several hosts.

    :param url: URL of the host's operator API.
    :param reply: the reply, or ``None`` if there is none.
    :param problem: the error, empty if there is a reply.
    """

    url: str
    reply: Any = None
    problem: str = ""


class OperatorClient:
    """Sends authenticated requests to the operator APIs.

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
        """Validate URLs and key and return a client.

        :raises UsageError: if a URL or the key is missing or malformed.
        """
        trimmed = tuple(url.strip().rstrip("/") for url in urls if url.strip())
        if not trimmed:
            raise UsageError("No operator URL given; set --operator-url or FIGCRANK_OPERATOR_URL.")
        for url in trimmed:
            parse_address(url)
        if not key:
            raise UsageError("No operator key given; set --operator-key or FIGCRANK_OPERATOR_KEY.")
        if not key.isascii() or not key.isprintable():
            raise UsageError("Invalid operator key: only printable ASCII characters are allowed.")
        return cls(trimmed, key, HttpClient())

    def for_url(self, url: str) -> "OperatorClient":
        """Return a client for a single host."""
        return OperatorClient((url,), self._key, self._http)

    def query(self, request: OperatorRequest, expected: type[Reply]) -> Reply:
        """Send a read-only request to each host in turn and return the first reply.

        :raises UnreachableError: if no host responds.
        :raises RefusedError: if a host rejects the request.
        :raises UnexpectedReplyError: if the response is not a reply to the request.
        """
        problems = []
        for url in self.urls:
            try:
                reply = self._exchange(url, request, READ_TIMEOUT_MS)
            except HttpCallError as error:
                problems.append(str(error))
                continue
            return _check_reply(url, reply, expected)
        raise UnreachableError(tuple(problems))

    def query_all(self, request: OperatorRequest, expected: type[Reply]) -> tuple[HostReply, ...]:
        """Send a read-only request to every host and return the replies.

        :raises UnreachableError: if no host responds.
        :raises RefusedError: if every host that responds rejects the request.
        """
        replies = self.collect_replies(request, expected)
        if all(entry.reply is None for entry in replies):
            # Sent again as a single query, which raises the matching error.
            self.query(request, expected)
        return replies

    def collect_replies(
        self, request: OperatorRequest, expected: type[Reply]
    ) -> tuple[HostReply, ...]:
        """Send a read-only request to every host and return replies and errors."""
        return tuple(self._collect_reply(url, request, expected) for url in self.urls)

    def execute(self, request: OperatorRequest, expected: Any) -> Any:
        """Send a request that changes state, at most once to a host that may have received it.

        :param expected: accepted reply types.
        :raises UnreachableError: if no host received the request.
        :raises NoReplyError: if a host may have received the request but sent no reply.
        :raises RefusedError: if a host rejects the request.
        :raises UnexpectedReplyError: if the response is not a reply to the request.
        """
        problems = []
        for url in self.urls:
            try:
                reply = self._exchange(url, request, COMMAND_TIMEOUT_MS)
            except HttpCallError as error:
                if error.sent:
                    raise NoReplyError(url, f"sent no reply ({error.reason})") from error
                problems.append(str(error))
                continue
            return _check_reply(url, reply, expected)
        raise UnreachableError(tuple(problems))

    def _collect_reply(
        self, url: str, request: OperatorRequest, expected: type[Reply]
    ) -> HostReply:
        try:
            reply = self._exchange(url, request, READ_TIMEOUT_MS)
            return HostReply(url, _check_reply(url, reply, expected))
        except (HttpCallError, RefusedError, UnexpectedReplyError) as error:
            return HostReply(url, problem=str(error))

    def _exchange(self, url: str, request: OperatorRequest, timeout_ms: int) -> OperatorReply:
        reply = self._http.post(
            parse_address(url), OPERATOR_PATH, encode(request), self._headers, timeout_ms
        )
        try:
            if reply.status == HTTP_OK:
                return decode_operator_reply(reply.body)
            body = msgspec.json.decode(reply.body, type=ErrorBody).failure
        except (MessageError, msgspec.DecodeError) as error:
            raise UnexpectedReplyError(url) from error
        failure = Failure(body.type, body.outcome, body.message, body.retry_after_ms)
        raise RefusedError(failure)


def parse_address(url: str) -> str:
    """Return the ``ip:port`` of a host's URL.

    :raises UsageError: if the URL is not ``http://ip:port``.
    """
    address = url.removeprefix(URL_PREFIX)
    ip, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT
    if not url.startswith(URL_PREFIX) or not is_port or not _is_ip(ip):
        raise UsageError(f"Invalid URL {url!r}: expected http://IP:PORT.")
    return address


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text.strip("[]"))
    except ValueError:
        return False
    return True


def _check_reply(url: str, reply: OperatorReply, expected: Any) -> Any:
    if isinstance(reply, OperatorFailure):
        raise RefusedError(reply.failure)
    if not isinstance(reply, expected):
        raise UnexpectedReplyError(url)
    return reply
