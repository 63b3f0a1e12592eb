"""Slices of one workspace that this host holds, and its votes for home hosts."""

from dataclasses import dataclass

from figcrank.coordination.limits._limit_timings import VOTE_SWITCH_DELAY_MS
from figcrank.protocol import Demand, Slice
from figcrank.state import MILLI

# Age at which the unspent tokens of a slice are returned, so that idle hosts hold no tokens.
RETURN_UNUSED_AFTER_MS = 150
_NO_VOTE = "*"
# Upper bound of the reported time without a valid vote for another home host; a longer time would
# make no difference to the home host.
MAX_FREE_MS = 600_000


@dataclass(slots=True)
class _HeldSlice:
    """A slice that this host holds.

    :param expires_ms: end of the lease, which starts when the report was sent.
    :param closed_seq: number of the first report that marked it as used up or returned, 0 if none.
    """

    slice_id: int
    amount_milli: int
    received_ms: int
    expires_ms: int
    spent_milli: int = 0
    returned_milli: int = 0
    closed_seq: int = 0

    @property
    def unspent_milli(self) -> int:
        return self.amount_milli - self.spent_milli - self.returned_milli


class HeldSlices:
    """The slices of one workspace at this host.

    Slices are accepted only from the current home host, as this host sees it. When the home
    changes, all slices are dropped; the lender counts their tokens as outstanding until the lease
    has expired.
    """

    def __init__(self, now_ms: int) -> None:
        self.home = ""
        self._started_ms = now_ms
        self._held: list[_HeldSlice] = []
        self._accepted: dict[tuple[str, int], int] = {}
        self._voted_ms: dict[str, int] = {}

    def set_home(self, home: str) -> bool:
        """Set the workspace's home host; return whether it has changed."""
        if home == self.home:
            return False
        self.home = home
        self._held.clear()
        return True

    def add(self, granted: Slice, expires_ms: int, now_ms: int) -> bool:
        """Add a slice from the current home host; return ``False`` if it is expired or repeated."""
        key = (self.home, granted.slice_id)
        if granted.amount_milli <= 0 or expires_ms <= now_ms or key in self._accepted:
            return False
        self._accepted[key] = expires_ms
        self._held.append(_HeldSlice(granted.slice_id, granted.amount_milli, now_ms, expires_ms))
        return True

    def spend(self, now_ms: int) -> bool:
        """Spend one token from the slice that expires first; return ``False`` if there is none."""
        for held in self._held:
            if held.expires_ms > now_ms and held.unspent_milli >= MILLI:
                held.spent_milli += MILLI
                return True
        return False

    def held_milli(self, now_ms: int) -> int:
        """Return the milli-tokens that may be spent now."""
        return sum(held.unspent_milli for held in self._held if held.expires_ms > now_ms)

    def tick(self, now_ms: int) -> None:
        """Drop expired slices and return unused tokens."""
        self._held = [held for held in self._held if held.expires_ms > now_ms]
        if self._accepted and next(iter(self._accepted.values())) <= now_ms:
            self._accepted = {key: ms for key, ms in self._accepted.items() if ms > now_ms}
        for held in self._held:
            if now_ms - held.received_ms >= RETURN_UNUSED_AFTER_MS:
                self._return_unspent(held)

    def return_all(self) -> None:
        """Return the unspent tokens of every slice."""
        for held in self._held:
            self._return_unspent(held)

    def has_slices(self) -> bool:
        """Return whether there are slices to report to the home host."""
        return bool(self._held)

    def demands(
        self,
        workspace: str,
        wanted_milli: int,
        asked_milli: int,
        seq: int,
        gives_vote: bool,
        now_ms: int,
    ) -> tuple[Demand, ...]:
        """Return the entries of report ``seq``.

        The first entry carries the demand and this host's vote. Each slice has an entry until the
        home host has answered a report that marked the slice as used up or returned.

        :param wanted_milli: milli-tokens that requests are waiting for.
        :param asked_milli: milli-tokens requested since the previous report.
        :param gives_vote: whether the home host answers reports and so gets this host's vote.
        """
        free_ms = self._free_ms(now_ms)
        previous = self._previous_home(now_ms) if gives_vote else _NO_VOTE
        if previous != _NO_VOTE:
            self._voted_ms[self.home] = now_ms
        first = Demand(
            workspace, wanted_milli, 0, 0, asked_milli, 0, previous_home=previous, free_ms=free_ms
        )
        return (first, *(self._entry(workspace, held, seq) for held in self._held))

    def acknowledge(self, seq: int) -> None:
        """Drop the slices that report ``seq`` marked as used up or returned."""
        self._held = [
            held for held in self._held if not (held.closed_seq and held.closed_seq <= seq)
        ]

    def _entry(self, workspace: str, held: _HeldSlice, seq: int) -> Demand:
        if not held.unspent_milli and not held.closed_seq:
            held.closed_seq = seq
        return Demand(
            workspace,
            0,
            held.returned_milli,
            held.slice_id,
            0,
            held.spent_milli,
            _NO_VOTE,
        )

    def _return_unspent(self, held: _HeldSlice) -> None:
        held.returned_milli += held.unspent_milli

    def _previous_home(self, now_ms: int) -> str:
        """Return the other home host that this host's vote is still valid for.

        :returns: its name, empty if there is none, or ``_NO_VOTE`` if there are several.
        """
        others = [
            name
            for name, ms in self._voted_ms.items()
            if name != self.home and now_ms - ms < VOTE_SWITCH_DELAY_MS
        ]
        if len(others) > 1:
            return _NO_VOTE
        return others[0] if others else ""

    def _free_ms(self, now_ms: int) -> int:
        """Return for how long this host has had no valid vote for another home host."""
        given_ms = [ms for name, ms in self._voted_ms.items() if name != self.home]
        free_from_ms = max((ms + VOTE_SWITCH_DELAY_MS for ms in given_ms), default=self._started_ms)
        return min(MAX_FREE_MS, max(0, now_ms - free_from_ms))
