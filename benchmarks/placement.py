"""Processor time of placing the tasks of one service on a full pool of workers.

Each round ends one run, which leaves room for one waiting task, and places. The naive
placement examines every worker for every waiting task and serves as the baseline.
With client accounts, each sends jobs in proportion to its weight, which differ.

Usage: ``python -m benchmarks.placement [--rounds-count N]``
"""

import argparse
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from properties.reference_placer import place_naively
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
from sycamorecroft.scheduling.placement_order import FairOrder
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker

NOW_S = 100.0
WORKERS_COUNTS = (40, 150, 600)
WAITING_COUNTS = (100, 600, 3000)
ACCOUNTS_COUNTS = (0, 20, 290)
TASKS_PER_JOB_COUNT = 8
TASKS_PER_WORKER_COUNT = 7
WORKERS_PER_RACK_COUNT = 12


class Pool(NamedTuple):
    """A full pool of workers and the jobs whose tasks run there or wait.

    ``order``: order of the jobs with client accounts, ``None`` without.
    """

    workers: dict[str, Worker]
    jobs: dict[str, Job]
    waiting: WaitingJobs
    usage: AccountUsage
    order: FairOrder | None
    weights: dict[str, float]

    def place_indexed(self) -> None:
        """Places with the scheduler's placer."""
        placer = make_placer(self.workers)
        if self.order is not None:
            placer.order = self.order
        placer.place(self.waiting, NOW_S)

    def place_naively(self) -> None:
        """Places with the baseline."""
        place_naively(self.jobs.values(), self.workers.values(), NOW_S)

    def end_runs(self) -> Iterator[None]:
        """Ends one run of another worker with each step."""
        for worker in list(self.workers.values()):
            run = next(iter(worker.runs.values()))
            worker.remove(run)
            run.task.run = None
            run.task.is_done = True
            self.waiting.add(run.task.job)
            yield


def create_pool(
    workers_count: int, waiting_count: int, accounts_count: int = 0
) -> Pool:
    """
    :returns: a full pool, with that many tasks that wait in addition.
    """
    workers = {}
    for number in range(workers_count):
        rack = f"r{number // WORKERS_PER_RACK_COUNT}"
        registration = make_registration(f"w{number}", rack=rack, cpu_millicores=64_000)
        worker = Worker(registration, 0.0)
        worker.last_contact_s = NOW_S
        workers[worker.id] = worker
    usage = AccountUsage()
    weights, order = _create_order(usage, accounts_count)
    pool = Pool(workers, {}, WaitingJobs(), usage, order, weights)
    running_count = workers_count * TASKS_PER_WORKER_COUNT
    for number in range((running_count + waiting_count) // TASKS_PER_JOB_COUNT):
        _submit(pool, number)
    pool.place_indexed()
    return pool


def _create_order(
    usage: AccountUsage, accounts_count: int
) -> tuple[dict[str, float], FairOrder | None]:
    if not accounts_count:
        return {}, None
    fleet = make_fleet(**{f"a{n}": 1.0 + n % 7 for n in range(accounts_count)})
    weights = account_weights({account.name: account for account in fleet.accounts})
    ranking = JobRanking()
    ranking.has_accounts = True
    order = FairOrder(SERVICE, 1, ranking, usage, NullRecorder())
    order.apply_weights(weights)
    return weights, order


def _submit(pool: Pool, number: int) -> None:
    step = make_step(TASKS_PER_JOB_COUNT, 9000)
    accepted_ms = int(NOW_S * 1000) - 1000 + number % 1000
    accounts = [
        name for name, weight in pool.weights.items() for _ in range(int(weight))
    ]
    account = accounts[number % len(accounts)] if accounts else ""
    row = JobRow(make_queue(), JobSpec("", (step,)), accepted_ms, account)
    job = Job(f"j{number:05}", row, NOW_S, int(NOW_S * 1000), usage=pool.usage)
    job.start_due_occurrences(NOW_S, int(NOW_S * 1000))
    pool.jobs[job.id] = job
    pool.waiting.add(job)


def measure_ms(pool: Pool, place: Callable[[], None], rounds_count: int) -> float:
    """
    :returns: mean processor time in ms of the placement after the end of a run.
    """
    total_s = 0.0
    rounds = 0
    for _ in pool.end_runs():
        start_s = time.process_time()
        place()
        total_s += time.process_time() - start_s
        rounds += 1
        if rounds == rounds_count:
            break
    return total_s / rounds * 1000


def main() -> None:
    """Prints a row for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds-count", type=int, default=20)
    rounds_count = parser.parse_args().rounds_count
    columns = "  ".join(f"{count:3} accounts ms" for count in ACCOUNTS_COUNTS)
    print(f"workers  waiting tasks  {columns}  naive ms")
    for workers_count in WORKERS_COUNTS:
        for waiting_count in WAITING_COUNTS:
            indexed_ms = []
            for accounts_count in ACCOUNTS_COUNTS:
                pool = create_pool(workers_count, waiting_count, accounts_count)
                indexed_ms.append(measure_ms(pool, pool.place_indexed, rounds_count))
            columns = "  ".join(f"{value:15.2f}" for value in indexed_ms)
            pool = create_pool(workers_count, waiting_count)
            naive_ms = measure_ms(pool, pool.place_naively, rounds_count)
            print(f"{workers_count:7}  {waiting_count:13}  {columns}  {naive_ms:8.2f}")


if __name__ == "__main__":
    main()
