"""Tests of tasks that run only together."""

from standins.service_driver import (
    SERVICE,
    ServiceDriver,
    Site,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.ownership.rows import PENDING_TABLE
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.rows import JobState


def test_gang_starts_all_members_or_none():
    """Guards against gang members that occupy capacity while they wait for others."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(3, 6000, is_gang=True))
    owner.run_steps(3)
    assert not any(worker.running for worker in site.workers.values())
    site.workers["w2"] = type(site.workers["w0"])()
    site.registrations["w2"] = make_registration("w2")
    owner.run_steps(3)
    attempts = [a for w in site.workers.values() for a in w.running.values()]
    assert attempts == [1, 1, 1]


def test_gang_that_fits_only_in_part_stays_pending():
    """Guards against a count of pending jobs without those that haven't begun."""
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(3, 6000, is_gang=True))
    owner.run_steps(6)
    queue_name = make_queue().name
    assert site.tables.row(PENDING_TABLE, queue_name, SERVICE).value == b"1"
    assert site.state("j1") in (None, JobState.QUEUED)
    written_count = site.tables.transactions_count
    owner.run_steps(6)
    assert site.tables.transactions_count == written_count
    site.workers["w2"] = type(site.workers["w0"])()
    site.registrations["w2"] = make_registration("w2")
    owner.run_steps(6)
    assert site.tables.row(PENDING_TABLE, queue_name, SERVICE).value == b"0"
    assert site.state("j1") is JobState.RUNNING


def test_gang_that_fits_only_in_part_keeps_its_attempt_number():
    """Guards against members of a gang with different attempt numbers."""
    site = Site(workers_count=3)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(3, 6000, is_gang=True), queue=make_queue())
    owner.run_steps(3)
    for worker in site.workers.values():
        worker.finish_all(RunOutcome.FAILED)
    del site.registrations["w2"]
    owner.run_steps(3)
    tasks = owner.scheduler.jobs["j1"].tasks.values()
    assert [task.attempt for task in tasks] == [1, 1, 1]
    site.registrations["w2"] = make_registration("w2")
    owner.run_steps(9)
    attempts = [a for w in site.workers.values() for a in w.running.values()]
    assert attempts == [2, 2, 2]
