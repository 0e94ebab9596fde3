"""Tests of the owner's decision on refusals."""

import pytest

from standins.service_driver import (
    make_fleet,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.scheduling.admission_report import (
    ARRIVAL_WINDOW_S,
    SHARE_MAX,
    AdmissionReport,
    Arrival,
    Backlog,
    Outlook,
    excess_shares,
    job_work,
    refused_shares,
    usable_capacity,
    waiting_work,
)
from sycamorecroft.scheduling.admission_reporter import (
    EFFECT_DELAY_S,
    AdmissionReporter,
    SharesInForce,
)
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec, Resources
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.tasks import Run
from sycamorecroft.scheduling.workers import Worker

CAPACITY = Resources(4000, 8000, 0)
# One job occupies all of CAPACITY for a second.
WORK = (4000.0, 4000.0, 0.0)


def _arrivals(count, account="south", *, is_excess=True, priority=0, sent_count=1.0):
    return [Arrival(0.0, account, priority, is_excess, WORK, 4.0, sent_count)] * count


def _job(*steps, account="south", is_excess=True, job_id="job"):
    row = JobRow(make_queue(), JobSpec("", steps), 0, account)
    job = Job(job_id, row, 0.0, 0)
    job.is_excess = is_excess
    job.start_occurrence(0.0)
    return job


def test_account_without_excess_jobs_has_no_excess_share():
    """Guards against refusals of an account whose jobs come in late and at once."""
    arrivals = _arrivals(50, is_excess=False) + _arrivals(50, "unknown")
    assert excess_shares(arrivals, {"south": 1.0}) == {}


@pytest.mark.parametrize(("weight", "count", "share"), [(1, 30, 0.9), (4, 3, 0.0)])
def test_share_leaves_the_rate_and_one_burst(weight, count, share):
    """Guards against a refusal of more than the excess."""
    assert excess_shares(_arrivals(count), {"south": weight}) == {"south": share}


def test_refused_submissions_count_as_sent():
    """Guards against refusals that end since they have an effect."""
    arrivals = _arrivals(3, sent_count=10.0)
    assert excess_shares(arrivals, {"south": 1.0}) == {"south": 0.9}


def test_nothing_is_refused_while_nothing_waits():
    """Guards against refusals while there are free resources."""
    arrivals, excess = _arrivals(30), {"south": 0.9}
    outlook = Outlook(CAPACITY, [], arrivals, excess)
    assert refused_shares(arrivals, outlook, excess) == {}


def test_only_what_cannot_be_served_is_refused():
    """Guards against refusals of jobs that would end in time, and against admission of
    jobs that would not.
    """
    arrivals, excess = _arrivals(4), {"south": 0.5}
    shares = []
    for count in (1, 2, 3, 4, 10):
        outlook = Outlook(CAPACITY, [Backlog(0, WORK)] * count, arrivals, excess)
        assert outlook.wait_s(0) == count
        shares.append(refused_shares(arrivals, outlook, excess).get("south", 0.0))
    assert shares == [0.0, 0.0, 0.0, 0.5, 0.5]


def test_jobs_of_less_urgent_queues_are_not_ahead():
    """Guards against a refusal of urgent jobs for the backlog of others."""
    backlog = [Backlog(1, WORK)] * 50
    arrivals = _arrivals(30) + _arrivals(30, "north", priority=1)
    excess = {"south": 0.9, "north": 0.9}
    outlook = Outlook(CAPACITY, backlog, arrivals, excess)
    assert outlook.wait_s(0) == 0
    assert set(refused_shares(arrivals, outlook, excess)) == {"north"}


def test_jobs_are_not_refused_for_a_resource_that_they_do_not_need():
    """Guards against a refusal of jobs that would end in time, while others flood the
    GPUs.
    """
    capacity, work = Resources(4000, 8000, 1), (100.0, 100.0, 1.0)
    flood = [Arrival(0.0, "south", 0, True, work, 4.0, 1.0)] * 40
    small = [Arrival(0.0, "north", 0, True, (100.0, 100.0, 0.0), 4.0, 1.0)] * 10
    excess = {"south": 0.9, "north": 0.5}
    arrivals = flood + small
    outlook = Outlook(capacity, [Backlog(0, work)] * 20, arrivals, excess)
    assert refused_shares(arrivals, outlook, excess) == {"south": 0.9}


def test_capacity_that_others_take_is_not_left():
    """Guards against jobs that are admitted for capacity which others use."""
    others = _arrivals(int(ARRIVAL_WINDOW_S), "north", is_excess=False)
    outlook = Outlook(CAPACITY, [Backlog(0, WORK)], others, {})
    assert outlook.wait_s(0) > 50
    no_workers = Outlook(Resources(), [Backlog(0, WORK)], (), {})
    assert no_workers.wait_s(0) == no_workers.wait_s(9)


def test_work_of_later_steps_counts_once():
    """Guards against an expected wait that leaves out what a job will still do."""
    steps = (make_step(2), make_step(3, after=(0,)), make_step(1, after=(1,)))
    job = _job(*steps)
    assert waiting_work(job, 0.2) == pytest.approx(job_work(job.spec, 0.2))
    assert waiting_work(job, 0.2)[0] == pytest.approx(6000)
    first = next(iter(job.tasks.values()))
    first.run = Run(first, 1, "w0", 1, 0.0)
    assert waiting_work(job, 0.2)[0] == pytest.approx(5000)


def test_long_running_tasks_and_closed_workers_leave_no_capacity():
    """Guards against a wait that counts on capacity which never gets free."""
    worker, silent = (Worker(make_registration(name), 9.0) for name in ("w0", "w1"))
    worker.last_contact_s = 0.0
    task = next(iter(_job(make_step(is_long_running=True)).tasks.values()))
    worker.add(Run(task, 1, "w0", 1, 0.0))
    assert usable_capacity([worker, silent], 0.0) == Resources(7000, 63900, 0)


def test_lowest_share_of_the_time_of_effect_counts():
    """Guards against an account that seems to send more, since it isn't refused yet or
    not any more.
    """
    in_force = SharesInForce()
    assert in_force.lowest("south") == 0
    for at_s, share in ((0.0, 0.0), (0.25, 0.9), (0.5, 0.9)):
        in_force.record(AdmissionReport(at_s, 1, {"south": share}), at_s)
    assert in_force.lowest("south") == 0
    now_s = 0.8 + EFFECT_DELAY_S
    in_force.record(AdmissionReport(0.5, 1, {"south": 0.9}), now_s)
    assert in_force.lowest("south") == 0.9
    # The store was unavailable, so that the report is no longer in force.
    in_force.record(AdmissionReport(0.5, 1, {"south": 0.9}), 2.5)
    assert in_force.lowest("south") == 0


def test_share_below_one_always_admits_some():
    """Guards against an account that is refused for ever, as nothing of it is seen."""
    arrivals, excess = _arrivals(9), {"south": 1.0}
    outlook = Outlook(CAPACITY, [Backlog(0, WORK)] * 99, arrivals, excess)
    assert refused_shares(arrivals, outlook, excess) == {"south": SHARE_MAX}


def test_arrivals_count_more_only_while_a_share_is_surely_refused():
    """Guards against an account that seems to send many times what it does, since it
    isn't refused any more and the owner doesn't know yet that its report is stored.
    """
    accounts = {account.name: account for account in make_fleet(south=1.0).accounts}
    reporter = AdmissionReporter("rating", 1, JobRanking())
    jobs = [_job(make_step(8), job_id=f"job{number}") for number in range(30)]
    for job in jobs:
        reporter.record_arrival(job, 0.0)
    stored = None
    for at_s in (0.0, 0.3, 0.6, 0.9, 1.2):
        stored = reporter.report(lambda: jobs, [], accounts, stored, at_s)
    reporter.record_arrival(jobs[0], 1.2)
    assert reporter._arrivals[-1].sent_count > 2
    assert not reporter.report(list, [], accounts, stored, 1.5).shares
    reporter.record_arrival(jobs[0], 1.5)
    assert reporter._arrivals[-1].sent_count == 1


def test_report_ends_when_accounts_are_removed():
    """Guards against refusals by a configuration that is no longer in force."""
    accounts = {account.name: account for account in make_fleet(south=1.0).accounts}
    reporter = AdmissionReporter("rating", 1, JobRanking())
    jobs = [_job(make_step(8), job_id=f"job{number}") for number in range(30)]
    for job in jobs:
        reporter.record_arrival(job, 0.0)
    assert reporter.report(lambda: jobs, [], accounts, None, 0.1).shares["south"] > 0.5
    assert not reporter.report(list, [], None, None, 0.2).shares
