"""Service time that statements used at one server in the last seconds, by workspace.

Addresses a workspace that sends five to seven times its usual load: the queue of a server shows
whose statements wait, and this shows whose statements the server has been running.
"""

from collections import Counter, deque

WINDOW_MS = 5_000  # tens of statements of the slowest kind at one slot
STEP_MS = 500
MAX_WORKSPACES_PER_STEP = 200  # further ones count without a name; bounds the memory


class _Step:
    """Statements that ended in one step."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.statements = 0
        self.service_ms: Counter[str] = Counter()


class ServiceUse:
    """Statements and service time of the last window.

    :param now_ms: time of creation.
    """

    def __init__(self, now_ms: int) -> None:
        self._created_ms = now_ms
        self._steps: deque[_Step] = deque()

    def record(self, workspace: str, service_ms: float, now_ms: int) -> None:
        """Add a statement that has ended."""
        number = now_ms // STEP_MS
        if not self._steps or self._steps[-1].number < number:
            self._steps.append(_Step(number))
            self._expire(now_ms)
        step = self._steps[-1]
        step.statements += 1
        is_new = workspace not in step.service_ms
        if is_new and len(step.service_ms) >= MAX_WORKSPACES_PER_STEP:
            workspace = ""
        step.service_ms[workspace] += service_ms

    def statements_per_s(self, now_ms: int) -> float:
        """Return the number of statements a second that ended in the window."""
        self._expire(now_ms)
        return 1_000 * sum(step.statements for step in self._steps) / self._span_ms(now_ms)

    def service_ms_per_s(self, now_ms: int) -> float:
        """Return the service time a second of the statements that ended in the window."""
        return 1_000 * sum(self.by_workspace(now_ms).values()) / self._span_ms(now_ms)

    def by_workspace(self, now_ms: int) -> dict[str, float]:
        """Return the service time of the window by workspace."""
        self._expire(now_ms)
        totals: Counter[str] = Counter()
        for step in self._steps:
            totals.update(step.service_ms)
        return dict(totals)

    def _span_ms(self, now_ms: int) -> int:
        start_ms = max(self._created_ms, self._first_step(now_ms) * STEP_MS)
        return max(STEP_MS, now_ms - start_ms)

    def _expire(self, now_ms: int) -> None:
        first = self._first_step(now_ms)
        while self._steps and self._steps[0].number < first:
            self._steps.popleft()

    @staticmethod
    def _first_step(now_ms: int) -> int:
        return (now_ms - WINDOW_MS) // STEP_MS + 1
