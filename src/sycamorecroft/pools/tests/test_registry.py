"""Host operations under races, lost responses and pauses."""

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
    registry.begin_move("a-0", "b")
    _wait_and_complete(fleet, registry, "a-0")


def _maintain(fleet: MemoryFleet, registry: PoolRegistry) -> None:
    registry.begin_drain("a-0", "wave")
    for _ in range(7):
        fleet.tick()
    registry.mark_drained("a-0")
    registry.reboot("a-0")
    registry.return_to_service("a-0")


def _replace(fleet: MemoryFleet, registry: PoolRegistry) -> None:
    registry.take_out("a-0")
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
    """Guards against a step that is repeated or given up after a lost response."""
    expected = MemoryFleet(POOLS)
    operations(expected, expected.registry("x"))

    def lose(number: int) -> None:
        if number == write:
            raise StoreOutcomeUnknownError("lost")

    tables = HookedTables(fleet.tables, after=lose)
    operations(fleet, fleet.registry("x", tables))
    fleet.check()
    assert _without_tokens(fleet) == _without_tokens(expected)


def _without_tokens(fleet: MemoryFleet) -> dict[str, dict[str, object]]:
    rows = {**fleet.host_records(), **fleet.budgets()}
    return {
        name: {key: value for key, value in row.items() if key != "token"}
        for name, row in rows.items()
    }


def test_two_controllers_race_a_move(fleet: MemoryFleet) -> None:
    """Guards against a host that two holders send to different pools."""

    def take_over(number: int) -> None:
        if number == 2:
            fleet.clock.advance(10.0)
            other.maintain()
            PoolRegistry(
                fleet.tables, fleet.platform.hosts, other, fleet.clock
            ).begin_drain("a-0", "wave")

    other = fleet.lease("pools", "other")
    tables = HookedTables(fleet.tables, before=take_over)
    registry = fleet.registry("first", tables)
    other.maintain()
    with pytest.raises(NotLeaseHolderError):
        registry.begin_move("a-0", "b")
    record = fleet.host_records()["a-0"]
    assert (record["maintenance_id"], record["target_pool"]) == ("wave", None)
    fleet.check()


def test_frozen_mover_loses_when_it_wakes(fleet: MemoryFleet) -> None:
    """Guards against a mover that completes a move another holder has cancelled."""

    def take_over(number: int) -> None:
        if number == 3:
            fleet.clock.advance(10.0)
            assert other.maintain()

    other = fleet.lease("pools", "other")
    tables = HookedTables(fleet.tables, before=take_over)
    registry = fleet.registry("first", tables)
    other.maintain()
    registry.begin_move("a-0", "b")
    for _ in range(7):
        fleet.tick()
    with pytest.raises((NotLeaseHolderError, StoreConflictError)):
        registry.complete_move("a-0")
    assert fleet.host_records()["a-0"]["state"] == HostState.DRAINING


def test_budget_is_spent_once_by_two_controllers(fleet: MemoryFleet) -> None:
    """Guards against the pool and maintenance controllers spending one budget."""
    pools = fleet.registry("x")
    maintenance_lease = fleet.lease("maintenance", "x")
    maintenance_lease.maintain()

    def spend(number: int) -> None:
        if number == 1:
            pools.begin_move("a-0", "b")
            pools.begin_move("a-1", "b")

    tables = HookedTables(fleet.tables, before=spend)
    registry = PoolRegistry(
        tables, fleet.platform.hosts, maintenance_lease, fleet.clock
    )
    with pytest.raises(BudgetExceededError):
        registry.begin_drain("a-2", "wave")
    fleet.check()


def test_failed_hosts_spend_the_budget(fleet: MemoryFleet) -> None:
    """Guards against planned work that adds to failures."""
    registry = fleet.registry("x")
    registry.take_out("a-0")
    registry.begin_drain("a-1", "wave")
    with pytest.raises(BudgetExceededError, match="wait until a host returns"):
        registry.begin_move("a-2", "b")
    registry.return_to_service("a-0")
    registry.begin_move("a-2", "b")


def test_entry_host_cut_off_blocks_by_name(fleet: MemoryFleet) -> None:
    """Guards against a move past an entry host whose acknowledgement stays old."""
    registry = fleet.registry("x")
    fleet.entries["entry1"].tables.faults.set_down()
    registry.begin_move("a-0", "b")
    with pytest.raises(HostBlockedError, match="entry1") as caught:
        _wait_and_complete(fleet, registry, "a-0")
    blocker = caught.value.blockers[0]
    assert (blocker.entry, blocker.reason) == ("entry1", BlockReason.VIEW_TOO_OLD)
    fleet.entries["entry1"].tables.faults.clear()
    fleet.tick()
    registry.complete_move("a-0")
    fleet.check()


