"""Admission of requests against borrowed token slices, and demand reports to the home hosts."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from figcrank.coordination._actions import CountMetric
from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.limits._limit_timings import ANSWER_TIMEOUT_MS, MAX_WAIT_MS
from figcrank.coordination.limits._slices import HeldSlices
from figcrank.protocol import (
    Demand,
    DemandReport,
    Failure,
    FailureKind,
    LimitStatus,
    Slice,
    SliceGrants,
)
from figcrank.state import MILLI, Host, Workspace

OnAdmissionResult = Callable[[Failure | None, int], None]
OnLocalReport = Callable[[str, DemandReport, int], None]
FindHome = Callable[[str], Host]

# Minimum time between two urgent reports, which are sent for waiting requests, to one home host.
MIN_URGENT_INTERVAL_MS = 5
# Time after which an unanswered report of waiting requests is repeated.
REPORT_RETRY_MS = 15
# How long the home host's estimate of the time until the next token is used.
NEXT_TOKEN_VALID_MS = 100
# Time before the deadline at which a request stops waiting, so that it can still run or be refused.
ANSWER_MARGIN_MS = 10
# Maximum entries in one report; more would not fit into a datagram.
MAX_DEMANDS = 200
# Sequence number of a message that requests a report instead of answering one.
REPORT_REQUEST_SEQ = 0
SEQS_PER_MS = 1_000
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A request that waits for a token.

    :param until_ms: time at which the request stops waiting.
    """

    until_ms: int
    on_result: OnAdmissionResult


@dataclass(slots=True)
class _Account:
    """Tokens, waiting requests and counters of one workspace at this host.

    :param asked: requests since the last report.
    :param emitted_admitted: value of ``admitted`` when the counter was last emitted.
    :param emitted_refused: value of ``refused`` when the counter was last emitted.
    :param next_token_ms: time at which the home host expects the next token for this host.
    :param next_token_reported_ms: when the home host reported this; ``None`` if it did not.
    """

    workspace: Workspace
    held_slices: HeldSlices
    waiters: deque[_Waiter] = field(default_factory=deque)
    asked: int = 0
    admitted: int = 0
    refused: int = 0
    emitted_admitted: int = 0
    emitted_refused: int = 0
    next_token_ms: int = 0
    next_token_reported_ms: int | None = None

    def is_active(self) -> bool:
        return bool(self.asked or self.waiters or self.held_slices.has_slices())

    def expected_wait_ms(self, position: int, now_ms: int) -> int:
        """Return the expected wait of the request at ``position`` in the queue, at least 0."""
        rate_per_s = max(1, self.workspace.rate_per_s)
        known = self.next_token_reported_ms is not None
        if known and now_ms - self.next_token_reported_ms < NEXT_TOKEN_VALID_MS:
            first_ms = max(0, self.next_token_ms - now_ms)
            return first_ms + position * _MS_PER_S // rate_per_s
        beyond_burst = max(0, position - self.workspace.burst)
        return beyond_burst * _MS_PER_S // rate_per_s


@dataclass(slots=True)
class _HomeLink:
    """State of the reports to one home host.

    :param sent_ms: when the latest report was sent.
    :param last_answered_report_ms: when the latest answered report was sent, or when the home host
        requested a report if that was later.
    :param urgent: whether the next report must be sent without delay, for waiting requests.
    :param sent_urgent_ms: when the latest urgent report was sent.
    """

    sent_ms: int
    last_answered_report_ms: int | None = None
    urgent: bool = False
    sent_urgent_ms: int | None = None


