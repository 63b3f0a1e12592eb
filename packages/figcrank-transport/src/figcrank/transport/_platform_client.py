"""HTTP client for the platform's object API."""

import msgspec

from figcrank.coordination import CallPlatform, PlatformReplied
from figcrank.protocol import PlatformFailed, PlatformResult
from figcrank.protocol.codecs import encode
from figcrank.transport._driver import HostDriver, spawn_logged
from figcrank.transport._http_client import HttpCallError, HttpClient
from figcrank.transport._telemetry import Telemetry

PLATFORM_PATH = "/v1/calls"
HTTP_OK = 200
_HEADERS = {"Content-Type": "application/json"}

_result_decoder = msgspec.json.Decoder(PlatformResult)


class PlatformClient:
    """Sends platform calls on behalf of the core, each in a separate greenlet.

    :param driver: the host driver.
    :param address: ``ip:port`` of the platform.
    :param telemetry: traces and metrics.
    """

    def __init__(self, driver: HostDriver, address: str, telemetry: Telemetry) -> None:
        self._driver = driver
        self._address = address
        self._telemetry = telemetry
        self._http = HttpClient()

    def call(self, action: CallPlatform) -> None:
        """Send a call; its result is dispatched as an event."""
        spawn_logged(self._call, action)

    def _call(self, action: CallPlatform) -> None:
        result = self._exchange(action)
        if isinstance(result, PlatformFailed):
            self._telemetry.count("platform.failed")
        self._driver.dispatch(PlatformReplied(action.call_id, result))

    def _exchange(self, action: CallPlatform) -> PlatformResult:
        body = encode(action.call)
        try:
            reply = self._http.post(self._address, PLATFORM_PATH, body, _HEADERS, action.timeout_ms)
        except HttpCallError as error:
            return PlatformFailed(error.reason)
        if reply.status != HTTP_OK:
            return PlatformFailed(f"status {reply.status}")
        try:
            return _result_decoder.decode(reply.body)
        except msgspec.DecodeError:
            return PlatformFailed("garbled")
