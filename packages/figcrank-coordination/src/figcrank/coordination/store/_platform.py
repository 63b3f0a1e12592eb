"""How this host calls the platform: within a budget, with back-off, never piling up."""

from collections.abc import Callable

from figcrank.coordination._port import OnPlatform, Port
from figcrank.coordination.membership import Membership
from figcrank.coordination.store._breaker import CircuitBreaker
from figcrank.protocol import PlatformCall, PlatformFailed, PlatformResult
from figcrank.state import RandomSource

FLEET_READS_PER_S = 2_000
MAX_IN_FLIGHT = 4
MIN_PACE_MS = 50
# Share of the fleet's reads that is kept for the watchers of all cells.
WATCHERS_SHARE_PERCENT = 80
WATCHERS_PER_CELL = 2


class PlatformClient:
    """Makes platform calls for one host.

    Reads are paced so that all hosts together stay within the fleet's budget, and wait out the
    back-off after failures. Edits are not paced but count as calls in flight.

    :param port: way out of the core.
    :param membership: tells how many hosts and cells share the budget.
    :param random: random source for jitter.
    """

    def __init__(self, port: Port, membership: Membership, random: RandomSource) -> None:
        self._port = port
        self._membership = membership
        self._breaker = CircuitBreaker(random)
        self._in_flight = 0
        self._next_read_ms = 0
        self._last_answered = False

    @property
    def is_reachable(self) -> bool:
        """Return whether the newest call was answered."""
        return self._last_answered

    @property
    def has_failed(self) -> bool:
        """Return whether the newest call failed."""
        return self._breaker.has_failed

    def read(
        self,
        call: PlatformCall,
        timeout_ms: int,
        now_ms: int,
        on_reply: OnPlatform,
        as_watcher: bool = False,
    ) -> bool:
        """Make a background read if budget, back-off and calls in flight permit.

        :param as_watcher: whether to take it from the watchers' share of the budget.
        :returns: whether the call was made; if not, ``on_reply`` is never called.
        """
        if now_ms < self._next_read_ms or not self._breaker.allows(now_ms):
            return False
        if self._in_flight >= MAX_IN_FLIGHT:
            return False
        self._next_read_ms = now_ms + self.pace_ms(as_watcher)
        self._call(call, timeout_ms, now_ms, on_reply)
        return True

    def write(self, call: PlatformCall, timeout_ms: int, now_ms: int, on_reply: OnPlatform) -> bool:
        """Make a call for an operator's edit unless too many calls are in flight.

        :returns: whether the call was made; if not, ``on_reply`` is never called.
        """
        if self._in_flight >= MAX_IN_FLIGHT:
            return False
        self._call(call, timeout_ms, now_ms, on_reply)
        return True

    def pace_ms(self, as_watcher: bool) -> int:
        """Return the least time between two reads of this host, in milliseconds."""
        cells = 1 + len({contact.cell for contact in self._membership.contacts()})
        percent = WATCHERS_SHARE_PERCENT if as_watcher else 100 - WATCHERS_SHARE_PERCENT
        cell_size = 1 + len(self._membership.peers())
        callers = cells * (WATCHERS_PER_CELL if as_watcher else cell_size)
        return max(MIN_PACE_MS, callers * 1_000 * 100 // (FLEET_READS_PER_S * percent))

    def _call(self, call: PlatformCall, timeout_ms: int, now_ms: int, on_reply: OnPlatform) -> None:
        self._in_flight += 1
        self._breaker.on_call(now_ms)
        self._port.call_platform(call, timeout_ms, now_ms, self._noting(on_reply))

    def _noting(self, on_reply: OnPlatform) -> Callable[[PlatformResult, int], None]:
        def replied(result: PlatformResult, now_ms: int) -> None:
            self._in_flight -= 1
            self._last_answered = not isinstance(result, PlatformFailed)
            if self._last_answered:
                self._breaker.on_success()
            else:
                self._breaker.on_failure(now_ms)
            on_reply(result, now_ms)

        return replied
