"""Tests metrics, spans, decisions and log lines."""

import json
import logging as std_logging
import socket
import sys

import pytest

from figcrank.coordination import CountMetric, RecordDecision, RecordSpan, TimeMetric
from figcrank.protocol import Decision
from figcrank.transport._telemetry import JsonLogFormatter, Telemetry

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


@pytest.fixture
def statsd():
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    receiver.settimeout(10)
    yield receiver
    receiver.close()


def test_metrics_are_sent_to_statsd(statsd):
    telemetry = Telemetry("host-1", "az-1", f"127.0.0.1:{statsd.getsockname()[1]}")
    telemetry.count_metric(CountMetric("reads", 2))
    telemetry.time_metric(TimeMetric("wait", 15))
    assert statsd.recv(1_000) == b"figcrank.reads:2|c"
    assert statsd.recv(1_000) == b"figcrank.wait:15.000000|ms"


def test_spans_are_written_as_json_lines(tmp_path):
    path = tmp_path / "spans.jsonl"
    telemetry = Telemetry("host-1", "az-1", trace_file=str(path))
    outer = telemetry.start_span("caller", PARENT)
    telemetry.record_span(RecordSpan(outer.traceparent, "entry", 5, 9, (("group", "g"),)))
    outer.end(outcome="answered")
    telemetry.close()
    inner, outer_span = [json.loads(line) for line in path.read_text().splitlines()]
    assert inner["parent_id"] == outer_span["context"]["span_id"]
    assert outer_span["parent_id"] == "0xb7ad6b7169203331"
    assert {span["context"]["trace_id"] for span in (inner, outer_span)} == {f"0x{TRACE_ID}"}
    assert inner["attributes"] == {"group": "g"}
    assert outer_span["resource"]["attributes"] == {
        "host": "host-1",
        "availability_zone": "az-1",
    }


@pytest.mark.parametrize("with_file", [True, False])
@pytest.mark.parametrize(
    "traceparent", ["", "nonsense", f"00-{'0' * 32}-b7ad6b7169203331-01", PARENT.upper()]
)
def test_invalid_parent_starts_a_new_trace(tmp_path, with_file, traceparent):
    path = str(tmp_path / "spans.jsonl") if with_file else ""
    telemetry = Telemetry("host-1", "az-1", trace_file=path)
    span = telemetry.start_span("caller", traceparent)
    assert int(span.trace_id, 16) != 0
    assert span.trace_id != TRACE_ID
    telemetry.close()


def test_trace_id_is_propagated_without_a_trace_file():
    assert Telemetry("host-1", "az-1").start_span("caller", PARENT).trace_id == TRACE_ID


def test_decisions_are_written_as_json_lines(tmp_path):
    path = tmp_path / "decisions.jsonl"
    telemetry = Telemetry("host-1", "az-1", decision_file=str(path))
    decision = Decision(7, "promotion", "roster-1", "The primary is dead.", {"term": "8"})
    telemetry.record_decision(RecordDecision(decision))
    telemetry.close()
    assert json.loads(path.read_text()) == {
        "at_ms": 7,
        "kind": "promotion",
        "subject": "roster-1",
        "reason": "The primary is dead.",
        "inputs": {"term": "8"},
    }


def test_log_line_includes_host_and_trace():
    record = std_logging.LogRecord("absl", std_logging.ERROR, __file__, 1, "a %s", ("b",), None)
    record.trace_id = TRACE_ID
    record.workspace = "demo"
    line = json.loads(JsonLogFormatter("host-1", "az-1").format(record))
    assert line["message"] == "a b"
    assert (line["host"], line["availability_zone"]) == ("host-1", "az-1")
    assert (line["workspace"], line["trace_id"]) == ("demo", TRACE_ID)


def test_exception_is_logged_on_one_line():
    try:
        raise ValueError("a\nb")
    except ValueError:
        record = std_logging.LogRecord("absl", 40, __file__, 1, "fault", (), sys.exc_info())
    text = JsonLogFormatter("host-1", "az-1").format(record)
    assert "\n" not in text
    assert "ValueError" in json.loads(text)["exception"]
