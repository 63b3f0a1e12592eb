"""Replaces primaries that are leaving, gone or unresponsive.

One host replaces primaries at a time. The record of primaries in the store names its holder, and
only the holder orders promotions, for a limited time after each write that confirms it.
"""

from collections.abc import Callable
from dataclasses import replace

import eventlet

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.primaries import (
    PROMOTION_CALL_TIMEOUT_MS,
    PROMOTION_EFFECT_MS,
    Evidence,
    FencingState,
    PromotionRight,
    ReplacementReason,
    completed_record,
    is_settled,
    may_promote,
    moving_record,
    reason_to_replace,
)
from figcrank.protocol.heartbeats import NEVER_MS, PrimaryRecord
from figcrank.protocol.sessions import ServerCodec, ServerReport
from figcrank.state._catalog import ServerEntry
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._initial_primaries import InitialPrimaries
from figcrank.transport.streams._interfaces import (
    FailoverService,
    PromoteOutcome,
    StoreError,
)
from figcrank.transport.streams._internal_errors import InternalErrors
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._primary_record_writer import PrimaryRecordWriter
from figcrank.transport.streams._promotion_candidates import Candidate, PromotionCandidates, Reports
from figcrank.transport.streams._record_settler import RecordSettler
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._server_commands import ServerCommands
from figcrank.transport.streams._store_reader import StoreReader

CHECK_INTERVAL_MS = 60  # a crash is handled within two checks
TAKEOVER_TIMEOUT_MS = 2_500  # another host then continues what has not changed for so long
CATCH_UP_TIMEOUT_MS = 600  # in a planned switch, for a replica to apply every commit
PROMOTION_TIMEOUT_MS = 3_000  # the longest promotions take 1 s
POLL_INTERVAL_MS = 40  # status polling of the promoted server
QUIESCE_TIMEOUT_MS = 800  # hosts end statements and transactions on a leaving primary by then
FENCE_TIMEOUT_MS = 5_000  # exceeds the longest lease plus the replies awaited
QUIESCED_READ_INTERVAL_MS = 300  # between reads of the quiesced hosts from the store
DEMOTE_TIMEOUT_MS = 8_000  # for demoting a primary that was cut off, once it is reachable
DEMOTE_RETRY_MS = 400
RECORD_RETRY_MS = 3_000  # between attempts to record primaries that were never replaced
MAX_PROMOTION_ATTEMPTS = 5  # per server, if the call is refused or its response is lost
# A server that was silent for a moment answers by then; after that the replacement begins again.
PROOF_TIMEOUT_MS = 10_000
SWITCH_RETRY_MS = 1_000  # until a planned switch is tried again that waits for a replica
PROMOTION_RETRY_MS = 100  # after a refused order; the call is limited to 50/s


