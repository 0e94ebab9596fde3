"""WSGI application of an entry host: routes, errors, authorisation, metrics."""

import hmac
import ipaddress
import secrets
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec
import structlog
from werkzeug.exceptions import HTTPException, MethodNotAllowed, NotFound
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from sycamorecroft.entry.headers import (
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
)
from sycamorecroft.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    MaintenanceError,
    NotRunError,
    OutcomeUnknownError,
    PoolOperationError,
    RequestError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    SycamorecroftError,
)
from sycamorecroft.routing.execution import Outcome
from sycamorecroft.telemetry import Telemetry

_log = structlog.get_logger()

OPERATOR_PREFIX = "/v1/operator/"
_JSON = "application/json"


class Answer(NamedTuple):
    """Answer of a handler; ``outcome`` and ``reason`` go into headers."""

    status: int
    body: bytes
    content_type: str = _JSON
    outcome: Outcome | None = None
    reason: str | None = None
    headers: Mapping[str, str] = {}


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an answer that reports an error."""

    error: str
    message: str
    request_id: str
    outcome: str | None = None


Handler = Callable[..., Answer]


class Route(NamedTuple):
    """A path with its method; the handler gets the request and path values."""

    method: str
    path: str
    handler: Handler


class Readiness(ABC):
    """Whether this daemon may get requests."""

    @abstractmethod
    def reasons_not_ready(self) -> tuple[str, ...]:
        """
        :returns: why the balancer should send nothing, empty if ready.
        """


class ErrorRule(NamedTuple):
    """How an error is reported to the caller."""

    status: int
    reason: str
    outcome: Outcome | None


# The first class that matches decides.
_ERROR_RULES: tuple[tuple[type[SycamorecroftError], ErrorRule], ...] = (
    (RequestError, ErrorRule(400, "bad_request", Outcome.NOT_RUN)),
    (ConfigurationConflictError, ErrorRule(409, "conflict", Outcome.NOT_RUN)),
    (ConfigurationError, ErrorRule(422, "configuration", Outcome.NOT_RUN)),
    (PoolOperationError, ErrorRule(422, "not_allowed", Outcome.NOT_RUN)),
    (MaintenanceError, ErrorRule(422, "not_allowed", Outcome.NOT_RUN)),
    (StoreConflictError, ErrorRule(409, "conflict", Outcome.NOT_RUN)),
    (StoreUnavailableError, ErrorRule(503, "store_unavailable", Outcome.NOT_RUN)),
    (
        StoreOutcomeUnknownError,
        ErrorRule(504, "store_outcome_unknown", Outcome.UNKNOWN),
    ),
)
_INTERNAL_ERROR = ErrorRule(500, "internal", Outcome.UNKNOWN)


def json_answer(value: object, status: int = 200) -> Answer:
    """
    :param value: what msgspec can encode.
    :returns: an answer with a JSON body.
    """
    return Answer(status, msgspec.json.encode(value))


def error_rule(error: SycamorecroftError) -> ErrorRule:
    """
    :returns: how ``error`` is reported.
    """
    if isinstance(error, NotRunError):
        return ErrorRule(503, error.reason, Outcome.NOT_RUN)
    if isinstance(error, OutcomeUnknownError):
        return ErrorRule(504, error.reason, Outcome.UNKNOWN)
    for kind, rule in _ERROR_RULES:
        if isinstance(error, kind):
            return rule
    return _INTERNAL_ERROR


class Application:
    """WSGI application.

    :param operator_token: token that operator calls must carry; without one they are
        served to loopback callers only.
    """

    def __init__(
        self,
        routes: Iterable[Route],
        readiness: Readiness,
        telemetry: Telemetry,
        operator_token: str | None,
    ) -> None:
        own_routes = (
            Route("GET", "/healthz", self._health),
            Route("GET", "/readyz", self._ready),
            Route("GET", "/metrics", self._metrics),
        )
        self._map = Map(
            Rule(route.path, methods=[route.method], endpoint=route.handler)
            for route in (*own_routes, *routes)
        )
        self._readiness = readiness
        self._telemetry = telemetry
        self._token = operator_token

    def __call__(self, environ, start_response) -> Iterable[bytes]:
        request = Request(environ)
        request_id = secrets.token_hex(16)
        with structlog.contextvars.bound_contextvars(request_id=request_id):
            answer = self._answer(request, request_id)
        return self._response(answer, request_id)(environ, start_response)

    def _answer(self, request: Request, request_id: str) -> Answer:
        try:
            handler, values = self._map.bind_to_environ(request.environ).match()
            self._authorise(request)
            return handler(request, request_id, **values)
        except HTTPException as error:
            return self._http_error(error, request, request_id)
        except SycamorecroftError as error:
            return self._error(error, request_id)
        except Exception:
            _log.exception("request_failed", path=request.path)
            return self._report(_INTERNAL_ERROR, "internal error", request_id)

    def _authorise(self, request: Request) -> None:
        if not request.path.startswith(OPERATOR_PREFIX):
            return
        if self._token is None:
            if ipaddress.ip_address(request.remote_addr or "0.0.0.0").is_loopback:
                return
            raise _ForbiddenError(
                "operator calls from beyond loopback need operator_token in settings"
            )
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        expected = self._token.encode()
        is_valid = hmac.compare_digest(token.strip().encode(), expected)
        if scheme.lower() != "bearer" or not is_valid:
            raise _ForbiddenError(
                "Authorization: allowed is 'Bearer' with operator_token"
            )

    def _http_error(
        self, error: HTTPException, request: Request, request_id: str
    ) -> Answer:
        if isinstance(error, NotFound):
            message = f"path {request.path!r} not found; see docs/callers.md"
        elif isinstance(error, MethodNotAllowed):
            allowed = ", ".join(sorted(error.valid_methods or ()))
            message = f"method {request.method!r}; allowed are {allowed}"
        else:
            message = error.description or "bad request"
        rule = ErrorRule(error.code or 400, "bad_request", Outcome.NOT_RUN)
        return self._report(rule, message, request_id)

    def _error(self, error: SycamorecroftError, request_id: str) -> Answer:
        if isinstance(error, _ForbiddenError):
            rule = ErrorRule(401, "unauthorised", Outcome.NOT_RUN)
            return self._report(rule, str(error), request_id)
        rule = error_rule(error)
        if rule is _INTERNAL_ERROR:
            _log.exception("request_failed")
        return self._report(rule, str(error), request_id)

    @staticmethod
    def _report(rule: ErrorRule, message: str, request_id: str) -> Answer:
        body = ErrorBody(rule.reason, message, request_id, rule.outcome)
        return Answer(
            rule.status,
            msgspec.json.encode(body),
            outcome=rule.outcome,
            reason=rule.reason,
        )

    def _response(self, answer: Answer, request_id: str) -> Response:
        response = Response(
            answer.body, status=answer.status, content_type=answer.content_type
        )
        response.headers.extend(answer.headers)
        response.headers[REQUEST_ID_HEADER] = request_id
        if answer.outcome is not None:
            response.headers[OUTCOME_HEADER] = answer.outcome
        if answer.reason is not None:
            response.headers[REASON_HEADER] = answer.reason
        return response

    def _health(self, request: Request, request_id: str) -> Answer:
        return json_answer({"status": "ok"})

    def _ready(self, request: Request, request_id: str) -> Answer:
        reasons = self._readiness.reasons_not_ready()
        return json_answer(
            {"ready": not reasons, "reasons": reasons}, 503 if reasons else 200
        )

    def _metrics(self, request: Request, request_id: str) -> Answer:
        return Answer(200, self._telemetry.render(), "text/plain; version=0.0.4")


class _ForbiddenError(SycamorecroftError):
    """An operator call without a valid token."""
