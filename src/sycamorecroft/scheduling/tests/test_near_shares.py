"""Tests of waits for workers near the data beside shares of client accounts.

Workers have eight cores; w0 is on the rack r0, all others on r1. Tasks take 0.8 s by
estimate, and three times as long far from their data.
"""

from typing import NamedTuple

import pytest

from standins.service_driver import (
    SERVICE,
    make_fleet,
    make_placer,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.scheduling.account_rates import account_weights
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.near_placement import NearPlacement
from sycamorecroft.scheduling.near_wait import decide_wait
from sycamorecroft.scheduling.placement_order import FairOrder
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker

NEAR_RACK = "r0"
CORES_COUNT = 8


class _Decided(NamedTuple):
    """A decision on a task: by how much longer it takes far, and its start near."""

    extra_s: float
    near_start_s: float


class _Service:
    """Jobs of the accounts north and south, of equal weight.

    :ivar decided: the decisions on waits, in their order.
    """

    def __init__(self, workers_count):
        self.now_s = 100.0
        self.workers = {}
        for number in range(workers_count):
            rack = "r1" if number else NEAR_RACK
            worker = Worker(make_registration(f"w{number}", rack=rack), 0.0)
            self.workers[worker.id] = worker
        self.usage = AccountUsage()
        self.waiting = WaitingJobs()
        self.jobs = {}
        self.decided = []
        ranking = JobRanking()
        ranking.has_accounts = True
        durations = RunDurations(3.0)
        self.near = NearPlacement(
            SERVICE, 1, self.workers, durations, ranking, self._decide
        )
        self.order = FairOrder(SERVICE, 1, ranking, self.usage, NullRecorder())
        accounts = make_fleet(north=1.0, south=1.0).accounts
        self.order.apply_weights(account_weights({a.name: a for a in accounts}))
        self.placer = make_placer(self.workers, self.near)
        self.placer.order = self.order

    def _decide(self, times, join):
        decision = decide_wait(times, join)
        self.decided.append(_Decided(times.extra_s, decision.near_start_s))
        return decision

    def submit(self, job_id, account, *steps, age_s=0.0):
        accepted_ms = int((self.now_s - age_s) * 1000)
        row = JobRow(make_queue(), JobSpec("", steps), accepted_ms, account)
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

    def fill(self, worker_id, count=CORES_COUNT, account="south"):
        """Places tasks of one core, which prefer the worker's rack."""
        rack = self.workers[worker_id].registration.rack
        job_id = f"fill-{worker_id}"
        self.submit(job_id, account, make_step(count, preferred_rack=rack))
        self.place()
        runs = self.jobs[job_id].runs()
        assert [run.worker_id for run in runs] == [worker_id] * count

    def end_runs(self, worker_id, count=CORES_COUNT):
        """Ends runs on a worker without a placement."""
        worker = self.workers[worker_id]
        for run in list(worker.runs.values())[:count]:
            worker.remove(run)
            run.task.run = None
            run.task.is_done = True
            self.waiting.add(run.task.job)

    def cores(self, account):
        return self.usage.allocated(account).cpu_millicores / 1000

    def workers_of(self, job_id, step=0):
        runs = self.jobs[job_id].runs()
        return sorted(run.worker_id for run in runs if run.task.id.step == step)


def test_waiting_tasks_use_nothing_of_their_share():
    """Guards against an account that pays for places which its tasks don't take."""
    service = _Service(2)
    service.fill("w0")
    service.submit("n", "north", make_step(4, preferred_rack=NEAR_RACK))
    service.place()
    assert service.cores("north") == 0
    assert service.jobs["n"].waiting_allocation().cpu_millicores == 4000
    service.end_runs("w0")
    service.place(0.8)
    assert service.workers_of("n") == ["w0"] * 4
    assert service.cores("north") == 4


def test_large_task_that_waits_by_choice_is_not_passed_over():
    """Guards against workers that idle for a task which could run on another one."""
    service = _Service(2)
    service.fill("w0")
    large = make_step(1, 7000, preferred_rack=NEAR_RACK)
    service.submit("n", "north", large, age_s=1.0)
    service.submit("s", "south", make_step(4), age_s=0.5)
    service.place()
    assert not service.workers_of("n")
    assert service.workers_of("s") == ["w1"] * 4
    assert not service.order.held()


def test_large_task_is_passed_over_once_it_fits_nowhere():
    """Guards against a task that prefers a rack and gets no worker of its own."""
    service = _Service(2)
    service.fill("w0")
    service.fill("w1", 4)
    large = make_step(1, 7000, preferred_rack=NEAR_RACK)
    service.submit("n", "north", large, age_s=1.0)
    service.submit("s", "south", make_step(4), age_s=0.5)
    service.place()
    assert service.order.held()


def _service_with_gaps(used_count):
    """Returns a service whose free cores south's waiting tasks don't fit into.

    South fills w0 and waits for whole workers, so that 16 cores are due to each
    account; north uses ``used_count`` on each of the three other workers.
    """
    service = _Service(4)
    service.fill("w0")
    spread = make_step(3, 1000 * used_count, tasks_per_worker_limit=1)
    service.submit("spread", "north", spread)
    service.place()
    assert service.workers_of("spread") == ["w1", "w2", "w3"]
    service.submit("whole", "south", make_step(10, 8000))
    return service


def test_further_turn_of_a_waiting_job_neither_decides_again_nor_is_lost():
    """Guards against a step that gets no turn since another of its job waits.

    The first step is within the share and waits for its rack; the second exceeds the
    share, and gets what others don't use.
    """
    service = _service_with_gaps(4)
    near = make_step(2, preferred_rack=NEAR_RACK)
    service.submit("n", "north", near, make_step(8))
    service.place()
    assert not service.workers_of("n")
    assert len(service.workers_of("n", step=1)) == 8
    assert len(service.decided) == 2
    service.place(0.05)
    assert len(service.decided) == 2
    service.end_runs("w0", 2)
    service.place()
    assert service.workers_of("n") == ["w0", "w0"]


def test_step_beyond_the_share_waits_behind_others_that_are_within():
    """Guards against a place in the queue of a rack that the share doesn't allow."""
    service = _service_with_gaps(4)
    beyond = make_step(8, preferred_rack=NEAR_RACK)._replace(estimate_ms=700)
    service.submit("n", "north", make_step(2), beyond, age_s=0.3)
    service.submit("s", "south", make_step(1, preferred_rack=NEAR_RACK))
    service.place()
    assert len(service.workers_of("n")) == 2
    extras_s = [decided.extra_s for decided in service.decided]
    assert extras_s[:2] == pytest.approx([1.6, 1.4])


def _service_with_held_worker():
    """Returns a service that holds w1 for a step which prefers another rack.

    The rack is expected to have room 0.1 s later than w1.
    """
    service = _Service(3)
    service.fill("w1")
    service.now_s += 0.1
    service.fill("w2")
    service.fill("w0")
    large = make_step(1, 7000, preferred_rack=NEAR_RACK)
    service.submit("held", "north", large, age_s=1.0)
    service.submit("small", "south", make_step(1), age_s=0.5)
    service.end_runs("w1", 1)
    service.place()
    assert service.order.held() == {"w1"}
    return service


@pytest.mark.parametrize("freed", ["w1", "w2"])
def test_step_with_held_workers_takes_the_first_place(freed):
    """Guards against workers that idle for a step which waits for another rack."""
    service = _service_with_held_worker()
    service.end_runs(freed)
    service.place(0.05)
    assert service.workers_of("held") == [freed]
    assert not service.decided


def test_step_with_held_workers_is_not_ahead_in_the_queue_of_its_rack():
    """Guards against far runs since a step counts on its rack and on its workers."""
    service = _service_with_held_worker()
    service.submit("near", "south", make_step(2, preferred_rack=NEAR_RACK))
    service.end_runs("w2", 2)
    service.place()
    starts_s = [decided.near_start_s for decided in service.decided]
    assert starts_s == pytest.approx([service.now_s + 0.8] * 2)


def test_held_worker_is_not_waited_for():
    """Guards against tasks that wait for a place which a worker keeps for another."""
    service = _Service(2)
    service.fill("w0")
    service.now_s += 0.1
    service.fill("w1")
    service.submit("n", "north", make_step(1, 7000), age_s=1.0)
    service.submit("s", "south", make_step(1), age_s=0.5)
    service.end_runs("w0", 1)
    service.place()
    assert service.order.held() == {"w0"}
    service.submit("near", "south", make_step(2, preferred_rack=NEAR_RACK))
    service.end_runs("w1", 2)
    service.place(0.2)
    assert service.workers_of("near") == ["w1", "w1"]


def test_step_that_fits_nowhere_in_several_turns_joins_the_queue_once():
    """Guards against a queue that counts a step once for each turn of its job.

    The rack has room for the step at 0.8 s and for the task that waits behind it at
    1.6 s, just before its wait has to end.
    """
    service = _service_with_gaps(3)
    large = make_step(1, 7000, preferred_rack=NEAR_RACK)
    # Exceeds the share, so that the job gets a second turn.
    service.submit("large", "north", large, make_step(8), age_s=0.7)
    behind = make_step(4, 2000, preferred_rack=NEAR_RACK)._replace(estimate_ms=450)
    service.submit("n", "north", behind)
    service.place()
    assert len(service.workers_of("large", step=1)) == 8
    assert not service.workers_of("n")
    assert service.near.due_s == pytest.approx(service.now_s + 1.8)
