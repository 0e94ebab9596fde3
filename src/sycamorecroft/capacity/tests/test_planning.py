"""Tests of how many machines a pool needs, named by load pattern."""

from sycamorecroft.capacity.planning import DemandHistory, fair_shares, plan_pool
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot

EACH = 64000


def _snapshot(
    at_s, workers_count, used, waiting=0, long_running=0, silent=0, arriving=0
):
    workers = tuple(
        WorkerSnapshot(
            f"w{number}",
            f"m{number}",
            Resources(EACH, 1000),
            Resources(used // workers_count),
            0,
            0,
            False,
            number >= silent,
            number >= silent,
        )
        for number in range(workers_count)
    )
    return PoolSnapshot(at_s, workers, Resources(waiting), long_running, arriving)


def _plan(snapshots, incoming=0, floor=8):
    history = DemandHistory()
    for snapshot in snapshots:
        history.add(snapshot)
    return plan_pool(snapshots[-1], history, incoming_count=incoming, floor_count=floor)


def test_peak_of_a_queue_grows_its_pool_before_it_is_full():
    """Guards against machines that come only after jobs are late."""
    assert _plan([_snapshot(0.0, 8, 8 * EACH)]).grow_count > 0


def test_machines_on_their_way_are_counted():
    """Guards against the same need being met twice."""
    peak = _snapshot(0.0, 8, 8 * EACH)
    needed = _plan([peak]).grow_count
    assert _plan([peak], incoming=needed).grow_count == 0


def test_quiet_pool_gives_back_what_it_borrowed():
    """Guards against machines that are paid for and unused."""
    quiet = [_snapshot(t / 2, 12, EACH) for t in range(20)]
    assert _plan(quiet).shrink_count == 4


def test_pool_is_not_shrunk_right_after_a_peak():
    """Guards against machines that move back and forth."""
    snapshots = [_snapshot(t / 2, 12, EACH) for t in range(18)]
    snapshots.append(_snapshot(9.0, 12, 9 * EACH))
    snapshots.append(_snapshot(9.5, 12, EACH))
    assert _plan(snapshots).shrink_count == 0


def test_lost_rack_is_replaced():
    """Guards against a pool that stays short after workers fell silent."""
    assert _plan([_snapshot(0.0, 8, 5 * EACH, silent=4)]).grow_count > 0


def test_long_running_tasks_that_wait_get_machines():
    """Guards against a service whose tasks find no worker of their own."""
    assert _plan([_snapshot(0.0, 4, 0, long_running=2)]).grow_count == 2


def test_turn_of_a_queue_grows_its_pool_before_its_work_piles_up():
    """Guards against growth in small steps while jobs arrive at five times the mean."""
    assert _plan([_snapshot(0.0, 6, EACH, arriving=14 * EACH)]).grow_count >= 5


def test_fair_shares_of_pools():
    """Guards against shares beyond a need, and against machines that nobody gets."""
    assert fair_shares({"p": 4, "q": 4}, {"p": 1, "q": 1}, 20) == {"p": 4, "q": 4}
    assert fair_shares({"p": 90, "q": 30}, {"p": 1, "q": 1}, 20) == {"p": 10, "q": 10}
    assert fair_shares({"p": 90, "q": 3}, {"p": 1, "q": 1}, 20) == {"p": 17, "q": 3}
    assert fair_shares({"p": 90, "q": 90}, {"p": 3, "q": 1}, 20) == {"p": 15, "q": 5}


def test_new_owner_does_not_take_all_machines_before_it_has_heard_its_workers():
    """Guards against a pool that grows since its workers weren't asked yet."""
    snapshot = _snapshot(0.0, 8, 4 * EACH, silent=8)
    workers = tuple(w._replace(is_presumed_reachable=True) for w in snapshot.workers)
    assert _plan([snapshot._replace(workers=workers)]).grow_count == 0