class Borrower:
    """Admits requests against token slices and requests more slices from the home hosts.

    :param settings: static settings of this host.
    :param outbox: queue of outgoing actions.
    :param configuration: source of the workspaces.
    :param find_home: returns the home host of a workspace.
    :param on_local_report: receives the reports that are addressed to this host itself.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        configuration: Configuration,
        find_home: FindHome,
        on_local_report: OnLocalReport,
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._configuration = configuration
        self._find_home = find_home
        self._on_local_report = on_local_report
        self._accounts: dict[str, _Account] = {}
        self._links: dict[str, _HomeLink] = {}
        self._report_sent_ms: dict[int, int] = {}
        self._last_seq = 0

    def admit(
        self, workspace: Workspace, deadline_ms: int, now_ms: int, on_result: OnAdmissionResult
    ) -> None:
        """Admit a request, refuse it, or queue it if a token is expected in time."""
        account = self._account(workspace, now_ms)
        home = self._current_home(account, now_ms)
        account.asked += 1
        if not account.waiters and account.held_slices.spend(now_ms):
            self._complete(account, on_result, None, now_ms)
            return
        until_ms = min(deadline_ms - ANSWER_MARGIN_MS, now_ms + MAX_WAIT_MS)
        expected_wait_ms = account.expected_wait_ms(len(account.waiters), now_ms)
        if now_ms + expected_wait_ms > until_ms:
            self._complete(account, on_result, _refusal(account, now_ms), now_ms)
            return
        account.waiters.append(_Waiter(until_ms, on_result))
        self._report_urgently(home, now_ms)

    def tick(self, now_ms: int) -> None:
        """Refuse requests that waited too long, return unused tokens and report to home hosts."""
        self._sync_accounts(now_ms)
        accounts_of: dict[Host, list[_Account]] = {}
        for account in list(self._accounts.values()):
            home = self._current_home(account, now_ms)
            accounts_of.setdefault(home, []).append(account)
            if account.is_active():
                account.held_slices.tick(now_ms)
                self._expire_waiters(account, now_ms)
            self._emit_counters(account)
        for home, accounts in accounts_of.items():
            if self._is_due(home, accounts, now_ms):
                self._report(home, now_ms)
        self._drop_old_reports(now_ms)

    def on_grants(self, sender: str, grants: SliceGrants, now_ms: int) -> None:
        """Add granted slices; drop those that answer an unknown or expired report."""
        if grants.seq == REPORT_REQUEST_SEQ:
            self._on_report_request(sender, now_ms)
            return
        sent_ms = self._report_sent_ms.get(grants.seq)
        if sent_ms is None:
            return
        self._record_answer(sender, grants.seq, sent_ms)
        for granted in grants.slices:
            account = self._accounts.get(granted.workspace)
            if account is None or self._current_home(account, now_ms).name != sender:
                continue
            self._add_slice(account, granted, sent_ms, now_ms)

    def leave(self, now_ms: int) -> None:
        """Return all unspent tokens to the home hosts."""
        for account in self._accounts.values():
            account.held_slices.return_all()
            self._report(self._current_home(account, now_ms), now_ms)

    def statuses(self, now_ms: int) -> tuple[LimitStatus, ...]:
        """Return the limits and this host's counts for them."""
        return tuple(
            LimitStatus(
                name,
                account.workspace.rate_per_s,
                account.workspace.burst,
                self._find_home(name).name,
                account.held_slices.held_milli(now_ms),
                account.admitted,
                account.refused,
            )
            for name, account in sorted(self._accounts.items())
        )

    def _account(self, workspace: Workspace, now_ms: int) -> _Account:
        account = self._accounts.get(workspace.name)
        if account is None:
            account = self._accounts[workspace.name] = _Account(workspace, HeldSlices(now_ms))
        account.workspace = workspace
        return account

    def _sync_accounts(self, now_ms: int) -> None:
        """Keep an account for every workspace, so that its home host receives reports from here."""
        for workspace in self._configuration.snapshot.of_kind("workspace"):
            self._account(workspace, now_ms)

    def _current_home(self, account: _Account, now_ms: int) -> Host:
        home = self._find_home(account.workspace.name)
        if account.held_slices.set_home(home.name):
            account.next_token_reported_ms = None
            self._links.setdefault(home.name, _HomeLink(now_ms)).urgent = bool(account.waiters)
        return home

    def _expire_waiters(self, account: _Account, now_ms: int) -> None:
        if not account.waiters:
            return
        late = [waiter for waiter in account.waiters if waiter.until_ms <= now_ms]
        if not late:
            return
        account.waiters = deque(w for w in account.waiters if w.until_ms > now_ms)
        for waiter in late:
            self._complete(account, waiter.on_result, _refusal(account, now_ms), now_ms)

    def _complete(
        self, account: _Account, on_result: OnAdmissionResult, failure: Failure | None, now_ms: int
    ) -> None:
        if failure is None:
            account.admitted += 1
        else:
            account.refused += 1
        on_result(failure, now_ms)

    def _emit_counters(self, account: _Account) -> None:
        """Emit the counters once per tick, so that a request does not cost a metric."""
        name = account.workspace.name
        admitted = account.admitted - account.emitted_admitted
        refused = account.refused - account.emitted_refused
        if admitted:
            self._outbox.emit(CountMetric(f"limits.{name}.admitted", admitted))
        if refused:
            self._outbox.emit(CountMetric(f"limits.{name}.refused", refused))
        account.emitted_admitted = account.admitted
        account.emitted_refused = account.refused

    def _on_report_request(self, sender: str, now_ms: int) -> None:
        """Send a report, which carries this host's vote, to a home host that requests one."""
        for account in self._accounts.values():
            home = self._current_home(account, now_ms)
            if home.name == sender:
                self._links.setdefault(sender, _HomeLink(now_ms)).last_answered_report_ms = now_ms
                self._report(home, now_ms)
                return

    def _record_answer(self, home: str, seq: int, sent_ms: int) -> None:
        link = self._links.setdefault(home, _HomeLink(sent_ms))
        link.last_answered_report_ms = max(sent_ms, link.last_answered_report_ms or sent_ms)
        for account in self._accounts.values():
            if account.held_slices.home == home:
                account.held_slices.acknowledge(seq)

    def _add_slice(self, account: _Account, granted: Slice, sent_ms: int, now_ms: int) -> None:
        account.held_slices.add(granted, sent_ms + granted.lease_ms, now_ms)
        account.next_token_reported_ms = now_ms if granted.retry_after_ms else None
        account.next_token_ms = now_ms + granted.retry_after_ms
        self._admit_waiters(account, now_ms)
        if granted.retry_after_ms:
            self._refuse_too_late(account, now_ms)
        elif account.waiters and granted.amount_milli:
            # The home host lends more once a report shows that this slice is spent.
            self._report_urgently(self._current_home(account, now_ms), now_ms)

    def _admit_waiters(self, account: _Account, now_ms: int) -> None:
        while account.waiters:
            if account.waiters[0].until_ms <= now_ms:
                waiter = account.waiters.popleft()
                self._complete(account, waiter.on_result, _refusal(account, now_ms), now_ms)
                continue
            if not account.held_slices.spend(now_ms):
                return
            self._complete(account, account.waiters.popleft().on_result, None, now_ms)

    def _refuse_too_late(self, account: _Account, now_ms: int) -> None:
        """Refuse the waiting requests that no token can reach in time."""
        kept: deque[_Waiter] = deque()
        too_late: list[_Waiter] = []
        for waiter in account.waiters:
            in_time = now_ms + account.expected_wait_ms(len(kept), now_ms) <= waiter.until_ms
            (kept if in_time else too_late).append(waiter)
        account.waiters = kept
        for waiter in too_late:
            self._complete(account, waiter.on_result, _refusal(account, now_ms), now_ms)

    def _report_urgently(self, home: Host, now_ms: int) -> None:
        link = self._links.setdefault(home.name, _HomeLink(now_ms))
        link.urgent = True
        if link.sent_urgent_ms is None or now_ms - link.sent_urgent_ms >= MIN_URGENT_INTERVAL_MS:
            self._report(home, now_ms)

    def _is_due(self, home: Host, accounts: list[_Account], now_ms: int) -> bool:
        link = self._links.get(home.name)
        if link is None or link.urgent:
            return True
        since_ms = now_ms - link.sent_ms
        if since_ms >= REPORT_RETRY_MS and any(account.waiters for account in accounts):
            return True
        active = any(account.is_active() for account in accounts)
        return active and since_ms >= self._settings.timings.report_interval_ms

    def _accounts_of(self, home: Host) -> list[_Account]:
        return [a for a in self._accounts.values() if a.held_slices.home == home.name]

    def _report(self, home: Host, now_ms: int) -> None:
        """Send all demands to one home host, with this host's vote if the home host answers."""
        link = self._links.setdefault(home.name, _HomeLink(now_ms))
        link.sent_ms = now_ms
        if link.urgent:
            link.sent_urgent_ms = now_ms
        link.urgent = False
        last_answered_report_ms = link.last_answered_report_ms
        gives_vote = (
            last_answered_report_ms is not None
            and now_ms - last_answered_report_ms < ANSWER_TIMEOUT_MS
        )
        demands: list[Demand] = []
        seq = self._new_seq(now_ms)
        for account in self._accounts_of(home):
            demands.extend(self._demands(account, seq, gives_vote, now_ms))
            if len(demands) >= MAX_DEMANDS:
                self._send(home, DemandReport(seq, tuple(demands)), now_ms)
                demands = []
                seq = self._new_seq(now_ms)
        if demands:
            self._send(home, DemandReport(seq, tuple(demands)), now_ms)

    def _demands(
        self, account: _Account, seq: int, gives_vote: bool, now_ms: int
    ) -> tuple[Demand, ...]:
        wanted_milli = len(account.waiters) * MILLI
        asked_milli = account.asked * MILLI
        account.asked = 0
        return account.held_slices.demands(
            account.workspace.name, wanted_milli, asked_milli, seq, gives_vote, now_ms
        )

    def _send(self, home: Host, report: DemandReport, now_ms: int) -> None:
        self._report_sent_ms[report.seq] = now_ms
        if home.name == self._settings.host.name:
            self._on_local_report(home.name, report, now_ms)
            return
        self._outbox.gossip(home, report)

    def _new_seq(self, now_ms: int) -> int:
        """Return a number that keeps increasing across restarts of this host."""
        self._last_seq = max(self._last_seq + 1, now_ms * SEQS_PER_MS)
        return self._last_seq

    def _drop_old_reports(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._settings.timings.slice_lease_ms
        while self._report_sent_ms:
            seq = next(iter(self._report_sent_ms))
            if self._report_sent_ms[seq] > oldest_ms:
                return
            del self._report_sent_ms[seq]


def _refusal(account: _Account, now_ms: int) -> Failure:
    name = account.workspace.name
    message = f"The workspace {name} exceeds its rate of {account.workspace.rate_per_s} per second."
    retry_after_ms = max(1, account.expected_wait_ms(len(account.waiters), now_ms))
    return Failure.not_run(FailureKind.OVER_LIMIT, message, retry_after_ms)
