"""Interfaces that a deployment implements: its store and its failover service."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from figcrank.coordination.evacuation import EvacuationListing
from figcrank.protocol.heartbeats import StoredPrimaries
from figcrank.protocol.owners import Owner, SeatEntry
from figcrank.state._catalog import Catalog, Registry
from figcrank.transport.streams._traffic import TrafficChannel

# Takes the kind, name and revision of an object that can't be read, and the reason.
UnreadableHandler = Callable[[str, str, int, str], None]


class StoreErrorKind(Enum):
    """Kinds of failed store calls."""

    NOT_DONE = auto()
    UNKNOWN = auto()
    CONFLICT = auto()
    MISSING = auto()
    HISTORY_GONE = auto()
    UNREADABLE = auto()


class StoreError(Exception):
    """A store call failed.

    :param kind: kind of failure, including whether the call may have taken effect.
    :param detail: reason for the failure.
    """

    def __init__(self, kind: StoreErrorKind, detail: str) -> None:
        super().__init__(f"{kind.name.lower()}: {detail}")
        self.kind = kind
        self.detail = detail


@dataclass(frozen=True, slots=True)
class CatalogDocument:
    """The configuration as stored.

    :param revision: revision of the store at the time of the read.
    :param content: encoded configuration, forwarded to peers that can't reach the store; empty if
        nothing changed.
    """

    revision: int
    content: bytes


class Store(ABC):
    """Store of a deployment; every call raises :class:`StoreError` if it fails.

    Revisions order by the store's era first, see :mod:`figcrank.state._revisions`. A response of an
    era before :attr:`era` fails the call, and so does a conditional write for another era.
    """

    @abstractmethod
    def count_traffic(self, traffic: TrafficChannel) -> None:
        """Count the bytes of the calls made from now on."""

    def on_unreadable(self, handler: UnreadableHandler) -> None:  # noqa: B027
        """Call a handler for each object that a listing leaves out because it can't be read.

        A store whose documents can all be read has nothing to call it for.
        """

    @property
    @abstractmethod
    def lost_connections(self) -> int:
        """Return how many connections died while they were idle or a watch waited.

        No call has failed by that.
        """

    @property
    @abstractmethod
    def era(self) -> int:
        """Return the newest era that the store has answered in; 0 until its first response.

        The era rises whenever the store comes back from an older copy of itself. A store that
        never does stays in era 0.
        """

    @abstractmethod
    def read_catalog(self) -> CatalogDocument:
        """Return the configuration."""

    @abstractmethod
    def await_catalog(self, after_revision: int, wait_ms: int) -> CatalogDocument:
        """Wait for a configuration newer than a revision.

        :returns: the configuration, with empty content if it did not change within ``wait_ms``.
        """

    @abstractmethod
    def decode_catalog(self, content: bytes) -> Catalog:
        """Decode a configuration.

        :raises ValueError: if the content is invalid.
        """

    @abstractmethod
    def list_servers(self) -> Registry:
        """Return the registered backend servers, except invalid entries."""

    @abstractmethod
    def list_evacuations(self) -> EvacuationListing:
        """Return the entries of the evacuated availability zones, including invalid ones."""

    @abstractmethod
    def list_seats(self) -> list[SeatEntry]:
        """Return the entries of the owners' seats."""

    @abstractmethod
    def take_seat(self, seat: str, owner: Owner, replaced: SeatEntry | None) -> None:
        """Write the entry of a seat.

        It fails with a conflict if another host holds the seat.

        :param replaced: the entry to replace; ``None`` if the seat is free.
        """

    @abstractmethod
    def remove_seat(self, entry: SeatEntry) -> None:
        """Remove the entry of a seat unless it was rewritten since it was listed."""

    @abstractmethod
    def write_quiet(self, host: str, quiesced: dict[str, tuple[int, list[str]]]) -> None:
        """Write the hosts that no longer use a replaced primary, as reported to one host.

        :param host: the reporting host.
        :param quiesced: per group, the version of its primary record and the names of the hosts.
        """

    @abstractmethod
    def list_quiet(self) -> list[dict[str, tuple[int, list[str]]]]:
        """Return what each host wrote with :meth:`write_quiet`."""

    @abstractmethod
    def read_primaries(self) -> StoredPrimaries:
        """Return the record of primaries, empty if there is none."""

    @abstractmethod
    def write_primaries(self, value: StoredPrimaries) -> StoredPrimaries:
        """Replace the record if its revision is ``value.revision``; return the new record."""


class PromoteOutcome(Enum):
    """Outcome of a promotion order."""

    ACCEPTED = auto()
    NOT_DONE = auto()
    REJECTED = auto()
    UNKNOWN = auto()


class FailoverService(ABC):
    """Failover service of a deployment, which promotes servers."""

    @abstractmethod
    def promote(
        self,
        group: str,
        server_id: str,
        holder: str,
        token: int,
        may_send: Callable[[], bool],
        timeout_ms: int,
    ) -> PromoteOutcome:
        """Order the promotion of a server to primary of its group.

        :param holder: host that holds the record of primaries.
        :param token: fencing token of the holder.
        :param may_send: asked once connected, right before the order is sent; if it returns false,
            the order is not sent and the outcome is ``NOT_DONE``.
        :param timeout_ms: time for the response, in milliseconds after sending. The connection is
            then reset, so that the order does not arrive later.
        """
