"""Tests that one holder of a controller lease acts at a time, despite pauses and lost
responses.
"""

import pytest

from standins.memory_fleet import MemoryFleet
from sycamorecroft.errors import (
    NotLeaseHolderError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.store.calls import StoreOperation
from sycamorecroft.store.interfaces import Put, StorePurpose


@pytest.fixture
def fleet() -> MemoryFleet:
    return MemoryFleet([])


def test_second_holder_waits_for_the_term(fleet: MemoryFleet) -> None:
    """Guards against two controllers that act at the same time."""
    first, second = fleet.lease("work", "a"), fleet.lease("work", "b")
    assert first.maintain()
    assert not second.maintain()
    for _ in range(20):
        fleet.clock.advance(1.0)
        assert first.maintain()
        assert not second.maintain()


def test_expired_lease_is_acquired_with_a_higher_epoch(fleet: MemoryFleet) -> None:
    """Guards against a controller's work that stops forever when its holder dies."""
    first, second = fleet.lease("work", "a"), fleet.lease("work", "b")
    first.maintain()
    second.maintain()
    fleet.clock.advance(10.0)
    assert second.maintain()
    assert second.epoch == 2


def test_write_of_a_paused_former_holder_fails(fleet: MemoryFleet) -> None:
    """Guards against a write by a holder that was paused after checking its lease."""
    first, second = fleet.lease("work", "a"), fleet.lease("work", "b")
    first.maintain()
    check = first.check()
    second.maintain()
    fleet.clock.advance(10.0)
    assert second.maintain()
    with pytest.raises(StoreConflictError):
        put = Put("work", "row", b"{}")
        fleet.tables.transact([check], [put], purpose=StorePurpose.POOLS)
    assert not first.confirm()
    with pytest.raises(NotLeaseHolderError):
        first.check()


def test_lease_is_not_held_locally_after_its_term(fleet: MemoryFleet) -> None:
    """Guards against useless writes by a holder that could not renew."""
    lease = fleet.lease("work", "a")
    lease.maintain()
    fleet.clock.advance(10.0)
    with pytest.raises(NotLeaseHolderError):
        lease.check()


def test_lost_responses_are_resolved(fleet: MemoryFleet) -> None:
    """Guards against a lost response that locks the holder out of its own lease."""
    lease = fleet.lease("work", "a")
    fleet.tables.faults.lose_responses(count=1)
    assert lease.maintain()
    fleet.clock.advance(4.0)
    fleet.tables.faults.lose_responses(count=1)
    assert lease.maintain()
    put = Put("work", "row", b"{}")
    assert fleet.tables.transact([lease.check()], [put], purpose=StorePurpose.POOLS)


def test_renewal_that_arrives_late_keeps_the_lease(fleet: MemoryFleet) -> None:
    """Guards against a holder that mistakes its own late renewal for another's."""
    lease = fleet.lease("work", "a")
    lease.maintain()
    fleet.clock.advance(4.0)
    fleet.tables.faults.lose_responses(count=1)
    fleet.tables.faults.set_down(count=1, operation=StoreOperation.READ)
    with pytest.raises(StoreOutcomeUnknownError):
        lease.maintain()
    assert lease.maintain()
    assert lease.epoch == 1


def test_released_lease_is_acquired_at_once(fleet: MemoryFleet) -> None:
    """Guards against a wait for the whole term after each planned stop."""
    first, second = fleet.lease("work", "a"), fleet.lease("work", "b")
    first.maintain()
    first.release()
    assert second.maintain()
