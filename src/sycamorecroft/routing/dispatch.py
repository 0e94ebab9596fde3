"""One attempt of a request at a backend server, and what is known of its outcome."""

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
from sycamorecroft.routing.worker_connection import Attempt, worker_pool_class

REQUEST_ID_HEADER = "Sycamorecroft-Request-Id"

CONNECT_TIMEOUT_S = 0.3
"""A hundred times the one-way latency between data centres; a lost SYN is
retried elsewhere and not waited for."""

RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024
"""Limit of a buffered body (section 5.7)."""

CONNECTIONS_PER_WORKER_COUNT = 7
"""Idle connections kept per worker: 9 entry hosts share its 64 connections."""

POOLS_COUNT = 1024
READ_BYTES = 64 * 1024

# urllib3 warns of each connection beyond the idle ones that are kept, which is normal
# operation here.
logging.getLogger("urllib3.connectionpool").setLevel(logging.ERROR)

_HOP_HEADERS = frozenset(
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
    """What is known of an attempt."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    COMPLETE = "complete"
    MAY_HAVE_RUN = "may_have_run"


class AttemptReason(StrEnum):
    """Why an attempt has no whole response."""

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
    """Request as sent to a backend server."""

    request_id: str
    service: str
    headers: Mapping[str, str]
    body: bytes


class AttemptOutcome(NamedTuple):
    """Result of one attempt.

    ``response`` is set exactly when ``kind`` is ``COMPLETE``; ``bytes_sent`` tells
    whether a byte was handed to a connected socket.
    """

    kind: AttemptKind
    reason: AttemptReason | None
    response: RecordedResponse | None
    bytes_sent: bool
    elapsed_s: float


class _ResponseError(Exception):
    """Response that can't be accepted as whole."""

    def __init__(self, reason: AttemptReason) -> None:
        super().__init__(reason)
        self.reason = reason


class Dispatcher:
    """Sends requests over pooled connections, without retries or redirects."""

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
        self._attempt = Attempt(clock)
        self._manager = PoolManager(
            num_pools=POOLS_COUNT, maxsize=CONNECTIONS_PER_WORKER_COUNT, block=False
        )
        self._manager.pool_classes_by_scheme = {
            "http": worker_pool_class(self._attempt)
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
        :param deadline_s: monotonic time that bounds the whole exchange.
        :param refusal_statuses: statuses by which the server guarantees that it did
            no work.
        """
        started_s = self._clock.monotonic_s()
        self._attempt.start(deadline_s)
        kind, reason, response = self._try(address, request, refusal_statuses)
        elapsed_s = self._clock.monotonic_s() - started_s
        return AttemptOutcome(
            kind, reason, response, self._attempt.bytes_sent, elapsed_s
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._manager.clear()

    def _try(
        self, address: str, request: BackendRequest, refusal_statuses: tuple[int, ...]
    ) -> tuple[AttemptKind, AttemptReason | None, RecordedResponse | None]:
        try:
            response = self._exchange(address, request)
        except _ResponseError as error:
            return AttemptKind.MAY_HAVE_RUN, error.reason, None
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            return (*self._classify(error), None)
        if response.status in refusal_statuses:
            return AttemptKind.REFUSED, AttemptReason.REFUSED_BY_WORKER, None
        return AttemptKind.COMPLETE, None, response

    def _classify(self, error: Exception) -> tuple[AttemptKind, AttemptReason]:
        is_late = self._clock.monotonic_s() >= self._attempt.deadline_s
        if self._attempt.bytes_sent:
            if is_late:
                return AttemptKind.MAY_HAVE_RUN, AttemptReason.RESPONSE_TIMEOUT
            return AttemptKind.MAY_HAVE_RUN, AttemptReason.RESPONSE_BROKEN
        if is_late:
            return AttemptKind.NOT_SENT, AttemptReason.DEADLINE
        if isinstance(error, ValueError):
            return AttemptKind.NOT_SENT, AttemptReason.INVALID_REQUEST
        return AttemptKind.NOT_SENT, AttemptReason.CONNECT_FAILED

    def _exchange(self, address: str, request: BackendRequest) -> RecordedResponse:
        remaining_s = self._attempt.remaining_s()
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
        is_whole = False
        try:
            body = self._whole_body(response, request.request_id)
            is_whole = True
        finally:
            if not is_whole:
                response.close()
        response.release_conn()
        headers = _response_headers(response.headers)
        return RecordedResponse(response.status, headers, body)

    def _whole_body(self, response: BaseHTTPResponse, request_id: str) -> bytes:
        _check_request_id(request_id, response.headers.get(REQUEST_ID_HEADER))
        has_bound = _has_bounded_body(response)
        if not has_bound:
            raise _ResponseError(AttemptReason.RESPONSE_UNBOUNDED)
        parts = []
        size_bytes = 0
        for part in response.stream(READ_BYTES, decode_content=False):
            size_bytes += len(part)
            if size_bytes > self._response_limit_bytes:
                raise _ResponseError(AttemptReason.RESPONSE_TOO_LARGE)
            parts.append(part)
        return b"".join(parts)


def _check_request_id(expected: str, answered: str | None) -> None:
    try:
        check_answer_matches_request(expected, answered)
    except InvariantError as error:
        raise _ResponseError(AttemptReason.RESPONSE_MISMATCH) from error


def _has_bounded_body(response: BaseHTTPResponse) -> bool:
    if response.status in _BODYLESS_STATUSES:
        return True
    codings = response.headers.get("Transfer-Encoding")
    if codings is not None:
        return codings.strip().lower() == "chunked"
    return response.headers.get("Content-Length", "").strip().isdecimal()


def _request_headers(request: BackendRequest) -> dict[str, str]:
    headers = _without_hop_headers(request.headers)
    headers[REQUEST_ID_HEADER] = request.request_id
    return headers


def _response_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return _without_hop_headers(headers)


def _without_hop_headers(headers: Mapping[str, str]) -> dict[str, str]:
    named = headers.get("Connection", "")
    dropped = _HOP_HEADERS | {name.strip().lower() for name in named.split(",")}
    return {
        name: value for name, value in headers.items() if name.lower() not in dropped
    }
