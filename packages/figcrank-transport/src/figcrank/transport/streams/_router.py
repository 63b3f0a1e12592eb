"""Finds the server and the connection for a statement, and learns from its answer."""

import eventlet
from eventlet.event import Event

from figcrank.coordination.fleet import FleetView, PrimaryUse
from figcrank.coordination.placement import Candidate, connection_quota, rank
from figcrank.protocol.heartbeats import Trouble
from figcrank.protocol.sessions import ServerCodec, ServerReply, SessionFailure
from figcrank.state._catalog import DatabaseRoute, ReadMode, ServerEntry
from figcrank.state._clock import Clock
from figcrank.state._positions import Position
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._pool import LAGGING_PAUSE_MS, ServerPool, split_address

RECHECK_MS = 100  # a lease can lapse and return without an event
GONE_GRACE_MS = 2_500  # entries that lapsed with the store are back within two seconds
SILENT_MS = 500  # a statement unanswered for so long makes its server suspect
DOUBT_MS = 200  # an answer older than this says nothing against a peer's trouble
FENCED_END_MS = 200  # statements under way at a primary that others don't reach end within it
PLANNED_END_MS = 500  # open transactions at a leaving primary may end in this time
DEFAULT_CONNECTIONS = 8  # for a group that the configuration does not name yet


