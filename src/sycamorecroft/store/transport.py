"""HTTP calls to the platform and exact classification of their errors."""

import time
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, TypeVar
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import (
    ClosedPoolError,
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from sycamorecroft.errors import (
    NotLeaseHolderError,
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store.adaptive_timeout import AdaptiveTimeout
from sycamorecroft.store.calls import StoreOperation

Message = TypeVar("Message")

CALL_TIMEOUT_S = 1.0
IDLE_CONNECTIONS_COUNT = 16

STATUS_OK = 200
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409

# The platform answers with these statuses before it does any work.
NOT_APPLIED_STATUSES = (429, 503)

# Raised before the first byte of a request is sent.
_UNSENT_ERRORS = (
    ClosedPoolError,
    ConnectTimeoutError,
    EmptyPoolError,
    NewConnectionError,
)


class Method(StrEnum):
    """HTTP methods of the platform's interface."""

    GET = "GET"
    PUT = "PUT"
    POST = "POST"
    DELETE = "DELETE"


class Reply(NamedTuple):
    """Complete answer with a status below 500; ``call`` names its request."""

    call: str
    operation: StoreOperation
    status: int
    body: bytes


class PlatformConnection:
    """Connections to one address of the platform. Thread-safe.

    :param address: ``ip:port``.
    :param timeout_s: limit of the wait for a connection, and for each part of an
        answer.
    :param adaptive_timeout: replaces ``timeout_s``.
    :param on_answer: called for each answer that is no refusal for want of capacity.
    """

    def __init__(
        self,
        address: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        adaptive_timeout: AdaptiveTimeout | None = None,
        on_answer: Callable[[], None] | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal():
            message = f"platform address must be 'ip:port', got {address!r}"
            raise PlatformError(message)
        self._adaptive_timeout = adaptive_timeout
        self._on_answer = on_answer
        self._timeout = urllib3.Timeout(total=timeout_s)
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=IDLE_CONNECTIONS_COUNT,
            timeout=self._timeout,
            retries=False,
        )

    def close(self) -> None:
        """Closes idle connections; later calls fail."""
        self._pool.close()

    def call(
        self,
        method: Method,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> Reply:
        """
        :param path: encoded path and query.
        :param timeout_s: limit of this call; ``None`` for the connection's.
        :returns: an answer that is no error of the platform's.
        :raises StoreUnavailableError: when the call is known not to have been applied,
            or was a read.
        :raises StoreOutcomeUnknownError: when a write may have been applied.
        """
        operation = (
            StoreOperation.READ if method is Method.GET else StoreOperation.WRITE
        )
        name = f"{method} {path}"
        begin_s = time.monotonic()
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                retries=False,
                timeout=self._timeout_of(timeout_s),
            )
        except _UNSENT_ERRORS as error:
            raise StoreUnavailableError(f"{name} was not sent: {error}") from error
        except HTTPError as error:
            self._record_lost(error, timeout_s)
            raise _lost(operation, f"{name} got no complete answer: {error}") from error
        if self._adaptive_timeout is not None and timeout_s is None:
            self._adaptive_timeout.record_answer(time.monotonic() - begin_s)
        if response.status in NOT_APPLIED_STATUSES:
            raise StoreUnavailableError(f"{name} was refused: {response.status}")
        if response.status >= 500:
            raise _lost(operation, f"{name} failed with status {response.status}")
        if self._on_answer is not None:
            self._on_answer()
        return Reply(name, operation, response.status, response.data)

    def _timeout_of(self, timeout_s: float | None) -> urllib3.Timeout | float:
        if timeout_s is not None:
            return timeout_s
        if self._adaptive_timeout is not None:
            return self._adaptive_timeout.timeout_s
        return self._timeout

    def _record_lost(self, error: HTTPError, timeout_s: float | None) -> None:
        is_adaptive = self._adaptive_timeout is not None and timeout_s is None
        if is_adaptive and isinstance(error, ReadTimeoutError):
            self._adaptive_timeout.record_timeout()


def encode_segment(text: str) -> str:
    """
    :returns: text as one segment of a path; slashes are encoded, too.
    """
    return quote(text, safe="")


def require_ok(reply: Reply) -> Reply:
    """
    :raises NotLeaseHolderError: when the platform has seen a higher epoch.
    :raises StoreConflictError: when a check of a transaction failed.
    :raises PlatformError: when the platform did not accept the request.
    """
    if reply.status == STATUS_OK:
        return reply
    message = f"{reply.call}: {reply.status} {reply.body.decode(errors='replace')}"
    if reply.status == STATUS_CONFLICT:
        raise StoreConflictError(message)
    if reply.status == STATUS_FORBIDDEN:
        raise NotLeaseHolderError(message)
    raise PlatformError(message)


def decode_reply(reply: Reply, message_type: type[Message]) -> Message:
    """
    :returns: the body of a successful answer.
    :raises StoreUnavailableError: when the answer to a read can't be decoded.
    :raises StoreOutcomeUnknownError: when the answer to a write can't be decoded.
    """
    try:
        return msgspec.json.decode(require_ok(reply).body, type=message_type)
    except msgspec.DecodeError as error:
        raise _lost(reply.operation, f"{reply.call}: {error}") from error


def _lost(operation: StoreOperation, message: str) -> PlatformError:
    if operation is StoreOperation.READ:
        return StoreUnavailableError(message)
    return StoreOutcomeUnknownError(message)
