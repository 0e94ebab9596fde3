"""Tests of the stored progress of jobs with many occurrences."""

import pytest

from standins.service_driver import make_queue, make_step
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import JobRow, ProgressRow, decode_row, encode_row

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
    return {name: (task.is_done, task.run is None) for name, task in job.tasks.items()}


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


def test_occurrence_with_many_tasks_starts_alone():
    """Guards against a large job that never starts."""
    spec = JobSpec("t", (make_step(900),), 2, 1, 1)
    job = Job("j", JobRow(make_queue(), spec, 0), NOW_S, NOW_MS)
    assert job.start_due_occurrences(NOW_S, NOW_MS)
    assert job.occurrences_started_count == 1
    _complete(job, [0])
    assert job.start_due_occurrences(NOW_S, NOW_MS)
