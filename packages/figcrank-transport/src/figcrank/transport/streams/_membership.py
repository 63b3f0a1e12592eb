"""Decides whether this host is an owner or a relay, and removes owners that are gone for good."""

import random
from collections.abc import Callable

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.owners import (
    HostRole,
    LostOwners,
    Seat,
    choose_seat,
    has_free_seat,
    is_listed,
    seat_to_take_over,
)
from figcrank.coordination.peers import REMOVAL_CANDIDATE_MS, Peer
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.protocol.owners import Owner, SeatEntry
from figcrank.state._clock import Clock
from figcrank.transport.streams._interfaces import StoreError, StoreErrorKind
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._owner_tracker import OwnerTracker
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._store_reader import StoreReader

CHECK_INTERVAL_MS = 1_000  # a host is removed after 15 s of silence; a check may come 1 s late
# Between two reads of the listing, and between two registrations.
LISTING_INTERVAL_MS = REMOVAL_CANDIDATE_MS
# After this silence, a host that was not informed of a removal reads the listing itself.
FALLBACK_LISTING_MS = 2 * REMOVAL_CANDIDATE_MS
SEED_ANSWER_TIMEOUT_MS = 60  # 20 round trips; if all hosts restart at once, no seed answers
# Hosts that found a seat taken by another one try again at different times.
CONFLICT_RETRY_MS = 300
# Relays that know of a free seat try to take it at different times; the first one informs the rest.
FREE_SEAT_SPREAD_MS = 6_000
# After a new era of the store, owners check the listing at different times.
NEW_ERA_CHECK_SPREAD_MS = 3_000
# For this time after a new era, the listing may lack live owners and name removed ones.
NEW_ERA_SETTLING_MS = LISTING_INTERVAL_MS
OWNERS_LOST_MS = 5_000  # without a usable owner, a relay reads the listing itself
# If no owner in the listing answers, relays query all of them for this time, and then take over
# their seats at different times. Owners that restart together are back within this time.
TAKEOVER_WAIT_MS = 5_000
TAKEOVER_SPREAD_MS = 3_000
# A relay that no host answers at all is probably cut off itself, and waits for this time longer.
TAKEOVER_ALONE_MS = 10_000