class Router:
    """The servers of all groups as this host uses them.

    :param view: what this host believes.
    :param codec: the servers' wire format.
    :param clock: this host's clock.
    :param availability_zone: where this host runs.
    :param log: where decisions are written.
    :param metrics: where they are counted.
    """

    def __init__(
        self,
        view: FleetView,
        codec: ServerCodec,
        clock: Clock,
        availability_zone: str,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self.codec = codec
        self._clock = clock
        self._zone = availability_zone
        self._log = log
        self._metrics = metrics
        self._pools: dict[str, ServerPool] = {}
        self._changed = Event()

    def pool(self, server_id: str) -> ServerPool | None:
        """Return the pool of a server, ``None`` if it is not registered."""
        pool = self._pools.get(server_id)
        entry = self.view.registry.servers.get(server_id) or self._lapsed_primary(server_id)
        if entry is None:
            return pool
        if pool is not None and pool.entry.address != entry.address:
            pool.close_all()
            pool = None
        if pool is None:
            pool = ServerPool(entry, self.codec, self._clock, self._metrics)
            self._set_limit(pool)
            self._pools[server_id] = pool
        pool.entry = entry
        return pool

    def _lapsed_primary(self, server_id: str) -> ServerEntry | None:
        """Return the entry of a primary that only the record of primaries names."""
        for group, record in self.view.book.all().items():
            if record.server_id == server_id and record.address:
                return ServerEntry(server_id, group, record.address, "", 1, False, True)
        return None

    def pools(self) -> list[ServerPool]:
        """Return every pool."""
        return list(self._pools.values())

    def _set_limit(self, pool: ServerPool) -> None:
        catalog = self.view.catalog
        policy = catalog.groups.get(pool.entry.group) if catalog else None
        most = policy.max_connections if policy else DEFAULT_CONNECTIONS
        pool.limit = connection_quota(most, self.view.hosts())

    def announce_change(self) -> None:
        """Wake those who wait for a primary."""
        changed, self._changed = self._changed, Event()
        changed.send(None)

    def await_primary(self, group: str, deadline_ms: int) -> ServerPool:
        """Return the primary's pool once it may be used.

        :raises OpenError: if that is not before the deadline.
        """
        while True:
            now_ms = self._clock.now_ms()
            use = self.view.primary_use(group, now_ms)
            if use is PrimaryUse.USABLE:
                pool = self.pool(self.view.book.get(group).server_id)
                if pool is not None and pool.health.usable(now_ms):
                    return pool
            if use is PrimaryUse.NO_LEASE and self.view.lease_is_hopeless(now_ms):
                lost_ms = self.view.lease_lost_ms(now_ms)
                detail = f"this host has heard too few hosts and no store for {lost_ms} ms"
                raise OpenError(SessionFailure.BUSY, detail)
            left_ms = deadline_ms - now_ms
            if left_ms <= 0:
                raise OpenError(SessionFailure.BUSY, f"the primary is {use.name.lower()}")
            self.pause(min(left_ms, RECHECK_MS))

    def pause(self, wait_ms: float) -> None:
        """Wait until something about primaries changes, at most ``wait_ms``."""
        changed = self._changed
        with eventlet.Timeout(wait_ms / 1_000, False):
            changed.wait()

    def is_primary(self, pool: ServerPool) -> bool:
        """Return whether the pool's server is the believed primary of its group."""
        record = self.view.book.get(pool.entry.group)
        return record is not None and record.server_id == pool.entry.server_id

    def primary_usable(self, group: str) -> bool:
        """Return whether work may be sent to the group's primary now."""
        return self.view.primary_use(group, self._clock.now_ms()) is PrimaryUse.USABLE

    def read_pools(
        self, route: DatabaseRoute, after: Position | None, workspace: str, tried: set[str]
    ) -> list[tuple[ServerPool, Position | None]]:
        """Return where a read may run, the best place first, with the position to ask for.

        :param after: newest commit of the session in this group.
        :param tried: servers that have failed this read.
        """
        now_ms = self._clock.now_ms()
        pools: dict[str, tuple[ServerPool, Position | None]] = {}
        candidates = []
        required = self._required(route, after, now_ms)
        usable = self.view.primary_use(route.group, now_ms) is PrimaryUse.USABLE
        for entry in self.entries_of(route.group):
            pool = self.pool(entry.server_id)
            if entry.server_id in tried or not pool.health.usable(now_ms):
                continue
            leads = self.is_primary(pool)
            if leads and not usable:
                continue
            if not leads and (required is None or entry.draining):
                continue
            if not leads and self._lags(pool, required, now_ms):
                continue
            pools[entry.server_id] = (pool, None if leads else required)
            candidates.append(self._candidate(pool, leads, workspace))
        return [pools[candidate.server_id] for candidate in rank(candidates)]

    def entries_of(self, group: str) -> list[ServerEntry]:
        """Return the servers of a group, those included whose entries may have lapsed."""
        known = {entry.server_id: entry for entry in self.view.registry.of_group(group)}
        for pool in self.pools():
            if pool.entry.group == group:
                known.setdefault(pool.entry.server_id, pool.entry)
        record = self.view.book.get(group)
        if record is not None and record.server_id not in known:
            lapsed = self._lapsed_primary(record.server_id)
            known.update({record.server_id: lapsed} if lapsed else {})
        return list(known.values())

    def _required(
        self, route: DatabaseRoute, after: Position | None, now_ms: int
    ) -> Position | None:
        if route.mode is ReadMode.PRIMARY:
            return None
        required = self.view.freshness_of(route.group).required(now_ms, route.max_staleness_ms)
        if required is None or after is None or route.mode is ReadMode.BOUNDED:
            return required
        return max(required, after)

    @staticmethod
    def _lags(pool: ServerPool, required: Position | None, now_ms: int) -> bool:
        if now_ms >= pool.lagging_until_ms:
            return False
        return pool.position is None or required is None or pool.position < required

    def _candidate(self, pool: ServerPool, leads: bool, workspace: str) -> Candidate:
        entry = pool.entry
        return Candidate(
            entry.server_id,
            pool.health.latency_ms,
            pool.busy,
            pool.waiting,
            entry.slots,
            entry.availability_zone == self._zone,
            pool.has_idle(workspace),
            pool.health.failed_share,
            leads,
        )

    def learn(
        self, pool: ServerPool, sent_ms: int, reply: ServerReply, measured: bool = True
    ) -> None:
        """Take in what an answer says of its server.

        :param sent_ms: when the statement was sent.
        :param measured: whether its time tells of the server's load.
        """
        now_ms = self._clock.now_ms()
        succeeded = reply.failure is None
        pool.health.answered(now_ms, now_ms - sent_ms if measured and succeeded else None)
        if succeeded or reply.failure is SessionFailure.FAILED:
            pool.health.statement_ended(succeeded)
        if reply.failure is SessionFailure.BUSY:
            pool.rejected()
        if reply.failure is SessionFailure.LAGGING:
            pool.lagging_until_ms = now_ms + LAGGING_PAUSE_MS
        if reply.position is None:
            return
        pool.position = reply.position
        self._observe(pool, sent_ms, reply.position)

    def _observe(self, pool: ServerPool, sent_ms: int, position: Position) -> None:
        group = pool.entry.group
        record = self.view.book.get(group)
        if record is None or record.moving or record.server_id != pool.entry.server_id:
            return
        if not record.term:
            self.view.book.learn_term(group, record.server_id, position.term)
            record = self.view.book.get(group)
        if record.term == position.term:
            self.view.freshness_of(group).observe(sent_ms, position)

    def lost(self, pool: ServerPool, connection: ServerConnection) -> None:
        """Count a connection that broke or stayed silent while it ran a statement."""
        pool.health.failed(self._clock.now_ms())
        pool.health.statement_ended(False)
        pool.discard(connection)

    def tick(self) -> None:
        """Bring pools in line with the registry, and look for servers that stay silent."""
        now_ms = self._clock.now_ms()
        for record in self.view.book.all().values():
            self.pool(record.server_id)  # a host without work for it may have to check it
        for pool in self.pools():
            self._set_limit(pool)
            pool.admit_waiters()
            self._check_entry(pool, now_ms)
            self._check_silence(pool, now_ms)
        self._end_fenced_work(now_ms)
        self._note_trouble(now_ms)

    def _check_entry(self, pool: ServerPool, now_ms: int) -> None:
        entry = self.view.registry.servers.get(pool.entry.server_id)
        if entry is not None:
            pool.missing_since_ms = None
            if entry.draining and not self.is_primary(pool):
                pool.close_idle()
            return
        if pool.missing_since_ms is None:
            pool.missing_since_ms = now_ms
        if now_ms - pool.missing_since_ms >= GONE_GRACE_MS and not self.is_primary(pool):
            self._log.event("server_gone", server=pool.entry.server_id, group=pool.entry.group)
            pool.close_all()
            del self._pools[pool.entry.server_id]

    def _check_silence(self, pool: ServerPool, now_ms: int) -> None:
        waited_ms = pool.oldest_outstanding_ms(now_ms)
        silent = waited_ms >= SILENT_MS and now_ms - pool.health.ok_ms >= SILENT_MS
        leads = self.is_primary(pool)
        failing = leads and pool.health.failing_since_ms is not None
        doubted = leads and self._is_doubted(pool, now_ms)
        if (silent or failing or doubted) and pool.health.usable(now_ms) and not pool.being_checked:
            pool.being_checked = True
            eventlet.spawn_n(self.check_server, pool)

    def _is_doubted(self, pool: ServerPool, now_ms: int) -> bool:
        """Return whether a peer can't reach a primary that this host has not used lately."""
        if now_ms - pool.health.ok_ms < DOUBT_MS or pool.health.failing_since_ms is not None:
            return False
        told = (peer.beat.trouble.get(pool.entry.group) for peer in self.view.peers.live(now_ms))
        return any(trouble and trouble.server_id == pool.entry.server_id for trouble in told)

    def check_server(self, pool: ServerPool) -> None:
        """Open a connection of its own to a server to see whether it answers, and close it."""
        entry = pool.entry
        hello = self.codec.start(entry.group, self.view.host, entry.server_id)
        try:
            connection, _ = ServerConnection.open(
                split_address(entry.address), self.codec, hello, self.view.host, self._clock
            )
        except OpenError as error:
            self._note_failed_check(pool, error)
        else:
            connection.close()
            pool.health.answered(self._clock.now_ms())
        finally:
            pool.being_checked = False

    def _note_failed_check(self, pool: ServerPool, error: OpenError) -> None:
        now_ms = self._clock.now_ms()
        if error.failure in (SessionFailure.BUSY, SessionFailure.CONNECTION_LIMIT):
            pool.health.answered(now_ms)
            return
        pool.health.failed(now_ms, error.refused)
        self._log.event(
            "server_unreachable",
            server=pool.entry.server_id,
            group=pool.entry.group,
            failing_ms=pool.health.failing_for_ms(now_ms),
            reason=str(error),
        )

    def _note_trouble(self, now_ms: int) -> None:
        trouble = {}
        for group, record in self.view.book.all().items():
            pool = self._pools.get(record.server_id)
            if pool is None or pool.health.failing_since_ms is None:
                continue
            refused = pool.health.refused_ms is not None
            # What a server did as a replica says nothing of it as the primary.
            known_ms = self.view.book.unchanged_for_ms(group, now_ms)
            failing_ms = max(1, min(known_ms, pool.health.failing_for_ms(now_ms)))
            trouble[group] = Trouble(record.server_id, failing_ms, refused)
        self.view.trouble = trouble
        self.view.quiet = {
            group
            for group, record in self.view.book.all().items()
            if record.moving and self._is_quiet(record.server_id)
        }

    def _end_fenced_work(self, now_ms: int) -> None:
        """End statements at replaced primaries that have had their time."""
        for group, record in self.view.book.all().items():
            moving_ms = self.view.book.moving_for_ms(group, now_ms)
            pool = self._pools.get(record.server_id)
            if not moving_ms or pool is None or pool.quiet:
                continue
            if moving_ms >= (PLANNED_END_MS if record.planned else FENCED_END_MS):
                self._log.event("fenced_work_ended", group=group, server=record.server_id)
                pool.close_all()

    def _is_quiet(self, server_id: str) -> bool:
        pool = self._pools.get(server_id)
        return pool is None or pool.quiet
