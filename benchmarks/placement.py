"""Processor time of placing the tasks of one service on a full pool of workers.

Each round ends one run, which leaves room for one waiting task, and places. The naive
placement examines every worker for every waiting task and serves as the baseline.
With client accounts, each sends jobs in proportion to its weight, which differ. In the
last three columns each job prefers a rack: without and with waits for it, and with
waits and 20 client accounts.

Usage: ``python -m benchmarks.placement [--rounds-count N]``
"""

import argparse
import time
from collections.abc import Callable, Iterator
from logging import WARNING
from typing import NamedTuple

import structlog
from structlog import make_filtering_bound_logger

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
from sycamorecroft.scheduling.near_placement import NearPlacement
from sycamorecroft.scheduling.placement_order import FairOrder
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.task_placer import TaskPlacer
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.workers import Worker

NOW_S = 100.0
WORKERS_COUNTS = (40, 150, 600)
WAITING_COUNTS = (100, 600, 3000)
ACCOUNTS_COUNTS = (0, 20, 290)
TASKS_PER_JOB_COUNT = 8
TASKS_PER_WORKER_COUNT = 7
WORKERS_PER_RACK_COUNT = 12
SLOWDOWN_RATIO = 3.0
WAITS_ACCOUNTS_COUNT = 20
# Time between the ends of two runs. All rounds must take less than a worker may be
# silent.
ROUND_S = 0.02


class Pool(NamedTuple):
    """A full pool of workers and the jobs whose tasks run there or wait.

    ``weights``: weight of each client account, empty without accounts.
    """

    workers: dict[str, Worker]
    jobs: dict[str, Job]
    waiting: WaitingJobs
    placer: TaskPlacer
    usage: AccountUsage
    weights: dict[str, float]

    def place_indexed(self, now_s: float) -> None:
        """Places with the scheduler's placer."""
        self.placer.place(self.waiting, now_s)

    def place_naively(self, now_s: float) -> None:
        """Places with the baseline."""
        place_naively(self.jobs.values(), self.workers.values(), now_s)

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
    workers_count: int,
    waiting_count: int,
    accounts_count: int = 0,
    *,
    has_preferences: bool = False,
    slowdown_ratio: float = 1.0,
) -> Pool:
    """
    :param has_preferences: whether each job prefers a rack.
    :param slowdown_ratio: factor by which a task takes longer far from its data.
    :returns: a full pool, with that many tasks that wait in addition.
    """
    workers = {}
    for number in range(workers_count):
        rack = f"r{number // WORKERS_PER_RACK_COUNT}"
        registration = make_registration(f"w{number}", rack=rack, cpu_millicores=64_000)
        worker = Worker(registration, 0.0)
        worker.last_contact_s = NOW_S
        workers[worker.id] = worker
    ranking = JobRanking()
    durations = RunDurations(slowdown_ratio)
    near = NearPlacement(SERVICE, 1, workers, durations, ranking)
    usage = AccountUsage()
    placer = make_placer(workers, near)
    weights = _account_weights(accounts_count)
    if weights:
        ranking.has_accounts = True
        order = FairOrder(SERVICE, 1, ranking, usage, NullRecorder())
        order.apply_weights(weights)
        placer.order = order
    pool = Pool(workers, {}, WaitingJobs(), placer, usage, weights)
    racks_count = -(-workers_count // WORKERS_PER_RACK_COUNT)
    running_count = workers_count * TASKS_PER_WORKER_COUNT
    for number in range((running_count + waiting_count) // TASKS_PER_JOB_COUNT):
        rack = f"r{number % racks_count}" if has_preferences else ""
        _submit(pool, number, rack)
    pool.place_indexed(NOW_S)
    return pool


def _account_weights(accounts_count: int) -> dict[str, float]:
    if not accounts_count:
        return {}
    fleet = make_fleet(**{f"a{n}": 1.0 + n % 7 for n in range(accounts_count)})
    return account_weights({account.name: account for account in fleet.accounts})


def _submit(pool: Pool, number: int, rack: str) -> None:
    step = make_step(TASKS_PER_JOB_COUNT, 9000, preferred_rack=rack)
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


def measure_ms(pool: Pool, place: Callable[[float], None], rounds_count: int) -> float:
    """
    :returns: mean processor time in ms of the placement after the end of a run.
    """
    total_s = 0.0
    rounds = 0
    for _ in pool.end_runs():
        start_s = time.process_time()
        place(NOW_S + rounds * ROUND_S)
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
    logging = make_filtering_bound_logger(WARNING)
    structlog.configure(wrapper_class=logging)
    columns = "  ".join(f"{count:3} accounts ms" for count in ACCOUNTS_COUNTS)
    print(
        f"workers  waiting tasks  {columns}  naive ms  racks ms  waits ms  "
        f"{WAITS_ACCOUNTS_COUNT} accounts waits ms"
    )
    for workers_count in WORKERS_COUNTS:
        for waiting_count in WAITING_COUNTS:
            indexed_ms = []
            for accounts_count in ACCOUNTS_COUNTS:
                pool = create_pool(workers_count, waiting_count, accounts_count)
                indexed_ms.append(measure_ms(pool, pool.place_indexed, rounds_count))
            columns = "  ".join(f"{value:15.2f}" for value in indexed_ms)
            pool = create_pool(workers_count, waiting_count)
            naive_ms = measure_ms(pool, pool.place_naively, rounds_count)
            racks_ms, waits_ms, accounts_waits_ms = (
                _measure_racks_ms(workers_count, waiting_count, racks, rounds_count)
                for racks in (
                    _Racks(1.0, 0),
                    _Racks(SLOWDOWN_RATIO, 0),
                    _Racks(SLOWDOWN_RATIO, WAITS_ACCOUNTS_COUNT),
                )
            )
            print(
                f"{workers_count:7}  {waiting_count:13}  {columns}  {naive_ms:8.2f}  "
                f"{racks_ms:8.2f}  {waits_ms:8.2f}  {accounts_waits_ms:20.2f}"
            )


class _Racks(NamedTuple):
    """Slowdown and number of client accounts where each job prefers a rack."""

    slowdown_ratio: float
    accounts_count: int


def _measure_racks_ms(
    workers_count: int, waiting_count: int, racks: _Racks, rounds_count: int
) -> float:
    pool = create_pool(
        workers_count,
        waiting_count,
        racks.accounts_count,
        has_preferences=True,
        slowdown_ratio=racks.slowdown_ratio,
    )
    return measure_ms(pool, pool.place_indexed, rounds_count)


if __name__ == "__main__":
    main()
