"""Hosts of the fleet and their membership states."""

from dataclasses import dataclass
from enum import StrEnum


class HostState(StrEnum):
    """The state of a host in a membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Host:
    """One process of the fleet.

    :param name: unique name; a process that replaces it at the same address has a new name.
    :param availability_zone: availability zone that the host runs in.
    :param gossip_address: ``ip:port`` for gossip over UDP.
    :param peer_address: ``ip:port`` for requests between hosts over HTTP.
    :param cell: name of the gossip cell.
    """

    name: str
    availability_zone: str
    gossip_address: str
    peer_address: str
    cell: str = "cell-1"
