"""Client for the platform: a fleet-wide read budget, back-off and a bound on calls in flight."""

from collections.abc import Callable

from figcrank.coordination._outbox import OnPlatformReply, Outbox
from figcrank.coordination.membership import Membership
from figcrank.coordination.store._breaker import CircuitBreaker
from figcrank.protocol import PlatformCall, PlatformFailed, PlatformResult
from figcrank.state import RandomSource

FLEET_READS_PER_S = 2_000
MAX_IN_FLIGHT = 4
MIN_READ_INTERVAL_MS = 50
# Share of the fleet's read budget reserved for the watchers of all cells.
WATCHER_SHARE_PERCENT = 80
WATCHERS_PER_CELL = 2


class PlatformClient:
    """Makes platform calls for one host.

    Reads are spaced so that all hosts together stay within the fleet's read budget, and are
    refused during the back-off after failures. Edits are not spaced but count as calls in flight.

    :param outbox: sends the calls.
    :param membership: provides the number of hosts and cells that share the budget.
    :param random: random source for jitter.
    """

    def __init__(self, outbox: Outbox, membership: Membership, random: RandomSource) -> None:
        self._outbox = outbox
        self._membership = membership
        self._breaker = CircuitBreaker(random)
        self._in_flight = 0
        self._next_read_ms = 0
        self._last_call_answered = False

    @property
    def is_reachable(self) -> bool:
        """Return whether the latest call to finish was answered."""
        return self._last_call_answered

    @property
    def has_failed(self) -> bool:
        """Return whether the latest call to finish failed."""
        return self._breaker.has_failed

    def read(
        self,
        call: PlatformCall,
        timeout_ms: int,
        now_ms: int,
        on_reply: OnPlatformReply,
        as_watcher: bool = False,
    ) -> bool:
        """Make a background read if the budget, the back-off and the calls in flight permit it.

        :param as_watcher: whether the read counts against the watchers' share of the budget.
        :returns: whether the call was made; if not, ``on_reply`` is never called.
        """
        if now_ms < self._next_read_ms or not self._breaker.allows(now_ms):
            return False
        if self._in_flight >= MAX_IN_FLIGHT:
            return False
        self._next_read_ms = now_ms + self.read_interval_ms(as_watcher)
        self._call(call, timeout_ms, now_ms, on_reply)
        return True

    def write(
        self, call: PlatformCall, timeout_ms: int, now_ms: int, on_reply: OnPlatformReply
    ) -> bool:
        """Make a call for an operator's edit unless too many calls are in flight.

        :returns: whether the call was made; if not, ``on_reply`` is never called.
        """
        if self._in_flight >= MAX_IN_FLIGHT:
            return False
        self._call(call, timeout_ms, now_ms, on_reply)
        return True

    def read_interval_ms(self, as_watcher: bool) -> int:
        """Return the minimum time between two reads of this host, in milliseconds."""
        cells = 1 + len({contact.cell for contact in self._membership.contacts()})
        percent = WATCHER_SHARE_PERCENT if as_watcher else 100 - WATCHER_SHARE_PERCENT
        cell_size = 1 + len(self._membership.peers())
        reading_hosts = cells * (WATCHERS_PER_CELL if as_watcher else cell_size)
        return max(
            MIN_READ_INTERVAL_MS, reading_hosts * 1_000 * 100 // (FLEET_READS_PER_S * percent)
        )

    def _call(
        self, call: PlatformCall, timeout_ms: int, now_ms: int, on_reply: OnPlatformReply
    ) -> None:
        self._in_flight += 1
        self._breaker.on_start(now_ms)
        self._outbox.call_platform(call, timeout_ms, now_ms, self._track(on_reply))

    def _track(self, on_reply: OnPlatformReply) -> Callable[[PlatformResult, int], None]:
        def replied(result: PlatformResult, now_ms: int) -> None:
            self._in_flight -= 1
            self._last_call_answered = not isinstance(result, PlatformFailed)
            if self._last_call_answered:
                self._breaker.on_success()
            else:
                self._breaker.on_failure(now_ms)
            on_reply(result, now_ms)

        return replied
