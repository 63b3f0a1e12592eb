"""A workspace's token bucket at its home host, and what is lent from it.

Level plus lent and unspent tokens never exceed the burst, because refilling stops there. Only
refilling creates tokens, so what all hosts admit in any window is at most the tokens that existed
at its start, the burst, plus what was refilled during it, rate times its length.
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

# Lending ahead leaves this part of the bucket for hosts that need tokens at once.
RESERVE_DIVISOR = 4
# A grant that a host does not mention in its reports for this long has been lost.
GRANT_TRAVEL_MS = 40


@dataclass(slots=True)
class _Lent:
    """A slice that is out.

    :param spent_milli: part that its holder is known to have spent.
    :param mentioned: whether its holder has shown that it arrived.
    """

    holder: str
    amount_milli: int
    lent_ms: int
    expires_ms: int
    spent_milli: int = 0
    mentioned: bool = False

    @property
    def unspent_milli(self) -> int:
        return self.amount_milli - self.spent_milli


@dataclass(slots=True)
class _Borrower:
    """What the home knows of one host.

    :param seq: newest report taken.
    :param owed_milli: tokens that requests at the host are waiting for.
    :param owed_until_ms: time after which they no longer wait.
    """

    rate: DemandRate
    seq: int = 0
    owed_milli: int = 0
    owed_until_ms: int = 0


class HomeBucket:
    """Lends a workspace's tokens.

    :param workspace: name, rate and burst.
    :param lease_ms: lifetime of a slice.
    :param level_milli: milli-tokens to start with.
    :param now_ms: time of creation.
    """

    def __init__(self, workspace: Workspace, lease_ms: int, level_milli: int, now_ms: int) -> None:
        self._workspace = workspace
        self._lease_ms = lease_ms
        self._bucket = _bucket(workspace, level_milli, now_ms)
        self._lent: dict[int, _Lent] = {}
        self._borrowers: dict[str, _Borrower] = {}

    def change(self, workspace: Workspace, now_ms: int) -> None:
        """Take a new rate and burst over; tokens above the new burst are lost."""
        if workspace == self._workspace:
            return
        level_milli = self.level_milli(now_ms)
        self._workspace = workspace
        self._bucket = _bucket(workspace, level_milli, now_ms)
        self._trim(now_ms)

    def level_milli(self, now_ms: int) -> int:
        """Return the milli-tokens that may be lent."""
        self._settle(now_ms)
        return self._bucket.level_milli(now_ms)

    def lent_milli(self, now_ms: int) -> int:
        """Return the milli-tokens that are out and may still be spent."""
        self._settle(now_ms)
        return self._out_milli()

    def lent_ms(self, now_ms: int) -> int:
        """Return the time until the last slice has expired."""
        return max((lent.expires_ms - now_ms for lent in self._lent.values()), default=0)

    def count_as_lent(self, slice_id: int, amount_milli: int, expires_ms: int, now_ms: int) -> None:
        """Count tokens that a predecessor has lent as out until ``expires_ms``."""
        if amount_milli > 0:
            self._lent[slice_id] = _Lent("", amount_milli, now_ms, expires_ms)
        self._trim(now_ms)

    def take_spending(self, holder: str, demand: Demand, now_ms: int) -> None:
        """Take what a host says of one of its slices; repetitions change nothing."""
        self._settle(now_ms)
        lent = self._lent.get(demand.slice_id)
        if lent is None or lent.holder != holder:
            return
        lent.mentioned = True
        lent.spent_milli = min(lent.amount_milli, max(lent.spent_milli, demand.spent_milli))
        if demand.returned_milli > 0:
            self._bucket.give_back(min(demand.returned_milli, lent.unspent_milli), now_ms)
            del self._lent[demand.slice_id]
        elif not lent.unspent_milli:
            del self._lent[demand.slice_id]

    def take_demand(
        self, holder: str, seq: int, wanted_milli: int, asked_milli: int, now_ms: int
    ) -> bool:
        """Take a host's need; return ``False`` for a report that was overtaken by a newer one.

        :param wanted_milli: tokens that requests at the host are waiting for.
        :param asked_milli: tokens asked for since the report before.
        """
        borrower = self._borrowers.get(holder)
        if borrower is None:
            borrower = self._borrowers[holder] = _Borrower(DemandRate(now_ms))
        if seq <= borrower.seq:
            return False
        borrower.seq = seq
        borrower.rate.add(asked_milli, now_ms)
        on_way_milli = self._on_way_milli(holder, now_ms)
        borrower.owed_milli = whole_tokens(wanted_milli - on_way_milli)
        borrower.owed_until_ms = now_ms + MAX_WAIT_MS
        return True

    def grant(self, holder: str, slice_id: int, now_ms: int) -> Slice:
        """Lend a host what it waits for and, while there is enough, what it will need soon."""
        self._settle(now_ms)
        borrower = self._borrowers[holder]
        before_milli = self._owed_before_milli(holder, now_ms)
        level_milli = self._bucket.level_milli(now_ms) - before_milli
        lendable_milli = most_lent_milli(self._workspace) - self._out_milli()
        available_milli = min(level_milli, lendable_milli)
        urgent_milli = min(borrower.owed_milli, whole_tokens(available_milli))
        borrower.owed_milli -= urgent_milli
        retry_after_ms = 0
        ahead_milli = 0
        if borrower.owed_milli:
            retry_after_ms = self._limit_owed(borrower, level_milli - urgent_milli)
        else:
            ahead_milli = self._ahead_milli(holder, available_milli - urgent_milli, now_ms)
        amount_milli = urgent_milli + ahead_milli
        self._lend(holder, slice_id, amount_milli, now_ms)
        lent_id = slice_id if amount_milli else 0
        return Slice(self._workspace.name, lent_id, amount_milli, self._lease_ms, retry_after_ms)

    def owed_to(self, now_ms: int) -> list[str]:
        """Return the hosts that can be given tokens now that they wait for, longest wait first."""
        self._forget_late_claims(now_ms)
        level_milli = self.level_milli(now_ms)
        owed = []
        for holder, borrower in self._in_order():
            if level_milli < MILLI:
                break
            owed.append(holder)
            level_milli -= borrower.owed_milli
        return owed

    def blocking(self, now_ms: int) -> list[str]:
        """Return the hosts whose slices keep others waiting that the level would serve."""
        waiting = any(borrower.owed_milli for borrower in self._borrowers.values())
        if not waiting or self.level_milli(now_ms) < MILLI:
            return []
        return sorted({lent.holder for lent in self._lent.values() if lent.holder})

    def seq_of(self, holder: str) -> int:
        """Return the number of the newest report taken from a host."""
        return self._borrowers[holder].seq

    def _in_order(self) -> list[tuple[str, _Borrower]]:
        waiting = [item for item in self._borrowers.items() if item[1].owed_milli]
        return sorted(waiting, key=lambda item: item[1].owed_until_ms)

    def _owed_before_milli(self, holder: str, now_ms: int) -> int:
        self._forget_late_claims(now_ms)
        own_ms = self._borrowers[holder].owed_until_ms
        return sum(
            borrower.owed_milli
            for name, borrower in self._borrowers.items()
            if name != holder and borrower.owed_until_ms < own_ms
        )

    def _forget_late_claims(self, now_ms: int) -> None:
        for borrower in self._borrowers.values():
            if borrower.owed_until_ms <= now_ms:
                borrower.owed_milli = 0

    def _limit_owed(self, borrower: _Borrower, level_milli: int) -> int:
        """Owe a host no more than is earned before its requests stop waiting.

        Return the time until the next token is earned, 0 if all of it waits only for other
        slices to come back.
        """
        due_milli = level_milli + MAX_WAIT_MS * self._workspace.rate_per_s
        is_enough = level_milli >= borrower.owed_milli
        borrower.owed_milli = min(borrower.owed_milli, whole_tokens(due_milli))
        if is_enough:
            return 0
        return max(1, self._earned_in_ms(max(0, MILLI - level_milli)))

    def _ahead_milli(self, holder: str, available_milli: int, now_ms: int) -> int:
        expected_milli = self._borrowers[holder].rate.expected_milli(LENDING_HORIZON_MS)
        held_milli = sum(x.unspent_milli for x in self._lent.values() if x.holder == holder)
        lendable_milli = available_milli - available_milli // RESERVE_DIVISOR
        share_milli = round(lendable_milli * self._share(holder))
        return whole_tokens(min(expected_milli - held_milli, share_milli))

    def _share(self, holder: str) -> float:
        total = sum(borrower.rate.per_s for borrower in self._borrowers.values())
        return self._borrowers[holder].rate.per_s / total if total > 0 else 0.0

    def _on_way_milli(self, holder: str, now_ms: int) -> int:
        return sum(
            lent.amount_milli
            for lent in self._lent.values()
            if lent.holder == holder
            and not lent.mentioned
            and now_ms - lent.lent_ms < GRANT_TRAVEL_MS
        )

    def _lend(self, holder: str, slice_id: int, amount_milli: int, now_ms: int) -> None:
        if not amount_milli:
            return
        self._bucket.take_up_to(amount_milli, now_ms)
        expires_ms = now_ms + self._lease_ms + LEASE_MARGIN_MS
        self._lent[slice_id] = _Lent(holder, amount_milli, now_ms, expires_ms)

    def _earned_in_ms(self, amount_milli: int) -> int:
        return -(-amount_milli // max(1, self._workspace.rate_per_s))

    def _settle(self, now_ms: int) -> None:
        """Refill within the burst, then forget the slices that have expired."""
        self._trim(now_ms)
        expired = [key for key, lent in self._lent.items() if lent.expires_ms <= now_ms]
        for key in expired:
            del self._lent[key]

    def _trim(self, now_ms: int) -> None:
        room_milli = max(0, self._workspace.burst * MILLI - self._out_milli())
        excess_milli = self._bucket.level_milli(now_ms) - room_milli
        self._bucket.take_up_to(excess_milli, now_ms)

    def _out_milli(self) -> int:
        return sum(lent.unspent_milli for lent in self._lent.values())


def most_lent_milli(workspace: Workspace) -> int:
    """Return the most that a home lets be out at a time.

    Half the burst, so that a successor may fill the other half while it must assume that the
    first is still out.
    """
    return max(MILLI, whole_tokens(workspace.burst * MILLI // 2))


def _bucket(workspace: Workspace, level_milli: int, now_ms: int) -> TokenBucket:
    bucket = TokenBucket(workspace.rate_per_s, workspace.burst, now_ms)
    bucket.drain(now_ms)
    bucket.give_back(level_milli, now_ms)
    return bucket
