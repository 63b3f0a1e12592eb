"""Which hosts own a database group and which host is home to a workspace's limit."""

import xxhash

from figcrank.coordination._membership import Membership
from figcrank.coordination._settings import CoreSettings
from figcrank.state import Host


class Placement:
    """Ranks live hosts by rendezvous hashing, so that few assignments move with a host.

    :param settings: static settings of this host.
    :param membership: the live hosts.
    """

    def __init__(self, settings: CoreSettings, membership: Membership) -> None:
        self._settings = settings
        self._membership = membership

    def owners(self, group: str) -> tuple[Host, ...]:
        """Return the owner hosts of a group, best first, from different zones where possible.

        The first one is the group's coordinator.
        """
        return self._spread(group)[: self._settings.owners_per_group]

    def _spread(self, group: str) -> tuple[Host, ...]:
        ranked = self._ranked(f"group:{group}")
        chosen: list[Host] = []
        for host in ranked:
            if all(host.availability_zone != other.availability_zone for other in chosen):
                chosen.append(host)
        rest = [host for host in ranked if host not in chosen]
        return tuple(chosen + rest)

    def probers(self, group: str) -> tuple[Host, ...]:
        """Return the hosts that probe a group's servers: its owners and one more, best first."""
        return self._spread(group)[: self._settings.owners_per_group + 1]

    def home(self, workspace: str) -> Host:
        """Return the host that lends a workspace's tokens."""
        return self._ranked(f"workspace:{workspace}")[0]

    def _ranked(self, subject: str) -> list[Host]:
        def weight(host: Host) -> int:
            return xxhash.xxh64_intdigest(f"{subject}|{host.name}".encode())

        return sorted(self._membership.hosts(), key=weight, reverse=True)
