"""Which availability zones' servers may be used, by the time since their evacuation was adopted.

Addresses the evacuation of a zone that callers still use: its servers are used until shortly before
the bound as long as only they can run something, and by no request after it. The bound counts from
the store's acknowledgement, which no host observes. A host therefore derives a time before which
the entry can't have been acknowledged: the time as of which it last knew that there was none.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass
from enum import Enum, auto

from figcrank.coordination.evacuation._lists import is_provisional, merge_lists
from figcrank.protocol.heartbeats import NEVER_MS, Evacuations, HeartbeatExtension

# Of the bound, the share between the adoption and the stop. The rest covers two attempts to read
# the list, its propagation to the peers, and statements that are under way at the stop.
STOP_SHARE = 0.5
# Of the bound, kept for messages that are under way when the zone is closed.
MARGIN_SHARE = 0.05
# Share of the bound. Background loops run every 100 ms, so a longer gap means that the process was
# suspended, and that an evacuation may have been acknowledged meanwhile.
PAUSE_SHARE = 0.25
# After a suspension, a response of any peer arrives within three heartbeats.
MAX_HOLD_MS = 1_000
# A planned switch takes about as long.
RETRY_AFTER_SWITCH_MS = 1_000
# Interval at which the list is read; earlier, no withdrawal is noticed.
RETRY_AFTER_LIST_MS = 1_500


class ZoneUse(Enum):
    """How a zone's servers may be used now.

    ``DRAINING`` servers run only what no other server can run, and end what they are running;
    ``CLOSED`` ones receive nothing.
    """

    OPEN = auto()
    DRAINING = auto()
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Zones whose evacuation began or ended for this host.

    :param adopted: zones that are evacuated since the change.
    :param withdrawn: zones that are no longer evacuated.
    """

    adopted: tuple[str, ...] = ()
    withdrawn: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.adopted or self.withdrawn)


