"""Maintenance waves under crashes, lost responses, failures and concurrent calls."""

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
    """Simulates a killed process: no handler of the controller catches it."""


@pytest.fixture
def fleet() -> MemoryFleet:
    return MemoryFleet(POOLS, host_list_lag_s=3.0, reboot_s=20.0)


def _declare_wave(
    fleet: MemoryFleet, selection: Selection = POOL_A, key: str = "key"
) -> str:
    deadline = fleet.clock.now() + timedelta(hours=1)
    store = WaveStore(fleet.tables, fleet.clock)
    return store.declare(key, selection, deadline).record["id"]


def _wave_state(fleet: MemoryFleet, wave_id: str) -> WaveState:
    return WaveStore(fleet.connect(), fleet.clock).read(wave_id).record["state"]


def _run_until_finished(
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
        if _wave_state(fleet, wave_id) == WaveState.FINISHED:
            return elapsed_s
        fleet.tick()
    raise AssertionError(f"wave {wave_id} did not finish in {limit_s} s")


def _assert_wave_complete(fleet: MemoryFleet, wave_id: str) -> None:
    progress = WaveStore(fleet.connect(), fleet.clock).progress(wave_id)
    assert progress.remaining_hosts == ()
    assert set(progress.outcomes.values()) == {"done"}
    hosts = progress.wave.record["hosts"]
    assert sorted(fleet.control.rebooted_hosts) == sorted(hosts)
    states = {record["state"] for record in fleet.host_records().values()}
    assert states == {HostState.ACTIVE}


@pytest.mark.parametrize("moment", ["before", "after"])
def test_wave_completes_after_crash_at_each_write(
    fleet: MemoryFleet, moment: str
) -> None:
    """Guards against a wave that stalls or reboots a host twice after a crash."""

    def crash(number: int) -> None:
        if number == 2 or moment == "after":
            raise _CrashError

    wave_id = _declare_wave(fleet)
    for crashes_count in range(200):
        tables = HookedTables(
            fleet.tables, purpose=StorePurpose.POOLS, **{moment: crash}
        )
        controller = fleet.maintenance(f"daemon/{crashes_count}", tables)
        try:
            _run_until_finished(fleet, wave_id, controller)
        except _CrashError:
            continue
        break
    assert crashes_count >= 4 * 4
    _assert_wave_complete(fleet, wave_id)


@pytest.mark.parametrize("write", range(1, 25))
def test_wave_completes_after_lost_response_at_each_write(
    fleet: MemoryFleet, write: int
) -> None:
    """Guards against a controller that treats a lost response as a failed write."""

    def lose_response(number: int) -> None:
        if number == write:
            raise StoreOutcomeUnknownError("lost")

    wave_id = _declare_wave(fleet)
    tables = HookedTables(fleet.tables, after=lose_response)
    _run_until_finished(fleet, wave_id, fleet.maintenance("daemon", tables))
    _assert_wave_complete(fleet, wave_id)


def test_wave_completes_if_every_second_response_is_lost(fleet: MemoryFleet) -> None:
    """Guards against a controller that makes no progress while responses are lost."""

    def lose_response(number: int) -> None:
        if number % 2 == 0:
            raise StoreOutcomeUnknownError("lost")

    wave_id = _declare_wave(fleet)
    tables = HookedTables(fleet.tables, after=lose_response)
    _run_until_finished(fleet, wave_id, fleet.maintenance("daemon", tables))
    _assert_wave_complete(fleet, wave_id)


def test_two_controllers_complete_wave_once(fleet: MemoryFleet) -> None:
    """Guards against two controllers that act at the same time."""
    wave_id = _declare_wave(fleet)
    _run_until_finished(fleet, wave_id, fleet.maintenance("a"), fleet.maintenance("b"))
    _assert_wave_complete(fleet, wave_id)


def test_controller_paused_past_its_lease_starts_no_drain(fleet: MemoryFleet) -> None:
    """Guards against drains started by a paused controller after it lost its lease."""
    wave_id = _declare_wave(fleet)
    other = fleet.maintenance("b")
    other.step(fleet.clock.now())
    first = fleet.maintenance("a", _pausing_tables(fleet, other, wave_id))
    fleet.clock.advance(10.0)
    first.step(fleet.clock.now())
    fleet.check()
    _run_until_finished(fleet, wave_id, other, first)
    _assert_wave_complete(fleet, wave_id)


def _pausing_tables(
    fleet: MemoryFleet, other: MaintenanceController, wave_id: str
) -> TableService:
    def pause(number: int) -> None:
        if number == 2:
            _run_until_finished(fleet, wave_id, other, limit_s=LIMIT_S)

    return HookedTables(fleet.tables, before=pause)


def test_overlapping_waves_reboot_each_host_once(fleet: MemoryFleet) -> None:
    """Guards against overlapping waves that exceed a budget or reboot a host twice."""
    first = _declare_wave(fleet, POOL_A, "one")
    second = _declare_wave(
        fleet, Selection(SelectionKind.RACK, ("a-rack0", "b-rack0")), "two"
    )
    controller = fleet.maintenance("a")
    _run_until_finished(fleet, first, controller)
    _run_until_finished(fleet, second, controller)
    assert sorted(fleet.control.rebooted_hosts) == [
        "a-0",
        "a-1",
        "a-2",
        "a-3",
        "b-0",
        "b-1",
    ]


def test_declaration_is_idempotent(fleet: MemoryFleet) -> None:
    """Guards against a second wave declared by a repeated call."""
    fleet.tables.faults.lose_responses(count=1)
    assert _declare_wave(fleet) == _declare_wave(fleet)
    with pytest.raises(MaintenanceError, match="use another key"):
        _declare_wave(fleet, Selection(SelectionKind.POOL, ("b",)))
    with pytest.raises(MaintenanceError, match="list the hosts"):
        _declare_wave(fleet, Selection(SelectionKind.RACK, ("nowhere",)), "other")


def test_concurrent_declarations_create_one_wave(fleet: MemoryFleet) -> None:
    """Guards against two waves declared by concurrent calls with the same key."""
    deadline = fleet.clock.now() + timedelta(hours=1)
    other = WaveStore(fleet.tables, fleet.clock)

    def declare(number: int) -> None:
        other.declare("key", POOL_A, deadline)

    tables = HookedTables(fleet.tables, before=declare)
    wave = WaveStore(tables, fleet.clock).declare("key", POOL_A, deadline)
    assert [item.record["id"] for item in other.waves()] == [wave.record["id"]]


def test_rack_failure_pauses_wave(fleet: MemoryFleet) -> None:
    """Guards against drains that reduce capacity further after a rack failure."""
    wave_id = _declare_wave(fleet)
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
    _run_until_finished(fleet, wave_id, controller)
    _assert_wave_complete(fleet, wave_id)


def test_demand_above_remaining_capacity_prevents_drains(fleet: MemoryFleet) -> None:
    """Guards against maintenance of hosts that the demand requires."""
    wave_id = _declare_wave(fleet)
    controller = fleet.maintenance("a")
    controller.observe_demand({"a": 4})
    assert controller.step(fleet.clock.now()).started_hosts == ()
    assert controller.explain(wave_id)[0].reason == WaitReason.DEMAND
    controller.observe_demand({"a": 3})
    assert controller.step(fleet.clock.now()).started_hosts == ("a-0",)


def test_unavailable_host_list_prevents_drains(fleet: MemoryFleet) -> None:
    """Guards against drains while host failures can't be detected."""
    wave_id = _declare_wave(fleet)
    controller = fleet.maintenance("a")
    fleet.platform.hosts.faults.set_down()
    assert controller.step(fleet.clock.now()).started_hosts == ()
    assert controller.explain(wave_id)[0].reason == WaitReason.HOST_LIST_UNAVAILABLE
    fleet.platform.hosts.faults.clear()
    assert controller.step(fleet.clock.now()).started_hosts == ("a-0",)


def test_wave_resumes_after_store_outage(fleet: MemoryFleet) -> None:
    """Guards against progress on outdated rows while the store is unavailable."""
    wave_id = _declare_wave(fleet)
    tables = fleet.connect()
    controller = fleet.maintenance("a", tables)
    controller.step(fleet.clock.now())
    tables.faults.set_down()
    for _ in range(30):
        fleet.tick()
        assert controller.step(fleet.clock.now()).problem
    tables.faults.clear()
    _run_until_finished(fleet, wave_id, controller)
    _assert_wave_complete(fleet, wave_id)


@pytest.mark.parametrize(
    ("change", "state"),
    [(WaveStore.pause, WaveState.PAUSED), (WaveStore.cancel, WaveState.CANCELLED)],
)
def test_state_change_committed_first_prevents_drain(
    fleet: MemoryFleet,
    change: Callable[[WaveStore, str], object],
    state: WaveState,
) -> None:
    """Guards against a drain that starts after a committed pause or cancellation."""
    wave_id = _declare_wave(fleet)
    store = WaveStore(fleet.tables, fleet.clock)

    def intervene(number: int) -> None:
        if number == 2:
            change(store, wave_id)

    controller = fleet.maintenance("a", HookedTables(fleet.tables, before=intervene))
    assert controller.step(fleet.clock.now()).started_hosts == ()
    assert _wave_state(fleet, wave_id) == state


def test_started_drain_finishes_after_pause(fleet: MemoryFleet) -> None:
    """Guards against a host that stays out of service while its wave is paused."""
    wave_id = _declare_wave(fleet)
    controller = fleet.maintenance("a")
    controller.step(fleet.clock.now())
    store = WaveStore(fleet.tables, fleet.clock)
    store.pause(wave_id)
    for _ in range(40):
        fleet.tick()
        controller.step(fleet.clock.now())
    assert store.progress(wave_id).outcomes == {"a-0": "done"}
    store.resume(wave_id)
    _run_until_finished(fleet, wave_id, controller)


def test_explanation_names_blocking_entry_host(fleet: MemoryFleet) -> None:
    """Guards against a waiting host whose explanation lacks the blocking entry host."""
    wave_id = _declare_wave(fleet)
    fleet.entry_hosts["entry2"].is_frozen = True
    controller = fleet.maintenance("a")
    for _ in range(20):
        controller.step(fleet.clock.now())
        fleet.tick()
    explanation = controller.explain(wave_id)[0]
    assert explanation.reason == WaitReason.ENTRY_HOST
    assert "entry2: view_too_old" in explanation.detail


def test_host_that_stays_down_is_taken_out_of_service(fleet: MemoryFleet) -> None:
    """Guards against a wave that waits indefinitely for a failed host."""
    fleet.platform.control.reboot_s = 1e6
    wave_id = _declare_wave(fleet, Selection(SelectionKind.HOSTS, ("a-0",)))
    _run_until_finished(fleet, wave_id, fleet.maintenance("a"), limit_s=2000)
    progress = WaveStore(fleet.tables, fleet.clock).progress(wave_id)
    assert progress.outcomes == {"a-0": "taken_out"}
    assert fleet.budgets()["a"]["failed_out_count"] == 1


def test_finished_wave_can_not_be_resumed(fleet: MemoryFleet) -> None:
    """Guards against resuming a wave that the controller has finished."""
    wave_id = _declare_wave(fleet, Selection(SelectionKind.HOSTS, ("a-0",)))
    _run_until_finished(fleet, wave_id, fleet.maintenance("a"))
    with pytest.raises(MaintenanceError, match="declare a new one"):
        WaveStore(fleet.tables, fleet.clock).resume(wave_id)


def test_returned_host_is_not_treated_as_failed(fleet: MemoryFleet) -> None:
    """Guards against returned hosts treated as failed, as the host list lags."""
    fleet.platform.hosts.lag_s = 10.0
    wave_id = _declare_wave(fleet, Selection(SelectionKind.POOL, ("a", "b")))
    for entry in fleet.entry_hosts.values():
        entry.step()
    assert _run_until_finished(fleet, wave_id, fleet.maintenance("a")) < 4 * 40


def test_host_stays_in_maintenance_until_reboot_is_reported(fleet: MemoryFleet) -> None:
    """Guards against a host returned to service before its reboot is reported."""
    reported_phase = fleet.platform.control.phase
    accepted_at_s: dict[str, float] = {}

    class LaggingControl(RecordingHostControl):
        def reboot(self, host: str, *, operation_id: str) -> None:
            super().reboot(host, operation_id=operation_id)
            accepted_at_s.setdefault(host, fleet.clock.monotonic_s())

        def phase(self, host: str) -> HostPhase:
            age_s = fleet.clock.monotonic_s() - accepted_at_s.get(host, 0.0)
            return HostPhase.UP if age_s < 3.0 else reported_phase(host)

    fleet.control = LaggingControl(fleet.platform.control)
    wave_id = _declare_wave(fleet, Selection(SelectionKind.HOSTS, ("a-0",)))
    controller = fleet.maintenance("a")
    for _ in range(40):
        controller.step(fleet.clock.now())
        fleet.tick()
        if fleet.platform.control.current_phase("a-0") is HostPhase.REBOOTING:
            assert fleet.host_records()["a-0"]["state"] == HostState.REBOOTING
    assert _wave_state(fleet, wave_id) == WaveState.FINISHED


def test_wave_declared_during_reboot_reboots_host_again(fleet: MemoryFleet) -> None:
    """Guards against a wave completed by a reboot that started before it."""
    first = _declare_wave(fleet, Selection(SelectionKind.HOSTS, ("a-0",)), "one")
    controller = fleet.maintenance("a")
    while fleet.host_records()["a-0"]["state"] != HostState.REBOOTING:
        controller.step(fleet.clock.now())
        fleet.tick()
    second = _declare_wave(fleet, Selection(SelectionKind.HOSTS, ("a-0",)), "two")
    _run_until_finished(fleet, first, controller)
    _run_until_finished(fleet, second, controller)
    assert fleet.control.rebooted_hosts == ["a-0", "a-0"]
