"""The ``trace`` command: spans of a trace, one line per span."""

import argparse
from datetime import datetime
from pathlib import Path

import msgspec

from figcrank.cli._ctl_errors import CtlError, FileError
from figcrank.cli._ctl_output import Output

US_PER_MS = 1_000
HEX_PREFIX = "0x"


class SpanContext(msgspec.Struct, frozen=True):
    """Ids of a span, in hexadecimal with the prefix ``0x``."""

    trace_id: str
    span_id: str


class SpanResource(msgspec.Struct, frozen=True):
    """Resource attributes of a span, such as the host that recorded it."""

    attributes: dict[str, object] = {}


class SpanLine(msgspec.Struct, frozen=True):
    """Span as stored on one line of a trace file.

    :param start_time: start of the span.
    :param end_time: end of the span.
    """

    name: str
    context: SpanContext
    start_time: datetime
    end_time: datetime
    parent_id: str | None = None
    attributes: dict[str, object] = {}
    resource: SpanResource = SpanResource()


class Hop(msgspec.Struct, frozen=True):
    """Span of the displayed trace.

    :param depth: number of ancestor spans.
    :param offset_us: start relative to the start of the trace.
    :param duration_us: duration of the span.
    """

    name: str
    host: str
    depth: int
    offset_us: int
    duration_us: int
    attributes: dict[str, object]


class TraceReport(msgspec.Struct, frozen=True):
    """Spans of a trace, each followed by its child spans."""

    trace_id: str
    hops: tuple[Hop, ...]


class UnknownTraceError(CtlError):
    """The file does not contain the trace.

    :param path: path of the file.
    :param trace_id: requested trace; empty if the file contains no trace.
    """

    def __init__(self, path: str, trace_id: str) -> None:
        what = f"no trace {trace_id}" if trace_id else "no trace yet"
        super().__init__(
            f"{path} contains {what}; use the id from a response's Traceparent header and the "
            "trace file of a host that handled the request."
        )


def show_trace(options: argparse.Namespace, output: Output) -> None:
    """Show a trace of a trace file, by default the newest.

    :raises UnknownTraceError: if the file does not contain the trace.
    :raises FileError: if the file cannot be read.
    """
    spans = read_spans(options.file)
    trace_id = (options.trace_id or "").lower().removeprefix(HEX_PREFIX)
    if not trace_id and spans:
        trace_id = _trace_id(max(spans, key=lambda span: span.start_time))
    chosen = [span for span in spans if _trace_id(span) == trace_id]
    if not chosen:
        raise UnknownTraceError(options.file, trace_id)
    report = TraceReport(trace_id, _hops(chosen))
    output.show(report, f"trace {trace_id}", *(_line(hop) for hop in report.hops))


def read_spans(path: str) -> list[SpanLine]:
    """Return the spans of a trace file, without a last line that is still being written.

    :raises FileError: if the file cannot be read or a line is not a valid span.
    """
    try:
        lines = Path(path).read_bytes().split(b"\n")
    except (OSError, ValueError) as error:
        raise FileError(path, "", f"a readable file ({type(error).__name__})") from error
    return [_span(path, number, line) for number, line in enumerate(lines[:-1], 1) if line]


def _span(path: str, number: int, line: bytes) -> SpanLine:
    try:
        return msgspec.json.decode(line, type=SpanLine)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise FileError(path, f"line {number}", "a span as JSON") from error


def _hops(spans: list[SpanLine]) -> tuple[Hop, ...]:
    spans = sorted(spans, key=lambda span: span.start_time)
    known = {span.context.span_id for span in spans}
    children: dict[str, list[SpanLine]] = {}
    for span in spans:
        parent_id = span.parent_id if span.parent_id in known else ""
        children.setdefault(parent_id or "", []).append(span)
    hops: list[Hop] = []
    # Spans that are their own ancestors, in a damaged file, are never visited.
    pending = [(span, 0) for span in reversed(children.get("", []))]
    while pending:
        span, depth = pending.pop()
        hops.append(_hop(span, depth, spans[0].start_time))
        child_spans = children.pop(span.context.span_id, [])
        pending += [(child, depth + 1) for child in reversed(child_spans)]
    return tuple(hops)


def _hop(span: SpanLine, depth: int, started: datetime) -> Hop:
    return Hop(
        span.name,
        str(span.resource.attributes.get("host", "")),
        depth,
        _elapsed_us(started, span.start_time),
        _elapsed_us(span.start_time, span.end_time),
        span.attributes,
    )


def _line(hop: Hop) -> str:
    attributes = " ".join(f"{name}={value}" for name, value in hop.attributes.items())
    times = f"{hop.offset_us / US_PER_MS:9.3f} ms +{hop.duration_us / US_PER_MS:.3f} ms"
    return f"{times} {'  ' * hop.depth}{hop.name} {hop.host} {attributes}".rstrip()


def _trace_id(span: SpanLine) -> str:
    return span.context.trace_id.removeprefix(HEX_PREFIX)


def _elapsed_us(start: datetime, end: datetime) -> int:
    return round((end - start).total_seconds() * US_PER_MS * US_PER_MS)
