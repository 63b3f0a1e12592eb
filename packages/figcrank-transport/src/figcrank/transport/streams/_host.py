"""A whole host of the session proxy: its sockets, loops, and its end."""

import contextlib
import os
import random
import signal
import traceback
from collections.abc import Callable

import eventlet
from eventlet.green import socket

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.sessions import CallerCodec, ServerCodec
from figcrank.transport._clock import BootClock
from figcrank.transport.streams._http import serve_pages
from figcrank.transport.streams._isolation import UNREADY_MS, IsolationWatch
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._membership import Membership
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._peer_link import VIEW_PATH, PeerLink
from figcrank.transport.streams._ports import FailoverService, Store
from figcrank.transport.streams._replacer import Replacer
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._session import CallerSession, SessionServices
from figcrank.transport.streams._settings import SessionHostSettings
from figcrank.transport.streams._store_loop import StoreLoop
from figcrank.transport.streams._work import StatementRunner

BACKLOG = 512  # callers that return together after a restart
TICK_MS = 100
CLOSE_SPREAD_MS = 1_200  # idle sessions end over this time, so that they don't return together
END_MARGIN_MS = 700  # the process ends so long before it would be killed
TRANSACTION_SHARE = 0.5  # of the grace time, for open transactions
RELOAD_MS = 5_000  # settings change a few times a year; the file is a kilobyte
READINESS_PATH = "/readiness"
METRICS_PATH = "/metrics"