def test_host_in_use_is_not_marked_as_drained(fleet: MemoryFleet) -> None:
    """Guards against a reboot under a request in flight."""
    registry = fleet.registry("x")
    fleet.entries["entry1"].grant("a-0")
    registry.begin_drain("a-0", "wave")
    for _ in range(7):
        fleet.tick()
    with pytest.raises(HostBlockedError, match="grant_held"):
        registry.mark_drained("a-0")
    fleet.entries["entry1"].grants.clear()
    fleet.tick()
    assert registry.mark_drained("a-0").record["state"] == HostState.DRAINED


def test_two_leases_race_on_a_host(fleet: MemoryFleet) -> None:
    """Guards against a reboot written over a host that was taken out meanwhile."""
    pools = fleet.registry("x")

    def take_out(number: int) -> None:
        if number == 3:
            pools.take_out("a-0")

    lease = fleet.lease("maintenance", "x")
    lease.maintain()
    tables = HookedTables(fleet.tables, before=take_out)
    registry = PoolRegistry(tables, fleet.platform.hosts, lease, fleet.clock)
    registry.begin_drain("a-0", "wave")
    for _ in range(7):
        fleet.tick()
    registry.mark_drained("a-0")
    with pytest.raises(PoolOperationError, match="state is out"):
        registry.reboot("a-0")
    assert fleet.host_records()["a-0"]["state"] == HostState.OUT


def test_older_view_of_a_peer_is_not_adopted(fleet: MemoryFleet) -> None:
    """Guards against a view that falls back to before a move."""
    reader = fleet.entries["entry0"].reader
    old = reader.view
    fleet.registry("x").begin_move("a-0", "b")
    new = reader.refresh()
    assert reader.adopt(old) is new
    assert reader.view.hosts["a-0"]["state"] == HostState.DRAINING


def test_new_entry_host_on_an_old_view_owns_nothing(fleet: MemoryFleet) -> None:
    """Guards against a start that grants on a peer's view a move did not ask it for."""
    registry = fleet.registry("x")
    peer = fleet.entries["entry0"].reader
    new = MemoryEntryHost(fleet.tables, fleet.clock, "entry9", "entry9/1")
    new.reader.adopt(peer.view)
    _move(fleet, registry)
    fleet.entries["entry9"] = new
    assert not new.may_grant("a-0")
    fleet.check()
    new.step()
    new.step()
    assert new.may_grant("a-0")
    fleet.check()


def test_replaced_start_of_an_entry_host_must_stop(fleet: MemoryFleet) -> None:
    """Guards against two starts that acknowledge in each other's name."""
    fleet.entries["entry0"].grant("a-0")
    MemoryEntryHost(fleet.tables, fleet.clock, "entry0", "entry0/2").step()
    old = fleet.entries["entry0"].registration
    with pytest.raises(NotLeaseHolderError):
        old.renew(view_version=10**6, staged_version=0, granted_hosts=())


def test_unknown_fields_of_a_host_row_are_kept(fleet: MemoryFleet) -> None:
    """Guards against an older daemon that deletes what a newer one wrote."""
    registry = fleet.registry("x")
    row = registry.read_host("a-0")
    assert row is not None and "token" in row.record
    fleet.put_host_field("a-0", "kernel", "6.1")
    registry.begin_move("a-0", "b")
    assert fleet.host_records()["a-0"]["kernel"] == "6.1"


def test_malformed_host_row_is_left_out_of_the_view(fleet: MemoryFleet) -> None:
    """Guards against one bad row that stops all views."""
    fleet.put_host_field("a-0", "state", "unheard")
    reader = fleet.entries["entry0"].reader
    assert "a-0" not in reader.refresh().hosts
    assert reader.malformed_hosts == ("a-0",)


def test_host_in_use_is_not_removed_or_registered_twice(fleet: MemoryFleet) -> None:
    """Guards against a host that is in two pools by way of registration."""
    registry = fleet.registry("x")
    with pytest.raises(PoolOperationError, match="take it out first"):
        registry.remove_host("a-0")
    with pytest.raises(PoolOperationError, match="move it"):
        registry.register_host(fleet.workers[0]._replace(pool="b"))
    registry.take_out("a-0")
    with pytest.raises(HostBlockedError):
        registry.remove_host("a-0")
