"""Rate limit of one workspace, shared by hosts that report their admissions to each other.

Every host keeps a copy of the fleet's token bucket and subtracts its own admissions and those that
peers report. Between two reports a host admits at most its share of the bucket's level. Shares
follow demand and sum to one, so that hosts that admit at the same time do not exceed the limit
together. A host assumes that a silent peer spends its whole share, and a host that receives no
reports admits only its own share.
"""

from dataclasses import dataclass

DEMAND_DECAY_MS = 2_000.0  # shares follow callers that move between hosts within two seconds
DEMAND_FLOOR = 2.0  # lets a host without previous demand admit the first operations of a new caller
OVERDUE_MS = 450  # 1.5 report intervals
MAX_SHARE_GROWTH = 1.5  # factor per interval; a shift of callers takes four intervals
SHARE_GROWTH_STEP = 0.25  # of an equal share, added per interval; lets a small share grow
UNSPENT_FRACTION = 0.5  # of a returning host's share; counted as unspent
MIN_SHARE = 0.001  # avoids a division by zero after rounding
MIN_ALLOWANCE = 3.0  # operations that may reach one host within one interval by chance
MIN_ALLOWANCE_FRACTION = 0.34  # of the level; three hosts may use it at the same time
HEADROOM_FRACTION = 0.25  # of the headroom, added to the burst; the rest covers reports in flight
# Of the burst; at start, so that a restarted fleet does not admit a second burst.
START_LEVEL_FRACTION = 0.5


@dataclass(slots=True)
class _Peer:
    """Counts and share of one peer.

    :param admitted: operations that the peer has admitted, from its latest report.
    :param asked: operations that callers have requested at the peer, from its latest report.
    :param reported_ms: time of the latest report.
    :param demand: decayed number of requested operations.
    :param share: the peer's share of the bucket.
    :param reserved_share: share that is left to a silent peer; ``None`` while it reports.
    """

    admitted: int
    asked: int
    reported_ms: int
    demand: float = 0.0
    share: float = 0.0
    reserved_share: float | None = None


