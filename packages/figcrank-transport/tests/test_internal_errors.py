"""An unexpected error must not end a loop of a host unnoticed."""

import eventlet

from figcrank.standins.virtual_time import in_virtual_time
from figcrank.transport.streams._internal_errors import InternalErrors
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._unreadable_objects import UnreadableObjects


class Log:
    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))


def test_loop_runs_again_after_an_error():
    """A document nested too deeply ended the loop that lists the servers, and nobody knew."""
    log, metrics, runs = Log(), Metrics(), []

    def loop():
        runs.append(1)
        if len(runs) < 3:
            raise RecursionError("nested too deeply")

    def scenario():
        InternalErrors(log, metrics).spawn_loop(loop)
        eventlet.sleep(5)

    in_virtual_time(scenario)
    assert len(runs) == 3
    assert [name for name, _ in log.events] == ["internal_error"] * 2
    assert "loop" in log.events[0][1]["loop"]
    assert "internal_errors_total{} 2" in metrics.render()


def test_unreadable_object_is_logged_and_counted_once():
    log, metrics = Log(), Metrics()
    objects = UnreadableObjects(log, metrics)
    for revision in (7, 8):
        objects.record("servers", "odd", revision, "nested too deeply")
    objects.record("hosts", "odd", 9, "not an object")
    assert [fields["revision"] for _, fields in log.events] == [7, 9]
    assert 'unreadable_objects_total{kind="servers"} 1' in metrics.render()
