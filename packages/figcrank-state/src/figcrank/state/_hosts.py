"""Hosts of the fleet and what is believed of them."""

from dataclasses import dataclass
from enum import StrEnum


class HostState(StrEnum):
    """How a host is believed to be."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Host:
    """One process of the fleet.

    :param name: unique name; a replacement process under the same address has a new name.
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
