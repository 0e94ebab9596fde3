"""Placement of random jobs on random pools of workers, against a naive placement."""

import random

import pytest

from properties.reference_placer import Assignment, place_naively
from properties.seeds import SEED
from standins.service_driver import (
    SERVICE,
    make_fleet,
    make_placer,
    make_queue,
    make_registration,
)
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.scheduling.account_rates import account_weights
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.kept_room import KeptRoom
from sycamorecroft.scheduling.model import JobSpec, Resources, StepSpec
from sycamorecroft.scheduling.near_placement import NearPlacement
from sycamorecroft.scheduling.placement_order import FairOrder
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.task_placer import TaskPlacer
from sycamorecroft.scheduling.tasks import Run, RunPhase
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker

START_S = 100.0
ROUNDS_COUNT = 12
POOLS_COUNT = 60
ACCOUNTS = ("", "north", "south", "west")
# Every fifth job is beyond its account's rate; that counts only with accounts.
EXCESS_JOBS_INTERVAL = 5
# Longer than all waits of tasks of 0.8 s, and than quarantines.
LONGEST_WAIT_S = 20.0


class _RandomPool:
    """Jobs and workers of one service, whose events are drawn from a seed.

    Two pools of the same seed go through the same events as long as the same tasks run
    on the same workers.

    :ivar usage: resources that the runs of each account use.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.usage = AccountUsage()
        self.now_s = START_S
        self.jobs: dict[str, Job] = {}
        self.waiting = WaitingJobs()
        self.workers = {
            f"w{number}": self._create_worker(f"w{number}")
            for number in range(self.random.randint(1, 24))
        }
        self.rack_count = 4

    def _create_worker(self, name: str) -> Worker:
        choice = self.random.choice
        registration = make_registration(
            name, rack=choice(["r1", "r2", "r3"]), cpu_millicores=choice([8000, 6500])
        )
        labels = (choice(["a", "b"]), registration.labels[1])
        capacity = registration.capacity._replace(memory_mb=choice([400, 64_000]))
        registration = registration._replace(labels=labels, capacity=capacity)
        return Worker(registration, 0.0)

    def step(self) -> None:
        """Submits jobs, ends some runs and changes the state of some workers."""
        self.now_s += self.random.choice([0.05, 0.4])
        for worker in self.workers.values():
            self._change_worker(worker)
        runs = [run for w in self.workers.values() for run in w.runs.values()]
        for run in runs:
            self._end_run(run)
        for _ in range(self.random.randint(0, 5)):
            self._submit()

    def _change_worker(self, worker: Worker) -> None:
        roll = self.random.random
        worker.last_contact_s = self.now_s if roll() < 0.95 else 0.0
        worker.is_slow = roll() < 0.1
        worker.is_stalled = roll() < 0.05
        worker.is_reserved = roll() < 0.1
        worker.is_due = roll() < 0.1
        worker.is_evacuation_target = roll() < 0.05

    def _end_run(self, run: Run) -> None:
        outcome = self.random.choice([None, RunOutcome.DONE, RunOutcome.FAILED])
        if outcome is None:
            return
        worker, task = self.workers[run.worker_id], run.task
        worker.remove(run)
        task.run = None
        task.waiting_since_s = self.now_s
        if outcome is RunOutcome.FAILED:
            task.failed_workers |= {worker.id}
            task.failures_count += 1
            worker.record_failure(task.job.id, self.now_s)
        elif not task.spec.is_long_running:
            worker.record_success()
            task.is_done = True
        self.waiting.add(task.job)

    def _submit(self) -> None:
        job_id = f"j{len(self.jobs)}"
        steps = [self._create_step() for _ in range(self.random.randint(1, 3))]
        steps = [
            step._replace(after=(n - 1,) if n else ()) for n, step in enumerate(steps)
        ]
        queue = make_queue(priority=self.random.randint(0, 1))
        accepted_ms = int(self.now_s * 1000) - self.random.randint(0, 3000)
        number = len(self.jobs)
        account = ACCOUNTS[number % len(ACCOUNTS)]
        row = JobRow(queue, JobSpec(job_id, tuple(steps)), accepted_ms, account)
        now_ms = int(self.now_s * 1000)
        job = Job(job_id, row, self.now_s, now_ms, usage=self.usage)
        job.is_excess = number % EXCESS_JOBS_INTERVAL == 0
        job.start_due_occurrences(self.now_s, int(self.now_s * 1000))
        self.jobs[job_id] = job
        self.waiting.add(job)

    def _create_step(self) -> StepSpec:
        choice, roll = self.random.choice, self.random.random
        return StepSpec(
            self.random.randint(1, 8),
            Resources(choice([500, 1000, 2700, 5000]), choice([50, 100, 300])),
            estimate_ms=choice([200, 800]),
            is_gang=roll() < 0.15,
            is_rack_local=roll() < 0.15,
            is_long_running=roll() < 0.1,
            is_best_effort=roll() < 0.1,
            required_label=choice(["", "", "", "b"]),
            preferred_rack=choice(["", "", "r1", "r2"]),
            tasks_per_worker_limit=choice([0, 0, 0, 1]),
        )

    def running(self) -> list[Assignment]:
        """
        :returns: the assignments of all workers.
        """
        return sorted(
            Assignment(run.task.id.name, run.attempt, run.worker_id)
            for worker in self.workers.values()
            for run in worker.runs.values()
        )


@pytest.mark.parametrize("number", range(POOLS_COUNT))
def test_indexed_placement_assigns_as_the_naive_placement(number):
    """Guards against an index that hides a worker or prefers another one."""
    seed = SEED * POOLS_COUNT + number
    indexed, naive = _RandomPool(seed), _RandomPool(seed)
    placer, kept_room = make_placer(indexed.workers), KeptRoom()
    for _ in range(ROUNDS_COUNT):
        indexed.step()
        naive.step()
        placer.place(indexed.waiting, indexed.now_s)
        place_naively(
            naive.jobs.values(), naive.workers.values(), naive.now_s, kept_room
        )
        assert indexed.running() == naive.running(), f"seed {seed}"
        assert all(
            run.phase is RunPhase.COMMITTING
            for worker in indexed.workers.values()
            for run in worker.runs.values()
        )


def _apply_accounts(pool: _RandomPool, placer: TaskPlacer, ranking: JobRanking) -> None:
    """Lets accounts of different weights share the pool."""
    accounts = make_fleet(north=1.0, south=3.0, west=0.5).accounts
    ranking.has_accounts = True
    order = FairOrder(SERVICE, 1, ranking, pool.usage, NullRecorder())
    order.apply_weights(account_weights({a.name: a for a in accounts}))
    placer.order = order


@pytest.mark.parametrize("has_accounts", [False, True], ids=["alone", "accounts"])
@pytest.mark.parametrize("slowdown_ratio", [1.5, 3.0])
@pytest.mark.parametrize("number", range(POOLS_COUNT))
def test_placement_with_waits_keeps_capacities_and_ends_each_wait(
    number, slowdown_ratio, has_accounts
):
    """Guards against overcommitted workers, and waits for a rack that never end.

    With accounts, also against steps that get no turn, and workers held for ever.
    """
    seed = SEED * POOLS_COUNT + number
    pool = _RandomPool(seed)
    durations = RunDurations(slowdown_ratio)
    ranking = JobRanking()
    near = NearPlacement(SERVICE, 1, pool.workers, durations, ranking)
    placer = make_placer(pool.workers, near)
    if has_accounts:
        _apply_accounts(pool, placer, ranking)
    for _ in range(ROUNDS_COUNT):
        pool.step()
        placer.place(pool.waiting, pool.now_s)
        assert near.due_s > pool.now_s, f"seed {seed}"
        _assert_capacities(pool, seed)
    # Placements that are due at the ends of waits, while nothing else happens.
    end_s = pool.now_s + LONGEST_WAIT_S
    while pool.now_s < end_s:
        pool.now_s = min(near.due_s, pool.now_s + 0.25)
        for worker in pool.workers.values():
            worker.last_contact_s = pool.now_s
        placer.place(pool.waiting, pool.now_s)
    _assert_capacities(pool, seed)
    left = pool.running()
    assert not place_naively(pool.jobs.values(), pool.workers.values(), pool.now_s), (
        f"seed {seed}, running {left}"
    )


def _assert_capacities(pool: _RandomPool, seed: int) -> None:
    for worker in pool.workers.values():
        assert worker.free.covers(Resources()), f"seed {seed}, {worker.id}"
