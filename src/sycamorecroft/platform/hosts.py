"""HTTP client that lists hosts, moves them between pools and starts their upkeep."""

from typing import Required, TypedDict
from urllib.parse import urlencode

import msgspec

from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError, StoreUnavailableError
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.platform.capacities import WireCapacity, decode_capacity
from sycamorecroft.store.transport import (
    STATUS_CONFLICT,
    STATUS_OK,
    Method,
    PlatformConnection,
    Reply,
)
from sycamorecroft.upkeep.hosts import (
    FencingToken,
    Host,
    HostCalls,
    HostOrderStatus,
    HostState,
)

_STATES = {
    "up": HostState.UP,
    "moving": HostState.MOVING,
    "upkeep": HostState.UPKEEP,
    "down": HostState.DOWN,
}


class _WireHost(TypedDict, total=False):
    """A host as the platform lists it; ``id`` is that of its worker."""

    machine: Required[str]
    pool: Required[str]
    state: Required[str]
    capacity: Required[WireCapacity]
    zone: str
    labels: list[str]
    id: str | None


_WirePage = TypedDict(
    "_WirePage",
    {"machines": Required[list[_WireHost]], "next-token": str | None},
    total=False,
)


class HttpHostCalls(HostCalls):
    """Host control of the platform over HTTP. Thread-safe."""

    def __init__(self, connection: PlatformConnection, clock: Clock) -> None:
        """
        :param clock: clock of the tokens' expiry.
        """
        self._connection = connection
        self._clock = clock

    def list_hosts(self) -> tuple[Host, ...]:
        hosts: list[Host] = []
        page_token = ""
        while True:
            query = f"?{urlencode({'page-token': page_token})}" if page_token else ""
            reply = self._connection.call(Method.GET, f"/api/machines{query}")
            page = _decode_page(reply)
            hosts.extend(_decode_host(wire) for wire in page["machines"])
            page_token = page.get("next-token") or ""
            if not page_token:
                return tuple(hosts)

    def move(self, host: str, pool: str, token: FencingToken) -> HostOrderStatus:
        body = {"machine": host, "pool": pool}
        return self._order("/api/machine-move", body, token)

    def start_upkeep(
        self, host: str, wave: int, token: FencingToken
    ) -> HostOrderStatus:
        body = {"machine": host, "wave": wave}
        return self._order("/api/machine-upkeep", body, token)

    def _order(
        self, path: str, body: dict[str, object], token: FencingToken
    ) -> HostOrderStatus:
        headers = {
            "Content-Type": "application/json",
            "X-Lease-Holder": token.holder,
            "X-Fencing-Token": str(token.number),
        }
        try:
            reply = self._connection.call(
                Method.POST,
                path,
                body=msgspec.json.encode(body),
                headers=headers,
                may_send=lambda: self._clock.monotonic_s() < token.expires_s,
            )
        except StoreUnavailableError:
            return HostOrderStatus.NOT_DONE
        except PlatformError:
            return HostOrderStatus.UNKNOWN
        if reply.status == STATUS_OK:
            return HostOrderStatus.DONE
        if reply.status == STATUS_CONFLICT:
            return HostOrderStatus.REFUSED
        return HostOrderStatus.NOT_DONE


def _decode_page(reply: Reply) -> _WirePage:
    if reply.status != STATUS_OK:
        raise PlatformError(f"{reply.call}: expected status 200, got {reply.status}")
    try:
        return msgspec.json.decode(reply.body, type=_WirePage)
    except JSON_ERRORS as error:
        raise PlatformError(f"{reply.call}: malformed response: {error}") from error


def _decode_host(wire: _WireHost) -> Host:
    return Host(
        name=wire["machine"],
        pool=wire["pool"],
        state=_STATES.get(wire["state"], HostState.DOWN),
        data_centre=wire.get("zone", ""),
        labels=tuple(wire.get("labels", ())),
        capacity=decode_capacity(wire["capacity"]),
        worker_id=wire.get("id") or "",
    )
