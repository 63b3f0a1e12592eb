"""Registers this host in the store and removes hosts that are permanently gone."""

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.peers import REMOVAL_CANDIDATE_MS, Peer
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import HostEntry, StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._store_reader import StoreReader

CHECK_INTERVAL_MS = 1_000  # a host is removed after 15 s of silence; a check may come 1 s late
# Between two reads of the listing, and between two registrations.
LISTING_INTERVAL_MS = REMOVAL_CANDIDATE_MS
# After this silence, a host that was not informed of a removal reads the listing itself.
FALLBACK_LISTING_MS = 2 * REMOVAL_CANDIDATE_MS


class Membership:
    """Maintains the listing of hosts in the store.

    A silent host counts as a member until its entry is removed. The first store reader removes
    the entry if it receives heartbeats from a third of the hosts, and then informs the others.

    :param host: name of this host.
    :param address: heartbeat address of this host.
    :param store: makes store calls.
    :param link: adds and removes hosts and informs the peers.
    :param view: this host's view of the fleet.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        host: str,
        address: tuple[str, int],
        store: StoreReader,
        link: PeerLink,
        view: FleetView,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._host = host
        self._address = address
        self._store = store
        self._link = link
        self._view = view
        self._clock = clock
        self._log = log
        self._listed_ms = NEVER_MS
        self._registered_ms = NEVER_MS

    def run(self) -> None:
        """Register this host, then check the listing periodically until the process ends."""
        while not self._view.leaving and not self._join():
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
        while True:
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
            try:
                self.check_hosts(self._clock.now_ms())
            except StoreError as error:
                self._log.event("hosts_not_listed", reason=str(error))

    def _join(self) -> bool:
        try:
            for entry in self._store.call("list_hosts"):
                self._link.register(entry.name, entry.address)
            self._register()
        except StoreError:
            return False  # logged and counted by the call
        self._link.broadcast_heartbeat()
        return True

    def _register(self) -> None:
        self._store.call("register_host", self._host, self._address)
        self._registered_ms = self._clock.now_ms()
        self._link.is_removed = False

    def check_hosts(self, now_ms: int) -> None:
        """Register again if peers removed this host; remove hosts that are gone.

        :raises StoreError: if the store can't be read or written.
        """
        if self._link.is_removed and now_ms - self._registered_ms >= LISTING_INTERVAL_MS:
            self._register()
        silent = self._view.peers.removal_candidates(now_ms)
        if not silent or not self._view.peers.may_remove(now_ms):
            return
        if self._listed_ms != NEVER_MS and now_ms - self._listed_ms < LISTING_INTERVAL_MS:
            return
        removes_entries = self._store.is_first_reader(now_ms)
        if removes_entries or self._view.peers.removal_candidates(now_ms, FALLBACK_LISTING_MS):
            self._listed_ms = now_ms
            self._remove_unlisted(silent, removes_entries)

    def _remove_unlisted(self, silent: list[Peer], removes_entries: bool) -> None:
        """Remove silent hosts that the store doesn't list.

        :param removes_entries: whether to remove the store's entries of silent hosts first.
        """
        listed = {entry.address: entry for entry in self._store.call("list_hosts")}
        if self._address not in listed:
            self._register()
        for peer in silent:
            entry = listed.get(peer.address)
            if entry is None or (removes_entries and self._remove_entry(entry)):
                self._link.remove(peer.address, "store")

    def _remove_entry(self, entry: HostEntry) -> bool:
        """Remove an entry; return ``False`` if it was rewritten since it was listed."""
        try:
            self._store.call("remove_host", entry)
        except StoreError as error:
            if error.kind is not StoreErrorKind.CONFLICT:
                raise
            return False  # the host registered again in the meantime
        return True
