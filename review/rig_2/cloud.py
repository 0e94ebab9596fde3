"""Stand-in of the host control, as ``PROTOCOL.md`` describes it under "Machines"."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from review.rig_2.http_json import JsonStandIn, Request
from review.rig_2.record import Record


class MachineOrder(NamedTuple):
    """An order for a machine, with the time of its arrival."""

    at_s: float
    machine: str
    holder: str
    token: int


class Cloud(JsonStandIn):
    """Machines of the pools.

    :ivar answer_s: time that each answer takes.
    :ivar orders: all orders so far.
    :ivar on_order: called as an order arrives.
    """

    def __init__(self, record: Record, *, upkeep_s: float = 2.0) -> None:
        self._record = record
        self._upkeep_s = upkeep_s
        self._lock = threading.Lock()
        self._machines: dict[str, dict] = {}
        self._upkeep_until_s: dict[str, float] = {}
        self._had_upkeep: set[tuple[str, int]] = set()
        self.waves: dict[int, frozenset[str]] = {}
        self.orders: list[MachineOrder] = []
        self.answer_s = 0.004
        self.on_order: Callable[[MachineOrder], None] = lambda order: None
        super().__init__()

    def add(self, machine: str, pool: str, worker_id: str, capacity: dict) -> None:
        """Adds a machine; ``worker_id`` is empty if no worker runs on it."""
        self._machines[machine] = {
            "machine": machine,
            "pool": pool,
            "state": "up",
            "zone": "dc1",
            "labels": ["a", "r1"],
            "capacity": capacity,
            "id": worker_id or None,
        }

    def handle(self, request: Request) -> tuple[int, dict]:
        if request.method == "GET":
            with self._lock:
                self._advance()
                machines = [dict(machine) for machine in self._machines.values()]
            time.sleep(self.answer_s)
            return 200, {"machines": machines, "next-token": None}
        with self._lock:
            self._advance()
            answer = self._order(request)
        time.sleep(self.answer_s)
        return answer

    def _advance(self) -> None:
        now_s = time.monotonic()
        for name, until_s in list(self._upkeep_until_s.items()):
            if now_s >= until_s:
                del self._upkeep_until_s[name]
                self._machines[name]["state"] = "up"

    def _order(self, request: Request) -> tuple[int, dict]:
        name = request.body["machine"]
        holder = request.headers.get("x-lease-holder", "")
        token = int(request.headers.get("x-fencing-token", 0))
        order = MachineOrder(self._record.now_s(), name, holder, token)
        self.on_order(order)
        machine = self._machines.get(name)
        status, reason = self._carry_out(request, name, machine)
        self._record.add(
            "machine_order",
            path=request.path,
            machine=name,
            holder=holder,
            token=token,
            status=status,
            reason=reason,
        )
        self.orders.append(order)
        return status, {"reason": reason} if reason else {}

    def _carry_out(self, request, name, machine) -> tuple[int, str]:
        if machine is None:
            return 400, ""
        if request.path == "/api/machine-move":
            machine["pool"] = request.body["pool"]
            return 200, ""
        wave = request.body["wave"]
        if name not in self.waves.get(wave, ()):
            return 409, "wave"
        if (name, wave) in self._had_upkeep:
            return 200, ""
        if machine["state"] != "up":
            return 409, "busy"
        self._had_upkeep.add((name, wave))
        machine["state"] = "upkeep"
        self._upkeep_until_s[name] = time.monotonic() + self._upkeep_s
        return 200, ""
