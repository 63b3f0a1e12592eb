"""How news from the store reaches this host directly."""

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
# A read that takes longer than this many times the last one has failed.
LATENCY_FACTOR = 3
MIN_READ_TIMEOUT_MS = 300
# Age at which a host that is no watcher reads the store itself, and how far hosts spread out.
SELF_READ_AGE_MS = 900
SELF_READ_SPREAD_MS = 300
WATCH_WAIT_MS = 300

OnObjects = Callable[[ObjectList, int, int, int], None]


class StoreWatch:
    """Keeps one watch open if this host is a watcher of its cell, else reads only in need.

    :param settings: static settings of this host.
    :param platform: the platform.
    :param membership: the live hosts, among which the watchers are chosen.
    :param freshness: tells how old the last confirmation is.
    :param random: random source for spreading reads out.
    :param revision: gives the revision in force, ``None`` before the first.
    :param on_objects: told of each answer: the objects, the revision asked from, the time at
        which the store certainly had them, and the time now.
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
        self._spread_ms = int(random.random() * SELF_READ_SPREAD_MS)
        self._random = random
        self._in_flight = False
        self._latency_ms = 0
        self._next_hosts_ms = 0
        self._ranked_hosts: tuple[Host, ...] = ()
        self._watchers: tuple[Host, ...] = ()

    def watchers(self) -> tuple[Host, ...]:
        """Return the watchers of the cell, from different availability zones where possible."""
        hosts = self._membership.hosts()
        if hosts is not self._ranked_hosts:
            self._ranked_hosts = hosts
            self._watchers = _best_of(hosts)
        return self._watchers

    def read_now(self, now_ms: int) -> None:
        """Read what is new in the store, subject to budget and back-off."""
        if self._in_flight:
            return
        since = self._revision() or 0
        call = ListObjects(CONFIG_KINDS, since)

        def replied(result: PlatformResult, at_ms: int) -> None:
            self._in_flight = False
            if isinstance(result, ObjectList):
                self._latency_ms = at_ms - now_ms
                self._on_objects(result, since, now_ms, at_ms)

        self._in_flight = self._platform.read(call, self._timeout_ms(), now_ms, replied)

    def tick(self, now_ms: int) -> None:
        """Make the calls that are due."""
        if self._in_flight:
            return
        mine = self._settings.host.name
        if not any(host.name == mine for host in self.watchers()):
            self._read_in_need(now_ms)
            return
        if self._revision() is None or self._platform.has_failed:
            self.read_now(now_ms)
            return
        self._list_hosts(now_ms)
        self._watch(now_ms)

    def _read_in_need(self, now_ms: int) -> None:
        if self._freshness.age_ms(now_ms) < SELF_READ_AGE_MS + self._spread_ms:
            return
        self._spread_ms = int(self._random.random() * SELF_READ_SPREAD_MS)
        self.read_now(now_ms)

    def _watch(self, now_ms: int) -> None:
        since = self._revision() or 0
        call = WatchObjects(CONFIG_KINDS, since, WATCH_WAIT_MS)

        def replied(result: PlatformResult, at_ms: int) -> None:
            self._in_flight = False
            if isinstance(result, ObjectList):
                self._on_objects(result, since, _confirmed_ms(result, now_ms, at_ms), at_ms)

        timeout_ms = WATCH_WAIT_MS + self._timeout_ms()
        self._in_flight = self._platform.read(call, timeout_ms, now_ms, replied, as_watcher=True)

    def _timeout_ms(self) -> int:
        longest_ms = self._settings.timings.platform_timeout_ms
        if self._platform.has_failed:
            # A slow store answers a patient trial.
            return longest_ms
        return min(longest_ms, max(MIN_READ_TIMEOUT_MS, LATENCY_FACTOR * self._latency_ms))

    def _list_hosts(self, now_ms: int) -> None:
        if now_ms < self._next_hosts_ms:
            return

        def replied(result: PlatformResult, at_ms: int) -> None:
            if isinstance(result, HostList):
                self._membership.on_platform_hosts(result.hosts, at_ms)

        timeout_ms = self._settings.timings.platform_timeout_ms
        if self._platform.read(ListHosts(), timeout_ms, now_ms, replied, as_watcher=True):
            self._next_hosts_ms = now_ms + HOST_LIST_INTERVAL_MS


def _best_of(hosts: tuple[Host, ...]) -> tuple[Host, ...]:
    ranked = sorted(hosts, key=_weight, reverse=True)
    if not ranked:
        return ()
    zone = ranked[0].availability_zone
    elsewhere = [host for host in ranked[1:] if host.availability_zone != zone]
    rest = [host for host in ranked[1:] if host.availability_zone == zone]
    return tuple([ranked[0], *elsewhere, *rest][:WATCHERS_PER_CELL])


def _weight(host: Host) -> int:
    return xxhash.xxh64_intdigest(f"watch:{host.cell}|{host.name}".encode())


def _confirmed_ms(result: ObjectList, sent_ms: int, answered_ms: int) -> int:
    # A watch that ended without a change was answered after its whole wait.
    waited_ms = sent_ms + WATCH_WAIT_MS
    if not result.objects and answered_ms >= waited_ms:
        return waited_ms
    return sent_ms
