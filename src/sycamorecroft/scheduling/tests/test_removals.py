"""Tests of ended jobs whose rows are removed, and of jobs submitted meanwhile."""

import pytest

from standins.service_driver import (
    JOBS,
    SERVICE,
    ServiceDriver,
    Site,
    make_queue,
    make_step,
)
from sycamorecroft.scheduling.commit_queue import CommitQueue
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import (
    JOB_LOCATIONS_TABLE,
    JobRow,
    JobState,
    StoredRow,
    encode_row,
    jobs_part,
)
from sycamorecroft.store.interfaces import Put, StorePurpose
from sycamorecroft.store.table_part import read_all_parts


def test_ended_job_that_is_submitted_again_does_not_run_again():
    """Guards against a second execution of a job under the same id."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    for worker in site.workers.values():
        worker.finish_all()
    owner.run_steps(3)
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") == 1


def _run_to_its_end(site, owner, job_id):
    site.submit(job_id, make_step(1))
    owner.run_steps(3)
    for worker in site.workers.values():
        worker.finish_all()
    owner.run_steps(3)
    assert site.state(job_id) is JobState.COMPLETE


def _read_all_jobs(site):
    return read_all_parts(site.tables, JOBS, purpose=StorePurpose.JOBS).rows


def _apply_rows(site, owner, rows):
    owner.scheduler.apply_job_rows(rows, site.clock.monotonic_s(), site.now_ms)


def test_ended_job_whose_removal_is_queued_does_not_run_again():
    """Guards against a second execution after the store has lost its history.

    All rows are then read again, also those of jobs that are about to be removed.
    """
    site = Site()
    owner = ServiceDriver(site, 1)
    _run_to_its_end(site, owner, "j1")
    site.advance(200.0)
    owner.scheduler.tick(site.clock.monotonic_s(), site.now_ms)
    rows = _read_all_jobs(site)
    assert [row.key for row in rows] == ["j1"]
    _apply_rows(site, owner, rows)
    owner.run_steps(10)
    assert site.started_count("j1.0.0.0") == 1
    assert not _read_all_jobs(site)


def test_row_that_was_read_before_a_removal_does_not_start_the_job_again():
    """Guards against a second execution because of a read that took long."""
    site = Site()
    owner = ServiceDriver(site, 1)
    _run_to_its_end(site, owner, "j1")
    rows = _read_all_jobs(site)
    site.advance(200.0)
    owner.run_steps(3)
    assert not _read_all_jobs(site)
    _apply_rows(site, owner, rows)
    owner.run_steps(10)
    assert site.started_count("j1.0.0.0") == 1


def test_job_that_is_submitted_after_a_removal_runs():
    """Guards against an accepted job that is taken for a removed one with its id."""
    site = Site()
    owner = ServiceDriver(site, 1)
    _run_to_its_end(site, owner, "j1")
    site.advance(200.0)
    owner.run_steps(3)
    assert site.state("j1") is None
    site.submit("j1", make_step(1))
    owner.run_steps(10)
    assert site.started_count("j1.0.0.0") == 2


def _remove_job_row(site, job_id):
    """Does what a removal does before it deletes the progress row."""
    put = Put(JOBS, job_id, None, jobs_part(job_id))
    site.tables.transact((), (put,), purpose=StorePurpose.JOBS)


def test_takeover_within_a_removal_leaves_no_progress_behind():
    """Guards against rows that stay for ever, and against a job that isn't run.

    A job that is submitted under the id of such a row would be taken for ended.
    """
    site = Site()
    former = ServiceDriver(site, 1)
    _run_to_its_end(site, former, "j1")
    _remove_job_row(site, "j1")
    successor = ServiceDriver(site, 2)
    successor.run_steps(3)
    assert site.state("j1") is None
    site.submit("j1", make_step(1))
    third = ServiceDriver(site, 3)
    third.run_steps(3)
    assert site.started_count("j1.0.0.0") == 2


def test_takeover_within_a_removal_keeps_a_job_submitted_meanwhile():
    """Guards against an accepted job that is removed with the progress of another."""
    site = Site()
    former = ServiceDriver(site, 1)
    _run_to_its_end(site, former, "j1")
    _remove_job_row(site, "j1")
    successor = ServiceDriver(site, 2)
    site.submit("j1", make_step(1))
    successor.run_steps(3)
    assert [row.key for row in _read_all_jobs(site)] == ["j1"]
    assert site.started_count("j1.0.0.0") == 2
    for worker in site.workers.values():
        worker.finish_all()
    successor.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE


def test_job_submitted_within_a_removal_runs_after_a_takeover():
    """Guards against an accepted job that is lost because of another's progress."""
    site = Site()
    former = ServiceDriver(site, 1)
    _run_to_its_end(site, former, "j1")
    _remove_job_row(site, "j1")
    site.submit("j1", make_step(1))
    successor = ServiceDriver(site, 2)
    successor.run_steps(3)
    assert site.started_count("j1.0.0.0") == 2
    for worker in site.workers.values():
        worker.finish_all()
    successor.run_steps(3)
    assert site.state("j1") is JobState.COMPLETE
    third = ServiceDriver(site, 3)
    third.run_steps(3)
    assert site.started_count("j1.0.0.0") == 2


