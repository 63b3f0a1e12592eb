"""Metrics, traces, the decision log and log formatting."""

import json
import logging as std_logging
import random
import re
import time
from pathlib import Path
from typing import IO

import msgspec
import statsd
from absl import flags, logging
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider, sampling
from opentelemetry.trace import NonRecordingSpan, SpanContext, TraceFlags

from figcrank.coordination import CountMetric, RecordDecision, RecordSpan, TimeMetric
from figcrank.transport._addresses import split_address

NS_PER_MS = 1_000_000
STATSD_PREFIX = "figcrank"
LOG_FIELDS = ("workspace", "group", "trace_id")
_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")


class Span:
    """An active span.

    :param span: OpenTelemetry span.
    """

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        context = span.get_span_context()
        flags = int(context.trace_flags)
        self.traceparent = f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"

    @property
    def trace_id(self) -> str:
        """Return the trace id, in hexadecimal."""
        return self.traceparent.split("-")[1]

    def end(self, **attributes: str) -> None:
        """Finish the span."""
        if self._span.is_recording():
            self._span.set_attributes(attributes)
            self._span.end()


class Telemetry:
    """Metrics, spans and decisions of a host.

    :param host: name of this host.
    :param availability_zone: availability zone of this host.
    :param statsd_address: ``ip:port`` of a statsd server; empty for none.
    :param trace_file: file for spans in JSON Lines format; empty for none.
    :param decision_file: file for decisions in JSON Lines format; empty for the process log.
    """

    def __init__(
        self,
        host: str,
        availability_zone: str,
        statsd_address: str = "",
        trace_file: str = "",
        decision_file: str = "",
    ) -> None:
        self._statsd = _statsd_client(statsd_address)
        self._traces = _open_for_append(trace_file)
        self._decisions = _open_for_append(decision_file)
        resource = Resource({"host": host, "availability_zone": availability_zone})
        self._provider = TracerProvider(
            sampler=sampling.ALWAYS_ON, resource=resource, shutdown_on_exit=False
        )
        if self._traces is not None:
            self._provider.add_span_processor(_JsonLinesProcessor(self._traces))
        self._tracer = self._provider.get_tracer("figcrank")

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter by ``amount``."""
        if self._statsd is not None:
            self._statsd.incr(name, amount)

    def count_metric(self, action: CountMetric) -> None:
        """Increment a counter for the core."""
        self.count(action.name, action.amount)

    def time(self, name: str, elapsed_ms: int) -> None:
        """Record a duration, in milliseconds."""
        if self._statsd is not None:
            self._statsd.timing(name, elapsed_ms)

    def time_metric(self, action: TimeMetric) -> None:
        """Record a duration for the core."""
        self.time(action.name, action.elapsed_ms)

    def record_decision(self, action: RecordDecision) -> None:
        """Write a decision to the decision log."""
        if self._decisions is not None:
            self._decisions.write(msgspec.json.encode(action.decision).decode() + "\n")
            return
        decision = action.decision
        fields = {name: decision.inputs[name] for name in LOG_FIELDS if name in decision.inputs}
        logging.info("%s %s: %s", decision.kind, decision.subject, decision.reason, extra=fields)

    def record_span(self, action: RecordSpan) -> None:
        """Write a finished span for the core."""
        if self._traces is None:
            return
        offset_ns = time.time_ns() - time.monotonic_ns()
        span = self._tracer.start_span(
            action.name,
            context=_parent_context(action.traceparent),
            attributes=dict(action.attributes),
            start_time=action.started_ms * NS_PER_MS + offset_ns,
        )
        span.end(end_time=action.ended_ms * NS_PER_MS + offset_ns)

    def start_span(self, name: str, traceparent: str) -> Span:
        """Start a span.

        :param traceparent: W3C trace context of the parent; if it is invalid, a new trace starts.
        """
        if self._traces is None:
            return Span(NonRecordingSpan(_span_context(traceparent) or _new_trace_context()))
        return Span(self._tracer.start_span(name, context=_parent_context(traceparent)))

    def flush(self) -> None:
        """Write buffered lines to their files."""
        for file in (self._traces, self._decisions):
            if file is not None:
                file.flush()

    def close(self) -> None:
        """Flush and close the files."""
        for file in (self._traces, self._decisions):
            if file is not None:
                file.close()


class JsonLogFormatter(std_logging.Formatter):
    """Formats a log record as one JSON object.

    :param host: name of this host.
    :param availability_zone: availability zone of this host.
    """

    def __init__(self, host: str, availability_zone: str) -> None:
        super().__init__()
        self._host = host
        self._availability_zone = availability_zone

    def format(self, record: std_logging.LogRecord) -> str:
        """Return ``record`` as one line of JSON."""
        line = {
            "time_ms": int(record.created * 1_000),
            "level": record.levelname.lower(),
            "host": self._host,
            "availability_zone": self._availability_zone,
            "message": record.getMessage(),
        }
        for name in LOG_FIELDS:
            if hasattr(record, name):
                line[name] = getattr(record, name)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure_logging(host: str, availability_zone: str) -> None:
    """Write log records to standard error in JSON Lines format."""
    # absl requires its flags to be parsed before logging, but argparse parses the command line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().setFormatter(JsonLogFormatter(host, availability_zone))


class _JsonLinesProcessor(SpanProcessor):
    """Writes each span as a line of JSON when it ends, synchronously."""

    def __init__(self, file: IO[str]) -> None:
        self._file = file

    def on_end(self, span: ReadableSpan) -> None:
        """Write a finished span."""
        self._file.write(span.to_json(indent=None) + "\n")


def _statsd_client(address: str) -> statsd.StatsClient | None:
    if not address:
        return None
    ip, port = split_address(address)
    return statsd.StatsClient(ip, port, prefix=STATSD_PREFIX)


def _open_for_append(path: str) -> IO[str] | None:
    return Path(path).open("a", encoding="utf-8") if path else None


def _span_context(traceparent: str) -> SpanContext | None:
    match = _TRACEPARENT.fullmatch(traceparent)
    if match is None:
        return None
    trace_id, span_id, flags = (int(part, 16) for part in match.groups())
    if not trace_id or not span_id:
        return None
    return SpanContext(trace_id, span_id, is_remote=True, trace_flags=TraceFlags(flags))


def _parent_context(traceparent: str) -> trace.Context:
    context = _span_context(traceparent)
    parent = NonRecordingSpan(context) if context else trace.INVALID_SPAN
    return trace.set_span_in_context(parent)


def _new_trace_context() -> SpanContext:
    return SpanContext(random.getrandbits(128), random.getrandbits(64), is_remote=False)
