"""Which host may lend a workspace's tokens: the one with the vote of a majority.

Each host gives its vote to one home at a time: after it changed its belief it stays silent until
the old home can't count on it any more (``SILENCE_MS``). Two homes with the same voters therefore
never have a majority at the same time. A host also withholds its vote from a home that does not
answer, and tells how long it has been free; so a home that gains a majority knows since when no
other can have had one. It starts with an empty bucket that refills from that time on, and counts
the most that a home lets be out as lent until every slice from before has expired. If no other
can have had a majority since its own lapsed, it keeps its own bucket. Votes are asked for only
while there is demand. A home that was handed the bucket may count on hosts at once whose vote
was last given to the host that handed it over.

Not covered: sets of voters that differ by two hosts or more while both homes are the minimum
majority of their own set, as when most of the fleet is out of reach for ``VOTER_MEMORY_MS``;
datagrams that reach a running process more than ``MAX_DELAY_MS`` after they were sent; clocks
whose rates differ by more than ``LEASE_MARGIN_MS`` within one lease; a process that comes back
under the name of one that was home; and homes in different cells, which each lend the whole rate.
"""

from figcrank.coordination.limits._limit_timings import (
    BACKLOG_MS,
    PAUSE_MS,
    SOLICIT_AGE_MS,
    SUPPORT_MS,
    VOTER_MEMORY_MS,
)
from figcrank.coordination.membership import Placement
from figcrank.state import Host, HostState


class Voters:
    """The hosts that a majority is counted over.

    Hosts that left cleanly are dropped at once; others that disappeared are kept for
    ``VOTER_MEMORY_MS``, so that a partitioned minority doesn't become a majority of itself.

    :param placement: the live hosts.
    :param seeds: hosts that count from the first refresh on, whether or not they are seen.
    """

    def __init__(self, placement: Placement, seeds: tuple[Host, ...]) -> None:
        self._placement = placement
        self._seeds = seeds
        self._seen_ms: dict[str, int] = {}

    def refresh(self, now_ms: int) -> None:
        """Take over the current list of live hosts."""
        if not self._seen_ms:
            self._seen_ms = {host.name: now_ms for host in self._seeds}
        for host in self._placement.hosts():
            self._seen_ms[host.name] = now_ms
        for name, seen_ms in list(self._seen_ms.items()):
            left = self._placement.state(name) is HostState.LEAVING
            if left or now_ms - seen_ms > VOTER_MEMORY_MS:
                del self._seen_ms[name]

    def names(self) -> frozenset[str]:
        """Return the names of the voters."""
        return frozenset(self._seen_ms)

    def majority(self) -> int:
        """Return how many voters are more than half of them."""
        return len(self._seen_ms) // 2 + 1

    def is_majority(self, hosts: set[str]) -> bool:
        """Return whether ``hosts`` holds more than half of the voters."""
        return len(hosts & self.names()) >= self.majority()


class PauseDetector:
    """Tells how old a message may be that is read now.

    Messages read just after a pause may have waited in the socket since it began.
    """

    def __init__(self) -> None:
        self._last_ms: int | None = None
        self._paused_from_ms = 0
        self._resumed_ms: int | None = None

    def note(self, now_ms: int) -> None:
        """Take the time of any event."""
        if self._last_ms is not None and now_ms - self._last_ms > PAUSE_MS:
            self._paused_from_ms = self._last_ms
            self._resumed_ms = now_ms
        self._last_ms = now_ms

    def heard_ms(self, now_ms: int) -> int:
        """Return the time from which a message read at ``now_ms`` is counted."""
        if self._resumed_ms is not None and now_ms - self._resumed_ms <= BACKLOG_MS:
            return self._paused_from_ms
        return now_ms


class Support:
    """Whose vote one home has for one workspace."""

    def __init__(self) -> None:
        self._heard_ms: dict[str, int] = {}
        self._free_from_ms: dict[str, int] = {}

    def add(self, host: str, heard_ms: int, free_from_ms: int) -> None:
        """Count ``host`` from ``heard_ms`` on for ``SUPPORT_MS``.

        :param free_from_ms: time from which no other home could count on the host.
        """
        self._heard_ms[host] = max(heard_ms, self._heard_ms.get(host, heard_ms))
        self._free_from_ms[host] = free_from_ms

    def silent(self, names: frozenset[str], now_ms: int) -> list[str]:
        """Return those of ``names`` that were not heard of for ``SOLICIT_AGE_MS``."""
        oldest_ms = now_ms - SOLICIT_AGE_MS
        return [name for name in sorted(names) if self._heard_ms.get(name, oldest_ms) <= oldest_ms]

    def exclusive_from_ms(self, hosts: set[str], needed: int) -> int:
        """Return the time from which ``needed`` of ``hosts`` counted for no other home."""
        times = sorted(self._free_from_ms[name] for name in hosts)
        return times[needed - 1]

    def supporters(self, now_ms: int) -> set[str]:
        """Return the hosts that count at ``now_ms``."""
        return {name for name, ms in self._heard_ms.items() if now_ms - ms < SUPPORT_MS}