class ZoneEvacuations:
    """The evacuations that are in force at one host.

    :param evacuation_ms: time after the acknowledgement of an evacuation from which on no request
        may reach the zone; 0 if zones can't be evacuated.
    """

    def __init__(self, evacuation_ms: int = 0) -> None:
        self._evacuation_ms = evacuation_ms
        self.listed = Evacuations()
        self._adopted_ms: dict[str, int] = {}
        self._stop_ms: dict[str, int] = {}
        # Latest time at which the store is known to have had the list in force.
        self.known_as_of_ms = NEVER_MS
        self._knows_settled_list = False
        self._heard_ms = NEVER_MS
        self._ran_ms = NEVER_MS
        self._resumed_ms: int | None = None

    @property
    def enabled(self) -> bool:
        """Return whether zones can be evacuated."""
        return self._evacuation_ms > 0

    @property
    def is_known(self) -> bool:
        """Return whether this host has a list, or needs none."""
        return not self.enabled or self.listed.revision != 0

    @property
    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return self.listed.zones

    def adopt(self, received: Evacuations, as_of_ms: int, now_ms: int) -> EvacuationChange:
        """Adopt a list if it is newer and return what changed.

        A host that knew for some time neither of the evacuation nor that there was none, because it
        has just started, was suspended or was cut off, stops using the zone earlier or at once.

        :param as_of_ms: time at which the store had this list; ``NEVER_MS`` if it is not known.
        """
        if not self.enabled:
            return EvacuationChange()
        before, self.listed = self.listed.zones, merge_lists(self.listed, received)
        adopted, withdrawn = self.listed.zones - before, before - self.listed.zones
        for zone in adopted:
            self._adopted_ms[zone] = now_ms
            self._stop_ms[zone] = self._stop_of(now_ms)
        for zone in withdrawn:
            del self._adopted_ms[zone], self._stop_ms[zone]
        settled = not is_provisional(received)
        self._knows_settled_list |= settled
        # A provisional list may lack an entry that was acknowledged after the last settled one.
        if settled or not self._knows_settled_list:
            self.known_as_of_ms = max(self.known_as_of_ms, as_of_ms)
        self._heard_ms = max(self._heard_ms, as_of_ms)
        return EvacuationChange(tuple(sorted(adopted)), tuple(sorted(withdrawn)))

    def adopt_from_peer(
        self, received: Evacuations, age_ms: int, sent_after_ms: int, now_ms: int
    ) -> EvacuationChange:
        """Adopt a peer's list if it is newer and return what changed.

        :param age_ms: age of the list when the peer sent it; ``NEVER_MS`` if it is not known.
        :param sent_after_ms: time after which the peer sent it; ``NEVER_MS`` if it is not known.
        """
        if not received.revision:
            return EvacuationChange()
        known = NEVER_MS not in (sent_after_ms, age_ms)
        change = self.adopt(received, sent_after_ms - age_ms if known else NEVER_MS, now_ms)
        self._heard_ms = max(self._heard_ms, sent_after_ms)
        return change

    def _stop_of(self, now_ms: int) -> int:
        if self.known_as_of_ms == NEVER_MS:
            return now_ms
        latest_ms = self.known_as_of_ms + int((1 - MARGIN_SHARE) * self._evacuation_ms)
        return min(now_ms + int(STOP_SHARE * self._evacuation_ms), latest_ms)

    def adopted_for_ms(self, zone: str, now_ms: int) -> int:
        """Return the time since the evacuation of a zone was adopted, 0 if it is not evacuated."""
        return now_ms - self._adopted_ms.get(zone, now_ms)

    def stop_in_ms(self, zone: str, now_ms: int) -> int:
        """Return the time until the servers of an evacuated zone receive nothing any more."""
        return max(0, self._stop_ms[zone] - now_ms)

    def use_of(self, zone: str, now_ms: int) -> ZoneUse:
        """Return how the servers of a zone may be used now.

        :param zone: name of the zone; empty for a server whose zone isn't known, which may be in
            any of the evacuated zones.
        """
        if zone:
            return self._use_of_evacuated(zone, now_ms) if zone in self.zones else ZoneUse.OPEN
        uses = [self._use_of_evacuated(name, now_ms) for name in self.zones]
        return max(uses, key=lambda use: use.value, default=ZoneUse.OPEN)

    def _use_of_evacuated(self, zone: str, now_ms: int) -> ZoneUse:
        return ZoneUse.CLOSED if now_ms >= self._stop_ms[zone] else ZoneUse.DRAINING

    def closed_zones(self, now_ms: int) -> list[str]:
        """Return the zones whose servers receive nothing any more."""
        return [zone for zone in sorted(self.zones) if now_ms >= self._stop_ms[zone]]

    def is_held(self, now_ms: int) -> bool:
        """Return whether this host was suspended and has not yet learned what changed meanwhile.

        It then sends nothing until it has a peer's response or a list that is newer than the
        suspension, or for a second, as the last list stays in force if there is neither. To be
        called regularly, and right before each message to a server.
        """
        if not self.enabled:
            return False
        pause_ms = PAUSE_SHARE * self._evacuation_ms
        if self._ran_ms != NEVER_MS and now_ms - self._ran_ms > pause_ms:
            self._resumed_ms = now_ms
        self._ran_ms = now_ms
        if self._resumed_ms is None:
            return False
        if self._heard_ms >= self._resumed_ms or now_ms - self._resumed_ms >= MAX_HOLD_MS:
            self._resumed_ms = None
        return self._resumed_ms is not None


def completed_zones(
    zones: Iterable[str],
    busy_zones: Set[str],
    reports: Iterable[HeartbeatExtension | None],
) -> list[str]:
    """Return the evacuated zones in which no owner has work any more.

    :param zones: evacuated zones.
    :param busy_zones: those in which this host has connections or statements, or may get some.
    :param reports: the extension in the last heartbeat of each other owner, ``None`` without one.
    """
    reports = list(reports)

    def is_done(zone: str) -> bool:
        return zone not in busy_zones and all(
            report is not None
            and zone in report.evacuations.zones
            and zone not in report.busy_zones
            for report in reports
        )

    return [zone for zone in sorted(zones) if is_done(zone)]


def refusal_detail(zone: str, can_switch: bool) -> str:
    """Return the reason for rejecting what only a server of an evacuated zone can run.

    :param zone: name of the zone; empty if it isn't known.
    :param can_switch: whether a server elsewhere can become primary.
    """
    retry_after_ms = RETRY_AFTER_SWITCH_MS if can_switch else RETRY_AFTER_LIST_MS
    name = zone or "of the server"
    return f"availability zone {name} is evacuated; retry after {retry_after_ms} ms"
