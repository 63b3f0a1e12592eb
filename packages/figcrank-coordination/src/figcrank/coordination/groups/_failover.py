"""Changes of a group's primary: fencing a majority, promotion, following, planned switches."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._reports import Reports
from figcrank.coordination.membership import Placement
from figcrank.protocol import (
    Failure,
    FailureKind,
    Fence,
    Follow,
    Promote,
    ServerReply,
    StatusReply,
)
from figcrank.state import Group, RandomSource, Server, ServerRole, ServerStatus

# Each later prober gives those before it this much more time to act.
TAKEOVER_MS = 150
# Once a majority is fenced, the others have this long to be counted as well.
FENCE_PATIENCE_MS = 15
MIN_BACKOFF_MS = 40
BACKOFF_SPREAD_MS = 120
FOLLOW_RETRY_MS = 50
# A server left behind in a later term is brought back by a new term after this time.
STRAY_FENCE_MS = 1_000
SWITCH_RETRY_MS = 1_000
# A planned switch waits this long for the writes in hand and for its candidate.
SWITCH_PATIENCE_MS = 400


class Cause(StrEnum):
    """Why a term is ended."""

    FAILED = "the primary failed or made no progress"
    NO_PRIMARY = "the group has no primary"
    STRAY = "a server was fenced in a later term"
    PLANNED = "a planned switch"


@dataclass(slots=True)
class _Campaign:
    """One attempt to begin a term.

    :param asked: servers that were asked for a fence.
    :param granted: status of each server that this host fenced.
    :param preferred: server to promote where the logs allow a choice.
    """

    term: int
    cause: Cause
    suspect: str
    preferred: str
    started_ms: int
    asked: set[str] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)
    granted: dict[str, ServerStatus] = field(default_factory=dict)
    promoting: bool = False


@dataclass(frozen=True, slots=True)
class _Switch:
    target: str
    started_ms: int


class Failover:
    """Decides when a group's primary is to change and carries it out.

    A majority must be fenced in a term before a server is promoted in it, and a server grants a
    term once, so two hosts that act at once can't both succeed; the loser waits and looks again.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param placement: tells the probing hosts; the first one acts first.
    :param group: the group.
    :param random: random source for the back-off.
    :param view: statuses of the servers.
    :param reports: what the probing hosts agree on.
    :param on_switch: told whether writes are to be held for a planned switch.
    :param writes_sent: gives the number of writes whose outcome is open here.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        placement: Placement,
        group: Group,
        random: RandomSource,
        view: GroupView,
        reports: Reports,
        on_switch: Callable[[bool], None],
        writes_sent: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._port = port
        self._placement = placement
        self._group = group
        self._random = random
        self._view = view
        self._reports = reports
        self._on_switch = on_switch
        self._writes_sent = writes_sent
        self._me = settings.host.name
        self._campaign: _Campaign | None = None
        self._switch: _Switch | None = None
        self._unfinished = False
        self._not_before_ms = 0
        self._agreed_since_ms: int | None = None
        self._stray_since_ms: int | None = None
        self._next_switch_ms = 0
        self._follow_ms: dict[str, int] = {}

    def tick(self, rank: int, now_ms: int) -> None:
        """Detect failures and go on with what is under way.

        :param rank: place of this host among the probing hosts.
        """
        if self._campaign is not None:
            self._advance(self._campaign, now_ms)
            return
        if self._switch is not None:
            self._advance_switch(self._switch, now_ms)
            return
        self._detect(rank, now_ms)
        if self._campaign is None and self._is_acting(rank, now_ms):
            self._keep_followers(now_ms)
            self._collect_stray(now_ms)
            self._move_off_leaving(now_ms)

    def switch(self, target: str, now_ms: int) -> Failure | None:
        """Begin a planned switch; return why not, if it can't be done.

        :param target: server to promote, empty for the best candidate.
        """
        primary = self._view.primary()
        if primary is None or self._campaign is not None or self._switch is not None:
            message = "The group's primary is being changed or unknown."
            return Failure.not_run(FailureKind.NO_PRIMARY, message, SWITCH_RETRY_MS)
        known = {server.name for server in self._group.servers}
        if target == primary.server or (target and target not in known):
            message = f"{target} is the primary already or not a server of the group."
            return Failure.not_run(FailureKind.BAD_REQUEST, message)
        chosen = target or self._best_candidate(primary, now_ms)
        if not chosen or self._view.is_failing(chosen, now_ms):
            message = "No other server could take over now."
            return Failure.not_run(FailureKind.NO_PRIMARY, message, SWITCH_RETRY_MS)
        self._switch = _Switch(chosen, now_ms)
        self._on_switch(True)
        reason = f"Moving the primary from {primary.server} to {chosen}."
        self._decide(now_ms, "switch", reason, term=primary.term, server=chosen)
        return None

    # Detection

    def _detect(self, rank: int, now_ms: int) -> None:
        if now_ms < self._not_before_ms:
            return
        primary = self._view.primary()
        if primary is not None and not self._view.is_failing(primary.server, now_ms):
            self._unfinished = False
        agreeing = self._reports.agreeing_hosts(now_ms)
        if not agreeing and not (self._unfinished and primary is None):
            self._agreed_since_ms = None
            return
        if self._agreed_since_ms is None:
            self._agreed_since_ms = now_ms
        waited = now_ms - self._agreed_since_ms >= rank * TAKEOVER_MS
        if not waited and not self._unfinished:
            return
        if self._reachable(now_ms) < self._group.majority:
            return
        cause = Cause.FAILED if primary else Cause.NO_PRIMARY
        suspect = primary.server if primary else ""
        self._start(cause, suspect, "", now_ms, hosts=",".join(agreeing))

    def _reachable(self, now_ms: int) -> int:
        statuses = self._view.statuses
        return sum(not self._view.is_failing(status.server, now_ms) for status in statuses)

    def _is_acting(self, rank: int, now_ms: int) -> bool:
        """Return whether no prober before this host is at work."""
        before = self._placement.probers(self._group.name)[:rank]
        return not any(self._reports.heard_recently(host.name, now_ms) for host in before)

    # Campaigns

    def _start(
        self, cause: Cause, suspect: str, preferred: str, now_ms: int, **inputs: object
    ) -> None:
        term = self._view.highest_term + 1
        campaign = _Campaign(term, cause, suspect, preferred, now_ms)
        self._campaign = campaign
        self._agreed_since_ms = None
        self._unfinished = True
        reason = f"Fencing a majority at term {term}, because of this: {cause}."
        self._decide(now_ms, "fence", reason, term=term, suspect=suspect, **inputs)
        for server in self._group.servers:
            if server.name != suspect:
                self._fence(campaign, server, now_ms)

    def _fence(self, campaign: _Campaign, server: Server, now_ms: int) -> None:
        campaign.asked.add(server.name)

        def replied(reply: ServerReply, at_ms: int) -> None:
            campaign.answered.add(server.name)
            if isinstance(reply, StatusReply):
                self._view.take(reply.status, at_ms)
                if self._is_grant(campaign, reply.status):
                    campaign.granted[server.name] = reply.status
            if campaign is self._campaign:
                self._advance(campaign, at_ms)

        request = Fence(campaign.term, self._me)
        timeout_ms = self._settings.timings.server_timeout_ms
        self._port.call_server(server, request, timeout_ms, now_ms, replied)

    def _is_grant(self, campaign: _Campaign, status: ServerStatus) -> bool:
        fenced = status.role is ServerRole.FENCED and status.fencer == self._me
        return fenced and status.term == campaign.term

    def _advance(self, campaign: _Campaign, now_ms: int) -> None:
        if campaign.promoting:
            return
        waiting = campaign.asked - campaign.answered
        if len(campaign.granted) >= self._group.majority:
            patient = now_ms - campaign.started_ms < FENCE_PATIENCE_MS
            if not waiting or not patient:
                self._promote(campaign, now_ms)
            return
        if waiting:
            return
        # The others are no majority, so the suspect's log is needed to cover what was acknowledged.
        if campaign.suspect and campaign.suspect not in campaign.asked:
            self._fence(campaign, self._group.server(campaign.suspect), now_ms)
            return
        self._give_up(campaign, "No majority could be fenced.", now_ms)

    def _promote(self, campaign: _Campaign, now_ms: int) -> None:
        campaign.promoting = True
        chosen = max(campaign.granted.values(), key=lambda s: self._merit(campaign, s))
        held = {name: status.durable for name, status in campaign.granted.items()}
        reason = (
            f"Promoting {chosen.server} at term {campaign.term}: it holds the most"
            f" of the fenced majority. Cause: {campaign.cause}."
        )
        self._decide(
            now_ms, "promotion", reason, term=campaign.term, server=chosen.server, durable=held
        )

        def replied(reply: ServerReply, at_ms: int) -> None:
            if campaign is not self._campaign:
                return
            if isinstance(reply, StatusReply) and reply.status.role is ServerRole.PRIMARY:
                self._succeed(reply.status, at_ms)
            else:
                self._give_up(campaign, f"{chosen.server} was not promoted.", at_ms)

        server = self._group.server(chosen.server)
        timeout_ms = self._settings.timings.server_timeout_ms
        request = Promote(campaign.term, self._me)
        self._port.call_server(server, request, timeout_ms, now_ms, replied)

    def _merit(self, campaign: _Campaign, status: ServerStatus) -> tuple:
        """Return what makes a candidate better; only equal logs leave a choice."""
        staying = not self._view.is_leaving(status.server)
        return status.durable, staying, status.server == campaign.preferred, status.applied

    def _succeed(self, promoted: ServerStatus, now_ms: int) -> None:
        self._end_campaign()
        self._unfinished = False
        self._follow_ms.clear()
        self._view.take(promoted, now_ms)
        self._keep_followers(now_ms)
        self._view.request_round(now_ms)
        self._reports.tick(now_ms)

    def _give_up(self, campaign: _Campaign, reason: str, now_ms: int) -> None:
        self._end_campaign()
        backoff_ms = MIN_BACKOFF_MS + int(self._random.random() * BACKOFF_SPREAD_MS)
        self._not_before_ms = now_ms + backoff_ms
        self._view.request_round(now_ms)
        self._decide(now_ms, "fence", reason, term=campaign.term, backoff_ms=backoff_ms)

    def _end_campaign(self) -> None:
        self._campaign = None
        if self._switch is not None:
            self._switch = None
            self._on_switch(False)

    # Followers

    def _keep_followers(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None:
            return
        for server in self._group.servers:
            status = self._view.status(server.name)
            strays = status is None or _must_follow(status, primary)
            due = now_ms >= self._follow_ms.get(server.name, 0)
            if server.name != primary.server and strays and due:
                self._follow(server, primary, now_ms)

    def _follow(self, server: Server, primary: ServerStatus, now_ms: int) -> None:
        timeout_ms = self._settings.timings.server_timeout_ms
        self._follow_ms[server.name] = now_ms + timeout_ms + FOLLOW_RETRY_MS

        def replied(reply: ServerReply, at_ms: int) -> None:
            self._follow_ms[server.name] = at_ms + FOLLOW_RETRY_MS
            if isinstance(reply, StatusReply):
                self._view.take(reply.status, at_ms)

        request = Follow(primary.term, primary.server)
        self._port.call_server(server, request, timeout_ms, now_ms, replied)

    def _collect_stray(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None or not any(s.term > primary.term for s in self._view.statuses):
            self._stray_since_ms = None
            return
        if self._stray_since_ms is None:
            self._stray_since_ms = now_ms
        waited = now_ms - self._stray_since_ms >= STRAY_FENCE_MS
        if waited and self._reachable(now_ms) >= self._group.majority:
            self._stray_since_ms = None
            self._start(Cause.STRAY, "", primary.server, now_ms)

    # Planned switches

    def _move_off_leaving(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None or not self._view.is_leaving(primary.server):
            return
        if now_ms < self._next_switch_ms or not self._best_candidate(primary, now_ms):
            return
        self._next_switch_ms = now_ms + SWITCH_RETRY_MS
        self.switch("", now_ms)

    def _best_candidate(self, primary: ServerStatus, now_ms: int) -> str:
        others = [
            status
            for status in self._view.statuses
            if status.server != primary.server
            and not self._view.is_leaving(status.server)
            and not self._view.is_failing(status.server, now_ms)
        ]
        best = max(others, key=lambda status: (status.durable, status.applied), default=None)
        return best.server if best else ""

    def _advance_switch(self, switch: _Switch, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None or primary.server == switch.target:
            self._end_campaign()
            return
        late = now_ms - switch.started_ms >= SWITCH_PATIENCE_MS
        candidate = self._view.status(switch.target)
        caught_up = candidate is not None and candidate.durable >= primary.durable
        if not late and (self._writes_sent() > 0 or not caught_up):
            self._view.request_round(now_ms)
            return
        self._start(Cause.PLANNED, primary.server, switch.target, now_ms)

    def _decide(self, now_ms: int, kind: str, reason: str, **inputs: object) -> None:
        self._port.decide(now_ms, kind, self._group.name, reason, **inputs)


def _must_follow(status: ServerStatus, primary: ServerStatus) -> bool:
    if status.term < primary.term:
        return True
    return status.term == primary.term and status.role is ServerRole.FENCED
