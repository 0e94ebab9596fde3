"""HTTP interface through which operators ask a node about placements."""

import hmac
import threading
from collections import deque
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple

import msgspec
import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import RequestError, StoreUnavailableError
from sycamorecroft.explanations.messages import (
    EXPLAIN_PLACEMENT_PATH,
    ExplainFailure,
    ExplainReply,
    ExplainRequest,
)
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.log_intervals import LogIntervals
from sycamorecroft.metrics import EXPLANATIONS
from sycamorecroft.recorder import Recorder

_log = structlog.get_logger(__name__)

# The largest body of a job that sites allow, and the rest of a question.
REQUEST_LIMIT_BYTES = 262_144 + 4096
ANSWERS_PER_S_COUNT = 2
RETRY_AFTER_S = 1
AUTHENTICATION_SCHEME = "Bearer"

WsgiApplication = Callable[[dict, Callable], Iterable[bytes]]


class AnswerLimit:
    """Admits one answer at a time, and at most two within a second. Thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._is_busy = False
        self._started_s: deque[float] = deque(maxlen=ANSWERS_PER_S_COUNT)

    def enter(self) -> bool:
        """
        :returns: whether an answer may be made now; :meth:`leave` must be called then.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            is_spent = len(self._started_s) == ANSWERS_PER_S_COUNT and (
                now_s - self._started_s[0] < 1.0
            )
            if self._is_busy or is_spent:
                return False
            self._is_busy = True
            self._started_s.append(now_s)
            return True

    def leave(self) -> None:
        """Must be called when the answer is made."""
        with self._lock:
            self._is_busy = False


class _Answer(NamedTuple):
    """Response to a question; ``outcome`` is the label of a metric."""

    status: HTTPStatus
    outcome: str
    body: ExplainReply | ExplainFailure
    headers: tuple[tuple[str, str], ...] = ()


class OperatorInterface:
    """WSGI application of the metrics listener that also answers operators.

    :param metrics: application that all other paths lead to.
    :param answer: answers a question; raises
        :class:`~sycamorecroft.errors.RequestError` if it is invalid, and
        :class:`~sycamorecroft.errors.StoreUnavailableError` if there is no answer now.
    :param token: bearer token of operators; without one the path doesn't exist.
    """

    def __init__(
        self,
        metrics: WsgiApplication,
        answer: Callable[[ExplainRequest], ExplainReply],
        token: str | None,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        self._metrics = metrics
        self._answer = answer
        self._token = token.encode() if token is not None else None
        self._limit = AnswerLimit(clock)
        self._recorder = recorder
        self._log_intervals = LogIntervals(clock)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        if not environ.get("PATH_INFO", "").startswith("/operator/"):
            return self._metrics(environ, start_response)
        answer = self._respond(environ)
        self._recorder.count(EXPLANATIONS, outcome=answer.outcome)
        self._log_refusal(answer)
        body = msgspec.json.encode(answer.body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *answer.headers,
        ]
        start_response(f"{answer.status.value} {answer.status.phrase}", headers)
        return [body]

    def _respond(self, environ: dict) -> _Answer:
        if self._token is None or environ["PATH_INFO"] != EXPLAIN_PLACEMENT_PATH:
            return _failure(HTTPStatus.NOT_FOUND, "not_found", "no such path")
        if not self._is_authorised(environ):
            return _failure(
                HTTPStatus.UNAUTHORIZED,
                "unauthorised",
                "send 'Bearer' and the operator_token of the node's settings",
                ("WWW-Authenticate", AUTHENTICATION_SCHEME),
            )
        if environ["REQUEST_METHOD"] != "POST":
            text = "only POST is allowed"
            return _failure(HTTPStatus.METHOD_NOT_ALLOWED, "invalid", text)
        if not self._limit.enter():
            return _failure(
                HTTPStatus.TOO_MANY_REQUESTS,
                "too_often",
                "this node answers one question at a time, and two a second",
                ("Retry-After", str(RETRY_AFTER_S)),
            )
        try:
            return self._explain(environ)
        finally:
            self._limit.leave()

    def _is_authorised(self, environ: dict) -> bool:
        header = environ.get("HTTP_AUTHORIZATION", "")
        scheme, _, token = header.partition(" ")
        # The texts of a WSGI environment stand for one byte per character.
        sent = token.strip().encode("latin-1")
        is_valid = hmac.compare_digest(sent, self._token or b"")
        return is_valid and scheme.lower() == AUTHENTICATION_SCHEME.lower()

    def _explain(self, environ: dict) -> _Answer:
        try:
            request = _read_request(environ)
            reply = self._answer(request)
        except RequestError as error:
            return _failure(HTTPStatus.BAD_REQUEST, "invalid", str(error))
        except StoreUnavailableError as error:
            return _failure(HTTPStatus.SERVICE_UNAVAILABLE, "unavailable", str(error))
        except Exception:
            _log.exception("placement_not_explained")
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return _failure(status, "error", "internal error")
        return _Answer(HTTPStatus.OK, reply.outcome, reply)

    def _log_refusal(self, answer: _Answer) -> None:
        if not isinstance(answer.body, ExplainFailure):
            return
        suppressed_count = self._log_intervals.admit(answer.outcome)
        if suppressed_count is not None:
            _log.info(
                "explanation_refused",
                reason=answer.outcome,
                text=answer.body.message,
                suppressed_count=suppressed_count,
            )


def _failure(
    status: HTTPStatus, error: str, text: str, *headers: tuple[str, str]
) -> _Answer:
    return _Answer(status, error, ExplainFailure(error, text), headers)


def _read_request(environ: dict) -> ExplainRequest:
    """
    :raises RequestError: when the body is too large or not valid.
    """
    body = environ["wsgi.input"].read(REQUEST_LIMIT_BYTES + 1)
    if len(body) > REQUEST_LIMIT_BYTES:
        raise RequestError(f"a question has at most {REQUEST_LIMIT_BYTES} bytes")
    try:
        return msgspec.json.decode(body, type=ExplainRequest)
    except JSON_ERRORS as error:
        raise RequestError(f"body is not a valid question: {error}") from error
