"""Tests of which changes are committed first under overload, named by load pattern."""

import pytest

from standins.service_driver import ServiceDriver, Site, make_queue, make_step
from sycamorecroft.scheduling.commit_queue import JOBS_PER_COMMIT_COUNT, CommitQueue
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import (
    JobRow,
    JobState,
    ProgressRow,
    decode_row,
    encode_row,
)
from sycamorecroft.scheduling.tasks import Run, RunPhase

# The checks of the owner's row and of the row of commits, and the put of the latter.
COMMIT_OVERHEAD_ENTRIES_COUNT = 3
ROW_LIMIT_BYTES = 65_536


def _job(job_id, accepted_ms, *, queue_name="q", tasks_count=1):
    queue = make_queue()._replace(name=queue_name)
    row = JobRow(queue, JobSpec("t", (make_step(tasks_count),)), accepted_ms)
    job = Job(job_id, row, 100.0, 100_000)
    job.start_due_occurrences(100.0, 100_000)
    return job


def test_backlog_of_late_jobs_does_not_delay_commits_of_timely_jobs():
    """Guards against commits of late jobs before those of jobs that can be in time."""
    queue = CommitQueue(60.0, JobRanking())
    for number in range(2 * JOBS_PER_COMMIT_COUNT):
        queue.mark_dirty(_job(f"late{number}", 80_000))
    queue.mark_dirty(_job("fresh", 99_900))
    commit = queue.take({}, 100.0, 100_000)
    assert len(commit.jobs) == JOBS_PER_COMMIT_COUNT
    assert commit.jobs[0].job_id == "fresh"
    assert not commit.acknowledgements


