"""The home side of the limits: when this host may lend, what it grants and how it hands over."""

from collections.abc import Callable
from dataclasses import dataclass, field

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.limits._borrower import SOLICITATION
from figcrank.coordination.limits._home_buckets import HomeBucket, most_lent_milli
from figcrank.coordination.limits._homes import Homes
from figcrank.coordination.limits._limit_timings import ACTIVE_MS, LEASE_MARGIN_MS
from figcrank.coordination.limits._slices import MAX_FREE_MS
from figcrank.coordination.limits._support import PauseDetector, Support, Voters
from figcrank.coordination.membership import Placement
from figcrank.protocol import Demand, DemandReport, HomeHandover, Slice, SliceGrants
from figcrank.state import MILLI, Host, Workspace

OnGrants = Callable[[str, SliceGrants, int], None]

# Ids grow with the clock, so that they are unique at a host that was restarted.
IDS_PER_MS = 1_000
# Time between two looks at who is alive.
VOTERS_INTERVAL_MS = 50
# Least time between two requests for votes, with a majority and without.
SOLICIT_INTERVAL_MS = 50
URGENT_SOLICIT_INTERVAL_MS = 10
# Time in which the votes of all hosts arrive after the first majority.
WORDS_TRAVEL_MS = 30


@dataclass(slots=True)
class _Tenure:
    """The time for which one host is the home of one workspace.

    :param support: hosts that believe in it.
    :param begun: whether this host has believed in it too.
    :param ready_ms: time from which it may lend; ``None`` while it has no majority.
    :param handed_by: host that handed the bucket over, empty if none did.
    :param grace_until_ms: time until which the hand-over stands in for a majority.
    :param bucket: kept after a lapse, since no other home may have lent before the next majority.
    :param held_ms: newest time at which it is known to have been the only home.
    :param active_until_ms: time until which votes are asked for.
    :param solicited_ms: when they were asked for last.
    :param gained_ms: when it gained its majority.
    """

    support: Support = field(default_factory=Support)
    begun: bool = False
    ready_ms: int | None = None
    handed_by: str = ""
    grace_until_ms: int = 0
    bucket: HomeBucket | None = None
    held_ms: int = -MAX_FREE_MS
    active_until_ms: int = 0
    solicited_ms: int = -MAX_FREE_MS
    gained_ms: int = -MAX_FREE_MS

    def may_lend(self, now_ms: int) -> bool:
        """Return whether the bucket may be lent from, judged by the last check."""
        is_ready = self.ready_ms is not None and now_ms >= self.ready_ms
        return is_ready and self.bucket is not None

    def counts(self, demand: Demand) -> bool:
        """Return whether the sender's vote is free or was last given to the predecessor."""
        return demand.previous_home in ("", self.handed_by)


