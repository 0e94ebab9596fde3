"""Waves under crashes, lost responses, failures and concurrent operators."""

from collections.abc import Callable
from datetime import timedelta

import pytest

from standins.hooked_tables import HookedTables
from standins.memory_fleet import MemoryFleet, PoolShape, RecordingHostControl
from sycamorecroft.errors import (
    MaintenanceError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.maintenance.controller import MaintenanceController
from sycamorecroft.maintenance.planning import WaitReason
from sycamorecroft.maintenance.records import Selection, SelectionKind, WaveState
from sycamorecroft.maintenance.waves import WaveStore
from sycamorecroft.pools.state import HostState
from sycamorecroft.store.interfaces import HostPhase, StorePurpose, TableService

POOLS = [PoolShape("a", 4, 2, 0.5), PoolShape("b", 4, 2, 0.5)]
POOL_A = Selection(SelectionKind.POOL, ("a",))
LIMIT_S = 600


class _CrashError(BaseException):
    """Ends a controller as a killed process would."""


@pytest.fixture
def fleet() -> MemoryFleet:
    return MemoryFleet(POOLS, host_list_lag_s=3.0, reboot_s=20.0)


def _declare(
    fleet: MemoryFleet, selection: Selection = POOL_A, key: str = "key"
) -> str:
    deadline = fleet.clock.now() + timedelta(hours=1)
    store = WaveStore(fleet.tables, fleet.clock)
    return store.declare(key, selection, deadline).record["id"]


def _state(fleet: MemoryFleet, wave_id: str) -> WaveState:
    return WaveStore(fleet.connect(), fleet.clock).read(wave_id).record["state"]


def _run(
    fleet: MemoryFleet,
    wave_id: str,
    *controllers: MaintenanceController,
    limit_s: int = LIMIT_S,
) -> int:
    """
    :returns: seconds until the wave finished.
    """
    for elapsed_s in range(limit_s):
        for controller in controllers:
            controller.step(fleet.clock.now())
            fleet.check()
        if _state(fleet, wave_id) == WaveState.FINISHED:
            return elapsed_s
        fleet.tick()
    raise AssertionError(f"wave {wave_id} did not finish in {limit_s} s")


def _require_complete(fleet: MemoryFleet, wave_id: str) -> None:
    progress = WaveStore(fleet.connect(), fleet.clock).progress(wave_id)
    assert progress.remaining_hosts == ()
    assert set(progress.outcomes.values()) == {"done"}
    hosts = progress.wave.record["hosts"]
    assert sorted(fleet.control.rebooted_hosts) == sorted(hosts)
    states = {record["state"] for record in fleet.host_records().values()}
    assert states == {HostState.ACTIVE}


@pytest.mark.parametrize("moment", ["before", "after"])
def test_crash_at_each_write(fleet: MemoryFleet, moment: str) -> None:
    """Guards against a wave that stops, or reboots a host twice, after a crash."""

    def crash(number: int) -> None:
        if number == 2 or moment == "after":
            raise _CrashError

    wave_id = _declare(fleet)
    for crashes_count in range(200):
        tables = HookedTables(
            fleet.tables, purpose=StorePurpose.POOLS, **{moment: crash}
        )
        controller = fleet.maintenance(f"daemon/{crashes_count}", tables)
        try:
            _run(fleet, wave_id, controller)
        except _CrashError:
            continue
        break
    assert crashes_count >= 4 * 4
    _require_complete(fleet, wave_id)


@pytest.mark.parametrize("write", range(1, 25))
def test_lost_response_at_each_write(fleet: MemoryFleet, write: int) -> None:
    """Guards against a controller that takes a lost response for a failed write."""

    def lose(number: int) -> None:
        if number == write:
            raise StoreOutcomeUnknownError("lost")

    wave_id = _declare(fleet)
    tables = HookedTables(fleet.tables, after=lose)
    _run(fleet, wave_id, fleet.maintenance("daemon", tables))
    _require_complete(fleet, wave_id)


def test_every_second_response_is_lost(fleet: MemoryFleet) -> None:
    """Guards against a controller that makes no progress while responses are lost."""

    def lose(number: int) -> None:
        if number % 2 == 0:
            raise StoreOutcomeUnknownError("lost")

    wave_id = _declare(fleet)
    tables = HookedTables(fleet.tables, after=lose)
    _run(fleet, wave_id, fleet.maintenance("daemon", tables))
    _require_complete(fleet, wave_id)


def test_two_controllers_at_once(fleet: MemoryFleet) -> None:
    """Guards against a second controller that works beside the first."""
    wave_id = _declare(fleet)
    _run(fleet, wave_id, fleet.maintenance("a"), fleet.maintenance("b"))
    _require_complete(fleet, wave_id)


def test_controller_paused_past_its_lease(fleet: MemoryFleet) -> None:
    """Guards against a paused controller that starts drains when it wakes."""
    wave_id = _declare(fleet)
    other = fleet.maintenance("b")
    other.step(fleet.clock.now())
    first = fleet.maintenance("a", _pausing(fleet, other, wave_id))
    fleet.clock.advance(10.0)
    first.step(fleet.clock.now())
    fleet.check()
    _run(fleet, wave_id, other, first)
    _require_complete(fleet, wave_id)


def _pausing(
    fleet: MemoryFleet, other: MaintenanceController, wave_id: str
) -> TableService:
    def pause(number: int) -> None:
        if number == 2:
            _run(fleet, wave_id, other, limit_s=LIMIT_S)

    return HookedTables(fleet.tables, before=pause)


def test_overlapping_waves_of_two_operators(fleet: MemoryFleet) -> None:
    """Guards against two waves that both spend a budget, or both reboot a host."""
    first = _declare(fleet, POOL_A, "one")
    second = _declare(
        fleet, Selection(SelectionKind.RACK, ("a-rack0", "b-rack0")), "two"
    )
    controller = fleet.maintenance("a")
    _run(fleet, first, controller)
    _run(fleet, second, controller)
    assert sorted(fleet.control.rebooted_hosts) == [
        "a-0",
        "a-1",
        "a-2",
        "a-3",
        "b-0",
        "b-1",
    ]


def test_declaring_twice_is_harmless(fleet: MemoryFleet) -> None:
    """Guards against a second wave from a repeated call."""
    fleet.tables.faults.lose_responses(count=1)
    assert _declare(fleet) == _declare(fleet)
    with pytest.raises(MaintenanceError, match="use another key"):
        _declare(fleet, Selection(SelectionKind.POOL, ("b",)))
    with pytest.raises(MaintenanceError, match="list the hosts"):
        _declare(fleet, Selection(SelectionKind.RACK, ("nowhere",)), "other")


def test_two_operators_declare_at_once(fleet: MemoryFleet) -> None:
    """Guards against a second wave when both calls find none."""
    deadline = fleet.clock.now() + timedelta(hours=1)
    other = WaveStore(fleet.tables, fleet.clock)

    def declare(number: int) -> None:
        other.declare("key", POOL_A, deadline)

    tables = HookedTables(fleet.tables, before=declare)
    wave = WaveStore(tables, fleet.clock).declare("key", POOL_A, deadline)
    assert [item.record["id"] for item in other.waves()] == [wave.record["id"]]


def test_rack_failure_pauses_the_wave(fleet: MemoryFleet) -> None:
    """Guards against planned work that adds to a rack failure."""
    wave_id = _declare(fleet)
    controller = fleet.maintenance("a")
    controller.step(fleet.clock.now())
    fleet.declare_hosts(without=("a-2", "a-3"))
    for _ in range(100):
        fleet.tick()
        controller.step(fleet.clock.now())
        fleet.check()
    states = fleet.host_records()
    assert fleet.control.rebooted_hosts == ["a-0"]
    assert states["a-0"]["state"] == HostState.ACTIVE
    reasons = {item.host: item.reason for item in controller.explain(wave_id)}
    assert reasons["a-1"] == WaitReason.RECENT_FAILURE
    fleet.declare_hosts()
    _run(fleet, wave_id, controller)
    _require_complete(fleet, wave_id)


def test_demand_above_the_remaining_capacity_holds_the_pool(fleet: MemoryFleet) -> None:
    """Guards against maintenance that takes hosts that requests need."""
    wave_id = _declare(fleet)
    controller = fleet.maintenance("a")
    controller.observe_demand({"a": 4})
    assert controller.step(fleet.clock.now()).started_hosts == ()
    assert controller.explain(wave_id)[0].reason == WaitReason.DEMAND
    controller.observe_demand({"a": 3})
    assert controller.step(fleet.clock.now()).started_hosts == ("a-0",)


def test_unknown_host_list_holds_the_wave(fleet: MemoryFleet) -> None:
    """Guards against drains while failures can't be seen."""
    wave_id = _declare(fleet)
    controller = fleet.maintenance("a")
    fleet.platform.hosts.faults.set_down()
    assert controller.step(fleet.clock.now()).started_hosts == ()
    assert controller.explain(wave_id)[0].reason == WaitReason.HOST_LIST_UNAVAILABLE
    fleet.platform.hosts.faults.clear()
    assert controller.step(fleet.clock.now()).started_hosts == ("a-0",)


def test_store_outage_pauses_the_wave(fleet: MemoryFleet) -> None:
    """Guards against drains on rows that can't be read."""
    wave_id = _declare(fleet)
    tables = fleet.connect()
    controller = fleet.maintenance("a", tables)
    controller.step(fleet.clock.now())
    tables.faults.set_down()
    for _ in range(30):
        fleet.tick()
        assert controller.step(fleet.clock.now()).problem
    tables.faults.clear()
    _run(fleet, wave_id, controller)
    _require_complete(fleet, wave_id)


@pytest.mark.parametrize(
    ("change", "state"),
    [(WaveStore.pause, WaveState.PAUSED), (WaveStore.cancel, WaveState.CANCELLED)],
)
def test_operator_that_commits_first_prevents_the_drain(
    fleet: MemoryFleet,
    change: Callable[[WaveStore, str], object],
    state: WaveState,
) -> None:
    """Guards against a drain that starts after a pause or cancellation."""
    wave_id = _declare(fleet)
    store = WaveStore(fleet.tables, fleet.clock)

    def intervene(number: int) -> None:
        if number == 2:
            change(store, wave_id)

    controller = fleet.maintenance("a", HookedTables(fleet.tables, before=intervene))
    assert controller.step(fleet.clock.now()).started_hosts == ()
    assert _state(fleet, wave_id) == state


def test_started_drain_finishes_after_a_pause(fleet: MemoryFleet) -> None:
    """Guards against a host that stays out of service while its wave is paused."""
    wave_id = _declare(fleet)
    controller = fleet.maintenance("a")
    controller.step(fleet.clock.now())
    store = WaveStore(fleet.tables, fleet.clock)
    store.pause(wave_id)
    for _ in range(40):
        fleet.tick()
        controller.step(fleet.clock.now())
    assert store.progress(wave_id).outcomes == {"a-0": "done"}
    store.resume(wave_id)
    _run(fleet, wave_id, controller)


def test_explanation_names_the_entry_host_that_blocks(fleet: MemoryFleet) -> None:
    """Guards against an operator who must search for what holds a wave."""
    wave_id = _declare(fleet)
    fleet.entry_hosts["entry2"].is_frozen = True
    controller = fleet.maintenance("a")
    for _ in range(20):
        controller.step(fleet.clock.now())
        fleet.tick()
    explanation = controller.explain(wave_id)[0]
    assert explanation.reason == WaitReason.ENTRY_HOST
    assert "entry2: view_too_old" in explanation.detail


def test_host_that_stays_down_is_taken_out(fleet: MemoryFleet) -> None:
    """Guards against a wave that waits for a broken host for ever."""
    fleet.platform.control.reboot_s = 1e6
    wave_id = _declare(fleet, Selection(SelectionKind.HOSTS, ("a-0",)))
    _run(fleet, wave_id, fleet.maintenance("a"), limit_s=2000)
    progress = WaveStore(fleet.tables, fleet.clock).progress(wave_id)
    assert progress.outcomes == {"a-0": "taken_out"}
    assert fleet.budgets()["a"]["failed_out_count"] == 1


def test_finished_wave_takes_no_operator_change(fleet: MemoryFleet) -> None:
    """Guards against a resumed wave that the controller has already closed."""
    wave_id = _declare(fleet, Selection(SelectionKind.HOSTS, ("a-0",)))
    _run(fleet, wave_id, fleet.maintenance("a"))
    with pytest.raises(MaintenanceError, match="declare a new one"):
        WaveStore(fleet.tables, fleet.clock).resume(wave_id)


def test_returned_host_is_not_taken_for_a_failure(fleet: MemoryFleet) -> None:
    """Guards against a pause after each host, because the platform's list lags."""
    fleet.platform.hosts.lag_s = 10.0
    wave_id = _declare(fleet, Selection(SelectionKind.POOL, ("a", "b")))
    for entry in fleet.entry_hosts.values():
        entry.step()
    assert _run(fleet, wave_id, fleet.maintenance("a")) < 4 * 40


def test_reboot_that_is_reported_late_is_waited_for(fleet: MemoryFleet) -> None:
    """Guards against a host that returns to service just before it reboots."""
    reported = fleet.platform.control.phase
    accepted_at_s: dict[str, float] = {}

    class LaggingControl(RecordingHostControl):
        def reboot(self, host: str, *, operation_id: str) -> None:
            super().reboot(host, operation_id=operation_id)
            accepted_at_s.setdefault(host, fleet.clock.monotonic_s())

        def phase(self, host: str) -> HostPhase:
            age_s = fleet.clock.monotonic_s() - accepted_at_s.get(host, 0.0)
            return HostPhase.UP if age_s < 3.0 else reported(host)

    fleet.control = LaggingControl(fleet.platform.control)
    wave_id = _declare(fleet, Selection(SelectionKind.HOSTS, ("a-0",)))
    controller = fleet.maintenance("a")
    for _ in range(40):
        controller.step(fleet.clock.now())
        fleet.tick()
        if fleet.platform.control.current_phase("a-0") is HostPhase.REBOOTING:
            assert fleet.host_records()["a-0"]["state"] == HostState.REBOOTING
    assert _state(fleet, wave_id) == WaveState.FINISHED


def test_wave_declared_during_a_reboot_reboots_again(fleet: MemoryFleet) -> None:
    """Guards against a wave that counts a reboot that began before it."""
    first = _declare(fleet, Selection(SelectionKind.HOSTS, ("a-0",)), "one")
    controller = fleet.maintenance("a")
    while fleet.host_records()["a-0"]["state"] != HostState.REBOOTING:
        controller.step(fleet.clock.now())
        fleet.tick()
    second = _declare(fleet, Selection(SelectionKind.HOSTS, ("a-0",)), "two")
    _run(fleet, first, controller)
    _run(fleet, second, controller)
    assert fleet.control.rebooted_hosts == ["a-0", "a-0"]
