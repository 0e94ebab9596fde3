"""Sends a request to a backend server once and classifies the outcome."""

import logging
from collections.abc import Mapping
from enum import StrEnum
from http.client import HTTPException
from typing import NamedTuple

from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import HTTPError

from sycamorecroft.claims.interfaces import RecordedResponse
from sycamorecroft.clock import Clock
from sycamorecroft.errors import InvariantError
from sycamorecroft.invariants import check_answer_matches_request
from sycamorecroft.routing.worker_connection import AttemptContext, worker_pool_class

REQUEST_ID_HEADER = "Sycamorecroft-Request-Id"

CONNECT_TIMEOUT_S = 0.3
"""A hundred times the one-way latency between data centres. After a lost SYN the
request is retried on another worker instead of waiting for the retransmission."""

RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024
"""Limit of a buffered response body (docs/design.md, section 5.7)."""

CONNECTIONS_PER_WORKER_COUNT = 7
"""Idle connections kept open per worker: 9 entry hosts share its 64 connections."""

MAX_POOLS_COUNT = 1024
READ_CHUNK_BYTES = 64 * 1024

# urllib3 warns about each connection that exceeds the kept idle ones, which is normal
# operation for the dispatcher.
logging.getLogger("urllib3.connectionpool").setLevel(logging.ERROR)

_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        REQUEST_ID_HEADER.lower(),
    )
)
_BODYLESS_STATUSES = frozenset((204, 304))


class AttemptKind(StrEnum):
    """What is known about the outcome of an attempt."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    COMPLETE = "complete"
    MAY_HAVE_RUN = "may_have_run"


class AttemptReason(StrEnum):
    """Reason for which an attempt has no complete response."""

    CONNECT_FAILED = "connect_failed"
    DEADLINE = "deadline"
    INVALID_REQUEST = "invalid_request"
    REFUSED_BY_WORKER = "refused_by_worker"
    RESPONSE_BROKEN = "response_broken"
    RESPONSE_MISMATCH = "response_mismatch"
    RESPONSE_TIMEOUT = "response_timeout"
    RESPONSE_TOO_LARGE = "response_too_large"
    RESPONSE_UNBOUNDED = "response_unbounded"


class BackendRequest(NamedTuple):
    """Request to a backend server."""

    request_id: str
    service: str
    headers: Mapping[str, str]
    body: bytes


class AttemptOutcome(NamedTuple):
    """Result of one attempt.

    ``response`` is set exactly if ``kind`` is ``COMPLETE``. ``has_sent_bytes`` is set
    if a byte was written to a connected socket.
    """

    kind: AttemptKind
    reason: AttemptReason | None
    response: RecordedResponse | None
    has_sent_bytes: bool
    elapsed_s: float


class _InvalidResponseError(Exception):
    """Response that can't be accepted as the complete response to the request."""

    def __init__(self, reason: AttemptReason) -> None:
        super().__init__(reason)
        self.reason = reason


