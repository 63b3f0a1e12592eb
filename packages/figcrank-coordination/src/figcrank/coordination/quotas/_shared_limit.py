"""One workspace's limit, shared by hosts that tell each other what they admitted.

Every host keeps the fleet's bucket: its own admissions and those that peers report are taken from
it. Between two reports a host admits at most its share of what the bucket holds; shares follow
demand and sum to one, so hosts that act at the same moment don't pass the limit together. A peer
that is silent is taken to spend its share in full, and a host that hears nobody lives on its own.
"""

from dataclasses import dataclass

DEMAND_DECAY_MS = 2_000.0  # shares follow a shift of callers between hosts within two seconds
DEMAND_FLOOR = 2.0  # a host without demand so far may admit the first operations of a newcomer
OVERDUE_MS = 450  # one and a half intervals between reports
MOST_GROWTH = 1.5  # of a host's share within one interval; a shift of callers takes four of them
GROWTH_FLOOR = 0.25  # of an equal share, so that a small share can grow as well
RETURNED_SHARE = 0.5  # of a returning host's share of the bucket, taken to be unspent
LEAST_SHARE = 0.001  # keeps a division defined where rounding leaves nothing
LEAST_ALLOWANCE = 3.0  # operations that may come to one host within one interval by chance
LEAST_ALLOWANCE_SHARE = 0.34  # of what the bucket holds; three hosts may act on it at once
HEADROOM_SHARE = 0.25  # of the operations that may pass a limit; the rest covers reports under way
START_SHARE = 0.5  # share of the burst after a start: a fleet that restarts grants no second burst


@dataclass(slots=True)
class _Peer:
    admitted: int
    asked: int
    reported_ms: int
    demand: float = 0.0
    share: float = 0.0
    reserved_share: float | None = None


