"""Tests of marks between the fleet controller and service owners."""

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.capacity.marks import MarkStore
from sycamorecroft.errors import StoreConflictError
from sycamorecroft.ownership.rows import OWNERS_TABLE, ROW_KEY
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM
from sycamorecroft.scheduling.pool_snapshot import (
    PoolSnapshot,
    WorkerMarks,
    WorkerSnapshot,
)
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
