"""Tests of what the machines' owner learns of a service's load, and when."""

from sycamorecroft.node.load_publisher import is_worth_storing
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot

EACH = 64000


def _snapshot(taken_s, *, used=0, waiting=0, runs=0, marks_version=0):
    worker = WorkerSnapshot(
        "w0", "m0", Resources(EACH), Resources(used), runs, 0, True, True, True
    )
    return PoolSnapshot(
        taken_s, (worker,), Resources(waiting), marks_version=marks_version
    )


def test_sudden_demand_is_told_at_once():
    """Guards against machines that come late since nobody asked for them."""
    stored = _snapshot(0.0, used=EACH, runs=1)
    assert is_worth_storing(_snapshot(0.05, used=EACH, runs=1, waiting=EACH), stored)


def test_seen_marks_and_empty_workers_are_told_at_once():
    """Guards against machines that wait to be taken."""
    stored = _snapshot(0.0, used=EACH, runs=1)
    assert is_worth_storing(_snapshot(0.05, used=EACH, runs=1, marks_version=3), stored)
    assert is_worth_storing(_snapshot(0.05), stored)


def test_quiet_pool_writes_little():
    """Guards against store calls that tell nothing, and against none at all."""
    stored = _snapshot(0.0, used=EACH, runs=1)
    assert not is_worth_storing(_snapshot(0.3, used=EACH - 9, runs=1), stored)
    assert is_worth_storing(_snapshot(0.6, used=EACH - 9, runs=1), stored)
    assert not is_worth_storing(_snapshot(0.6, used=EACH, runs=1), stored)
    assert is_worth_storing(_snapshot(1.1, used=EACH, runs=1), stored)
