"""Responses that a listener sends without calling the application."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from sycamorecroft.entry.eviction import CloseReason

# What stalls has given way by then.
RETRY_AFTER_S = 1


class Refusal(NamedTuple):
    """Refusal of a request that has certainly not run."""

    status: HTTPStatus
    reason: CloseReason
    message: str

    @property
    def status_line(self) -> str:
        """Status code and phrase."""
        return f"{self.status.value} {self.status.phrase}"

    def body(self) -> bytes:
        """
        :returns: JSON text of the response.
        """
        return msgspec.json.encode({"reason": self.message})

    def to_bytes(self, extra_fields: Mapping[str, str]) -> bytes:
        """
        :param extra_fields: header fields that the listener adds.
        :returns: response that ends its connection.
        """
        body = self.body()
        fields = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        if self.status is HTTPStatus.SERVICE_UNAVAILABLE:
            fields["Retry-After"] = str(RETRY_AFTER_S)
        fields |= extra_fields
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join((f"HTTP/1.1 {self.status_line}", *lines))
        return head.encode("latin-1") + b"\r\n\r\n" + body


NO_MEMORY = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE,
    CloseReason.MEMORY_SHORT,
    "too many bytes of requests are held",
)
NO_CONNECTION = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE,
    CloseReason.CONNECTIONS_SHORT,
    "too many connections are open",
)
STOPPING = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE,
    CloseReason.STOPPING,
    "the process is stopping",
)
HEAD_OVERDUE = Refusal(
    HTTPStatus.REQUEST_TIMEOUT,
    CloseReason.HEADER_TIMEOUT,
    "the head of the request took too long",
)
BODY_OVERDUE = Refusal(
    HTTPStatus.REQUEST_TIMEOUT,
    CloseReason.BODY_TIMEOUT,
    "the body of the request took too long",
)

_REASONS = {
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: CloseReason.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: CloseReason.HEAD_TOO_LARGE,
}


def parser_refusal(code: int, message: str) -> Refusal:
    """
    :param code: status that the parser gives the request.
    :param message: what is wrong, and the limit if it exceeds one.
    :returns: the refusal of the request.
    """
    status = HTTPStatus(code)
    reason = _REASONS.get(status, CloseReason.MALFORMED)
    return Refusal(status, reason, f"{status.phrase}: {message}")
