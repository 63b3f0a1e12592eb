"""One workspace's limit, shared by hosts that tell each other what they admitted.

Every host keeps the fleet's bucket: its own admissions and those that peers report are taken from
it. Between two reports a host admits at most its share of what the bucket holds; shares follow
demand and sum to one, so hosts that act at the same moment don't pass the limit together. A peer
that is silent is taken to spend its share in full, and a host that hears nobody lives on its own.
"""

from dataclasses import dataclass

DEMAND_DECAY_MS = 2_000.0  # shares follow a shift of callers between hosts within two seconds
DEMAND_FLOOR = 2.0  # a host without demand so far may admit the first operations of a newcomer
LEAST_ALLOWANCE = 1.0  # a small limit's share is below one operation; the next report corrects it
TOLERANCE_SHARE = 0.5  # of what may pass above a limit; the rest covers reports under way
START_SHARE = 0.5  # share of the burst after a start: a fleet that restarts grants no second burst


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far the operations of a span of time may pass a limit.

    :param window_s: length of the span.
    :param overage: share of the limit over that span.
    :param headroom: operations besides.
    """

    window_s: float = 5.0
    overage: float = 0.0
    headroom: float = 0.0

    def cushion(self, rate_per_s: float, burst: float) -> float:
        """Return how many operations a bucket may hold above its burst."""
        tolerated = self.overage * (rate_per_s * self.window_s + burst) + self.headroom
        return TOLERANCE_SHARE * tolerated


@dataclass(slots=True)
class _Peer:
    admitted: int
    asked: int
    demand: float = 0.0
    silent: bool = False


class SharedLimit:
    """The bucket of one workspace as one host sees it.

    :param rate_per_s: operations a second, over all hosts.
    :param burst: operations that may come at once, over all hosts.
    :param now_ms: time of creation.
    """

    def __init__(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst * START_SHARE
        self._allowance = 0.0
        self._updated_ms = now_ms
        self._peers: dict[str, _Peer] = {}
        self._demand = 0.0
        self.admitted = 0
        self.asked = 0

    def configure(self, rate_per_s: float, burst: float) -> None:
        """Change the limit; what the bucket holds is cut to a smaller burst."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)
        self._allowance = min(self._allowance, burst)

    def admit(self, now_ms: int) -> bool:
        """Return whether one more operation may run, and count it if so."""
        self.asked += 1
        self._demand += 1.0
        self._refill(now_ms)
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        self._level -= 1.0
        self.admitted += 1
        return True

    def give_back(self) -> None:
        """Take back the count of an operation that was admitted and reached no server."""
        self._allowance += 1.0
        self._level += 1.0
        self.admitted -= 1

    def retry_after_ms(self) -> int:
        """Return when this host is expected to admit the next operation."""
        rate_per_s = self._rate_per_s * self._own_share()
        missing = max(0.0, 1.0 - self._allowance) + max(0.0, -self._level * self._own_share())
        return int(1_000 * missing / max(0.1, rate_per_s)) + 1

    def report(self, peer: str, admitted: int, asked: int) -> None:
        """Take in the cumulative counts of a peer.

        :param peer: name of the peer and of its boot.
        """
        known = self._peers.get(peer)
        if known is None:
            self._peers[peer] = _Peer(admitted, asked)
            return
        self._level -= admitted - known.admitted
        known.demand += max(0, asked - known.asked)
        known.admitted = admitted
        known.asked = max(known.asked, asked)

    def set_silent(self, peer: str, silent: bool) -> None:
        """Note whether a peer's reports have stopped coming."""
        if peer in self._peers:
            self._peers[peer].silent = silent

    def forget(self, peer: str) -> None:
        """Drop a peer that is gone."""
        self._peers.pop(peer, None)

    def share_out(self, now_ms: int) -> None:
        """Begin a new interval: take this host's share of what the bucket holds."""
        self._refill(now_ms)
        active_share = self._active_share()
        self._level = min(self._level, self._burst * active_share)
        self._allowance = max(0.0, self._level) * self._own_share() / active_share
        if self._level >= LEAST_ALLOWANCE:
            self._allowance = max(self._allowance, LEAST_ALLOWANCE)

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        grown = self._rate_per_s * elapsed_ms / 1_000
        active_share = self._active_share()
        room = self._burst * active_share - self._level
        self._level += max(0.0, min(grown * active_share, room))
        if self._level > 0.0:
            own = grown * self._own_share()
            self._allowance = min(self._allowance + own, self._level)
        self._decay(elapsed_ms)

    def _decay(self, elapsed_ms: int) -> None:
        kept = max(0.0, 1.0 - elapsed_ms / DEMAND_DECAY_MS)
        self._demand *= kept
        for peer in self._peers.values():
            if not peer.silent:
                peer.demand *= kept

    def _total(self) -> float:
        others = sum(peer.demand + DEMAND_FLOOR for peer in self._peers.values())
        return self._demand + DEMAND_FLOOR + others

    def _own_share(self) -> float:
        return (self._demand + DEMAND_FLOOR) / self._total()

    def _active_share(self) -> float:
        silent = sum(peer.demand + DEMAND_FLOOR for peer in self._peers.values() if peer.silent)
        return 1.0 - silent / self._total()