class Lender:
    """Lends the tokens of the workspaces that this host is home to.

    A home lends once it has had the vote of a majority of the voters for a lease time without a
    gap, or was handed the bucket over; it discards the bucket as soon as the majority is gone. A
    home that was paused finds its majority gone before it reads what waited in its socket.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param placement: the live hosts.
    :param configuration: tells rates and bursts.
    :param homes: tells each workspace's home host.
    :param on_local_grants: takes the grants for this very host.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        placement: Placement,
        configuration: Configuration,
        homes: Homes,
        on_local_grants: OnGrants,
    ) -> None:
        self._settings = settings
        self._port = port
        self._placement = placement
        self._configuration = configuration
        self._homes = homes
        self._on_local_grants = on_local_grants
        self._own_name = settings.host.name
        cell = tuple(seed for seed in settings.seeds if seed.cell == settings.host.cell)
        self._voters = Voters(placement, cell)
        self._pauses = PauseDetector()
        self._tenures: dict[str, _Tenure] = {}
        self._taken_handovers: dict[tuple[str, str], int] = {}
        self._last_id = 0
        self._next_refresh_ms = 0

    def note_time(self, now_ms: int) -> None:
        """Take the time of any event, so that pauses of the process are noticed."""
        self._pauses.note(now_ms)

    def tick(self, now_ms: int) -> None:
        """Check every tenure and grant what hosts are waiting for."""
        if now_ms >= self._next_refresh_ms:
            self._next_refresh_ms = now_ms + VOTERS_INTERVAL_MS
            self._voters.refresh(now_ms)
        for name, tenure in list(self._tenures.items()):
            self._check(name, tenure, now_ms)
            self._solicit(name, tenure, now_ms)
            if self._may_lend(name, tenure, now_ms):
                self._grant_owed(tenure, now_ms)

    def on_report(self, sender: str, report: DemandReport, now_ms: int) -> None:
        """Take a host's demands and answer with slices."""
        if not self._voters.names():
            self._voters.refresh(now_ms)
        wanted: dict[str, Demand] = {}
        for demand in report.demands:
            self._take_demand(sender, demand, now_ms)
            if demand.workspace not in wanted or demand.wanted_milli or demand.asked_milli:
                wanted[demand.workspace] = demand
        slices = [self._slice_for(sender, report.seq, demand, now_ms) for demand in wanted.values()]
        self._answer(sender, report, tuple(slices), now_ms)

    def on_handover(self, sender: str, handover: HomeHandover, now_ms: int) -> None:
        """Take over a bucket from a home that has stopped lending; a replay is dropped."""
        key = (sender, handover.workspace)
        is_old = self._pauses.heard_ms(now_ms) != now_ms
        if is_old or handover.handover_id <= self._taken_handovers.get(key, 0):
            return
        self._taken_handovers[key] = handover.handover_id
        workspace = self._configuration.workspace(handover.workspace)
        tenure = self._tenures.setdefault(handover.workspace, _Tenure())
        if workspace is None or tenure.may_lend(now_ms):
            return
        lease_ms = self._settings.timings.slice_lease_ms
        level_milli = min(handover.level_milli, workspace.burst * MILLI)
        tenure.bucket = HomeBucket(workspace, lease_ms, level_milli, now_ms)
        expires_ms = now_ms + handover.lent_ms
        tenure.bucket.count_as_lent(self._new_id(now_ms), handover.lent_milli, expires_ms, now_ms)
        tenure.ready_ms = now_ms
        tenure.active_until_ms = now_ms + ACTIVE_MS
        tenure.handed_by = sender
        tenure.grace_until_ms = now_ms + self._quarantine_ms()
        reason = f"Took over the bucket from {sender}."
        self._port.decide(
            now_ms,
            "hand-over",
            workspace.name,
            reason,
            home=self._own_name,
            level_milli=level_milli,
        )

    def leave(self, now_ms: int) -> None:
        """Hand every bucket to the workspace's next home."""
        for name, tenure in list(self._tenures.items()):
            self._check(name, tenure, now_ms)

    # Tenure

    def _check(self, name: str, tenure: _Tenure, now_ms: int) -> None:
        home = self._homes.find(name)
        if home.name != self._own_name:
            # A hand-over may come before this host's own news that the predecessor is leaving.
            early = not tenure.begun and home.name == tenure.handed_by
            if not early or now_ms >= tenure.grace_until_ms:
                self._resign(name, tenure, home, now_ms)
            return
        tenure.begun = True
        supporters = tenure.support.supporters(now_ms)
        if self._voters.is_majority(supporters):
            self._gain(name, tenure, supporters, now_ms)
        elif now_ms >= tenure.grace_until_ms and tenure.ready_ms is not None:
            self._lapse(name, tenure, now_ms)
        if tenure.may_lend(now_ms):
            tenure.held_ms = now_ms
        self._open(name, tenure, now_ms)

    def _gain(self, name: str, tenure: _Tenure, supporters: set[str], now_ms: int) -> None:
        if tenure.ready_ms is not None and now_ms >= tenure.ready_ms:
            return
        if tenure.ready_ms is None:
            tenure.gained_ms = now_ms
        voting = supporters & self._voters.names()
        exclusive_ms = tenure.support.exclusive_from_ms(voting, self._voters.majority())
        if tenure.bucket is not None and exclusive_ms <= tenure.held_ms:
            tenure.ready_ms = now_ms
            return
        tenure.bucket = None
        ready_ms = max(exclusive_ms, tenure.held_ms)
        if ready_ms == tenure.ready_ms:
            return
        tenure.ready_ms = ready_ms
        reason = "A majority of hosts votes for this home; earlier slices may still be out."
        self._port.decide(
            now_ms, "hand-over", name, reason, home=self._own_name, ready_ms=tenure.ready_ms
        )

    def _quarantine_ms(self) -> int:
        if self._voters.names() <= {self._own_name}:
            return 0
        return self._settings.timings.slice_lease_ms + LEASE_MARGIN_MS

    def _lapse(self, name: str, tenure: _Tenure, now_ms: int) -> None:
        tenure.ready_ms = None
        tenure.handed_by = ""
        if now_ms < tenure.active_until_ms:
            reason = "No majority of hosts votes for this home; it stops lending."
            self._port.decide(now_ms, "hand-over", name, reason, home=self._own_name)

    def _open(self, name: str, tenure: _Tenure, now_ms: int) -> None:
        """Start the bucket, empty, from the time since when no other home lends."""
        workspace = self._configuration.workspace(name)
        if workspace is None or tenure.ready_ms is None or now_ms < tenure.ready_ms:
            return
        if tenure.bucket is None:
            tenure.bucket = self._new_bucket(workspace, tenure.ready_ms, now_ms)
        tenure.bucket.change(workspace, now_ms)

    def _new_bucket(self, workspace: Workspace, from_ms: int, now_ms: int) -> HomeBucket:
        """Return a bucket that refills from ``from_ms``, next to what was lent before."""
        lease_ms = self._settings.timings.slice_lease_ms
        expired_ms = from_ms + self._quarantine_ms()
        lent_milli = most_lent_milli(workspace)
        if now_ms < expired_ms:
            bucket = HomeBucket(workspace, lease_ms, 0, from_ms)
            bucket.count_as_lent(self._new_id(now_ms), lent_milli, expired_ms, from_ms)
            return bucket
        earned_milli = workspace.rate_per_s * (expired_ms - from_ms)
        room_milli = max(0, workspace.burst * MILLI - lent_milli)
        return HomeBucket(workspace, lease_ms, min(earned_milli, room_milli), expired_ms)

    def _resign(self, name: str, tenure: _Tenure, home: Host, now_ms: int) -> None:
        """Stop being home; pass the bucket on if this host may still lend."""
        self._tenures.pop(name, None)
        bucket, tenure.bucket = tenure.bucket, None
        may_lend = tenure.ready_ms is not None and now_ms >= tenure.ready_ms
        supported = self._voters.is_majority(tenure.support.supporters(now_ms))
        if bucket is None or not may_lend or not (supported or now_ms < tenure.grace_until_ms):
            return
        handover = HomeHandover(
            name,
            bucket.level_milli(now_ms),
            bucket.lent_milli(now_ms),
            bucket.lent_ms(now_ms),
            self._new_id(now_ms),
        )
        self._port.gossip(home, handover)
        reason = f"{home.name} is home now."
        level_milli = handover.level_milli
        self._port.decide(
            now_ms, "hand-over", name, reason, home=home.name, level_milli=level_milli
        )

    def _may_lend(self, name: str, tenure: _Tenure, now_ms: int) -> bool:
        return tenure.may_lend(now_ms) and self._homes.find(name).name == self._own_name

    def _solicit(self, name: str, tenure: _Tenure, now_ms: int) -> None:
        """Ask silent voters for their vote while there is demand."""
        if now_ms >= tenure.active_until_ms or self._homes.find(name).name != self._own_name:
            return
        lends = tenure.may_lend(now_ms)
        interval_ms = SOLICIT_INTERVAL_MS if lends else URGENT_SOLICIT_INTERVAL_MS
        if now_ms - tenure.solicited_ms < interval_ms:
            return
        tenure.solicited_ms = now_ms
        for host in tenure.support.silent(self._voters.names(), now_ms):
            self._send(host, SliceGrants(SOLICITATION, ()), now_ms)

    # Reports

    def _take_demand(self, sender: str, demand: Demand, now_ms: int) -> None:
        if self._configuration.workspace(demand.workspace) is None:
            return
        tenure = self._tenures.setdefault(demand.workspace, _Tenure())
        self._check(demand.workspace, tenure, now_ms)
        if tenure.counts(demand):
            heard_ms = self._pauses.heard_ms(now_ms)
            tenure.support.add(sender, heard_ms, now_ms - demand.free_ms)
        if demand.wanted_milli or demand.asked_milli:
            tenure.active_until_ms = now_ms + ACTIVE_MS
            self._solicit(demand.workspace, tenure, now_ms)
        if tenure.bucket is not None and demand.slice_id:
            tenure.bucket.take_spending(sender, demand, now_ms)

    def _slice_for(self, sender: str, seq: int, demand: Demand, now_ms: int) -> Slice:
        name = demand.workspace
        tenure = self._tenures.get(name)
        if tenure is None or not self._may_lend(name, tenure, now_ms):
            return self._no_slice(name, tenure, now_ms)
        is_new = tenure.bucket.take_demand(
            sender, seq, demand.wanted_milli, demand.asked_milli, now_ms
        )
        if not is_new:
            return self._no_slice(name, tenure, now_ms)
        return tenure.bucket.grant(sender, self._new_id(now_ms), now_ms)

    def _no_slice(self, name: str, tenure: _Tenure | None, now_ms: int) -> Slice:
        retry_after_ms = 0
        if tenure is not None and tenure.ready_ms is not None:
            # Votes that are still on their way may make it earlier.
            settled = now_ms - tenure.gained_ms >= WORDS_TRAVEL_MS
            retry_after_ms = max(0, tenure.ready_ms - now_ms) if settled else 0
        return Slice(name, 0, 0, 0, retry_after_ms)

    def _answer(
        self, sender: str, report: DemandReport, slices: tuple[Slice, ...], now_ms: int
    ) -> None:
        """Answer even without tokens, which tells that this home is alive and has heard."""
        wanting = {demand.workspace for demand in report.demands if demand.wanted_milli}
        given = tuple(s for s in slices if s.amount_milli or s.workspace in wanting)
        self._send(sender, SliceGrants(report.seq, given), now_ms)

    def _grant_owed(self, tenure: _Tenure, now_ms: int) -> None:
        bucket = tenure.bucket
        for holder in bucket.owed_to(now_ms):
            granted = bucket.grant(holder, self._new_id(now_ms), now_ms)
            if granted.amount_milli:
                self._send(holder, SliceGrants(bucket.seq_of(holder), (granted,)), now_ms)
        for holder in bucket.blocking(now_ms):
            # Its report tells what of its slices is spent and no longer out.
            self._send(holder, SliceGrants(SOLICITATION, ()), now_ms)

    def _send(self, holder: str, grants: SliceGrants, now_ms: int) -> None:
        if holder == self._own_name:
            self._on_local_grants(holder, grants, now_ms)
            return
        host = self._placement.host(holder)
        if host is not None:
            self._port.gossip(host, grants)

    def _new_id(self, now_ms: int) -> int:
        self._last_id = max(self._last_id + 1, now_ms * IDS_PER_MS)
        return self._last_id
