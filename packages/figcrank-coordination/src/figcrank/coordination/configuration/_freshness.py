"""Whether this host's configuration is fresh enough to serve requests with keys."""

from figcrank.coordination.membership import UNKNOWN_AGE_MS, Membership
from figcrank.coordination.store import PlatformClient
from figcrank.protocol import Digest

# Age while there is no confirmation from the store. A probe response adds little more than its
# round trip to it, so the sum stays below UNKNOWN_AGE_MS.
MAX_AGE_MS = 2**30
MIN_OUTAGE_REPORTERS = 2


class Freshness:
    """Tracks the age of the last confirmation from the store and detects platform outages.

    An outage affects all hosts and is distinguished from the isolation of this host.

    A confirmation is a time on this host's clock; every change accepted before it is included in
    the configuration. Confirmations come from this host's calls and from responses to its probes.
    Each carries the time at which the call or probe was sent, so that a delayed or replayed
    response never appears newer than it is.

    :param limit_ms: maximum age at which requests are served, in milliseconds.
    :param membership: used to check whether most hosts are reachable.
    :param platform: used to check whether this host's own calls fail.
    """

    def __init__(self, limit_ms: int, membership: Membership, platform: PlatformClient) -> None:
        self._limit_ms = limit_ms
        self._membership = membership
        self._platform = platform
        self._confirmed_ms: int | None = None
        # Time of a confirmation that takes effect once its revision is applied on this host.
        self._pending_ms = 0
        self._pending_revision = 0
        self._newest_revision = 0
        self._outage_reported_ms: dict[str, int] = {}

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the last confirmation, at most :data:`MAX_AGE_MS`."""
        if self._confirmed_ms is None:
            return MAX_AGE_MS
        return min(MAX_AGE_MS, now_ms - self._confirmed_ms)

    def on_confirmed(self, revision: int, confirmed_ms: int, own_revision: int) -> None:
        """Record that ``revision`` was the store's revision at ``confirmed_ms``."""
        self._newest_revision = max(self._newest_revision, revision)
        if revision <= own_revision:
            self._confirm(confirmed_ms)
            return
        self._pending_ms, self._pending_revision = confirmed_ms, revision

    def on_revision(self, own_revision: int) -> None:
        """Record that ``own_revision`` is applied on this host."""
        self._newest_revision = max(self._newest_revision, own_revision)
        if 0 < self._pending_revision <= own_revision:
            self._confirm(self._pending_ms)
            self._pending_revision = 0

    def on_digest(self, host: str, digest: Digest, own_revision: int, now_ms: int) -> None:
        """Process a peer's digest; digests that do not answer this host's probe are ignored."""
        if digest.fresh_age_ms >= UNKNOWN_AGE_MS:
            return
        if digest.platform_failed:
            self._outage_reported_ms[host] = now_ms
        else:
            self._outage_reported_ms.pop(host, None)
        if digest.fresh_age_ms < MAX_AGE_MS:
            self.on_confirmed(digest.config_revision, now_ms - digest.fresh_age_ms, own_revision)

    def is_fresh(self, own_revision: int, now_ms: int) -> bool:
        """Return whether the configuration is fresh enough to serve requests with a key."""
        if self.age_ms(now_ms) <= self._limit_ms:
            return True
        return self.is_general_outage(own_revision, now_ms)

    def is_general_outage(self, own_revision: int, now_ms: int) -> bool:
        """Return whether the platform is known to be down for all hosts.

        Only a host that reaches most hosts accepts an edit. Therefore no newer edit was accepted
        if most hosts are reachable, none of them has a recent confirmation from the store, and
        none has a newer revision.
        """
        if own_revision < self._newest_revision:
            return False
        since_ms = now_ms - self._limit_ms
        reporters = sum(
            1 for reported_ms in self._outage_reported_ms.values() if reported_ms > since_ms
        )
        reporters += self._platform.has_failed
        needed = min(MIN_OUTAGE_REPORTERS, 1 + len(self._membership.peers()))
        return reporters >= needed and self._membership.reaches_majority(now_ms)

    def discard_old_reports(self, now_ms: int) -> None:
        """Discard the outage reports that are too old to count."""
        since_ms = now_ms - self._limit_ms
        kept = {host: at_ms for host, at_ms in self._outage_reported_ms.items() if at_ms > since_ms}
        self._outage_reported_ms = kept

    def _confirm(self, confirmed_ms: int) -> None:
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms
