"""Tests of how many hosts a pool needs, named by load pattern."""

from sycamorecroft.capacity.planning import DemandHistory, fair_shares, plan_pool
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot

WORKER_MILLICORES = 64000


def _snapshot(
    taken_s,
    workers_count,
    used,
    waiting=0,
    long_running_count=0,
    lost_count=0,
    arriving=0,
):
    workers = tuple(
        WorkerSnapshot(
            f"w{number}",
            f"m{number}",
            Resources(WORKER_MILLICORES, 1000),
            Resources(used // workers_count),
            0,
            0,
            False,
            number >= lost_count,
            number >= lost_count,
        )
        for number in range(workers_count)
    )
    return PoolSnapshot(
        taken_s, workers, Resources(waiting), long_running_count, arriving
    )


def _plan(snapshots, incoming_count=0, minimum_count=8):
    history = DemandHistory()
    for snapshot in snapshots:
        history.add(snapshot)
    return plan_pool(
        snapshots[-1],
        history,
        incoming_count=incoming_count,
        minimum_count=minimum_count,
    )


def test_pool_grows_before_it_is_full():
    """Guards against hosts that are added only once jobs are late."""
    assert _plan([_snapshot(0.0, 8, 8 * WORKER_MILLICORES)]).grow_count > 0


def test_incoming_hosts_are_counted():
    """Guards against ordering hosts twice for the same demand."""
    peak = _snapshot(0.0, 8, 8 * WORKER_MILLICORES)
    grow_count = _plan([peak]).grow_count
    assert _plan([peak], incoming_count=grow_count).grow_count == 0


def test_idle_pool_shrinks_to_its_minimum_size():
    """Guards against hosts that a pool keeps beyond its minimum size without load."""
    idle = [_snapshot(t / 2, 12, WORKER_MILLICORES) for t in range(20)]
    assert _plan(idle).shrink_count == 4


def test_pool_is_not_shrunk_right_after_a_peak():
    """Guards against hosts that oscillate between pools."""
    snapshots = [_snapshot(t / 2, 12, WORKER_MILLICORES) for t in range(18)]
    snapshots.append(_snapshot(9.0, 12, 9 * WORKER_MILLICORES))
    snapshots.append(_snapshot(9.5, 12, WORKER_MILLICORES))
    assert _plan(snapshots).shrink_count == 0


def test_lost_rack_is_replaced():
    """Guards against a pool that stays undersized after losing contact to workers."""
    assert (
        _plan([_snapshot(0.0, 8, 5 * WORKER_MILLICORES, lost_count=4)]).grow_count > 0
    )


def test_waiting_long_running_tasks_get_hosts():
    """Guards against long-running tasks that never get a worker of their own."""
    assert _plan([_snapshot(0.0, 4, 0, long_running_count=2)]).grow_count == 2


def test_burst_of_arrivals_grows_the_pool_before_a_backlog_forms():
    """Guards against growth in small steps while jobs arrive at five times the mean."""
    assert (
        _plan(
            [_snapshot(0.0, 6, WORKER_MILLICORES, arriving=14 * WORKER_MILLICORES)]
        ).grow_count
        >= 5
    )


def test_pool_grows_for_a_backlog_and_for_the_work_that_keeps_arriving():
    """Guards against a pool that works off its backlog only once arrivals end."""
    demand = _plan(
        [
            _snapshot(
                0.0,
                10,
                10 * WORKER_MILLICORES,
                waiting=5 * WORKER_MILLICORES,
                arriving=20 * WORKER_MILLICORES,
            )
        ]
    )
    assert demand.needed_count >= 25


def test_fair_shares_of_pools():
    """Guards against shares larger than the need and against unassigned hosts."""
    assert fair_shares({"p": 4, "q": 4}, {"p": 1, "q": 1}, 20) == {"p": 4, "q": 4}
    assert fair_shares({"p": 90, "q": 30}, {"p": 1, "q": 1}, 20) == {"p": 10, "q": 10}
    assert fair_shares({"p": 90, "q": 3}, {"p": 1, "q": 1}, 20) == {"p": 17, "q": 3}
    assert fair_shares({"p": 90, "q": 90}, {"p": 3, "q": 1}, 20) == {"p": 15, "q": 5}


def test_new_owner_does_not_grow_its_pool_before_it_has_contacted_its_workers():
    """Guards against growth because registered workers have not been polled yet."""
    snapshot = _snapshot(0.0, 8, 4 * WORKER_MILLICORES, lost_count=8)
    workers = tuple(w._replace(is_presumed_reachable=True) for w in snapshot.workers)
    assert _plan([snapshot._replace(workers=workers)]).grow_count == 0