class PrimaryReplacer:
    """Detects primaries to replace and runs the replacement of each group.

    :param view: this host's view of the fleet.
    :param router: server pools.
    :param link: sends changed records to the peers.
    :param store: makes store calls.
    :param service: promotes servers.
    :param codec: server wire format.
    :param clock: this host's clock.
    :param log: event log.
    :param metrics: metrics registry.
    """

    def __init__(
        self,
        view: FleetView,
        router: Router,
        link: PeerLink,
        store: StoreReader,
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
        self._commands = ServerCommands(view.host, router, codec, clock)
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._errors = InternalErrors(log, metrics)
        self._replacing: set[str] = set()
        self._writer = PrimaryRecordWriter(view.host, store, self._merge_record, clock, log)
        self._candidates = PromotionCandidates(
            view, router, self._query_servers, self._stop_servers, self._writer, clock, log
        )
        self._settler = RecordSettler(
            view,
            store,
            self._writer,
            self._query_servers,
            self._address_of,
            self._merge_record,
            lambda group, record: self._start_replacement(group, record, None),
            clock,
            log,
        )
        self._initial = InitialPrimaries(
            view,
            store,
            self._writer,
            self._query_servers,
            self._address_of,
            self._merge_record,
            lambda group, record: self._start_replacement(
                group, record, ReplacementReason.UNREACHABLE
            ),
            clock,
            log,
        )
        self._next_record_attempt_ms = 0
        self._missing_since_ms: dict[str, int] = {}
        self._next_switch_ms: dict[str, int] = {}  # by group, of a planned one

    def run(self) -> None:
        """Check every group periodically, until the process ends."""
        while True:
            eventlet.sleep(CHECK_INTERVAL_MS / 1_000)
            now_ms = self._clock.now_ms()
            self._settler.check(now_ms)
            self._initial.check(now_ms)
            for group, record in self._view.primary_table.all().items():
                if group not in self._replacing:
                    self._check_group(group, record, now_ms)

    def _check_group(self, group: str, record: PrimaryRecord, now_ms: int) -> None:
        self._track_registration(group, record, now_ms)
        is_first_reader = self._store.is_first_reader(now_ms)
        if not record.moving:
            self._candidates.track(group, record, is_first_reader)
        if not is_first_reader:
            return
        if record.moving:
            if self._view.primary_table.moving_for_ms(group, now_ms) > TAKEOVER_TIMEOUT_MS:
                self._start_replacement(group, record, None)
            return
        reason = reason_to_replace(self._evidence(group, record, now_ms))
        if reason is not None and reason.is_planned and now_ms < self._next_switch_ms.get(group, 0):
            return
        if reason is not None:
            self._start_replacement(group, record, reason)
        elif not record.version and record.term and now_ms >= self._next_record_attempt_ms:
            self._next_record_attempt_ms = now_ms + RECORD_RETRY_MS
            eventlet.spawn_n(self._store_initial_records)

    def _track_registration(self, group: str, record: PrimaryRecord, now_ms: int) -> None:
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
            self._view.primary_table.unchanged_for_ms(group, now_ms),
            self._store.registry_is_recent(now_ms),
            self._store.registry_is_fresh(now_ms),
            self._view.primary_failures.get(group),
            tuple(peer.heartbeat.primary_failures.get(group) for peer in live if peer.heartbeat),
            self._candidates.is_evacuated(record.server_id),
        )

    def _start_replacement(
        self, group: str, record: PrimaryRecord, reason: ReplacementReason | None
    ) -> None:
        if group in self._replacing:
            return
        others = [e for e in self._router.entries_of(group) if e.server_id != record.server_id]
        if reason is not None:  # one that is taken over may have promoted a server already
            others = [e for e in others if self._router.guard.is_open(e)]
        if not others:
            return
        self._replacing.add(group)
        eventlet.spawn_n(self._replace, group, record, reason)

    def _replace(self, group: str, record: PrimaryRecord, reason: ReplacementReason | None) -> None:
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
            outcome = self._run_replacement(group, record, reason)
        except StoreError as error:
            outcome = str(error)
            eventlet.sleep(self._store.backoff_ms() / 1_000)
        except Exception:  # noqa: BLE001 - it would end the thread without a line in the log
            self._errors.record(group=group)
        finally:
            self._replacing.discard(group)
            self._metrics.count("replacements", outcome="done" if outcome == "done" else "failed")
            self._log.event(
                "replacement_ended",
                group=group,
                outcome=outcome,
                took_ms=self._clock.now_ms() - started_ms,
            )

    def _run_replacement(
        self, group: str, record: PrimaryRecord, reason: ReplacementReason | None
    ) -> str:
        planned = reason is not None and reason.is_planned
        sync_replicas = self._candidates.sync_replicas(group)
        if planned and sync_replicas:
            caught_up = self._await_sync_replica(group, record)
            if caught_up is False:
                self._next_switch_ms[group] = self._clock.now_ms() + SWITCH_RETRY_MS
                return "no server that could take over has every commit"
            planned = bool(caught_up)  # a primary that does not answer has nothing left to finish
        if planned:  # the primary goes on serving while this host becomes the holder
            self._sleep_until(self._writer.hold().not_before_ms)
        era = self._store.era
        # What an interrupted replacement, or one that the store has lost, has done is not known.
        takes_over = record.moving or not is_settled(record, era)
        moving = moving_record(record, planned, era)
        right = self._writer.write(group, moving, members=self._candidates.members(group))
        self._candidates.adopt_stored_members(group)
        if self._store.era != era:
            return "the store came back from an older copy"
        stored_ms = self._clock.now_ms()
        self._merge_record(group, moving)
        if self._view.primary_table.get(group) != moving:
            return "a newer primary record was merged first"
        if sync_replicas and self._prepare_sync_replica(group, moving, planned) is False:
            return self._keep_primary(group, moving)
        self._stop_old_primary(group, moving, planned)
        promoted = self._find_promoted(group, moving, not takes_over)
        if promoted is None:
            if not self._await_fencing(group, moving, stored_ms):
                return "the old primary may still be in use"
            self._sleep_until(right.not_before_ms)
            # The previous holder's promotions have arrived by now.
            promoted = self._find_promoted(group, moving, not takes_over)
            if promoted is None and takes_over:
                # One that takes effect after this host's would depose the server promoted here.
                self._sleep_until(right.not_before_ms + PROMOTION_EFFECT_MS)
                promoted = self._find_promoted(group, moving, False)
            promoted = promoted or self._promote(group, moving, right)
        if promoted is None:
            return "no server could be promoted"
        server_id, term = promoted
        done = completed_record(moving, server_id, term, self._address_of(server_id))
        self._merge_record(group, done)
        eventlet.spawn_n(self._demote_later, record.server_id, group, term)
        self._writer.write(group, done, renews=True, members=self._candidates.members(group))
        return "done"

    def _keep_primary(self, group: str, moving: PrimaryRecord) -> str:
        """End a planned switch before the primary was demoted; it is used again."""
        address = moving.address or self._address_of(moving.server_id)
        kept = completed_record(moving, moving.server_id, moving.term, address)
        self._merge_record(group, kept)
        self._writer.write(group, kept, renews=True, members=self._candidates.members(group))
        self._next_switch_ms[group] = self._clock.now_ms() + SWITCH_RETRY_MS
        return "no server that could take over has every commit; the primary is kept"

    def _store_initial_records(self) -> None:
        """Record primaries that were never replaced, for hosts that start later.

        A primary that is cut off from the store loses its registration there, and with it its
        address.
        """
        for group, record in self._view.primary_table.all().items():
            address = self._address_of(record.server_id)
            if record.version or not record.term or not address or group in self._replacing:
                continue
            recorded = replace(record, version=1, address=address)
            try:
                self._writer.write(group, recorded)
            except StoreError:
                return  # logged and counted by the call; retried later
            self._merge_record(group, recorded)

    def _sleep_until(self, until_ms: int) -> None:
        eventlet.sleep(max(0, until_ms - self._clock.now_ms()) / 1_000)

    def _merge_record(self, group: str, record: PrimaryRecord) -> None:
        if self._view.merge_primary(group, record, self._clock.now_ms()):
            self._link.log_primary(group, "own")
        self._router.tick()
        self._router.notify_primary_change()
        self._link.broadcast_heartbeat()

    def _stop_old_primary(self, group: str, record: PrimaryRecord, planned: bool) -> None:
        """Stop the old primary from acknowledging commits, if it can be reached."""
        entry = self._entry(record.server_id)
        if entry is None:
            return
        if planned and not self._candidates.sync_replicas(group):
            self._await_quiesced(group, QUIESCE_TIMEOUT_MS)
            self._await_catch_up(group, entry)
        self._demote(entry, record.term + 1)

    def _address_of(self, server_id: str) -> str:
        entry = self._entry(server_id)
        return entry.address if entry else ""

    def _entry(self, server_id: str) -> ServerEntry | None:
        pool = self._router.pool(server_id)
        return pool.entry if pool else None

    def _await_quiesced(self, group: str, wait_ms: int) -> None:
        deadline_ms = self._clock.now_ms() + wait_ms
        while self._clock.now_ms() < deadline_ms:
            _, quiesced = self._count_quiesced_hosts(group, set())
            if quiesced >= self._view.host_count():
                return
            eventlet.sleep(POLL_INTERVAL_MS / 2_000)
            self._router.tick()

    def _count_quiesced_hosts(self, group: str, from_store: set[str]) -> tuple[int, int]:
        """Return the number of hosts, and of those that no longer use the old primary.

        Removed hosts count too while they may hold a lease on the other side of a partition.

        :param from_store: hosts that reported this through the store.
        """
        _, from_heartbeats = self._view.quiesced_hosts(self._clock.now_ms()).get(group, (0, []))
        members = {self._view.host, *(peer.name for peer in self._view.peers.all())}
        hosts = len(members) + self._view.removed_host_count()
        return hosts, len(members & (from_store | set(from_heartbeats)))

    def _stored_quiesced_hosts(self, group: str, version: int) -> set[str]:
        """Return the hosts that no longer use the old primary, as reported through the store."""
        try:
            listed = self._store.call("list_quiet")
        except StoreError:
            return set()  # logged and counted by the call
        found = (quiesced.get(group, (0, [])) for quiesced in listed)
        return {
            host
            for quiesced_version, hosts in found
            if quiesced_version >= version
            for host in hosts
        }

    def _await_catch_up(self, group: str, old: ServerEntry) -> None:
        """Wait until a candidate that isn't leaving has applied every commit of the old primary."""
        report = self._commands.status(old)
        target = report.position if report else self._observed_position(group, old)
        if target is None:
            return
        deadline_ms = self._clock.now_ms() + CATCH_UP_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            if self._candidates.best_has_reached(group, old.server_id, target):
                return
            eventlet.sleep(POLL_INTERVAL_MS / 1_000)

    def _await_sync_replica(self, group: str, record: PrimaryRecord) -> bool | None:
        """Wait until a replica that could take over has received every commit of the primary.

        :returns: whether one has; ``None`` if the primary does not answer.
        """
        entry = self._entry(record.server_id)
        report = self._commands.status(entry) if entry else None
        if report is None or report.position is None:
            return None
        deadline_ms = self._clock.now_ms() + CATCH_UP_TIMEOUT_MS
        while True:
            if self._candidates.has_caught_up(group, record.server_id, report.position):
                return True
            if self._clock.now_ms() >= deadline_ms:
                return False
            eventlet.sleep(POLL_INTERVAL_MS / 1_000)

    def _prepare_sync_replica(
        self, group: str, record: PrimaryRecord, planned: bool
    ) -> bool | None:
        """Let a replica receive the last commits of a primary that answers, before its demotion.

        A demoted primary sends no commits, so that only it could be promoted again.

        :returns: false if the switch can wait and no replica has received them.
        """
        if not planned and group in self._view.primary_failures:
            return None
        self._await_quiesced(group, QUIESCE_TIMEOUT_MS)
        caught_up = self._await_sync_replica(group, record)
        return caught_up if planned else None

    def _observed_position(self, group: str, old: ServerEntry) -> Position | None:
        """Return the newest position of a primary that must not be queried, if hosts know it."""
        newest = self._view.position_history(group).newest()
        return newest[1] if newest and self._router.is_evacuated(old) else None

    def _await_fencing(self, group: str, record: PrimaryRecord, stored_ms: int) -> bool:
        """Wait until it is safe to promote another server; return whether that was reached."""
        half_quiesced_ms = third_quiesced_ms = NEVER_MS
        stored_hosts: set[str] = set()
        store_read_ms = stored_ms
        deadline_ms = self._clock.now_ms() + FENCE_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            now_ms = self._clock.now_ms()
            self._router.tick()
            hosts, quiesced = self._count_quiesced_hosts(group, stored_hosts)
            if quiesced < hosts and now_ms - store_read_ms >= QUIESCED_READ_INTERVAL_MS:
                stored_hosts = self._stored_quiesced_hosts(group, record.version)
                store_read_ms = now_ms
            if half_quiesced_ms == NEVER_MS and 2 * (hosts - quiesced) <= hosts:
                half_quiesced_ms = now_ms
            if third_quiesced_ms == NEVER_MS and 3 * quiesced >= hosts:
                third_quiesced_ms = now_ms
            fence = FencingState(
                stored_ms,
                hosts,
                quiesced,
                half_quiesced_ms,
                third_quiesced_ms,
            )
            if may_promote(fence, now_ms):
                return True
            eventlet.sleep(POLL_INTERVAL_MS / 2_000)
        self._log.event(
            "fence_incomplete",
            group=group,
            hosts=sorted(peer.name for peer in self._view.peers.all()),
            heard=self._view.quiesced_hosts(self._clock.now_ms()).get(group),
            told=sorted(stored_hosts),
        )
        return False

    def _demote(self, entry: ServerEntry, term: int) -> bool:
        report = self._commands.demote(entry, term)
        demoted = report is not None and not report.is_primary
        if demoted:
            self._log.event("primary_demoted", server=entry.server_id, term=term)
        return demoted

    def _demote_later(self, server_id: str, group: str, term: int) -> None:
        """Demote the old primary once it is reachable again."""
        deadline_ms = self._clock.now_ms() + DEMOTE_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            entry = self._entry(server_id)
            if entry is None or self._view.primary_table.get(group).server_id == server_id:
                return
            if self._router.is_evacuated(entry):  # it receives nothing until the zone is used again
                deadline_ms = self._clock.now_ms() + DEMOTE_TIMEOUT_MS
            if self._demote(entry, term):
                return
            eventlet.sleep(DEMOTE_RETRY_MS / 1_000)

    def _find_promoted(
        self, group: str, record: PrimaryRecord, may_have_returned: bool
    ) -> tuple[str, int] | None:
        """Return a server that is already the primary, in a later term if it was promoted.

        :param may_have_returned: whether it may be the old primary itself, which has returned under
            another id: a term has only one primary. An interrupted replacement may have promoted
            a server of a later term, however.
        """
        least_term = record.term if may_have_returned else record.term + 1
        promoted = [
            (report.term, server_id)
            for server_id, report in self._collect_reports(group, record.server_id)
            if report.is_primary and report.term >= least_term
        ]
        if not promoted:
            return None
        term, server_id = max(promoted)  # an interrupted replacement may follow another one
        return server_id, term

    def _promote(
        self, group: str, record: PrimaryRecord, right: PromotionRight
    ) -> tuple[str, int] | None:
        for server_id, report in self._await_candidates(group, record):
            promoted = self._promote_one(group, record, right, server_id, report)
            if promoted is not None:
                return promoted
        return None

    def _await_candidates(self, group: str, record: PrimaryRecord) -> list[Candidate]:
        """Return the servers that may be promoted, best first.

        With synchronous replicas, wait until enough servers answer to prove which ones have every
        acknowledged commit. Promoting another one would lose some.
        """
        deadline_ms = self._clock.now_ms() + PROOF_TIMEOUT_MS
        while True:
            candidates = self._candidates.find(group, record)
            is_final = bool(candidates) or not self._candidates.sync_replicas(group)
            if is_final or self._clock.now_ms() >= deadline_ms:
                return candidates
            eventlet.sleep(PROMOTION_RETRY_MS / 1_000)

    def _promote_one(
        self,
        group: str,
        record: PrimaryRecord,
        right: PromotionRight,
        server_id: str,
        report: ServerReport,
    ) -> tuple[str, int] | None:
        """Order one server's promotion, with retries, and return it once it is primary."""
        for _ in range(MAX_PROMOTION_ATTEMPTS):
            if self._candidates.is_evacuated(server_id):
                return None  # evacuated since it was chosen
            if right.needs_renewal(self._clock.now_ms()):
                right = self._writer.write(group, record, renews=True)
            outcome = self._order_promotion(group, right, server_id, report)
            if outcome is PromoteOutcome.REJECTED:
                return None
            if outcome is PromoteOutcome.NOT_DONE:
                eventlet.sleep(PROMOTION_RETRY_MS / 1_000)
                continue
            accepted = outcome is PromoteOutcome.ACCEPTED
            promoted = self._await_promoted(server_id, record.term, accepted)
            if promoted is not None:
                return promoted
        return None

    def _order_promotion(
        self, group: str, right: PromotionRight, server_id: str, report: ServerReport
    ) -> PromoteOutcome:
        def may_send() -> bool:
            now_ms = self._clock.now_ms()
            permitted = right.permits(now_ms) and not self._candidates.is_evacuated(server_id)
            self._log.event(
                "promotion_sent" if permitted else "promotion_not_sent",
                group=group,
                server=server_id,
                token=right.token,
                renewal_age_ms=now_ms - right.renewed_ms,
            )
            return permitted

        started_ms = self._clock.now_ms()
        outcome = self._service.promote(
            group, server_id, right.holder, right.token, may_send, PROMOTION_CALL_TIMEOUT_MS
        )
        self._log.event(
            "promotion_ordered",
            group=group,
            server=server_id,
            position=report.position,
            token=right.token,
            outcome=outcome.name.lower(),
            took_ms=self._clock.now_ms() - started_ms,
        )
        return outcome

    def _await_promoted(
        self, server_id: str, old_term: int, accepted: bool
    ) -> tuple[str, int] | None:
        """Return a server and its term once it is primary by its promotion.

        :param accepted: whether the service accepted the order. It changes nothing for the present
            primary, which goes on in its term.
        """
        ordered_ms = self._clock.now_ms()
        while self._clock.now_ms() < ordered_ms + PROMOTION_TIMEOUT_MS:
            entry = self._entry(server_id)
            report = self._commands.status(entry) if entry else None
            if report is not None and report.is_primary:
                took_effect = self._clock.now_ms() - ordered_ms > PROMOTION_EFFECT_MS
                if report.term > old_term or (accepted and took_effect):
                    return server_id, report.term
            eventlet.sleep(POLL_INTERVAL_MS / 1_000)
        return None

    def _collect_reports(self, group: str, old_id: str) -> list[tuple[str, ServerReport]]:
        """Return the status reports of the group's other servers."""
        reports = self._query_servers(group, old_id)
        return [(server_id, report) for server_id, report in reports.items() if report is not None]

    def _query_servers(self, group: str, except_id: str = "") -> Reports:
        """Return the status report of each server of a group, ``None`` if it does not answer."""
        return self._ask_servers(group, self._commands.status, except_id)

    def _stop_servers(self, group: str, except_id: str, term: int) -> Reports:
        """Return the reports of a group's servers after they stopped receiving earlier commits.

        A primary is demoted; it counts as silent if it goes on.

        :param except_id: id of a server that is not asked.
        :param term: the first term from which commits may be received.
        """

        def stop(entry: ServerEntry) -> ServerReport | None:
            report = self._commands.pause(entry, term)
            if report is not None and report.is_primary:
                report = self._commands.demote(entry, term)
            return None if report is None or report.is_primary else report

        return self._ask_servers(group, stop, except_id)

    def _ask_servers(
        self,
        group: str,
        ask: Callable[[ServerEntry], ServerReport | None],
        except_id: str = "",
    ) -> Reports:
        entries = [e for e in self._router.entries_of(group) if e.server_id != except_id]
        threads = {e.server_id: eventlet.spawn(ask, e) for e in entries}
        return {server_id: thread.wait() for server_id, thread in threads.items()}
