"""HTTP clients of the platform's host list and host control."""

import msgspec

from sycamorecroft.store.interfaces import (
    HostControl,
    HostList,
    HostListing,
    HostPhase,
)
from sycamorecroft.store.transport import (
    Method,
    PlatformConnection,
    decode_reply,
    encode_segment,
    require_ok,
)
from sycamorecroft.store.wire import (
    HostOperationBody,
    ListingBody,
    PhaseBody,
    listing_from_body,
)


class HttpHostList(HostList):
    """Host list over HTTP. Thread-safe."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def list_hosts(self) -> HostListing:
        reply = self._connection.call(Method.GET, "/hosts")
        return listing_from_body(decode_reply(reply, ListingBody))


class HttpHostControl(HostControl):
    """Host control over HTTP. Thread-safe."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def drain(self, host: str, *, operation_id: str) -> None:
        self._operate(host, "drain", operation_id)

    def reboot(self, host: str, *, operation_id: str) -> None:
        self._operate(host, "reboot", operation_id)

    def phase(self, host: str) -> HostPhase:
        reply = self._connection.call(Method.GET, f"/hosts/{encode_segment(host)}")
        return decode_reply(reply, PhaseBody)["phase"]

    def _operate(self, host: str, action: str, operation_id: str) -> None:
        body = msgspec.json.encode(HostOperationBody(operation_id=operation_id))
        path = f"/hosts/{encode_segment(host)}/{action}"
        require_ok(self._connection.call(Method.POST, path, body=body))
