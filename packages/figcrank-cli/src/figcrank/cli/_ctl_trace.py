"""Spans of a trace, one line a hop."""

import argparse
from datetime import datetime
from pathlib import Path

import msgspec

from figcrank.cli._ctl_errors import CtlError, FileError
from figcrank.cli._ctl_output import Output

US_PER_MS = 1_000
HEX_PREFIX = "0x"


class SpanContext(msgspec.Struct, frozen=True):
    """Identity of a span, hexadecimal with the prefix ``0x``."""

    trace_id: str
    span_id: str


class SpanResource(msgspec.Struct, frozen=True):
    """Where a span was made."""

    attributes: dict[str, object] = {}


class SpanLine(msgspec.Struct, frozen=True):
    """One line of a spans file.

    :param start_time: when the hop began.
    :param end_time: when it was over.
    """

    name: str
    context: SpanContext
    start_time: datetime
    end_time: datetime
    parent_id: str | None = None
    attributes: dict[str, object] = {}
    resource: SpanResource = SpanResource()


class Hop(msgspec.Struct, frozen=True):
    """A span of the trace that is shown.

    :param depth: number of spans above it.
    :param offset_us: start, counted from the start of the trace.
    :param duration_us: length.
    """

    name: str
    host: str
    depth: int
    offset_us: int
    duration_us: int
    attributes: dict[str, object]


class TraceReport(msgspec.Struct, frozen=True):
    """The hops of a trace, each followed by those that it caused."""

    trace_id: str
    hops: tuple[Hop, ...]


class UnknownTraceError(CtlError):
    """A trace that the file doesn't have.

    :param path: path of the file.
    :param trace_id: the trace; empty if the file has none at all.
    """

    def __init__(self, path: str, trace_id: str) -> None:
        what = f"no trace {trace_id}" if trace_id else "no trace yet"
        super().__init__(
            f"{path} has {what}; take the id from an answer's Traceparent header and the file "
            "of a host that the request passed."
        )


def show_trace(options: argparse.Namespace, output: Output) -> None:
    """Show one trace of a spans file, the newest if none is named."""
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
    """Return the spans of a file; a last line still being written is left out.

    :raises FileError: if the file can't be read or a line is no span.
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
    # Spans that are their own ancestors, in a damaged file, are never reached.
    pending = [(span, 0) for span in reversed(children.get("", []))]
    while pending:
        span, depth = pending.pop()
        hops.append(_hop(span, depth, spans[0].start_time))
        below = children.pop(span.context.span_id, [])
        pending += [(child, depth + 1) for child in reversed(below)]
    return tuple(hops)


def _hop(span: SpanLine, depth: int, started: datetime) -> Hop:
    return Hop(
        span.name,
        str(span.resource.attributes.get("host", "")),
        depth,
        _us(started, span.start_time),
        _us(span.start_time, span.end_time),
        span.attributes,
    )


def _line(hop: Hop) -> str:
    attributes = " ".join(f"{name}={value}" for name, value in hop.attributes.items())
    times = f"{hop.offset_us / US_PER_MS:9.3f} ms +{hop.duration_us / US_PER_MS:.3f} ms"
    return f"{times} {'  ' * hop.depth}{hop.name} {hop.host} {attributes}".rstrip()


def _trace_id(span: SpanLine) -> str:
    return span.context.trace_id.removeprefix(HEX_PREFIX)


def _us(start: datetime, end: datetime) -> int:
    return round((end - start).total_seconds() * US_PER_MS * US_PER_MS)
