"""Messages of the PostgreSQL protocol, version 3, as bytes."""

import struct
from typing import BinaryIO

import msgspec

from figcrank.protocol import FigcrankError, Scalar, StatementResult

PROTOCOL_VERSION = 196_608
SSL_REQUEST = 80_877_103
GSS_REQUEST = 80_877_104
REFUSE_ENCRYPTION = b"N"
MAX_MESSAGE_BYTES = 16_000_000
INT8_OID = 20
TEXT_OID = 25
FLOAT8_OID = 701
_LENGTH = struct.Struct("!I")
_COUNT = struct.Struct("!h")
_SIZE = struct.Struct("!i")
_FIELD = struct.Struct("!ihihih")
_NULL_SIZE = -1
_VARIABLE_SIZE = -1
_TYPE_SIZES = {INT8_OID: 8, FLOAT8_OID: 8, TEXT_OID: _VARIABLE_SIZE}


class WireError(FigcrankError):
    """A client that does not speak the protocol.

    :param reason: what is wrong with its bytes.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"Connection dropped: {reason}.")
        self.reason = reason


class FrontendMessage(msgspec.Struct, frozen=True):
    """A message from a client.

    :param kind: type byte.
    :param body: contents without the length.
    """

    kind: bytes
    body: bytes


def read_startup(first_byte: bytes, reader: BinaryIO) -> int:
    """Read a startup packet and return its request code.

    :param first_byte: what was read of the packet already.
    :raises WireError: if the packet is too large or cut short.
    """
    body = _read_body(reader, first_byte + reader.read(_LENGTH.size - len(first_byte)))
    if len(body) < _LENGTH.size:
        raise WireError("short startup packet")
    return _LENGTH.unpack_from(body)[0]


def read_message(reader: BinaryIO) -> FrontendMessage | None:
    """Read a message, ``None`` at the end of the stream.

    :raises WireError: if the message is too large or cut short.
    """
    kind = reader.read(1)
    if not kind:
        return None
    return FrontendMessage(kind, _read_body(reader, reader.read(_LENGTH.size)))


def query_text(message: FrontendMessage) -> str:
    """Return the SQL of a simple query."""
    return message.body.rstrip(b"\0").decode()


def authentication_ok() -> bytes:
    """Return the message that lets a client in."""
    return _message(b"R", _SIZE.pack(0))


def backend_key_data(pid: int) -> bytes:
    """Return the message that tells the session's process id."""
    return _message(b"K", struct.pack("!ii", pid, 0))


def parameter_status(name: str, value: str) -> bytes:
    """Return the message that reports a run-time parameter."""
    return _message(b"S", _text(name) + _text(value))


def ready_for_query(status: bytes) -> bytes:
    """Return the message that ends an answer.

    :param status: ``I`` when idle, ``T`` in a transaction, ``E`` in a failed one.
    """
    return _message(b"Z", status)


def command_complete(tag: str) -> bytes:
    """Return the message that ends one statement's answer."""
    return _message(b"C", _text(tag))


def empty_query() -> bytes:
    """Return the answer to a query without statements."""
    return _message(b"I", b"")


def error(sqlstate: str, text: str, constraint: str = "", severity: str = "ERROR") -> bytes:
    """Return an error message."""
    fields = [("S", severity), ("V", severity), ("C", sqlstate), ("M", text)]
    if constraint:
        fields.append(("n", constraint))
    body = b"".join(code.encode() + _text(value) for code, value in fields)
    return _message(b"E", body + b"\0")


def rows(result: StatementResult) -> bytes:
    """Return the description and the rows of a result."""
    oids = [_column_oid(result, index) for index in range(len(result.columns))]
    parts = [_row_description(result.columns, oids)]
    parts.extend(_data_row(row) for row in result.rows)
    return b"".join(parts)


def _row_description(columns: tuple[str, ...], oids: list[int]) -> bytes:
    fields = [
        _text(name) + _FIELD.pack(0, 0, oid, _TYPE_SIZES[oid], -1, 0)
        for name, oid in zip(columns, oids, strict=True)
    ]
    return _message(b"T", _COUNT.pack(len(fields)) + b"".join(fields))


def _data_row(row: tuple[Scalar, ...]) -> bytes:
    return _message(b"D", _COUNT.pack(len(row)) + b"".join(_value(value) for value in row))


def _value(value: Scalar) -> bytes:
    if value is None:
        return _SIZE.pack(_NULL_SIZE)
    if isinstance(value, bool):
        value = int(value)
    data = str(value).encode()
    return _SIZE.pack(len(data)) + data


def _column_oid(result: StatementResult, index: int) -> int:
    kinds = {type(row[index]) for row in result.rows if row[index] is not None}
    if not kinds:
        return TEXT_OID
    if kinds <= {int, bool}:
        return INT8_OID
    if kinds <= {int, bool, float}:
        return FLOAT8_OID
    return TEXT_OID


def _read_body(reader: BinaryIO, header: bytes) -> bytes:
    if len(header) < _LENGTH.size:
        raise WireError("message cut short")
    size = _LENGTH.unpack(header)[0] - _LENGTH.size
    if not 0 <= size <= MAX_MESSAGE_BYTES:
        raise WireError("bad message length")
    body = reader.read(size)
    if len(body) < size:
        raise WireError("message cut short")
    return body


def _message(kind: bytes, body: bytes) -> bytes:
    return kind + _LENGTH.pack(len(body) + _LENGTH.size) + body


def _text(value: str) -> bytes:
    return value.encode() + b"\0"
