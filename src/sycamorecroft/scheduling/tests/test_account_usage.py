"""Tests of the resources that an account's runs use."""

from standins.service_driver import make_queue, make_step
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec, Resources
from sycamorecroft.scheduling.rows import (
    JobRow,
    JobState,
    ProgressRow,
    TaskProgress,
    decode_row,
    encode_row,
)
from sycamorecroft.scheduling.tasks import Run, RunPhase

DEMAND = make_step().demand


def _job(usage: AccountUsage) -> Job:
    row = JobRow(make_queue(), JobSpec("text", (make_step(2),)), 0, "north")
    return Job("j", row, 0.0, 0, usage=usage)


def test_usage_follows_the_runs_of_an_account():
    """Guards against a run that is counted twice, or still after its end."""
    usage = AccountUsage()
    job = _job(usage)
    job.start_occurrence(0.0)
    first, second = job.tasks.values()
    first.run = Run(first, "w1", 1, RunPhase.COMMITTING, 0.0)
    second.run = Run(second, "w1", 1, RunPhase.COMMITTING, 0.0)
    assert usage.used("north") == DEMAND.plus(DEMAND)
    first.run = None
    first.run = None
    assert usage.used("north") == DEMAND
    second.run = None
    assert usage.used("north") == Resources()
    assert usage.accounts() == []


def test_stored_runs_count_for_a_new_owner():
    """Guards against an owner that forgets what a former one has started."""
    usage = AccountUsage()
    job = _job(usage)
    started = TaskProgress(0, 0, 1, 1, worker_id="w1", incarnation_ms=1)
    job.restore(ProgressRow(JobState.RUNNING, 0, (started,)), 0.0)
    assert usage.used("north") == DEMAND


def test_rows_from_before_accounts_have_none():
    """Guards against jobs that a release without accounts stored and this one loses."""
    row = JobRow(make_queue(), JobSpec("text", (make_step(),)), 0, "north")
    former = encode_row(row[:3])
    assert decode_row(former, JobRow) == row._replace(account="")
