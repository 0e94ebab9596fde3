"""Tests of when a service's load is stored for the fleet controller."""

from sycamorecroft.node.load_publisher import should_store
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot

WORKER_MILLICORES = 64000


def _snapshot(taken_s, *, used=0, waiting=0, runs_count=0, marks_version=0):
    worker = WorkerSnapshot(
        "w0",
        "m0",
        Resources(WORKER_MILLICORES),
        Resources(used),
        runs_count,
        0,
        True,
        True,
        True,
    )
    return PoolSnapshot(
        taken_s, (worker,), Resources(waiting), marks_version=marks_version
    )


def test_sudden_demand_is_stored_at_once():
    """Guards against hosts that are assigned late since the demand was stored late."""
    stored = _snapshot(0.0, used=WORKER_MILLICORES, runs_count=1)
    assert should_store(
        _snapshot(
            0.05, used=WORKER_MILLICORES, runs_count=1, waiting=WORKER_MILLICORES
        ),
        stored,
    )


def test_applied_marks_and_drained_workers_are_stored_at_once():
    """Guards against drained hosts whose reassignment is delayed."""
    stored = _snapshot(0.0, used=WORKER_MILLICORES, runs_count=1)
    assert should_store(
        _snapshot(0.05, used=WORKER_MILLICORES, runs_count=1, marks_version=3), stored
    )
    assert should_store(_snapshot(0.05), stored)


def test_minor_changes_are_stored_at_intervals():
    """Guards against needless store calls, and against a load that is never renewed."""
    stored = _snapshot(0.0, used=WORKER_MILLICORES, runs_count=1)
    assert not should_store(
        _snapshot(0.3, used=WORKER_MILLICORES - 9, runs_count=1), stored
    )
    assert should_store(
        _snapshot(0.6, used=WORKER_MILLICORES - 9, runs_count=1), stored
    )
    assert not should_store(
        _snapshot(0.6, used=WORKER_MILLICORES, runs_count=1), stored
    )
    assert should_store(_snapshot(1.1, used=WORKER_MILLICORES, runs_count=1), stored)
