"""Hosts heard of that have not answered a probe yet."""

from dataclasses import dataclass, replace

from figcrank.state import Host

CANDIDATE_TRIES = 5
CANDIDATES_PER_TICK = 8
MAX_CANDIDATES = 128


@dataclass(frozen=True, slots=True)
class _Candidate:
    host: Host
    tries_left: int = CANDIDATE_TRIES
    next_ms: int = 0


class Candidates:
    """A bounded set of hosts to be probed a few times each.

    :param retry_ms: time between two probes of one candidate, in milliseconds.
    """

    def __init__(self, retry_ms: int) -> None:
        self._retry_ms = retry_ms
        self._candidates: dict[str, _Candidate] = {}

    def add(self, host: Host) -> None:
        """Take in a host unless it is known already or the set is full."""
        if host.name not in self._candidates and len(self._candidates) < MAX_CANDIDATES:
            self._candidates[host.name] = _Candidate(host)

    def remove(self, name: str) -> None:
        """Forget a host."""
        self._candidates.pop(name, None)

    def take_due(self, now_ms: int) -> tuple[Host, ...]:
        """Return the hosts to probe now, and forget those that never answered."""
        due = [c for c in self._candidates.values() if now_ms >= c.next_ms]
        chosen = due[:CANDIDATES_PER_TICK]
        for candidate in chosen:
            self._use_up(candidate, now_ms)
        return tuple(candidate.host for candidate in chosen if candidate.tries_left > 0)

    def _use_up(self, candidate: _Candidate, now_ms: int) -> None:
        name = candidate.host.name
        if candidate.tries_left == 0:
            del self._candidates[name]
            return
        left, next_ms = candidate.tries_left - 1, now_ms + self._retry_ms
        self._candidates[name] = replace(candidate, tries_left=left, next_ms=next_ms)
