"""Tests of the states of jobs, as they are stored for callers."""

from standins.service_driver import ServiceDriver, Site, make_step
from sycamorecroft.scheduling.rows import JobState

# A change has to be shown 3 s later.
SHOWN_STEPS_COUNT = 15


def test_job_is_shown_as_queued_until_a_run_is_known_to_have_begun():
    """Guards against a job that is shown as running while its worker is silent and has
    started nothing.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    worker = site.workers["w0"]
    worker.is_unreachable = True
    site.submit("j1", make_step(1))
    for _ in range(SHOWN_STEPS_COUNT):
        owner.run_steps(1)
        assert site.state("j1") is JobState.QUEUED
    assert owner.scheduler.jobs["j1"].runs()
    worker.is_unreachable = False
    owner.run_steps(2 * SHOWN_STEPS_COUNT)
    assert worker.running
    assert site.state("j1") is JobState.RUNNING


def test_successor_shows_job_as_running_only_once_a_run_has_begun():
    """Guards against a takeover after which a job that has a silent worker is shown as
    running.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    site.workers["w0"].is_unreachable = True
    site.submit("j1", make_step(1))
    owner.run_steps(2)
    successor = ServiceDriver(site, 2, former_lease_s=20.0)
    successor.run_steps(SHOWN_STEPS_COUNT)
    assert site.state("j1") is JobState.QUEUED


def test_job_of_one_long_task_is_shown_as_running_while_it_runs():
    """Guards against a job that is shown as queued until its first task ends."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(SHOWN_STEPS_COUNT)
    assert site.workers["w0"].running
    assert site.state("j1") is JobState.RUNNING
    written_count = site.tables.transactions_count
    owner.run_steps(SHOWN_STEPS_COUNT)
    assert site.tables.transactions_count == written_count
