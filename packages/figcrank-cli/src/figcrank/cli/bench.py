"""Benchmark of single reads through one embedded host.

Run it with ``python -m figcrank.cli.bench``.
"""

import argparse
import contextlib
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
import warnings
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

with warnings.catch_warnings():
    warnings.filterwarnings("ignore", message=r"(?s)\s*Eventlet is deprecated")
    import eventlet

import msgspec
from hdrh.histogram import HdrHistogram

from figcrank.protocol import Statement, StatementsBody
from figcrank.protocol.codecs import encode
from figcrank.transport import HttpClient

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3
US_PER_MS = 1_000
MS_PER_S = 1_000
NS_PER_US = 1_000
KIB = 1_024
REQUEST_TIMEOUT_MS = 30_000
HTTP_OK = 200


class LoadReport(msgspec.Struct, frozen=True):
    """Result of one load.

    :param connections: number of keep-alive connections, each with one read at a time.
    :param reads_per_s: successful reads per second.
    :param cpu_ms: CPU time of the host process per read, including the stand-ins.
    :param failed: reads that did not return a result.
    :param median_ms: median latency at the client.
    :param p99_ms: 99th percentile of the latency at the client.
    """

    connections: int
    reads_per_s: float
    cpu_ms: float
    failed: int
    median_ms: float
    p99_ms: float


class LatencyBreakdown(msgspec.Struct, frozen=True):
    """Breakdown of the latency of a read, from the median spans of one connection.

    :param client_ms: total latency at the client.
    :param http_ms: time outside the host's handler: HTTP parsing, sockets and the client itself.
    :param core_ms: time in the handler without the backend server: core, queues and green-thread
        scheduling.
    :param backend_ms: time in driver, network and backend server.
    """

    client_ms: float
    http_ms: float
    core_ms: float
    backend_ms: float


class BenchReport(msgspec.Struct, frozen=True):
    """Result of a benchmark run.

    :param duration_s: elapsed of each load.
    :param loads: one report per load.
    :param parts: latency breakdown.
    :param open_sessions: number of open keep-alive connections when memory was measured.
    :param resident_mib: resident memory of the host process, including the stand-ins.
    """

    duration_s: float
    loads: tuple[LoadReport, ...]
    parts: LatencyBreakdown
    open_sessions: int
    resident_mib: float


class Benchmark:
    """Sends reads to a host over keep-alive connections.

    :param address: ``ip:port`` of the caller API.
    :param key: caller key.
    :param service: service to read from.
    :param profile: read profile.
    :param pid: process id of the host.
    """

    def __init__(self, address: str, key: str, service: str, profile: str, pid: int) -> None:
        self._address = address
        self._pid = pid
        self._path = f"/v1/services/{service}/statements"
        self._headers = {"Authorization": f"Bearer {key}", "Figcrank-Profile": profile}
        self._body = encode(StatementsBody((Statement("select 1"),)))

    def run(self, connections: int, duration_s: float) -> LoadReport:
        """Send consecutive reads on each connection for ``duration_s``."""
        http = HttpClient()
        histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
        cpu_before_ms = _cpu_ms(self._pid)
        started_s = time.monotonic()
        end_s = started_s + duration_s
        threads = [
            eventlet.spawn(self._send_until, end_s, http, histogram) for _ in range(connections)
        ]
        failed = sum(thread.wait() for thread in threads)
        elapsed_s = time.monotonic() - started_s
        count = max(1, histogram.get_total_count())
        return LoadReport(
            connections,
            round(count / elapsed_s, 1),
            round((_cpu_ms(self._pid) - cpu_before_ms) / count, 3),
            failed,
            histogram.get_value_at_percentile(50) / US_PER_MS,
            histogram.get_value_at_percentile(99) / US_PER_MS,
        )

    def open_sessions(self, count: int) -> list[HttpClient]:
        """Open ``count`` connections, send one read on each and leave them open."""
        clients = [HttpClient() for _ in range(count)]
        for client in clients:
            self._send(client)
        return clients

    def _send_until(self, end_s: float, http: HttpClient, histogram: HdrHistogram) -> int:
        failed = 0
        while time.monotonic() < end_s:
            started_ns = time.monotonic_ns()
            if not self._send(http):
                failed += 1
                continue
            histogram.record_value((time.monotonic_ns() - started_ns) // NS_PER_US)
        return failed

    def _send(self, http: HttpClient) -> bool:
        reply = http.post(self._address, self._path, self._body, self._headers, REQUEST_TIMEOUT_MS)
        return reply.status == HTTP_OK


@contextlib.contextmanager
def embedded_host(*arguments: str) -> Iterator[tuple[subprocess.Popen, dict]]:
    """Run an embedded host and yield its process and its parsed ready line."""
    command = [sys.executable, "-m", "figcrank.cli.figcrankd", "--embedded"]
    command += ["--listen", "127.0.0.1:0", *arguments]
    host = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    try:
        yield host, json.loads(host.stdout.readline())
    finally:
        host.terminate()
        host.wait()


def measure_breakdown(profile: str, duration_s: float) -> LatencyBreakdown:
    """Load a host over one connection with tracing on and break the latency down by span."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "spans.jsonl"
        with embedded_host("--trace-file", str(path)) as (host, ready):
            load = _benchmark_of(host, ready, profile).run(1, duration_s)
        medians = _median_spans_ms(path)
    handler_ms = medians["caller.statements"]
    backend_ms = medians["backend.work"]
    return LatencyBreakdown(
        load.median_ms,
        round(load.median_ms - handler_ms, 3),
        round(handler_ms - backend_ms, 3),
        round(backend_ms, 3),
    )


def main() -> int:
    """Run the benchmark and print the report as JSON."""
    options = _parser().parse_args()
    with embedded_host() as (host, ready):
        benchmark = _benchmark_of(host, ready, options.profile)
        loads = tuple(benchmark.run(count, options.duration_s) for count in options.connections)
        sessions = benchmark.open_sessions(options.open_sessions)
        resident_mib = _resident_mib(host.pid)
    parts = measure_breakdown(options.profile, options.duration_s)
    report = BenchReport(options.duration_s, loads, parts, len(sessions), round(resident_mib, 1))
    print(msgspec.json.format(encode(report)).decode())
    return os.EX_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, nargs="+", default=[1, 8, 16])
    parser.add_argument("--duration-s", type=float, default=5.0)
    parser.add_argument("--open-sessions", type=int, default=2_000)
    parser.add_argument("--profile", default="relaxed")
    return parser


def _benchmark_of(host: subprocess.Popen, ready: dict, profile: str) -> Benchmark:
    address = ready["caller_url"].removeprefix("http://")
    return Benchmark(address, ready["key"], ready["service"], profile, host.pid)


def _median_spans_ms(path: Path) -> dict[str, float]:
    durations: dict[str, list[float]] = {}
    for line in path.read_text().splitlines():
        span = json.loads(line)
        elapsed = datetime.fromisoformat(span["end_time"]) - datetime.fromisoformat(
            span["start_time"]
        )
        durations.setdefault(span["name"], []).append(elapsed.total_seconds() * MS_PER_S)
    return {name: statistics.median(values) for name, values in durations.items()}


def _cpu_ms(pid: int) -> float:
    """Return the CPU time used by a process, in user and system mode."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) * MS_PER_S / os.sysconf("SC_CLK_TCK")


def _resident_mib(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB
    return 0.0


if __name__ == "__main__":
    sys.exit(main())
