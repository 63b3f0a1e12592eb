"""Which hosts there are: registers this one in the store, and finds out which are gone for good."""

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.peers import FORGET_MS, Peer
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._ports import HostEntry, StoreError, StoreErrorKind
from figcrank.transport.streams._store_loop import StoreLoop

CHECK_MS = 1_000  # a host is gone for 15 s by then; a second more harms nobody
PAUSE_MS = FORGET_MS  # between two readings of the listing, and between two registrations
OTHERS_MS = 2 * FORGET_MS  # a host that nobody told reads the listing by itself


class Membership:
    """The listing of hosts in the store, as far as this host writes and reads it.

    A silent host goes on to count until its entry is removed. The first of the hosts that read the
    store removes it, if it hears a third of the hosts, and tells the others.

    :param host: this host's name.
    :param address: its heartbeat address.
    :param store: makes the calls.
    :param link: takes in hosts and tells the peers.
    :param view: what this host believes.
    :param clock: this host's clock.
    :param log: where removals are written.
    """

    def __init__(
        self,
        host: str,
        address: tuple[str, int],
        store: StoreLoop,
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
        """Register this host, then look after the listing for ever."""
        while not self._view.leaving and not self._join():
            eventlet.sleep(CHECK_MS / 1_000)
        while True:
            eventlet.sleep(CHECK_MS / 1_000)
            try:
                self.look_after(self._clock.now_ms())
            except StoreError as error:
                self._log.event("hosts_not_listed", reason=str(error))

    def _join(self) -> bool:
        try:
            for entry in self._store.call("list_hosts"):
                self._link.register(entry.name, entry.address)
            self._register()
        except StoreError:
            return False  # logged and counted where the call was made
        self._link.tell_all()
        return True

    def _register(self) -> None:
        self._store.call("register_host", self._host, self._address)
        self._registered_ms = self._clock.now_ms()
        self._link.is_removed = False

    def look_after(self, now_ms: int) -> None:
        """Register again if this host was taken for gone; drop hosts that are gone.

        :raises StoreError: if the store can't be read or written.
        """
        if self._link.is_removed and now_ms - self._registered_ms >= PAUSE_MS:
            self._register()
        silent = self._view.peers.silent(now_ms)
        if not silent or not self._view.peers.may_remove(now_ms):
            return
        if self._listed_ms != NEVER_MS and now_ms - self._listed_ms < PAUSE_MS:
            return
        removes = self._store.is_first_reader(now_ms)
        if removes or self._view.peers.silent(now_ms, OTHERS_MS):
            self._listed_ms = now_ms
            self._compare(silent, removes)

    def _compare(self, silent: list[Peer], removes: bool) -> None:
        """Drop the silent hosts that the store doesn't list or, if told to, lists no longer."""
        listed = {entry.address: entry for entry in self._store.call("list_hosts")}
        if self._address not in listed:
            self._register()
        for peer in silent:
            entry = listed.get(peer.address)
            if entry is None or (removes and self._remove(entry)):
                self._link.remove(peer.address, "store")

    def _remove(self, entry: HostEntry) -> bool:
        """Remove an entry; return whether that was done."""
        try:
            self._store.call("remove_host", entry)
        except StoreError as error:
            if error.kind is not StoreErrorKind.CONFLICT:
                raise
            return False  # the host registered anew meanwhile
        return True
