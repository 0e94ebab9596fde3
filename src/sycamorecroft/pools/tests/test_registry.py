"""Tests of host operations under races, lost responses and pauses."""

from collections.abc import Callable

import pytest

from standins.hooked_tables import HookedTables
from standins.memory_fleet import MemoryEntryHost, MemoryFleet, PoolShape
from sycamorecroft.errors import (
    BudgetExceededError,
    HostBlockedError,
    NotLeaseHolderError,
    PoolOperationError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.pools.clearance import BlockReason
from sycamorecroft.pools.registry import PoolRegistry
from sycamorecroft.pools.state import HostState

POOLS = [PoolShape("a", 8, 4, 0.25), PoolShape("b", 8, 4, 0.25)]


@pytest.fixture
def fleet() -> MemoryFleet:
    return MemoryFleet(POOLS)


def _wait_and_complete(fleet: MemoryFleet, registry: PoolRegistry, host: str) -> None:
    for _ in range(7):
        fleet.tick()
    registry.complete_move(host)


def _move(fleet: MemoryFleet, registry: PoolRegistry) -> None:
    registry.start_move("a-0", "b")
    _wait_and_complete(fleet, registry, "a-0")


def _maintain(fleet: MemoryFleet, registry: PoolRegistry) -> None:
    registry.start_drain("a-0", "wave")
    for _ in range(7):
        fleet.tick()
    registry.mark_drained("a-0")
    registry.reboot("a-0")
    registry.return_to_service("a-0")


def _replace(fleet: MemoryFleet, registry: PoolRegistry) -> None:
    registry.take_out_of_service("a-0")
    for _ in range(7):
        fleet.tick()
    registry.remove_host("a-0")
    registry.register_host(fleet.workers[0])


@pytest.mark.parametrize("operations", [_move, _maintain, _replace])
@pytest.mark.parametrize("write", range(2, 6))
def test_each_lost_response_is_resolved(
    fleet: MemoryFleet,
    operations: Callable[[MemoryFleet, PoolRegistry], None],
    write: int,
) -> None:
    """Guards against an operation repeated or abandoned after a lost response."""
    expected = MemoryFleet(POOLS)
    operations(expected, expected.registry("x"))

    def lose_response(number: int) -> None:
        if number == write:
            raise StoreOutcomeUnknownError("lost")

    tables = HookedTables(fleet.tables, after=lose_response)
    operations(fleet, fleet.registry("x", tables))
    fleet.check()
    assert _rows_without_tokens(fleet) == _rows_without_tokens(expected)


def _rows_without_tokens(fleet: MemoryFleet) -> dict[str, dict[str, object]]:
    rows = {**fleet.host_records(), **fleet.budgets()}
    return {
        name: {key: value for key, value in row.items() if key != "token"}
        for name, row in rows.items()
    }


def test_two_controllers_race_a_move(fleet: MemoryFleet) -> None:
    """Guards against two lease holders that move a host to different pools."""

    def take_over(number: int) -> None:
        if number == 2:
            fleet.clock.advance(10.0)
            other.maintain()
            PoolRegistry(
                fleet.tables, fleet.platform.hosts, other, fleet.clock
            ).start_drain("a-0", "wave")

    other = fleet.lease("pools", "other")
    tables = HookedTables(fleet.tables, before=take_over)
    registry = fleet.registry("first", tables)
    other.maintain()
    with pytest.raises(NotLeaseHolderError):
        registry.start_move("a-0", "b")
    record = fleet.host_records()["a-0"]
    assert (record["maintenance_id"], record["target_pool"]) == ("wave", None)
    fleet.check()


def test_paused_controller_cannot_complete_a_move(fleet: MemoryFleet) -> None:
    """Guards against a paused controller that acts after its lease was taken over."""

    def take_over(number: int) -> None:
        if number == 3:
            fleet.clock.advance(10.0)
            assert other.maintain()

    other = fleet.lease("pools", "other")
    tables = HookedTables(fleet.tables, before=take_over)
    registry = fleet.registry("first", tables)
    other.maintain()
    registry.start_move("a-0", "b")
    for _ in range(7):
        fleet.tick()
    with pytest.raises((NotLeaseHolderError, StoreConflictError)):
        registry.complete_move("a-0")
    assert fleet.host_records()["a-0"]["state"] == HostState.DRAINING


def test_two_controllers_share_one_budget(fleet: MemoryFleet) -> None:
    """Guards against two controllers that each use the whole budget."""
    pools = fleet.registry("x")
    maintenance_lease = fleet.lease("maintenance", "x")
    maintenance_lease.maintain()

    def start_two_moves(number: int) -> None:
        if number == 1:
            pools.start_move("a-0", "b")
            pools.start_move("a-1", "b")

    tables = HookedTables(fleet.tables, before=start_two_moves)
    registry = PoolRegistry(
        tables, fleet.platform.hosts, maintenance_lease, fleet.clock
    )
    with pytest.raises(BudgetExceededError):
        registry.start_drain("a-2", "wave")
    fleet.check()


def test_failed_hosts_use_up_the_budget(fleet: MemoryFleet) -> None:
    """Guards against planned work that adds to failures beyond the budget."""
    registry = fleet.registry("x")
    registry.take_out_of_service("a-0")
    registry.start_drain("a-1", "wave")
    with pytest.raises(BudgetExceededError, match="wait until a host returns"):
        registry.start_move("a-2", "b")
    registry.return_to_service("a-0")
    registry.start_move("a-2", "b")


def test_partitioned_entry_host_is_named_as_the_blocker(fleet: MemoryFleet) -> None:
    """Guards against a move that ignores an entry host on an old view."""
    registry = fleet.registry("x")
    fleet.entry_hosts["entry1"].tables.faults.set_down()
    registry.start_move("a-0", "b")
    with pytest.raises(HostBlockedError, match="entry1") as caught:
        _wait_and_complete(fleet, registry, "a-0")
    blocker = caught.value.blockers[0]
    assert (blocker.entry, blocker.reason) == ("entry1", BlockReason.VIEW_TOO_OLD)
    fleet.entry_hosts["entry1"].tables.faults.clear()
    fleet.tick()
    registry.complete_move("a-0")
    fleet.check()


def test_host_in_use_is_not_marked_as_drained(fleet: MemoryFleet) -> None:
    """Guards against a reboot while a request to the host is in flight."""
    registry = fleet.registry("x")
    fleet.entry_hosts["entry1"].grant("a-0")
    registry.start_drain("a-0", "wave")
    for _ in range(7):
        fleet.tick()
    with pytest.raises(HostBlockedError, match="grant_held"):
        registry.mark_drained("a-0")
    fleet.entry_hosts["entry1"].grants.clear()
    fleet.tick()
    assert registry.mark_drained("a-0").record["state"] == HostState.DRAINED


def test_controllers_with_different_leases_race_on_a_host(fleet: MemoryFleet) -> None:
    """Guards against a reboot that overwrites a failure recorded meanwhile."""
    pools = fleet.registry("x")

    def take_out_of_service(number: int) -> None:
        if number == 3:
            pools.take_out_of_service("a-0")

    lease = fleet.lease("maintenance", "x")
    lease.maintain()
    tables = HookedTables(fleet.tables, before=take_out_of_service)
    registry = PoolRegistry(tables, fleet.platform.hosts, lease, fleet.clock)
    registry.start_drain("a-0", "wave")
    for _ in range(7):
        fleet.tick()
    registry.mark_drained("a-0")
    with pytest.raises(PoolOperationError, match="state is out"):
        registry.reboot("a-0")
    assert fleet.host_records()["a-0"]["state"] == HostState.OUT


def test_older_view_of_a_peer_is_not_adopted(fleet: MemoryFleet) -> None:
    """Guards against a view that reverts to before a move."""
    reader = fleet.entry_hosts["entry0"].reader
    old = reader.view
    fleet.registry("x").start_move("a-0", "b")
    new = reader.refresh()
    assert reader.adopt(old) is new
    assert reader.view.hosts["a-0"]["state"] == HostState.DRAINING


def test_new_entry_host_on_an_old_view_grants_nothing(fleet: MemoryFleet) -> None:
    """Guards against grants on a peer's view that predates a completed move."""
    registry = fleet.registry("x")
    peer = fleet.entry_hosts["entry0"].reader
    new = MemoryEntryHost(fleet.tables, fleet.clock, "entry9", "entry9/1")
    new.reader.adopt(peer.view)
    _move(fleet, registry)
    fleet.entry_hosts["entry9"] = new
    assert not new.may_grant("a-0")
    fleet.check()
    new.step()
    new.step()
    assert new.may_grant("a-0")
    fleet.check()


def test_replaced_incarnation_of_an_entry_host_must_stop(fleet: MemoryFleet) -> None:
    """Guards against two incarnations that acknowledge for each other."""
    fleet.entry_hosts["entry0"].grant("a-0")
    MemoryEntryHost(fleet.tables, fleet.clock, "entry0", "entry0/2").step()
    old = fleet.entry_hosts["entry0"].registration
    with pytest.raises(NotLeaseHolderError):
        old.renew(view_version=10**6, staged_version=0, granted_hosts=())


def test_unknown_fields_of_a_host_row_are_kept(fleet: MemoryFleet) -> None:
    """Guards against an older daemon that deletes what a newer one wrote."""
    registry = fleet.registry("x")
    row = registry.read_host("a-0")
    assert row is not None and "token" in row.record
    fleet.put_host_field("a-0", "kernel", "6.1")
    registry.start_move("a-0", "b")
    assert fleet.host_records()["a-0"]["kernel"] == "6.1"


def test_malformed_host_row_is_omitted_from_the_view(fleet: MemoryFleet) -> None:
    """Guards against one malformed row that blocks all view updates."""
    fleet.put_host_field("a-0", "state", "unknown")
    reader = fleet.entry_hosts["entry0"].reader
    assert "a-0" not in reader.refresh().hosts
    assert reader.malformed_hosts == ("a-0",)


def test_host_in_use_is_not_removed_or_registered_twice(fleet: MemoryFleet) -> None:
    """Guards against a host that is registered in two pools."""
    registry = fleet.registry("x")
    with pytest.raises(PoolOperationError, match="take it out of service first"):
        registry.remove_host("a-0")
    with pytest.raises(PoolOperationError, match="move it"):
        registry.register_host(fleet.workers[0]._replace(pool="b"))
    registry.take_out_of_service("a-0")
    with pytest.raises(HostBlockedError):
        registry.remove_host("a-0")
