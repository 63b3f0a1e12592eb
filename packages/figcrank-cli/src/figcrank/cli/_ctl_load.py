"""Load generator that sends statements at a fixed rate.

Latency is measured from the scheduled send time, so that time spent waiting for a free connection
counts.
"""

import argparse
import sys
import time
from collections import Counter

import eventlet
import msgspec
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.progress import Progress

from figcrank.cli._ctl_client import HTTP_OK, ErrorBody, parse_address
from figcrank.cli._ctl_errors import UnreachableError, UsageError
from figcrank.cli._ctl_output import Output
from figcrank.cli._ctl_plot import plot_latencies
from figcrank.cli._ctl_tables import new_table
from figcrank.protocol import Statement, StatementsBody
from figcrank.protocol.codecs import encode
from figcrank.transport import HttpCallError, HttpClient

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_FIGURES = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
MAX_STATEMENTS = 10_000_000
REQUEST_TIMEOUT_MS = 10_000
PROGRESS_INTERVAL_S = 0.2
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class LatencyPoint(msgspec.Struct, frozen=True):
    """Latency at a percentile of the successful statements."""

    percentile: float
    latency_ms: float


class LoadReport(msgspec.Struct, frozen=True):
    """Result of a load run.

    :param rate_per_s: requested rate.
    :param sent: statements that succeeded, failed or timed out.
    :param unsent: statements not sent because every connection was busy until the end of the run.
    :param answered: successful statements.
    :param answered_per_s: successful statements per second.
    :param failures: number of statements by failure type; ``no_answer`` counts requests without
        a response.
    :param latencies: latencies of successful statements, from the scheduled send time.
    """

    rate_per_s: float
    duration_s: float
    sent: int
    unsent: int
    answered: int
    answered_per_s: float
    failures: dict[str, int]
    latencies: tuple[LatencyPoint, ...]


class LoadGenerator:
    """Sends statements on a fixed schedule over a bounded number of connections.

    :param options: command-line arguments.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._address = parse_address(options.url)
        self._path = f"/v1/services/{options.service}/statements"
        self._headers = {
            "Authorization": f"Bearer {options.key}",
            "Figcrank-Profile": options.profile,
        }
        self._body = encode(StatementsBody((Statement(options.sql),)))
        self._rate_per_s = options.rate_per_s
        self._duration_s = options.duration_s
        self._connections = options.connections
        self._http = HttpClient()
        self._total = max(1, int(options.rate_per_s * options.duration_s))
        self._next_index = 0
        self._started_s = 0.0
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
        self.failures: Counter[str] = Counter()
        self.last_error = ""

    @property
    def total(self) -> int:
        """Return the number of scheduled statements."""
        return self._total

    @property
    def finished(self) -> int:
        """Return the number of statements that succeeded, failed or timed out."""
        return self.histogram.get_total_count() + self.failures.total()

    def run(self, progress: Progress) -> LoadReport:
        """Run the schedule and return the report."""
        self._started_s = time.monotonic()
        threads = [eventlet.spawn(self._send) for _ in range(self._connections)]
        progress_thread = eventlet.spawn(self._show_progress, progress)
        for thread in threads:
            thread.wait()
        progress_thread.kill()
        elapsed_s = time.monotonic() - self._started_s
        return self._report(elapsed_s)

    def _send(self) -> None:
        # A statement scheduled while every connection is busy is sent late; its latency is measured
        # from the scheduled time. Statements not sent by the end of the run are dropped.
        while self._next_index < self._total:
            due_s = self._started_s + self._next_index / self._rate_per_s
            self._next_index += 1
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            if time.monotonic() - self._started_s > self._duration_s:
                return
            self._send_one(due_s)

    def _send_one(self, due_s: float) -> None:
        try:
            reply = self._http.post(
                self._address, self._path, self._body, self._headers, REQUEST_TIMEOUT_MS
            )
        except HttpCallError as error:
            self.last_error = str(error)
            self.failures["no_answer"] += 1
            return
        if reply.status != HTTP_OK:
            self.failures[_failure_type(reply.body)] += 1
            return
        latency_us = int((time.monotonic() - due_s) * US_PER_S)
        self.histogram.record_value(min(max(latency_us, 1), MAX_LATENCY_US))

    def _show_progress(self, progress: Progress) -> None:
        task = progress.add_task("load", total=self._total)
        while True:
            progress.update(task, completed=self.finished)
            eventlet.sleep(PROGRESS_INTERVAL_S)

    def _report(self, elapsed_s: float) -> LoadReport:
        answered = self.histogram.get_total_count()
        return LoadReport(
            self._rate_per_s,
            round(elapsed_s, 3),
            self.finished,
            self._total - self.finished,
            answered,
            round(answered / elapsed_s, 1),
            dict(sorted(self.failures.items())),
            tuple(self._point_at(percentile) for percentile in PERCENTILES) if answered else (),
        )

    def _point_at(self, percentile: float) -> LatencyPoint:
        latency_us = self.histogram.get_value_at_percentile(percentile)
        return LatencyPoint(percentile, latency_us / US_PER_MS)


def run_load(options: argparse.Namespace, output: Output) -> None:
    """Send statements at a fixed rate for a fixed time and show the latencies.

    :raises UsageError: if the key is missing or the run has too many statements.
    :raises UnreachableError: if no request received a response.
    :raises FileError: if the plot cannot be written.
    """
    if not options.key:
        raise UsageError("No caller key given; set --key or FIGCRANK_KEY.")
    if options.rate_per_s * options.duration_s > MAX_STATEMENTS:
        raise UsageError(
            f"--rate-per-s times --duration-s exceeds the maximum of {MAX_STATEMENTS} statements."
        )
    load = LoadGenerator(options)
    console = Console(stderr=True)
    with Progress(console=console, disable=not sys.stderr.isatty(), transient=True) as progress:
        report = load.run(progress)
    if report.sent == report.failures.get("no_answer", 0):
        raise UnreachableError((load.last_error,))
    if options.plot:
        plot_latencies(load.histogram, options.plot)
    output.show(report, _table(report))


def _table(report: LoadReport) -> object:
    table = new_table("Load", "figure", "value", numbers=("value",))
    table.add_row("requested rate", f"{report.rate_per_s:g} /s")
    table.add_row("answered", f"{report.answered} of {report.sent}")
    table.add_row("answered per second", f"{report.answered_per_s:g} /s")
    if report.unsent:
        table.add_row("not sent, all connections busy", str(report.unsent))
    for kind, count in report.failures.items():
        table.add_row(f"failed: {kind}", str(count))
    for point in report.latencies:
        table.add_row(f"latency p{point.percentile:g}", f"{point.latency_ms:.3f} ms")
    return table


def _failure_type(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body, type=ErrorBody).failure.type)
    except msgspec.DecodeError:
        return "not_an_answer"
