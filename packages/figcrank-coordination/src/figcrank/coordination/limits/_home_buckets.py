"""A workspace's token bucket at its home host, and the slices lent from it.

The level plus the outstanding tokens, which are lent and not known to be spent, never exceed the
burst, because refilling stops there. Only refilling creates tokens. In any window of
length t, all hosts together therefore admit at most burst + rate * t: at most the burst exists at
its start, and at most rate * t is refilled during it.
"""

from dataclasses import dataclass

from figcrank.coordination.limits._demand import DemandRate, whole_tokens
from figcrank.coordination.limits._limit_timings import (
    LEASE_MARGIN_MS,
    LENDING_HORIZON_MS,
    MAX_WAIT_MS,
)
from figcrank.protocol import Demand, Slice
from figcrank.state import MILLI, TokenBucket, Workspace

# Lending ahead of demand leaves 1/RESERVE_DIVISOR of the tokens to hosts with waiting requests.
RESERVE_DIVISOR = 4
# A grant that no report of its borrower confirms within this time counts as lost.
GRANT_CONFIRM_MS = 40


@dataclass(slots=True)
class _LentSlice:
    """A slice that was lent to a host and has not expired.

    :param spent_milli: milli-tokens that the borrower has reported as spent.
    :param confirmed: whether a report of the borrower has shown that the slice arrived.
    """

    borrower: str
    amount_milli: int
    lent_ms: int
    expires_ms: int
    spent_milli: int = 0
    confirmed: bool = False

    @property
    def unspent_milli(self) -> int:
        return self.amount_milli - self.spent_milli


@dataclass(slots=True)
class _BorrowerDemand:
    """Demand of one host, from its reports.

    :param seq: number of the newest report processed.
    :param waiting_milli: milli-tokens that requests at the host are waiting for.
    :param waiting_until_ms: time at which these requests stop waiting.
    """

    rate: DemandRate
    seq: int = 0
    waiting_milli: int = 0
    waiting_until_ms: int = 0


