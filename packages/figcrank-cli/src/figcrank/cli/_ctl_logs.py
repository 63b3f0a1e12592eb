"""The ``logs`` command: request history, state changes and rejections from host log files."""

import argparse
import json
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from typing import TextIO

from rich.table import Table

from figcrank.cli._ctl_errors import FileError, UsageError
from figcrank.cli._ctl_output import Output
from figcrank.cli._ctl_stages import show_stages

STANDARD_INPUT = "-"
CONTEXT_MS = 5_000  # covers a whole failover, the longest cause of a failed request
MS_PER_S = 1_000
STATE_EVENTS = (
    "role_decided",
    "seat_lost",
    "seats_checked",
    "owner_silent",
    "primary_changed",
    "replacement_begun",
    "primaries_written",
    "primaries_not_written",
    "primary_settled",
    "primary_not_settled",
    "promotion_sent",
    "promotion_ordered",
    "primary_demoted",
    "fence_incomplete",
    "complete_log_unproven",
    "members_departed",
    "replacement_ended",
    "server_unreachable",
    "server_changed",
    "server_gone",
    "server_cold",
    "server_warm",
    "server_allotment_bounded",
    "configuration_adopted",
    "evacuation_adopted",
    "evacuated_work_ended",
    "evacuation_done",
    "evacuation_withdrawn",
    "evacuation_ignored",
    "store_era_changed",
    "store_lost",
    "store_reached",
    "started",
    "stopping",
    "stopped",
    "settings_changed",
)
REFUSAL_EVENTS = ("refused", "over_limit")
COMMON_FIELDS = ("at_ms", "t_ms", "host", "event")


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line of a host's log.

    :param at_ms: wall-clock time at the host, Unix milliseconds.
    :param host: name of the host that wrote the line.
    :param event: event name.
    :param fields: the other fields of the line.
    """

    at_ms: int
    host: str
    event: str
    fields: dict = field(default_factory=dict)

    def format_fields(self) -> str:
        """Return the non-empty fields as ``key=value`` pairs."""
        known = ((key, value) for key, value in self.fields.items() if value not in (None, ""))
        return " ".join(f"{key}={value}" for key, value in known)


def show_logs(options: argparse.Namespace, output: Output) -> None:
    """Show the history of a request, state changes, stages, or rejected requests by reason.

    :raises UsageError: if there are no log lines, or none of the request.
    :raises FileError: if a file cannot be read or the plot cannot be written.
    """
    events = sorted(read_events(options.files), key=lambda event: event.at_ms)
    if not events:
        raise UsageError("No figcrank log lines found in the given files.")
    if options.request:
        _show_request(events, options.request, output)
    elif options.stages:
        show_stages(events, options.span_s, output)
    elif options.beliefs:
        chosen = [event for event in events if event.event in STATE_EVENTS]
        _show_events(chosen, output)
    else:
        _show_refusals(events, options.plot, output)


def read_events(paths: Iterable[str]) -> Iterator[LogEvent]:
    """Yield the log events of the files.

    Text before the JSON object of a line, such as a prefix added by a log collector, is ignored,
    and so are lines without a log event.

    :raises FileError: if a file cannot be read.
    """
    for path in paths:
        try:
            with _open_lines(path) as lines:
                yield from filter(None, map(_read_line, lines))
        except OSError as error:
            raise FileError(path, "", "a readable log file") from error


def _open_lines(path: str) -> AbstractContextManager[TextIO]:
    if path == STANDARD_INPUT:
        return nullcontext(sys.stdin)
    return open(path, encoding="utf-8", errors="replace")


def _read_line(line: str) -> LogEvent | None:
    start = line.find("{")
    try:
        fields = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return None  # a line truncated by the log collector
    if not isinstance(fields, dict) or "event" not in fields or "host" not in fields:
        return None
    rest = {key: value for key, value in fields.items() if key not in COMMON_FIELDS}
    return LogEvent(int(fields.get("at_ms", 0)), fields["host"], fields["event"], rest)


def _show_request(events: list[LogEvent], request: str, output: Output) -> None:
    request_events = [event for event in events if event.fields.get("id") == request]
    if not request_events:
        raise UsageError(
            f"No log line of request {request} found; its host may have dropped log lines."
        )
    groups = {event.fields["group"] for event in request_events if event.fields.get("group")}
    workspaces = {
        event.fields["workspace"] for event in request_events if event.fields.get("workspace")
    }
    first_ms = request_events[0].at_ms - CONTEXT_MS
    last_ms = request_events[-1].at_ms + CONTEXT_MS
    selected = [
        event
        for event in events
        if event in request_events
        or (
            first_ms <= event.at_ms <= last_ms
            and event.event in STATE_EVENTS
            and event.fields.get("group", "") in {"", *groups}
        )
    ]
    output.note(
        f"request {request}: workspace {_join_names(workspaces)}, group {_join_names(groups)}"
    )
    _show_events(selected, output, marked=request_events)


def _join_names(values: set[str]) -> str:
    return ", ".join(sorted(values)) or "unknown"


def _show_events(events: list[LogEvent], output: Output, marked: list[LogEvent] = ()) -> None:
    if output.as_json:
        documents = [
            {"at_ms": e.at_ms, "host": e.host, "event": e.event, **e.fields} for e in events
        ]
        output.show(documents)
        return
    start_ms = events[0].at_ms if events else 0
    for event in events:
        mark = ">" if event in marked else " "
        after_s = (event.at_ms - start_ms) / MS_PER_S
        output.show(
            None, f"{mark} {after_s:8.3f} {event.host} {event.event} {event.format_fields()}"
        )


def _show_refusals(events: list[LogEvent], plot: str | None, output: Output) -> None:
    refused = [event for event in events if event.event in REFUSAL_EVENTS]
    counts = Counter((_reason(event), event.fields.get("workspace") or "-") for event in refused)
    table = Table("reason", "workspace", "requests")
    for (reason, workspace), count in counts.most_common():
        table.add_row(reason, workspace, str(count))
    documents = [
        {"reason": reason, "workspace": workspace, "requests": count}
        for (reason, workspace), count in counts.most_common()
    ]
    output.show(documents, table)
    if plot:
        _plot_refusals(refused, plot)


def _reason(event: LogEvent) -> str:
    if event.event == "over_limit":
        return "over the limit"
    failure = event.fields.get("failure") or "unknown"
    reason = event.fields.get("reason")
    return f"{failure}: {reason}" if reason else failure


def _plot_refusals(refused: list[LogEvent], path: str) -> None:
    """Plot the rejected requests per second by failure type.

    :raises FileError: if the plot cannot be written.
    """
    # Imported here because it is slow to import and only used for plots.
    from matplotlib.figure import Figure

    figure = Figure(layout="constrained")
    axes = figure.add_subplot()
    start_ms = refused[0].at_ms if refused else 0
    by_failure: dict[str, Counter] = {}
    for event in refused:
        failure = event.fields.get("failure") or event.event
        second = (event.at_ms - start_ms) // MS_PER_S
        by_failure.setdefault(failure, Counter())[second] += 1
    for failure, seconds in sorted(by_failure.items()):
        span = range(max(seconds) + 1)
        axes.plot(span, [seconds[second] for second in span], label=failure)
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests refused per second")
    if by_failure:
        axes.legend()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise FileError(path, "", "a writable image file such as refusals.png") from error
