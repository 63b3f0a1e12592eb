"""Errors that no part of a host expects: they are logged and counted, and must not end the host."""

import traceback
from collections.abc import Callable

import eventlet

from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics

LOOP_RESTART_MS = 500  # about two rounds of most loops
MAX_TRACE_CHARS = 1_500


class InternalErrors:
    """Records unexpected errors, and keeps a host's loops running after them.

    :param log: event log.
    :param metrics: counts the errors.
    """

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics

    def record(self, **fields: object) -> None:
        """Record the exception that is being handled.

        :param fields: where it was raised.
        """
        trace = traceback.format_exc()[-MAX_TRACE_CHARS:]
        self._log.event("internal_error", **fields, trace=trace)
        self._metrics.count("internal_errors")

    def spawn_loop(self, loop: Callable[[], None]) -> None:
        """Run a loop in a thread of its own, and again after an error.

        A loop that ended would go unnoticed: the host would go on with what it knew by then.
        """
        eventlet.spawn_n(self._run, loop)

    def _run(self, loop: Callable[[], None]) -> None:
        while True:
            try:
                loop()
                return
            except Exception:  # noqa: BLE001 - nothing else would run the loop again
                self.record(loop=loop.__qualname__)
            eventlet.sleep(LOOP_RESTART_MS / 1_000)
