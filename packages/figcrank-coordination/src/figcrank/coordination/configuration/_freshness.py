"""Whether what this host knows of the configuration is new enough to serve keys on."""

from figcrank.coordination.membership import UNKNOWN_AGE_MS, Membership
from figcrank.coordination.store import PlatformClient
from figcrank.protocol import Digest

# Age of a host that never heard from the store; an answer to a probe can't exceed it by much.
NEVER_MS = 2**30
OUTAGE_WITNESSES = 2


class Freshness:
    """Dates the last confirmation from the store and tells an outage for all from being cut off.

    A confirmation is a time on this host's clock before which every accepted change is included.
    Confirmations arrive by own calls and by answers to own probes, and are dated from the sending
    of the call or probe, so that no delay or replay makes one look newer than it is.

    :param limit_ms: greatest age to serve on, in milliseconds.
    :param membership: tells whether most hosts are heard.
    :param platform: tells how this host's own calls fared.
    """

    def __init__(self, limit_ms: int, membership: Membership, platform: PlatformClient) -> None:
        self._limit_ms = limit_ms
        self._membership = membership
        self._platform = platform
        self._confirmed_ms: int | None = None
        # A confirmation that counts once the revision that it is about is in force here.
        self._pending_ms = 0
        self._pending_revision = 0
        self._newest_revision = 0
        self._witnessed_ms: dict[str, int] = {}

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the last confirmation, in milliseconds; :data:`NEVER_MS` at most."""
        if self._confirmed_ms is None:
            return NEVER_MS
        return min(NEVER_MS, now_ms - self._confirmed_ms)

    def on_confirmed(self, revision: int, confirmed_ms: int, own_revision: int) -> None:
        """Take the news that ``revision`` was the store's at ``confirmed_ms``."""
        self._newest_revision = max(self._newest_revision, revision)
        if revision <= own_revision:
            self._advance(confirmed_ms)
            return
        self._pending_ms, self._pending_revision = confirmed_ms, revision

    def on_revision(self, own_revision: int) -> None:
        """Take the news that ``own_revision`` is in force here."""
        self._newest_revision = max(self._newest_revision, own_revision)
        if 0 < self._pending_revision <= own_revision:
            self._advance(self._pending_ms)
            self._pending_revision = 0

    def on_digest(self, host: str, digest: Digest, own_revision: int, now_ms: int) -> None:
        """Take a peer's digest; only an answer to a probe of this host counts."""
        if digest.fresh_age_ms >= UNKNOWN_AGE_MS:
            return
        if digest.platform_failed:
            self._witnessed_ms[host] = now_ms
        else:
            self._witnessed_ms.pop(host, None)
        if digest.fresh_age_ms < NEVER_MS:
            self.on_confirmed(digest.config_revision, now_ms - digest.fresh_age_ms, own_revision)

    def is_fresh(self, own_revision: int, now_ms: int) -> bool:
        """Return whether requests with a key may be served."""
        if self.age_ms(now_ms) <= self._limit_ms:
            return True
        return self.shows_outage(own_revision, now_ms)

    def shows_outage(self, own_revision: int, now_ms: int) -> bool:
        """Return whether it is shown that the platform is down for everyone.

        An edit is taken only by a host that hears most hosts. So where most hosts are heard, none
        of them has a recent confirmation from the store, and none is ahead, no newer edit was
        accepted.
        """
        if own_revision < self._newest_revision:
            return False
        since_ms = now_ms - self._limit_ms
        witnesses = sum(1 for heard_ms in self._witnessed_ms.values() if heard_ms > since_ms)
        witnesses += self._platform.has_failed
        needed = min(OUTAGE_WITNESSES, 1 + len(self._membership.peers()))
        return witnesses >= needed and self._membership.hears_majority(now_ms)

    def forget_old_witnesses(self, now_ms: int) -> None:
        """Drop the reports that are too old to count."""
        since_ms = now_ms - self._limit_ms
        kept = {host: at_ms for host, at_ms in self._witnessed_ms.items() if at_ms > since_ms}
        self._witnessed_ms = kept

    def _advance(self, confirmed_ms: int) -> None:
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms
