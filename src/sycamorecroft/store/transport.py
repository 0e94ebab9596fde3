"""HTTP calls to the platform, and classification of their errors.

An error tells whether the call is known not to have been applied.
"""

import ipaddress
import time
from collections.abc import Callable, Mapping
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
    CallWithheldError,
    NoOpenConnectionError,
    NotLeaseHolderError,
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.store.adaptive_timeout import AdaptiveTimeout
from sycamorecroft.store.calls import StoreOperation
from sycamorecroft.store.connections import (
    MaySend,
    OpenedConnections,
    RecordedPool,
    WithheldError,
)
from sycamorecroft.traffic import TrafficMeter

Message = TypeVar("Message")

CALL_TIMEOUT_S = 1.0
IDLE_CONNECTIONS_COUNT = 16
# A colon, a space and the end of the line.
HEADER_SEPARATORS_BYTES = 4

MAX_PORT = 65535
PORT_DIGITS_MAX_COUNT = 5

STATUS_OK = 200
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409

# The platform responds with these statuses before it does any work.
NOT_APPLIED_STATUSES = (429, 503)

# Errors raised before the first byte of a request is sent.
_UNSENT_ERRORS = (
    ClosedPoolError,
    ConnectTimeoutError,
    EmptyPoolError,
    NewConnectionError,
)


class Method(StrEnum):
    """HTTP methods used by the platform's API."""

    GET = "GET"
    PUT = "PUT"
    POST = "POST"
    DELETE = "DELETE"


class Reply(NamedTuple):
    """Complete response with a status below 500; ``call`` is its method and path."""

    call: str
    operation: StoreOperation
    status: int
    body: bytes


def is_valid_address(address: str) -> bool:
    """
    :returns: whether the text is an IP address and a port, such as ``10.0.0.1:80``.
    """
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdecimal() or len(port) > PORT_DIGITS_MAX_COUNT:
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True


class PlatformConnection:
    """Connections to one address of the platform. Thread-safe.

    :param address: ``ip:port``.
    :param timeout_s: limit in seconds of the wait for a connection, and of the wait for
        each part of a response.
    :param adaptive_timeout: replaces ``timeout_s``.
    :param connect_timeout_s: limit in seconds of the wait for a connection, if it
        differs from that of the wait for a response.
    :param on_response: called for each response that is neither an error of the
        platform nor a refusal for lack of capacity.
    :param traffic: counts the bytes of all complete calls; ``None`` to count none.
    :param traffic_use: use under which bytes are counted if a call names none.
    """

    def __init__(
        self,
        address: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        adaptive_timeout: AdaptiveTimeout | None = None,
        connect_timeout_s: float | None = None,
        on_response: Callable[[], None] | None = None,
        traffic: TrafficMeter | None = None,
        traffic_use: str = "",
    ) -> None:
        if not is_valid_address(address):
            message = f"platform address must be 'ip:port', got {address!r}"
            raise PlatformError(message)
        self._adaptive_timeout = adaptive_timeout
        self._connect_timeout_s = connect_timeout_s
        self._on_response = on_response
        self._traffic = traffic
        self._traffic_use = traffic_use
        self._timeout = urllib3.Timeout(total=timeout_s)
        host, _, port = address.rpartition(":")
        self._opened = OpenedConnections()
        self._pool = RecordedPool(
            host,
            int(port),
            maxsize=IDLE_CONNECTIONS_COUNT,
            timeout=self._timeout,
            retries=False,
            opened=self._opened,
            delivery_timeout_s=_longest_timeout_s(timeout_s, adaptive_timeout),
        )

    @property
    def opened_count(self) -> int:
        """Number of connections opened so far.

        If it is the same before and after a call, the call was sent on a connection
        that had been open before.
        """
        return self._opened.count

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
        traffic_use: str = "",
        needs_open_connection: bool = False,
        may_send: MaySend | None = None,
    ) -> Reply:
        """
        :param path: percent-encoded path and query.
        :param timeout_s: timeout of this call in seconds; ``None`` for the
            connection's timeout.
        :param traffic_use: use under which the bytes are counted; empty for the
            connection's use.
        :param needs_open_connection: whether the call is sent only if a connection is
            open, which the process that answered on it hasn't closed, for instance by a
            restart.
        :param may_send: asked when the connection is open, before each part of the
            request is written: the process may have been paused since it made the call.
        :returns: the response; its status is below 500.
        :raises NoOpenConnectionError: when the call needed an open connection.
        :raises CallWithheldError: when the call might not be sent any more.
        :raises StoreUnavailableError: when the call is known not to have been applied,
            or was a read.
        :raises StoreOutcomeUnknownError: when a write may have been applied.
        """
        operation = (
            StoreOperation.READ if method is Method.GET else StoreOperation.WRITE
        )
        name = f"{method} {path}"
        started_s = time.monotonic()
        self._opened.begin_call(not needs_open_connection, may_send)
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                retries=False,
                timeout=self._call_timeout(timeout_s),
            )
        except WithheldError as error:
            raise CallWithheldError(f"{name} was not sent: {error}") from error
        except _UNSENT_ERRORS as error:
            if needs_open_connection:
                raise NoOpenConnectionError(f"{name} was not sent: {error}") from error
            raise StoreUnavailableError(f"{name} was not sent: {error}") from error
        except HTTPError as error:
            self._record_timeout(error, timeout_s)
            raise _response_error(
                operation, f"{name} got no complete response: {error}"
            ) from error
        if self._traffic is not None:
            self._traffic.record(
                traffic_use or self._traffic_use,
                len(name) + len(body or b"") + _headers_bytes(headers or {}),
                len(response.data) + _headers_bytes(response.headers),
            )
        if self._adaptive_timeout is not None and timeout_s is None:
            self._adaptive_timeout.record_response(time.monotonic() - started_s)
        if response.status in NOT_APPLIED_STATUSES:
            raise StoreUnavailableError(
                f"{name} was refused and can be retried: status {response.status}"
            )
        if response.status >= 500:
            raise _response_error(
                operation, f"{name} failed with status {response.status}"
            )
        if self._on_response is not None:
            self._on_response()
        return Reply(name, operation, response.status, response.data)

    def _call_timeout(self, timeout_s: float | None) -> urllib3.Timeout | float:
        if timeout_s is not None:
            return timeout_s
        if self._adaptive_timeout is None:
            return self._timeout
        read_s = self._adaptive_timeout.timeout_s
        return urllib3.Timeout(connect=self._connect_timeout_s or read_s, read=read_s)

    def _record_timeout(self, error: HTTPError, timeout_s: float | None) -> None:
        is_adaptive = self._adaptive_timeout is not None and timeout_s is None
        if is_adaptive and isinstance(error, ReadTimeoutError):
            self._adaptive_timeout.record_timeout()


