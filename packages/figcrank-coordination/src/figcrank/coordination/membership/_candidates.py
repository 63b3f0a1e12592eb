"""Hosts from gossip, the seeds or the platform's list that have not answered a probe yet."""

from dataclasses import dataclass, replace

from figcrank.state import Host

PROBES_PER_CANDIDATE = 5
MAX_CANDIDATE_PROBES_PER_TICK = 8
MAX_CANDIDATES = 128


@dataclass(frozen=True, slots=True)
class _Candidate:
    host: Host
    tries_left: int = PROBES_PER_CANDIDATE
    next_ms: int = 0


class Candidates:
    """A bounded set of hosts, each of which is probed a few times.

    :param retry_ms: time between two probes of one candidate, in milliseconds.
    """

    def __init__(self, retry_ms: int) -> None:
        self._retry_ms = retry_ms
        self._candidates: dict[str, _Candidate] = {}

    def add(self, host: Host) -> None:
        """Add a host unless it is already a candidate or the set is full."""
        if host.name not in self._candidates and len(self._candidates) < MAX_CANDIDATES:
            self._candidates[host.name] = _Candidate(host)

    def remove(self, name: str) -> None:
        """Remove a host."""
        self._candidates.pop(name, None)

    def take_due(self, now_ms: int) -> tuple[Host, ...]:
        """Return the hosts to probe now, and remove those that have used up their probes."""
        due = [c for c in self._candidates.values() if now_ms >= c.next_ms]
        due_now = due[:MAX_CANDIDATE_PROBES_PER_TICK]
        for candidate in due_now:
            self._count_probe(candidate, now_ms)
        return tuple(candidate.host for candidate in due_now if candidate.tries_left > 0)

    def _count_probe(self, candidate: _Candidate, now_ms: int) -> None:
        name = candidate.host.name
        if candidate.tries_left == 0:
            del self._candidates[name]
            return
        remaining, next_ms = candidate.tries_left - 1, now_ms + self._retry_ms
        self._candidates[name] = replace(candidate, tries_left=remaining, next_ms=next_ms)
