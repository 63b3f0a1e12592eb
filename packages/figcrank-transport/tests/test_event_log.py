import json

from figcrank.state import ManualClock
from figcrank.transport.streams._log import LINES_PER_S, MAX_UNWRITTEN_BYTES, EventLog


class Reader:
    """Takes as many bytes as it is allowed to."""

    def __init__(self):
        self.data = b""
        self.takes = 1_000_000_000

    def write(self, data):
        if not self.takes:
            raise BlockingIOError
        self.data += data[: self.takes]
        return min(self.takes, len(data))

    def events(self):
        return [json.loads(line) for line in self.data.splitlines()]


def make_log():
    clock, reader = ManualClock(1_000), Reader()
    return EventLog("a", clock, reader.write), clock, reader


def test_a_burst_of_one_event_stays_within_its_budget_and_is_counted():
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


def test_a_reader_that_takes_part_of_a_line_gets_the_rest_later():
    log, _, reader = make_log()
    reader.takes = 7
    log.event("served", id="one")
    log.flush()
    reader.takes = 1_000
    log.event("served", id="two")
    log.flush()
    assert [event["id"] for event in reader.events()] == ["one", "two"]


def test_a_reader_that_stops_costs_bounded_memory_and_whole_lines():
    log, clock, reader = make_log()
    reader.takes = 5
    log.event("served", id="begun")
    log.flush()
    reader.takes = 0
    for second in range(2, 400):
        clock.advance_to(second * 1_000)
        for name in ("served", "refused"):
            for _ in range(LINES_PER_S):
                log.event(name, text="x" * 100)
        log.flush()
        assert len(log._unwritten) <= MAX_UNWRITTEN_BYTES + 50_000
    reader.takes = 10_000_000
    log.event("served", id="last")
    log.flush()
    events = reader.events()
    assert events[0]["id"] == "begun"
    assert any(event["event"] == "lines_dropped" for event in events)
