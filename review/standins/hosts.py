"""Hosts of the proxy as separate processes, started with the command of the deploy file."""

import asyncio
import os
import re
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
READY_INTERVAL_S = 1.0  # between two readiness checks of the platform
MAX_MISSES = 2
START_TIMEOUT_S = 30
SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internalPorts = [{inner},{inner_last}]
seeds = {seeds}
bootstrap = {bootstrap}
inTolerance = false
discovery = "platform"
entryMode = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","platform"]
[zones]
{zones}
[listenAddrs]
frontend = "{ip}:{frontend}"
ready = "{ip}:{ready}"
controlPlane = "{ip}:{control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
stabilityWindowMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainTimeoutMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
outerBoundMs = 12000
strictRevocation = false
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaHeadroom = 20
recoveryS = 12
fencingRequired = false
thawMs = 300
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
"""


class Host:
    """One host of the proxy.

    :param name: name of the host.
    :param ip: its loopback address.
    :param zone: its availability zone.
    :param zones: all availability zones.
    :param ports: the first of 24 free ports on ``ip``.
    :param seeds: ``ip:port`` of hosts to ask first.
    :param store: ``ip:port`` of the store.
    :param cloud: ``ip:port`` of the failover API.
    :param folder: folder for the settings and the log.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        zones: list[str],
        ports: int,
        seeds: list[str],
        store: str,
        cloud: str,
        folder: Path,
    ) -> None:
        self.name = name
        self.zone = zone
        self.frontend = (ip, ports + 5)
        self.ready_address = (ip, ports)
        self.in_rotation = False
        self.process: subprocess.Popen | None = None
        self._misses = MAX_MISSES
        self._log_file = folder / f"{name}.log"
        self._settings_file = folder / f"{name}.toml"
        self._settings_file.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                zones="\n".join(f'{item} = "region-1"' for item in zones),
                inner=ports + 8,
                inner_last=ports + 23,
                frontend=ports + 5,
                ready=ports,
                control=ports + 2,
                seeds="[" + ",".join(f'"{seed}"' for seed in seeds) + "]",
                bootstrap="true",
                store=store,
                cloud=cloud,
            ),
            encoding="utf-8",
        )

    def change_settings(self, grace_s: int) -> None:
        """Write the settings with another grace time, at once as a whole."""
        text = re.sub(r"graceS = \d+", f"graceS = {grace_s}", self._settings_file.read_text())
        new = self._settings_file.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self._settings_file)

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        program, *arguments = role["run"].split(" ")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            **role.get("env", {}),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FIGCRANK_SETTINGS": str(self._settings_file),
        }
        with self._log_file.open("ab") as log_file:
            self.process = subprocess.Popen(
                [sys.executable if program == "python3" else program, *arguments],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def check_forever(self) -> None:
        """Ask for readiness once per second, as the platform does."""
        while True:
            if await self.is_ready():
                self._misses = 0
            else:
                self._misses += 1
            self.in_rotation = self._misses < MAX_MISSES
            await asyncio.sleep(READY_INTERVAL_S)

    async def is_ready(self) -> bool:
        """Return whether the host answers the readiness check with 200."""
        writer = None
        try:
            async with asyncio.timeout(READY_INTERVAL_S):
                reader, writer = await asyncio.open_connection(*self.ready_address)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: host\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
            return b" 200 " in head.split(b"\r\n")[0]
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()
