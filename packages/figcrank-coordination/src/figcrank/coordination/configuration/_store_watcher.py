"""Reads and watches of the platform's store by this host."""

from collections.abc import Callable

import xxhash

from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration._freshness import Freshness
from figcrank.coordination.membership import Membership
from figcrank.coordination.store import WATCHERS_PER_CELL, PlatformClient
from figcrank.protocol import (
    HostList,
    ListHosts,
    ListObjects,
    ObjectList,
    PlatformResult,
    WatchObjects,
)
from figcrank.protocol.objects import CONFIG_KINDS
from figcrank.state import Host, RandomSource

HOST_LIST_INTERVAL_MS = 10_000
# The timeout of a read is this multiple of the last read's latency.
READ_TIMEOUT_FACTOR = 3
MIN_READ_TIMEOUT_MS = 300
# Age of the last confirmation at which a host that is not a watcher reads the store itself, and the
# range of the random delay that spreads out these reads.
SELF_READ_AGE_MS = 900
SELF_READ_JITTER_MS = 300
WATCH_WAIT_MS = 300

OnObjects = Callable[[ObjectList, int, int, int], None]


class StoreWatcher:
    """Keeps a watch open if this host is a watcher of its cell, and reads the store if needed.

    A host that is not a watcher reads the store only if its last confirmation is too old.

    :param settings: static settings of this host.
    :param platform: client of the platform.
    :param membership: the hosts from which the watchers are selected.
    :param freshness: provides the age of the last confirmation.
    :param random: random source for spreading out reads.
    :param revision: returns the current revision, ``None`` before the first.
    :param on_objects: called for each response with the objects, the revision after which they
        were requested, a time at which the store had them, and the current time.
    """

    def __init__(
        self,
        settings: CoreSettings,
        platform: PlatformClient,
        membership: Membership,
        freshness: Freshness,
        random: RandomSource,
        revision: Callable[[], int | None],
        on_objects: OnObjects,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._membership = membership
        self._freshness = freshness
        self._revision = revision
        self._on_objects = on_objects
        self._jitter_ms = int(random.random() * SELF_READ_JITTER_MS)
        self._random = random
        self._in_flight = False
        self._latency_ms = 0
        self._next_hosts_ms = 0
        self._selected_from: tuple[Host, ...] = ()
        self._watchers: tuple[Host, ...] = ()

    def watchers(self) -> tuple[Host, ...]:
        """Return the watchers of the cell, from different availability zones where possible."""
        hosts = self._membership.hosts()
        if hosts is not self._selected_from:
            self._selected_from = hosts
            self._watchers = _select_watchers(hosts)
        return self._watchers

    def read_now(self, now_ms: int) -> None:
        """Read the changes from the store, subject to the platform client's budget and backoff."""
        if self._in_flight:
            return
        since = self._revision() or 0
        call = ListObjects(CONFIG_KINDS, since)

        def on_reply(result: PlatformResult, at_ms: int) -> None:
            self._in_flight = False
            if isinstance(result, ObjectList):
                self._latency_ms = at_ms - now_ms
                self._on_objects(result, since, now_ms, at_ms)

        self._in_flight = self._platform.read(call, self._timeout_ms(), now_ms, on_reply)

    def tick(self, now_ms: int) -> None:
        """Start the calls that are due."""
        if self._in_flight:
            return
        own_name = self._settings.host.name
        if not any(host.name == own_name for host in self.watchers()):
            self._read_if_stale(now_ms)
            return
        if self._revision() is None or self._platform.has_failed:
            self.read_now(now_ms)
            return
        self._list_hosts(now_ms)
        self._start_watch(now_ms)

    def _read_if_stale(self, now_ms: int) -> None:
        if self._freshness.age_ms(now_ms) < SELF_READ_AGE_MS + self._jitter_ms:
            return
        self._jitter_ms = int(self._random.random() * SELF_READ_JITTER_MS)
        self.read_now(now_ms)

    def _start_watch(self, now_ms: int) -> None:
        since = self._revision() or 0
        call = WatchObjects(CONFIG_KINDS, since, WATCH_WAIT_MS)

        def on_reply(result: PlatformResult, at_ms: int) -> None:
            self._in_flight = False
            if isinstance(result, ObjectList):
                self._on_objects(result, since, _confirmed_ms(result, now_ms, at_ms), at_ms)

        timeout_ms = WATCH_WAIT_MS + self._timeout_ms()
        self._in_flight = self._platform.read(call, timeout_ms, now_ms, on_reply, as_watcher=True)

    def _timeout_ms(self) -> int:
        longest_ms = self._settings.timings.platform_timeout_ms
        if self._platform.has_failed:
            # The store may only be slow, so the next call gets the full timeout.
            return longest_ms
        return min(longest_ms, max(MIN_READ_TIMEOUT_MS, READ_TIMEOUT_FACTOR * self._latency_ms))

    def _list_hosts(self, now_ms: int) -> None:
        if now_ms < self._next_hosts_ms:
            return

        def on_reply(result: PlatformResult, at_ms: int) -> None:
            if isinstance(result, HostList):
                self._membership.on_platform_hosts(result.hosts, at_ms)

        timeout_ms = self._settings.timings.platform_timeout_ms
        if self._platform.read(ListHosts(), timeout_ms, now_ms, on_reply, as_watcher=True):
            self._next_hosts_ms = now_ms + HOST_LIST_INTERVAL_MS


def _select_watchers(hosts: tuple[Host, ...]) -> tuple[Host, ...]:
    ranked = sorted(hosts, key=_rank_hash, reverse=True)
    if not ranked:
        return ()
    zone = ranked[0].availability_zone
    other_zones = [host for host in ranked[1:] if host.availability_zone != zone]
    same_zone = [host for host in ranked[1:] if host.availability_zone == zone]
    return tuple([ranked[0], *other_zones, *same_zone][:WATCHERS_PER_CELL])


def _rank_hash(host: Host) -> int:
    return xxhash.xxh64_intdigest(f"watch:{host.cell}|{host.name}".encode())


def _confirmed_ms(result: ObjectList, sent_ms: int, answered_ms: int) -> int:
    # A watch without a change is answered only after its full wait time.
    wait_end_ms = sent_ms + WATCH_WAIT_MS
    if not result.objects and answered_ms >= wait_end_ms:
        return wait_end_ms
    return sent_ms
