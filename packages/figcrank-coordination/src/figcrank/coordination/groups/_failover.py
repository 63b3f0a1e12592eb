"""Primary changes of a group: failure detection, fencing, promotion and planned switches."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.groups._group_view import GroupView
from figcrank.coordination.groups._reports import ReportExchange
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

# Delay per rank before a probing host starts a failover, so that lower ranks go first.
FAILOVER_DELAY_PER_RANK_MS = 150
# Wait for the remaining fence replies after a majority is fenced.
FENCE_WAIT_MS = 15
MIN_BACKOFF_MS = 40
BACKOFF_JITTER_MS = 120
FOLLOW_RETRY_MS = 50
# Wait before a server fenced in a later term is recovered by starting a new term.
LATER_TERM_WAIT_MS = 1_000
SWITCH_RETRY_MS = 1_000
# Longest wait of a planned switch for writes in flight and for the target to catch up.
SWITCH_TIMEOUT_MS = 400


class Cause(StrEnum):
    """Reason for starting a new term."""

    FAILED = "the primary failed or made no progress"
    NO_PRIMARY = "the group has no primary"
    LATER_TERM = "a server was fenced in a later term"
    PLANNED = "a planned switch"


@dataclass(slots=True)
class _FailoverAttempt:
    """One attempt to fence a majority in a new term and promote a server.

    :param suspect: primary to replace, empty if there is none.
    :param preferred: server to promote if the logs allow a choice.
    :param requested: servers that were sent a fence request.
    :param responded: servers whose fence request succeeded or failed.
    :param granted: status of each server that this host fenced.
    """

    term: int
    cause: Cause
    suspect: str
    preferred: str
    started_ms: int
    requested: set[str] = field(default_factory=set)
    responded: set[str] = field(default_factory=set)
    granted: dict[str, ServerStatus] = field(default_factory=dict)
    promoting: bool = False


@dataclass(frozen=True, slots=True)
class _Switch:
    target: str
    started_ms: int


class Failover:
    """Decides when a group's primary must change and performs the change.

    A server is promoted in a term only after a majority has been fenced in that term. A server
    grants each term to one host only, so of two concurrent attempts at most one succeeds; the
    other host backs off and re-evaluates.

    :param settings: static settings of this host.
    :param outbox: sends requests and records decisions.
    :param placement: provides the ranked probing hosts; the lowest rank acts first.
    :param group: the group.
    :param random: random source for the back-off jitter.
    :param view: statuses of the servers.
    :param reports: reports exchanged between the probing hosts.
    :param set_writes_paused: stops sending writes, or resumes it, for a planned switch.
    :param writes_in_flight: returns the number of writes of this host with a pending outcome.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        placement: Placement,
        group: Group,
        random: RandomSource,
        view: GroupView,
        reports: ReportExchange,
        set_writes_paused: Callable[[bool], None],
        writes_in_flight: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._placement = placement
        self._group = group
        self._random = random
        self._view = view
        self._reports = reports
        self._set_writes_paused = set_writes_paused
        self._writes_in_flight = writes_in_flight
        self._host_name = settings.host.name
        self._attempt: _FailoverAttempt | None = None
        self._switch: _Switch | None = None
        self._failover_incomplete = False
        self._backoff_until_ms = 0
        self._agreed_since_ms: int | None = None
        self._later_term_since_ms: int | None = None
        self._next_switch_ms = 0
        self._next_follow_ms: dict[str, int] = {}

    def tick(self, rank: int, now_ms: int) -> None:
        """Detect failures and advance the attempt or switch in progress.

        :param rank: rank of this host among the probing hosts, starting at 0.
        """
        if self._attempt is not None:
            self._advance(self._attempt, now_ms)
            return
        if self._switch is not None:
            self._advance_switch(self._switch, now_ms)
            return
        self._start_failover_if_needed(rank, now_ms)
        if self._attempt is None and self._is_coordinator(rank, now_ms):
            self._update_replicas(now_ms)
            self._recover_server_in_later_term(now_ms)
            self._switch_from_draining_primary(now_ms)

    def switch(self, target: str, now_ms: int) -> Failure | None:
        """Begin a planned switch.

        :param target: server to promote, empty for the best candidate.
        :returns: why the switch was refused, ``None`` if it has begun.
        """
        primary = self._view.primary()
        if primary is None or self._attempt is not None or self._switch is not None:
            message = "The group's primary is unknown or already being changed."
            return Failure.not_run(FailureKind.NO_PRIMARY, message, SWITCH_RETRY_MS)
        known = {server.name for server in self._group.servers}
        if target == primary.server or (target and target not in known):
            message = f"{target} is already the primary or is not a server of the group."
            return Failure.not_run(FailureKind.BAD_REQUEST, message)
        chosen = target or self._best_candidate(primary, now_ms)
        if not chosen or self._view.is_unresponsive(chosen, now_ms):
            message = "No other server can be promoted now."
            return Failure.not_run(FailureKind.NO_PRIMARY, message, SWITCH_RETRY_MS)
        self._switch = _Switch(chosen, now_ms)
        self._set_writes_paused(True)
        reason = f"Moving the primary from {primary.server} to {chosen}."
        self._log_decision(now_ms, "switch", reason, term=primary.term, server=chosen)
        return None

    # Failure detection

    def _start_failover_if_needed(self, rank: int, now_ms: int) -> None:
        if now_ms < self._backoff_until_ms:
            return
        primary = self._view.primary()
        if primary is not None and not self._view.is_unresponsive(primary.server, now_ms):
            self._failover_incomplete = False
        agreeing = self._reports.agreeing_hosts(now_ms)
        if not agreeing and not (self._failover_incomplete and primary is None):
            self._agreed_since_ms = None
            return
        if self._agreed_since_ms is None:
            self._agreed_since_ms = now_ms
        waited = now_ms - self._agreed_since_ms >= rank * FAILOVER_DELAY_PER_RANK_MS
        if not waited and not self._failover_incomplete:
            return
        if self._reachable_count(now_ms) < self._group.majority:
            return
        cause = Cause.FAILED if primary else Cause.NO_PRIMARY
        suspect = primary.server if primary else ""
        self._start_attempt(cause, suspect, "", now_ms, hosts=",".join(agreeing))

    def _reachable_count(self, now_ms: int) -> int:
        statuses = self._view.statuses
        return sum(not self._view.is_unresponsive(status.server, now_ms) for status in statuses)

    def _is_coordinator(self, rank: int, now_ms: int) -> bool:
        """Return whether no probing host of a lower rank has reported recently."""
        lower_ranked = self._placement.probers(self._group.name)[:rank]
        return not any(self._reports.reported_recently(host.name, now_ms) for host in lower_ranked)

    # Failover attempts

    def _start_attempt(
        self, cause: Cause, suspect: str, preferred: str, now_ms: int, **inputs: object
    ) -> None:
        term = self._view.highest_term + 1
        attempt = _FailoverAttempt(term, cause, suspect, preferred, now_ms)
        self._attempt = attempt
        self._agreed_since_ms = None
        self._failover_incomplete = True
        reason = f"Fencing a majority at term {term}, because of this: {cause}."
        self._log_decision(now_ms, "fence", reason, term=term, suspect=suspect, **inputs)
        for server in self._group.servers:
            if server.name != suspect:
                self._fence(attempt, server, now_ms)

    def _fence(self, attempt: _FailoverAttempt, server: Server, now_ms: int) -> None:
        attempt.requested.add(server.name)

        def replied(reply: ServerReply, at_ms: int) -> None:
            attempt.responded.add(server.name)
            if isinstance(reply, StatusReply):
                self._view.record(reply.status, at_ms)
                if self._is_grant(attempt, reply.status):
                    attempt.granted[server.name] = reply.status
            if attempt is self._attempt:
                self._advance(attempt, at_ms)

        request = Fence(attempt.term, self._host_name)
        timeout_ms = self._settings.timings.server_timeout_ms
        self._outbox.call_server(server, request, timeout_ms, now_ms, replied)

    def _is_grant(self, attempt: _FailoverAttempt, status: ServerStatus) -> bool:
        fenced = status.role is ServerRole.FENCED and status.fencer == self._host_name
        return fenced and status.term == attempt.term

    def _advance(self, attempt: _FailoverAttempt, now_ms: int) -> None:
        if attempt.promoting:
            return
        outstanding = attempt.requested - attempt.responded
        if len(attempt.granted) >= self._group.majority:
            may_wait = now_ms - attempt.started_ms < FENCE_WAIT_MS
            if not outstanding or not may_wait:
                self._promote(attempt, now_ms)
            return
        if outstanding:
            return
        # The other servers form no majority, so their logs may lack acknowledged writes; the
        # suspect's log is needed as well.
        if attempt.suspect and attempt.suspect not in attempt.requested:
            self._fence(attempt, self._group.server(attempt.suspect), now_ms)
            return
        self._abort(attempt, "No majority could be fenced.", now_ms)

    def _promote(self, attempt: _FailoverAttempt, now_ms: int) -> None:
        attempt.promoting = True
        chosen = max(attempt.granted.values(), key=lambda s: self._promotion_priority(attempt, s))
        durable_positions = {name: status.durable for name, status in attempt.granted.items()}
        reason = (
            f"Promoting {chosen.server} at term {attempt.term}: it holds the most"
            f" of the fenced majority. Cause: {attempt.cause}."
        )
        self._log_decision(
            now_ms,
            "promotion",
            reason,
            term=attempt.term,
            server=chosen.server,
            durable=durable_positions,
        )

        def replied(reply: ServerReply, at_ms: int) -> None:
            if attempt is not self._attempt:
                return
            if isinstance(reply, StatusReply) and reply.status.role is ServerRole.PRIMARY:
                self._complete(reply.status, at_ms)
            else:
                self._abort(attempt, f"{chosen.server} was not promoted.", at_ms)

        server = self._group.server(chosen.server)
        timeout_ms = self._settings.timings.server_timeout_ms
        request = Promote(attempt.term, self._host_name)
        self._outbox.call_server(server, request, timeout_ms, now_ms, replied)

    def _promotion_priority(self, attempt: _FailoverAttempt, status: ServerStatus) -> tuple:
        """Return a candidate's sort key: the durable position, then fields that break ties."""
        staying = not self._view.is_draining(status.server)
        return status.durable, staying, status.server == attempt.preferred, status.applied

    def _complete(self, promoted: ServerStatus, now_ms: int) -> None:
        self._end_attempt_and_switch()
        self._failover_incomplete = False
        self._next_follow_ms.clear()
        self._view.record(promoted, now_ms)
        self._update_replicas(now_ms)
        self._view.request_round(now_ms)
        self._reports.tick(now_ms)

    def _abort(self, attempt: _FailoverAttempt, reason: str, now_ms: int) -> None:
        self._end_attempt_and_switch()
        backoff_ms = MIN_BACKOFF_MS + int(self._random.random() * BACKOFF_JITTER_MS)
        self._backoff_until_ms = now_ms + backoff_ms
        self._view.request_round(now_ms)
        self._log_decision(now_ms, "fence", reason, term=attempt.term, backoff_ms=backoff_ms)

    def _end_attempt_and_switch(self) -> None:
        self._attempt = None
        if self._switch is not None:
            self._switch = None
            self._set_writes_paused(False)

    # Replicas

    def _update_replicas(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None:
            return
        for server in self._group.servers:
            status = self._view.status(server.name)
            outdated = status is None or _must_follow(status, primary)
            due = now_ms >= self._next_follow_ms.get(server.name, 0)
            if server.name != primary.server and outdated and due:
                self._follow(server, primary, now_ms)

    def _follow(self, server: Server, primary: ServerStatus, now_ms: int) -> None:
        timeout_ms = self._settings.timings.server_timeout_ms
        self._next_follow_ms[server.name] = now_ms + timeout_ms + FOLLOW_RETRY_MS

        def replied(reply: ServerReply, at_ms: int) -> None:
            self._next_follow_ms[server.name] = at_ms + FOLLOW_RETRY_MS
            if isinstance(reply, StatusReply):
                self._view.record(reply.status, at_ms)

        request = Follow(primary.term, primary.server)
        self._outbox.call_server(server, request, timeout_ms, now_ms, replied)

    def _recover_server_in_later_term(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None or not any(s.term > primary.term for s in self._view.statuses):
            self._later_term_since_ms = None
            return
        if self._later_term_since_ms is None:
            self._later_term_since_ms = now_ms
        waited = now_ms - self._later_term_since_ms >= LATER_TERM_WAIT_MS
        if waited and self._reachable_count(now_ms) >= self._group.majority:
            self._later_term_since_ms = None
            self._start_attempt(Cause.LATER_TERM, "", primary.server, now_ms)

    # Planned switches

    def _switch_from_draining_primary(self, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None or not self._view.is_draining(primary.server):
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
            and not self._view.is_draining(status.server)
            and not self._view.is_unresponsive(status.server, now_ms)
        ]
        best = max(others, key=lambda status: (status.durable, status.applied), default=None)
        return best.server if best else ""

    def _advance_switch(self, switch: _Switch, now_ms: int) -> None:
        primary = self._view.primary()
        if primary is None or primary.server == switch.target:
            self._end_attempt_and_switch()
            return
        timed_out = now_ms - switch.started_ms >= SWITCH_TIMEOUT_MS
        candidate = self._view.status(switch.target)
        caught_up = candidate is not None and candidate.durable >= primary.durable
        if not timed_out and (self._writes_in_flight() > 0 or not caught_up):
            self._view.request_round(now_ms)
            return
        self._start_attempt(Cause.PLANNED, primary.server, switch.target, now_ms)

    def _log_decision(self, now_ms: int, kind: str, reason: str, **inputs: object) -> None:
        self._outbox.record_decision(now_ms, kind, self._group.name, reason, **inputs)


def _must_follow(status: ServerStatus, primary: ServerStatus) -> bool:
    if status.term < primary.term:
        return True
    return status.term == primary.term and status.role is ServerRole.FENCED
