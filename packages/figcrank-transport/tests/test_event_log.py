import json

from figcrank.state import ManualClock
from figcrank.transport.streams._log import LINES_PER_S, MAX_UNWRITTEN_BYTES, EventLog


class FakeReader:
    """Accepts at most ``accepts`` bytes per write; raises ``BlockingIOError`` if that is 0."""

    def __init__(self):
        self.data = b""
        self.accepts = 1_000_000_000

    def write(self, data):
        if not self.accepts:
            raise BlockingIOError
        self.data += data[: self.accepts]
        return min(self.accepts, len(data))

    def events(self):
        return [json.loads(line) for line in self.data.splitlines()]


def make_log():
    clock, reader = ManualClock(1_000), FakeReader()
    return EventLog("a", clock, reader.write), clock, reader


def test_burst_of_one_event_is_limited_and_drops_are_counted():
    log, clock, reader = make_log()
    for number in range(10_000):
        log.event("refused", id=number)
    log.event("primary_changed", group="g")
    clock.advance_to(2_000)
    log.event("served")
    log.flush()
    names = [event["event"] for event in reader.events()]
    assert names.count("refused") == LINES_PER_S
    assert "primary_changed" in names
    [dropped] = [event for event in reader.events() if event["event"] == "lines_dropped"]
    assert dropped["refused"] == 10_000 - LINES_PER_S


def test_partially_written_line_is_completed_by_the_next_write():
    log, _, reader = make_log()
    reader.accepts = 7
    log.event("served", id="one")
    log.flush()
    reader.accepts = 1_000
    log.event("served", id="two")
    log.flush()
    assert [event["id"] for event in reader.events()] == ["one", "two"]


def test_stalled_reader_causes_bounded_buffering_and_drops_whole_lines():
    log, clock, reader = make_log()
    reader.accepts = 5
    log.event("served", id="begun")
    log.flush()
    reader.accepts = 0
    for second in range(2, 400):
        clock.advance_to(second * 1_000)
        for name in ("served", "refused"):
            for _ in range(LINES_PER_S):
                log.event(name, text="x" * 100)
        log.flush()
        assert len(log._unwritten) <= MAX_UNWRITTEN_BYTES + 50_000
    reader.accepts = 10_000_000
    log.event("served", id="last")
    log.flush()
    events = reader.events()
    assert events[0]["id"] == "begun"
    assert any(event["event"] == "lines_dropped" for event in events)
