"""Reads the hosts' log lines and tells what became of a request, and why."""

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

STANDARD_INPUT = "-"
AROUND_MS = 5_000  # a failover, the longest cause of a failed request, is over within this time
MS_PER_S = 1_000
BELIEF_EVENTS = (
    "primary_changed",
    "replacement_begun",
    "promotion_ordered",
    "primary_demoted",
    "fence_incomplete",
    "replacement_ended",
    "server_unreachable",
    "server_changed",
    "server_gone",
    "configuration_adopted",
    "store_lost",
    "store_reached",
    "started",
    "stopping",
    "stopped",
    "settings_changed",
)
REFUSAL_EVENTS = ("refused", "over_limit")
LABELS = ("at_ms", "t_ms", "host", "event")


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line of a host's log.

    :param at_ms: time of day at the host, Unix milliseconds.
    :param host: the host that wrote it.
    :param event: what happened.
    :param fields: everything else on the line.
    """

    at_ms: int
    host: str
    event: str
    fields: dict = field(default_factory=dict)

    def text(self) -> str:
        """Return the fields as words."""
        known = ((key, value) for key, value in self.fields.items() if value not in (None, ""))
        return " ".join(f"{key}={value}" for key, value in known)


def show_logs(options: argparse.Namespace, output: Output) -> None:
    """Show one request's story, the changes of belief, or refusals by reason."""
    events = sorted(read_events(options.files), key=lambda event: event.at_ms)
    if not events:
        raise UsageError("no log lines were found; name files that hold lines of figcrank hosts")
    if options.request:
        _show_request(events, options.request, output)
    elif options.beliefs:
        chosen = [event for event in events if event.event in BELIEF_EVENTS]
        _show_events(chosen, output)
    else:
        _show_refusals(events, options.plot, output)


def read_events(paths: Iterable[str]) -> Iterator[LogEvent]:
    """Return the log lines of files; what stands before a line's object is left out.

    :raises FileError: if a file can't be read.
    """
    for path in paths:
        try:
            with _opened(path) as lines:
                yield from filter(None, map(_read_line, lines))
        except OSError as error:
            raise FileError(path, "", "a readable file of log lines") from error


def _opened(path: str) -> AbstractContextManager[TextIO]:
    if path == STANDARD_INPUT:
        return nullcontext(sys.stdin)
    return open(path, encoding="utf-8", errors="replace")


def _read_line(line: str) -> LogEvent | None:
    start = line.find("{")
    try:
        fields = json.loads(line[start:]) if start >= 0 else None
    except ValueError:
        return None  # a line cut off by the collector
    if not isinstance(fields, dict) or "event" not in fields or "host" not in fields:
        return None
    rest = {key: value for key, value in fields.items() if key not in LABELS}
    return LogEvent(int(fields.get("at_ms", 0)), fields["host"], fields["event"], rest)


def _show_request(events: list[LogEvent], request: str, output: Output) -> None:
    own = [event for event in events if event.fields.get("id") == request]
    if not own:
        raise UsageError(f"no line names request {request}; its host may have left lines out")
    groups = {event.fields["group"] for event in own if event.fields.get("group")}
    workspaces = {event.fields["workspace"] for event in own if event.fields.get("workspace")}
    first_ms = own[0].at_ms - AROUND_MS
    last_ms = own[-1].at_ms + AROUND_MS
    story = [
        event
        for event in events
        if event in own
        or (
            first_ms <= event.at_ms <= last_ms
            and event.event in BELIEF_EVENTS
            and event.fields.get("group", "") in {"", *groups}
        )
    ]
    output.note(f"request {request}: workspace {_words(workspaces)}, group {_words(groups)}")
    _show_events(story, output, marked=own)


def _words(values: set[str]) -> str:
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
        output.show(None, f"{mark} {after_s:8.3f} {event.host} {event.event} {event.text()}")


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
    """Write the refusals of each second by failure to a picture.

    :raises FileError: if it can't be written.
    """
    from matplotlib.figure import Figure  # slow to import, and needed here only

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
    axes.set_ylabel("requests refused in a second")
    if by_failure:
        axes.legend()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise FileError(path, "", "a writable picture such as refusals.png") from error
