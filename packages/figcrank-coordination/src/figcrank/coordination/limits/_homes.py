"""Which host this host believes to be home to a workspace's limit."""

from figcrank.coordination.limits._limit_timings import HOME_SILENCE_MS
from figcrank.coordination.membership import Placement
from figcrank.state import Host, HostState

CHECK_INTERVAL_MS = 50


class Homes:
    """Finds home hosts; leaves out those that are suspected and silent.

    A suspicion alone is often refuted, and a death is known late. A wrong choice costs time but
    admits nothing too much, since only a home with a majority's vote lends.

    :param placement: the ranking of live hosts.
    :param own_name: this host.
    """

    def __init__(self, placement: Placement, own_name: str) -> None:
        self._placement = placement
        self._own_name = own_name
        self._heard_ms: dict[str, int] = {}
        self._left_out: frozenset[str] = frozenset()
        self._next_check_ms = 0
        self._leaving = False

    def find(self, workspace: str) -> Host:
        """Return the home of a workspace."""
        return self._placement.home(workspace, self._left_out)

    def heard(self, host: str, now_ms: int) -> None:
        """Take note that a host has sent something."""
        self._heard_ms[host] = now_ms

    def tick(self, now_ms: int) -> None:
        """Look again at who is suspected."""
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + CHECK_INTERVAL_MS
            self._check(now_ms)

    def leave(self, now_ms: int) -> None:
        """Count this host as no home any more."""
        self._leaving = True
        self._check(now_ms)

    def _check(self, now_ms: int) -> None:
        names = [host.name for host in self._placement.hosts()]
        left_out = {name for name in names if self._is_lost(name, now_ms)}
        if self._leaving:
            left_out.add(self._own_name)
        self._left_out = frozenset(left_out)
        self._heard_ms = {name: ms for name, ms in self._heard_ms.items() if name in names}

    def _is_lost(self, name: str, now_ms: int) -> bool:
        if name == self._own_name or self._placement.state(name) is not HostState.SUSPECT:
            return False
        heard_ms = self._heard_ms.get(name)
        return heard_ms is None or now_ms - heard_ms >= HOME_SILENCE_MS
