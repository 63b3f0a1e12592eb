"""Chooses the peers from which this host fetches what they have and it lacks.

Usually several peers have it. One is asked at a time, unless it stops answering: a host that has
named a new configuration and then freezes, or is cut off, must not keep this one from it.
"""

from dataclasses import dataclass

# A fetch that has received nothing for this long no longer keeps another one from starting. A peer
# compresses a configuration of megabytes in less.
STALLED_FETCH_MS = 300
MAX_FETCHES = 4  # bounds what stalled ones hold; each ends by its own timeout
# A heartbeat; a peer that refuses connections is asked again no sooner.
FETCH_RETRY_MS = 300
# Four heartbeats, as for a live peer; one that is silent for longer is not asked.
OFFER_LIFETIME_MS = 1_200
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _Offer:
    """What a peer has, by its last heartbeat.

    :param catalog_version: version of its configuration.
    :param registry_revision: revision of its list of servers.
    :param heard_ms: time at which the heartbeat arrived.
    """

    catalog_version: int
    registry_revision: int
    heard_ms: int


class ViewFetches:
    """The fetches of this host: which one to start next, and which are stalled."""

    def __init__(self) -> None:
        self._offers: dict[Address, _Offer] = {}
        self._requested: set[Address] = set()
        self._progressed_ms: dict[Address, int] = {}  # of the fetches in progress
        self._failed_ms: dict[Address, int] = {}

    def record_offer(
        self, address: Address, catalog_version: int, registry_revision: int, now_ms: int
    ) -> None:
        """Record what a peer has, as its heartbeat tells."""
        self._offers[address] = _Offer(catalog_version, registry_revision, now_ms)

    def request(self, address: Address) -> None:
        """Fetch from a peer whatever it offers."""
        self._requested.add(address)

    def choose(self, catalog_version: int, registry_revision: int, now_ms: int) -> Address | None:
        """Return the peer to fetch from now, ``None`` if no fetch is to be started.

        :param catalog_version: version of this host's configuration.
        :param registry_revision: revision of its list of servers.
        """
        if len(self._progressed_ms) >= MAX_FETCHES:
            return None
        if any(now_ms - at_ms < STALLED_FETCH_MS for at_ms in self._progressed_ms.values()):
            return None
        newer = {
            address
            for address, offer in self._offers.items()
            if now_ms - offer.heard_ms <= OFFER_LIFETIME_MS
            and (
                offer.catalog_version > catalog_version
                or offer.registry_revision > registry_revision
            )
        }
        candidates = [
            address
            for address in newer | self._requested
            if address not in self._progressed_ms and not self._has_failed(address, now_ms)
        ]
        return min(candidates, key=self._rank, default=None)

    def _has_failed(self, address: Address, now_ms: int) -> bool:
        failed_ms = self._failed_ms.get(address)
        return failed_ms is not None and now_ms - failed_ms < FETCH_RETRY_MS

    def _rank(self, address: Address) -> tuple[bool, int, int, Address]:
        offer = self._offers.get(address, _Offer(0, 0, 0))
        return address in self._failed_ms, -offer.catalog_version, -offer.heard_ms, address

    def record_start(self, address: Address, now_ms: int) -> None:
        """Record that a fetch from a peer has begun."""
        self._requested.discard(address)
        self._progressed_ms[address] = now_ms

    def record_progress(self, address: Address, now_ms: int) -> None:
        """Record that a part of a peer's response has arrived."""
        self._progressed_ms[address] = now_ms

    def record_end(self, address: Address, succeeded: bool, now_ms: int) -> None:
        """Record that a fetch has ended; the peer is asked again after its next heartbeat."""
        self._progressed_ms.pop(address, None)
        self._offers.pop(address, None)
        if succeeded:
            self._failed_ms.pop(address, None)
        else:
            self._failed_ms[address] = now_ms
