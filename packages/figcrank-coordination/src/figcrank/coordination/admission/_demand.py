"""What a statement asks of a server."""

from collections.abc import Callable
from dataclasses import dataclass, field

from figcrank.coordination.admission._stages import StageTimes


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class Demand:
    """A statement that is to run on a server.

    :param workspace: workspace that the statement belongs to.
    :param kind: kind of statement; statements of one kind have similar service times.
    :param priority: priority of the route and of the workspace; 0 is served first.
    :param arrived_ms: time at which the first statement of the operation arrived.
    :param target_ms: time until which the operation is in time.
    :param deadline_ms: time after which the caller no longer waits for the result.
    :param connected: tells whether the caller is still connected.
    :param acts_for_workspace: tells whether the caller still acts for the workspace; a newer
        configuration may have given its key to another one.
    :param is_hedge: whether another server is already running the statement. Its rejection is not
        reported to the caller.
    :param stages: collects where the time of the operation goes.
    """

    workspace: str
    kind: str
    priority: tuple[int, int]
    arrived_ms: int
    target_ms: int
    deadline_ms: int
    connected: Callable[[], bool] = field(default=_always, compare=False)
    acts_for_workspace: Callable[[], bool] = field(default=_always, compare=False)
    is_hedge: bool = False
    stages: StageTimes = field(default_factory=StageTimes, compare=False, repr=False)
