"""A host of the session proxy: its listeners, background loops and shutdown."""

import contextlib
import os
import random
import signal
from collections.abc import Callable

import eventlet
from eventlet.green import socket

from figcrank.coordination.fleet import ConfigurationTimings, FleetView
from figcrank.coordination.owners import HostRole, OwnerDirectory, seats_per_zone
from figcrank.coordination.regions import RegionMap
from figcrank.coordination.sessions import HostLifetime
from figcrank.protocol.relays import RelayProtocolError
from figcrank.protocol.sessions import CallerCodec, ServerCodec
from figcrank.transport._clock import BootClock
from figcrank.transport.streams._caller_connection import CallerConnection
from figcrank.transport.streams._configuration_reader import ConfigurationReader
from figcrank.transport.streams._connection import TCP_USER_TIMEOUT_MS
from figcrank.transport.streams._entry_session import EntrySession
from figcrank.transport.streams._evacuation_reader import EvacuationReader
from figcrank.transport.streams._group_owner_monitor import GroupOwnerMonitor
from figcrank.transport.streams._http import serve_http
from figcrank.transport.streams._interfaces import FailoverService, Store
from figcrank.transport.streams._internal_errors import InternalErrors
from figcrank.transport.streams._isolation import IsolationMonitor
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._membership import Membership
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_opener import OwnerOpener
from figcrank.transport.streams._owner_session import OwnerSession
from figcrank.transport.streams._owner_tracker import OwnerTracker
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._position_prober import PositionProber
from figcrank.transport.streams._queue_page import QUEUES_PATH, QueuePage
from figcrank.transport.streams._relayed_session import RelayedSession, RelayServices
from figcrank.transport.streams._replacer import PrimaryReplacer
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._runner import StatementRunner
from figcrank.transport.streams._server_commands import ServerCommands
from figcrank.transport.streams._session import CATALOG_WAIT_MS, CallerSession, SessionServices
from figcrank.transport.streams._settings import SessionHostSettings
from figcrank.transport.streams._status_responder import StatusResponder
from figcrank.transport.streams._stopper import HostStopper
from figcrank.transport.streams._store_reader import StoreReader
from figcrank.transport.streams._traffic import MessageKind, TrafficMeter
from figcrank.transport.streams._unreadable_objects import UnreadableObjects
from figcrank.transport.streams._view_fetcher import VIEW_PATH

BACKLOG = 512  # callers reconnect at the same time after a restart
TICK_INTERVAL_MS = 100
SETTINGS_POLL_INTERVAL_MS = 5_000  # settings change a few times a year; the file has 1 kB
READINESS_PATH = "/readiness"
METRICS_PATH = "/metrics"


