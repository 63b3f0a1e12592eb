"""The HTTP API for operators."""

import hmac

import falcon

from figcrank.coordination import OperatorReceived, RespondOperator
from figcrank.protocol import Failure, FailureKind, MessageError, RequestError
from figcrank.protocol.codecs import decode_operator_request
from figcrank.transport._calls import CallTable
from figcrank.transport._driver import HostDriver
from figcrank.transport._http_server import (
    bad_request,
    new_app,
    read_body,
    write_failure,
    write_json,
)

OPERATOR_PATH = "/v1/operator"
ANSWER_TIMEOUT_MS = 30_000
BEARER_PREFIX = "Bearer "


class OperatorApi:
    """Handles requests that are authenticated with an operator key.

    :param driver: the host driver.
    :param keys: accepted operator keys.
    """

    def __init__(self, driver: HostDriver, keys: tuple[str, ...]) -> None:
        self._driver = driver
        self._keys = tuple(key.encode() for key in keys)
        self._calls = CallTable()
        self.app = new_app()
        self.app.add_route(OPERATOR_PATH, self)

    def give_up(self) -> None:
        """Answer the requests in progress with what is known: they may have run."""
        self._calls.give_up()

    def resolve(self, action: RespondOperator) -> None:
        """Pass a reply to the request that waits for it."""
        self._calls.resolve(action.call_id, action.reply)

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Handle an operator request and respond with the core's reply."""
        self._authenticate(request)
        try:
            message = decode_operator_request(read_body(request))
        except MessageError as error:
            raise bad_request("The body is not a valid operator request.") from error
        call_id = self._calls.open()
        try:
            self._driver.dispatch(OperatorReceived(call_id, message))
            reply = self._calls.wait(call_id, ANSWER_TIMEOUT_MS)
        finally:
            self._calls.discard(call_id)
        if reply is None:
            write_failure(response, Failure.unknown("The host did not answer in time."))
            return
        write_json(response, reply)

    def _authenticate(self, request: falcon.Request) -> None:
        text = request.get_header("Authorization") or ""
        presented = text.removeprefix(BEARER_PREFIX).encode()
        # All keys are compared, so that the response time reveals no partial match.
        matches = [hmac.compare_digest(presented, key) for key in self._keys]
        if not any(matches):
            message = "The operator key is missing or invalid."
            raise RequestError(Failure.not_run(FailureKind.BAD_KEY, message))
