"""Assignment of database groups to owner hosts and of workspaces' limits to home hosts."""

import xxhash

from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.membership._membership import Membership
from figcrank.state import Host, HostState


class Placement:
    """Ranks live hosts by rendezvous hashing, so that a lost host moves few assignments.

    Rankings are cached until the list of live hosts changes.

    :param settings: static settings of this host.
    :param membership: source of the live hosts.
    """

    def __init__(self, settings: CoreSettings, membership: Membership) -> None:
        self._settings = settings
        self._membership = membership
        self._hosts: tuple[Host, ...] = ()
        self._rankings: dict[str, tuple[Host, ...]] = {}
        self._owners: dict[str, tuple[Host, ...]] = {}
        self._homes: dict[tuple[str, frozenset[str]], Host] = {}
        self._probers: dict[str, tuple[Host, ...]] = {}

    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts that groups and limits are assigned to."""
        self._refresh()
        return self._hosts

    def host(self, name: str) -> Host | None:
        """Return a known host that is not dead, even if it may not be assigned work."""
        return self._membership.host(name)

    def state(self, name: str) -> HostState:
        """Return the state of a host in this host's view."""
        return self._membership.state(name)

    def owners(self, group: str) -> tuple[Host, ...]:
        """Return the owner hosts of a group, highest rank first.

        They are in different availability zones where possible. The first one is the group's
        coordinator.
        """
        self._refresh()
        owners = self._owners.get(group)
        if owners is None:
            ranked = self._ranked(f"group:{group}")
            owners = _spread_over_zones(ranked)[: self._settings.owners_per_group]
            self._owners[group] = owners
        return owners

    def probers(self, group: str) -> tuple[Host, ...]:
        """Return the hosts that probe a group's servers: the owners and one more, by rank."""
        self._refresh()
        probers = self._probers.get(group)
        if probers is None:
            ranked = self._ranked(f"group:{group}")
            probers = _spread_over_zones(ranked)[: self._settings.owners_per_group + 1]
            self._probers[group] = probers
        return probers

    def home(self, workspace: str, excluded: frozenset[str] = frozenset()) -> Host:
        """Return the host that lends a workspace's tokens.

        :param excluded: names of hosts to exclude; ignored if it leaves no host.
        """
        self._refresh()
        home = self._homes.get((workspace, excluded))
        if home is None:
            ranked = self._ranked(f"workspace:{workspace}")
            home = next((host for host in ranked if host.name not in excluded), ranked[0])
            self._homes[workspace, excluded] = home
        return home

    def _refresh(self) -> None:
        hosts = self._membership.hosts()
        if hosts is self._hosts:
            return
        if hosts != self._hosts:
            self._rankings.clear()
            self._owners.clear()
            self._homes.clear()
            self._probers.clear()
        self._hosts = hosts

    def _ranked(self, subject: str) -> tuple[Host, ...]:
        ranking = self._rankings.get(subject)
        if ranking is None:
            ranking = _rank_hosts(subject, self._hosts or (self._settings.host,))
            self._rankings[subject] = ranking
        return ranking


def _rank_hosts(subject: str, hosts: tuple[Host, ...]) -> tuple[Host, ...]:
    def weight(host: Host) -> int:
        return xxhash.xxh64_intdigest(f"{subject}|{host.name}".encode())

    return tuple(sorted(hosts, key=weight, reverse=True))


def _spread_over_zones(ranked: tuple[Host, ...]) -> tuple[Host, ...]:
    """Move the highest-ranked host of each availability zone to the front."""
    best = {host.availability_zone: host for host in reversed(ranked)}
    first = tuple(host for host in ranked if best[host.availability_zone] is host)
    rest = tuple(host for host in ranked if best[host.availability_zone] is not host)
    return first + rest