class SessionHost:
    """One host.

    :param settings: what it was told.
    :param caller_codec: the wire format towards callers.
    :param server_codec: the wire format towards servers.
    :param store: the deployment's store.
    :param service: the deployment's call that promotes.
    :param reload: reads the settings again; raises ``ValueError`` naming what is wrong with them.
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
        boot_id = random.SystemRandom().getrandbits(48)
        self._view = FleetView(
            settings.host,
            boot_id,
            settings.peer_address,
            settings.limit_headroom,
            self._clock.now_ms(),
        )
        self._router = Router(
            self._view,
            server_codec,
            self._clock,
            settings.availability_zone,
            self._log,
            self._metrics,
        )
        self._link = PeerLink(
            settings.peer_address, self._view, self._router, store, self._clock, self._log
        )
        self._store = StoreLoop(
            store, self._link, self._view, self._router, self._clock, self._log, self._metrics
        )
        self._membership = Membership(
            settings.host,
            settings.peer_address,
            self._store,
            self._link,
            self._view,
            self._clock,
            self._log,
        )
        self._replacer = Replacer(
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
        runner = StatementRunner(self._router, self._clock, self._metrics, self._log)
        self._services = SessionServices(
            caller_codec, self._router, runner, self._clock, self._log, self._metrics
        )
        self._isolation = IsolationWatch(
            self._view, self._services.sessions, self._clock, self._log
        )
        self._metrics.watch(self._gauges)
        self._stopping = False

    def run(self) -> None:
        """Serve until the process is told to stop."""
        self._log.event("started", pid=os.getpid(), address=self._settings.caller_address)
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        for seed in self._settings.seeds:
            self._link.register("", seed)
        for loop in (
            self._link.receive_for_ever,
            self._link.beat_for_ever,
            self._start_up,
            self._tick_for_ever,
            self._log.run,
            self._replacer.run,
            self._isolation.run,
            self._reload_for_ever,
        ):
            eventlet.spawn_n(loop)
        self._listen(self._settings.readiness_address, self._serve_readiness)
        self._listen(self._settings.peer_address, self._serve_peer)
        self._listen(self._settings.metrics_address, self._serve_metrics)
        self._accept(self._settings.caller_address)

    def _start_up(self) -> None:
        """Learn what the store knows, then keep reading it."""
        eventlet.spawn_n(self._store.read_catalog_for_ever)
        eventlet.spawn_n(self._store.read_servers_for_ever)
        eventlet.spawn_n(self._membership.run)
        while not self._store.confirm():
            pass  # waits between its tries by itself
        self._store.confirm_for_ever()

    def _tick_for_ever(self) -> None:
        while True:
            eventlet.sleep(TICK_MS / 1_000)
            self._router.tick()

    # Sockets.

    def _listen(self, address: tuple[str, int], serve) -> None:  # noqa: ANN001
        eventlet.spawn_n(self._accept_for_ever, _listening(address), serve)

    def _accept(self, address: tuple[str, int]) -> None:
        self._accept_for_ever(_listening(address), self._serve_caller)

    def _accept_for_ever(self, listener: socket.socket, serve) -> None:  # noqa: ANN001
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                self._log.event("accept_failed", reason=str(error))
                eventlet.sleep(TICK_MS / 1_000)
                continue
            eventlet.spawn_n(serve, sock)

    def _serve_caller(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):  # the caller may be gone already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            CallerSession(sock, self._services).run()
        except Exception:  # noqa: BLE001 - one session's fault must not end the others
            self._log.event("internal_error", trace=traceback.format_exc()[-1500:])
            self._metrics.count("internal_errors")

    def _serve_readiness(self, sock: socket.socket) -> None:
        serve_pages(sock, {READINESS_PATH: self._readiness})

    def _serve_peer(self, sock: socket.socket) -> None:
        serve_pages(sock, {VIEW_PATH: self._link.page})

    def _serve_metrics(self, sock: socket.socket) -> None:
        serve_pages(sock, {METRICS_PATH: self._metrics_page})

    def _readiness(self, _query: dict[str, str]) -> tuple[int, bytes]:
        ready = not self._stopping and self._view.catalog is not None
        ready = ready and bool(self._view.registry.servers) and not self._isolation.isolated
        return (200, b"ready") if ready else (503, b"not ready")

    def _metrics_page(self, _query: dict[str, str]) -> tuple[int, bytes]:
        return 200, self._metrics.render().encode()

    def _gauges(self) -> dict[str, float]:
        now_ms = self._clock.now_ms()
        view = self._view
        values: dict[str, float] = {
            "sessions": len(self._services.sessions),
            "configuration_version": view.catalog.version if view.catalog else 0,
            "registry_age_ms": now_ms - view.registry_ms,
            "lease_age_ms": now_ms - view.lease_since_ms(now_ms),
            "hosts": view.hosts(),
        }
        for pool in self._router.pools():
            server = f'{{server="{pool.entry.server_id}"}}'
            values[f"server_busy{server}"] = pool.busy
            values[f"server_waiting{server}"] = pool.waiting
            values[f"server_limit{server}"] = pool.limit
            values[f"server_latency_ms{server}"] = pool.health.latency_ms
        for group, record in view.book.all().items():
            values[f'primary_term{{group="{group}"}}'] = record.term
        return values

    # Settings that change.

    def _on_reload(self, _signal: int, _frame: object) -> None:
        eventlet.spawn_n(self._reload)

    def _reload(self) -> None:
        """Put changed settings in force; addresses that are listened on stay until a restart."""
        try:
            settings = self._reload_settings()
        except ValueError as error:
            self._log.event("settings_rejected", reason=str(error))
            return
        if settings == self._settings:
            return
        self._log.event("settings_changed", before=self._settings, after=settings)
        self._settings = settings

    def _reload_for_ever(self) -> None:
        """Notice settings that change without a signal."""
        while True:
            eventlet.sleep(RELOAD_MS / 1_000)
            self._reload()

    # The end.

    def _on_stop(self, _signal: int, _frame: object) -> None:
        if not self._stopping:
            self._stopping = True
            eventlet.spawn_n(self._stop)

    def _stop(self) -> None:
        """Let callers go in order, then end the process."""
        settings = self._settings
        started_ms = self._clock.now_ms()
        self._view.leaving = True
        self._log.event("stopping", sessions=len(self._services.sessions))
        eventlet.spawn_n(self._link.tell_all)
        transactions_end_ms = started_ms + int(settings.grace_ms * TRANSACTION_SHARE)
        end_ms = started_ms + settings.grace_ms - END_MARGIN_MS
        eventlet.sleep(UNREADY_MS / 1_000)
        sessions = list(self._services.sessions)
        for session in sessions:
            session.leave()
            eventlet.sleep(CLOSE_SPREAD_MS / 1_000 / max(1, len(sessions)))
        while self._services.sessions and self._clock.now_ms() < end_ms:
            for session in list(self._services.sessions):
                session.leave()
                if session.in_transaction and self._clock.now_ms() >= transactions_end_ms:
                    session.abort_transaction()
            eventlet.sleep(TICK_MS / 1_000)
        self._log.event("stopped", sessions=len(self._services.sessions))
        self._log.flush()
        os._exit(0)


def _listening(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener
