"""Messages between a relay, which forwards its callers' sessions, and an owner, which runs them.

A relayed session is one TCP connection. Each message of the caller is a line of JSON. Each reply is
a line of JSON with the reply's length and state, followed by the reply in the caller's wire format.

The start of a session has options if the owner has shown that it reads them. Only a start with
options is answered with a redirect, as hosts of earlier releases send no options and read no
redirect.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from figcrank.protocol.decoding import DECODE_ERRORS
from figcrank.protocol.owners import Owner, decode_owners, encode_owners
from figcrank.protocol.sessions import (
    CallerCodec,
    CallerMessage,
    ConfigurationSeen,
    Decoder,
    Request,
    SessionFailure,
    SessionStart,
    StartOptions,
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
    :param redirect: owners at which to open the session instead, best first; empty in all replies
        but that to a start.
    """

    body: bytes
    state: TransactionState
    ended: bool
    catalog_version: int
    timeout_ms: int
    redirect: tuple[Owner, ...] = ()

    @property
    def failure(self) -> SessionFailure | None:
        """Return ``None``; a failed statement is reported in :attr:`body`."""
        return None


def encode_start(
    start: SessionStart, seen_version: int, options: StartOptions | None = None
) -> bytes:
    """Return the message that opens a relayed session.

    :param seen_version: newest configuration version that the relay has seen in use.
    :param options: options of the start; ``None`` for an owner that may not read them.
    """
    fields = [seen_version, "start", start.database, start.key]
    if options is not None:
        flags = {"final": options.final, "owner": options.from_owner}
        fields.append(
            {"zone": options.availability_zone, **{name: 1 for name, on in flags.items() if on}}
        )
    return _encode_line(fields)


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


def _decode_line(line: bytes) -> tuple[CallerMessage, ...]:
    try:
        seen_version, kind, *fields = json.loads(line)
        seen = ConfigurationSeen(int(seen_version))
        if kind == "start":
            database, key, *more = fields
            return seen, *_decode_options(more), SessionStart(str(database), str(key))
        request_id, verb, text, name, argument, prepares_write = fields
        texts = str(request_id), Verb[verb], str(text), str(name), str(argument)
        return seen, Request(*texts, bool(prepares_write))
    except DECODE_ERRORS as error:
        # The line may hold a caller's key, so it is not quoted.
        detail = f"{len(line)} bytes are not a relayed message: {type(error).__name__}"
        raise RelayProtocolError(detail) from None


def _decode_options(fields: list) -> tuple[StartOptions, ...]:
    """Return the options of a start, if it has any; unknown ones are ignored."""
    if not fields:
        return ()
    (options,) = fields
    final, from_owner = bool(options.get("final")), bool(options.get("owner"))
    return (StartOptions(str(options["zone"]), final, from_owner),)


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
            size, state, ended, version, timeout_ms, *more = json.loads(head)
            size, state = int(size), TransactionState[state]
            numbers = int(version), int(timeout_ms)
            redirect = decode_owners(more[0]) if more else ()
        except DECODE_ERRORS as error:
            detail = f"{len(head)} bytes are not a reply of an owner: {type(error).__name__}"
            raise RelayProtocolError(detail) from error
        if len(rest) < size:
            return None
        self._pending = rest[size:]
        return RelayReply(rest[:size], state, bool(ended), *numbers, redirect)


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

    def redirect(self, owners: Iterable[Owner]) -> bytes:
        """Return the reply that sends a relay to other owners; its start must have had options."""
        fields = [0, TransactionState.IDLE.name, True, *self._facts(), encode_owners(owners)]
        return _encode_line(fields)

    def completion(self) -> bytes:
        """Return the completion of a request that was handled without a backend server."""
        return self._inner.completion()

    def failure(self, failure: SessionFailure, detail: str) -> bytes:
        """Return the message that reports a failure."""
        return self._inner.failure(failure, detail)

    def _encode(self, body: bytes, state: TransactionState, ended: bool) -> bytes:
        return _encode_line([len(body), state.name, ended, *self._facts()]) + body
