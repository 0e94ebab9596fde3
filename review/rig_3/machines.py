"""Stand-in of the service that lists machines, and the judgement of the rule ONE."""

import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from review.rig_3.site import LEASE_MS, Node, Record
from standins.platform_http import JsonServer, StoreServer
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY, OwnerRow
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM
from sycamorecroft.scheduling.rows import decode_row

MACHINES_COUNT = 16
AT_ONCE_COUNT = 8
UPKEEP_S = 2.0
# The service "backoffice" is the spare pool, whose machines are off.
FLEET = {
    "version": 1,
    "routes": [
        {
            "name": "r-rating",
            "host": "jobs.example",
            "prefix": "/rating/",
            "service": "rating",
            "attempts": 3,
        }
    ],
    "services": [
        {"name": "rating", "rejects-overload": True},
        {"name": "backoffice", "rejects-overload": True, "standby": True},
    ],
    "limits": {"max-body-bytes": 100000},
}


class Order(NamedTuple):
    """An order for a machine, at the time at which it arrived."""

    time_s: float
    holder: str
    token: int
    machine: str


class MachinesServer(JsonServer):
    """Lists the machines of the spare pool and carries out upkeep on arrival.

    :ivar slow_until_s: until then each answer comes ``slow_s`` later.
    """

    def __init__(self, port: int, record: Record) -> None:
        self._record = record
        self._lock = threading.Lock()
        self._up_again_s: dict[str, float] = {}
        self._waves: dict[str, set[int]] = {}
        self.slow_until_s = 0.0
        self.slow_s = 0.0
        self.orders: list[Order] = []
        super().__init__(port)

    def _serve_request(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        holder = environ.get("HTTP_X_LEASE_HOLDER", "")
        token = environ.get("HTTP_X_FENCING_TOKEN", "")
        environ["PATH_INFO"] = "|".join((environ["PATH_INFO"], holder, token))
        return super()._serve_request(environ, start_response)

    def handle(self, method: str, path: str, query: dict, body: dict) -> tuple:
        is_slow = time.monotonic() < self.slow_until_s
        path, holder, token = path.split("|")
        reply = (400, {})
        if path == "/api/machines":
            reply = (200, self._list())
        elif path == "/api/machine-upkeep":
            reply = self._begin(body["machine"], body["wave"], holder, int(token))
        if is_slow:
            time.sleep(self.slow_s)
        return reply

    def _list(self) -> dict:
        now_s = time.monotonic()
        with self._lock:
            machines = [
                {
                    "machine": name,
                    "pool": "backoffice",
                    "state": "upkeep"
                    if self._up_again_s.get(name, 0.0) > now_s
                    else "up",
                    "zone": "ondangwa",
                    "labels": ["a", f"r1-{number // 4}"],
                    "capacity": {"cpu": 64000, "mem-mb": 131072, "gpu": 0},
                    "id": "",
                }
                for number, name in enumerate(_machine_names())
            ]
        return {"machines": machines, "next-token": ""}

    def _begin(self, machine: str, wave: int, holder: str, token: int) -> tuple:
        with self._lock:
            text = f"upkeep of {machine}, wave {wave}: holder {holder}, token {token}"
            now_s = self._record.write(text)
            self.orders.append(Order(now_s, holder, token, machine))
            if wave in self._waves.setdefault(machine, set()):
                return 200, {}
            if self._up_again_s.get(machine, 0.0) > now_s:
                return 409, {"reason": "busy"}
            self._waves[machine].add(wave)
            self._up_again_s[machine] = now_s + UPKEEP_S
        return 200, {}


def _machine_names() -> list[str]:
    return [f"m-{number:02}" for number in range(MACHINES_COUNT)]


def holder_of_machines(store: StoreServer) -> str:
    """
    :returns: node that gives the orders for machines; empty if there is none.
    """
    row = store.tables.row(OWNERS_TABLE, ROW_KEY, FLEET_CONTROLLER_CLAIM)
    return decode_row(row.value, OwnerRow).entry_host if row else ""


def wait_for(condition: Callable[[], bool], timeout_s: float) -> bool:
    """
    :returns: whether the condition was met in time.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(0.02)
    return False


def request_wave(store: StoreServer, number: int) -> None:
    """Requests the upkeep of all machines, as the operator does."""
    wave = {
        "wave": number,
        "machines": _machine_names(),
        "duration-s": 20,
        "max-count": AT_ONCE_COUNT,
    }
    store.put("op", f"wave/{number}", wave)


def is_complete(store: StoreServer, number: int) -> bool:
    """
    :returns: whether the wave is said to be complete.
    """
    status = store.read("status", f"wave/{number}")
    return status is not None and status["state"] == "complete"


def find_broken(orders: Iterable[Order], nodes: Mapping[str, Node]) -> list[str]:
    """Judges the rule ONE where fences aren't checked.

    :returns: what breaks it.
    """
    broken = []
    last: dict[str, Order] = {}
    for order in sorted(orders):
        former = last.get(order.machine)
        last[order.machine] = order
        if former is None:
            continue
        passed_ms = (order.time_s - former.time_s) * 1000
        text = (
            f"{order.machine}: {former.holder}, token {former.token}, then "
            f"{order.holder}, token {order.token}, {passed_ms:.0f} ms later"
        )
        if order.token < former.token:
            broken.append(f"{text}: a lower token after a higher one")
        elif order.holder == former.holder:
            continue
        elif order.token == former.token:
            broken.append(f"{text}: two holders with one token")
        elif passed_ms < LEASE_MS and _are_in_touch(former, order, nodes):
            broken.append(f"{text}: holders in touch take turns within lease-ms")
    return broken


def _are_in_touch(former: Order, order: Order, nodes: Mapping[str, Node]) -> bool:
    """Returns whether the former holder was in touch all along, and the other then."""
    first, second = nodes[former.holder], nodes[order.holder]
    return (
        first.is_in_touch(former.time_s)
        and first.is_in_touch(order.time_s)
        and second.is_in_touch(order.time_s)
    )
