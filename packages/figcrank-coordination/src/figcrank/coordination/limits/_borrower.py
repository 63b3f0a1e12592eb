"""The entry side of the limits: admission against held slices, waiting, and reports to homes."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from figcrank.coordination._actions import CountMetric
from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration import Configuration
from figcrank.coordination.limits._limit_timings import ANSWER_TIMEOUT_MS, MAX_WAIT_MS
from figcrank.coordination.limits._slices import Purse
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

OnDecision = Callable[[Failure | None, int], None]
OnLocalReport = Callable[[str, DemandReport, int], None]
FindHome = Callable[[str], Host]

# Least time between two reports of waiting requests to one home.
URGENT_GAP_MS = 5
# An unanswered report of waiting requests is repeated after this time.
REPEAT_MS = 15
# What the home said of the time until more tokens is relied on for this long.
SHORTAGE_KNOWN_MS = 100
# Kept back from a waiting request's time, so that it can still run or be answered.
ANSWER_MARGIN_MS = 10
# Entries in one report; more would not fit a datagram.
MAX_DEMANDS = 200
# Number of a grant that answers no report but asks for one.
SOLICITATION = 0
IDS_PER_MS = 1_000
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A request without a token.

    :param until_ms: latest time at which a token is still of use.
    """

    until_ms: int
    on_decision: OnDecision


@dataclass(slots=True)
class _Account:
    """One workspace at this host.

    :param asked: requests since the last report.
    :param more_at_ms: when the home expects the next token for this host.
    :param more_known_ms: when the home said so.
    """

    workspace: Workspace
    purse: Purse
    waiters: deque[_Waiter] = field(default_factory=deque)
    asked: int = 0
    admitted: int = 0
    refused: int = 0
    counted_admitted: int = 0
    counted_refused: int = 0
    more_at_ms: int = 0
    more_known_ms: int | None = None

    def is_active(self) -> bool:
        return bool(self.asked or self.waiters or self.purse.has_slices())

    def due_in_ms(self, place: int, now_ms: int) -> int:
        """Return the expected wait of the request at ``place`` in line, at worst 0."""
        rate_per_s = max(1, self.workspace.rate_per_s)
        known = self.more_known_ms is not None
        if known and now_ms - self.more_known_ms < SHORTAGE_KNOWN_MS:
            first_ms = max(0, self.more_at_ms - now_ms)
            return first_ms + place * _MS_PER_S // rate_per_s
        beyond_burst = max(0, place - self.workspace.burst)
        return beyond_burst * _MS_PER_S // rate_per_s


@dataclass(slots=True)
class _HomeLink:
    """Reports to one home host.

    :param urgent: whether a report of waiting requests is to be sent.
    :param answered_ms: when the newest report that was answered had been sent.
    """

    sent_ms: int
    answered_ms: int | None = None
    urgent: bool = False
    sent_urgent_ms: int | None = None


