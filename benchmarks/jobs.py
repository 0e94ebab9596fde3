"""Placement and control of jobs at 40, 200 and 1,000 workers.

Run: ``python benchmarks/jobs.py [--seed N]``. The baseline is a naive first fit in
declared order with declared sizes, which are wrong by a factor drawn for each service;
it runs on the same jobs and workers.
"""

import argparse
import random
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from standins.faults import Operation  # noqa: E402
from standins.hooked import HookedProxy, HookPoint  # noqa: E402
from standins.job_pool import GIB, JobPool  # noqa: E402
from sycamorecroft.configuration.fleet import Urgency  # noqa: E402
from sycamorecroft.jobs import JobSettings  # noqa: E402
from sycamorecroft.jobs.placement import (  # noqa: E402
    PlacementInput,
    QueuedJob,
    TeamShare,
    fits,
    place,
)
from sycamorecroft.jobs.usage import UsageStatistics  # noqa: E402
from sycamorecroft.jobs.workers import Worker  # noqa: E402
from sycamorecroft.store.interfaces import StorePurpose, TaskSize  # noqa: E402

WORKERS_COUNTS = (40, 200, 1000)
JOBS_PER_WORKER = 14
SERVICES_COUNT = 5
OBSERVED_COUNT = 100
DECLARED_FACTORS = (0.5, 1.0, 2.0, 4.0)
WORKER_SIZES = (TaskSize(16.0, 64, 0), TaskSize(64.0, 128, 4))


class Job(NamedTuple):
    """A job with its declared size, and the size that it really uses."""

    job_id: str
    service: str
    declared: TaskSize
    used: TaskSize


class Outcome(NamedTuple):
    """Jobs placed; those on workers whose jobs together use more than there is."""

    placed_count: int
    overcommitted_count: int
    used_ratio: float
    cpu_ms: float


def scaled(size: TaskSize, factor: float) -> TaskSize:
    return TaskSize(
        size.processors_count * factor,
        max(1, round(size.memory_bytes * factor)),
        size.accelerators_count,
    )


def make_jobs(source: random.Random, count: int, prefix: str) -> list[Job]:
    """
    :returns: jobs of services whose declared sizes are wrong by a factor each.
    """
    factors = {
        f"service-{n}": DECLARED_FACTORS[n % len(DECLARED_FACTORS)]
        for n in range(SERVICES_COUNT)
    }
    jobs = []
    for number in range(count):
        service = source.choice(sorted(factors))
        accelerators_count = 1 if source.random() < 0.1 else 0
        typical = TaskSize(2.0 ** source.randint(0, 3), 8, accelerators_count)
        used = scaled(typical, source.uniform(0.8, 1.0))
        declared = scaled(typical, factors[service])
        jobs.append(Job(f"{prefix}-{number}", service, declared, used))
    return jobs


def first_fit(workers: Sequence[Worker], jobs: Sequence[Job]) -> dict[str, str]:
    """
    :returns: workers by job: the first with room for the declared size.
    """
    free = {worker.name: worker.size for worker in workers}
    placed = {}
    for job in jobs:
        for name, size in free.items():
            if fits(job.declared, size):
                free[name] = TaskSize(
                    *(a - b for a, b in zip(size, job.declared, strict=True))
                )
                placed[job.job_id] = name
                break
    return placed


def best_fit(
    workers: Sequence[Worker], jobs: Sequence[Job], usage: UsageStatistics
) -> dict[str, str]:
    """
    :returns: workers by job, by the placement of the package.
    """
    queued = [
        QueuedJob(
            job.job_id,
            f"team-{number % 7}",
            list(Urgency)[number % 3],
            usage.corrected(job.service, job.declared),
            0.0,
        )
        for number, job in enumerate(jobs)
    ]
    teams = {f"team-{n}": TeamShare(1.0 + n % 3, len(jobs)) for n in range(7)}
    state = PlacementInput(
        workers, {}, frozenset(), queued, teams, {}, 0.0, 60.0, len(jobs)
    )
    return {item.job_id: item.worker for item in place(state)}


