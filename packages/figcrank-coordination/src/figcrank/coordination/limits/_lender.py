"""The home host's part of the limits: permission to lend, grants and hand-over of buckets."""

from collections.abc import Callable
from dataclasses import dataclass, field

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.limits._borrower import REPORT_REQUEST_SEQ
from figcrank.coordination.limits._home_buckets import HomeBucket, max_outstanding_milli
from figcrank.coordination.limits._home_finder import HomeFinder
from figcrank.coordination.limits._limit_timings import DEMAND_ACTIVE_MS, LEASE_MARGIN_MS
from figcrank.coordination.limits._slices import MAX_FREE_MS
from figcrank.coordination.limits._votes import PauseDetector, Voters, Votes
from figcrank.coordination.membership import Placement
from figcrank.protocol import Demand, DemandReport, HomeHandover, Slice, SliceGrants
from figcrank.state import MILLI, Host, Workspace

OnGrants = Callable[[str, SliceGrants, int], None]

# Ids start at the current time, so that they stay unique after a restart of the host.
IDS_PER_MS = 1_000
# Time between two updates of the voters from the live hosts.
VOTERS_INTERVAL_MS = 50
# Minimum time between two vote requests, while the home host may lend and while it may not.
VOTE_REQUEST_INTERVAL_MS = 50
URGENT_VOTE_REQUEST_INTERVAL_MS = 10
# Time within which the votes of all hosts arrive once a majority has voted.
VOTE_COLLECTION_MS = 30


@dataclass(slots=True)
class _HomeState:
    """State of this host as the home host of one workspace.

    Times that have not been set are ``-MAX_FREE_MS``, which is earlier than any time that a vote
    can report.

    :param votes: votes for this host.
    :param confirmed_locally: whether this host's own view has named it as home host.
    :param ready_ms: time from which it may lend; ``None`` while it has no majority.
    :param handed_over_by: host that handed the bucket over, empty if none did.
    :param grace_until_ms: time until which the hand-over replaces a majority.
    :param bucket: kept after the majority is lost, and used again if no other home host can have
        lent before this host regains its majority.
    :param last_exclusive_ms: latest time at which this host was known to be the only home host.
    :param active_until_ms: time until which votes are requested.
    :param votes_requested_ms: when votes were last requested.
    :param majority_since_ms: when this host gained its majority.
    """

    votes: Votes = field(default_factory=Votes)
    confirmed_locally: bool = False
    ready_ms: int | None = None
    handed_over_by: str = ""
    grace_until_ms: int = 0
    bucket: HomeBucket | None = None
    last_exclusive_ms: int = -MAX_FREE_MS
    active_until_ms: int = 0
    votes_requested_ms: int = -MAX_FREE_MS
    majority_since_ms: int = -MAX_FREE_MS

    def may_lend(self, now_ms: int) -> bool:
        """Return whether lending from the bucket is allowed, as of the last update."""
        is_ready = self.ready_ms is not None and now_ms >= self.ready_ms
        return is_ready and self.bucket is not None

    def counts_vote(self, demand: Demand) -> bool:
        """Return whether the sender's vote counts here.

        This is so if the sender has no valid vote for another home host, or only for the one that
        handed the bucket over.
        """
        return demand.previous_home in ("", self.handed_over_by)


