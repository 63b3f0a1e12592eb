"""Tokens of one workspace that this host holds, and whom it has given its vote to."""

from dataclasses import dataclass

from figcrank.coordination.limits._limit_timings import SILENCE_MS
from figcrank.protocol import Demand, Slice
from figcrank.state import MILLI

# A slice that is not used up by now is given back, so that no idle host holds tokens.
RETURN_AFTER_MS = 150
_NO_VOTE = "*"
# Longer freedom is of no use to a home.
MAX_FREE_MS = 600_000


@dataclass(slots=True)
class _Held:
    """A slice of this host.

    :param expires_ms: end of the lease, counted from when the report was sent.
    :param closed_seq: report that first said that nothing more is spent of it, 0 if none did.
    """

    slice_id: int
    amount_milli: int
    received_ms: int
    expires_ms: int
    spent_milli: int = 0
    returned_milli: int = 0
    closed_seq: int = 0

    @property
    def left_milli(self) -> int:
        return self.amount_milli - self.spent_milli - self.returned_milli


class Purse:
    """The slices of one workspace at this host.

    Slices are accepted only from the host that this host believes to be home. With a change of
    home they are dropped at once; what they held is lost until the lender's count of it expires.
    """

    def __init__(self, now_ms: int) -> None:
        self.home = ""
        self._started_ms = now_ms
        self._held: list[_Held] = []
        self._seen: dict[tuple[str, int], int] = {}
        self._voted_ms: dict[str, int] = {}

    def move_to(self, home: str) -> bool:
        """Take ``home`` as the workspace's home; return whether that is a change."""
        if home == self.home:
            return False
        self.home = home
        self._held.clear()
        return True

    def add(self, granted: Slice, expires_ms: int, now_ms: int) -> bool:
        """Take a slice of the current home; return ``False`` for a late or repeated one."""
        key = (self.home, granted.slice_id)
        if granted.amount_milli <= 0 or expires_ms <= now_ms or key in self._seen:
            return False
        self._seen[key] = expires_ms
        self._held.append(_Held(granted.slice_id, granted.amount_milli, now_ms, expires_ms))
        return True

    def spend(self, now_ms: int) -> bool:
        """Spend one token, of the slice that expires first; return ``False`` if there is none."""
        for held in self._held:
            if held.expires_ms > now_ms and held.left_milli >= MILLI:
                held.spent_milli += MILLI
                return True
        return False

    def held_milli(self, now_ms: int) -> int:
        """Return the milli-tokens that may be spent now."""
        return sum(held.left_milli for held in self._held if held.expires_ms > now_ms)

    def tick(self, now_ms: int) -> None:
        """Forget what has expired and give back what lies unused."""
        self._held = [held for held in self._held if held.expires_ms > now_ms]
        if self._seen and next(iter(self._seen.values())) <= now_ms:
            self._seen = {key: ms for key, ms in self._seen.items() if ms > now_ms}
        for held in self._held:
            if now_ms - held.received_ms >= RETURN_AFTER_MS:
                self._close(held)

    def close_all(self) -> None:
        """Give back every slice."""
        for held in self._held:
            self._close(held)

    def has_slices(self) -> bool:
        """Return whether there is anything to tell the home of."""
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

        The first entry carries what is wanted and this host's vote; each slice has an entry until
        the home has answered a report that called it used up or given back.

        :param gives_vote: whether the home answers, so that it gets this host's vote.
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
        """Forget the slices that report ``seq`` called used up or given back."""
        self._held = [
            held for held in self._held if not (held.closed_seq and held.closed_seq <= seq)
        ]

    def _entry(self, workspace: str, held: _Held, seq: int) -> Demand:
        if not held.left_milli and not held.closed_seq:
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

    def _close(self, held: _Held) -> None:
        held.returned_milli += held.left_milli

    def _previous_home(self, now_ms: int) -> str:
        """Return the other home that may count on this host's vote."""
        others = [
            name
            for name, ms in self._voted_ms.items()
            if name != self.home and now_ms - ms < SILENCE_MS
        ]
        if len(others) > 1:
            return _NO_VOTE
        return others[0] if others else ""

    def _free_ms(self, now_ms: int) -> int:
        """Return for how long no other home has been able to count on this host's vote."""
        given_ms = [ms for name, ms in self._voted_ms.items() if name != self.home]
        free_from_ms = max((ms + SILENCE_MS for ms in given_ms), default=self._started_ms)
        return min(MAX_FREE_MS, max(0, now_ms - free_from_ms))
