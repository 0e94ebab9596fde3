"""Tests of worker choice and job ranking, named by load pattern."""

import pytest

from standins.service_driver import (
    ServiceDriver,
    Site,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import JobRow


def _running(site):
    return {name: set(worker.running) for name, worker in site.workers.items()}


def test_tasks_per_worker_limit_is_kept():
    """Guards against more tasks of a step on a worker than the step allows."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(5, tasks_per_worker_limit=1))
    owner.run_steps(4)
    assert [len(names) for names in _running(site).values()] == [1, 1, 1]


def test_tasks_run_only_on_workers_with_the_required_label():
    """Guards against a task on a worker without the label that it requires."""
    site = Site(workers_count=2)
    site.registrations["w1"] = site.registrations["w1"]._replace(labels=("b", "r1"))
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(3, required_label="b"))
    owner.run_steps(4)
    assert [len(names) for names in _running(site).values()] == [0, 3]


def test_preferred_rack_is_chosen_first():
    """Guards against tasks far from their data while nearer workers have capacity."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(4, preferred_rack="r1"))
    owner.run_steps(4)
    assert [len(names) for names in _running(site).values()] == [0, 4]


def test_capacity_is_never_exceeded():
    """Guards against starts that exceed the capacity of a worker."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(30, 3000))
    owner.run_steps(4)
    assert [len(names) for names in _running(site).values()] == [2, 2]


def test_tasks_of_a_step_stay_together():
    """Guards against a job that the crash of any worker hits."""
    site = Site(workers_count=4)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(8, 1000))
    owner.run_steps(4)
    assert sorted(map(len, _running(site).values())) == [0, 0, 0, 8]


def test_tasks_of_a_step_larger_than_a_worker_fill_few_workers():
    """Guards against a large step in whose reach more workers lie than it needs."""
    site = Site(workers_count=4)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(20, 1000))
    owner.run_steps(4)
    assert sorted(map(len, _running(site).values())) == [0, 4, 8, 8]


@pytest.mark.parametrize("jobs_count", [4, 8])
def test_lost_worker_takes_few_of_many_small_jobs(jobs_count):
    """Guards against jobs packed on one worker, whose crash hits nearly all of them."""
    site = Site(workers_count=8)
    owner = ServiceDriver(site, 1)
    for number in range(jobs_count):
        site.submit(f"j{number}", make_step(4, 500))
    owner.run_steps(4)
    jobs_of_workers = [
        {task.split(".")[0] for task in names} for names in _running(site).values()
    ]
    assert sum(map(len, _running(site).values())) == 4 * jobs_count
    assert max(map(len, jobs_of_workers)) == 1
    assert sum(map(len, jobs_of_workers)) == jobs_count


def test_task_that_runs_again_joins_its_step():
    """Guards against a job that each retry exposes to the crash of one more worker."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(4, 1000))
    site.submit("j2", make_step(2, 1000))
    owner.run_steps(4)
    running = _running(site)
    first = next(name for name, names in running.items() if "j1.0.0.0" in names)
    others = [name for name in running if name != first]
    site.submit("j3", make_step(1, 1000))
    owner.run_steps(4)
    site.workers[first].finish("j1.0.0.0", RunOutcome.STOPPED)
    owner.run_steps(8)
    assert "j1.0.0.0" in site.workers[first].running
    assert not any(
        task.startswith("j1.") for name in others for task in _running(site)[name]
    )


def _has_started(site, job_id):
    names = [task for names in _running(site).values() for task in names]
    return any(task.startswith(f"{job_id}.") for task in names)


def test_stream_of_small_jobs_leaves_room_for_a_task_of_a_whole_worker():
    """Guards against small tasks on all workers, among which a large one never fits."""
    site = Site(workers_count=4)
    owner = ServiceDriver(site, 1)
    for number in range(40):
        if number == 8:
            site.submit("large", make_step(1, 8000))
        site.submit(f"small-{number}", make_step(1, 1000))
        owner.run_steps(1)
        # Each small task lasts for eight rounds: eight of 32 places are taken.
        ended = f"small-{number - 7}.0.0.0"
        for worker in site.workers.values():
            if ended in worker.running:
                worker.finish(ended, RunOutcome.DONE)
        if _has_started(site, "large"):
            break
    assert _has_started(site, "large")


def test_short_tasks_prefer_workers_with_long_running_tasks():
    """Guards against workers that stay in a pool for a single short task each."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1, is_long_running=True))
    owner.run_steps(4)
    shared = next(name for name, running in _running(site).items() if running)
    site.submit("j2", make_step(3, 1000))
    owner.run_steps(4)
    assert len(_running(site)[shared]) == 4


def test_long_running_tasks_spread_over_racks():
    """Guards against a rack failure that stops all tasks of a step."""
    site = Site(workers_count=0)
    for number in range(4):
        name = f"w{number}"
        site.workers[name] = type(Site(1).workers["w0"])()
        site.registrations[name] = make_registration(name, rack=f"r{number // 2}")
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(2, is_long_running=True, tasks_per_worker_limit=1))
    owner.run_steps(4)
    racks = {site.registrations[n].rack for n, names in _running(site).items() if names}
    assert racks == {"r0", "r1"}


def _job(job_id, *, accepted_ms, estimate_ms=1000, priority=0, **step_fields):
    step = make_step(1, **step_fields)._replace(estimate_ms=estimate_ms)
    row = JobRow(make_queue(priority=priority), JobSpec("t", (step,)), accepted_ms)
    return Job(job_id, row, 100.0, 100_000)


def test_flood_of_late_jobs_does_not_delay_timely_jobs():
    """Guards against overload that makes one job after the other late."""
    late = _job("late", accepted_ms=90_000)
    fresh = _job("fresh", accepted_ms=99_900)
    assert JobRanking().rank(fresh, 100.0) < JobRanking().rank(late, 100.0)


def test_flood_of_jobs_that_will_be_late_does_not_delay_timely_jobs():
    """Guards against preferring jobs that miss their objective even if started now."""
    doomed = _job("doomed", accepted_ms=98_500)
    fresh = _job("fresh", accepted_ms=99_900)
    assert doomed.objective_end_s > 100.0
    assert JobRanking().rank(fresh, 100.0) < JobRanking().rank(doomed, 100.0)


def test_completed_steps_do_not_count_as_remaining_time():
    """Guards against ranking an almost complete job as late."""
    job = _job("j", accepted_ms=98_500)
    fresh = _job("fresh", accepted_ms=99_900)
    job.start_due_occurrences(100.0, 100_000)
    for task in job.tasks.values():
        task.is_done = True
    assert JobRanking().rank(job, 100.0) < JobRanking().rank(fresh, 100.0)


def test_flood_of_less_urgent_jobs_does_not_delay_an_urgent_queue():
    """Guards against urgent jobs that wait behind a flood in another queue."""
    urgent = _job("urgent", accepted_ms=99_900, priority=0)
    other = _job("other", accepted_ms=99_000, priority=1)
    assert JobRanking().rank(urgent, 100.0) < JobRanking().rank(other, 100.0)


def test_flood_of_short_jobs_does_not_delay_long_running_jobs():
    """Guards against a service that stays down while short jobs take all capacity."""
    service = _job("service", accepted_ms=99_990, is_long_running=True)
    short = _job("short", accepted_ms=99_000)
    assert JobRanking().rank(service, 100.0) < JobRanking().rank(short, 100.0)


def test_objective_is_measured_from_submission():
    """Guards against an objective that restarts with each change of owner."""
    job = _job("j", accepted_ms=98_000)
    assert job.objective_end_s == pytest.approx(98.0 + 1.6 + 0.6)
