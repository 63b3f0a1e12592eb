"""How a stand-in server misbehaves."""

from dataclasses import dataclass, fields, replace

from figcrank.protocol import WorkFailureKind
from figcrank.standins._errors import SQLSTATE_BAD_VALUE, WorkError

CONNECT_MS = 12


@dataclass(frozen=True, slots=True)
class Knobs:
    """Delays and faults of one server.

    :param lag_ms: time between holding an entry and applying it, in milliseconds.
    :param latency_ms: time added before each answer, in milliseconds.
    :param connect_ms: time that a new connection takes, in milliseconds.
    :param partitioned: 1 if nothing is replicated to or from the server.
    :param leaving: 1 if the server reports that it is about to be taken away.
    """

    lag_ms: int = 0
    latency_ms: int = 0
    connect_ms: int = CONNECT_MS
    partitioned: int = 0
    leaving: int = 0

    def changed(self, name: str, value: int) -> "Knobs":
        """Return the knobs with one of them set.

        :raises WorkError: if there is no such knob.
        """
        if name not in {field.name for field in fields(self)} or value < 0:
            message = f"There is no knob {name} with the value {value}."
            raise WorkError(WorkFailureKind.SQL, SQLSTATE_BAD_VALUE, message)
        return replace(self, **{name: value})


DEFAULT_KNOBS = Knobs()