class HomeBucket:
    """Holds the tokens of a workspace and lends them to hosts.

    :param workspace: name, rate and burst.
    :param lease_ms: lifetime of a slice.
    :param level_milli: milli-tokens to start with.
    :param now_ms: time of creation.
    """

    def __init__(self, workspace: Workspace, lease_ms: int, level_milli: int, now_ms: int) -> None:
        self._workspace = workspace
        self._lease_ms = lease_ms
        self._bucket = _new_token_bucket(workspace, level_milli, now_ms)
        self._lent: dict[int, _LentSlice] = {}
        self._borrower_demands: dict[str, _BorrowerDemand] = {}

    def configure(self, workspace: Workspace, now_ms: int) -> None:
        """Apply a new rate and burst; tokens above the new burst are discarded."""
        if workspace == self._workspace:
            return
        level_milli = self.level_milli(now_ms)
        self._workspace = workspace
        self._bucket = _new_token_bucket(workspace, level_milli, now_ms)
        self._discard_excess(now_ms)

    def level_milli(self, now_ms: int) -> int:
        """Return the milli-tokens that may be lent."""
        self._refill_and_expire(now_ms)
        return self._bucket.level_milli(now_ms)

    def outstanding_milli(self, now_ms: int) -> int:
        """Return the outstanding milli-tokens, which may still be spent."""
        self._refill_and_expire(now_ms)
        return self._outstanding_milli()

    def max_remaining_lease_ms(self, now_ms: int) -> int:
        """Return the time until the last slice expires, in milliseconds."""
        return max((lent.expires_ms - now_ms for lent in self._lent.values()), default=0)

    def add_previous_home_tokens(
        self, slice_id: int, amount_milli: int, expires_ms: int, now_ms: int
    ) -> None:
        """Count tokens lent by a previous home host as outstanding until ``expires_ms``."""
        if amount_milli > 0:
            self._lent[slice_id] = _LentSlice("", amount_milli, now_ms, expires_ms)
        self._discard_excess(now_ms)

    def record_spending(self, borrower: str, demand: Demand, now_ms: int) -> None:
        """Record what a host has spent and returned of one of its slices; idempotent."""
        self._refill_and_expire(now_ms)
        lent = self._lent.get(demand.slice_id)
        if lent is None or lent.borrower != borrower:
            return
        lent.confirmed = True
        lent.spent_milli = min(lent.amount_milli, max(lent.spent_milli, demand.spent_milli))
        if demand.returned_milli > 0:
            self._bucket.refund(min(demand.returned_milli, lent.unspent_milli), now_ms)
            del self._lent[demand.slice_id]
        elif not lent.unspent_milli:
            del self._lent[demand.slice_id]

    def record_demand(
        self, borrower: str, seq: int, wanted_milli: int, asked_milli: int, now_ms: int
    ) -> bool:
        """Record a host's demand.

        :param wanted_milli: milli-tokens that requests at the host are waiting for.
        :param asked_milli: milli-tokens requested since the previous report.
        :returns: ``False`` if a newer report has been processed already.
        """
        borrower_demand = self._borrower_demands.get(borrower)
        if borrower_demand is None:
            borrower_demand = self._borrower_demands[borrower] = _BorrowerDemand(DemandRate(now_ms))
        if seq <= borrower_demand.seq:
            return False
        borrower_demand.seq = seq
        borrower_demand.rate.add(asked_milli, now_ms)
        unconfirmed_milli = self._unconfirmed_milli(borrower, now_ms)
        borrower_demand.waiting_milli = whole_tokens(wanted_milli - unconfirmed_milli)
        borrower_demand.waiting_until_ms = now_ms + MAX_WAIT_MS
        return True

    def grant(self, borrower: str, slice_id: int, now_ms: int) -> Slice:
        """Lend a host the tokens it waits for and, if enough are left, those it will need soon."""
        self._refill_and_expire(now_ms)
        borrower_demand = self._borrower_demands[borrower]
        claimed_milli = self._waiting_before_milli(borrower, now_ms)
        unclaimed_milli = self._bucket.level_milli(now_ms) - claimed_milli
        outstanding_room_milli = max_outstanding_milli(self._workspace) - self._outstanding_milli()
        available_milli = min(unclaimed_milli, outstanding_room_milli)
        for_waiting_milli = min(borrower_demand.waiting_milli, whole_tokens(available_milli))
        borrower_demand.waiting_milli -= for_waiting_milli
        retry_after_ms = 0
        ahead_milli = 0
        if borrower_demand.waiting_milli:
            retry_after_ms = self._limit_waiting(
                borrower_demand, unclaimed_milli - for_waiting_milli
            )
        else:
            ahead_milli = self._lend_ahead_milli(
                borrower, available_milli - for_waiting_milli, now_ms
            )
        amount_milli = for_waiting_milli + ahead_milli
        self._lend(borrower, slice_id, amount_milli, now_ms)
        lent_id = slice_id if amount_milli else 0
        return Slice(self._workspace.name, lent_id, amount_milli, self._lease_ms, retry_after_ms)

    def waiting_borrowers(self, now_ms: int) -> list[str]:
        """Return the hosts whose waiting requests can get tokens now, earliest deadline first."""
        self._drop_expired_waits(now_ms)
        level_milli = self.level_milli(now_ms)
        borrowers = []
        for borrower, borrower_demand in self._waiting_in_order():
            if level_milli < MILLI:
                break
            borrowers.append(borrower)
            level_milli -= borrower_demand.waiting_milli
        return borrowers

    def blocking_borrowers(self, now_ms: int) -> list[str]:
        """Return the hosts whose outstanding slices are the only reason that requests wait."""
        waiting = any(
            borrower_demand.waiting_milli for borrower_demand in self._borrower_demands.values()
        )
        if not waiting or self.level_milli(now_ms) < MILLI:
            return []
        return sorted({lent.borrower for lent in self._lent.values() if lent.borrower})

    def seq_of(self, borrower: str) -> int:
        """Return the number of the newest report processed from a host."""
        return self._borrower_demands[borrower].seq

    def _waiting_in_order(self) -> list[tuple[str, _BorrowerDemand]]:
        waiting = [item for item in self._borrower_demands.items() if item[1].waiting_milli]
        return sorted(waiting, key=lambda item: item[1].waiting_until_ms)

    def _waiting_before_milli(self, borrower: str, now_ms: int) -> int:
        self._drop_expired_waits(now_ms)
        own_ms = self._borrower_demands[borrower].waiting_until_ms
        return sum(
            borrower_demand.waiting_milli
            for name, borrower_demand in self._borrower_demands.items()
            if name != borrower and borrower_demand.waiting_until_ms < own_ms
        )

    def _drop_expired_waits(self, now_ms: int) -> None:
        for borrower_demand in self._borrower_demands.values():
            if borrower_demand.waiting_until_ms <= now_ms:
                borrower_demand.waiting_milli = 0

    def _limit_waiting(self, borrower_demand: _BorrowerDemand, level_milli: int) -> int:
        """Limit a host's waiting demand to the tokens available before its requests stop waiting.

        :returns: the time until the next token is refilled, in milliseconds; 0 if the level
            suffices and only the limit on outstanding tokens delays the grant.
        """
        due_milli = level_milli + MAX_WAIT_MS * self._workspace.rate_per_s
        is_enough = level_milli >= borrower_demand.waiting_milli
        borrower_demand.waiting_milli = min(borrower_demand.waiting_milli, whole_tokens(due_milli))
        if is_enough:
            return 0
        return max(1, self._refill_time_ms(max(0, MILLI - level_milli)))

    def _lend_ahead_milli(self, borrower: str, available_milli: int, now_ms: int) -> int:
        expected_milli = self._borrower_demands[borrower].rate.expected_milli(LENDING_HORIZON_MS)
        held_milli = sum(x.unspent_milli for x in self._lent.values() if x.borrower == borrower)
        lendable_milli = available_milli - available_milli // RESERVE_DIVISOR
        share_milli = round(lendable_milli * self._share(borrower))
        return whole_tokens(min(expected_milli - held_milli, share_milli))

    def _share(self, borrower: str) -> float:
        total = sum(
            borrower_demand.rate.per_s for borrower_demand in self._borrower_demands.values()
        )
        return self._borrower_demands[borrower].rate.per_s / total if total > 0 else 0.0

    def _unconfirmed_milli(self, borrower: str, now_ms: int) -> int:
        return sum(
            lent.amount_milli
            for lent in self._lent.values()
            if lent.borrower == borrower
            and not lent.confirmed
            and now_ms - lent.lent_ms < GRANT_CONFIRM_MS
        )

    def _lend(self, borrower: str, slice_id: int, amount_milli: int, now_ms: int) -> None:
        if not amount_milli:
            return
        self._bucket.take_up_to(amount_milli, now_ms)
        expires_ms = now_ms + self._lease_ms + LEASE_MARGIN_MS
        self._lent[slice_id] = _LentSlice(borrower, amount_milli, now_ms, expires_ms)

    def _refill_time_ms(self, amount_milli: int) -> int:
        return -(-amount_milli // max(1, self._workspace.rate_per_s))

    def _refill_and_expire(self, now_ms: int) -> None:
        """Refill within the burst, then remove the expired slices."""
        self._discard_excess(now_ms)
        expired = [key for key, lent in self._lent.items() if lent.expires_ms <= now_ms]
        for key in expired:
            del self._lent[key]

    def _discard_excess(self, now_ms: int) -> None:
        room_milli = max(0, self._workspace.burst * MILLI - self._outstanding_milli())
        excess_milli = self._bucket.level_milli(now_ms) - room_milli
        self._bucket.take_up_to(excess_milli, now_ms)

    def _outstanding_milli(self) -> int:
        return sum(lent.unspent_milli for lent in self._lent.values())


def max_outstanding_milli(workspace: Workspace) -> int:
    """Return the maximum milli-tokens that a home host may have outstanding at a time.

    This is half the burst, so that the next home host can refill the other half while it must
    assume that the first half is still outstanding.
    """
    return max(MILLI, whole_tokens(workspace.burst * MILLI // 2))


def _new_token_bucket(workspace: Workspace, level_milli: int, now_ms: int) -> TokenBucket:
    bucket = TokenBucket(workspace.rate_per_s, workspace.burst, now_ms)
    bucket.empty(now_ms)
    bucket.refund(level_milli, now_ms)
    return bucket
