"""Which hosts of the fleet are alive."""

from collections.abc import Callable

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.protocol import Ack, Digest, Ping, PingRequest, PlatformHost
from figcrank.state import Host, HostState, RandomSource

MembershipMessage = Ping | Ack | PingRequest


class Membership:
    """Keeps the list of live hosts by probing peers of the cell.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param random: random source for the choice of peers.
    :param digest: gives the digest to send at a time in milliseconds.
    :param on_digest: told of each digest received: host name, digest, time.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        random: RandomSource,
        digest: Callable[[int], Digest],
        on_digest: Callable[[str, Digest, int], None],
    ) -> None:
        self._settings = settings
        self._port = port
        self._random = random
        self._digest = digest
        self._on_digest = on_digest
        known = {host.name: host for host in settings.seeds}
        known[settings.host.name] = settings.host
        self._hosts = known

    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts that may be given work, this one included, sorted by name."""
        return tuple(sorted(self._hosts.values(), key=lambda host: host.name))

    def host(self, name: str) -> Host | None:
        """Return a known host that is not dead, whether or not it may be given work."""
        return self._hosts.get(name)

    def state(self, name: str) -> HostState:
        """Return what is believed of a host; unknown hosts count as dead."""
        return HostState.ALIVE if name in self._hosts else HostState.DEAD

    def incarnation(self, name: str) -> int:
        """Return the newest incarnation heard of a host, 0 if none."""
        return 0

    def start(self, now_ms: int) -> None:
        """Begin probing."""

    def tick(self, now_ms: int) -> None:
        """Send probes that are due and expire those that failed."""

    def on_gossip(self, sender: str, message: MembershipMessage, now_ms: int) -> None:
        """Take a membership message."""

    def on_platform_hosts(self, hosts: tuple[PlatformHost, ...], now_ms: int) -> None:
        """Take the platform's lagging host list as a hint of whom to probe."""

    def leave(self, now_ms: int) -> None:
        """Tell the peers that this host takes no new work."""
