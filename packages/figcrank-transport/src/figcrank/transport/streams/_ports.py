"""What the session proxy needs of a deployment's store and of its failover call."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum, auto

from figcrank.protocol.heartbeats import StoredPrimaries
from figcrank.state._catalog import Catalog, Registry


class StoreErrorKind(Enum):
    """Why a call to the store gave nothing."""

    NOT_DONE = auto()
    UNKNOWN = auto()
    CONFLICT = auto()
    MISSING = auto()
    HISTORY_GONE = auto()
    UNREADABLE = auto()


class StoreError(Exception):
    """A call to the store that failed.

    :param kind: what is known of its effect.
    :param detail: what was seen.
    """

    def __init__(self, kind: StoreErrorKind, detail: str) -> None:
        super().__init__(f"{kind.name.lower()}: {detail}")
        self.kind = kind
        self.detail = detail


@dataclass(frozen=True, slots=True)
class CatalogDocument:
    """The configuration as the store holds it.

    :param revision: the store's revision at the reading.
    :param content: its text, for peers that can't reach the store; empty if nothing changed.
    """

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class HostEntry:
    """What the store says of a host.

    :param name: its name; a host that starts anew elsewhere may keep it.
    :param address: ``(ip, port)`` of its heartbeats.
    :param revision: the store's revision at which it was written.
    """

    name: str
    address: tuple[str, int]
    revision: int


class Store(ABC):
    """The platform's store; every call raises :class:`StoreError` when it gives nothing."""

    @abstractmethod
    def read_catalog(self) -> CatalogDocument:
        """Return the configuration."""

    @abstractmethod
    def await_catalog(self, after_revision: int, wait_ms: int) -> CatalogDocument:
        """Return the configuration once it changes after a revision, or nothing in time."""

    @abstractmethod
    def decode_catalog(self, content: bytes) -> Catalog:
        """Return what a configuration's text says.

        :raises ValueError: if it can't be read.
        """

    @abstractmethod
    def list_servers(self) -> Registry:
        """Return the registered backend servers; entries that can't be read are left out."""

    @abstractmethod
    def list_hosts(self) -> list[HostEntry]:
        """Return the registered hosts."""

    @abstractmethod
    def register_host(self, host: str, address: tuple[str, int]) -> None:
        """Write a host's heartbeat address."""

    @abstractmethod
    def remove_host(self, entry: HostEntry) -> None:
        """Remove a host's entry unless it was written anew since it was listed."""

    @abstractmethod
    def write_quiet(self, host: str, quiet: dict[str, tuple[int, list[str]]]) -> None:
        """Write which hosts use a replaced primary no more, as one host heard it.

        :param quiet: by group, the version of its record and the hosts.
        """

    @abstractmethod
    def list_quiet(self) -> list[dict[str, tuple[int, list[str]]]]:
        """Return what every host wrote of quiet hosts."""

    @abstractmethod
    def read_primaries(self) -> StoredPrimaries:
        """Return the record of primaries; an empty one if none was written."""

    @abstractmethod
    def write_primaries(self, value: StoredPrimaries) -> StoredPrimaries:
        """Replace the record if its revision still is ``value.revision``; return the new one."""


class PromoteOutcome(Enum):
    """What became of an order to promote a server."""

    ACCEPTED = auto()
    NOT_DONE = auto()
    REJECTED = auto()
    UNKNOWN = auto()


class FailoverService(ABC):
    """The deployment's call that makes a server the primary."""

    @abstractmethod
    def promote(self, group: str, server_id: str, holder: str, token: int) -> PromoteOutcome:
        """Order that a server takes over its group."""
