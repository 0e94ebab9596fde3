"""Tests of the marks between the machines' owner and the services' owners."""

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.capacity.marks import MarkBook
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


def _is_emptied(book, marks_version):
    return book.confirmed(_snapshot(marks_version)).workers[0].is_drained


def test_worker_counts_as_emptied_only_after_its_mark_was_seen():
    """Guards against a machine that is moved while tasks are placed on it again.

    A load from before the worker was given free may show it reserved and empty.
    """
    tables = MemoryPartitions()
    book = MarkBook(tables, _claim(tables))
    book.write({"rating": RESERVED})
    first_version = tables.version
    assert _is_emptied(book, first_version)
    book.write({"rating": WorkerMarks()})
    book.write({"rating": RESERVED})
    assert not _is_emptied(book, first_version)
    assert _is_emptied(book, tables.version)


def test_successor_knows_the_marks_of_before():
    """Guards against a worker that stays reserved after the machines' owner is gone."""
    tables = MemoryPartitions()
    MarkBook(tables, _claim(tables)).write({"rating": RESERVED})
    version = tables.version
    book = MarkBook(tables, _claim(tables))
    book.load()
    assert _is_emptied(book, version)
    book.write({"rating": WorkerMarks()})
    assert not _is_emptied(book, version)


def test_former_owner_writes_no_marks():
    """Guards against marks of a host that was suspended and lost the machines."""
    tables = MemoryPartitions()
    former = MarkBook(tables, _claim(tables))
    _claim(tables)
    with pytest.raises(StoreConflictError):
        former.write({"rating": RESERVED})
