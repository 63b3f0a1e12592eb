"""The other hosts, as known from their heartbeats.

A datagram may be delayed by any time, so the age of its content is derived from this host's own
clock: a heartbeat that echoes the time of a heartbeat of this host was sent after that time.
"""

from dataclasses import dataclass

from figcrank.protocol.heartbeats import NEVER_MS, Heartbeat

LIVE_TIMEOUT_MS = 1_200  # four heartbeats, since single datagrams get lost
REMOVAL_CANDIDATE_MS = 15_000  # longer than any restart; a replacement host has a different address
# Share of the hosts that must be live for a host to remove silent ones. At most two thirds of the
# hosts are then unreachable, which is too few to keep a lease without the store.
REMOVAL_LIVE_SHARE = 1 / 3
# Hosts that read the store for all others; the failure of one may go unnoticed for a second.
STORE_READER_COUNT = 2


@dataclass(slots=True)
class Peer:
    """State of one other host.

    :param name: its name, empty until a heartbeat, the store or a peer provides it.
    :param address: ``(ip, port)`` of its heartbeats.
    :param known_ms: time at which this host first learned of it.
    :param received_ms: time at which its last heartbeat arrived; ``NEVER_MS`` if none has.
    :param sent_after_ms: lower bound, by this host's clock, of the time at which its last heartbeat
        was sent; ``NEVER_MS`` while unknown.
    :param heartbeat: its last heartbeat, with the omitted fields filled in.
    :param needs_all_fields: whether its heartbeats omit fields that this host never received.
    :param availability_zone: its availability zone, empty while unknown.
    :param reads_extension: whether it has shown, since its start, that it reads extensions.
    """

    name: str
    address: tuple[str, int]
    known_ms: int
    received_ms: int = NEVER_MS
    sent_after_ms: int = NEVER_MS
    heartbeat: Heartbeat | None = None
    needs_all_fields: bool = False
    availability_zone: str = ""
    reads_extension: bool = False