def test_versions_of_removed_jobs_are_forgotten():
    """Guards against memory that grows with each job that ever ran."""
    queue = CommitQueue(60.0, JobRanking())
    queue.record_ended("j1", 100.0, StoredRow(7, "p"))
    queue.expire(161.0)
    assert queue.take({}, 161.0, 0).jobs[0].job_id == "j1"
    queue.expire(400.0)
    assert queue.has_ended("j1", 7)
    queue.record_removed("j1", 401.0)
    queue.expire(460.0)
    assert queue.has_ended("j1", 7)
    assert not queue.has_ended("j1", 8)
    queue.expire(462.0)
    assert not queue.has_ended("j1", 7)


def test_rest_of_a_removal_deletes_no_row_of_a_job_submitted_since():
    """Guards against an accepted job that is lost after a takeover.

    The row of the new job arrives after the first commit of the new owner, for instance
    since the feed of jobs is broken off.
    """
    site = Site()
    former = ServiceDriver(site, 1)
    _run_to_its_end(site, former, "j1")
    _remove_job_row(site, "j1")
    successor = ServiceDriver(site, 2)
    site.submit("j1", make_step(1))
    successor.commit()
    assert [row.key for row in _read_all_jobs(site)] == ["j1"]


def _locations(site):
    purpose = StorePurpose.JOBS
    return read_all_parts(site.tables, JOB_LOCATIONS_TABLE, purpose=purpose).rows


def test_location_is_removed_with_its_job():
    """Guards against a row that stays for each job that ever ran."""
    site = Site()
    owner = ServiceDriver(site, 1)
    _run_to_its_end(site, owner, "j1")
    assert len(_locations(site)) == 1
    site.advance(200.0)
    owner.run_steps(3)
    assert not _locations(site)


def test_location_of_an_ended_job_is_removed_after_a_takeover():
    """Guards against rows that stay because only their former owner knew of them."""
    site = Site()
    _run_to_its_end(site, ServiceDriver(site, 1), "j1")
    successor = ServiceDriver(site, 2)
    site.advance(200.0)
    successor.run_steps(3)
    assert not _locations(site)
    assert not _read_all_jobs(site)


@pytest.mark.parametrize("is_taken_over", [False, True])
def test_closed_location_is_kept_for_the_retention_and_then_removed(is_taken_over):
    """Guards against cancellations that fill the store, and against one that is
    forgotten while the submission may still be in flight.
    """
    site = Site()
    owner = ServiceDriver(site, 1)
    site.close_location("j1")
    owner.run_steps(1)
    if is_taken_over:
        owner = ServiceDriver(site, 2)
    site.advance(100.0)
    owner.run_steps(3)
    assert len(_locations(site)) == len(_read_all_jobs(site)) == 1
    site.advance(100.0)
    owner.run_steps(3)
    assert not _locations(site)
    assert not _read_all_jobs(site)


def test_location_that_is_closed_again_is_kept_from_then():
    """Guards against a promise that ends with the retention of a former one."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.close_location("j1")
    owner.run_steps(1)
    site.advance(100.0)
    site.close_location("j1")
    owner.run_steps(1)
    site.advance(100.0)
    owner.run_steps(3)
    assert len(_locations(site)) == 1
    site.advance(100.0)
    owner.run_steps(3)
    assert not _locations(site)


def test_location_that_is_closed_again_during_its_removal_is_kept():
    """Guards against a removal that deletes a later cancellation."""
    site = Site()
    owner = ServiceDriver(site, 1)
    site.close_location("j1")
    owner.run_steps(1)
    site.advance(200.0)
    owner.scheduler.tick(site.clock.monotonic_s(), site.now_ms)
    site.close_location("j1")
    owner.run_steps(3)
    assert len(_locations(site)) == 1


def test_job_of_a_former_release_is_removed_from_its_part():
    """Guards against a row that stays without its progress, and whose job is run again
    after the next takeover.
    """
    site = Site()
    owner = ServiceDriver(site, 1)
    row = JobRow(make_queue(), JobSpec("j1", (make_step(1),)), site.now_ms)
    put = Put(JOBS, "j1", encode_row(row), f"{SERVICE}/7")
    site.tables.transact((), (put,), purpose=StorePurpose.JOBS)
    owner.run_steps(3)
    for worker in site.workers.values():
        worker.finish_all()
    owner.run_steps(3)
    site.advance(200.0)
    owner.run_steps(3)
    assert not _read_all_jobs(site)
