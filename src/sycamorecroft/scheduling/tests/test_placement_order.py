"""Tests of the order in which accounts' jobs are placed, named by load pattern."""

import pytest

from standins.service_driver import (
    SERVICE,
    ServiceDriver,
    Site,
    make_fleet,
    make_placer,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.scheduling.account_rates import account_weights
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.fair_shares import due_shares
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec, Resources
from sycamorecroft.scheduling.placement_order import FairOrder
from sycamorecroft.scheduling.rows import JobRow, JobState
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker


class _Service:
    """Workers of 8 cores and jobs of accounts, placed at times that a test sets."""

    def __init__(self, workers_count, **weights):
        self.now_s = 100.0
        self.workers = {
            f"w{n}": Worker(make_registration(f"w{n}", rack=f"r{n}"), 0.0)
            for n in range(workers_count)
        }
        self.usage = AccountUsage()
        self.waiting = WaitingJobs()
        self.jobs = {}
        accounts = {a.name: a for a in make_fleet(**weights).accounts}
        ranking = JobRanking()
        ranking.has_accounts = True
        order = FairOrder(SERVICE, 1, ranking, self.usage, NullRecorder())
        order.apply_weights(account_weights(accounts))
        self.placer = make_placer(self.workers)
        self.placer.order = order

    def submit(self, job_id, step, account, *, age_s=0.0, **queue):
        accepted_ms = int((self.now_s - age_s) * 1000)
        row = JobRow(make_queue(**queue), JobSpec("", (step,)), accepted_ms, account)
        now_ms = int(self.now_s * 1000)
        job = Job(job_id, row, self.now_s, now_ms, usage=self.usage)
        job.start_due_occurrences(self.now_s, now_ms)
        self.jobs[job_id] = job
        self.waiting.add(job)

    def place(self, after_s=0.0):
        self.now_s += after_s
        for worker in self.workers.values():
            worker.last_contact_s = self.now_s
        self.placer.place(self.waiting, self.now_s)

    def end_runs(self, count, job_id=""):
        """Ends runs, the oldest first, and places after each."""
        for _ in range(count):
            runs = [
                run
                for job in self.jobs.values()
                if job.id.startswith(job_id)
                for run in job.runs()
            ]
            if not runs:
                return
            run = min(runs, key=lambda run: run.assigned_s)
            self.workers[run.worker_id].remove(run)
            run.task.run = None
            run.task.is_done = True
            self.waiting.add(run.task.job)
            self.place(0.05)

    def cores(self, account):
        return self.usage.allocated(account).cpu_millicores / 1000

    def running(self, job_id):
        return len(self.jobs[job_id].runs())


def test_what_an_account_leaves_goes_to_others():
    """Guards against capacity that is kept for an account that doesn't need it."""
    capacity = Resources(100, 100, 0)
    needs = {
        "north": Resources(10, 1, 0),
        "south": Resources(500, 5, 0),
        "west": Resources(500, 5, 0),
    }
    weights = {"north": 8.0, "south": 2.0, "west": 1.0}
    due = due_shares(needs, weights, capacity)
    assert due == pytest.approx({"north": 0.1, "south": 0.6, "west": 0.3})


def test_shares_of_accounts_with_different_dominant_resources():
    """Guards against shares of processors alone; example of Ghodsi et al. (2011)."""
    needs = {"north": Resources(1000, 4000, 0), "south": Resources(3000, 1000, 0)}
    due = due_shares(needs, {"north": 1.0, "south": 1.0}, Resources(9, 18, 0))
    assert due == pytest.approx({"north": 2 / 3, "south": 2 / 3})


def test_account_over_its_share_waits_for_the_others():
    """Guards against an account that gets its turns by earlier objectives alone."""
    service = _Service(4, north=1.0, south=1.0)
    for number in range(8):
        service.submit(f"n{number}", make_step(8), "north", age_s=0.5)
        service.submit(f"s{number}", make_step(8), "south")
    service.place()
    assert service.cores("north") == service.cores("south") == 16


def test_single_account_uses_everything():
    """Guards against capacity that a share leaves unused."""
    service = _Service(4, north=1.0, south=99.0)
    for number in range(8):
        service.submit(f"n{number}", make_step(8), "north")
    service.place()
    assert service.cores("north") == 32


def test_step_wider_than_the_share_is_placed_whole():
    """Guards against a small account whose job gets one task at a time."""
    service = _Service(10, north=99.0, south=1.0)
    for number in range(30):
        service.submit(f"n{number}", make_step(8), "north", age_s=0.5)
    service.submit("s1", make_step(8), "south")
    service.submit("s2", make_step(8), "south")
    service.place()
    assert service.running("s1") == 8
    assert service.running("s2") == 0
    # The second one follows once the first has ended.
    service.end_runs(8, "s1")
    service.end_runs(8, "n")
    assert service.running("s2") == 8


def test_job_of_many_tasks_does_not_take_the_service():
    """Guards against one job that counts once for the rate and holds everything."""
    service = _Service(10, north=1.0, south=1.0)
    service.submit("n", make_step(500), "north", age_s=0.5)
    for number in range(20):
        service.submit(f"s{number}", make_step(8), "south")
    service.place()
    assert service.cores("north") <= 40 + 8
    assert service.cores("south") >= 32


def test_gang_wider_than_the_share_runs_alone():
    """Guards against a gang that never fits into its account's share."""
    service = _Service(4, north=99.0, south=1.0)
    service.submit("s", make_step(6, is_gang=True), "south", age_s=0.5)
    for number in range(30):
        service.submit(f"n{number}", make_step(8), "north")
    service.place()
    assert service.running("s") == 6


def test_more_urgent_queue_goes_first_whatever_the_shares():
    """Guards against shares that come before the priority of queues."""
    service = _Service(2, north=1.0, south=99.0)
    service.submit("n", make_step(16), "north", priority=0)
    service.submit("s", make_step(16), "south", priority=1)
    service.place()
    assert service.running("n") == 16


def test_rack_dark():
    """Guards against runs on lost workers that count against what is left."""
    service = _Service(4, north=1.0, south=1.0)
    for number in range(2):
        service.submit(f"n{number}", make_step(8), "north")
    service.place()
    lost = {run.worker_id for job in service.jobs.values() for run in job.runs()}
    for number in range(2, 6):
        service.submit(f"n{number}", make_step(8), "north")
        service.submit(f"s{number}", make_step(8), "south", age_s=0.5)
    for name in lost:
        service.workers[name].is_registered = False
    service.place()
    assert service.cores("south") == 8
    assert service.cores("north") == 16 + 8


def test_best_effort_tasks_count_without_processors():
    """Guards against an account that pays for processor time it gives way with."""
    service = _Service(2, north=1.0, south=1.0)
    service.submit("n", make_step(16, is_best_effort=True), "north")
    service.place()
    service.submit("n1", make_step(8), "north", age_s=0.1)
    for number in range(2):
        service.submit(f"s{number}", make_step(8), "south", age_s=0.5)
    service.place()
    assert service.running("n1") == 8


def test_large_task_beside_small_ones():
    """Guards against a large task that is passed over each time a small one fits."""
    service = _Service(3, north=1.0, south=1.0)
    for number in range(60):
        service.submit(f"n{number}", make_step(4), "north", age_s=0.5)
    service.place()
    service.submit("s", make_step(1, 7000), "south")
    service.end_runs(4, "n")
    assert not service.running("s")
    service.now_s += 0.8
    service.end_runs(20, "n")
    assert service.running("s")


def test_large_gang_beside_small_tasks():
    """Guards against a gang that waits for room on several workers for ever."""
    service = _Service(3, north=1.0, south=1.0)
    for number in range(80):
        service.submit(f"n{number}", make_step(4), "north", age_s=0.5)
    service.place()
    service.submit("s", make_step(2, 7000, is_gang=True), "south")
    service.now_s += 1.0
    service.end_runs(40, "n")
    assert service.running("s") == 2


def test_held_worker_is_released_when_the_job_ends():
    """Guards against workers that idle for a job that was cancelled."""
    service = _Service(2, north=1.0, south=1.0)
    for number in range(40):
        service.submit(f"n{number}", make_step(4), "north", age_s=0.5)
    service.place()
    service.submit("s", make_step(1, 7000), "south", age_s=1.5)
    service.end_runs(3, "n")
    assert len(service.placer.order.held()) == 1
    service.jobs["s"].state = JobState.CANCELLED
    service.end_runs(1, "n")
    assert not service.placer.order.held()
    assert not any(worker.free.cpu_millicores for worker in service.workers.values())


def test_worker_with_a_long_running_task_is_not_held_in_vain():
    """Guards against a hold on a worker that will never have enough room."""
    service = _Service(2, north=1.0, south=1.0)
    service.submit("l", make_step(1, 2000, is_long_running=True), "north")
    service.place()
    kept = service.jobs["l"].runs()[0].worker_id
    for number in range(40):
        service.submit(f"n{number}", make_step(4), "north", age_s=0.5)
    service.place()
    service.submit("s", make_step(1, 7000), "south", age_s=1.5)
    service.end_runs(3, "n")
    (held,) = service.placer.order.held()
    assert held != kept


def test_configuration_loses_its_accounts():
    """Guards against shares and rates that outlive the accounts."""
    site = Site(workers_count=1)
    owner = ServiceDriver(site, 1, fleet=make_fleet(north=1.0))
    for number in range(4):
        site.submit(f"j{number}", make_step(4), account="north")
    owner.step()
    assert any(job.is_excess for job in owner.scheduler.jobs.values())
    owner.scheduler.apply_fleet(make_fleet()._replace(accounts=None))
    site.submit("j9", make_step(1), account="north")
    owner.step()
    job = owner.scheduler.jobs["j9"]
    assert not job.is_excess
    assert len(owner.scheduler._ranking.rank(job, 100.0)) == 5
