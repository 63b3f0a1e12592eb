"""A whole host: the core, its driver, the servers and the clients."""

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

FLUSH_MS = 500
IN_FLIGHT_CHECK_MS = 10


class HostProcess:
    """Runs one host until it is asked to leave.

    Sockets are bound by the constructor, so that the addresses are known before anything runs.

    :param settings: settings of the host.
    :raises SettingsError: if an address can't be bound or a file can't be opened.
    """

    def __init__(self, settings: Settings) -> None:
        make_green()
        self._settings = settings
        host = settings.host
        self.telemetry = _opened_telemetry(settings)
        codec = GossipCodec(settings.fleet, settings.secrets)
        with _binding("host.caller_address", host.caller_address):
            self._callers = HttpServer(host.caller_address)
        with _binding("host.operator_address", host.operator_address):
            self._operators = HttpServer(host.operator_address)
        with _binding("host.peer_address", host.peer_address):
            self._peers = HttpServer(host.peer_address)
        with _binding("host.gossip_address", host.gossip_address):
            self._gossip = GossipSocket(host.gossip_address, codec, host.name, self.telemetry)
        core_settings = settings.core_settings(self._peers.address, self._gossip.address)
        core = HostCore(core_settings, random.SystemRandom())
        clock = MonotonicClock()
        self._driver = HostDriver(core, clock, settings.timings.tick_ms)
        # Session tokens are signed with the last secret of their codec, messages with the first.
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
        self._connect_actions()

    @property
    def caller_url(self) -> str:
        """Return the URL of the caller API."""
        return f"http://{self._callers.address}"

    @property
    def operator_url(self) -> str:
        """Return the URL of the operator API."""
        return f"http://{self._operators.address}"

    def start(self) -> None:
        """Begin to serve."""
        self._gossip.start(self._driver)
        self._peers.start(self._peer_api.app)
        self._operators.start(self._operator_api.app)
        self._callers.start(self._caller_api.app)
        self._backend.start()
        self._driver.start()
        spawn_logged(self._flush)

    def wait_ready(self) -> None:
        """Wait until the balancer may send work."""
        self._ready.wait()

    def leave(self) -> None:
        """Begin a graceful shutdown; safe to call from a signal handler's greenlet."""
        if self._leaving:
            return
        self._leaving = True
        logging.info("The host is leaving.")
        for server in (self._callers, self._operators, self._peers):
            server.drain()
        spawn_logged(self._limit_drain)
        self._driver.dispatch(LeaveRequested())

    def wait_stopped(self) -> bool:
        """Wait for the end of the shutdown; return whether every request was answered."""
        finished = self._stopped.wait()
        if finished:
            finished = self._finish_responses()
        self._close()
        return finished

    def _connect_actions(self) -> None:
        self._driver.run_with(
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
        self._end(finished=True)

    def _limit_drain(self) -> None:
        eventlet.sleep(self._settings.drain_ms / MS_PER_S)
        logging.error("The shutdown took longer than %d ms.", self._settings.drain_ms)
        self._end(finished=False)

    def _end(self, finished: bool) -> None:
        if not self._stopped.ready():
            self._stopped.send(finished)

    def _finish_responses(self) -> bool:
        """Wait until every response is written; return whether that came in time."""
        servers = (self._callers, self._operators, self._peers)
        with eventlet.Timeout(self._settings.drain_ms / MS_PER_S, False):
            while any(server.in_flight for server in servers):
                eventlet.sleep(IN_FLIGHT_CHECK_MS / MS_PER_S)
            return True
        return False

    def _close(self) -> None:
        for server in (self._callers, self._operators, self._peers):
            server.stop()
        self._driver.stop()
        self._gossip.stop()
        self._backend.close_all()
        self._control.close_all()
        self.telemetry.close()

    def _flush(self) -> None:
        while True:
            eventlet.sleep(FLUSH_MS / MS_PER_S)
            self.telemetry.flush()


def _opened_telemetry(settings: Settings) -> Telemetry:
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
        expected = f"files that can be written ({error.strerror})"
        fault = SettingProblem("trace_file, decision_file", value, expected)
        raise SettingsError(host.name, (fault,)) from error


@contextlib.contextmanager
def _binding(path: str, address: str) -> Iterator[None]:
    """Turn a socket that can't be bound into a fault of the setting at ``path``."""
    try:
        yield
    except OSError as error:
        expected = f"an address that is free on this machine ({error.strerror})"
        fault = SettingProblem(path, repr(address), expected)
        raise SettingsError("sockets", (fault,)) from error
