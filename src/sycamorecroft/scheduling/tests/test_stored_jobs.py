"""Tests of rows of jobs that can't be used."""

import pytest

from standins.service_driver import (
    JOBS,
    PROGRESS,
    SERVICE,
    ServiceDriver,
    Site,
    make_step,
)
from sycamorecroft.scheduling.rows import (
    JobState,
    ProgressRow,
    TaskProgress,
    encode_row,
)
from sycamorecroft.store.interfaces import Put, StorePurpose
from sycamorecroft.store.table_part import read_all_parts


def _store_progress(site, job_id, value):
    put = Put(PROGRESS, job_id, value, SERVICE)
    site.tables.transact((), (put,), purpose=StorePurpose.JOBS)


def _progress_of_another_shape():
    """Progress of a task that the job doesn't have."""
    task = TaskProgress(0, 7, 0, 1)
    return encode_row(ProgressRow(JobState.RUNNING, 1, (task,)))


@pytest.mark.parametrize(
    "value", [b"\xff{", _progress_of_another_shape()], ids=["malformed", "other tasks"]
)
def test_job_with_unusable_progress_is_not_run_again(value):
    """Guards against a second run of a done task, and against a service that can't be
    taken over, because the progress of one job can't be applied.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1), make_step(1, after=(0,)))
    owner.run_steps(3)
    site.workers["w0"].finish_all()
    owner.run_steps(1)
    _store_progress(site, "j1", value)
    successor = ServiceDriver(site, 2)
    site.submit("j2", make_step(1))
    successor.run_steps(3)
    rows = read_all_parts(site.tables, JOBS, purpose=StorePurpose.JOBS).rows
    successor.scheduler.apply_job_rows(rows, site.clock.monotonic_s(), site.now_ms)
    successor.run_steps(3)
    assert site.started_count("j1.0.0.0") == 1
    assert site.started_count("j2.0.0.0") == 1


def test_submission_that_cannot_be_applied_does_not_hide_the_next_ones():
    """Guards against accepted jobs that never start because of the row of another."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j0", make_step(1, after=(5,)))
    site.submit("j1", make_step(1))
    owner.run_steps(3)
    assert site.started_count("j1.0.0.0") == 1
