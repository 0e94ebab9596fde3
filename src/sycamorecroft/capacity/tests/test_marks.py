"""Tests of marks between the fleet controller and service owners."""

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.capacity.marks import MarkStore
from sycamorecroft.errors import StoreConflictError, StoreOutcomeUnknownError
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM, MARKS_TABLE
from sycamorecroft.scheduling.pool_snapshot import (
    PoolSnapshot,
    WorkerMarks,
    WorkerSnapshot,
)
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.store.interfaces import Check, Put, StorePurpose

RESERVED = WorkerMarks(reserved=frozenset({"w0"}))


def _claim(tables):
    put = Put(OWNERS_TABLE, ROW_KEY, b"{}", FLEET_CONTROLLER_CLAIM)
    version = tables.transact((), (put,), purpose=StorePurpose.LEASES)
    return Check(OWNERS_TABLE, ROW_KEY, version, FLEET_CONTROLLER_CLAIM)


def _snapshot(marks_version):
    worker = WorkerSnapshot(
        "w0", "m0", Resources(8), Resources(), 0, 0, True, True, True
    )
    return PoolSnapshot(0.0, (worker,), marks_version=marks_version)


def _is_drained(store, marks_version):
    return store.with_applied_marks(_snapshot(marks_version)).workers[0].is_drained


def test_worker_counts_as_drained_only_after_its_mark_was_applied():
    """Guards against moving a host while tasks are placed on it again.

    A snapshot taken before the reservation was lifted may show the worker as reserved
    and idle.
    """
    tables = MemoryPartitions()
    store = MarkStore(tables, _claim(tables))
    store.write({"rating": RESERVED})
    first_version = tables.version
    assert _is_drained(store, first_version)
    store.write({"rating": WorkerMarks()})
    store.write({"rating": RESERVED})
    assert not _is_drained(store, first_version)
    assert _is_drained(store, tables.version)


def test_new_controller_loads_stored_marks():
    """Guards against workers that stay reserved after the fleet controller fails."""
    tables = MemoryPartitions()
    MarkStore(tables, _claim(tables)).write({"rating": RESERVED})
    version = tables.version
    store = MarkStore(tables, _claim(tables))
    store.load()
    assert _is_drained(store, version)
    store.write({"rating": WorkerMarks()})
    assert not _is_drained(store, version)


def test_previous_controller_cannot_write_marks():
    """Guards against marks of an entry host that lost its claim while suspended."""
    tables = MemoryPartitions()
    previous = MarkStore(tables, _claim(tables))
    _claim(tables)
    with pytest.raises(StoreConflictError):
        previous.write({"rating": RESERVED})


def _write_unanswered(tables, store, marks):
    tables.faulty_table = MARKS_TABLE
    tables.delayed_count = 1
    with pytest.raises(StoreOutcomeUnknownError):
        store.write({"rating": marks})


def _stored_marks(tables):
    row = tables.row(MARKS_TABLE, "rating", FLEET_CONTROLLER_CLAIM)
    return decode_row(row.value, WorkerMarks) if row else WorkerMarks()


@pytest.mark.parametrize("former", [WorkerMarks(), WorkerMarks(due=frozenset({"w1"}))])
def test_late_write_of_former_marks_reserves_no_worker(former):
    """Guards against a worker that gets no tasks and that nobody moves or frees.

    The write that reserves it gets no answer and is carried out after the controller
    has come to want the marks that were stored before.
    """
    tables = MemoryPartitions()
    store = MarkStore(tables, _claim(tables))
    store.write({"rating": former})
    _write_unanswered(tables, store, RESERVED)
    store.write({"rating": former})
    tables.apply_delayed()
    assert _stored_marks(tables) == former


def test_marks_whose_write_was_carried_out_unanswered_are_known():
    """Guards against a lost answer after which the controller can't write its marks."""
    tables = MemoryPartitions()
    store = MarkStore(tables, _claim(tables))
    tables.faulty_table = MARKS_TABLE
    tables.lost_responses_count = 1
    with pytest.raises(StoreOutcomeUnknownError):
        store.write({"rating": RESERVED})
    store.write({"rating": RESERVED})
    assert _is_drained(store, tables.version)
    store.write({"rating": WorkerMarks()})
    assert _stored_marks(tables) == WorkerMarks()


def test_late_write_between_read_and_write_is_replaced_by_the_next_step(monkeypatch):
    """Guards against marks that stay as a late write has left them."""
    tables = MemoryPartitions()
    store = MarkStore(tables, _claim(tables))
    _write_unanswered(tables, store, RESERVED)
    load = store.load
    monkeypatch.setattr(store, "load", lambda: (load(), tables.apply_delayed()))
    with pytest.raises(StoreConflictError):
        store.write({"rating": WorkerMarks()})
    monkeypatch.undo()
    store.write({"rating": WorkerMarks()})
    assert _stored_marks(tables) == WorkerMarks()


def test_marks_of_many_services_are_written():
    """Guards against a write over the store's limit of 100 entries a transaction."""
    tables = MemoryPartitions()
    store = MarkStore(tables, _claim(tables))
    store.write({f"s{number:03}": RESERVED for number in range(120)})
    scan = tables.scan_part(
        MARKS_TABLE, FLEET_CONTROLLER_CLAIM, purpose=StorePurpose.POOLS
    )
    assert len(scan.rows) == 120
