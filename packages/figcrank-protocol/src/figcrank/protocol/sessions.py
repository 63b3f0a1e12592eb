"""Messages of caller sessions and server connections; each request is one statement.

A deployment implements its wire format as a :class:`CallerCodec` and a :class:`ServerCodec`; no
other code depends on the format.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum, auto

from figcrank.state._positions import Position


class Verb(Enum):
    """The operation that a request performs."""

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
    """Transaction state of a session or server connection between two requests."""

    IDLE = auto()
    OPEN = auto()
    FAILED = auto()


class SessionFailure(Enum):
    """Why a request did not succeed.

    Failures up to ``CONNECTION_LIMIT`` guarantee that the request had no lasting effect.
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
class SessionStart:
    """A caller's first message, which opens a session.

    :param database: name of the requested database.
    :param key: the caller's key; empty if none was sent.
    """

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a session.

    :param request_id: id that the caller gave the request.
    :param verb: operation to perform.
    :param text: statement as sent by the caller.
    :param name: name of the session value or prepared statement.
    :param argument: text after the name: a value, a statement definition, or the arguments of a
        prepared statement.
    :param prepares_write: whether a ``PREPARE`` is for a statement that writes.
    """

    request_id: str
    verb: Verb
    text: str
    name: str = ""
    argument: str = ""
    prepares_write: bool = False


@dataclass(frozen=True, slots=True)
class SessionClose:
    """A caller's message that ends its session."""


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """Input from a caller that can't be decoded as a message.

    :param reason: why it can't be decoded.
    :param request_id: id of the request, if it could be read.
    :param too_large: whether the input exceeds the limit on message length.
    """

    reason: str
    request_id: str = ""
    too_large: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """The newest configuration version that a relay has seen in use.

    A request that follows it must not be handled with an older configuration.

    :param version: version of the configuration.
    """

    version: int


@dataclass(frozen=True, slots=True)
class StartOptions:
    """Options of the start of a relayed session; their sender understands redirects.

    :param availability_zone: availability zone of the sender.
    :param final: whether the owner must run the session itself.
    :param from_owner: whether the sender is an owner, rather than a relay.
    """

    availability_zone: str
    final: bool = False
    from_owner: bool = False


CallerMessage = (
    SessionStart | Request | SessionClose | MalformedMessage | ConfigurationSeen | StartOptions
)


@dataclass(frozen=True, slots=True)
class StatementReply:
    """A backend server's complete reply to one request.

    :param payload: rows and completion as received, to be forwarded unchanged.
    :param rows: content of each row.
    :param failure: kind of failure, ``None`` on success.
    :param detail: the server's error message.
    :param state: transaction state of the connection after the request.
    :param position: position of the newest entry in the server's log, ``None`` if not reported.
    """

    payload: bytes
    rows: tuple[str, ...]
    failure: SessionFailure | None
    detail: str
    state: TransactionState
    position: Position | None


class Decoder(ABC):
    """Decodes a byte stream into messages and buffers incomplete ones."""

    @abstractmethod
    def feed(self, data: bytes) -> list:
        """Return the messages that ``data`` completes, oldest first."""

    def rejection(self) -> SessionFailure | None:
        """Return the failure in a reply that was cut short because the connection was closed."""
        return None


class CallerCodec(ABC):
    """Wire format of the connections with callers."""

    @abstractmethod
    def decoder(self) -> Decoder:
        """Return a decoder of :data:`CallerMessage` for one connection."""

    @abstractmethod
    def reply(self, body: bytes, state: TransactionState) -> bytes:
        """Return a complete reply.

        :param body: rows, completion or failure; empty for the reply to a handshake.
        :param state: transaction state of the session after the reply.
        """

    @abstractmethod
    def rejection(self, failure: SessionFailure, detail: str) -> bytes:
        """Return the reply to a handshake that is rejected; the connection is closed after it."""

    def closing_notice(self, failure: SessionFailure, detail: str) -> bytes:
        """Return the message that is sent before a session is closed between two operations.

        It refuses a request that the caller has sent meanwhile.
        """
        return self.rejection(failure, detail)

    @abstractmethod
    def completion(self) -> bytes:
        """Return the body for a request that was handled without a backend server."""

    @abstractmethod
    def failure(self, failure: SessionFailure, detail: str) -> bytes:
        """Return the body that reports a failure."""


class ServerCodec(ABC):
    """Wire format of the connections with backend servers.

    :cvar PROXY_REQUEST_ID: request id of the statements that the proxy sends for itself.
    """

    PROXY_REQUEST_ID: str

    @abstractmethod
    def decoder(self) -> Decoder:
        """Return a decoder of :class:`StatementReply` for one connection."""

    @abstractmethod
    def start(self, group: str, workspace: str, server_id: str) -> bytes:
        """Return the first message of a connection."""

    @abstractmethod
    def query(self, request_id: str, text: str, after: Position | None = None) -> bytes:
        """Return a query message.

        :param request_id: id of the request.
        :param text: statement to run.
        :param after: position that the server's log must have reached for the statement to run.
        """

    @abstractmethod
    def begin(self, read_only: bool) -> str:
        """Return the statement that begins a transaction."""

    @abstractmethod
    def rollback(self) -> str:
        """Return the statement that rolls a transaction back."""

    @abstractmethod
    def set_value(self, name: str, value: str) -> str:
        """Return the statement that sets a session value."""

    @abstractmethod
    def reset(self) -> str:
        """Return the statement that discards session values and prepared statements."""

    @abstractmethod
    def prepare(self, name: str, is_write: bool, definition: str) -> str:
        """Return the statement that prepares another one."""

    @abstractmethod
    def execute(self, name: str, argument: str) -> str:
        """Return the statement that runs a prepared one."""

    @abstractmethod
    def status(self) -> str:
        """Return the statement that requests a server's role and position."""

    @abstractmethod
    def demote(self, term: int) -> str:
        """Return the statement that demotes a primary whose term is below ``term`` to a replica."""

    @abstractmethod
    def pause(self, term: int) -> str:
        """Return the statement that stops a replica from receiving commits of earlier terms.

        It receives again after the next promotion in its group.
        """

    @abstractmethod
    def read_status(self, reply: StatementReply) -> "ServerReport | None":
        """Return the report in a reply to :meth:`status`, ``None`` if it can't be decoded."""


@dataclass(frozen=True, slots=True)
class ServerReport:
    """Role and position that a backend server reports.

    :param is_primary: whether the server is the primary of its group.
    :param term: the server's current term.
    :param position: position of the newest log entry that the server has received, ``None`` if not
        reported.
    """

    is_primary: bool
    term: int
    position: Position | None
