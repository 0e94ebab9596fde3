"""Tests of the evacuation of long-running tasks from workers to be drained."""

from standins.service_driver import (
    ServiceDriver,
    Site,
    make_queue,
    make_step,
)
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.pool_snapshot import WorkerMarks


def _run_two_tasks(site, owner):
    """Starts two tasks, of which one may be unavailable, and returns their workers."""
    step = make_step(
        2, is_long_running=True, tasks_per_worker_limit=1, max_unavailable_count=1
    )
    site.submit("j1", step)
    owner.run_steps(4)
    return frozenset(name for name, worker in site.workers.items() if worker.running)


def test_long_running_task_restarts_after_any_outcome():
    """Guards against a long-running task that isn't restarted after its run ended."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit(
        "j1", make_step(1, is_long_running=True), queue=make_queue(attempts_count=1)
    )
    for outcome in (RunOutcome.FAILED, RunOutcome.DONE, RunOutcome.EXPIRED):
        owner.run_steps(3)
        for worker in site.workers.values():
            worker.finish_all(outcome)
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") == 4


def test_draining_worker_gets_no_tasks_and_is_evacuated():
    """Guards against tasks that are lost with a worker that has announced its drain."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1, is_long_running=True))
    owner.run_steps(3)
    draining = next(n for n, w in site.workers.items() if w.running)
    site.registrations[draining] = site.registrations[draining]._replace(
        is_draining=True
    )
    site.submit("j2", make_step(4))
    owner.run_steps(6)
    assert not site.workers[draining].running
    assert sum(len(w.running) for w in site.workers.values()) == 5


def test_evacuation_keeps_within_the_unavailable_limit_of_a_step():
    """Guards against planned work that stops more tasks of a step than allowed."""
    site = Site(workers_count=4)
    owner = ServiceDriver(site, 1)
    busy = _run_two_tasks(site, owner)
    owner.scheduler.reports.apply_marks(WorkerMarks(reserved=busy))
    for _ in range(12):
        owner.step()
        assert sum(len(w.running) for w in site.workers.values()) >= 1
        site.advance(0.2)
    assert not any(site.workers[name].running for name in busy)
    assert sum(len(w.running) for w in site.workers.values()) == 2


def test_long_running_task_is_evacuated_in_a_full_pool():
    """Guards against an evacuation that waits while short tasks take freed capacity.

    This delayed seven hosts of a maintenance wave by 14 s on an enlarged site.
    """
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1, is_long_running=True, tasks_per_worker_limit=1))
    owner.run_steps(3)
    busy = next(name for name, w in site.workers.items() if w.running)
    other = next(name for name in site.workers if name != busy)
    site.submit("j2", make_step(60, 1000))
    owner.run_steps(3)
    owner.scheduler.reports.apply_marks(WorkerMarks(reserved=frozenset({busy})))
    for _ in range(10):
        running = site.workers[other].running
        short_task = next((name for name in running if name.startswith("j2")), None)
        if short_task is not None:
            site.workers[other].finish(short_task, RunOutcome.DONE)
        # The outcome is applied, and freed capacity is used, before the next tick.
        owner._list_runs()
        owner.scheduler.place(site.clock.monotonic_s())
        owner.run_steps(1)
    assert "j1.0.0.0" in site.workers[other].running


def test_new_owner_waits_for_stops_of_the_former_owner_before_it_evacuates():
    """Guards against two tasks of a step that are stopped by successive owners.

    A run that the former owner has ordered to stop is listed as running until it ends.
    """
    site = Site(workers_count=4)
    busy = _run_two_tasks(site, ServiceDriver(site, 1))
    owner = ServiceDriver(site, 2)
    owner.scheduler.reports.apply_marks(WorkerMarks(reserved=busy))
    for _ in range(4):
        owner.step()
        site.advance(0.2)
        assert all(site.workers[name].running for name in busy)
    for _ in range(12):
        owner.step()
        site.advance(0.2)
    assert not any(site.workers[name].running for name in busy)
    assert sum(len(w.running) for w in site.workers.values()) == 2


def test_old_run_list_does_not_show_that_stops_of_the_former_owner_have_ended():
    """Guards against an evacuation that is decided by a list from before a stop ended.

    A worker answers a call for its run list after up to a second.
    """
    site = Site(workers_count=4)
    busy = _run_two_tasks(site, ServiceDriver(site, 1))
    owner = ServiceDriver(site, 2)
    owner.scheduler.reports.apply_marks(WorkerMarks(reserved=busy))
    owner.run_steps(2)
    site.advance(1.5)
    owner.scheduler.tick(site.clock.monotonic_s(), site.now_ms)
    owner.send_orders()
    assert all(site.workers[name].running for name in busy)
