"""Replaces primaries that leave, are gone or don't answer.

One host does it at a time: the store's record names the holder, and only its holder promotes,
within a short time after it has renewed that record. A new holder waits that time out before
it acts.
"""

from dataclasses import replace

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import (
    Evidence,
    Fence,
    Reason,
    best_candidates,
    claim,
    may_promote,
    moving_record,
    reason_to_replace,
    settled_record,
)
from figcrank.protocol.heartbeats import NEVER_MS, PrimaryRecord, StoredPrimaries
from figcrank.protocol.sessions import ServerCodec, ServerReport
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._ports import (
    FailoverService,
    PromoteOutcome,
    StoreError,
    StoreErrorKind,
)
from figcrank.transport.streams._questions import ServerQuestions
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._store_loop import StoreLoop

TICK_MS = 60  # a crash is acted on within two of them
ORDER_MS = 600  # the holder orders a promotion within this time after it renewed the record
TAKEOVER_MS = 2_500  # longer than a change of holder, a fence and a promotion of one second
CATCH_UP_MS = 600  # wait for the next primary of a planned replacement to hold every commit
PROMOTED_MS = 3_000  # the longest promotion known is one second
POLL_MS = 40  # how often the promoted server is asked whether it leads
QUIET_MS = 800  # hosts end their work at a leaving primary within this time
FENCE_MS = 5_000  # longer than the longest lease and the answers that it waits for
ASK_QUIET_MS = 300  # between readings of what hosts said through the store
DEMOTE_FOR_MS = 8_000  # a primary that was cut off is demoted once it is reached
DEMOTE_PAUSE_MS = 400
NOTE_PAUSE_MS = 3_000  # between tries to write down primaries that nobody has replaced
WRITE_TRIES = 3  # of the record, whose revision other groups change as well
ORDERS = 5  # tries of one server's promotion while the call is refused or its answer lost
ORDER_PAUSE_MS = 100  # between refused orders; the call's rate is fifty a second


