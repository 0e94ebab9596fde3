"""Tests of which changes are committed first under overload, named by load pattern."""

from standins.service_driver import ServiceDriver, Site, make_queue, make_step
from sycamorecroft.scheduling.commit_queue import JOBS_PER_COMMIT_COUNT, CommitQueue
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import JobRow


def _job(job_id, accepted_ms):
    row = JobRow(make_queue(), JobSpec("t", (make_step(1),)), accepted_ms)
    return Job(job_id, row, 100.0, 100_000)


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