class Borrower:
    """Admits requests against slices and asks the home hosts for more.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param configuration: the workspaces.
    :param find_home: tells a workspace's home host.
    :param on_local_report: takes the reports to this very host.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        configuration: Configuration,
        find_home: FindHome,
        on_local_report: OnLocalReport,
    ) -> None:
        self._settings = settings
        self._port = port
        self._configuration = configuration
        self._find_home = find_home
        self._on_local_report = on_local_report
        self._accounts: dict[str, _Account] = {}
        self._links: dict[str, _HomeLink] = {}
        self._sent_ms: dict[int, int] = {}
        self._last_seq = 0

    def admit(
        self, workspace: Workspace, deadline_ms: int, now_ms: int, on_decision: OnDecision
    ) -> None:
        """Admit a request, refuse it, or let it wait for a token that is due in time."""
        account = self._account(workspace, now_ms)
        home = self._believed_home(account, now_ms)
        account.asked += 1
        if not account.waiters and account.purse.spend(now_ms):
            self._decide(account, on_decision, None, now_ms)
            return
        until_ms = min(deadline_ms - ANSWER_MARGIN_MS, now_ms + MAX_WAIT_MS)
        due_in_ms = account.due_in_ms(len(account.waiters), now_ms)
        if now_ms + due_in_ms > until_ms:
            self._decide(account, on_decision, _refusal(account, now_ms), now_ms)
            return
        account.waiters.append(_Waiter(until_ms, on_decision))
        self._ask_soon(home, now_ms)

    def tick(self, now_ms: int) -> None:
        """Refuse late requests, give unused slices back and report to the homes."""
        self._sync_accounts(now_ms)
        accounts_of: dict[Host, list[_Account]] = {}
        for account in list(self._accounts.values()):
            home = self._believed_home(account, now_ms)
            accounts_of.setdefault(home, []).append(account)
            if account.is_active():
                account.purse.tick(now_ms)
                self._expire_waiters(account, now_ms)
            self._count(account)
        for home, accounts in accounts_of.items():
            if self._is_due(home, accounts, now_ms):
                self._report(home, now_ms)
        self._forget_old_reports(now_ms)

    def on_grants(self, sender: str, grants: SliceGrants, now_ms: int) -> None:
        """Take slices; those of an unknown or too old report are dropped."""
        if grants.seq == SOLICITATION:
            self._on_solicitation(sender, now_ms)
            return
        sent_ms = self._sent_ms.get(grants.seq)
        if sent_ms is None:
            return
        self._note_answer(sender, grants.seq, sent_ms)
        for granted in grants.slices:
            account = self._accounts.get(granted.workspace)
            if account is None or self._believed_home(account, now_ms).name != sender:
                continue
            self._take(account, granted, sent_ms, now_ms)

    def leave(self, now_ms: int) -> None:
        """Give every unspent slice back."""
        for account in self._accounts.values():
            account.purse.close_all()
            self._report(self._believed_home(account, now_ms), now_ms)

    def statuses(self, now_ms: int) -> tuple[LimitStatus, ...]:
        """Return the limits as this host sees them."""
        return tuple(
            LimitStatus(
                name,
                account.workspace.rate_per_s,
                account.workspace.burst,
                self._find_home(name).name,
                account.purse.held_milli(now_ms),
                account.admitted,
                account.refused,
            )
            for name, account in sorted(self._accounts.items())
        )

    # Accounts

    def _account(self, workspace: Workspace, now_ms: int) -> _Account:
        account = self._accounts.get(workspace.name)
        if account is None:
            account = self._accounts[workspace.name] = _Account(workspace, Purse(now_ms))
        account.workspace = workspace
        return account

    def _sync_accounts(self, now_ms: int) -> None:
        """Keep an account for every workspace, so that its home hears from this host."""
        for workspace in self._configuration.snapshot.of_kind("workspace"):
            self._account(workspace, now_ms)

    def _believed_home(self, account: _Account, now_ms: int) -> Host:
        home = self._find_home(account.workspace.name)
        if account.purse.move_to(home.name):
            account.more_known_ms = None
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
            self._decide(account, waiter.on_decision, _refusal(account, now_ms), now_ms)

    def _decide(
        self, account: _Account, on_decision: OnDecision, failure: Failure | None, now_ms: int
    ) -> None:
        if failure is None:
            account.admitted += 1
        else:
            account.refused += 1
        on_decision(failure, now_ms)

    def _count(self, account: _Account) -> None:
        """Emit the counters once a tick, so that a request costs no metric."""
        name = account.workspace.name
        admitted = account.admitted - account.counted_admitted
        refused = account.refused - account.counted_refused
        if admitted:
            self._port.emit(CountMetric(f"limits.{name}.admitted", admitted))
        if refused:
            self._port.emit(CountMetric(f"limits.{name}.refused", refused))
        account.counted_admitted = account.admitted
        account.counted_refused = account.refused

    # Grants

    def _on_solicitation(self, sender: str, now_ms: int) -> None:
        """Give a home that is needed elsewhere this host's vote."""
        for account in self._accounts.values():
            home = self._believed_home(account, now_ms)
            if home.name == sender:
                self._links.setdefault(sender, _HomeLink(now_ms)).answered_ms = now_ms
                self._report(home, now_ms)
                return

    def _note_answer(self, home: str, seq: int, sent_ms: int) -> None:
        link = self._links.setdefault(home, _HomeLink(sent_ms))
        link.answered_ms = max(sent_ms, link.answered_ms or sent_ms)
        for account in self._accounts.values():
            if account.purse.home == home:
                account.purse.acknowledge(seq)

    def _take(self, account: _Account, granted: Slice, sent_ms: int, now_ms: int) -> None:
        account.purse.add(granted, sent_ms + granted.lease_ms, now_ms)
        account.more_known_ms = now_ms if granted.retry_after_ms else None
        account.more_at_ms = now_ms + granted.retry_after_ms
        self._serve_waiters(account, now_ms)
        if granted.retry_after_ms:
            self._refuse_hopeless(account, now_ms)
        elif account.waiters and granted.amount_milli:
            # The home lends more once it knows that this slice is spent.
            self._ask_soon(self._believed_home(account, now_ms), now_ms)

    def _serve_waiters(self, account: _Account, now_ms: int) -> None:
        while account.waiters:
            if account.waiters[0].until_ms <= now_ms:
                waiter = account.waiters.popleft()
                self._decide(account, waiter.on_decision, _refusal(account, now_ms), now_ms)
                continue
            if not account.purse.spend(now_ms):
                return
            self._decide(account, account.waiters.popleft().on_decision, None, now_ms)

    def _refuse_hopeless(self, account: _Account, now_ms: int) -> None:
        """Give those requests their answer that no token can reach in time."""
        kept: deque[_Waiter] = deque()
        hopeless: list[_Waiter] = []
        for waiter in account.waiters:
            in_time = now_ms + account.due_in_ms(len(kept), now_ms) <= waiter.until_ms
            (kept if in_time else hopeless).append(waiter)
        account.waiters = kept
        for waiter in hopeless:
            self._decide(account, waiter.on_decision, _refusal(account, now_ms), now_ms)

    # Reports

    def _ask_soon(self, home: Host, now_ms: int) -> None:
        link = self._links.setdefault(home.name, _HomeLink(now_ms))
        link.urgent = True
        if link.sent_urgent_ms is None or now_ms - link.sent_urgent_ms >= URGENT_GAP_MS:
            self._report(home, now_ms)

    def _is_due(self, home: Host, accounts: list[_Account], now_ms: int) -> bool:
        link = self._links.get(home.name)
        if link is None or link.urgent:
            return True
        since_ms = now_ms - link.sent_ms
        if since_ms >= REPEAT_MS and any(account.waiters for account in accounts):
            return True
        active = any(account.is_active() for account in accounts)
        return active and since_ms >= self._settings.timings.report_interval_ms

    def _accounts_of(self, home: Host) -> list[_Account]:
        return [a for a in self._accounts.values() if a.purse.home == home.name]

    def _report(self, home: Host, now_ms: int) -> None:
        """Send every demand on one home; each report also gives it this host's vote."""
        link = self._links.setdefault(home.name, _HomeLink(now_ms))
        link.sent_ms = now_ms
        if link.urgent:
            link.sent_urgent_ms = now_ms
        link.urgent = False
        answered_ms = link.answered_ms
        gives_vote = answered_ms is not None and now_ms - answered_ms < ANSWER_TIMEOUT_MS
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
        return account.purse.demands(
            account.workspace.name, wanted_milli, asked_milli, seq, gives_vote, now_ms
        )

    def _send(self, home: Host, report: DemandReport, now_ms: int) -> None:
        self._sent_ms[report.seq] = now_ms
        if home.name == self._settings.host.name:
            self._on_local_report(home.name, report, now_ms)
            return
        self._port.gossip(home, report)

    def _new_seq(self, now_ms: int) -> int:
        """Return a number that rises also over a restart of this host."""
        self._last_seq = max(self._last_seq + 1, now_ms * IDS_PER_MS)
        return self._last_seq

    def _forget_old_reports(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._settings.timings.slice_lease_ms
        while self._sent_ms:
            seq = next(iter(self._sent_ms))
            if self._sent_ms[seq] > oldest_ms:
                return
            del self._sent_ms[seq]


def _refusal(account: _Account, now_ms: int) -> Failure:
    name = account.workspace.name
    message = f"The workspace {name} is over its rate of {account.workspace.rate_per_s} a second."
    retry_after_ms = max(1, account.due_in_ms(len(account.waiters), now_ms))
    return Failure.not_run(FailureKind.OVER_LIMIT, message, retry_after_ms)