def test_tasks_beyond_the_next_commit_allocate_no_capacity():
    """Guards against capacity that is allocated but unused while the store is slow."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    for number in range(JOBS_PER_COMMIT_COUNT + 20):
        site.submit(f"j{number}", make_step(1, 10))
    owner._read_jobs()
    owner.scheduler.place(site.clock.monotonic_s())
    jobs = owner.scheduler.jobs.values()
    assert sum(bool(job.runs()) for job in jobs) == JOBS_PER_COMMIT_COUNT
    owner.run_steps(4)
    assert all(site.started_count(f"{job.id}.0.0.0") == 1 for job in jobs)


def test_burst_of_begun_jobs_leaves_room_in_the_next_commit():
    """Guards against tasks that aren't placed, since the states of jobs that have begun
    in the same moment fill the next commit.
    """
    queue = CommitQueue(60.0, JobRanking())
    for number in range(2 * JOBS_PER_COMMIT_COUNT):
        job = _job(f"j{number}", 99_900)
        job.record_begun()
        queue.mark_begun(job, 100.0)
    stored = []
    while commit := queue.take({}, 102.0, 102_000):
        assert not queue.is_full
        stored += commit.jobs
    assert len(stored) == 2 * JOBS_PER_COMMIT_COUNT
    assert all(job.progress.state is JobState.RUNNING for job in stored)


def test_begun_job_takes_no_room_in_frequent_commits_while_its_tasks_are_short():
    """Guards against a flooded queue whose owner stores each job once more."""
    queue = CommitQueue(60.0, JobRanking())
    begun = _job("begun", 99_900)
    begun.record_begun()
    queue.mark_begun(begun, 100.0)
    stored_s = []
    for number in range(30):
        queue.mark_dirty(_job(f"j{number}", 99_900))
        now_s = 100.0 + 0.1 * number
        commit = queue.take({}, now_s, int(now_s * 1000))
        if any(job.job_id == "begun" for job in commit.jobs):
            stored_s.append(now_s)
    assert len(stored_s) == 1
    assert 101.9 < stored_s[0] < 102.2


def test_begun_job_is_stored_soon_while_there_are_no_commits():
    """Guards against a job that is shown as queued for seconds in a calm service."""
    queue = CommitQueue(60.0, JobRanking())
    begun = _job("begun", 99_900)
    begun.record_begun()
    queue.mark_begun(begun, 100.0)
    assert queue.take({}, 100.4, 100_400) is None
    commit = queue.take({}, 100.6, 100_600)
    assert [job.job_id for job in commit.jobs] == ["begun"]
    assert queue.take({}, 102.0, 102_000) is None


def test_commit_of_many_jobs_and_queues_fits_into_a_transaction():
    """Guards against a commit that the store refuses each time it is repeated.

    After a slow store, many jobs and the counts of many queues have changed.
    """
    queue = CommitQueue(60.0, JobRanking())
    jobs = {}
    for number in range(2 * JOBS_PER_COMMIT_COUNT):
        job = _job(f"j{number}", 99_900, queue_name=f"q{number % 60}")
        jobs[job.id] = job
        queue.mark_dirty(job)
    stored_jobs, stored_queues = set(), set()
    for _ in range(5):
        commit = queue.take(jobs, 100.0, 100_000)
        if commit is None:
            break
        rows_count = len(commit.jobs) + len(commit.pending)
        assert rows_count + COMMIT_OVERHEAD_ENTRIES_COUNT <= 100
        stored_jobs |= {job.job_id for job in commit.jobs}
        stored_queues |= {name for name, _ in commit.pending}
    assert stored_jobs == set(jobs)
    assert len(stored_queues) == 60


def test_commit_of_jobs_with_many_tasks_fits_into_a_transaction():
    """Guards against a commit of more than 1 MB, which the store refuses each time."""
    queue = CommitQueue(60.0, JobRanking())
    for number in range(30):
        job = _job(f"j{number}", 99_900, tasks_count=800)
        for task in job.tasks.values():
            task.attempt = 1
            task.checkpoint = "0123456789abcdef"
        queue.mark_dirty(job)
    while (commit := queue.take({}, 100.0, 100_000)) is not None:
        size_bytes = sum(len(encode_row(job.progress)) for job in commit.jobs)
        # Values are sent as base64.
        assert commit.jobs
        assert size_bytes * 4 / 3 < 900_000


def _run_all(job, checkpoint):
    for number, task in enumerate(job.tasks.values()):
        task.attempt = 1
        task.checkpoint = checkpoint
        worker_id = f"worker-{number % 100:03}"
        task.run = Run(task, worker_id, 1_765_000_000_000, RunPhase.RUNNING, 100.0)


@pytest.mark.parametrize("checkpoint", ["0123456789abcdef", "x" * 4000, "\x01" * 200])
def test_row_of_many_running_tasks_with_checkpoints_can_be_stored(checkpoint):
    """Guards against a row of progress that the store refuses each time."""
    queue = CommitQueue(60.0, JobRanking())
    job = _job("j", 99_900, tasks_count=1000)
    _run_all(job, checkpoint)
    waiting = job.step_tasks(0, 0)[990]
    waiting.run = None
    queue.mark_dirty(job)
    value = encode_row(queue.take({}, 100.0, 100_000).jobs[0].progress)
    assert len(value) <= ROW_LIMIT_BYTES
    stored = {task.index: task for task in decode_row(value, ProgressRow).tasks}
    assert len(stored) == 1000
    assert sum(bool(task.worker_id) for task in stored.values()) == 999
    # No worker reports the checkpoint of a task without a run again.
    assert stored[990].checkpoint == checkpoint
    assert waiting.checkpoint == checkpoint


def test_commit_of_jobs_with_long_checkpoints_fits_into_a_transaction():
    """Guards against a commit of more than 1 MB because of texts from the workers."""
    queue = CommitQueue(60.0, JobRanking())
    for number in range(40):
        job = _job(f"j{number}", 99_900, tasks_count=50)
        _run_all(job, "x" * 1000)
        queue.mark_dirty(job)
    stored_ids = set()
    while (commit := queue.take({}, 100.0, 100_000)) is not None:
        size_bytes = sum(len(encode_row(job.progress)) for job in commit.jobs)
        assert size_bytes * 4 / 3 < 900_000
        stored_ids |= {job.job_id for job in commit.jobs}
    assert len(stored_ids) == 40


def test_commit_holds_other_jobs_beside_one_with_many_completed_tasks():
    """Guards against commits of one job each because of a job with many occurrences."""
    queue = CommitQueue(60.0, JobRanking())
    spec = JobSpec("t", (make_step(50),), 100, 1, 1)
    scheduled = Job("scheduled", JobRow(make_queue(), spec, 0), 100.0, 100_000)
    for _ in range(100):
        scheduled.start_occurrence(100.0)
    for task in scheduled.tasks.values():
        task.attempt = 1
        task.is_done = True
    queue.mark_dirty(scheduled)
    for number in range(20):
        queue.mark_dirty(_job(f"j{number}", 99_900))
    assert len(queue.take({}, 100.0, 100_000).jobs) == 21
