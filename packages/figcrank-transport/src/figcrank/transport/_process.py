"""A host process: the core, its driver, and all servers and clients."""

import contextlib
import random
from collections.abc import Iterator

import eventlet
from absl import logging
from eventlet.event import Event

from figcrank.coordination import (
    CallPeer,
    CallPlatform,
    CallServer,
    CloseConnection,
    CountMetric,
    HostCore,
    LeaveRequested,
    OpenConnection,
    RecordDecision,
    RecordSpan,
    Refuse,
    Respond,
    RespondOperator,
    RespondPeer,
    SendGossip,
    SetReady,
    StartWork,
    Stop,
    TimeMetric,
)
from figcrank.protocol import SettingProblem, SettingsError
from figcrank.protocol.codecs import GossipCodec, SessionCodec
from figcrank.transport._backend import Backend
from figcrank.transport._caller_api import CallerApi
from figcrank.transport._calls import MS_PER_S
from figcrank.transport._clock import MonotonicClock
from figcrank.transport._control import ControlClient
from figcrank.transport._driver import HostDriver, spawn_logged
from figcrank.transport._gossip import GossipSocket
from figcrank.transport._http_server import HttpServer
from figcrank.transport._operator_api import OperatorApi
from figcrank.transport._peer_api import PeerApi
from figcrank.transport._peer_client import PeerClient
from figcrank.transport._platform_client import PlatformClient
from figcrank.transport._psycopg import make_green
from figcrank.transport._settings import Settings
from figcrank.transport._telemetry import Telemetry

FLUSH_INTERVAL_MS = 500
IN_FLIGHT_POLL_INTERVAL_MS = 10
LAST_RESPONSES_MS = 500  # beyond drain_ms, to write the responses to unfinished requests


