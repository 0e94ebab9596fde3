"""Tests of the number of jobs that wait for their first start, as it is stored."""

import pytest

from standins.service_driver import SERVICE, ServiceDriver, Site, make_step
from sycamorecroft.ownership.rows import PENDING_TABLE
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.rows import JobState
from sycamorecroft.store.interfaces import Put, StorePurpose

QUEUE = "queue-0"
# An accepted job that hasn't begun has to be counted 5 s later.
COUNTED_STEPS_COUNT = 25


def _pending_count(site):
    row = site.tables.row(PENDING_TABLE, QUEUE, SERVICE)
    return int(row.value) if row else 0


def _counts_of_steps(site, owner, steps_count):
    """Returns the stored count after each of the owner's steps."""
    counts = []
    for _ in range(steps_count):
        owner.run_steps(1)
        counts.append(_pending_count(site))
    return counts


def test_job_whose_start_is_not_answered_is_pending():
    """Guards against jobs that wait for a silent worker and count as begun."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    site.workers["w0"].is_unreachable = True
    site.submit("j1", make_step(1))
    site.submit("j2", make_step(1))
    owner.run_steps(COUNTED_STEPS_COUNT)
    assert _pending_count(site) == 2
    site.workers["w0"].is_unreachable = False
    owner.run_steps(COUNTED_STEPS_COUNT)
    assert site.workers["w0"].running
    assert _pending_count(site) == 0


def test_job_that_has_begun_is_not_pending_while_it_runs_or_waits_again():
    """Guards against jobs that count as pending once a task of them has failed."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(COUNTED_STEPS_COUNT)
    assert _pending_count(site) == 0
    site.workers["w0"].finish_all(RunOutcome.FAILED)
    owner.run_steps(1)
    site.workers["w0"].is_unreachable = True
    owner.run_steps(COUNTED_STEPS_COUNT)
    assert _pending_count(site) == 0


def test_unbegun_job_of_a_former_owner_is_pending():
    """Guards against jobs that wait for a silent worker and leave with their owner."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    site.workers["w0"].is_unreachable = True
    site.submit("j1", make_step(1))
    owner.run_steps(2)
    successor = ServiceDriver(site, 2, former_lease_s=20.0)
    successor.run_steps(COUNTED_STEPS_COUNT)
    assert _pending_count(site) == 1


def test_running_job_of_a_former_owner_is_not_pending():
    """Guards against running jobs that count as pending after a takeover."""
    site = Site(workers_count=1)
    former = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    former.run_steps(4)
    successor = ServiceDriver(site, 2)
    successor.run_steps(COUNTED_STEPS_COUNT)
    assert site.started_count("j1.0.0.0") == 1
    assert _pending_count(site) == 0


@pytest.mark.parametrize("clock_ahead_ms", [0, 60_000])
def test_successor_counts_unbegun_jobs_from_its_first_count_on(clock_ahead_ms):
    """Guards against jobs that count as begun after a takeover, since their assignment
    to a silent worker was read again.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    site.workers["w0"].is_unreachable = True
    site.submit("j1", make_step(1), clock_ahead_ms=clock_ahead_ms)
    site.submit("j2", make_step(1), clock_ahead_ms=clock_ahead_ms)
    owner.run_steps(COUNTED_STEPS_COUNT)
    successor = ServiceDriver(site, 2, former_lease_s=20.0)
    counts = _counts_of_steps(site, successor, COUNTED_STEPS_COUNT)
    assert counts == [2] * COUNTED_STEPS_COUNT


def test_job_that_gets_a_silent_worker_late_stays_pending():
    """Guards against a job that waits for its first worker, and leaves the count for a
    second once it has one that is silent.
    """
    site = Site(workers_count=1)
    registration = site.registrations.pop("w0")
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(COUNTED_STEPS_COUNT)
    site.registrations["w0"] = registration
    worker = site.workers["w0"]
    site.on_orders = lambda: setattr(worker, "is_unreachable", True)
    counts = _counts_of_steps(site, owner, COUNTED_STEPS_COUNT)
    assert owner.scheduler.jobs["j1"].runs()
    assert counts == [1] * COUNTED_STEPS_COUNT


def test_begun_job_of_a_former_owner_is_not_pending_while_its_worker_is_silent():
    """Guards against a begun job that counts as pending after a takeover, until its
    worker answers again.
    """
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(COUNTED_STEPS_COUNT)
    site.workers["w0"].is_unreachable = True
    successor = ServiceDriver(site, 2, former_lease_s=20.0)
    counts = _counts_of_steps(site, successor, COUNTED_STEPS_COUNT)
    assert counts == [0] * COUNTED_STEPS_COUNT


def test_count_that_a_former_owner_left_behind_is_replaced():
    """Guards against a count that stays after a takeover, since the job that it counts
    has ended in the former owner's last commit.
    """
    site = Site(workers_count=0)
    owner = ServiceDriver(site, 1)
    site.submit("j1", make_step(1))
    owner.run_steps(1)
    site.cancel("j1")
    owner.run_steps(1)
    assert site.state("j1") is JobState.CANCELLED
    assert _pending_count(site) == 1
    successor = ServiceDriver(site, 2)
    successor.run_steps(COUNTED_STEPS_COUNT)
    assert _pending_count(site) == 0


def test_malformed_count_is_replaced():
    """Guards against a row that can't be decoded, which stays after a takeover."""
    site = Site(workers_count=1)
    put = Put(PENDING_TABLE, QUEUE, b"\xff", SERVICE)
    site.tables.transact((), (put,), purpose=StorePurpose.JOBS)
    owner = ServiceDriver(site, 1)
    owner.run_steps(1)
    assert _pending_count(site) == 0


def test_job_whose_lapsed_run_is_reported_late_is_not_pending():
    """Guards against a job that counts as pending though its first run, whose start got
    no answer, is reported after another one was ordered.
    """
    site = Site(workers_count=2)
    owner = ServiceDriver(site, 1)
    owner.run_steps(2)
    first, second = site.workers.values()
    registration = site.registrations.pop("w1")
    first.loses_responses = True
    site.submit("j1", make_step(1))
    owner.run_steps(1)
    assert first.started
    first.is_unreachable = True
    first.finish_all(RunOutcome.EXPIRED)
    owner.run_steps(2 * COUNTED_STEPS_COUNT)
    site.registrations["w1"] = registration
    site.on_orders = lambda: setattr(second, "is_unreachable", True)
    owner.run_steps(COUNTED_STEPS_COUNT)
    assert owner.scheduler.jobs["j1"].runs()[0].worker_id == "w1"
    assert _pending_count(site) == 1
    first.is_unreachable = False
    owner.run_steps(COUNTED_STEPS_COUNT)
    assert _pending_count(site) == 0
