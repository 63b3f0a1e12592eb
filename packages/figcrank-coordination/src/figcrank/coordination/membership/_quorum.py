"""Detection of a partition in which this host is on the minority side."""

from collections import deque

from figcrank.coordination.membership._member_table import MemberViews
from figcrank.coordination.membership._probes import Probe, ProbePurpose
from figcrank.state import Host, HostState

MAX_PROBE_OUTCOMES = 64


class Quorum:
    """Determines from the latest probes whether this host reaches a majority of its cell.

    A dead host counts as unreachable until its tombstone is dropped, since this host can't
    distinguish it from a host behind a partition. A host that left or was replaced does not count.
    A majority is reached if more than half of the counted hosts, this one included, answered a
    probe within the last ``window_ms``. In a cell too large to probe every host in that time, the
    share of answered probes is used instead.

    :param own_host: this host.
    :param window_ms: how long the outcome of a probe counts, in milliseconds.
    :param expects_other_cells: whether hosts of other cells are known from the start; one of them
        must be reached too.
    """

    def __init__(self, own_host: Host, window_ms: int, expects_other_cells: bool) -> None:
        self._own_host = own_host
        self._window_ms = window_ms
        self._expects_other_cells = expects_other_cells
        self._contact_answered_ms = 0
        self._answered_ms: dict[str, int] = {}
        self._outcomes: deque[tuple[int, bool]] = deque(maxlen=MAX_PROBE_OUTCOMES)

    def record(self, probe: Probe, answered: bool) -> None:
        """Record the outcome of a probe."""
        if answered:
            self._answered_ms[probe.host.name] = probe.sent_ms
        if probe.host.cell != self._own_host.cell:
            self._expects_other_cells = True
            if answered:
                self._contact_answered_ms = max(self._contact_answered_ms, probe.sent_ms)
        elif probe.purpose is ProbePurpose.MEMBER:
            self._outcomes.append((probe.sent_ms, answered))

    def reaches_majority(self, views: MemberViews, now_ms: int) -> bool:
        """Return whether this host reaches a majority of the cell, itself included."""
        if not self._reaches_other_cells(now_ms):
            return False
        counted_hosts = sum(1 for m in views.cell_members if not m.has_left)
        if 2 * self._count_reached(views, now_ms) > counted_hosts:
            return True
        alive = sum(1 for m in views.cell_members if m.state is HostState.ALIVE)
        return alive * 2 > counted_hosts and self._probes_reach_majority(
            len(views.peers), counted_hosts, now_ms
        )

    def _count_reached(self, views: MemberViews, now_ms: int) -> int:
        since_ms = now_ms - self._window_ms
        self._answered_ms = {name: ms for name, ms in self._answered_ms.items() if ms >= since_ms}
        return 1 + sum(1 for peer in views.peers if peer.name in self._answered_ms)

    def _reaches_other_cells(self, now_ms: int) -> bool:
        return not self._expects_other_cells or self._contact_answered_ms > now_ms - self._window_ms

    def _probes_reach_majority(self, peers: int, counted_hosts: int, now_ms: int) -> bool:
        since_ms = now_ms - self._window_ms
        recent = [answered for sent_ms, answered in self._outcomes if sent_ms >= since_ms]
        if not recent:
            return True
        # The estimated number of reached hosts, which is this host plus the answered share of its
        # peers, is multiplied by len(recent) to avoid a division.
        reached = len(recent) + sum(recent) * peers
        return 2 * reached > counted_hosts * len(recent)
