"""The part of a server's slots that one owner may use at once.

Load pattern: up to twelve owners send 2.5 times what a primary of 4 slots bears. Without a common
limit, 28 statements are in flight there and the most urgent ones wait behind all others, in the
server's queue, where no owner can reorder them. The owners therefore share 1.5 statements a slot:
one is run while the next one is on its way or waits for a moment.

Every owner computes the shares of all from the demand that each reports in its heartbeats. Shares
are equal up to each one's demand (max-min), so that an owner with little demand is served at once.
An owner's demand counts for its own share only when the others must have heard of it; what they
report counts at once. The shares of all thus never exceed the total while heartbeats arrive. An
owner whose heartbeat is late is taken to need as much as any other, since its report of a higher
demand may be lost. A silent one counts for 1.2 s, then its share is free.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from figcrank.coordination.placement._rendezvous import rendezvous_order
from figcrank.coordination.placement._slot_guard import SlotGuard
from figcrank.coordination.placement._travel import TravelFactor
from figcrank.protocol.heartbeats import ServerLoad

IN_FLIGHT_PER_SLOT = 1.5
# One heartbeat and one update of the receiver, each at its longest.
RAISE_DELAY_MS = 400
# Updates come every 100 ms. Others use the share of an owner that is silent for 1,200 ms, which may
# have sent its last heartbeat 300 ms before it was paused.
STALE_MS = 600
# An owner doesn't always use its whole share. Up to a third more, one for each owner with demand,
# keeps the slots full meanwhile.
SPARE_DIVISOR = 3
MIN_SHARE = 1  # an owner without demand can begin at once
LATE_MS = 450  # one heartbeat, one update of its sender and some delay
SILENT_MS = 1_200  # four heartbeats


@dataclass(frozen=True, slots=True)
class OwnerReport:
    """What an owner last reported of its load on a server.

    :param load: the load; ``None`` from an owner of an earlier release, which doesn't report it.
    :param age_ms: time since the report was received.
    """

    load: ServerLoad | None
    age_ms: int = 0


def share_slots(total: int, demands: Mapping[str, int], order: list[str]) -> dict[str, int]:
    """Return the shares of a server's slots by owner.

    :param total: statements and new connections that all owners may have in flight.
    :param demands: statements in flight and waiting, by owner.
    :param order: the owners; the first ones get what can't be divided.
    """
    shares = dict.fromkeys(order, 0)
    unmet = [owner for owner in order if demands[owner] > 0]
    left = total + min(len(unmet), total // SPARE_DIVISOR)
    while left and unmet:
        for owner in unmet[:left]:
            shares[owner] += 1
        left -= min(left, len(unmet))
        unmet = [owner for owner in unmet if shares[owner] < demands[owner]]
    for owner in order:
        shares[owner] = max(MIN_SHARE, shares[owner] + left // len(order))
    return shares


class SlotAllotment:
    """One owner's allotment at one server.

    :param owner: name of the owner.
    :param server_id: id of the server.
    """

    def __init__(self, owner: str, server_id: str) -> None:
        self._owner = owner
        self._server_id = server_id
        self._guard = SlotGuard()
        self._travel = TravelFactor()
        self._updated_ms: int | None = None
        self._demands: deque[tuple[int, int]] = deque()  # own ones, with their times
        self._resumed_ms = 0
        self._share = MIN_SHARE

    def update(self, reports: Mapping[str, OwnerReport], slots: int, now_ms: int) -> None:
        """Compute the allotment anew; called every 100 ms.

        :param reports: last report of each owner that may use the server, and this owner's own.
        :param slots: number of statements that the server says it runs at once.
        """
        if self._is_stale(now_ms):
            self._resumed_ms = now_ms
        self._updated_ms = now_ms
        counted = {owner: r for owner, r in reports.items() if r.age_ms <= SILENT_MS}
        total = math.floor(IN_FLIGHT_PER_SLOT * max(1, slots))
        known = [report.load for report in counted.values() if report.load is not None]
        total = self._guard.bounded(total, known, now_ms)
        demands = {owner: _demand(report, total) for owner, report in counted.items()}
        self._demands.append((now_ms, demands[self._owner]))
        while self._demands[0][0] <= now_ms - RAISE_DELAY_MS:
            self._demands.popleft()
        demands[self._owner] = min(demand for _, demand in self._demands)
        order = rendezvous_order(self._server_id, counted)
        self._share = share_slots(total, demands, order)[self._owner]
        self._travel.update(reports[self._owner].load, known)

    @property
    def is_bounded(self) -> bool:
        """Return whether service times or rejections bound the server below its reported slots."""
        return self._guard.is_bounded

    def max_in_flight(self, now_ms: int) -> int:
        """Return how many statements and new connections this owner may have in flight."""
        if self._is_stale(now_ms) or now_ms - self._resumed_ms < RAISE_DELAY_MS:
            return MIN_SHARE
        return math.floor(self._share * self._travel.factor)

    def _is_stale(self, now_ms: int) -> bool:
        return self._updated_ms is None or now_ms - self._updated_ms > STALE_MS


def _demand(report: OwnerReport, total: int) -> int:
    if report.load is None or report.age_ms > LATE_MS:
        return 2 * total  # more than it can get
    return report.load.in_flight + report.load.waiting
