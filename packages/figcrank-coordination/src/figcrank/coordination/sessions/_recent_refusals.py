"""Refusals of the last seconds by database group, reason and workspace.

Addresses workspaces that send several times their usual load: an operator sees who is refused now
and why, while counters only tell since the start of a host and logs are bounded.
"""

from collections import Counter, deque

from figcrank.coordination.sessions._refusal_reason import RefusalReason

REFUSALS_WINDOW_MS = 10_000  # covers two scrapes of the metrics, and a few attempts of a caller
STEP_MS = 1_000
MAX_KEYS_PER_STEP = 500  # further workspaces count without a name; bounds the memory

RefusalKey = tuple[str, RefusalReason, str]  # group, reason, workspace


class RecentRefusals:
    """Counts refusals in steps of a second."""

    def __init__(self) -> None:
        self._steps: deque[tuple[int, Counter[RefusalKey]]] = deque()

    def record(self, group: str, reason: RefusalReason, workspace: str, now_ms: int) -> None:
        """Count a refusal."""
        step = now_ms // STEP_MS
        if not self._steps or self._steps[-1][0] < step:
            self._steps.append((step, Counter()))
            self._expire(now_ms)
        counts = self._steps[-1][1]
        key = (group, reason, workspace)
        if key not in counts and len(counts) >= MAX_KEYS_PER_STEP:
            key = (group, reason, "")
        counts[key] += 1

    def of_group(self, group: str, now_ms: int) -> dict[tuple[RefusalReason, str], int]:
        """Return the refusals of a group in the last window by reason and workspace."""
        self._expire(now_ms)
        totals: Counter[tuple[RefusalReason, str]] = Counter()
        for _, counts in self._steps:
            for (name, reason, workspace), count in counts.items():
                if name == group:
                    totals[reason, workspace] += count
        return dict(totals)

    def _expire(self, now_ms: int) -> None:
        first = (now_ms - REFUSALS_WINDOW_MS) // STEP_MS + 1
        while self._steps and self._steps[0][0] < first:
            self._steps.popleft()
