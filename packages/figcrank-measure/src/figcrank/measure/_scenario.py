"""Fleets of the users' sizes, ready to take requests."""

from dataclasses import dataclass
from typing import Self

from figcrank.coordination import Timings
from figcrank.protocol.objects import encode_config_value
from figcrank.standins.samples import Sizes
from figcrank.standins.virtual import Call, VirtualFleet
from figcrank.state import (
    Host,
    Key,
    PresentedKey,
    Profile,
    ProfileMode,
    Service,
    Session,
)

READY_WITHIN_MS = 10_000
# Every sample workspace's burst is two seconds of its rate.
BURST_FILL_MS = 3_000
STEP_MS = 20
RELAXED_STALENESS_MS = 5_000
SECRET = "0f1e2d3c4b5a69788796a5b4c3d2e1f0"


@dataclass(slots=True)
class Scenario:
    """A running fleet with its callers' keys.

    :param fleet: the fleet on its virtual clock.
    :param keys: one key of each workspace.
    :param size: the user's size.
    """

    fleet: VirtualFleet
    keys: dict[str, PresentedKey]
    size: Sizes

    @classmethod
    def from_size(
        cls,
        size: Sizes,
        seed: int = 1,
        group_count: int = 3,
        host_count: int | None = None,
        timings: Timings | None = None,
    ) -> Self:
        """Return a fleet whose hosts are ready and whose groups have primaries.

        :raises AssertionError: if the fleet is not ready in time.
        """
        groups = size.groups[:group_count]
        hosts = make_hosts(host_count or size.hosts, size.availability_zones)
        fleet = VirtualFleet(hosts, groups, seed, timings, size.zone_delay_ms, size.client_delay_ms)
        keys = _seed_configuration(fleet, size)
        fleet.start()
        scenario = cls(fleet, keys, size)
        scenario.wait_until_ready()
        return scenario

    @property
    def service(self) -> str:
        """Return the name of the first service, which is also its group's name."""
        return self.size.groups[0].name

    def workspace(self, number: int) -> str:
        """Return the name of a workspace; the first is the largest."""
        return self.size.workspaces[number - 1].name

    def key(self, number: int = 1) -> PresentedKey:
        """Return the key of a workspace."""
        return self.keys[self.workspace(number)]

    def host_name(self, number: int) -> str:
        """Return the name of a host, counted from 1."""
        return f"host-{number}"

    def wait_until_ready(self) -> None:
        """Let time pass until every host is ready, and for the buckets to fill."""
        self.wait_until(self._is_ready, READY_WITHIN_MS)
        self.fleet.run_for(BURST_FILL_MS)

    def wait_until(self, condition: object, within_ms: int) -> None:
        """Let time pass until ``condition()`` is true.

        :raises AssertionError: if it is not true within ``within_ms``.
        """
        end_ms = self.fleet.loop.now_ms + within_ms
        while not condition():
            assert self.fleet.loop.now_ms < end_ms, "The condition did not come true in time."
            self.fleet.run_for(STEP_MS)

    def finish(self, call: Call, within_ms: int = 10_000) -> Call:
        """Let time pass until ``call`` is answered and return it."""
        self.wait_until(lambda: call.answered_ms is not None, within_ms)
        return call

    def write(self, *sql: str, host: int = 1, workspace: int = 1, **options: object) -> Call:
        """Send a write to the first service."""
        name, key = self.host_name(host), self.key(workspace)
        return self.fleet.statements(name, key, self.service, "write", *sql, **options)

    def read(
        self,
        *sql: str,
        host: int = 1,
        workspace: int = 1,
        profile: str = "relaxed",
        session: Session | None = None,
        **options: object,
    ) -> Call:
        """Send a read to the first service."""
        name, key = self.host_name(host), self.key(workspace)
        return self.fleet.statements(
            name, key, self.service, profile, *sql, session=session, **options
        )

    def _is_ready(self) -> bool:
        hosts_ready = all(entry.ready for entry in self.fleet.hosts.values() if entry.alive)
        return hosts_ready and all(group.primary for group in self.fleet.groups.values())


def make_hosts(count: int, zones: tuple[str, ...], cell: str = "cell-1") -> tuple[Host, ...]:
    """Return ``count`` hosts spread over the availability zones."""
    numbers = range(1, count + 1)
    return tuple(make_host(f"host-{number}", number, zones, cell) for number in numbers)


def make_host(name: str, number: int, zones: tuple[str, ...], cell: str = "cell-1") -> Host:
    """Return a host at the addresses of ``number``."""
    zone = zones[number % len(zones)]
    address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    return Host(name, zone, f"{address}:7001", f"{address}:7000", cell)


def _seed_configuration(fleet: VirtualFleet, size: Sizes) -> dict[str, PresentedKey]:
    store = fleet.platform.model
    profiles = (
        Profile("fresh", ProfileMode.FRESH),
        Profile("relaxed", ProfileMode.BOUNDED, RELAXED_STALENESS_MS),
        Profile("write", ProfileMode.WRITE),
    )
    for profile in profiles:
        store.put("profile", profile.name, encode_config_value(profile))
    for group in size.groups:
        store.put("service", group.name, encode_config_value(Service(group.name, group.name)))
    keys: dict[str, PresentedKey] = {}
    for number, workspace in enumerate(size.workspaces, start=1):
        store.put("workspace", workspace.name, encode_config_value(workspace))
        presented = PresentedKey(f"k{number}", f"{SECRET}{number}")
        salt = f"salt{number}"
        key = Key.from_secret(presented.key_id, workspace.name, salt, presented.secret)
        store.put("key", key.key_id, encode_config_value(key))
        keys[workspace.name] = presented
    return keys