class Replacer:
    """The replacing of primaries.

    :param view: what this host believes.
    :param router: the servers.
    :param link: tells the peers.
    :param store: the store's loop, whose calls are counted.
    :param service: the deployment's call that promotes.
    :param codec: the servers' wire format.
    :param clock: this host's clock.
    :param log: where decisions are written.
    :param metrics: where they are counted.
    """

    def __init__(
        self,
        view: FleetView,
        router: Router,
        link: PeerLink,
        store: StoreLoop,
        service: FailoverService,
        codec: ServerCodec,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._router = router
        self._link = link
        self._store = store
        self._service = service
        self._questions = ServerQuestions(view.host, router, codec, clock)
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._under_way: set[str] = set()
        self._stored = StoredPrimaries()
        self._renewed_ms = NEVER_MS
        self._note_at_ms = 0
        self._missing_since_ms: dict[str, int] = {}

    def run(self) -> None:
        """Look after every group for ever."""
        while True:
            eventlet.sleep(TICK_MS / 1_000)
            now_ms = self._clock.now_ms()
            for group, record in self._view.book.all().items():
                if group not in self._under_way:
                    self._look_after(group, record, now_ms)

    def _look_after(self, group: str, record: PrimaryRecord, now_ms: int) -> None:
        self._note_missing(group, record, now_ms)
        if not self._store.is_first_reader(now_ms):
            return
        if record.moving:
            if self._view.book.moving_for_ms(group, now_ms) > TAKEOVER_MS:
                self._start(group, record, None)
            return
        reason = reason_to_replace(self._evidence(group, record, now_ms))
        if reason is not None:
            self._start(group, record, reason)
        elif not record.version and record.term and now_ms >= self._note_at_ms:
            self._note_at_ms = now_ms + NOTE_PAUSE_MS
            eventlet.spawn_n(self._note_primaries)

    def _note_missing(self, group: str, record: PrimaryRecord, now_ms: int) -> None:
        fresh = self._store.registry_is_fresh(now_ms)
        if record.server_id in self._view.registry.servers or not fresh:
            self._missing_since_ms.pop(group, None)
        else:
            self._missing_since_ms.setdefault(group, now_ms)

    def _evidence(self, group: str, record: PrimaryRecord, now_ms: int) -> Evidence:
        live = self._view.peers.live(now_ms)
        return Evidence(
            record,
            self._view.registry,
            now_ms - self._missing_since_ms.get(group, now_ms),
            self._view.book.unchanged_for_ms(group, now_ms),
            self._store.registry_is_fresh(now_ms),
            self._view.trouble.get(group),
            tuple(peer.beat.trouble.get(group) for peer in live if peer.beat),
        )

    def _start(self, group: str, record: PrimaryRecord, reason: Reason | None) -> None:
        others = [e for e in self._router.entries_of(group) if e.server_id != record.server_id]
        if not others:
            return
        self._under_way.add(group)
        eventlet.spawn_n(self._replace, group, record, reason)

    def _replace(self, group: str, record: PrimaryRecord, reason: Reason | None) -> None:
        started_ms = self._clock.now_ms()
        self._log.event(
            "replacement_begun",
            group=group,
            server=record.server_id,
            term=record.term,
            reason=reason.name.lower() if reason else "taken over",
        )
        outcome = "failed"
        try:
            outcome = self._steps(group, record, reason)
        except StoreError as error:
            outcome = str(error)
            eventlet.sleep(self._store.backoff_ms() / 1_000)
        finally:
            self._under_way.discard(group)
            self._metrics.count("replacements", outcome="done" if outcome == "done" else "failed")
            self._log.event(
                "replacement_ended",
                group=group,
                outcome=outcome,
                took_ms=self._clock.now_ms() - started_ms,
            )

    def _steps(self, group: str, record: PrimaryRecord, reason: Reason | None) -> str:
        planned = reason is Reason.LEAVING
        moving = moving_record(record, planned)
        stored_ms = self._write(group, moving)
        self._merge(group, moving)
        if self._view.book.get(group) != moving:
            return "a newer belief came first"
        demoted = self._stop_old(group, moving, planned)
        leader = self._find_leader(group, moving)
        if leader is None:
            if not self._await_fence(group, moving, stored_ms, demoted):
                return "the old primary may still be in use"
            leader = self._promote(group, moving)
        if leader is None:
            return "no server took over"
        server_id, term = leader
        done = settled_record(moving, server_id, term, self._address_of(server_id))
        self._merge(group, done)
        eventlet.spawn_n(self._demote_later, record.server_id, group, term)
        self._write(group, done, renews=True)
        return "done"

    def _note_primaries(self) -> None:
        """Write the primaries that nobody has replaced yet, for hosts that start later.

        A primary that is cut off from the store loses its entry there, and with it its address.
        """
        for group, record in self._view.book.all().items():
            address = self._address_of(record.server_id)
            if record.version or not record.term or not address or group in self._under_way:
                continue
            noted = replace(record, version=1, address=address)
            try:
                self._write(group, noted)
            except StoreError:
                return  # logged and counted where the call was made; tried again later
            self._merge(group, noted)

    # The store's record.

    def _write(self, group: str, record: PrimaryRecord, renews: bool = False) -> int:
        """Write a belief as the holder; return the time after which it may be acted on."""
        for _ in range(WRITE_TRIES):
            if not self._stored.revision:
                self._stored = self._store.call("read_primaries")
            wanted = claim(self._stored, group, record, self._view.host, renews)
            if wanted is None:
                self._give_way(group)
            took = self._stored.holder != self._view.host
            renewed_ms = self._clock.now_ms()
            try:
                self._stored = self._store.call("write_primaries", wanted)
            except StoreError as error:
                self._stored = StoredPrimaries()
                if error.kind is StoreErrorKind.NOT_DONE:
                    raise
                continue
            self._renewed_ms = renewed_ms
            if took:
                # The holder before may still order a promotion within this time.
                eventlet.sleep(ORDER_MS / 1_000)
                self._renewed_ms = NEVER_MS
            return self._clock.now_ms()
        raise StoreError(StoreErrorKind.UNKNOWN, "the record could not be written")

    def _give_way(self, group: str) -> None:
        """Take over what another host has written.

        :raises StoreError: always; this host has nothing more to do for the group.
        """
        known = self._stored.records.get(group)
        self._stored = StoredPrimaries()
        if known is not None:
            self._merge(group, known)
        raise StoreError(StoreErrorKind.CONFLICT, "another host has the replacement in hand")

    def _renew(self, group: str, record: PrimaryRecord) -> None:
        if self._renewed_ms == NEVER_MS or self._clock.now_ms() - self._renewed_ms > ORDER_MS // 2:
            self._write(group, record, renews=True)

    def _merge(self, group: str, record: PrimaryRecord) -> None:
        if self._view.merge_primary(group, record, self._clock.now_ms()):
            self._link.log_primary(group, "own")
        self._router.tick()
        self._router.announce_change()
        self._link.tell_all()

    # The old primary.

    def _stop_old(self, group: str, record: PrimaryRecord, planned: bool) -> bool:
        """Keep the old primary from acknowledging more; return whether it is demoted."""
        entry = self._entry(record.server_id)
        if entry is None:
            return False
        if planned:
            self._await_quiet(group, QUIET_MS)
            self._await_catch_up(group, entry)
        return self._demote(entry, record.term + 1)

    def _address_of(self, server_id: str) -> str:
        entry = self._entry(server_id)
        return entry.address if entry else ""

    def _entry(self, server_id: str) -> ServerEntry | None:
        pool = self._router.pool(server_id)
        return pool.entry if pool else None

    def _await_quiet(self, group: str, wait_ms: int) -> None:
        deadline_ms = self._clock.now_ms() + wait_ms
        while self._clock.now_ms() < deadline_ms:
            hosts, quiet = self._quiet(group, set())
            if quiet >= hosts:
                return
            eventlet.sleep(POLL_MS / 2_000)
            self._router.tick()

    def _quiet(self, group: str, told: set[str]) -> tuple[int, int]:
        """Return how many hosts there are and how many use the old primary no more.

        :param told: hosts that said so through the store.
        """
        _, heard = self._view.quiet_hosts(self._clock.now_ms()).get(group, (0, []))
        known = {self._view.host, *(peer.name for peer in self._view.peers.all())}
        return len(known), len(known & (told | set(heard)))

    def _told_quiet(self, group: str, version: int) -> set[str]:
        """Return the hosts that said through the store that they use the old primary no more."""
        try:
            listed = self._store.call("list_quiet")
        except StoreError:
            return set()  # logged and counted where the call was made
        found = (told.get(group, (0, [])) for told in listed)
        return {host for told_version, hosts in found if told_version >= version for host in hosts}

    def _await_catch_up(self, group: str, old: ServerEntry) -> None:
        """Wait for one replica that stays to hold every commit of the old primary."""
        target = self._questions.status(old)
        if target is None or target.position is None:
            return
        deadline_ms = self._clock.now_ms() + CATCH_UP_MS
        while self._clock.now_ms() < deadline_ms:
            candidates = self._candidates(group, old.server_id)
            if candidates and (candidates[0][1].position or target.position) >= target.position:
                return
            eventlet.sleep(POLL_MS / 1_000)

    def _await_fence(
        self, group: str, record: PrimaryRecord, stored_ms: int, demoted: bool
    ) -> bool:
        majority_ms = third_ms = NEVER_MS
        told: set[str] = set()
        asked_ms = stored_ms
        deadline_ms = self._clock.now_ms() + FENCE_MS
        while self._clock.now_ms() < deadline_ms:
            now_ms = self._clock.now_ms()
            self._router.tick()
            hosts, quiet = self._quiet(group, told)
            if quiet < hosts and now_ms - asked_ms >= ASK_QUIET_MS:
                told = self._told_quiet(group, record.version)
                asked_ms = now_ms
            if majority_ms == NEVER_MS and 2 * (hosts - quiet) <= hosts:
                majority_ms = now_ms
            if third_ms == NEVER_MS and 3 * quiet >= hosts:
                third_ms = now_ms
            pool = self._router.pool(record.server_id)
            refused = pool is not None and pool.health.refused_ms is not None
            fence = Fence(stored_ms, demoted, refused, hosts, quiet, majority_ms, third_ms)
            if may_promote(fence, now_ms):
                return True
            eventlet.sleep(POLL_MS / 2_000)
        self._log.event(
            "fence_incomplete",
            group=group,
            hosts=sorted(peer.name for peer in self._view.peers.all()),
            heard=self._view.quiet_hosts(self._clock.now_ms()).get(group),
            told=sorted(told),
        )
        return False

    def _demote(self, entry: ServerEntry, term: int) -> bool:
        report = self._questions.demote(entry, term)
        demoted = report is not None and not report.is_primary
        if demoted:
            self._log.event("primary_demoted", server=entry.server_id, term=term)
        return demoted

    def _demote_later(self, server_id: str, group: str, term: int) -> None:
        """Demote the old primary once it is reached again."""
        deadline_ms = self._clock.now_ms() + DEMOTE_FOR_MS
        while self._clock.now_ms() < deadline_ms:
            entry = self._entry(server_id)
            if entry is None or self._view.book.get(group).server_id == server_id:
                return
            if self._demote(entry, term):
                return
            eventlet.sleep(DEMOTE_PAUSE_MS / 1_000)

    # The next primary.

    def _find_leader(self, group: str, record: PrimaryRecord) -> tuple[str, int] | None:
        """Return a server that leads a later term already: an earlier order has taken effect."""
        for server_id, report in self._reports(group, record.server_id):
            if report.is_primary and report.term > record.term:
                return server_id, report.term
        return None

    def _promote(self, group: str, record: PrimaryRecord) -> tuple[str, int] | None:
        for server_id, report in self._candidates(group, record.server_id):
            leader = self._promote_one(group, record, server_id, report)
            if leader is not None:
                return leader
        return None

    def _promote_one(
        self, group: str, record: PrimaryRecord, server_id: str, report: ServerReport
    ) -> tuple[str, int] | None:
        """Order one server's promotion until it leads or is known not to run."""
        for _ in range(ORDERS):
            self._renew(group, record)
            token = self._stored.token
            outcome = self._service.promote(group, server_id, self._view.host, token)
            self._log.event(
                "promotion_ordered",
                group=group,
                server=server_id,
                position=report.position,
                token=token,
                outcome=outcome.name.lower(),
            )
            if outcome is PromoteOutcome.REJECTED:
                return None
            if outcome is PromoteOutcome.NOT_DONE:
                eventlet.sleep(ORDER_PAUSE_MS / 1_000)
                continue
            leader = self._await_leader(server_id, record.term)
            if leader is not None:
                return leader
        return None

    def _await_leader(self, server_id: str, old_term: int) -> tuple[str, int] | None:
        deadline_ms = self._clock.now_ms() + PROMOTED_MS
        while self._clock.now_ms() < deadline_ms:
            entry = self._entry(server_id)
            report = self._questions.status(entry) if entry else None
            if report is not None and report.is_primary and report.term > old_term:
                return server_id, report.term
            eventlet.sleep(POLL_MS / 1_000)
        return None

    def _candidates(self, group: str, old_id: str) -> list[tuple[str, ServerReport]]:
        """Return the servers that may lead next, the best first."""
        leaving = {e.server_id for e in self._router.entries_of(group) if e.draining}
        return best_candidates(self._reports(group, old_id), leaving)

    def _reports(self, group: str, old_id: str) -> list[tuple[str, ServerReport]]:
        """Return what the group's other servers say of themselves."""
        entries = [e for e in self._router.entries_of(group) if e.server_id != old_id]
        threads = [(e.server_id, eventlet.spawn(self._questions.status, e)) for e in entries]
        reports = [(server_id, thread.wait()) for server_id, thread in threads]
        return [(server_id, report) for server_id, report in reports if report is not None]
