"""Calls that move machines between pools and begin their upkeep."""

from urllib.parse import urlencode

import msgspec

from sycamorecroft.errors import PlatformError, StoreUnavailableError
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.store.transport import (
    STATUS_CONFLICT,
    STATUS_OK,
    Method,
    PlatformConnection,
)
from sycamorecroft.upkeep.machines import (
    Machine,
    MachineCalls,
    MachineOrderStatus,
    MachineState,
    OrderToken,
)

_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.UPKEEP,
    "down": MachineState.DOWN,
}


class HttpMachineCalls(MachineCalls):
    """Machine control over HTTP. Thread-safe."""

    def __init__(self, connection: PlatformConnection) -> None:
        self._connection = connection

    def list_machines(self) -> tuple[Machine, ...]:
        machines: list[Machine] = []
        token = ""
        while True:
            query = f"?{urlencode({'page-token': token})}" if token else ""
            reply = self._connection.call(Method.GET, f"/api/machines{query}")
            if reply.status != STATUS_OK:
                raise PlatformError(f"{reply.call}: status {reply.status}")
            body = msgspec.json.decode(reply.body)
            machines.extend(_machine(wire) for wire in body["machines"])
            token = body.get("next-token") or ""
            if not token:
                return tuple(machines)

    def move(self, machine: str, pool: str, token: OrderToken) -> MachineOrderStatus:
        body = {"machine": machine, "pool": pool}
        return self._order("/api/machine-move", body, token)

    def begin_upkeep(
        self, machine: str, wave: int, token: OrderToken
    ) -> MachineOrderStatus:
        body = {"machine": machine, "wave": wave}
        return self._order("/api/machine-upkeep", body, token)

    def _order(
        self, path: str, body: dict[str, object], token: OrderToken
    ) -> MachineOrderStatus:
        headers = {
            "Content-Type": "application/json",
            "X-Lease-Holder": token.holder,
            "X-Fencing-Token": str(token.number),
        }
        try:
            reply = self._connection.call(
                Method.POST, path, body=msgspec.json.encode(body), headers=headers
            )
        except StoreUnavailableError:
            return MachineOrderStatus.NOT_DONE
        except PlatformError:
            return MachineOrderStatus.UNKNOWN
        if reply.status == STATUS_OK:
            return MachineOrderStatus.DONE
        if reply.status == STATUS_CONFLICT:
            return MachineOrderStatus.REFUSED
        return MachineOrderStatus.NOT_DONE


def _machine(wire: dict[str, object]) -> Machine:
    return Machine(
        name=wire["machine"],
        pool=wire["pool"],
        state=_STATES.get(wire["state"], MachineState.DOWN),
        data_centre=wire.get("zone", ""),
        labels=tuple(wire.get("labels", ())),
        capacity=Resources(
            wire["capacity"].get("cpu", 0),
            wire["capacity"].get("mem-mb", 0),
            wire["capacity"].get("gpu", 0),
        ),
        worker_id=wire.get("id") or "",
    )