class Lender:
    """Lends the tokens of the workspaces that this host is the home host of.

    It lends once it has a majority of the voters' votes and no other home host can have one, or
    once the previous home host has handed the bucket over. It stops lending as soon as the
    majority is lost, and discards the bucket if another host may have had a majority in the
    meantime. After a pause of the process, it detects that its votes have expired before it reads
    the messages that waited in its socket.

    :param settings: static settings of this host.
    :param outbox: queue of outgoing actions.
    :param placement: source of the live hosts.
    :param configuration: source of the rates and bursts.
    :param home_finder: finds the home host of each workspace.
    :param on_local_grants: receives the grants that are addressed to this host itself.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        placement: Placement,
        configuration: Configuration,
        home_finder: HomeFinder,
        on_local_grants: OnGrants,
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._placement = placement
        self._configuration = configuration
        self._home_finder = home_finder
        self._on_local_grants = on_local_grants
        self._own_name = settings.host.name
        cell = tuple(seed for seed in settings.seeds if seed.cell == settings.host.cell)
        self._voters = Voters(placement, cell)
        self._pause_detector = PauseDetector()
        self._home_states: dict[str, _HomeState] = {}
        self._last_handover_ids: dict[tuple[str, str], int] = {}
        self._last_id = 0
        self._next_refresh_ms = 0

    def observe_time(self, now_ms: int) -> None:
        """Record the time of an event of any kind, to detect pauses of the process."""
        self._pause_detector.observe(now_ms)

    def tick(self, now_ms: int) -> None:
        """Update the state of every workspace and grant tokens to hosts with waiting requests."""
        if now_ms >= self._next_refresh_ms:
            self._next_refresh_ms = now_ms + VOTERS_INTERVAL_MS
            self._voters.refresh(now_ms)
        for name, home_state in list(self._home_states.items()):
            self._update_home_state(name, home_state, now_ms)
            self._request_votes(name, home_state, now_ms)
            if self._may_lend(name, home_state, now_ms):
                self._grant_to_waiting(home_state, now_ms)

    def on_report(self, sender: str, report: DemandReport, now_ms: int) -> None:
        """Process a host's demand report and answer with slices."""
        if not self._voters.names():
            self._voters.refresh(now_ms)
        demand_by_workspace: dict[str, Demand] = {}
        for demand in report.demands:
            self._process_demand(sender, demand, now_ms)
            if (
                demand.workspace not in demand_by_workspace
                or demand.wanted_milli
                or demand.asked_milli
            ):
                demand_by_workspace[demand.workspace] = demand
        slices = [
            self._slice_for(sender, report.seq, demand, now_ms)
            for demand in demand_by_workspace.values()
        ]
        self._answer(sender, report, tuple(slices), now_ms)

    def on_handover(self, sender: str, handover: HomeHandover, now_ms: int) -> None:
        """Take over a bucket from a home host that has stopped lending; a replay is dropped."""
        key = (sender, handover.workspace)
        may_be_stale = self._pause_detector.earliest_arrival_ms(now_ms) != now_ms
        if may_be_stale or handover.handover_id <= self._last_handover_ids.get(key, 0):
            return
        self._last_handover_ids[key] = handover.handover_id
        workspace = self._configuration.workspace(handover.workspace)
        home_state = self._home_states.setdefault(handover.workspace, _HomeState())
        if workspace is None or home_state.may_lend(now_ms):
            return
        lease_ms = self._settings.timings.slice_lease_ms
        level_milli = min(handover.level_milli, workspace.burst * MILLI)
        home_state.bucket = HomeBucket(workspace, lease_ms, level_milli, now_ms)
        expires_ms = now_ms + handover.lent_ms
        home_state.bucket.add_previous_home_tokens(
            self._new_id(now_ms), handover.lent_milli, expires_ms, now_ms
        )
        home_state.ready_ms = now_ms
        home_state.active_until_ms = now_ms + DEMAND_ACTIVE_MS
        home_state.handed_over_by = sender
        home_state.grace_until_ms = now_ms + self._previous_leases_ms()
        reason = f"Took over the bucket from {sender}."
        self._outbox.record_decision(
            now_ms,
            "hand-over",
            workspace.name,
            reason,
            home=self._own_name,
            level_milli=level_milli,
        )

    def leave(self, now_ms: int) -> None:
        """Hand every bucket over to the workspace's next home host."""
        for name, home_state in list(self._home_states.items()):
            self._update_home_state(name, home_state, now_ms)

    def _update_home_state(self, name: str, home_state: _HomeState, now_ms: int) -> None:
        home = self._home_finder.find(name)
        if home.name != self._own_name:
            # A hand-over may arrive before the update which reports that its sender is leaving.
            is_early_handover = (
                not home_state.confirmed_locally and home.name == home_state.handed_over_by
            )
            if not is_early_handover or now_ms >= home_state.grace_until_ms:
                self._step_down(name, home_state, home, now_ms)
            return
        home_state.confirmed_locally = True
        supporters = home_state.votes.supporters(now_ms)
        if self._voters.is_majority(supporters):
            self._on_majority(name, home_state, supporters, now_ms)
        elif now_ms >= home_state.grace_until_ms and home_state.ready_ms is not None:
            self._on_majority_lost(name, home_state, now_ms)
        if home_state.may_lend(now_ms):
            home_state.last_exclusive_ms = now_ms
        self._open_bucket(name, home_state, now_ms)

    def _on_majority(
        self, name: str, home_state: _HomeState, supporters: set[str], now_ms: int
    ) -> None:
        if home_state.ready_ms is not None and now_ms >= home_state.ready_ms:
            return
        if home_state.ready_ms is None:
            home_state.majority_since_ms = now_ms
        voting = supporters & self._voters.names()
        exclusive_ms = home_state.votes.exclusive_from_ms(voting, self._voters.majority_size())
        if home_state.bucket is not None and exclusive_ms <= home_state.last_exclusive_ms:
            home_state.ready_ms = now_ms
            return
        home_state.bucket = None
        ready_ms = max(exclusive_ms, home_state.last_exclusive_ms)
        if ready_ms == home_state.ready_ms:
            return
        home_state.ready_ms = ready_ms
        reason = "A majority of hosts votes for this home host; earlier slices may be outstanding."
        self._outbox.record_decision(
            now_ms, "hand-over", name, reason, home=self._own_name, ready_ms=home_state.ready_ms
        )

    def _previous_leases_ms(self) -> int:
        """Return how long slices of a previous home host may be outstanding."""
        if self._voters.names() <= {self._own_name}:
            return 0
        return self._settings.timings.slice_lease_ms + LEASE_MARGIN_MS

    def _on_majority_lost(self, name: str, home_state: _HomeState, now_ms: int) -> None:
        home_state.ready_ms = None
        home_state.handed_over_by = ""
        if now_ms < home_state.active_until_ms:
            reason = "No majority of hosts votes for this home host; it stops lending."
            self._outbox.record_decision(now_ms, "hand-over", name, reason, home=self._own_name)

    def _open_bucket(self, name: str, home_state: _HomeState, now_ms: int) -> None:
        """Create the bucket once no other home host can lend, and apply the configured limit."""
        workspace = self._configuration.workspace(name)
        if workspace is None or home_state.ready_ms is None or now_ms < home_state.ready_ms:
            return
        if home_state.bucket is None:
            home_state.bucket = self._new_bucket(workspace, home_state.ready_ms, now_ms)
        home_state.bucket.configure(workspace, now_ms)

    def _new_bucket(self, workspace: Workspace, from_ms: int, now_ms: int) -> HomeBucket:
        """Return a bucket that refills from ``from_ms``.

        Slices of a previous home host count as outstanding until they have expired.
        """
        lease_ms = self._settings.timings.slice_lease_ms
        previous_leases_end_ms = from_ms + self._previous_leases_ms()
        outstanding_milli = max_outstanding_milli(workspace)
        if now_ms < previous_leases_end_ms:
            bucket = HomeBucket(workspace, lease_ms, 0, from_ms)
            bucket.add_previous_home_tokens(
                self._new_id(now_ms), outstanding_milli, previous_leases_end_ms, from_ms
            )
            return bucket
        refilled_milli = workspace.rate_per_s * (previous_leases_end_ms - from_ms)
        room_milli = max(0, workspace.burst * MILLI - outstanding_milli)
        return HomeBucket(
            workspace, lease_ms, min(refilled_milli, room_milli), previous_leases_end_ms
        )

    def _step_down(self, name: str, home_state: _HomeState, home: Host, now_ms: int) -> None:
        """Stop being the home host; hand the bucket over if lending is still allowed."""
        self._home_states.pop(name, None)
        bucket, home_state.bucket = home_state.bucket, None
        may_lend = home_state.ready_ms is not None and now_ms >= home_state.ready_ms
        supported = self._voters.is_majority(home_state.votes.supporters(now_ms))
        if bucket is None or not may_lend or not (supported or now_ms < home_state.grace_until_ms):
            return
        handover = HomeHandover(
            name,
            bucket.level_milli(now_ms),
            bucket.outstanding_milli(now_ms),
            bucket.max_remaining_lease_ms(now_ms),
            self._new_id(now_ms),
        )
        self._outbox.gossip(home, handover)
        reason = f"{home.name} is the home host now."
        level_milli = handover.level_milli
        self._outbox.record_decision(
            now_ms, "hand-over", name, reason, home=home.name, level_milli=level_milli
        )

    def _may_lend(self, name: str, home_state: _HomeState, now_ms: int) -> bool:
        return home_state.may_lend(now_ms) and self._home_finder.find(name).name == self._own_name

    def _request_votes(self, name: str, home_state: _HomeState, now_ms: int) -> None:
        """Request votes from voters without a recent vote while there is demand."""
        if (
            now_ms >= home_state.active_until_ms
            or self._home_finder.find(name).name != self._own_name
        ):
            return
        lends = home_state.may_lend(now_ms)
        interval_ms = VOTE_REQUEST_INTERVAL_MS if lends else URGENT_VOTE_REQUEST_INTERVAL_MS
        if now_ms - home_state.votes_requested_ms < interval_ms:
            return
        home_state.votes_requested_ms = now_ms
        for host in home_state.votes.without_recent_vote(self._voters.names(), now_ms):
            self._send(host, SliceGrants(REPORT_REQUEST_SEQ, ()), now_ms)

    def _process_demand(self, sender: str, demand: Demand, now_ms: int) -> None:
        if self._configuration.workspace(demand.workspace) is None:
            return
        home_state = self._home_states.setdefault(demand.workspace, _HomeState())
        self._update_home_state(demand.workspace, home_state, now_ms)
        if home_state.counts_vote(demand):
            earliest_arrival_ms = self._pause_detector.earliest_arrival_ms(now_ms)
            home_state.votes.add(sender, earliest_arrival_ms, now_ms - demand.free_ms)
        if demand.wanted_milli or demand.asked_milli:
            home_state.active_until_ms = now_ms + DEMAND_ACTIVE_MS
            self._request_votes(demand.workspace, home_state, now_ms)
        if home_state.bucket is not None and demand.slice_id:
            home_state.bucket.record_spending(sender, demand, now_ms)

    def _slice_for(self, sender: str, seq: int, demand: Demand, now_ms: int) -> Slice:
        name = demand.workspace
        home_state = self._home_states.get(name)
        if home_state is None or not self._may_lend(name, home_state, now_ms):
            return self._empty_slice(name, home_state, now_ms)
        is_new = home_state.bucket.record_demand(
            sender, seq, demand.wanted_milli, demand.asked_milli, now_ms
        )
        if not is_new:
            return self._empty_slice(name, home_state, now_ms)
        return home_state.bucket.grant(sender, self._new_id(now_ms), now_ms)

    def _empty_slice(self, name: str, home_state: _HomeState | None, now_ms: int) -> Slice:
        retry_after_ms = 0
        if home_state is not None and home_state.ready_ms is not None:
            # Votes that are still in transit may make the ready time earlier.
            votes_complete = now_ms - home_state.majority_since_ms >= VOTE_COLLECTION_MS
            retry_after_ms = max(0, home_state.ready_ms - now_ms) if votes_complete else 0
        return Slice(name, 0, 0, 0, retry_after_ms)

    def _answer(
        self, sender: str, report: DemandReport, slices: tuple[Slice, ...], now_ms: int
    ) -> None:
        """Answer even without tokens, as the answer confirms that the report was received."""
        waiting_workspaces = {demand.workspace for demand in report.demands if demand.wanted_milli}
        given = tuple(s for s in slices if s.amount_milli or s.workspace in waiting_workspaces)
        self._send(sender, SliceGrants(report.seq, given), now_ms)

    def _grant_to_waiting(self, home_state: _HomeState, now_ms: int) -> None:
        bucket = home_state.bucket
        for borrower in bucket.waiting_borrowers(now_ms):
            granted = bucket.grant(borrower, self._new_id(now_ms), now_ms)
            if granted.amount_milli:
                self._send(borrower, SliceGrants(bucket.seq_of(borrower), (granted,)), now_ms)
        for borrower in bucket.blocking_borrowers(now_ms):
            # Request a report, which shows which of the host's tokens are spent, not outstanding.
            self._send(borrower, SliceGrants(REPORT_REQUEST_SEQ, ()), now_ms)

    def _send(self, borrower: str, grants: SliceGrants, now_ms: int) -> None:
        if borrower == self._own_name:
            self._on_local_grants(borrower, grants, now_ms)
            return
        host = self._placement.host(borrower)
        if host is not None:
            self._outbox.gossip(host, grants)

    def _new_id(self, now_ms: int) -> int:
        self._last_id = max(self._last_id + 1, now_ms * IDS_PER_MS)
        return self._last_id