class Membership:
    """Takes a seat for this host if one is free, and keeps the listing of owners in the store.

    A silent owner counts as a member until its entry is removed. The first store reader removes
    the entry if it receives heartbeats from a third of the owners, and then informs the others.

    :param itself: this host.
    :param seats: number of seats in each availability zone.
    :param store: makes store calls.
    :param link: adds and removes owners and informs the peers.
    :param view: this host's view of the fleet.
    :param tracker: the owners that this host knows as a relay.
    :param clock: this host's clock.
    :param log: event log.
    :param on_owner: called when this host becomes an owner.
    :param on_seat_lost: called when another host holds the seat of this owner.
    """

    def __init__(
        self,
        itself: Owner,
        seats: int,
        store: StoreReader,
        link: PeerLink,
        view: FleetView,
        tracker: OwnerTracker,
        clock: Clock,
        log: EventLog,
        on_owner: Callable[[], None],
        on_seat_lost: Callable[[], None],
    ) -> None:
        self._itself = itself
        self._seats = seats
        self._store = store
        self._link = link
        self._view = view
        self._tracker = tracker
        self._clock = clock
        self._log = log
        self._on_owner = on_owner
        self._on_seat_lost = on_seat_lost
        self._listed_ms = NEVER_MS
        self._registered_ms = NEVER_MS
        self._seat_attempt_ms: int | None = None
        self._usable_ms = clock.now_ms()
        self._seed_ips: list[str] = []
        self._lost: LostOwners | None = None
        self._alone_ms: int | None = None  # since when this owner hears no other one
        self._checked_era = 0
        self._era_check_ms: int | None = None

    def run(self, seed_ips: list[str]) -> None:
        """Decide this host's role, then check the listing until the process ends.

        :param seed_ips: hosts to ask for the owners first.
        """
        self._seed_ips = seed_ips
        self.decide_role(seed_ips)
        while True:
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
            self._check(self._clock.now_ms())

    def decide_role(self, seed_ips: list[str]) -> None:
        """Become an owner or a relay; wait for the store if the seeds' answers don't suffice."""
        self._ask_seeds(seed_ips)
        while not self._view.leaving and self._view.role is HostRole.UNDECIDED:
            if not self._join():
                eventlet.sleep(random.uniform(CONFLICT_RETRY_MS, CHECK_INTERVAL_MS) / 1_000)

    def _check(self, now_ms: int) -> None:
        try:
            if self._view.is_owner:
                self.check_hosts(now_ms)
            elif not self._view.leaving:
                self.check_seats(now_ms)
        except StoreError as error:
            self._log.event("hosts_not_listed", reason=str(error))

    def _ask_seeds(self, seed_ips: list[str]) -> None:
        """Decide the role by what the seeds know, without a store call, if that is possible."""
        for ip in seed_ips:
            self._tracker.query(ip)
        if seed_ips:
            self._tracker.wait(SEED_ANSWER_TIMEOUT_MS)
        owners = self._tracker.owners()
        if is_listed(self._itself, owners):
            self._become_owner(owners, "seed")
        elif owners and not has_free_seat(self._itself.availability_zone, owners, self._seats):
            self._become_relay(owners, "seed")

    def _join(self, entries: list[SeatEntry] | None = None) -> bool:
        """Take a free seat, or become a relay if there is none; return whether that succeeded.

        :param entries: the entries of all seats, if they were just listed.
        """
        try:
            if entries is None:
                entries = self._store.call("list_seats")
                self._checked_era = self._store.era
            owners = [entry.owner for entry in entries]
            if not is_listed(self._itself, owners):
                seat = choose_seat(self._itself, entries, self._seats)
                if seat is None:
                    self._become_relay(owners, "store")
                    return True
                self._store.call("take_seat", seat.name, self._itself, seat.replaced)
                if not self._view.is_owner:
                    # Of two hosts that start together, the later one to take a seat lists both.
                    owners = [entry.owner for entry in self._store.call("list_seats")]
        except StoreError as error:
            # Other failures than a conflict are logged by the call.
            return error.kind is StoreErrorKind.CONFLICT and self._retry_after_conflict()
        self._become_owner(owners, "store")
        return True

    def _retry_after_conflict(self) -> bool:
        eventlet.sleep(random.uniform(0, CONFLICT_RETRY_MS) / 1_000)
        return self._join()

    def _become_owner(self, owners: list[Owner], source: str) -> None:
        self._registered_ms = self._clock.now_ms()
        self._link.is_removed = False
        for owner in owners:
            self._link.register(owner)
        if not self._view.is_owner:
            self._view.role = HostRole.OWNER
            self._log.event("role_decided", role="owner", owners=len(owners), source=source)
            self._on_owner()
        self._link.broadcast_heartbeat()

    def _become_relay(self, owners: list[Owner], source: str) -> None:
        if self._view.is_owner:
            self._log.event("seat_lost", owners=len(owners))
            self._on_seat_lost()
            return
        self._tracker.update(owners)
        if self._view.role is HostRole.UNDECIDED:
            self._view.role = HostRole.RELAY
            self._log.event("role_decided", role="relay", owners=len(owners), source=source)
            self._tracker.announce_relay()

    def check_seats(self, now_ms: int) -> None:
        """Take a seat that has become free; read the listing if no owner is usable.

        :raises StoreError: if the store can't be read or written.
        """
        if self._lost is not None:
            self._check_lost_owners(self._lost, now_ms)
            return
        # Without callers, nothing tells that the owners are gone but their missing answers.
        answered = self._tracker.has_any_answered(now_ms - OWNERS_LOST_MS // 2)
        if not answered:
            self._tracker.query_all()
        if answered and self._tracker.is_usable():
            self._usable_ms = now_ms
        elif now_ms - self._usable_ms >= OWNERS_LOST_MS:
            self._usable_ms = now_ms
            self._join()
            if not self._view.is_owner:
                self._begin_takeover(now_ms)
            return
        zone = self._itself.availability_zone
        if not has_free_seat(zone, self._tracker.owners(), self._seats):
            self._seat_attempt_ms = None
        elif self._seat_attempt_ms is None:
            self._seat_attempt_ms = now_ms + int(random.uniform(0, FREE_SEAT_SPREAD_MS))
        elif now_ms >= self._seat_attempt_ms:
            self._seat_attempt_ms = None
            self._join()

    def _begin_takeover(self, now_ms: int) -> None:
        """Query the listed owners; if none answers, their seats are taken over later."""
        addresses = frozenset(owner.address for owner in self._tracker.owners())
        wait_ms = TAKEOVER_WAIT_MS + int(random.uniform(0, TAKEOVER_SPREAD_MS))
        self._lost = LostOwners(addresses, now_ms, now_ms + wait_ms)
        self._query_known_hosts()

    def _query_known_hosts(self) -> None:
        self._tracker.query_all()
        for ip in self._seed_ips:
            self._tracker.query(ip)

    def _check_lost_owners(self, lost: LostOwners, now_ms: int) -> None:
        """Take over the seat of a lost owner when it is time, unless one of them has answered.

        Relays go on while other ones have taken over seats: a single new owner could not remove
        the entries of all the others.
        """
        answered = [a for a in lost.addresses if self._tracker.has_answered(a, lost.since_ms)]
        if answered:
            self._lost = None
            return
        alone_ms = 0 if self._tracker.has_heard(lost.since_ms) else TAKEOVER_ALONE_MS
        is_settled = self._store.era_is_settled(now_ms, NEW_ERA_SETTLING_MS)
        if now_ms < lost.attempt_ms + alone_ms or not is_settled:
            self._query_known_hosts()
            return
        self._lost = None
        entries = self._store.call("list_seats")
        seat = seat_to_take_over(self._itself, entries, lost.addresses)
        if seat is None:
            self._tracker.update([entry.owner for entry in entries])
            return
        try:
            self._store.call("take_seat", seat.name, self._itself, seat.replaced)
            owners = [entry.owner for entry in self._store.call("list_seats")]
        except StoreError as error:
            if error.kind is not StoreErrorKind.CONFLICT:
                raise
            self._lost = lost  # another relay took it; try another one at the next check
            return
        self._view.record_replaced(seat.replaced.owner.address, now_ms)
        self._log.event(
            "seat_taken_over",
            seat=seat.name,
            owner=seat.replaced.owner.name,
            silent_ms=now_ms - lost.since_ms,
        )
        self._become_owner(owners, "store")

    def _check_while_alone(self, now_ms: int) -> None:
        """Stop this owner if its seat was taken over while it heard no other owner."""
        peers = self._view.peers
        is_settled = self._store.era_is_settled(now_ms, NEW_ERA_SETTLING_MS)
        has_relays = self._view.ownership.has_relays(now_ms)
        if peers.live(now_ms) or not peers.all() or not (is_settled and has_relays):
            self._alone_ms = None
            return
        if self._alone_ms is None:
            self._alone_ms = now_ms
        if now_ms - self._alone_ms < OWNERS_LOST_MS:
            return
        self._alone_ms = now_ms + LISTING_INTERVAL_MS - OWNERS_LOST_MS
        entries = self._store.call("list_seats")
        owners = [entry.owner for entry in entries]
        is_taken = choose_seat(self._itself, entries, self._seats) is None
        if is_taken and not is_listed(self._itself, owners):
            self._become_relay(owners, "store")

    def check_hosts(self, now_ms: int) -> None:
        """Take a seat again if peers removed this owner; remove owners that are gone.

        :raises StoreError: if the store can't be read or written.
        """
        if self._link.is_removed and now_ms - self._registered_ms >= LISTING_INTERVAL_MS:
            self._join()
        self._check_while_alone(now_ms)
        self._check_new_era(now_ms)
        if not self._store.era_is_settled(now_ms, NEW_ERA_SETTLING_MS):
            return
        silent = self._view.peers.removal_candidates(now_ms)
        if not silent or not self._view.peers.may_remove(now_ms):
            return
        if self._listed_ms != NEVER_MS and now_ms - self._listed_ms < LISTING_INTERVAL_MS:
            return
        removes_entries = self._store.is_first_reader(now_ms)
        if removes_entries or self._view.peers.removal_candidates(now_ms, FALLBACK_LISTING_MS):
            self._listed_ms = now_ms
            self._remove_unlisted(silent, removes_entries)

    def _check_new_era(self, now_ms: int) -> None:
        """Check the listing after a new era of the store, at a random time.

        The store may have lost the entry of this owner and may list owners that were removed.
        """
        if self._store.era == self._checked_era:
            return
        if self._era_check_ms is None:
            self._era_check_ms = now_ms + int(random.uniform(0, NEW_ERA_CHECK_SPREAD_MS))
        if now_ms < self._era_check_ms:
            return
        self._era_check_ms = None
        entries = self._store.call("list_seats")
        era = self._store.era
        returned = self._remove_returned(entries, now_ms)
        owners = [entry.owner for entry in entries if entry not in returned]
        for owner in owners:
            self._link.register(owner)
        listed = is_listed(self._itself, owners)
        if (listed or self._take_seat_again(entries, returned, now_ms)) and not returned:
            self._checked_era = era
        self._log.event(
            "seats_checked",
            after=era,
            listed=listed,
            owners=len(owners),
            returned=[entry.owner.name for entry in returned],
        )

    def _remove_returned(self, entries: list[SeatEntry], now_ms: int) -> list[SeatEntry]:
        """Return the entries of owners that were removed before the new era.

        The first store reader removes them instead, from the store and from ``entries``.
        """
        if self._store.era_is_settled(now_ms, NEW_ERA_SETTLING_MS):
            return []  # owners that are listed now have taken their seats again
        returned = [entry for entry in entries if self._was_removed(entry.owner)]
        if not (self._store.is_first_reader(now_ms) and self._view.peers.may_remove(now_ms)):
            return returned
        for entry in returned:
            if self._remove_entry(entry):
                entries.remove(entry)
        return []  # one that was rewritten since has taken its seat again

    def _was_removed(self, owner: Owner) -> bool:
        """Return whether an owner was removed and has not been heard from since."""
        unknown = self._view.peers.by_address(owner.address) is None
        return unknown and self._view.was_removed(owner.address)

    def _take_seat_again(
        self, entries: list[SeatEntry], returned: list[SeatEntry], now_ms: int
    ) -> bool:
        """Take a seat for this owner, whose entry the store has lost.

        :param returned: entries of owners that were removed; their seats may be taken.
        :returns: ``False`` if that has to be tried again.
        """
        zone = self._itself.availability_zone
        holders = [entry for entry in entries if entry.seat.rpartition(".")[0] == zone]
        seat = choose_seat(self._itself, entries, self._seats)
        if seat is None:
            free = [entry for entry in holders if entry in returned]
            seat = Seat(free[0].seat, free[0]) if free else None
        if seat is None and not all(self._is_live(entry.owner, now_ms) for entry in holders):
            return False  # a silent holder may be gone; its entry is then removed
        if seat is None:
            self._become_relay([entry.owner for entry in entries], "store")
            return True
        try:
            self._store.call("take_seat", seat.name, self._itself, seat.replaced)
            # A host that starts may have listed the seats before, and this host before that one
            # took its seat.
            owners = [entry.owner for entry in self._store.call("list_seats")]
        except StoreError as error:
            if error.kind is not StoreErrorKind.CONFLICT:
                raise
            return False
        known = [owner for owner in owners if not self._was_removed(owner)]
        self._become_owner(known, "store")
        return True

    def _is_live(self, owner: Owner, now_ms: int) -> bool:
        peer = self._view.peers.by_address(owner.address)
        return peer is not None and self._view.peers.is_live(peer, now_ms)

    def _remove_unlisted(self, silent: list[Peer], removes_entries: bool) -> None:
        """Remove silent owners that the store doesn't list.

        :param removes_entries: whether to remove the store's entries of silent owners first.
        """
        entries = self._store.call("list_seats")
        listed = {entry.owner.address: entry for entry in entries}
        if self._itself.address not in listed and self._store.era == self._checked_era:
            self._join(entries)
        for peer in silent:
            entry = listed.get(peer.address)
            if entry is None or (removes_entries and self._remove_entry(entry)):
                self._link.remove(peer.address, "store")

    def _remove_entry(self, entry: SeatEntry) -> bool:
        """Remove an entry; return ``False`` if it was rewritten since it was listed."""
        try:
            self._store.call("remove_seat", entry)
        except StoreError as error:
            if error.kind is not StoreErrorKind.CONFLICT:
                raise
            return False  # the host registered again in the meantime
        return True
