"""Operations of one workspace that all hosts admitted in the last window.

Addresses workspaces that are refused over the limit although all hosts together admitted less than
the limit allows in the window in which it is judged: such refusals are wrongful.
"""

from collections import deque

STEPS = 20  # of a window; what is up to one step older than the window counts as well


class AdmissionWindow:
    """Counts admitted operations by the time at which this host knows of them.

    :param window_ms: period over which the limit is judged.
    """

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        self._step_ms = max(1, window_ms // STEPS)
        self._steps: deque[tuple[int, int]] = deque()  # number of the step, operations
        self._total = 0

    def record(self, count: int, now_ms: int) -> None:
        """Add operations that a host admitted."""
        step = now_ms // self._step_ms
        if self._steps and self._steps[-1][0] >= step:
            step, earlier = self._steps.pop()
            self._steps.append((step, earlier + count))
        else:
            self._steps.append((step, count))
        self._total += count
        self._expire(now_ms)

    def refund(self) -> None:
        """Remove one operation that did not reach a server."""
        if self._steps:
            step, count = self._steps.pop()
            self._steps.append((step, count - 1))
            self._total -= 1

    def count(self, now_ms: int) -> int:
        """Return the number of operations in the window that ends now."""
        self._expire(now_ms)
        return self._total

    def _expire(self, now_ms: int) -> None:
        first = (now_ms - self.window_ms) // self._step_ms
        while self._steps and self._steps[0][0] < first:
            self._total -= self._steps.popleft()[1]
