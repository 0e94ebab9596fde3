"""Tests of the mirror of the workers' rows."""

import json

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.node.worker_directory import WorkerDirectory
from sycamorecroft.store.interfaces import Put, StorePurpose


def _put(tables, worker_id, entry):
    value = None if entry is None else json.dumps(entry).encode()
    tables.transact((), (Put("servers", worker_id, value),), purpose=StorePurpose.VIEW)


def _entry(service, **fields):
    return {
        "service": service,
        "addr": "10.0.0.1:1",
        "state": "ready",
        "capacity": {"cpu": 8000, "mem-mb": 1000, "gpu": 0},
        "labels": ["a", "r1"],
        "born": 1,
    } | fields


def _ids(directory, service):
    return {entry.worker_id for entry in directory.of_service(service)}


def test_changes_are_mirrored_and_told_by_service():
    """Guards against tasks that are placed on workers that have left."""
    tables = MemoryPartitions()
    directory = WorkerDirectory(tables)
    _put(tables, "w0", _entry("rating"))
    _put(tables, "w1", _entry("dispatch"))
    assert directory.refresh() == {"rating", "dispatch"}
    assert _ids(directory, "rating") == {"w0"}
    assert directory.refresh() == set()
    _put(tables, "w0", None)
    assert directory.refresh() == {"rating"}
    assert not _ids(directory, "rating")
    _put(tables, "w1", {"service": 5})
    assert directory.refresh() == {"dispatch"}


def test_heartbeat_changes_nothing():
    """Guards against work for each heartbeat of each worker."""
    tables = MemoryPartitions()
    directory = WorkerDirectory(tables)
    _put(tables, "w0", _entry("rating", seq=1))
    directory.refresh()
    _put(tables, "w0", _entry("rating", seq=2))
    assert directory.refresh() == set()


def test_worker_that_left_while_history_was_dropped_is_forgotten():
    """Guards against an entry that stays since its removal was never told."""
    tables = MemoryPartitions()
    directory = WorkerDirectory(tables)
    _put(tables, "w0", _entry("rating"))
    directory.refresh()
    _put(tables, "w0", None)
    tables.forget_history()
    assert directory.refresh() == {"rating"}
    assert not _ids(directory, "rating")
