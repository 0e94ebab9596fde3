"""Tests of the resources that an account's runs use."""

import pytest

from standins.service_driver import (
    SERVICE,
    ServiceDriver,
    Site,
    make_queue,
    make_step,
)
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import FleetSnapshot, JobSpec, Resources
from sycamorecroft.scheduling.rows import (
    JobRow,
    JobState,
    ProgressRow,
    TaskProgress,
    decode_row,
    encode_row,
    progress_table,
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


def test_rows_without_account_are_those_of_releases_without_accounts():
    """Guards against rows that former releases refuse, and sites without accounts that
    store more bytes.
    """
    job = JobRow(make_queue(), JobSpec("text", (make_step(),)), 0)
    assert encode_row(job) == encode_row(tuple(job[:3]))
    progress = ProgressRow(JobState.RUNNING, 1)
    assert encode_row(progress) == b'["running",1,[]]'


@pytest.mark.parametrize("account", [None, "", "north"])
def test_progress_keeps_what_is_known_of_the_account(account):
    """Guards against progress that says of a job with an account that it has none."""
    progress = ProgressRow(JobState.RUNNING, 1, account=account)
    assert decode_row(encode_row(progress), ProgressRow) == progress


def _committed_account(account, *, has_accounts):
    site = Site()
    site.submit("j1", make_step(), account=account)
    driver = ServiceDriver(site, 1)
    fleet = FleetSnapshot(1, (), (), 0, 0, accounts=() if has_accounts else None)
    driver.scheduler.apply_fleet(fleet)
    driver.step()
    row = site.tables.row(progress_table(SERVICE), "j1", SERVICE)
    return decode_row(row.value, ProgressRow).account


@pytest.mark.parametrize(
    ("account", "has_accounts", "stored"),
    [("north", True, "north"), ("", True, ""), ("north", False, "north")],
)
def test_owner_stores_the_account_with_the_progress(account, has_accounts, stored):
    """Guards against a read of the job's row for each state of a job."""
    assert _committed_account(account, has_accounts=has_accounts) == stored


def test_owner_of_a_site_without_accounts_stores_none():
    """Guards against sites without client accounts whose rows grow."""
    assert _committed_account("", has_accounts=False) is None
