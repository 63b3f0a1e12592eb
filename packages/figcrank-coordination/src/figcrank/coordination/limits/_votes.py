"""Votes that decide which home host may lend a workspace's tokens.

A home host needs the votes of a majority. Each host votes for one home host at a time: when its
view of the home changes, it withholds its vote until the previous vote has expired
(``VOTE_SWITCH_DELAY_MS``). Two home hosts with the same voters therefore never have a majority at
the same time. A host also withholds its vote from a home host that does not answer. With its vote
it reports for how long it has had no valid vote for another home host, so a home host that gains
a majority can compute the time from which no other home host can have had one.

From that time on it refills an empty bucket. Until every earlier slice has expired, it treats
the maximum that another home host may have lent as outstanding. If no other home host can have had
a majority since it lost its own, it keeps its own bucket. A home host that took the bucket over in
a hand-over may immediately count the votes of hosts that last voted for the previous home host.
Votes are requested only while there is demand.

In the following cases more requests than the limit may be admitted:

- two home hosts whose sets of voters differ by two or more hosts, each with the smallest possible
  majority of its own set, for example when most of the fleet is unreachable for
  ``VOTER_RETENTION_MS``
- datagrams that reach a running process more than ``MAX_DATAGRAM_AGE_MS`` after they were sent
- clocks that drift apart by more than ``LEASE_MARGIN_MS`` within one lease
- a process that restarts under the name of a former home host
- home hosts in different cells, each of which lends the whole rate
"""

from figcrank.coordination.limits._limit_timings import (
    BACKLOG_MS,
    EVENT_GAP_PAUSE_MS,
    VOTE_REFRESH_MS,
    VOTE_VALID_MS,
    VOTER_RETENTION_MS,
)
from figcrank.coordination.membership import Placement
from figcrank.state import Host, HostState


class Voters:
    """The hosts that a majority is computed over.

    Hosts that left cleanly are removed immediately. Others that disappeared are kept for
    ``VOTER_RETENTION_MS``, so that a partitioned minority does not become its own majority.

    :param placement: source of the live hosts.
    :param seeds: hosts that are voters from the first refresh on, even before they are reachable.
    """

    def __init__(self, placement: Placement, seeds: tuple[Host, ...]) -> None:
        self._placement = placement
        self._seeds = seeds
        self._seen_ms: dict[str, int] = {}

    def refresh(self, now_ms: int) -> None:
        """Update the voters from the live hosts."""
        if not self._seen_ms:
            self._seen_ms = {host.name: now_ms for host in self._seeds}
        for host in self._placement.hosts():
            self._seen_ms[host.name] = now_ms
        for name, seen_ms in list(self._seen_ms.items()):
            left = self._placement.state(name) is HostState.LEAVING
            if left or now_ms - seen_ms > VOTER_RETENTION_MS:
                del self._seen_ms[name]

    def names(self) -> frozenset[str]:
        """Return the names of the voters."""
        return frozenset(self._seen_ms)

    def majority_size(self) -> int:
        """Return the smallest number of voters that is a majority."""
        return len(self._seen_ms) // 2 + 1

    def is_majority(self, hosts: set[str]) -> bool:
        """Return whether ``hosts`` contains more than half of the voters."""
        return len(hosts & self.names()) >= self.majority_size()


class PauseDetector:
    """Detects pauses of the process, to bound the age of messages read after them.

    A message read just after a pause may have waited in the socket since the pause began.
    """

    def __init__(self) -> None:
        self._last_ms: int | None = None
        self._paused_from_ms = 0
        self._resumed_ms: int | None = None

    def observe(self, now_ms: int) -> None:
        """Record the time of an event of any kind."""
        if self._last_ms is not None and now_ms - self._last_ms > EVENT_GAP_PAUSE_MS:
            self._paused_from_ms = self._last_ms
            self._resumed_ms = now_ms
        self._last_ms = now_ms

    def earliest_arrival_ms(self, now_ms: int) -> int:
        """Return the earliest time at which a message read at ``now_ms`` may have arrived."""
        if self._resumed_ms is not None and now_ms - self._resumed_ms <= BACKLOG_MS:
            return self._paused_from_ms
        return now_ms


class Votes:
    """Votes for one home host of one workspace."""

    def __init__(self) -> None:
        self._voted_ms: dict[str, int] = {}
        self._free_from_ms: dict[str, int] = {}

    def add(self, host: str, voted_ms: int, free_from_ms: int) -> None:
        """Record a vote of ``host``, valid from ``voted_ms`` on for ``VOTE_VALID_MS``.

        :param free_from_ms: time from which the host had no valid vote for another home host.
        """
        self._voted_ms[host] = max(voted_ms, self._voted_ms.get(host, voted_ms))
        self._free_from_ms[host] = free_from_ms

    def without_recent_vote(self, names: frozenset[str], now_ms: int) -> list[str]:
        """Return the hosts among ``names`` with no vote within the last ``VOTE_REFRESH_MS``."""
        oldest_ms = now_ms - VOTE_REFRESH_MS
        return [name for name in sorted(names) if self._voted_ms.get(name, oldest_ms) <= oldest_ms]

    def exclusive_from_ms(self, hosts: set[str], needed: int) -> int:
        """Return the time from which ``needed`` of ``hosts`` had no vote for another home host."""
        times = sorted(self._free_from_ms[name] for name in hosts)
        return times[needed - 1]

    def supporters(self, now_ms: int) -> set[str]:
        """Return the hosts with a vote that is valid at ``now_ms``."""
        return {name for name, ms in self._voted_ms.items() if now_ms - ms < VOTE_VALID_MS}
