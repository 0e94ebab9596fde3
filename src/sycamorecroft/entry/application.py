"""WSGI application of an entry host: routing, authorisation, errors and probes."""

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


class HandlerResponse(NamedTuple):
    """Response of a handler; ``outcome`` and ``reason`` are sent as headers."""

    status: int
    body: bytes
    content_type: str = _JSON
    outcome: Outcome | None = None
    reason: str | None = None
    headers: Mapping[str, str] = {}


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON body of an error response."""

    error: str
    message: str
    request_id: str
    outcome: str | None = None


Handler = Callable[..., HandlerResponse]


class Route(NamedTuple):
    """A method and path with its handler.

    The handler is called with the request, the request id and the variables of the
    path.
    """

    method: str
    path: str
    handler: Handler


class Readiness(ABC):
    """Readiness of this daemon to receive requests."""

    @abstractmethod
    def reasons_not_ready(self) -> tuple[str, ...]:
        """
        :returns: why the load balancer should send no requests; empty if ready.
        """


class ErrorMapping(NamedTuple):
    """Status, reason code and outcome with which an error is reported."""

    status: int
    reason: str
    outcome: Outcome | None


# The first matching class applies.
_ERROR_MAPPINGS: tuple[tuple[type[SycamorecroftError], ErrorMapping], ...] = (
    (RequestError, ErrorMapping(400, "bad_request", Outcome.NOT_RUN)),
    (ConfigurationConflictError, ErrorMapping(409, "conflict", Outcome.NOT_RUN)),
    (ConfigurationError, ErrorMapping(422, "configuration", Outcome.NOT_RUN)),
    (PoolOperationError, ErrorMapping(422, "not_allowed", Outcome.NOT_RUN)),
    (MaintenanceError, ErrorMapping(422, "not_allowed", Outcome.NOT_RUN)),
    (StoreConflictError, ErrorMapping(409, "conflict", Outcome.NOT_RUN)),
    (StoreUnavailableError, ErrorMapping(503, "store_unavailable", Outcome.NOT_RUN)),
    (
        StoreOutcomeUnknownError,
        ErrorMapping(504, "store_outcome_unknown", Outcome.UNKNOWN),
    ),
)
_INTERNAL_ERROR = ErrorMapping(500, "internal", Outcome.UNKNOWN)


def json_response(value: object, status: int = 200) -> HandlerResponse:
    """
    :param value: any value that msgspec can encode.
    :returns: a response with ``value`` as its JSON body.
    """
    return HandlerResponse(status, msgspec.json.encode(value))


def error_mapping(error: SycamorecroftError) -> ErrorMapping:
    """
    :returns: how ``error`` is reported; an error without a mapping is internal.
    """
    if isinstance(error, NotRunError):
        return ErrorMapping(503, error.reason, Outcome.NOT_RUN)
    if isinstance(error, OutcomeUnknownError):
        return ErrorMapping(504, error.reason, Outcome.UNKNOWN)
    for error_class, mapping in _ERROR_MAPPINGS:
        if isinstance(error, error_class):
            return mapping
    return _INTERNAL_ERROR


class Application:
    """WSGI application that dispatches requests to handlers and reports errors.

    :param operator_token: token that operator calls must present. If ``None``, operator
        calls are accepted from loopback addresses only.
    """

    def __init__(
        self,
        routes: Iterable[Route],
        readiness: Readiness,
        telemetry: Telemetry,
        operator_token: str | None,
    ) -> None:
        builtin_routes = (
            Route("GET", "/healthz", self._health),
            Route("GET", "/readyz", self._ready),
            Route("GET", "/metrics", self._metrics),
        )
        self._url_map = Map(
            Rule(route.path, methods=[route.method], endpoint=route.handler)
            for route in (*builtin_routes, *routes)
        )
        self._readiness = readiness
        self._telemetry = telemetry
        self._token = operator_token

    def __call__(self, environ, start_response) -> Iterable[bytes]:
        request = Request(environ)
        request_id = secrets.token_hex(16)
        with structlog.contextvars.bound_contextvars(request_id=request_id):
            response = self._handle(request, request_id)
        return self._to_werkzeug_response(response, request_id)(environ, start_response)

    def _handle(self, request: Request, request_id: str) -> HandlerResponse:
        try:
            handler, path_values = self._url_map.bind_to_environ(
                request.environ
            ).match()
            self._authorise(request)
            return handler(request, request_id, **path_values)
        except HTTPException as error:
            return self._http_error(error, request, request_id)
        except SycamorecroftError as error:
            return self._error(error, request_id)
        except Exception:
            _log.exception("request_failed", path=request.path)
            return self._error_response(_INTERNAL_ERROR, "internal error", request_id)

    def _authorise(self, request: Request) -> None:
        if not request.path.startswith(OPERATOR_PREFIX):
            return
        if self._token is None:
            if ipaddress.ip_address(request.remote_addr or "0.0.0.0").is_loopback:
                return
            raise _UnauthorisedError(
                "operator call from a non-loopback address; set operator_token in the "
                "settings and send it"
            )
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        expected = self._token.encode()
        is_valid = hmac.compare_digest(token.strip().encode(), expected)
        if scheme.lower() != "bearer" or not is_valid:
            raise _UnauthorisedError(
                "Authorization header is missing or invalid; send 'Bearer' and the "
                "operator_token of the settings"
            )

    def _http_error(
        self, error: HTTPException, request: Request, request_id: str
    ) -> HandlerResponse:
        if isinstance(error, NotFound):
            message = f"path {request.path!r} not found; see docs/callers.md"
        elif isinstance(error, MethodNotAllowed):
            allowed = ", ".join(sorted(error.valid_methods or ()))
            message = f"method {request.method!r} is not allowed; allowed are {allowed}"
        else:
            message = error.description or "bad request"
        mapping = ErrorMapping(error.code or 400, "bad_request", Outcome.NOT_RUN)
        return self._error_response(mapping, message, request_id)

    def _error(self, error: SycamorecroftError, request_id: str) -> HandlerResponse:
        if isinstance(error, _UnauthorisedError):
            mapping = ErrorMapping(401, "unauthorised", Outcome.NOT_RUN)
            return self._error_response(mapping, str(error), request_id)
        mapping = error_mapping(error)
        if mapping is _INTERNAL_ERROR:
            _log.exception("request_failed")
        return self._error_response(mapping, str(error), request_id)

    @staticmethod
    def _error_response(
        mapping: ErrorMapping, message: str, request_id: str
    ) -> HandlerResponse:
        body = ErrorBody(mapping.reason, message, request_id, mapping.outcome)
        return HandlerResponse(
            mapping.status,
            msgspec.json.encode(body),
            outcome=mapping.outcome,
            reason=mapping.reason,
        )

    def _to_werkzeug_response(
        self, handled: HandlerResponse, request_id: str
    ) -> Response:
        response = Response(
            handled.body, status=handled.status, content_type=handled.content_type
        )
        response.headers.extend(handled.headers)
        response.headers[REQUEST_ID_HEADER] = request_id
        if handled.outcome is not None:
            response.headers[OUTCOME_HEADER] = handled.outcome
        if handled.reason is not None:
            response.headers[REASON_HEADER] = handled.reason
        return response

    def _health(self, request: Request, request_id: str) -> HandlerResponse:
        return json_response({"status": "ok"})

    def _ready(self, request: Request, request_id: str) -> HandlerResponse:
        reasons = self._readiness.reasons_not_ready()
        return json_response(
            {"ready": not reasons, "reasons": reasons}, 503 if reasons else 200
        )

    def _metrics(self, request: Request, request_id: str) -> HandlerResponse:
        return HandlerResponse(
            200, self._telemetry.render(), "text/plain; version=0.0.4"
        )


class _UnauthorisedError(SycamorecroftError):
    """An operator call without a valid token, or from an address that needs one."""