class SharedLimit:
    """One host's copy of the token bucket of a workspace.

    :param rate_per_s: operations per second, over all hosts.
    :param burst: operations that may be admitted at once, over all hosts.
    :param headroom: operations by which admissions may exceed the limit in any period.
    :param now_ms: time of creation.
    """

    def __init__(self, rate_per_s: float, burst: float, headroom: float, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._headroom = headroom
        self._burst = burst + HEADROOM_FRACTION * headroom
        self._level = burst * START_LEVEL_FRACTION
        self._allowance = 0.0
        self._updated_ms = now_ms
        self._peers: dict[str, _Peer] = {}
        self._demand = 0.0
        self._share = 1.0
        self._has_shares = False
        self._previous_unreserved_share = 1.0
        self._previous_admitted = 0
        self.admitted = 0
        self.asked = 0

    def configure(self, rate_per_s: float, burst: float) -> None:
        """Change the limit; the level is reduced to a smaller burst."""
        self._rate_per_s = rate_per_s
        self._burst = burst + HEADROOM_FRACTION * self._headroom
        self._level = min(self._level, burst)
        self._allowance = min(self._allowance, burst)

    def admit(self, now_ms: int) -> bool:
        """Admit one operation if the allowance permits it; return whether it was admitted."""
        self.asked += 1
        self._demand += 1.0
        self._refill(now_ms)
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        self._level -= 1.0
        self.admitted += 1
        return True

    def refund(self) -> None:
        """Refund an admitted operation that did not reach a server."""
        self._allowance += 1.0
        self._level += 1.0
        self.admitted -= 1

    def is_wrongful(self, now_ms: int) -> bool:
        """Return whether a refusal now is due to this host's share and not to the limit.

        It is if the bucket of all hosts has a token left, as far as this host knows. What peers
        have not reported yet counts as far as it is expected, and the shares of silent peers count
        as spent.
        """
        self._refill(now_ms)
        return self._level - self._expected_unreported(now_ms) >= 1.0

    def retry_after_ms(self) -> int:
        """Return the time until this host is expected to admit the next operation."""
        rate_per_s = self._rate_per_s * self._share
        missing = max(0.0, 1.0 - self._allowance) + max(0.0, -self._level * self._share)
        return int(1_000 * missing / max(0.1, rate_per_s)) + 1

    def explain(self) -> dict[str, float]:
        """Return the values that the latest decision was based on."""
        return {
            "rate_per_s": self._rate_per_s,
            "level": round(self._level, 1),
            "allowance": round(self._allowance, 2),
            "share": round(self._share, 3),
            "silent_share": round(1.0 - self._unreserved_share(), 3),
        }

    def report(self, peer: str, admitted: int, asked: int, now_ms: int) -> None:
        """Process the cumulative counts of a peer.

        :param peer: identifier of the peer process; different after every restart.
        :param admitted: operations that the peer has admitted since its start.
        :param asked: operations that callers have requested at the peer since its start.
        """
        peer_state = self._peers.get(peer)
        if peer_state is None:
            self._peers[peer] = _Peer(admitted, asked, now_ms)
            return
        if peer_state.reserved_share is None:
            self._level -= admitted - peer_state.admitted
        else:
            peer_state.reserved_share = None  # covered what the peer spent while silent
        peer_state.demand += max(0, asked - peer_state.asked)
        peer_state.admitted = admitted
        peer_state.reported_ms = now_ms
        peer_state.asked = max(peer_state.asked, asked)

    def set_silent(self, peer: str) -> None:
        """Mark a peer as silent, because its reports have stopped."""
        peer_state = self._peers.get(peer)
        if peer_state is not None and peer_state.reserved_share is None:
            # Both sides of a partition use the shares from before it.
            peer_state.reserved_share = peer_state.share

    def peers(self) -> set[str]:
        """Return the peers that have sent reports."""
        return set(self._peers)

    def forget(self, peer: str) -> None:
        """Remove a peer that no longer exists."""
        self._peers.pop(peer, None)

    def start_interval(self, now_ms: int) -> None:
        """Start a new interval and set the allowance to this host's share of the level."""
        self._refill(now_ms)
        self._update_shares(now_ms)
        unreserved_share = self._unreserved_share()
        self._reserve_silent_shares(unreserved_share)
        free = max(0.0, self._level - self._expected_unreported(now_ms))
        self._allowance = free * self._share / unreserved_share
        if self._level >= 1.0:
            # With a small limit a share may be below one operation. If the hosts together admit too
            # much, the next reports correct the level.
            min_allowance = max(1.0, min(MIN_ALLOWANCE, self._level * MIN_ALLOWANCE_FRACTION))
            self._allowance = max(self._allowance, min_allowance)

    def _reserve_silent_shares(self, unreserved_share: float) -> None:
        """Remove the shares of silent hosts from the level until those hosts report again."""
        ratio = unreserved_share / self._previous_unreserved_share
        spent = self.admitted - self._previous_admitted
        self._previous_unreserved_share = unreserved_share
        self._previous_admitted = self.admitted
        if ratio < 1.0 and self._level > 0.0:
            # The shares refer to the level before this host's own spending.
            self._level = ratio * (self._level + spent) - spent
        elif ratio > 1.0 and self._level > 0.0:
            # Part of the share of a host that reports again is assumed to be unspent and is added
            # back, since no host has counted it.
            self._level *= 1.0 + UNSPENT_FRACTION * (ratio - 1.0)
        self._level = min(self._level, self._burst * unreserved_share)

    def _update_shares(self, now_ms: int) -> None:
        """Compute the shares from the current demand, unless this host may be partitioned.

        A partitioned host would see its own demand grow relative to that of its peers, and would
        spend their shares as well.
        """
        reporting = [peer for peer in self._peers.values() if peer.reserved_share is None]
        if 2 * len(reporting) < len(self._peers):
            return
        if any(now_ms - peer.reported_ms > OVERDUE_MS for peer in reporting):
            return
        total = sum(peer.demand + DEMAND_FLOOR for peer in reporting) + self._demand + DEMAND_FLOOR
        unreserved_share = self._unreserved_share()
        wanted = unreserved_share * (self._demand + DEMAND_FLOOR) / total
        if self._has_shares:
            wanted = min(
                wanted, MAX_SHARE_GROWTH * self._share + SHARE_GROWTH_STEP / (1 + len(reporting))
            )
        self._has_shares = True
        self._share = wanted
        for peer in reporting:
            peer.share = unreserved_share * (peer.demand + DEMAND_FLOOR) / total

    def _expected_unreported(self, now_ms: int) -> float:
        """Return what reporting peers are expected to have spent since their latest reports."""
        total = 0.0
        for peer in self._peers.values():
            if peer.reserved_share is not None:
                continue
            max_spent = peer.share / self._unreserved_share() * max(0.0, self._level)
            age_ms = now_ms - peer.reported_ms
            expected = peer.demand / DEMAND_DECAY_MS * age_ms
            total += max_spent if age_ms > OVERDUE_MS else min(expected, max_spent)
        return total

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        refilled = self._rate_per_s * elapsed_ms / 1_000
        unreserved_share = self._unreserved_share()
        room = self._burst * unreserved_share - self._level
        self._level += max(0.0, min(refilled * unreserved_share, room))
        if self._level > 0.0:
            own = refilled * self._share
            self._allowance = min(self._allowance + own, self._level)
        self._decay(elapsed_ms)

    def _decay(self, elapsed_ms: int) -> None:
        kept = max(0.0, 1.0 - elapsed_ms / DEMAND_DECAY_MS)
        self._demand *= kept
        for peer in self._peers.values():
            peer.demand *= kept

    def _unreserved_share(self) -> float:
        reserved = sum(peer.reserved_share or 0.0 for peer in self._peers.values())
        return max(MIN_SHARE, 1.0 - reserved)
