"""Objects of the store that hosts leave out because they can't be read."""

from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics

MAX_NAMES = 1_000  # a writer that invents names must not fill the memory


class UnreadableObjects:
    """Logs and counts each unreadable object once, however often it is listed.

    :param log: event log.
    :param metrics: counts the objects by kind.
    """

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._seen: set[tuple[str, str]] = set()

    def record(self, kind: str, name: str, revision: int, reason: str) -> None:
        """Record an object that a listing left out.

        :param name: empty if it can't be read either.
        :param revision: 0 if it can't be read.
        """
        if (kind, name) in self._seen or len(self._seen) >= MAX_NAMES:
            return
        self._seen.add((kind, name))
        self._metrics.count("unreadable_objects", kind=kind)
        self._log.event(
            "object_unreadable", kind=kind, object=name, revision=revision, reason=reason[:200]
        )
