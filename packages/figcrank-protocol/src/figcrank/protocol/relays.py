"""Messages between a relay, which forwards its callers' sessions, and an owner, which runs them.

A relayed session is one TCP connection. Each message of the caller is a line of JSON. Each reply is
a line of JSON with the reply's length and state, followed by the reply in the caller's wire format.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass

from figcrank.protocol.sessions import (
    CallerCodec,
    CallerMessage,
    ConfigurationSeen,
    Decoder,
    Request,
    SessionFailure,
    SessionStart,
    TransactionState,
    Verb,
)

EOL = b"\n"
# A statement of 1 MiB whose characters are all escaped as six bytes.
MAX_LINE_BYTES = 7 * 1_048_576


class RelayProtocolError(ValueError):
    """Data that can't be decoded as a message between a relay and an owner."""


@dataclass(frozen=True, slots=True)
class RelayReply:
    """An owner's reply to one message of a caller.

    :param body: the reply in the caller's wire format, without the message that ends it.
    :param state: transaction state of the session after the reply.
    :param ended: whether the owner ends the session with this reply.
    :param catalog_version: version of the owner's configuration; 0 while it has none.
    :param timeout_ms: statement timeout of the session's route; 0 if it is unknown.
    """

    body: bytes
    state: TransactionState
    ended: bool
    catalog_version: int
    timeout_ms: int

    @property
    def failure(self) -> SessionFailure | None:
        """Return ``None``; a failed statement is reported in :attr:`body`."""
        return None


def encode_start(start: SessionStart, seen_version: int) -> bytes:
    """Return the message that opens a relayed session.

    :param seen_version: newest configuration version that the relay has seen in use.
    """
    return _encode_line([seen_version, "start", start.database, start.key])


def encode_request(request: Request, seen_version: int) -> bytes:
    """Return a caller's request as the owner receives it.

    :param seen_version: newest configuration version that the relay has seen in use.
    """
    fields = [request.request_id, request.verb.name, request.text, request.name, request.argument]
    return _encode_line([seen_version, "run", *fields, request.prepares_write])


def _encode_line(fields: list) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + EOL


class _RequestDecoder(Decoder):
    """Decodes the messages of a relay."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[CallerMessage]:
        """Return the messages that ``data`` completes, oldest first.

        Each is preceded by the configuration version that the relay has seen.

        :raises RelayProtocolError: if a line can't be decoded or is too long.
        """
        *lines, self._pending = (self._pending + data).split(EOL)
        if len(self._pending) > MAX_LINE_BYTES:
            raise RelayProtocolError(f"a relayed message exceeds {MAX_LINE_BYTES} bytes")
        return [message for line in lines for message in _decode_line(line)]


def _decode_line(line: bytes) -> tuple[CallerMessage, CallerMessage]:
    try:
        seen_version, kind, *fields = json.loads(line)
        seen = ConfigurationSeen(int(seen_version))
        if kind == "start":
            database, key = fields
            return seen, SessionStart(str(database), str(key))
        request_id, verb, text, name, argument, prepares_write = fields
        texts = str(request_id), Verb[verb], str(text), str(name), str(argument)
        return seen, Request(*texts, bool(prepares_write))
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        # The line may hold a caller's key, so it is not quoted.
        detail = f"{len(line)} bytes are not a relayed message: {type(error).__name__}"
        raise RelayProtocolError(detail) from None


class _ReplyDecoder(Decoder):
    """Decodes the replies of an owner."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[RelayReply]:
        """Return the replies that ``data`` completes, oldest first.

        :raises RelayProtocolError: if a reply can't be decoded.
        """
        self._pending += data
        replies = []
        while (reply := self._take_reply()) is not None:
            replies.append(reply)
        return replies

    def _take_reply(self) -> RelayReply | None:
        head, found, rest = self._pending.partition(EOL)
        if not found:
            return None
        try:
            size, state, ended, version, timeout_ms = json.loads(head)
            size, state = int(size), TransactionState[state]
            numbers = int(version), int(timeout_ms)
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            detail = f"{len(head)} bytes are not a reply of an owner: {type(error).__name__}"
            raise RelayProtocolError(detail) from error
        if len(rest) < size:
            return None
        self._pending = rest[size:]
        return RelayReply(rest[:size], state, bool(ended), *numbers)


def relay_reply_decoder() -> Decoder:
    """Return a decoder of :class:`RelayReply` for one connection."""
    return _ReplyDecoder()


class RelayCallerCodec(CallerCodec):
    """Wire format of the connections from relays, used by an owner in place of the callers' own.

    :param inner: wire format of the callers.
    :param facts: returns the configuration version and the statement timeout, in milliseconds, that
        each reply reports.
    """

    def __init__(self, inner: CallerCodec, facts: Callable[[], tuple[int, int]]) -> None:
        self._inner = inner
        self._facts = facts

    def decoder(self) -> Decoder:
        """Return a decoder of a relay's messages for one connection."""
        return _RequestDecoder()

    def reply(self, body: bytes, state: TransactionState) -> bytes:
        """Return a complete reply."""
        return self._encode(body, state, ended=False)

    def rejection(self, failure: SessionFailure, detail: str) -> bytes:
        """Return the reply that ends a session before it began."""
        body = self._inner.failure(failure, detail)
        return self._encode(body, TransactionState.IDLE, ended=True)

    def completion(self) -> bytes:
        """Return the completion of a request that was handled without a backend server."""
        return self._inner.completion()

    def failure(self, failure: SessionFailure, detail: str) -> bytes:
        """Return the message that reports a failure."""
        return self._inner.failure(failure, detail)

    def _encode(self, body: bytes, state: TransactionState, ended: bool) -> bytes:
        return _encode_line([len(body), state.name, ended, *self._facts()]) + body
