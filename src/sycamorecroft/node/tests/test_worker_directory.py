"""Tests of the mirror of the workers' registrations."""

import json

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.node.worker_directory import WorkerDirectory
from sycamorecroft.store.interfaces import Put, StorePurpose


def _put(tables, worker_id, registration):
    value = None if registration is None else json.dumps(registration).encode()
    tables.transact((), (Put("servers", worker_id, value),), purpose=StorePurpose.VIEW)


def _registration(service, **fields):
    return {
        "service": service,
        "addr": "10.0.0.1:1",
        "state": "ready",
        "capacity": {"cpu": 8000, "mem-mb": 1000, "gpu": 0},
        "labels": ["a", "r1"],
        "born": 1,
    } | fields


def _worker_ids(directory, service):
    return {registration.worker_id for registration in directory.list_workers(service)}


def test_changes_are_mirrored_and_reported_by_service():
    """Guards against tasks that are placed on removed workers."""
    tables = MemoryPartitions()
    directory = WorkerDirectory(tables)
    _put(tables, "w0", _registration("rating"))
    _put(tables, "w1", _registration("dispatch"))
    assert directory.refresh() == {"rating", "dispatch"}
    assert _worker_ids(directory, "rating") == {"w0"}
    assert directory.refresh() == set()
    _put(tables, "w0", None)
    assert directory.refresh() == {"rating"}
    assert not _worker_ids(directory, "rating")
    _put(tables, "w1", {"service": 5})
    assert directory.refresh() == {"dispatch"}


def test_odd_entry_does_not_hide_the_others():
    """Guards against a host that stops following registrations after an odd entry."""
    tables = MemoryPartitions()
    directory = WorkerDirectory(tables)
    _put(tables, "w0", _registration("rating"))
    directory.refresh()
    # About as many levels as a row of 65,536 bytes can hold.
    deep = json.dumps(_registration("rating", unknown="VALUE")).replace(
        '"VALUE"', "[" * 32_000 + "]" * 32_000
    )
    put = Put("servers", "odd", deep.encode())
    tables.transact((), (put,), purpose=StorePurpose.VIEW)
    port = _registration("rating", addr="10.0.0.1:" + "9" * 5000)
    _put(tables, "port", port)
    _put(tables, "w1", _registration("rating"))
    assert directory.refresh() == {"rating"}
    assert _worker_ids(directory, "rating") == {"w0", "w1"}


def test_heartbeat_is_no_change():
    """Guards against an update of a service at each heartbeat of its workers."""
    tables = MemoryPartitions()
    directory = WorkerDirectory(tables)
    _put(tables, "w0", _registration("rating", seq=1))
    directory.refresh()
    _put(tables, "w0", _registration("rating", seq=2))
    assert directory.refresh() == set()


def test_worker_removed_during_history_loss_is_dropped():
    """Guards against a registration that stays since its removal was never read."""
    tables = MemoryPartitions()
    directory = WorkerDirectory(tables)
    _put(tables, "w0", _registration("rating"))
    directory.refresh()
    _put(tables, "w0", None)
    tables.discard_history()
    assert directory.refresh() == {"rating"}
    assert not _worker_ids(directory, "rating")
