"""Tests of the stored progress of jobs with many occurrences."""

import pytest

from standins.service_driver import make_queue, make_step
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec, TaskId
from sycamorecroft.scheduling.rows import (
    JobRow,
    JobState,
    ProgressRow,
    TaskProgress,
    decode_row,
    encode_row,
)
from sycamorecroft.scheduling.tasks import Run, RunPhase

TASKS_COUNT = 30
OCCURRENCES_COUNT = 200
ROW_LIMIT_BYTES = 65_536
NOW_S = 1000.0
NOW_MS = 1_000_000


@pytest.fixture
def row():
    spec = JobSpec("t", (make_step(TASKS_COUNT),), OCCURRENCES_COUNT, 1, 1)
    return JobRow(make_queue(), spec, 0)


@pytest.fixture
def job(row):
    return Job("j", row, NOW_S, NOW_MS)


def _complete(job, occurrences):
    for occurrence in occurrences:
        for task in job.step_tasks(occurrence, 0):
            task.attempt = 2
            task.is_done = True


def _states(job):
    """Returns the state of each task; those of discarded occurrences are done."""
    names = [
        TaskId(job.id, occurrence, 0, index)
        for occurrence in range(job.occurrences_started_count)
        for index in range(TASKS_COUNT)
    ]
    assert set(job.tasks) <= set(names)
    return {name: _state(job.tasks.get(name)) for name in names}


def _state(task):
    return (True, True) if task is None else (task.is_done, task.run is None)


def test_progress_of_many_occurrences_fits_into_a_row(job, row):
    """Guards against a job whose growing row the store refuses for ever."""
    for _ in range(OCCURRENCES_COUNT):
        job.start_occurrence(NOW_S)
    _complete(job, [*range(150), *range(151, 160)])
    started = job.step_tasks(150, 0)[4]
    started.attempt = 3
    value = encode_row(job.progress(NOW_MS))
    assert len(value) < ROW_LIMIT_BYTES / 2
    restored = Job("j", row, NOW_S, NOW_MS)
    restored.restore(decode_row(value, ProgressRow), NOW_S)
    for _ in range(OCCURRENCES_COUNT - restored.occurrences_started_count):
        restored.start_occurrence(NOW_S)
    assert _states(restored) == _states(job)
    assert restored.tasks[started.id].attempt == 3
    assert encode_row(restored.progress(NOW_MS)) == value


def test_backlog_of_due_occurrences_starts_in_parts(job):
    """Guards against a row and a memory use that grow with all occurrences at once."""
    job.start_due_occurrences(NOW_S, NOW_MS)
    assert 0 < len(job.tasks) <= 600
    started_count = job.occurrences_started_count
    _complete(job, range(started_count - 1))
    assert job.start_due_occurrences(NOW_S, NOW_MS)
    while job.has_next_occurrence:
        _complete(job, range(job.occurrences_started_count))
        assert job.start_due_occurrences(NOW_S, NOW_MS)
    _complete(job, range(job.occurrences_started_count))
    assert job.is_complete()


def test_completed_occurrences_take_no_memory():
    """Guards against an owner that keeps the tasks of all occurrences it has run."""
    spec = JobSpec("t", (make_step(TASKS_COUNT),), 10**9, 1, 0)
    row = JobRow(make_queue(), spec, 0)
    job = Job("j", row, NOW_S, NOW_MS)
    for _ in range(30):
        assert job.start_due_occurrences(NOW_S, NOW_MS)
        assert len(job.tasks) <= 600
        first = job.occurrences_started_count - 20
        _complete(job, [n for n in range(job.occurrences_started_count) if n != first])
    value = encode_row(job.progress(NOW_MS))
    restored = Job("j", row, NOW_S, NOW_MS)
    restored.restore(decode_row(value, ProgressRow), NOW_S)
    assert len(restored.tasks) <= 600
    assert restored.occurrences_started_count == job.occurrences_started_count
    assert _states(restored) == _states(job)
    assert encode_row(restored.progress(NOW_MS)) == value


def test_occurrence_with_a_run_of_a_done_task_is_kept():
    """Guards against a run that no owner knows after a takeover.

    The members of a gang are done when the first of them is.
    """
    spec = JobSpec("t", (make_step(2, is_gang=True),), 3, 1, 1)
    row = JobRow(make_queue(), spec, 0)
    job = Job("j", row, NOW_S, NOW_MS)
    job.start_occurrence(NOW_S)
    tasks = job.step_tasks(0, 0)
    for task in tasks:
        task.attempt = 1
        task.run = Run(task, "w1", 7, RunPhase.RUNNING, NOW_S)
    tasks[0].run = None
    _complete(job, [0])
    job.start_due_occurrences(NOW_S, NOW_MS)
    restored = Job("j", row, NOW_S, NOW_MS)
    restored.restore(job.progress(NOW_MS), NOW_S)
    assert [run.task.id for run in restored.runs()] == [tasks[1].id]
    assert all(task.is_done for task in restored.step_tasks(0, 0))


def test_cancelled_job_with_many_occurrences_is_restored_with_its_runs_only():
    """Guards against a takeover that creates the tasks of all former occurrences."""
    spec = JobSpec("t", (make_step(TASKS_COUNT),), 10**9, 1, 0)
    task = TaskProgress(2000, 0, 3, 1, 0, False, "w1", 7)
    restored = Job("j", JobRow(make_queue(), spec, 0), NOW_S, NOW_MS)
    restored.restore(ProgressRow(JobState.CANCELLED, 0, (task,)), NOW_S)
    assert len(restored.tasks) <= TASKS_COUNT
    assert [run.task.id for run in restored.runs()] == [TaskId("j", 2000, 0, 3)]


def test_occurrence_with_many_tasks_starts_alone():
    """Guards against a large job that never starts."""
    spec = JobSpec("t", (make_step(900),), 2, 1, 1)
    job = Job("j", JobRow(make_queue(), spec, 0), NOW_S, NOW_MS)
    assert job.start_due_occurrences(NOW_S, NOW_MS)
    assert job.occurrences_started_count == 1
    _complete(job, [0])
    assert job.start_due_occurrences(NOW_S, NOW_MS)
