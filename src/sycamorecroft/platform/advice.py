"""HTTP client of the advice service, which approves workers for steps."""

from typing import TypedDict

import msgspec

from sycamorecroft.errors import PlatformError
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.scheduling.advice import AdviceCalls, Approval, Approvals
from sycamorecroft.store.transport import STATUS_OK, Method, PlatformConnection

_WireApprovals = TypedDict(
    "_WireApprovals", {"approved": list[list[object]], "valid-ms": float}
)
# Rows may get further columns.
_ROW_COLUMNS_COUNT = 2


class HttpAdviceCalls(AdviceCalls):
    """Calls to the advice service over HTTP."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def advise(self, step: str, workers: tuple[str, ...]) -> Approvals:
        reply = self._connection.call(
            Method.POST,
            "/api/advise",
            body=msgspec.json.encode({"step": step, "workers": workers}),
            headers={"Content-Type": "application/json"},
        )
        try:
            if reply.status != STATUS_OK:
                raise ValueError(f"expected status 200, got {reply.status}")
            body = msgspec.json.decode(reply.body, type=_WireApprovals)
            rows = [row[:_ROW_COLUMNS_COUNT] for row in body["approved"]]
            return Approvals(
                msgspec.convert(rows, type=tuple[Approval, ...]),
                body["valid-ms"] / 1000,
            )
        except (*JSON_ERRORS, ValueError) as error:
            message = f"{reply.call}: malformed response: {error}"
            raise PlatformError(message) from error