class SharedLimit:
    """The bucket of one workspace as one host sees it.

    :param rate_per_s: operations a second, over all hosts.
    :param burst: operations that may come at once, over all hosts.
    :param headroom: operations by which any span of time may pass the limit.
    :param now_ms: time of creation.
    """

    def __init__(self, rate_per_s: float, burst: float, headroom: float, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._headroom = headroom
        self._burst = burst + HEADROOM_SHARE * headroom
        self._level = burst * START_SHARE
        self._allowance = 0.0
        self._updated_ms = now_ms
        self._peers: dict[str, _Peer] = {}
        self._demand = 0.0
        self._share = 1.0
        self._agreed = False
        self._active_before = 1.0
        self._admitted_before = 0
        self.admitted = 0
        self.asked = 0

    def configure(self, rate_per_s: float, burst: float) -> None:
        """Change the limit; what the bucket holds is cut to a smaller burst."""
        self._rate_per_s = rate_per_s
        self._burst = burst + HEADROOM_SHARE * self._headroom
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
        rate_per_s = self._rate_per_s * self._share
        missing = max(0.0, 1.0 - self._allowance) + max(0.0, -self._level * self._share)
        return int(1_000 * missing / max(0.1, rate_per_s)) + 1

    def explain(self) -> dict[str, float]:
        """Return what the last decision was made on."""
        return {
            "rate_per_s": self._rate_per_s,
            "level": round(self._level, 1),
            "allowance": round(self._allowance, 2),
            "share": round(self._share, 3),
            "silent_share": round(1.0 - self._active_share(), 3),
        }

    def report(self, peer: str, admitted: int, asked: int, now_ms: int) -> None:
        """Take in the cumulative counts of a peer.

        :param peer: name of the peer and of its boot.
        """
        known = self._peers.get(peer)
        if known is None:
            self._peers[peer] = _Peer(admitted, asked, now_ms)
            return
        if known.reserved_share is None:
            self._level -= admitted - known.admitted
        else:
            known.reserved_share = None  # what it spent while silent came from its own share
        known.demand += max(0, asked - known.asked)
        known.admitted = admitted
        known.reported_ms = now_ms
        known.asked = max(known.asked, asked)

    def set_silent(self, peer: str) -> None:
        """Note that a peer's reports have stopped coming."""
        known = self._peers.get(peer)
        if known is not None and known.reserved_share is None:
            # Both sides of a partition last agreed on the shares as they are now.
            known.reserved_share = known.share

    def peers(self) -> set[str]:
        """Return the peers that have reported."""
        return set(self._peers)

    def forget(self, peer: str) -> None:
        """Drop a peer that is gone."""
        self._peers.pop(peer, None)

    def share_out(self, now_ms: int) -> None:
        """Begin a new interval: take this host's share of what the bucket holds."""
        self._refill(now_ms)
        self._agree_on_shares(now_ms)
        active_share = self._active_share()
        self._give_up_shares(active_share)
        free = max(0.0, self._level - self._unreported(now_ms))
        self._allowance = free * self._share / active_share
        if self._level >= 1.0:
            # A small limit's share is below one operation; the next reports correct the sum.
            least = max(1.0, min(LEAST_ALLOWANCE, self._level * LEAST_ALLOWANCE_SHARE))
            self._allowance = max(self._allowance, least)

    def _give_up_shares(self, active_share: float) -> None:
        """Leave to hosts that fell silent their shares of the bucket, until they return."""
        ratio = active_share / self._active_before
        spent = self.admitted - self._admitted_before
        self._active_before = active_share
        self._admitted_before = self.admitted
        if ratio < 1.0 and self._level > 0.0:
            # The shares are of what there was before this host spent of its own.
            self._level = ratio * (self._level + spent) - spent
        elif ratio > 1.0 and self._level > 0.0:
            # Hosts that return bring what they left of their shares, which nobody has counted.
            self._level *= 1.0 + RETURNED_SHARE * (ratio - 1.0)
        self._level = min(self._level, self._burst * active_share)

    def _agree_on_shares(self, now_ms: int) -> None:
        """Take shares from demand as it is now, unless this host may just be cut off.

        It would see its own demand grow and all others' fade, and spend what they spend as well.
        """
        heard = [peer for peer in self._peers.values() if peer.reserved_share is None]
        if 2 * len(heard) < len(self._peers):
            return
        if any(now_ms - peer.reported_ms > OVERDUE_MS for peer in heard):
            return
        total = sum(peer.demand + DEMAND_FLOOR for peer in heard) + self._demand + DEMAND_FLOOR
        active_share = self._active_share()
        wanted = active_share * (self._demand + DEMAND_FLOOR) / total
        if self._agreed:
            wanted = min(wanted, MOST_GROWTH * self._share + GROWTH_FLOOR / (1 + len(heard)))
        self._agreed = True
        self._share = wanted
        for peer in heard:
            peer.share = active_share * (peer.demand + DEMAND_FLOOR) / total

    def _unreported(self, now_ms: int) -> float:
        """Return what the heard peers are expected to have spent since their last reports."""
        total = 0.0
        for peer in self._peers.values():
            if peer.reserved_share is not None:
                continue
            most = peer.share / self._active_share() * max(0.0, self._level)
            age_ms = now_ms - peer.reported_ms
            expected = peer.demand / DEMAND_DECAY_MS * age_ms
            total += most if age_ms > OVERDUE_MS else min(expected, most)
        return total

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
            own = grown * self._share
            self._allowance = min(self._allowance + own, self._level)
        self._decay(elapsed_ms)

    def _decay(self, elapsed_ms: int) -> None:
        kept = max(0.0, 1.0 - elapsed_ms / DEMAND_DECAY_MS)
        self._demand *= kept
        for peer in self._peers.values():
            peer.demand *= kept

    def _active_share(self) -> float:
        reserved = sum(peer.reserved_share or 0.0 for peer in self._peers.values())
        return max(LEAST_SHARE, 1.0 - reserved)