class SessionHost:
    """Runs one host of the session proxy.

    :param settings: settings of the host.
    :param caller_codec: caller wire format.
    :param server_codec: server wire format.
    :param store: the deployment's store.
    :param service: promotes servers.
    :param reload: reads the settings again; raises :exc:`ValueError` with the reason if they are
        invalid.
    """

    def __init__(
        self,
        settings: SessionHostSettings,
        caller_codec: CallerCodec,
        server_codec: ServerCodec,
        store: Store,
        service: FailoverService,
        reload: Callable[[], SessionHostSettings],
    ) -> None:
        self._reload_settings = reload
        self._settings = settings
        self._clock = BootClock()
        self._log = EventLog(settings.host, self._clock)
        self._metrics = Metrics()
        regions = RegionMap(settings.availability_zone, settings.regions)
        traffic = TrafficMeter(regions, self._metrics)
        self._errors = InternalErrors(self._log, self._metrics)
        self._runs_as_owner = False
        store.on_unreadable(UnreadableObjects(self._log, self._metrics).record)
        store.count_traffic(traffic.channel(MessageKind.STORE, ""))  # its zone is not known
        boot_id = random.SystemRandom().getrandbits(48)
        self._view = FleetView(
            settings.host,
            boot_id,
            settings.peer_address,
            settings.limit_headroom,
            self._clock.now_ms(),
            settings.availability_zone,
            settings.evacuation_ms,
            regions,
        )
        self._view.ownership.regions = settings.regions
        ip = settings.peer_address[0]
        self._tracker = OwnerTracker(
            OwnerDirectory(settings.availability_zone, settings.regions),
            settings.relay_port,
            ip,
            self._clock,
            self._log,
            traffic,
        )
        self._responder = StatusResponder(
            (ip, settings.relay_port),
            self._view,
            self._tracker,
            self._accepts_sessions,
            self._clock,
            self._log,
        )
        self._router = Router(
            self._view,
            server_codec,
            self._clock,
            settings.availability_zone,
            self._log,
            self._metrics,
            cold_overage=settings.cold_overage,
            cold_headroom=settings.cold_headroom,
        )
        self._link = PeerLink(
            settings.peer_address, self._view, self._router, store, self._clock, self._log, traffic
        )
        self._store = StoreReader(
            store, self._link, self._view, self._router, self._clock, self._log, self._metrics
        )
        timings = ConfigurationTimings.from_bound(settings.configuration_bound_ms)
        self._configuration_reader = ConfigurationReader(
            self._store,
            self._link,
            self._view,
            timings,
            self._clock,
            self._log,
        )
        self._evacuation_reader = EvacuationReader(
            self._store,
            self._link,
            self._view,
            settings.availability_zones,
            self._clock,
            self._log,
            self._metrics,
        )
        self._membership = Membership(
            self._view.itself,
            seats_per_zone(len(settings.availability_zones)),
            self._store,
            self._link,
            self._view,
            self._tracker,
            self._clock,
            self._log,
            self._run_as_owner,
            self._on_seat_lost,
        )
        self._replacer = PrimaryReplacer(
            self._view,
            self._router,
            self._link,
            self._store,
            service,
            server_codec,
            self._clock,
            self._log,
            self._metrics,
        )
        self._prober = PositionProber(
            self._view,
            self._router,
            ServerCommands(settings.host, self._router, server_codec, self._clock),
            self._clock,
            self._log,
            self._metrics,
        )
        lifetime = HostLifetime()
        runner = StatementRunner(self._router, self._clock, self._metrics, self._log, lifetime)
        self._services = SessionServices(
            caller_codec,
            self._router,
            runner,
            self._clock,
            self._log,
            self._metrics,
            refusal_age_ms=timings.refusal_age_ms,
            lifetime=lifetime,
        )
        self._queue_page = QueuePage(self._router, self._services.refusals, self._clock)
        self._relay_services = RelayServices(
            caller_codec,
            self._tracker,
            self._clock,
            self._log,
            self._metrics,
            self._services.sessions,
            OwnerOpener(
                settings.availability_zone, self._tracker, self._clock, self._metrics, traffic
            ),
            lifetime,
        )
        self._stopper = HostStopper(
            self._services.sessions, lifetime, self._clock, self._log, self._metrics
        )
        self._group_owner_monitor = GroupOwnerMonitor(
            self._view, self._tracker, self._clock, self._log, self._metrics
        )
        self._isolation = IsolationMonitor(
            self._view, self._services.sessions, self._clock, self._log
        )
        self._metrics.add_gauges(self._gauges)
        self._stopping = False

    def run(self) -> None:
        """Serve until the process receives ``SIGTERM``."""
        self._log.event("started", pid=os.getpid(), address=self._settings.caller_address)
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        settings = self._settings
        for loop in (
            self._log.run,
            self._link.run_receiver,
            self._responder.run,
            self._tracker.run_receiver,
            self._group_owner_monitor.run,
            self._run_membership,
            self._run_reloads,
        ):
            self._errors.spawn_loop(loop)
        self._listen(settings.readiness_address, self._serve_readiness)
        self._listen(settings.peer_address, self._serve_peer)
        self._listen(settings.metrics_address, self._serve_metrics)
        self._listen((settings.peer_address[0], settings.relay_port), self._serve_relay)
        self._serve_callers(settings.caller_address)

    def _run_membership(self) -> None:
        own_ip = self._settings.peer_address[0]
        self._membership.run([ip for ip, _ in self._settings.seeds if ip != own_ip])

    def _run_as_owner(self) -> None:
        """Start the loops that only owners run, once."""
        if self._runs_as_owner:
            return
        self._runs_as_owner = True
        for loop in (
            self._link.run_heartbeats,
            self._configuration_reader.run_watch,
            self._configuration_reader.run_checks,
            self._store.run_server_reads,
            self._run_confirmations,
            self._run_ticks,
            self._replacer.run,
            self._prober.run,
            self._isolation.run,
        ):
            self._errors.spawn_loop(loop)
        if self._view.evacuation.enabled:
            self._errors.spawn_loop(self._evacuation_reader.run)

    def _run_confirmations(self) -> None:
        """Confirm the primaries once, and then while heartbeats can't confirm them."""
        while not self._store.confirm_primaries():
            pass  # a failed attempt sleeps before it returns
        self._store.run_confirmations()

    def _run_ticks(self) -> None:
        while True:
            eventlet.sleep(TICK_INTERVAL_MS / 1_000)
            self._router.tick()

    def _listen(self, address: tuple[str, int], serve) -> None:  # noqa: ANN001
        eventlet.spawn_n(self._run_accept, _open_listener(address), serve)

    def _serve_callers(self, address: tuple[str, int]) -> None:
        self._run_accept(_open_listener(address), self._serve_caller)

    def _run_accept(self, listener: socket.socket, serve) -> None:  # noqa: ANN001
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                self._log.event("accept_failed", reason=str(error))
                eventlet.sleep(TICK_INTERVAL_MS / 1_000)
                continue
            eventlet.spawn_n(serve, sock)

    def _serve_caller(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):  # the caller may have disconnected already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._await_role()
        if self._view.role is HostRole.RELAY:
            self._run_session(RelayedSession(sock, self._relay_services))
        elif self._view.ownership.has_relays(self._clock.now_ms()):
            self._run_session(EntrySession(sock, self._services, self._relay_services))
        else:
            self._run_session(CallerSession(sock, self._services))

    def _await_role(self) -> None:
        deadline_ms = self._clock.now_ms() + CATALOG_WAIT_MS
        while self._view.role is HostRole.UNDECIDED and self._clock.now_ms() < deadline_ms:
            eventlet.sleep(TICK_INTERVAL_MS / 1_000)

    def _serve_relay(self, sock: socket.socket) -> None:
        """Run a session that a relay forwards; refuse it by closing the connection."""
        if self._stopping or not self._has_view():
            self._metrics.count("relayed_sessions_refused")
            sock.close()
            return
        with contextlib.suppress(OSError):  # the relay may have disconnected already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self._run_session(OwnerSession(sock, self._services))

    def _run_session(self, session: CallerConnection) -> None:
        try:
            session.run()
        except RelayProtocolError as error:
            self._log.event("relay_message_unreadable", reason=str(error))
        except Exception:  # noqa: BLE001 - an error in one session must not end the others
            self._errors.record()

    def _serve_readiness(self, sock: socket.socket) -> None:
        serve_http(sock, {READINESS_PATH: self._readiness})

    def _serve_peer(self, sock: socket.socket) -> None:
        try:
            traffic = self._link.view_channel(sock.getpeername()[0])
        except OSError as error:  # the peer has disconnected already
            self._log.event("view_request_lost", reason=str(error))
            sock.close()
            return
        serve_http(sock, {VIEW_PATH: self._link.view_page}, traffic)

    def _serve_metrics(self, sock: socket.socket) -> None:
        serve_http(sock, {METRICS_PATH: self._metrics_page, QUEUES_PATH: self._queue_page.render})

    def _readiness(self, _query: dict[str, str]) -> tuple[int, bytes]:
        if self._view.role is HostRole.RELAY:
            ready = not self._stopping and self._tracker.is_usable()
        else:
            ready = self._accepts_sessions()
        return (200, b"ready") if ready else (503, b"not ready")

    def _accepts_sessions(self) -> bool:
        """Return whether this host is an owner that can serve sessions now."""
        return self._has_view() and not self._stopping and not self._isolation.isolated

    def _has_view(self) -> bool:
        """Return whether this host is an owner that knows its lists and any primary."""
        view = self._view
        knows_servers = bool(view.registry.servers) and bool(view.primary_table.all())
        knows_lists = view.catalog is not None and view.evacuation.is_known
        return view.is_owner and knows_lists and knows_servers

    def _metrics_page(self, _query: dict[str, str]) -> tuple[int, bytes]:
        return 200, self._metrics.render().encode()

    def _gauges(self) -> dict[str, float]:
        now_ms = self._clock.now_ms()
        view = self._view
        values: dict[str, float] = {
            "sessions": len(self._services.sessions),
            "configuration_version": view.catalog_version,
            "configuration_age_ms": now_ms - view.configuration_age.confirmed_ms,
            "registry_age_ms": now_ms - view.registry_ms,
            "lease_age_ms": now_ms - view.lease_renewed_ms(now_ms),
            "hosts": view.host_count(),
            "is_owner": float(view.is_owner),
            "owners_known": len(self._tracker.owners()),
            "store_connections_lost": self._store.lost_connections,
            "evacuated_zones": len(view.evacuation.zones),
        }
        for zone, count in self._router.guard.connection_counts(self._router.pools()).items():
            values[f'evacuation_connections{{zone="{zone}"}}'] = count
        for pool in self._router.pools():
            server = f'{{server="{pool.entry.server_id}"}}'
            values[f"server_busy{server}"] = pool.busy
            values[f"server_waiting{server}"] = pool.waiting
            for priority, waiting in pool.waiting_by_priority().items():
                label = f'{{server="{pool.entry.server_id}",priority="{priority}"}}'
                values[f"admission_waiting{label}"] = waiting
            values[f"server_limit{server}"] = pool.limit
            values[f"server_oldest_statement_ms{server}"] = pool.oldest_outstanding_ms(now_ms)
            values[f"server_latency_ms{server}"] = pool.health.latency_ms
        values.update(self._router.loads.gauges(self._router.pools()))
        values.update(self._router.cold.gauges())
        for group, record in view.primary_table.all().items():
            values[f'primary_term{{group="{group}"}}'] = record.term
        return values

    def _on_reload(self, _signal: int, _frame: object) -> None:
        eventlet.spawn_n(self._reload)

    def _reload(self) -> None:
        """Reload the settings; changed listener addresses take effect after a restart."""
        try:
            settings = self._reload_settings()
        except ValueError as error:
            self._log.event("settings_rejected", reason=str(error))
            return
        if settings == self._settings:
            return
        self._log.event("settings_changed", before=self._settings, after=settings)
        self._settings = settings

    def _run_reloads(self) -> None:
        """Reload the settings periodically, to detect changes without a signal."""
        while True:
            eventlet.sleep(SETTINGS_POLL_INTERVAL_MS / 1_000)
            self._reload()

    def _on_seat_lost(self) -> None:
        """Stop; the process is started again and then becomes a relay."""
        self._on_stop(signal.SIGTERM, None)

    def _on_stop(self, _signal: int, _frame: object) -> None:
        if not self._stopping:
            self._stopping = True
            eventlet.spawn_n(self._stop)

    def _stop(self) -> None:
        """Close sessions gracefully within the grace time, then exit."""
        self._view.leaving = True
        try:
            self._reload()  # the grace time may have changed without a signal
        except Exception:  # noqa: BLE001 - the host must stop all the same
            self._errors.record()
        self._stopper.begin(self._settings.grace_ms)
        eventlet.spawn_n(self._link.broadcast_heartbeat)
        self._stopper.run()
        self._stopper.exit()


def _open_listener(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener
