"""Measures single reads through one embedded host: ``python -m figcrank.cli.bench``."""

import argparse
import json
import os
import subprocess
import sys
import time
import warnings
from pathlib import Path

with warnings.catch_warnings():
    warnings.filterwarnings("ignore", message=r"(?s)\s*Eventlet is deprecated")
    import eventlet

import msgspec
from hdrh.histogram import HdrHistogram

from figcrank.protocol import Statement, StatementsBody
from figcrank.protocol.codecs import encode
from figcrank.transport import HttpClient

HIGHEST_US = 60_000_000
US_PER_MS = 1_000
NS_PER_US = 1_000
KIB = 1_024
REQUEST_TIMEOUT_MS = 30_000
HTTP_OK = 200


class BenchReport(msgspec.Struct, frozen=True):
    """What a run measured.

    :param connections: kept-alive connections that sent reads, each one after the other.
    :param duration_s: length of the measured part.
    :param reads_per_s: reads answered each second.
    :param failed: reads that got another answer than a result.
    :param median_ms: median time from request to answer at the client.
    :param p99_ms: 99th percentile of the same.
    :param resident_mib: resident memory of the host process at the end.
    """

    connections: int
    duration_s: float
    reads_per_s: float
    failed: int
    median_ms: float
    p99_ms: float
    resident_mib: float


class Bench:
    """Sends reads to a host over kept-alive connections.

    :param address: ``ip:port`` of the caller API.
    :param key: caller's key.
    :param service: service to read from.
    :param profile: read profile.
    """

    def __init__(self, address: str, key: str, service: str, profile: str) -> None:
        self._address = address
        self._path = f"/v1/services/{service}/statements"
        self._headers = {"Authorization": f"Bearer {key}", "Figcrank-Profile": profile}
        self._body = encode(StatementsBody((Statement("select 1"),)))
        self._http = HttpClient()
        self._histogram = HdrHistogram(1, HIGHEST_US, 3)
        self._failed = 0

    def run(self, connections: int, duration_s: float) -> tuple[float, float, float, int]:
        """Run the load; return reads a second, median and 99th percentile in ms, and failures."""
        ends = time.monotonic() + duration_s
        started = time.monotonic()
        threads = [eventlet.spawn(self._send_until, ends) for _ in range(connections)]
        for thread in threads:
            thread.wait()
        elapsed_s = time.monotonic() - started
        return (
            self._histogram.get_total_count() / elapsed_s,
            self._histogram.get_value_at_percentile(50) / US_PER_MS,
            self._histogram.get_value_at_percentile(99) / US_PER_MS,
            self._failed,
        )

    def _send_until(self, ends: float) -> None:
        while time.monotonic() < ends:
            started_ns = time.monotonic_ns()
            reply = self._http.post(
                self._address, self._path, self._body, self._headers, REQUEST_TIMEOUT_MS
            )
            if reply.status != HTTP_OK:
                self._failed += 1
                continue
            self._histogram.record_value((time.monotonic_ns() - started_ns) // NS_PER_US)


def main() -> int:
    """Start an embedded host, load it and print the report as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=8)
    parser.add_argument("--duration-s", type=float, default=10.0)
    parser.add_argument("--profile", default="relaxed")
    options = parser.parse_args()
    command = [sys.executable, "-m", "figcrank.cli.figcrankd", "--embedded"]
    command += ["--listen", "127.0.0.1:0"]
    host = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    try:
        ready = json.loads(host.stdout.readline())
        address = ready["caller_url"].removeprefix("http://")
        bench = Bench(address, ready["key"], ready["service"], options.profile)
        figures = bench.run(options.connections, options.duration_s)
        resident_mib = _resident_mib(host.pid)
    finally:
        host.terminate()
        host.wait()
    reads_per_s, median_ms, p99_ms, failed = figures
    report = BenchReport(
        options.connections,
        options.duration_s,
        round(reads_per_s, 1),
        failed,
        median_ms,
        p99_ms,
        round(resident_mib, 1),
    )
    print(msgspec.json.format(encode(report)).decode())
    return os.EX_OK


def _resident_mib(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB
    return 0.0


if __name__ == "__main__":
    sys.exit(main())
