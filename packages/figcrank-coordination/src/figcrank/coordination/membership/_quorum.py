"""Whether this host hears most of the fleet, or is on the small side of a partition."""

from collections import deque

from figcrank.coordination.membership._member_table import MemberViews
from figcrank.coordination.membership._probes import Probe, ProbePurpose
from figcrank.state import Host, HostState

PROBES_KEPT = 64


class Quorum:
    """Judges from the latest probes whether most hosts are heard.

    A dead host counts as unheard until its tombstone is forgotten, since from here it looks like
    one behind a partition; one that left or was replaced does not count. Most hosts are heard if
    that many answered within the last ``window_ms``, or, in a cell too large to ask them all in
    that time, if that share of the probes was answered.

    :param myself: this host.
    :param window_ms: how long a probe counts, in milliseconds.
    :param knows_other_cells: whether hosts of other cells are known from the start; one of them
        must be heard too.
    """

    def __init__(self, myself: Host, window_ms: int, knows_other_cells: bool) -> None:
        self._myself = myself
        self._window_ms = window_ms
        self._knows_other_cells = knows_other_cells
        self._contact_heard_ms = 0
        self._heard_ms: dict[str, int] = {}
        self._outcomes: deque[tuple[int, bool]] = deque(maxlen=PROBES_KEPT)

    def note(self, probe: Probe, answered: bool) -> None:
        """Note the outcome of a probe."""
        if answered:
            self._heard_ms[probe.host.name] = probe.sent_ms
        if probe.host.cell != self._myself.cell:
            self._knows_other_cells = True
            if answered:
                self._contact_heard_ms = max(self._contact_heard_ms, probe.sent_ms)
        elif probe.purpose is ProbePurpose.MEMBER:
            self._outcomes.append((probe.sent_ms, answered))

    def holds(self, views: MemberViews, now_ms: int) -> bool:
        """Return whether most hosts of the cell, this one included, are heard."""
        if not self._hears_other_cells(now_ms):
            return False
        voters = sum(1 for m in views.cell if not m.is_gone)
        if 2 * self._count_heard(views, now_ms) > voters:
            return True
        alive = sum(1 for m in views.cell if m.state is HostState.ALIVE)
        return alive * 2 > voters and self._reaches(len(views.peers), voters, now_ms)

    def _count_heard(self, views: MemberViews, now_ms: int) -> int:
        since_ms = now_ms - self._window_ms
        self._heard_ms = {name: ms for name, ms in self._heard_ms.items() if ms >= since_ms}
        return 1 + sum(1 for peer in views.peers if peer.name in self._heard_ms)

    def _hears_other_cells(self, now_ms: int) -> bool:
        return not self._knows_other_cells or self._contact_heard_ms > now_ms - self._window_ms

    def _reaches(self, peers: int, voters: int, now_ms: int) -> bool:
        since_ms = now_ms - self._window_ms
        recent = [answered for sent_ms, answered in self._outcomes if sent_ms >= since_ms]
        if not recent:
            return True
        # One for this host, and of its peers the share that answered.
        reached = len(recent) + sum(recent) * peers
        return 2 * reached > voters * len(recent)
