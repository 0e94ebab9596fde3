"""Tests that the rows of jobs with many tasks stay within the limit of the store."""

import pytest

from standins.service_driver import (
    ServiceDriver,
    Site,
    make_placer,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.progress_size import RunRoom
from sycamorecroft.scheduling.rows import JobRow, JobState, encode_row
from sycamorecroft.scheduling.tasks import Run, RunPhase
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker

NOW_S = 100.0
NOW_MS = 100_000
ROW_LIMIT_BYTES = 65_536
# Keys of the store, such as the ids of workers, have at most this size.
LONG_ID = "x" * 195


def _workers(count):
    workers = {}
    for number in range(count):
        registration = make_registration(f"{LONG_ID}{number:05}", cpu_millicores=900)
        worker = Worker(registration, NOW_S)
        worker.last_contact_s = NOW_S
        worker.incarnation_ms = 1_765_000_000_000
        workers[worker.id] = worker
    return workers


def _job(tasks_count, **fields):
    spec = JobSpec("t", (make_step(tasks_count, 1, **fields),))
    job = Job("j", JobRow(make_queue(), spec, 0), NOW_S, NOW_MS)
    job.start_due_occurrences(NOW_S, NOW_MS)
    return job


def _end_runs(job, workers):
    for run in job.runs():
        workers[run.worker_id].remove(run)
        run.task.run = None
        run.task.is_done = True


def test_runs_on_workers_with_long_ids_fit_into_a_row():
    """Guards against a row of progress that the store refuses each time."""
    workers = _workers(10)
    job = _job(1000)
    waiting = WaitingJobs()
    waiting.add(job)
    placer = make_placer(workers)
    for _ in range(20):
        placer.place(waiting, NOW_S)
        assert len(encode_row(job.progress(NOW_MS))) <= ROW_LIMIT_BYTES
        assert job.runs()
        _end_runs(job, workers)
        if job.is_complete():
            break
        waiting.add(job)
    assert job.is_complete()


@pytest.mark.parametrize("tasks_count", [200, 1000])
def test_gang_is_placed_whole_if_its_row_can_be_stored(tasks_count):
    """Guards against a part of a gang, and against a row that the store refuses."""
    workers = _workers(10)
    job = _job(tasks_count, is_gang=True)
    waiting = WaitingJobs()
    waiting.add(job)
    placer = make_placer(workers)
    placer.place(waiting, NOW_S)
    placer.place(waiting, NOW_S)
    assert len(job.runs()) == (tasks_count if tasks_count == 200 else 0)
    assert len(encode_row(job.progress(NOW_MS))) <= ROW_LIMIT_BYTES
    assert all(worker.free.cpu_millicores >= 0 for worker in workers.values())


def test_large_job_on_workers_with_usual_ids_is_not_measured(monkeypatch):
    """Guards against an owner that encodes the row of a large job for each placement.

    Tasks of a large job end one after another, and each end allows another start.
    """
    encoded = []
    monkeypatch.setattr(Job, "progress", lambda job, now_ms: encoded.append(job))
    workers = {}
    for number in range(20):
        registration = make_registration(f"worker-{number:03}")
        workers[registration.worker_id] = Worker(registration, NOW_S)
    job = _job(1000)
    room = RunRoom(job, ROW_LIMIT_BYTES, workers)
    task = next(iter(job.tasks.values()))
    assert room.take(task, "worker-001", 1_765_000_000_000)
    assert not encoded


@pytest.mark.parametrize("character", ["x", "\x01", "\u20ac"])
@pytest.mark.parametrize("length", [5, 12, 60])
def test_room_agrees_with_the_row_as_stored(character, length):
    """Guards against an upper bound below the size of the row."""
    worker_id = character * length
    job = _job(1000)
    taken_count = 0
    room = RunRoom(job, ROW_LIMIT_BYTES, [worker_id])
    for task in job.tasks.values():
        if not room.take(task, worker_id, 1_765_000_000_000):
            break
        taken_count += 1
        task.attempt += 1
        task.run = Run(task, worker_id, 1_765_000_000_000, RunPhase.COMMITTING, NOW_S)
    size_bytes = len(encode_row(job.progress(NOW_MS)))
    assert size_bytes <= ROW_LIMIT_BYTES
    assert taken_count == 1000 or size_bytes > 0.9 * ROW_LIMIT_BYTES


def test_job_with_many_tasks_on_workers_with_long_ids_completes():
    """Guards against a job whose remaining tasks never get room in its row."""
    site = Site(workers_count=0)
    for number in range(3):
        name = f"{LONG_ID}{number:05}"
        site.workers[name] = type(Site(1).workers["w0"])()
        site.registrations[name] = make_registration(name)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    site.submit("j1", make_step(500, 1))
    for _ in range(4):
        owner.run_steps(3)
        for worker in site.workers.values():
            worker.finish_all()
    owner.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE
