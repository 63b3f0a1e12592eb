"""Database groups and the state that their servers report."""

from dataclasses import dataclass
from enum import StrEnum

from figcrank.state._positions import Position


class ServerRole(StrEnum):
    """The replication role of a backend server in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@dataclass(frozen=True, slots=True)
class Server:
    """A backend server.

    :param name: unique name.
    :param availability_zone: availability zone that the server runs in.
    :param address: ``ip:port`` of the PostgreSQL protocol.
    """

    name: str
    availability_zone: str
    address: str


@dataclass(frozen=True, slots=True)
class Group:
    """A database group and its capacity.

    :param name: unique name.
    :param servers: members; there is an odd number of them.
    :param slots_per_server: number of statements that a server runs at once.
    :param connections_per_server: number of connections that a server accepts from all hosts.
    """

    name: str
    servers: tuple[Server, ...]
    slots_per_server: int
    connections_per_server: int

    @property
    def majority(self) -> int:
        """Return the number of servers that form a majority."""
        return len(self.servers) // 2 + 1

    def server(self, name: str) -> Server:
        """Return the member with the given name.

        :raises KeyError: if the group has no such member.
        """
        for server in self.servers:
            if server.name == name:
                return server
        raise KeyError(name)


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """The status that a server reports.

    :param server: name of the server.
    :param role: its role in ``term``.
    :param term: highest term that it has accepted.
    :param term_start: offset of the first entry of ``term``; 0 while fenced or unknown.
    :param durable: position of the last entry that it has stored durably.
    :param applied: position of the last entry that is visible to reads.
    :param fencer: host whose fence it accepted in ``term``; empty if there was none.
    :param leaving: whether it is about to be removed.
    """

    server: str
    role: ServerRole
    term: int
    term_start: int
    durable: Position
    applied: Position
    fencer: str = ""
    leaving: bool = False
