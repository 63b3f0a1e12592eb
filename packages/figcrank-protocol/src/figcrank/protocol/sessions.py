"""Messages of caller sessions and of server connections that carry statements one by one.

A deployment's wire format is met by a :class:`CallerCodec` and a :class:`ServerCodec`; nothing else
knows how these messages are spelled.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum, auto

from figcrank.state._positions import Position


class Verb(Enum):
    """What a request asks for."""

    BEGIN = auto()
    BEGIN_READ = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    READ = auto()
    WRITE = auto()
    SET = auto()
    PREPARE = auto()
    EXECUTE = auto()
    DEALLOCATE = auto()


class TransactionState(Enum):
    """State of a session or server connection between two requests."""

    IDLE = auto()
    OPEN = auto()
    FAILED = auto()


class SessionFailure(Enum):
    """Why a request did not succeed.

    Failures up to ``CONNECTION_LIMIT`` say that nothing of the request is kept.
    """

    BUSY = auto()
    ABORTED = auto()
    LAGGING = auto()
    NOT_PRIMARY = auto()
    WRONG_SERVER = auto()
    CONNECTION_LIMIT = auto()
    UNKNOWN_STATEMENT = auto()
    FAILED = auto()
    TIMEOUT = auto()
    IN_DOUBT = auto()
    UNAUTHENTICATED = auto()
    UNKNOWN_DATABASE = auto()
    TOO_LARGE = auto()
    MALFORMED = auto()
    UNREACHABLE = auto()


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of a caller.

    :param database: name of the database.
    :param key: the caller's key; empty if none was sent.
    """

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a session.

    :param request_id: the caller's id of the request.
    :param verb: what is asked for.
    :param text: the statement as the caller wrote it.
    :param name: value's or prepared statement's name.
    :param rest: what follows the name: a value, a shape, or an item and its data.
    :param prepares_write: whether a ``PREPARE`` is of a changing statement.
    """

    request_id: str
    verb: Verb
    text: str
    name: str = ""
    rest: str = ""
    prepares_write: bool = False


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The caller ends its session."""


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Bytes that are no message.

    :param reason: what is wrong with them.
    :param request_id: id of the request, if that much could be read.
    :param too_large: whether a limit on length was passed.
    """

    reason: str
    request_id: str = ""
    too_large: bool = False


CallerMessage = Hello | Request | Goodbye | Unreadable


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A server's whole answer to one request.

    :param payload: rows and completion as they came, to be passed on unchanged.
    :param rows: the rows' texts.
    :param failure: ``None`` for a success.
    :param detail: the server's words on a failure.
    :param state: state of the connection afterwards.
    :param position: newest entry of the server's log, ``None`` if it told none.
    """

    payload: bytes
    rows: tuple[str, ...]
    failure: SessionFailure | None
    detail: str
    state: TransactionState
    position: Position | None


class Decoder(ABC):
    """Turns received bytes into messages, keeping what is incomplete."""

    @abstractmethod
    def feed(self, data: bytes) -> list:
        """Return the messages that ``data`` completes, oldest first."""

    def refusal(self) -> SessionFailure | None:
        """Return the failure of an answer that ended with a close before it was complete."""
        return None


class CallerCodec(ABC):
    """The wire format towards callers."""

    @abstractmethod
    def decoder(self) -> Decoder:
        """Return a decoder of :data:`CallerMessage` for one connection."""

    @abstractmethod
    def ready(self, state: TransactionState) -> bytes:
        """Return the message that ends each answer."""

    @abstractmethod
    def done(self) -> bytes:
        """Return the completion of a request that needed no server."""

    @abstractmethod
    def failure(self, failure: SessionFailure, detail: str) -> bytes:
        """Return the message that tells a failure."""


class ServerCodec(ABC):
    """The wire format towards backend servers."""

    OWN_ID: str

    @abstractmethod
    def decoder(self) -> Decoder:
        """Return a decoder of :class:`ServerReply` for one connection."""

    @abstractmethod
    def start(self, group: str, workspace: str, server_id: str) -> bytes:
        """Return the first message of a connection."""

    @abstractmethod
    def query(self, request_id: str, text: str, after: Position | None = None) -> bytes:
        """Return a statement, which a replica runs once its log holds ``after``."""

    @abstractmethod
    def begin(self, read_only: bool) -> str:
        """Return the text that opens a transaction."""

    @abstractmethod
    def rollback(self) -> str:
        """Return the text that ends a transaction without effect."""

    @abstractmethod
    def set_value(self, name: str, value: str) -> str:
        """Return the text that sets a session value."""

    @abstractmethod
    def reset(self) -> str:
        """Return the text that drops values and prepared statements."""

    @abstractmethod
    def prepare(self, name: str, is_write: bool, shape: str) -> str:
        """Return the text that prepares a statement."""

    @abstractmethod
    def execute(self, name: str, rest: str) -> str:
        """Return the text that runs a prepared statement."""

    @abstractmethod
    def status(self) -> str:
        """Return the text that asks a server for its role and position."""

    @abstractmethod
    def demote(self, term: int) -> str:
        """Return the text that makes a primary of a term below ``term`` a replica."""

    @abstractmethod
    def read_status(self, reply: ServerReply) -> "ServerReport | None":
        """Return what a status answer says, ``None`` if it says nothing readable."""


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A server's account of itself.

    :param is_primary: whether it leads its group.
    :param term: the term that it is in.
    :param position: newest entry that it received, ``None`` if it told none.
    """

    is_primary: bool
    term: int
    position: Position | None
