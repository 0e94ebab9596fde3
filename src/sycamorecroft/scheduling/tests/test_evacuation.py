"""Tests of long-running tasks that move before their worker is emptied."""

from standins.service_driver import (
    ServiceDriver,
    Site,
    queue_of,
    step_of,
)
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.pool_snapshot import WorkerMarks


def test_long_running_task_is_started_again_however_it_ends():
    """Guards against a service that stays down after one of its tasks has ended."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit(
        "j1", step_of(1, is_long_running=True), queue=queue_of(attempts_count=1)
    )
    for how in (RunOutcome.FAILED, RunOutcome.DONE, RunOutcome.EXPIRED):
        owner.steps(3)
        for worker in site.workers.values():
            worker.end_all(how)
    owner.steps(3)
    assert site.started_count("j1.0.0.0") == 4


def test_draining_worker_gets_no_tasks_and_gives_up_long_running_ones():
    """Guards against tasks that end with a worker that has said it would leave."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1, is_long_running=True))
    owner.steps(3)
    leaving = next(n for n, w in site.workers.items() if w.running)
    site.entries[leaving] = site.entries[leaving]._replace(is_draining=True)
    site.submit("j2", step_of(4))
    owner.steps(6)
    assert not site.workers[leaving].running
    assert sum(len(w.running) for w in site.workers.values()) == 5


def test_long_running_tasks_of_a_step_move_one_at_a_time():
    """Guards against planned work that takes a service below its availability."""
    site = Site(workers_count=4)
    owner = ServiceDriver(site, 1)
    site.submit(
        "j1",
        step_of(2, is_long_running=True, tasks_per_worker_limit=1, max_unavailable_count=1),
    )
    owner.steps(4)
    busy = frozenset(n for n, w in site.workers.items() if w.running)
    owner.scheduler.reports.apply_marks(WorkerMarks(reserved=busy))
    for _ in range(12):
        owner.step()
        assert sum(len(w.running) for w in site.workers.values()) >= 1
        site.advance(0.2)
    assert not any(site.workers[name].running for name in busy)
    assert sum(len(w.running) for w in site.workers.values()) == 2


def test_long_running_task_moves_out_of_a_full_pool():
    """Guards against a wave that waits while short tasks take each room that is free.

    Seen on a grown site: seven machines of a wave waited for 14 s in a queue's turn.
    """
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", step_of(1, is_long_running=True, tasks_per_worker_limit=1))
    owner.steps(3)
    busy = next(name for name, w in site.workers.items() if w.running)
    other = next(name for name in site.workers if name != busy)
    site.submit("j2", step_of(60, 1000))
    owner.steps(3)
    owner.scheduler.reports.apply_marks(WorkerMarks(reserved=frozenset({busy})))
    for _ in range(10):
        running = site.workers[other].running
        short = next((name for name in running if name.startswith("j2")), None)
        if short is not None:
            site.workers[other].end(short, RunOutcome.DONE)
        # The end is handled, and its room used, before time is looked at.
        owner._list_runs()
        owner.scheduler.place(site.clock.monotonic_s())
        owner.steps(1)
    assert "j1.0.0.0" in site.workers[other].running
