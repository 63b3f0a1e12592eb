"""How old this host's configuration may be, and when it has to be read from the store.

Two hosts watch the configuration for all others, which learn of it by heartbeats. Each host knows
up to when its configuration has every change, and reads the store itself when that is too long ago.
Whatever fails between the watches and this host, the bound leaves time for that read.
"""

from dataclasses import dataclass

from figcrank.protocol.heartbeats import NEVER_MS

DEFAULT_BOUND_MS = 3_000
MAX_WATCH_MS = 1_500  # bounds how long a watch on a dead connection misses changes
# Shares of the bound. A watch, the heartbeat after it and a lost datagram fit before the own read.
# The rest of the bound suffices for a read on a connection that has died, one on a new connection,
# and a store that takes 250 ms.
WATCH_SHARE = 1 / 3
OWN_READ_SHARE = 0.55
REFUSAL_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class ConfigurationTimings:
    """How the bound on a change of the configuration is divided.

    :param bound_ms: time from its acknowledgement until a change is in force at every host.
    :param watch_ms: longest wait of a watch.
    :param own_read_age_ms: age of the last confirmation from which on a host reads the store.
    :param refusal_age_ms: largest age at which a host may refuse what its configuration lacks.
    """

    bound_ms: int
    watch_ms: int
    own_read_age_ms: int
    refusal_age_ms: int

    @classmethod
    def from_bound(cls, bound_ms: int) -> "ConfigurationTimings":
        """Return the timings for a bound in milliseconds."""
        return cls(
            bound_ms,
            min(MAX_WATCH_MS, int(bound_ms * WATCH_SHARE)),
            int(bound_ms * OWN_READ_SHARE),
            int(bound_ms * REFUSAL_SHARE),
        )


class ConfigurationAge:
    """The time up to which this host's configuration has every change that the store acknowledged.

    A confirmation is a version and a time, by this host's clock, at which the store had nothing
    newer. Peers send the age of theirs in heartbeats.
    """

    def __init__(self) -> None:
        self.confirmed_ms = NEVER_MS
        self._pending_version = 0
        self._pending_ms = NEVER_MS

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the last confirmation, ``None`` if there is none."""
        return None if self.confirmed_ms == NEVER_MS else now_ms - self.confirmed_ms

    def is_older_than(self, limit_ms: int, now_ms: int) -> bool:
        """Return whether there is no confirmation within the last ``limit_ms``."""
        return self.confirmed_ms == NEVER_MS or now_ms - self.confirmed_ms > limit_ms

    def confirm(self, version: int, as_of_ms: int, own_version: int) -> None:
        """Record that the store had nothing newer than a version.

        It counts once this host has adopted that version.

        :param as_of_ms: time of it, or a lower bound.
        :param own_version: version of this host's configuration; 0 if it has none.
        """
        if version <= own_version:
            self.confirmed_ms = max(self.confirmed_ms, as_of_ms)
        elif version >= self._pending_version:
            if version > self._pending_version:
                self._pending_ms = NEVER_MS
            self._pending_version = version
            self._pending_ms = max(self._pending_ms, as_of_ms)

    def record_adopted(self, version: int) -> None:
        """Record that this host has adopted a version."""
        if 0 < self._pending_version <= version:
            self.confirmed_ms = max(self.confirmed_ms, self._pending_ms)
            self._pending_version, self._pending_ms = 0, NEVER_MS