class PeerTable:
    """All known hosts except this one.

    :param host: this host's name.
    :param address: this host's own heartbeat address, which is never listed as a peer.
    :param availability_zone: availability zone of this host.
    """

    def __init__(self, host: str, address: tuple[str, int], availability_zone: str = "") -> None:
        self._host = host
        self._zone = availability_zone
        self._address = address
        self._peers: dict[tuple[str, int], Peer] = {}

    def register(
        self, name: str, address: tuple[str, int], now_ms: int, availability_zone: str = ""
    ) -> None:
        """Add a host that the store or a peer lists.

        A known host gets the name or availability zone that it lacks; this host itself is ignored.
        """
        if address == self._address or name == self._host:
            return
        known = self._peers.setdefault(address, Peer(name, address, now_ms))
        known.name = known.name or name
        known.availability_zone = known.availability_zone or availability_zone

    def receive(self, heartbeat: Heartbeat, address: tuple[str, int], now_ms: int) -> Peer | None:
        """Process a heartbeat and return its sender.

        :returns: ``None`` if the heartbeat is ignored: because it comes from this host itself, is
            older than the last one, or omits fields that this host never received. In the last
            case, the next heartbeat to the sender echoes nothing, so that it sends all fields.
        """
        if heartbeat.host == self._host or address == self._address:
            return None
        peer = self._peers.setdefault(address, Peer(heartbeat.host, address, now_ms))
        last = (
            peer.heartbeat
            if peer.heartbeat and peer.heartbeat.boot_id == heartbeat.boot_id
            else None
        )
        if last and last.sent_ms > heartbeat.sent_ms:
            return None
        if heartbeat.partial and last is None:
            peer.needs_all_fields = True
            return None
        peer.needs_all_fields = False
        peer.name = heartbeat.host
        peer.reads_extension = heartbeat.reads_extension or (
            last is not None and peer.reads_extension
        )
        peer.heartbeat = heartbeat.with_omitted_fields(last) if heartbeat.partial else heartbeat
        peer.received_ms = now_ms
        if heartbeat.echo_ms != NEVER_MS and heartbeat.echo_ms <= now_ms:
            peer.sent_after_ms = max(
                peer.sent_after_ms, min(now_ms, heartbeat.echo_ms + heartbeat.echo_age_ms)
            )
        return peer

    def removal_candidates(self, now_ms: int, for_ms: int = REMOVAL_CANDIDATE_MS) -> list[Peer]:
        """Return the hosts that have been silent for too long to be merely restarting.

        They still count as hosts until the store confirms that they are gone. Otherwise a host
        that is cut off from all others would become a majority by itself.
        """
        return [
            peer
            for peer in self._peers.values()
            if now_ms - max(peer.received_ms, peer.known_ms) > for_ms
        ]

    def may_remove(self, now_ms: int) -> bool:
        """Return whether enough hosts are live for this host to remove silent ones."""
        return 1 + len(self.live(now_ms)) >= REMOVAL_LIVE_SHARE * (1 + len(self._peers))

    def remove(self, address: tuple[str, int]) -> Peer | None:
        """Remove a host that is gone and return it, ``None`` if it is unknown."""
        return self._peers.pop(address, None)

    def by_address(self, address: tuple[str, int]) -> Peer | None:
        """Return the host at an address, ``None`` if it is unknown."""
        return self._peers.get(address)

    def all(self) -> list[Peer]:
        """Return every known host."""
        return list(self._peers.values())

    def live(self, now_ms: int) -> list[Peer]:
        """Return the hosts whose last heartbeat is recent."""
        return [peer for peer in self._peers.values() if self.is_live(peer, now_ms)]

    @staticmethod
    def is_live(peer: Peer, now_ms: int) -> bool:
        """Return whether a host's last heartbeat is recent."""
        return peer.received_ms != NEVER_MS and now_ms - peer.received_ms <= LIVE_TIMEOUT_MS

    def majority_responded_ms(self, now_ms: int, removed_count: int = 0) -> int:
        """Return the latest time after which a majority of hosts, including this one, responded.

        :param removed_count: number of removed hosts that still count.
        """
        times = self._response_times(now_ms, removed_count)
        return times[len(times) // 2]

    def two_thirds_responded_ms(self, now_ms: int, removed_count: int = 0) -> int:
        """Return the latest time after which more than two thirds of the hosts responded.

        :param removed_count: number of removed hosts that still count.
        """
        times = self._response_times(now_ms, removed_count)
        return times[2 * len(times) // 3]

    def _response_times(self, now_ms: int, removed_count: int) -> list[int]:
        others = (peer.sent_after_ms for peer in self._peers.values())
        return sorted([now_ms, *others, *[NEVER_MS] * removed_count], reverse=True)

    def all_responded_ms(self, now_ms: int) -> int:
        """Return the latest time after which every known host responded."""
        return min((peer.sent_after_ms for peer in self._peers.values()), default=now_ms)

    def store_confirmed_ms(self) -> int:
        """Return the latest time at which the store confirmed the primaries to a peer."""
        times = [
            peer.sent_after_ms - peer.heartbeat.confirmed_age_ms
            for peer in self._peers.values()
            if peer.heartbeat
            and peer.sent_after_ms != NEVER_MS
            and peer.heartbeat.confirmed_age_ms != NEVER_MS
        ]
        return max(times, default=NEVER_MS)

    def store_readers(
        self,
        now_ms: int,
        self_eligible: bool,
        needs_eras: bool = False,
        needs_extension: bool = False,
    ) -> list[str]:
        """Return the names of the hosts that read the store for all others, the first one first.

        They are in different availability zones where possible, so that one event in a zone does
        not affect both.

        :param self_eligible: whether this host reaches the store and is not leaving.
        :param needs_eras: whether to skip hosts that read it as if it had no eras.
        :param needs_extension: whether to skip hosts of earlier releases, which don't read what is
            sent in the extension of heartbeats.
        """
        eligible = [
            (peer.name, peer.availability_zone)
            for peer in self.live(now_ms)
            if peer.heartbeat
            and peer.heartbeat.store_ok
            and not peer.heartbeat.leaving
            and not (needs_eras and peer.heartbeat.ignores_eras)
            and not (needs_extension and not peer.reads_extension)
        ]
        if self_eligible:
            eligible.append((self._host, self._zone))
        if not eligible:
            return []
        (first, zone), *others = sorted(eligible)
        elsewhere = [name for name, other_zone in others if other_zone != zone]
        same_zone = [name for name, other_zone in others if other_zone == zone]
        return [first, *elsewhere, *same_zone][:STORE_READER_COUNT]
