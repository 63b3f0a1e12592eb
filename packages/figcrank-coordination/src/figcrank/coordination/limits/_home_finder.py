"""Choice of the home host of each workspace, as this host sees it."""

from figcrank.coordination.limits._limit_timings import HOME_SILENCE_MS
from figcrank.coordination.membership import Placement
from figcrank.state import Host, HostState

CHECK_INTERVAL_MS = 50


class HomeFinder:
    """Finds home hosts and excludes those that are suspected and send nothing.

    Suspicion alone is not enough, since it is often refuted, and waiting until a host is declared
    dead takes too long. A wrong choice delays requests but never admits too many, since a home
    host lends only with the votes of a majority.

    :param placement: ranking of the live hosts.
    :param own_name: name of this host.
    """

    def __init__(self, placement: Placement, own_name: str) -> None:
        self._placement = placement
        self._own_name = own_name
        self._last_message_ms: dict[str, int] = {}
        self._excluded: frozenset[str] = frozenset()
        self._next_check_ms = 0
        self._leaving = False

    def find(self, workspace: str) -> Host:
        """Return the home host of a workspace."""
        return self._placement.home(workspace, self._excluded)

    def record_message(self, host: str, now_ms: int) -> None:
        """Record that a message from a host was received."""
        self._last_message_ms[host] = now_ms

    def tick(self, now_ms: int) -> None:
        """Update the excluded hosts at the check interval."""
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + CHECK_INTERVAL_MS
            self._update_excluded(now_ms)

    def leave(self, now_ms: int) -> None:
        """Exclude this host, which is leaving."""
        self._leaving = True
        self._update_excluded(now_ms)

    def _update_excluded(self, now_ms: int) -> None:
        names = [host.name for host in self._placement.hosts()]
        excluded = {name for name in names if self._is_excluded(name, now_ms)}
        if self._leaving:
            excluded.add(self._own_name)
        self._excluded = frozenset(excluded)
        self._last_message_ms = {
            name: ms for name, ms in self._last_message_ms.items() if name in names
        }

    def _is_excluded(self, name: str, now_ms: int) -> bool:
        if name == self._own_name or self._placement.state(name) is not HostState.SUSPECT:
            return False
        last_message_ms = self._last_message_ms.get(name)
        return last_message_ms is None or now_ms - last_message_ms >= HOME_SILENCE_MS