def _longest_timeout_s(
    timeout_s: float, adaptive_timeout: AdaptiveTimeout | None
) -> float:
    return timeout_s if adaptive_timeout is None else adaptive_timeout.max_s


def _headers_bytes(headers: Mapping[str, str]) -> int:
    return sum(
        len(name) + len(value) + HEADER_SEPARATORS_BYTES
        for name, value in headers.items()
    )


def encode_segment(text: str) -> str:
    """
    :returns: text percent-encoded as one path segment, slashes included.
    """
    return quote(text, safe="")


def require_ok(reply: Reply) -> Reply:
    """
    :raises NotLeaseHolderError: when the platform has seen a higher epoch.
    :raises StoreConflictError: when a check of a transaction failed.
    :raises PlatformError: when the platform rejected the request.
    """
    if reply.status == STATUS_OK:
        return reply
    message = (
        f"{reply.call} failed with status {reply.status}: "
        f"{reply.body.decode(errors='replace')}"
    )
    if reply.status == STATUS_CONFLICT:
        raise StoreConflictError(message)
    if reply.status == STATUS_FORBIDDEN:
        raise NotLeaseHolderError(message)
    raise PlatformError(message)


def decode_reply(reply: Reply, message_type: type[Message]) -> Message:
    """
    :returns: the decoded body of a successful response.
    :raises StoreUnavailableError: when the response to a read can't be decoded.
    :raises StoreOutcomeUnknownError: when the response to a write can't be decoded.
    """
    try:
        return msgspec.json.decode(require_ok(reply).body, type=message_type)
    except JSON_ERRORS as error:
        raise _response_error(
            reply.operation, f"{reply.call} got a malformed response: {error}"
        ) from error


def _response_error(operation: StoreOperation, message: str) -> PlatformError:
    if operation is StoreOperation.READ:
        return StoreUnavailableError(message)
    return StoreOutcomeUnknownError(message)
