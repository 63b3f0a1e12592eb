"""The other hosts as this host hears them.

A datagram may be late by any time, so the age of what it says is counted from this host's own
clock: a heartbeat that repeats the time of one of ours was sent after that time.
"""

from dataclasses import dataclass

from figcrank.protocol.heartbeats import NEVER_MS, Heartbeat

LIVE_MS = 1_200  # four heartbeats; single datagrams get lost
FORGET_MS = 15_000  # longer than any restart; a replaced host has another address by then
REMOVER_SHARE = 1 / 3  # of the hosts; the others can't be the two thirds that need no store
WATCHERS = 2  # hosts that read the store for all; one may fail unnoticed for a second


@dataclass(slots=True)
class Peer:
    """What is known of one other host.

    :param name: its name, empty until it was heard.
    :param address: ``(ip, port)`` of its heartbeats.
    :param heard_ms: when its last heartbeat arrived; ``NEVER_MS`` if none has.
    :param since_ms: a time after which its last heartbeat was sent, by this host's clock.
    :param beat: its last heartbeat, completed.
    :param needs_whole: whether its heartbeats leave out what this host never got.
    """

    name: str
    address: tuple[str, int]
    known_ms: int
    heard_ms: int = NEVER_MS
    since_ms: int = NEVER_MS
    beat: Heartbeat | None = None
    needs_whole: bool = False


class PeerTable:
    """All other hosts.

    :param host: this host's name.
    :param address: this host's own heartbeat address, which is never a peer.
    """

    def __init__(self, host: str, address: tuple[str, int]) -> None:
        self._host = host
        self._address = address
        self._peers: dict[tuple[str, int], Peer] = {}

    def register(self, name: str, address: tuple[str, int], now_ms: int) -> None:
        """Take in a host that a listing or another peer names."""
        if address == self._address or name == self._host:
            return
        known = self._peers.get(address)
        if known is None:
            self._peers[address] = Peer(name, address, now_ms)
        elif name and not known.name:
            known.name = name

    def receive(self, beat: Heartbeat, address: tuple[str, int], now_ms: int) -> Peer | None:
        """Take in a heartbeat; return its sender.

        ``None`` if it is older than the last one, or leaves out what this host never got; the
        sender learns the latter from the next heartbeat to it, which echoes nothing.
        """
        if beat.host == self._host or address == self._address:
            return None
        peer = self._peers.setdefault(address, Peer(beat.host, address, now_ms))
        last = peer.beat if peer.beat and peer.beat.boot_id == beat.boot_id else None
        if last and last.sent_ms > beat.sent_ms:
            return None
        if beat.partial and last is None:
            peer.needs_whole = True
            return None
        peer.needs_whole = False
        peer.name = beat.host
        peer.beat = beat.completed(last) if beat.partial else beat
        peer.heard_ms = now_ms
        if beat.echo_ms != NEVER_MS and beat.echo_ms <= now_ms:
            peer.since_ms = max(peer.since_ms, min(now_ms, beat.echo_ms + beat.echo_held_ms))
        return peer

    def silent(self, now_ms: int, for_ms: int = FORGET_MS) -> list[Peer]:
        """Return the hosts that have been silent too long to come back by themselves.

        They go on to count as hosts until the store says that they are gone: a host that is cut off
        from all others would else be a majority by itself.
        """
        return [
            peer
            for peer in self._peers.values()
            if now_ms - max(peer.heard_ms, peer.known_ms) > for_ms
        ]

    def may_remove(self, now_ms: int) -> bool:
        """Return whether this host hears enough others to find the silent ones gone."""
        return 1 + len(self.live(now_ms)) >= REMOVER_SHARE * (1 + len(self._peers))

    def remove(self, address: tuple[str, int]) -> Peer | None:
        """Drop a host that is gone; return it, ``None`` if it was unknown."""
        return self._peers.pop(address, None)

    def at(self, address: tuple[str, int]) -> Peer | None:
        """Return the host with an address, ``None`` if it is unknown."""
        return self._peers.get(address)

    def all(self) -> list[Peer]:
        """Return every known host."""
        return list(self._peers.values())

    def live(self, now_ms: int) -> list[Peer]:
        """Return the hosts that were heard lately."""
        return [peer for peer in self._peers.values() if self.is_live(peer, now_ms)]

    @staticmethod
    def is_live(peer: Peer, now_ms: int) -> bool:
        """Return whether a host was heard lately."""
        return peer.heard_ms != NEVER_MS and now_ms - peer.heard_ms <= LIVE_MS

    def majority_since_ms(self, now_ms: int) -> int:
        """Return the newest time since which a majority of hosts, this one included, was heard."""
        times = self._times(now_ms)
        return times[len(times) // 2]

    def two_thirds_since_ms(self, now_ms: int) -> int:
        """Return the newest time since which more than two thirds of the hosts were heard."""
        times = self._times(now_ms)
        return times[2 * len(times) // 3]

    def _times(self, now_ms: int) -> list[int]:
        others = (peer.since_ms for peer in self._peers.values())
        return sorted([now_ms, *others], reverse=True)

    def all_since_ms(self, now_ms: int) -> int:
        """Return the newest time since which every known host was heard."""
        return min((peer.since_ms for peer in self._peers.values()), default=now_ms)

    def store_confirmed_ms(self) -> int:
        """Return the newest time at which a peer had the primaries confirmed by the store."""
        times = [
            peer.since_ms - peer.beat.confirmed_age_ms
            for peer in self._peers.values()
            if peer.beat and peer.since_ms != NEVER_MS and peer.beat.confirmed_age_ms != NEVER_MS
        ]
        return max(times, default=NEVER_MS)

    def watchers(self, now_ms: int, self_fit: bool) -> list[str]:
        """Return the names of the hosts that read the store for all.

        :param self_fit: whether this host reaches the store and is not leaving.
        """
        fit = [
            peer.name
            for peer in self.live(now_ms)
            if peer.beat and peer.beat.store_ok and not peer.beat.leaving
        ]
        if self_fit:
            fit.append(self._host)
        return sorted(fit)[:WATCHERS]