class Dispatcher:
    """Sends requests over pooled connections, without retries or redirects.

    Thread-safe; each thread makes one attempt at a time.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        response_limit_bytes: int = RESPONSE_LIMIT_BYTES,
    ) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._response_limit_bytes = response_limit_bytes
        self._context = AttemptContext(clock)
        self._manager = PoolManager(
            num_pools=MAX_POOLS_COUNT, maxsize=CONNECTIONS_PER_WORKER_COUNT, block=False
        )
        self._manager.pool_classes_by_scheme = {
            "http": worker_pool_class(self._context)
        }

    def dispatch(
        self,
        address: str,
        request: BackendRequest,
        *,
        deadline_s: float,
        refusal_statuses: tuple[int, ...],
    ) -> AttemptOutcome:
        """Makes one attempt.

        :param address: ``ip:port`` of the worker.
        :param deadline_s: monotonic time that limits the whole exchange.
        :param refusal_statuses: status codes with which the server guarantees that the
            request has not run.
        :returns: the outcome; failures of the exchange are not raised.
        """
        started_s = self._clock.monotonic_s()
        self._context.start(deadline_s)
        kind, reason, response = self._attempt_exchange(
            address, request, refusal_statuses
        )
        elapsed_s = self._clock.monotonic_s() - started_s
        return AttemptOutcome(
            kind, reason, response, self._context.has_sent_bytes, elapsed_s
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._manager.clear()

    def _attempt_exchange(
        self, address: str, request: BackendRequest, refusal_statuses: tuple[int, ...]
    ) -> tuple[AttemptKind, AttemptReason | None, RecordedResponse | None]:
        try:
            response = self._exchange(address, request)
        except _InvalidResponseError as error:
            return AttemptKind.MAY_HAVE_RUN, error.reason, None
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            return (*self._classify(error), None)
        if response.status in refusal_statuses:
            return AttemptKind.REFUSED, AttemptReason.REFUSED_BY_WORKER, None
        return AttemptKind.COMPLETE, None, response

    def _classify(self, error: Exception) -> tuple[AttemptKind, AttemptReason]:
        has_deadline_passed = self._clock.monotonic_s() >= self._context.deadline_s
        if self._context.has_sent_bytes:
            if has_deadline_passed:
                return AttemptKind.MAY_HAVE_RUN, AttemptReason.RESPONSE_TIMEOUT
            return AttemptKind.MAY_HAVE_RUN, AttemptReason.RESPONSE_BROKEN
        if has_deadline_passed:
            return AttemptKind.NOT_SENT, AttemptReason.DEADLINE
        if isinstance(error, ValueError):
            return AttemptKind.NOT_SENT, AttemptReason.INVALID_REQUEST
        return AttemptKind.NOT_SENT, AttemptReason.CONNECT_FAILED

    def _exchange(self, address: str, request: BackendRequest) -> RecordedResponse:
        remaining_s = self._context.remaining_s()
        response = self._manager.urlopen(
            "POST",
            f"http://{address}/{request.service}",
            body=request.body,
            headers=_request_headers(request),
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
            timeout=Timeout(
                connect=min(self._connect_timeout_s, remaining_s), read=remaining_s
            ),
        )
        is_complete = False
        try:
            body = self._read_body(response, request.request_id)
            is_complete = True
        finally:
            if not is_complete:
                response.close()
        response.release_conn()
        headers = _response_headers(response.headers)
        return RecordedResponse(response.status, headers, body)

    def _read_body(self, response: BaseHTTPResponse, request_id: str) -> bytes:
        _check_request_id(request_id, response.headers.get(REQUEST_ID_HEADER))
        is_bounded = _has_bounded_body(response)
        if not is_bounded:
            raise _InvalidResponseError(AttemptReason.RESPONSE_UNBOUNDED)
        chunks = []
        size_bytes = 0
        for chunk in response.stream(READ_CHUNK_BYTES, decode_content=False):
            size_bytes += len(chunk)
            if size_bytes > self._response_limit_bytes:
                raise _InvalidResponseError(AttemptReason.RESPONSE_TOO_LARGE)
            chunks.append(chunk)
        return b"".join(chunks)


def _check_request_id(expected: str, received: str | None) -> None:
    try:
        check_answer_matches_request(expected, received)
    except InvariantError as error:
        raise _InvalidResponseError(AttemptReason.RESPONSE_MISMATCH) from error


def _has_bounded_body(response: BaseHTTPResponse) -> bool:
    if response.status in _BODYLESS_STATUSES:
        return True
    codings = response.headers.get("Transfer-Encoding")
    if codings is not None:
        return codings.strip().lower() == "chunked"
    return response.headers.get("Content-Length", "").strip().isdecimal()


def _request_headers(request: BackendRequest) -> dict[str, str]:
    headers = _strip_hop_by_hop_headers(request.headers)
    headers[REQUEST_ID_HEADER] = request.request_id
    return headers


def _response_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return _strip_hop_by_hop_headers(headers)


def _strip_hop_by_hop_headers(headers: Mapping[str, str]) -> dict[str, str]:
    connection_options = headers.get("Connection", "")
    removed = _HOP_BY_HOP_HEADERS | {
        name.strip().lower() for name in connection_options.split(",")
    }
    return {
        name: value for name, value in headers.items() if name.lower() not in removed
    }