def judge(
    workers: Sequence[Worker], jobs: Sequence[Job], placed: dict[str, str], cpu_s: float
) -> Outcome:
    """
    :returns: the placement by the sizes that are really used.
    """
    used = {worker.name: TaskSize(0.0, 0, 0) for worker in workers}
    for job in jobs:
        name = placed.get(job.job_id)
        if name is not None:
            used[name] = TaskSize(*map(sum, zip(used[name], job.used, strict=True)))
    over = {
        worker.name for worker in workers if not fits(used[worker.name], worker.size)
    }
    total = sum(worker.size.processors_count for worker in workers)
    taken = sum(
        min(used[worker.name].processors_count, worker.size.processors_count)
        for worker in workers
    )
    overcommitted_count = sum(name in over for name in placed.values())
    return Outcome(len(placed), overcommitted_count, taken / total, cpu_s * 1000)


def compare_placement(workers_count: int, seed: int) -> None:
    source = random.Random(seed)
    workers = [
        Worker(f"w{n}", WORKER_SIZES[n % len(WORKER_SIZES)], True)
        for n in range(workers_count)
    ]
    usage = UsageStatistics()
    for job in make_jobs(source, OBSERVED_COUNT * SERVICES_COUNT, "past"):
        usage.add(job.service, declared=job.declared, peak=job.used)
    jobs = make_jobs(source, workers_count * JOBS_PER_WORKER, "job")
    for name, decide in (
        ("first fit, declared", lambda: first_fit(workers, jobs)),
        ("best fit, corrected", lambda: best_fit(workers, jobs, usage)),
    ):
        begin_s = time.process_time()
        placed = decide()
        outcome = judge(workers, jobs, placed, time.process_time() - begin_s)
        print(
            f"{workers_count:7} {len(jobs):6} {name:20} {outcome.placed_count:7} "
            f"{outcome.overcommitted_count:11} {outcome.used_ratio:9.1%} "
            f"{outcome.cpu_ms:8.1f} {outcome.cpu_ms * 1000 / len(jobs):9.1f}"
        )


class StandinTime:
    """Processor time spent within calls to the platform's stand-ins."""

    def __init__(self) -> None:
        self.total_s = 0.0

    def __call__(self, name: str, moment: HookPoint) -> None:
        sign = 1.0 if moment is HookPoint.AFTER else -1.0
        self.total_s += sign * time.process_time()


def control_jobs(workers_count: int, jobs_count: int) -> None:
    """Runs jobs of 10 s through a controller, from submission to their end."""
    pool = JobPool(workers_count, settings=JobSettings())
    standins = StandinTime()
    size = TaskSize(2.0, GIB, 0)
    for number in range(jobs_count):
        pool.submit(f"key-{number}", command="duration_s=10", size=size)
    controller = pool.add_controller(
        HookedProxy(pool.platform.tables, standins),
        HookedProxy(pool.platform.tasks, standins),
    ).controller
    pool.controllers[0].lease.maintain()
    counts = pool.platform.tables.call_counts()
    submitted_count = counts[StorePurpose.JOBS, Operation.WRITE]
    steps_count, cpu_s = 0, 0.0
    while pool.states()["succeeded"] < jobs_count:
        pool.controllers[0].lease.maintain()
        begin_s = time.process_time() - standins.total_s
        controller.step(pool.clock.monotonic_s())
        cpu_s += time.process_time() - standins.total_s - begin_s
        steps_count += 1
        pool.clock.advance(0.5)
    counts = pool.platform.tables.call_counts()
    writes_count = counts[StorePurpose.JOBS, Operation.WRITE] - submitted_count
    pool.close()
    print(
        f"{workers_count:7} {jobs_count:6} {steps_count / 2:9.1f} {writes_count:7} "
        f"{writes_count / jobs_count:11.4f} {writes_count * 2 / steps_count:9.2f} "
        f"{cpu_s * 1000 / steps_count:11.2f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(f"placement, seed {options.seed}; sizes declared wrong by a factor of")
    print(f"{DECLARED_FACTORS} by service; 'over' are jobs on overcommitted workers")
    print(
        f"{'workers':>7} {'jobs':>6} {'variant':20} {'placed':>7} {'over':>11} "
        f"{'cpu used':>9} {'cpu ms':>8} {'us/job':>9}"
    )
    for workers_count in WORKERS_COUNTS:
        compare_placement(workers_count, options.seed)
    print("control of one pool; a step each 0.5 s, without the stand-ins' time")
    print(
        f"{'workers':>7} {'jobs':>6} {'elapsed s':>9} {'writes':>7} {'writes/job':>11} "
        f"{'writes/s':>9} {'cpu ms/step':>11}"
    )
    for workers_count in WORKERS_COUNTS:
        control_jobs(workers_count, workers_count * 4)


if __name__ == "__main__":
    main()
