"""Cost of explaining a placement, beside that of a placement.

The copy is what keeps the owner from its decisions; the rest takes place in the thread
of the call. The last lines are durations of placements, one each 20 ms, without and
beside two explanations a second.

Usage: ``python -m benchmarks.explanations [--rounds-count N]``
"""

import argparse
import threading
import time
from collections.abc import Callable, Iterator
from logging import WARNING
from statistics import mean, quantiles

import structlog
from structlog import make_filtering_bound_logger

from standins.service_driver import (
    ServiceDriver,
    Site,
    make_fleet,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.placement_question import (
    CopiedPlacement,
    CopyPlacement,
    copy_placement,
    explain,
)
from sycamorecroft.scheduling.rows import JobRow

# Workers and waiting tasks.
SIZES = ((40, 100), (150, 600), (150, 3000), (600, 3000), (1000, 6000))
ACCOUNTS_COUNTS = (0, 20)
TASKS_PER_JOB_COUNT = 8
TASKS_PER_WORKER_COUNT = 7
WORKERS_PER_RACK_COUNT = 12
SLOWDOWN_RATIO = 3.0
# Workers, waiting tasks and accounts of the placements beside explanations.
BESIDE = (150, 600, 20)
BESIDE_INTERVAL_S = 0.02
BESIDE_ROUNDS_COUNT = 500
JOB_ID = "00112233445566aa"


class _Load:
    """Owner of a full pool in which jobs wait, each of which prefers a rack."""

    def __init__(
        self, workers_count: int, waiting_count: int, accounts_count: int
    ) -> None:
        site = Site(workers_count=0)
        registrations = {}
        for number in range(workers_count):
            rack = f"r{number // WORKERS_PER_RACK_COUNT}"
            name = f"w{number}"
            registrations[name] = make_registration(
                name, rack=rack, cpu_millicores=64_000
            )
        self._accounts = [f"a{number}" for number in range(accounts_count)] or [""]
        weights = {name: 1.0 for name in self._accounts if name}
        fleet = make_fleet(**weights) if weights else None
        site.registrations = registrations
        self.owner = ServiceDriver(site, 1, fleet=fleet, slowdown_ratio=SLOWDOWN_RATIO)
        self.scheduler = self.owner.scheduler
        self._racks_count = -(-workers_count // WORKERS_PER_RACK_COUNT)
        running_count = workers_count * TASKS_PER_WORKER_COUNT
        for number in range((running_count + waiting_count) // TASKS_PER_JOB_COUNT):
            row = self.row(number)
            job_id = f"{number:016x}"
            site.submit(job_id, *row.spec.steps, account=row.account)
        self.owner._read_jobs()
        while True:
            before_count = self._runs_count()
            self.place()
            while (commit := self.scheduler.next_commit(self.now_s)) is not None:
                self.scheduler.apply_commit(commit, self.now_s)
            self.scheduler.take_orders()
            if self._runs_count() == before_count:
                break

    @property
    def now_s(self) -> float:
        """Monotonic time of the site."""
        return self.owner.site.clock.monotonic_s()

    def _runs_count(self) -> int:
        return sum(len(worker.runs) for worker in self.scheduler.workers.values())

    def row(self, number: int) -> JobRow:
        """
        :returns: a job as it is stored.
        """
        rack = f"r{number % self._racks_count}"
        step = make_step(TASKS_PER_JOB_COUNT, 9000, preferred_rack=rack)
        account = self._accounts[number % len(self._accounts)]
        now_ms = self.owner.site.now_ms
        return JobRow(make_queue(), JobSpec("", (step,)), now_ms, account)

    def place(self) -> None:
        """Places after a tick."""
        for worker in self.scheduler.workers.values():
            worker.last_contact_s = self.now_s
        self.scheduler._is_placement_due = True
        self.scheduler.place(self.now_s)

    def end_runs(self) -> Iterator[None]:
        """Ends one run of another worker with each step."""
        for worker in list(self.scheduler.workers.values()):
            run = next(iter(worker.runs.values()))
            worker.remove(run)
            run.task.run = None
            run.task.is_done = True
            yield

    def copy(self) -> CopiedPlacement:
        """Copies the state for a job that isn't stored."""
        question = CopyPlacement(JOB_ID, self.row(1), float("inf"))
        copied = copy_placement(self.scheduler, question, self.owner.site.clock)
        assert isinstance(copied, CopiedPlacement)
        return copied


def _measure_ms(call: Callable[[], object]) -> tuple[float, object]:
    start_s = time.perf_counter()
    result = call()
    return (time.perf_counter() - start_s) * 1000, result


def _measure_beside_ms(asks_per_s_count: int) -> list[float]:
    """
    :returns: sorted durations of placements, in one thread with the copies.
    """
    load = _Load(*BESIDE)
    copies: list[CopiedPlacement] = []
    is_copied, is_over = threading.Event(), threading.Event()

    def explain_copies() -> None:
        while not is_over.is_set():
            if is_copied.wait(0.1):
                is_copied.clear()
                explain(copies.pop(), lambda: False)

    thread = threading.Thread(target=explain_copies)
    thread.start()
    durations_ms: list[float] = []
    next_s = time.monotonic()
    ends = load.end_runs()
    for number in range(BESIDE_ROUNDS_COUNT):
        next(ends, None)
        interval_count = int(1 / BESIDE_INTERVAL_S / max(1, asks_per_s_count))
        is_asked = asks_per_s_count and number % interval_count == 0
        # The actor copies before it decides on what came before.
        copy_ms = 0.0
        if is_asked:
            copy_ms, copied = _measure_ms(load.copy)
            copies.append(copied)
            is_copied.set()
        durations_ms.append(copy_ms + _measure_ms(load.place)[0])
        next_s += BESIDE_INTERVAL_S
        time.sleep(max(0.0, next_s - time.monotonic()))
    is_over.set()
    thread.join()
    return sorted(durations_ms)


def main() -> None:
    """Prints a row for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds-count", type=int, default=20)
    rounds_count = parser.parse_args().rounds_count
    structlog.configure(wrapper_class=make_filtering_bound_logger(WARNING))
    print("workers  waiting tasks  accounts  placement ms  copy ms (max)  explain ms")
    for workers_count, waiting_count in SIZES:
        for accounts_count in ACCOUNTS_COUNTS:
            load = _Load(workers_count, waiting_count, accounts_count)
            placements, copies, explanations = [], [], []
            for _, _ in zip(range(rounds_count), load.end_runs(), strict=False):
                copy_ms, copied = _measure_ms(load.copy)
                explain_ms, _ = _measure_ms(lambda c=copied: explain(c, lambda: False))
                placements.append(_measure_ms(load.place)[0])
                copies.append(copy_ms)
                explanations.append(explain_ms)
            print(
                f"{workers_count:7}  {waiting_count:13}  {accounts_count:8}  "
                f"{mean(placements):12.2f}  {mean(copies):6.2f} ({max(copies):.2f})  "
                f"{mean(explanations):10.2f}"
            )
    for asks_per_s_count in (0, 2):
        durations_ms = _measure_beside_ms(asks_per_s_count)
        print(
            f"{BESIDE[0]} workers, {BESIDE[1]} waiting tasks, {BESIDE[2]} accounts, "
            f"{asks_per_s_count} a second: placement {mean(durations_ms):.2f} ms, "
            f"99% {quantiles(durations_ms, n=100)[-1]:.2f}, "
            f"longest {durations_ms[-1]:.2f}"
        )


if __name__ == "__main__":
    main()
