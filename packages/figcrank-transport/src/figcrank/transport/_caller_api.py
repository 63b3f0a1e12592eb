"""The HTTP API for callers."""

from typing import TypeVar

import falcon
import msgspec

from figcrank.coordination import (
    Credentials,
    Refuse,
    Respond,
    StatementsReceived,
    TransactionReceived,
)
from figcrank.protocol import AnswerBody, Failure, OwnedAnswer, StatementsBody
from figcrank.protocol.codecs import SessionCodec
from figcrank.state import Clock, PresentedKey, Session
from figcrank.transport._calls import CallTable
from figcrank.transport._driver import HostDriver
from figcrank.transport._http_server import (
    bad_request,
    new_app,
    read_body,
    write_failure,
    write_json,
)
from figcrank.transport._telemetry import Span, Telemetry

DEFAULT_TIMEOUT_MS = 5_000
MAX_TIMEOUT_MS = 60_000
MAX_HEADER_CHARS = 8_192
# Added to the caller's timeout, within which the core normally answers, as an upper bound.
ANSWER_GRACE_MS = 1_000
BEARER_PREFIX = "bearer "

Body = TypeVar("Body")
Answer = Respond | Refuse


class EmptyBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request without parameters: empty or ``{}``."""


_statements_decoder = msgspec.json.Decoder(StatementsBody)
_empty_decoder = msgspec.json.Decoder(EmptyBody)


class CallerApi:
    """Converts callers' requests to events and the core's answers to responses.

    :param driver: the host driver.
    :param sessions: codec of session tokens.
    :param telemetry: traces and metrics.
    :param clock: clock that measures the duration of requests.
    """

    def __init__(
        self, driver: HostDriver, sessions: SessionCodec, telemetry: Telemetry, clock: Clock
    ) -> None:
        self._clock = clock
        self._driver = driver
        self._sessions = sessions
        self._telemetry = telemetry
        self._calls = CallTable()
        self._ready = False
        self.app = self._build_app()

    def set_ready(self, ready: bool) -> None:
        """Set the state reported by ``/readyz``."""
        self._ready = ready

    def give_up(self) -> None:
        """Answer the requests in progress with what is known: they may have run."""
        self._calls.give_up()

    def resolve(self, answer: Answer) -> None:
        """Pass an answer to the request that waits for it."""
        self._calls.resolve(answer.call_id, answer)

    def on_post_statements(
        self, request: falcon.Request, response: falcon.Response, service: str
    ) -> None:
        """Run statements for a caller that authenticates with a key."""
        profile = request.get_header("Figcrank-Profile") or ""
        self._run_statements(request, response, service=service, profile=profile)

    def on_post_open(self, request: falcon.Request, response: falcon.Response, route: str) -> None:
        """Run the statement of an open route; a key in the request is ignored."""
        self._run_statements(request, response, route=route)

    def on_post_begin(
        self, request: falcon.Request, response: falcon.Response, service: str
    ) -> None:
        """Begin a transaction."""
        _decode(_empty_decoder, read_body(request) or b"{}")
        self._run_step(request, response, action="begin", service=service)

    def on_post_step(
        self, request: falcon.Request, response: falcon.Response, transaction: str, action: str
    ) -> None:
        """Run statements in a transaction, commit it or roll it back."""
        body = read_body(request)
        if action == "statements":
            statements = _decode(_statements_decoder, body).statements
        elif action in ("commit", "rollback"):
            _decode(_empty_decoder, body or b"{}")
            statements = ()
        else:
            raise falcon.HTTPNotFound
        self._run_step(
            request, response, action=action, transaction=transaction, statements=statements
        )

    def on_get_health(self, request: falcon.Request, response: falcon.Response) -> None:
        """Report that the process is running."""
        write_json(response, {"healthy": True})

    def on_get_ready(self, request: falcon.Request, response: falcon.Response) -> None:
        """Report whether the load balancer should send requests to this host."""
        write_json(response, {"ready": self._ready})
        if not self._ready:
            response.status = falcon.HTTP_503

    def _build_app(self) -> falcon.App:
        app = new_app()
        app.add_route("/v1/services/{service}/statements", self, suffix="statements")
        app.add_route("/v1/services/{service}/transactions", self, suffix="begin")
        app.add_route("/v1/open/{route}", self, suffix="open")
        app.add_route("/v1/transactions/{transaction}/{action}", self, suffix="step")
        app.add_route("/healthz", self, suffix="health")
        app.add_route("/readyz", self, suffix="ready")
        return app

    def _run_statements(
        self,
        request: falcon.Request,
        response: falcon.Response,
        service: str = "",
        profile: str = "",
        route: str = "",
    ) -> None:
        body = _decode(_statements_decoder, read_body(request))
        timeout_ms = _timeout_ms(request)
        credentials = self._credentials(request, with_key=not route)
        idempotency_key = _header(request, "Idempotency-Key")
        span = self._span("caller.statements", request)
        call_id = self._calls.open()
        event = StatementsReceived(
            call_id,
            credentials,
            service,
            profile,
            body,
            timeout_ms,
            route,
            idempotency_key,
            span.traceparent,
        )
        self._dispatch_and_respond(event, span, response)

    def _run_step(
        self,
        request: falcon.Request,
        response: falcon.Response,
        action: str,
        service: str = "",
        transaction: str = "",
        statements: tuple = (),
    ) -> None:
        timeout_ms = _timeout_ms(request)
        credentials = self._credentials(request, with_key=True)
        span = self._span(f"caller.{action}", request)
        call_id = self._calls.open()
        event = TransactionReceived(
            call_id,
            credentials,
            action,
            timeout_ms,
            service,
            transaction,
            statements,
            span.traceparent,
        )
        self._dispatch_and_respond(event, span, response)

    def _dispatch_and_respond(
        self,
        event: StatementsReceived | TransactionReceived,
        span: Span,
        response: falcon.Response,
    ) -> None:
        response.set_header("Traceparent", span.traceparent)
        outcome = "fault"
        started_ms = self._clock.now_ms()
        try:
            self._driver.dispatch(event)
            answer = self._calls.wait(event.call_id, event.timeout_ms + ANSWER_GRACE_MS)
            outcome = self._write_answer(answer, response)
        finally:
            self._calls.discard(event.call_id)
            self._telemetry.count(f"caller.{outcome}")
            self._telemetry.time("caller.elapsed", self._clock.now_ms() - started_ms)
            span.end(outcome=outcome)

    def _write_answer(self, answer: Answer | None, response: falcon.Response) -> str:
        """Write the response and return the outcome for the metric and the span."""
        if answer is None:
            write_failure(response, Failure.unknown("The host did not answer in time."))
            return "timeout"
        if isinstance(answer, Refuse):
            write_failure(response, answer.failure)
            return str(answer.failure.kind)
        response.set_header("Figcrank-Session", self._sessions.encode(answer.session))
        write_json(response, _answer_body(answer.answer))
        return "answered"

    def _credentials(self, request: falcon.Request, with_key: bool) -> Credentials:
        key = _presented_key(request) if with_key else None
        return Credentials(key, self._session(request))

    def _session(self, request: falcon.Request) -> Session | None:
        token = _header(request, "Figcrank-Session")
        return self._sessions.decode(token) if token else None

    def _span(self, name: str, request: falcon.Request) -> Span:
        span = self._telemetry.start_span(name, request.get_header("Traceparent") or "")
        request.context.trace_id = span.trace_id
        return span


def _answer_body(answer: OwnedAnswer) -> AnswerBody:
    return AnswerBody(answer.results, answer.served_by, answer.replayed, answer.transaction)


def _decode(decoder: "msgspec.json.Decoder[Body]", body: bytes) -> Body:
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        raise bad_request(f"The body is not valid: {error}.") from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise bad_request("The body is not valid JSON.") from error


def _header(request: falcon.Request, name: str) -> str:
    text = request.get_header(name) or ""
    if len(text) > MAX_HEADER_CHARS:
        raise bad_request(f"The header {name} is too long.")
    return text


def _presented_key(request: falcon.Request) -> PresentedKey | None:
    text = request.get_header("Authorization") or ""
    if not text.lower().startswith(BEARER_PREFIX):
        return None
    return PresentedKey.from_text(text[len(BEARER_PREFIX) :].strip())


def _timeout_ms(request: falcon.Request) -> int:
    text = request.get_header("Figcrank-Timeout-Ms")
    if text is None:
        return DEFAULT_TIMEOUT_MS
    timeout_ms = int(text) if text.isascii() and text.isdigit() and len(text) < 8 else 0
    if not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        message = f"Figcrank-Timeout-Ms must be an integer from 1 to {MAX_TIMEOUT_MS}."
        raise bad_request(message)
    return timeout_ms
