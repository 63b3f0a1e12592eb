"""A small deployment: the platform, one database group, three hosts and an operator."""

import asyncio
import os
import random
import shutil
import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from standins.database import FailoverApi, Group, GroupSize
from standins.hosts import START_TIMEOUT_S, Host
from standins.store import Store

ZONES = ["zone-a", "zone-b", "zone-c"]
GROUP = "roster1"
PORTS_PER_HOST = 24
DATABASES = {"assign": "primary", "lookup": "bounded_staleness", "confirm": "read_your_writes"}
KEYS = {"tenant-1": "key-one", "tenant-2": "key-two"}


class CaseError(Exception):
    """The case could not run."""


class Recorder:
    """Writes what was sent, answered and run to a file.

    :param path: the file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now_ms(self) -> int:
        """Return the time since the case began."""
        return int((time.monotonic() - self._began) * 1_000)

    def event(self, name: str, **fields: object) -> None:
        """Write one line."""
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now_ms():7d} ms  {name} {details}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


class Deployment:
    """Stand-ins in this process and hosts as separate processes.

    :param recorder: records what happens.
    :param size: figures of the database group.
    :param work_ms: draws the work of a statement.
    """

    def __init__(
        self,
        recorder: Recorder,
        size: GroupSize | None = None,
        work_ms: Callable[[], float] = lambda: random.uniform(5, 20),
    ) -> None:
        self.recorder = recorder
        self.folder = Path(tempfile.mkdtemp(prefix="figcrank-review-"))
        subnet = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
        self._size = size or GroupSize()
        platform = f"{subnet}.100"
        self.store = Store((platform, _free_ports(platform, 1)))
        self.group = Group(GROUP, self.store, self._size, work_ms, recorder.event)
        self._server_addresses = [
            (ip, _free_ports(ip, 1)) for ip in (f"{subnet}.{110 + n}" for n in range(3))
        ]
        cloud = f"{subnet}.101"
        self.failover = FailoverApi((cloud, _free_ports(cloud, 1)), [self.group], recorder.event)
        ips = [f"{subnet}.{n}" for n in range(1, len(ZONES) + 1)]
        ports = _free_ports(ips[0], PORTS_PER_HOST)
        self.hosts = [
            Host(
                f"frontend-{zone}-1",
                ip,
                zone,
                ZONES,
                ports,
                [f"{ip}:{ports + 2}" for ip in ips],
                "{}:{}".format(*self.store.address),
                "{}:{}".format(*self.failover.address),
                self.folder,
            )
            for ip, zone in zip(ips, ZONES, strict=True)
        ]
        self._version = 0

    def configure(self, keys: dict[str, list[str]] | None = None) -> int:
        """Write a version of the configuration, as the operator does, and return its number.

        :param keys: keys by tenant, by default one key for each.
        """
        self._version += 1
        keys = keys or {tenant: [key] for tenant, key in KEYS.items()}
        routes = [
            {
                "name": f"r-{name}",
                "database": name,
                "pathPrefix": "/",
                "type": mode,
                "timeoutMs": 3_000 if mode == "bounded_staleness" else 1_000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": GROUP,
                "maxAttempts": 2,
                "public": False,
                **({} if mode == "primary" else {"maxStalenessMs": 1_500}),
            }
            for name, mode in DATABASES.items()
        ]
        service = {"name": GROUP, "healthPath": "/health", "protocol": "h1", "tls": False}
        limits = {
            "maxConnections": self._size.max_connections,
            "syncReplicas": self._size.sync_replicas,
        }
        self.store.put(
            "config",
            "main",
            {
                "configVersion": self._version,
                "routes": routes,
                "services": [{**service, **limits}],
                "limits": {"headerBytes": 16_384, "maxBodyBytes": 262_144, "txIdleMs": 3_000},
                "tenants": [
                    {
                        "name": tenant,
                        "apiKeys": held,
                        "priority": 1,
                        "ratePerS": 2_000,
                        "burst": 2_000,
                    }
                    for tenant, held in keys.items()
                ],
            },
        )
        self.recorder.event("configured", version=self._version, keys=keys)
        return self._version

    async def start_platform(self) -> None:
        """Start the store, the failover API and the servers, and write the configuration."""
        await self.store.start()
        await self.failover.start()
        await self.group.start(self._server_addresses, ZONES)
        self.configure()

    def start_hosts(self) -> None:
        """Start the hosts and the platform's readiness checks."""
        for host in self.hosts:
            host.start()
            asyncio.create_task(host.check_forever())

    def hosts_for_clients(self) -> list[Host]:
        """Return the hosts in rotation; all of them if there are none."""
        return [host for host in self.hosts if host.in_rotation] or self.hosts

    async def start(self) -> None:
        """Start everything and wait until all hosts are ready.

        :raises CaseError: if that takes too long.
        """
        await self.start_platform()
        self.start_hosts()
        deadline = time.monotonic() + START_TIMEOUT_S
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > deadline or not host.is_running:
                    raise CaseError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for host in self.hosts:
            host.end()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the hosts: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(ip: str, count: int) -> int:
    """Return the first of ``count`` free ports below those given to outgoing connections."""
    for _ in range(200):
        first = random.randrange(11_000, 31_000)
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        return first
    raise CaseError("no free ports")
