"""The ruled out ways of counting a limit, for comparison."""

from collections.abc import Iterable

from figcrank.coordination.limits import MAX_WAIT_MS
from figcrank.measure._limit_fleet import Arrival
from figcrank.state import MILLI, TokenBucket, Workspace


def fixed_shares_refused(
    workspaces: Iterable[Workspace], arrivals: list[Arrival], hosts: int
) -> float:
    """Return the share of refused requests if each host had an equal part of rate and burst.

    A request may wait for a token as long as it may with lending.
    """
    shares = {(w.name, host): _Share(w, hosts) for w in workspaces for host in range(hosts)}
    refused = sum(not shares[a.workspace, a.host].admits(a.at_ms) for a in arrivals)
    return refused / len(arrivals)


class _Share:
    """One host's part of a bucket: the whole rate and burst at a cost of one token a host.

    :param workspace: rate and burst.
    :param hosts: number of hosts, the cost of a request in tokens.
    """

    def __init__(self, workspace: Workspace, hosts: int) -> None:
        self._bucket = TokenBucket(workspace.rate_per_s, workspace.burst, 0)
        self._cost_milli = hosts * MILLI
        self._promised_milli = 0

    def admits(self, now_ms: int) -> bool:
        """Take a request's tokens, now or promised within the longest wait."""
        self._promised_milli -= self._bucket.take_up_to(self._promised_milli, now_ms)
        needed_milli = self._promised_milli + self._cost_milli
        if self._bucket.ready_in_ms(needed_milli, now_ms) > MAX_WAIT_MS:
            return False
        self._promised_milli = needed_milli
        self._promised_milli -= self._bucket.take_up_to(self._promised_milli, now_ms)
        return True
