"""Where the time of an operation goes, by the stage in which it waits.

Answers load at which operations are late rather than refused: the total alone does not tell a queue
from a connection that is opened, a replica that lags, a primary that moves or a slow server.
"""

from enum import Enum


class Stage(Enum):
    """A stage of an operation at the host that runs it. The value is part of names in logs."""

    PRIMARY = "primary"  # until the primary can be used
    POSITION = "position"  # until the primary's position is known
    SLOT = "slot"  # until a slot of the server is free
    CONNECT = "connect"  # until a connection is open
    PREPARE = "prepare"  # until variables and prepared statements are set on the connection
    SERVER = "server"  # from sending a statement until its reply


class StageTimes:
    """Time that one operation has spent in each stage.

    Stages of attempts that run at the same time are added up, so that the sum may exceed the time
    of the operation.
    """

    __slots__ = ("_times_ms",)

    def __init__(self) -> None:
        self._times_ms: dict[Stage, int] = {}

    def add(self, stage: Stage, took_ms: int) -> None:
        """Add time to a stage."""
        if took_ms > 0:
            self._times_ms[stage] = self._times_ms.get(stage, 0) + took_ms

    def items(self) -> list[tuple[Stage, int]]:
        """Return the stages with a time above 0, in the order in which they were reached."""
        return list(self._times_ms.items())
