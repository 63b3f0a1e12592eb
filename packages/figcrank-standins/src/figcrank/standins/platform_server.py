"""A stand-in for the platform's object API over HTTP with JSON."""

import time
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.wsgi
import falcon
import msgspec
from absl import logging
from eventlet.green import socket

from figcrank.protocol import (
    Failure,
    FailureKind,
    ObjectList,
    PlatformCall,
    PlatformHost,
    PlatformResult,
    PutObject,
    RequestError,
    WatchObjects,
)
from figcrank.standins._platform_model import MAX_VALUE_BYTES, PlatformModel
from figcrank.standins._signal import Signal
from figcrank.standins.samples import SampleObject

LOOPBACK = "127.0.0.1"
BACKLOG = 512
MAX_CONNECTIONS = 4_096
MAX_BODY_BYTES = MAX_VALUE_BYTES + 65_536
MAX_WATCH_MS = 60_000

_call_decoder = msgspec.json.Decoder(PlatformCall)
_hosts_decoder = msgspec.json.Decoder(tuple[PlatformHost, ...])


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the platform misbehaves.

    :param outage: whether every call fails without effect; waiting watches end.
    :param delay_ms: time added before each call takes effect, in milliseconds.
    :param lose_answers: writes to come that take effect but are not answered.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


class Counters(msgspec.Struct, frozen=True):
    """What the platform has counted.

    :param revision: the store's revision.
    :param calls: calls received, by name of their kind.
    """

    revision: int
    calls: dict[str, int]


class Seed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a store starts with.

    :param objects: objects to store, in order.
    :param hosts: the list of hosts.
    """

    objects: tuple[SampleObject, ...] = ()
    hosts: tuple[PlatformHost, ...] = ()


_faults_decoder = msgspec.json.Decoder(PlatformFaults)


class PlatformServer:
    """Serves a :class:`PlatformModel` in greenlets of this process.

    :param model: the store.
    """

    def __init__(self, model: PlatformModel) -> None:
        self.model = model
        self.address = ""
        self._faults = PlatformFaults()
        self._changed = Signal()
        self._pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self._listener: Any = None
        self._greenlet: Any = None

    @property
    def faults(self) -> PlatformFaults:
        """Return the faults in force."""
        return self._faults

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults; waiting watches notice an outage at once."""
        self._faults = faults
        self._changed.notify()

    def start(self, host: str = LOOPBACK, port: int = 0) -> str:
        """Serve and return the ``ip:port``.

        :param port: 0 for any free port.
        """
        self._listener = eventlet.listen((host, port), backlog=BACKLOG, reuse_port=False)
        bound_host, bound_port = self._listener.getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"
        self._greenlet = eventlet.spawn(self._serve)
        return self.address

    def stop(self) -> None:
        """Drop every connection and stop."""
        self._greenlet.kill()
        for greenlet in tuple(self._pool.coroutines_running):
            greenlet.kill()
        self._listener.close()

    def call(self, call: PlatformCall) -> PlatformResult:
        """Answer a call, waiting where a watch asks for it.

        :raises RequestError: while there is an outage.
        """
        if self._faults.delay_ms:
            eventlet.sleep(self._faults.delay_ms / 1_000)
        self._check_outage()
        result = self.model.call(call)
        if isinstance(call, PutObject):
            self._changed.notify()
        if isinstance(call, WatchObjects) and not result.objects:
            return self._wait_for_changes(call)
        return result

    def loses_answer(self, call: PlatformCall) -> bool:
        """Return whether the answer to ``call`` is lost, and count it down."""
        if not isinstance(call, PutObject) or self._faults.lose_answers <= 0:
            return False
        left = self._faults.lose_answers - 1
        self._faults = msgspec.structs.replace(self._faults, lose_answers=left)
        return True

    def _wait_for_changes(self, call: WatchObjects) -> ObjectList:
        deadline = time.monotonic() + min(call.wait_ms, MAX_WATCH_MS) / 1_000
        changes = self.model.changes(call)
        while not changes.objects:
            remaining_ms = int((deadline - time.monotonic()) * 1_000)
            if remaining_ms <= 0:
                break
            self._changed.wait(remaining_ms)
            self._check_outage()
            changes = self.model.changes(call)
        return changes

    def _check_outage(self) -> None:
        if self._faults.outage:
            message = "The platform is out of service."
            raise RequestError(Failure.not_run(FailureKind.PLATFORM_UNAVAILABLE, message))

    def _serve(self) -> None:
        eventlet.wsgi.server(
            self._listener, create_app(self), custom_pool=self._pool, log_output=False, debug=False
        )


def start_platform(
    objects: Iterable[SampleObject] = (),
    hosts: tuple[PlatformHost, ...] = (),
    host: str = LOOPBACK,
    port: int = 0,
) -> PlatformServer:
    """Start a platform in this process; its address is in the server's ``address``.

    :param objects: objects that the store starts with.
    :param hosts: the list of hosts.
    :param port: 0 for any free port.
    """
    model = PlatformModel()
    for stored in objects:
        model.put(stored.kind, stored.name, stored.value)
    model.set_hosts(hosts)
    server = PlatformServer(model)
    server.start(host, port)
    return server


def create_app(server: PlatformServer) -> falcon.App:
    """Return the WSGI application of a platform."""
    app = falcon.App()
    app.add_route("/v1/calls", _Calls(server))
    app.add_route("/v1/counters", _Counters(server))
    app.add_route("/v1/faults", _Faults(server))
    app.add_route("/v1/hosts", _Hosts(server))
    app.add_error_handler(RequestError, _answer_failure)
    return app


class _Calls:
    def __init__(self, server: PlatformServer) -> None:
        self._server = server

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        call = _decode(request, _call_decoder)
        result = self._server.call(call)
        if self._server.loses_answer(call):
            _cut(request)
            return
        _answer(response, result)


class _Counters:
    def __init__(self, server: PlatformServer) -> None:
        self._server = server

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        model = self._server.model
        _answer(response, Counters(model.revision, dict(model.calls)))


class _Faults:
    def __init__(self, server: PlatformServer) -> None:
        self._server = server

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        _answer(response, self._server.faults)

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        self._server.set_faults(_decode(request, _faults_decoder))
        _answer(response, self._server.faults)


class _Hosts:
    def __init__(self, server: PlatformServer) -> None:
        self._server = server

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        self._server.model.set_hosts(_decode(request, _hosts_decoder))
        response.status = falcon.HTTP_204


def _decode(request: falcon.Request, decoder: msgspec.json.Decoder) -> Any:
    if (request.content_length or 0) > MAX_BODY_BYTES:
        message = f"The body is longer than {MAX_BODY_BYTES} bytes."
        raise RequestError(Failure.not_run(FailureKind.TOO_LARGE, message))
    try:
        return decoder.decode(request.bounded_stream.read())
    except msgspec.DecodeError as error:
        raise RequestError(Failure.not_run(FailureKind.BAD_REQUEST, str(error))) from error


def _answer(response: falcon.Response, message: Any) -> None:
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(message)


def _answer_failure(
    request: falcon.Request, response: falcon.Response, error: RequestError, params: Any
) -> None:
    response.status = falcon.code_to_http_status(error.failure.status)
    _answer(response, error.failure)


def _cut(request: falcon.Request) -> None:
    """Close the connection so that the client gets no answer."""
    try:
        request.env["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
    except OSError as error:
        logging.debug("Cutting a connection: %s", error)