class HostProcess:
    """Runs one host until it is shut down.

    The constructor binds all sockets, so that the addresses are known before the host starts.

    :param settings: settings of the host.
    :raises SettingsError: if an address cannot be bound or a file cannot be opened.
    """

    def __init__(self, settings: Settings) -> None:
        make_green()
        self._settings = settings
        host = settings.host
        self.telemetry = _open_telemetry(settings)
        codec = GossipCodec(settings.fleet, settings.secrets)
        with _reporting_bind_errors("host.caller_address", host.caller_address):
            self._caller_server = HttpServer(host.caller_address)
        with _reporting_bind_errors("host.operator_address", host.operator_address):
            self._operator_server = HttpServer(host.operator_address)
        with _reporting_bind_errors("host.peer_address", host.peer_address):
            self._peer_server = HttpServer(host.peer_address)
        with _reporting_bind_errors("host.gossip_address", host.gossip_address):
            self._gossip = GossipSocket(host.gossip_address, codec, host.name, self.telemetry)
        core_settings = settings.core_settings(self._peer_server.address, self._gossip.address)
        core = HostCore(core_settings, random.SystemRandom())
        clock = MonotonicClock()
        self._driver = HostDriver(core, clock, settings.timings.tick_ms)
        # Secrets are listed newest first. GossipCodec signs with the first secret and SessionCodec
        # with the last one, so the list is reversed for it.
        sessions = SessionCodec(settings.secrets[::-1])
        self._caller_api = CallerApi(self._driver, sessions, self.telemetry, clock)
        self._operator_api = OperatorApi(self._driver, settings.operator_keys)
        self._peer_api = PeerApi(self._driver, codec, self.telemetry)
        self._peer_client = PeerClient(self._driver, codec, host.name, self.telemetry)
        self._platform = PlatformClient(self._driver, settings.platform_address, self.telemetry)
        self._backend = Backend(self._driver, settings.login, self.telemetry)
        self._control = ControlClient(self._driver, settings.login, self.telemetry)
        self._stopped = Event()
        self._ready = Event()
        self._leaving = False
        self._register_handlers()

    @property
    def caller_url(self) -> str:
        """Return the URL of the caller API."""
        return f"http://{self._caller_server.address}"

    @property
    def operator_url(self) -> str:
        """Return the URL of the operator API."""
        return f"http://{self._operator_server.address}"

    def start(self) -> None:
        """Start all servers, clients and background tasks."""
        self._gossip.start(self._driver)
        self._peer_server.start(self._peer_api.app)
        self._operator_server.start(self._operator_api.app)
        self._caller_server.start(self._caller_api.app)
        self._backend.start()
        self._driver.start()
        spawn_logged(self._flush_periodically)

    def wait_ready(self) -> None:
        """Wait until the host is ready to receive requests."""
        self._ready.wait()

    def leave(self) -> None:
        """Start a graceful shutdown; safe to call from a greenlet scheduled by a signal handler."""
        if self._leaving:
            return
        self._leaving = True
        logging.info("Starting graceful shutdown.")
        for server in (self._caller_server, self._operator_server, self._peer_server):
            server.drain()
        spawn_logged(self._enforce_drain_timeout)
        self._driver.dispatch(LeaveRequested())

    def wait_stopped(self) -> bool:
        """Wait until the host has shut down; return whether every request was answered."""
        finished = self._stopped.wait()
        if finished:
            finished = self._wait_for_responses(self._settings.drain_ms)
        if not finished:
            for api in (self._caller_api, self._operator_api, self._peer_api):
                api.give_up()
            self._wait_for_responses(LAST_RESPONSES_MS)
        self._close()
        return finished

    def _register_handlers(self) -> None:
        self._driver.register_handlers(
            {
                Respond: self._caller_api.resolve,
                Refuse: self._caller_api.resolve,
                RespondOperator: self._operator_api.resolve,
                RespondPeer: self._peer_api.resolve,
                CallPeer: self._peer_client.call,
                SendGossip: self._gossip.send,
                CallPlatform: self._platform.call,
                CallServer: self._control.call,
                OpenConnection: self._backend.open,
                CloseConnection: self._backend.close,
                StartWork: self._backend.start_work,
                RecordDecision: self.telemetry.record_decision,
                CountMetric: self.telemetry.count_metric,
                TimeMetric: self.telemetry.time_metric,
                RecordSpan: self.telemetry.record_span,
                SetReady: self._set_ready,
                Stop: self._on_stop,
            }
        )

    def _set_ready(self, action: SetReady) -> None:
        self._caller_api.set_ready(action.ready)
        if action.ready and not self._ready.ready():
            self._ready.send(None)

    def _on_stop(self, action: Stop) -> None:
        self._set_stopped(finished=True)

    def _enforce_drain_timeout(self) -> None:
        eventlet.sleep(self._settings.drain_ms / MS_PER_S)
        logging.error(
            "Graceful shutdown did not finish within %d ms; stopping now.", self._settings.drain_ms
        )
        self._set_stopped(finished=False)

    def _set_stopped(self, finished: bool) -> None:
        if not self._stopped.ready():
            self._stopped.send(finished)

    def _wait_for_responses(self, timeout_ms: int) -> bool:
        """Wait until every response is written; return whether this happened in time."""
        servers = (self._caller_server, self._operator_server, self._peer_server)
        with eventlet.Timeout(timeout_ms / MS_PER_S, False):
            while any(server.in_flight for server in servers):
                eventlet.sleep(IN_FLIGHT_POLL_INTERVAL_MS / MS_PER_S)
            return True
        return False

    def _close(self) -> None:
        for server in (self._caller_server, self._operator_server, self._peer_server):
            server.stop()
        self._driver.stop()
        self._gossip.stop()
        self._backend.close_all()
        self._control.close_all()
        self.telemetry.close()

    def _flush_periodically(self) -> None:
        while True:
            eventlet.sleep(FLUSH_INTERVAL_MS / MS_PER_S)
            self.telemetry.flush()


def _open_telemetry(settings: Settings) -> Telemetry:
    host = settings.host
    try:
        return Telemetry(
            host.name,
            host.availability_zone,
            settings.statsd_address,
            settings.trace_file,
            settings.decision_file,
        )
    except OSError as error:
        value = f"{settings.trace_file!r}, {settings.decision_file!r}"
        expected = f"writable files ({error.strerror})"
        problem = SettingProblem("trace_file, decision_file", value, expected)
        raise SettingsError(host.name, (problem,)) from error


@contextlib.contextmanager
def _reporting_bind_errors(path: str, address: str) -> Iterator[None]:
    """Report a failure to bind a socket as a problem of the setting at ``path``."""
    try:
        yield
    except OSError as error:
        expected = f"an address that this machine can listen on ({error.strerror})"
        problem = SettingProblem(path, repr(address), expected)
        raise SettingsError("sockets", (problem,)) from error
