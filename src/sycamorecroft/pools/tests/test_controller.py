"""Tests of the pool controller: registration, failed hosts and moves."""

import pytest

from standins.hooked_tables import HookedTables
from standins.memory_fleet import MemoryFleet, PoolShape
from sycamorecroft.errors import StoreOutcomeUnknownError
from sycamorecroft.pools.controller import PoolController
from sycamorecroft.pools.move_requests import MOVES_TABLE, MoveRequestStore
from sycamorecroft.pools.state import HostState
from sycamorecroft.store.interfaces import Put, StorePurpose

POOLS = [
    PoolShape("a", 4, 2, 0.5),
    PoolShape("b", 4, 2, 0.25),
    PoolShape("c", 4, 2, 0.5),
]


class _CrashError(BaseException):
    """Simulates the kill of a controller's process."""


@pytest.fixture
def fleet() -> MemoryFleet:
    return MemoryFleet(POOLS, host_list_lag_s=3.0)


def _run(
    fleet: MemoryFleet,
    controllers: list[PoolController],
    duration_s: int,
    **demand: float,
) -> None:
    for _ in range(duration_s):
        for controller in controllers:
            controller.observe_demand(demand)
            controller.step()
            fleet.check()
        fleet.tick()


def _pools(fleet: MemoryFleet) -> list[str]:
    return sorted(record["pool"] for record in fleet.host_records().values())


def test_sustained_need_is_met_within_the_budgets(fleet: MemoryFleet) -> None:
    """Guards against a shortage that persists while other pools have a surplus."""
    controllers = [fleet.pool_controller("x"), fleet.pool_controller("y")]
    _run(fleet, controllers, 100, a=5.0, b=0.1, c=2.6)
    assert _pools(fleet).count("a") == 4
    _run(fleet, controllers, 100, a=5.0, b=0.1, c=2.6)
    assert (_pools(fleet).count("a"), _pools(fleet).count("c")) == (6, 3)
    states = {record["state"] for record in fleet.host_records().values()}
    assert states == {HostState.ACTIVE}


@pytest.mark.parametrize("kind", ["crash", "lost response"])
def test_fault_at_each_write(fleet: MemoryFleet, kind: str) -> None:
    """Guards against a crash or lost response that leaves a move half done."""

    def fail(number: int) -> None:
        if kind == "crash":
            raise _CrashError
        raise StoreOutcomeUnknownError("lost")

    def start() -> PoolController:
        tables = HookedTables(
            fleet.tables,
            after=lambda number: fail(number) if number % 2 else None,
            purpose=StorePurpose.POOLS,
        )
        return fleet.pool_controller(f"x/{fleet.clock.monotonic_s()}", tables)

    controller = start()
    for _ in range(400):
        controller.observe_demand({"a": 5.0, "b": 0.1, "c": 2.6})
        try:
            controller.step()
        except _CrashError:
            controller = start()
        fleet.check()
        fleet.tick()
    assert _pools(fleet).count("a") >= 5


def test_failed_host_is_taken_out_then_removed(fleet: MemoryFleet) -> None:
    """Guards against a lost host that counts as capacity forever."""
    controller = fleet.pool_controller("x")
    _run(fleet, [controller], 5)
    fleet.declare_hosts(without=("a-0",))
    _run(fleet, [controller], 70)
    assert fleet.host_records()["a-0"]["state"] == HostState.OUT
    _run(fleet, [controller], 560)
    assert "a-0" not in fleet.host_records()
    assert fleet.budgets()["a"]["failed_out_count"] == 0
    fleet.declare_hosts()
    _run(fleet, [controller], 10)
    assert fleet.host_records()["a-0"]["pool"] == "a"


def test_briefly_unlisted_host_stays_in_service(fleet: MemoryFleet) -> None:
    """Guards against a gap in the host list that takes a host out of service."""
    controller = fleet.pool_controller("x")
    _run(fleet, [controller], 5)
    fleet.declare_hosts(without=("a-0",))
    _run(fleet, [controller], 30)
    fleet.declare_hosts()
    _run(fleet, [controller], 60)
    assert fleet.host_records()["a-0"]["state"] == HostState.ACTIVE


def test_unavailable_host_list_proves_no_failure(fleet: MemoryFleet) -> None:
    """Guards against a host list outage that takes all hosts out of service."""
    controller = fleet.pool_controller("x")
    _run(fleet, [controller], 5)
    fleet.platform.hosts.faults.set_down()
    _run(fleet, [controller], 120, a=5.0, b=0.1, c=0.1)
    states = {record["state"] for record in fleet.host_records().values()}
    assert states == {HostState.ACTIVE}


def test_implausible_host_list_is_ignored(fleet: MemoryFleet) -> None:
    """Guards against a wrong host list that takes most hosts out of service."""
    controller = fleet.pool_controller("x")
    _run(fleet, [controller], 5)
    names = sorted(fleet.host_records())
    fleet.declare_hosts(without=tuple(names[: len(names) // 2 + 1]))
    _run(fleet, [controller], 700)
    states = {record["state"] for record in fleet.host_records().values()}
    assert states == {HostState.ACTIVE}


def test_failed_host_returns_when_it_is_listed_again(fleet: MemoryFleet) -> None:
    """Guards against a host that stays out of service after it was restarted."""
    controller = fleet.pool_controller("x")
    _run(fleet, [controller], 5)
    fleet.declare_hosts(without=("a-0",))
    _run(fleet, [controller], 70)
    assert fleet.host_records()["a-0"]["state"] == HostState.OUT
    fleet.declare_hosts()
    _run(fleet, [controller], 25)
    assert fleet.host_records()["a-0"]["state"] == HostState.OUT
    _run(fleet, [controller], 20)
    assert fleet.host_records()["a-0"]["state"] == HostState.ACTIVE
    assert fleet.budgets()["a"]["failed_out_count"] == 0


def test_operator_move_is_carried_out_beside_a_malformed_request(
    fleet: MemoryFleet,
) -> None:
    """Guards against one malformed request that blocks all others."""
    controller = fleet.pool_controller("x")
    _run(fleet, [controller], 5)
    malformed = Put(MOVES_TABLE, "zz", b"{}")
    fleet.tables.transact([], [malformed], purpose=StorePurpose.OPERATORS)
    requests = MoveRequestStore(fleet.tables)
    requests.request("a-0", "c")
    _run(fleet, [controller], 20)
    assert fleet.host_records()["a-0"]["pool"] == "c"
    assert requests.pending() == {}
