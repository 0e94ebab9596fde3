"""Randomised runs of a service under takeovers, partitions and store faults.

Each step checks, on the workers, that no task runs on two live workers at the same
time, that none starts after its outcome is stored, and that none starts before an
earlier step has ended.
"""

import random

import pytest

from standins.service_driver import (
    PROGRESS,
    SERVICE,
    ServiceDriver,
    Site,
    make_queue,
    make_step,
)
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.rows import ProgressRow, decode_row

STEPS_COUNT = 150
FORMER_LEASE_S = 9.0


class _ServiceRun:
    """Site with the owner of a service, and former owners unaware of the takeover."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.site = Site(workers_count=4)
        self.site.on_orders = self._restart_before_orders
        for worker in self.site.workers.values():
            worker.stops_slowly = True
        self.owners = [ServiceDriver(self.site, 1)]
        self.jobs_count = 0
        self.done_tasks: set[str] = set()

    def step(self) -> None:
        self._inject_event()
        for owner in self.owners:
            if owner is self.owners[-1] or self.random.random() < 0.3:
                owner.step()
                self.check()
        self._finish_runs()
        self.site.advance(0.25)
        self.check()

    def _inject_event(self) -> None:
        draw = self.random.random()
        worker = self.site.workers[f"w{self.random.randrange(4)}"]
        if draw < 0.25:
            self._submit()
        elif draw < 0.28:
            self.owners = [
                self.owners[-1],
                ServiceDriver(
                    self.site,
                    self.owners[-1].epoch + 1,
                    former_lease_s=FORMER_LEASE_S,
                ),
            ]
        elif draw < 0.34:
            worker.is_unreachable = not worker.is_unreachable
        elif draw < 0.40:
            worker.loses_responses = not worker.loses_responses
        elif draw < 0.44:
            self.site.tables.lost_responses_count = 1
        elif draw < 0.48:
            self.site.tables.delayed_count = 1
        elif draw < 0.52:
            self.site.tables.apply_delayed()
        elif draw < 0.55:
            worker.restart()
        elif draw < 0.58 and self.jobs_count:
            self.site.cancel(f"j{self.random.randrange(self.jobs_count)}")

    def _restart_before_orders(self) -> None:
        """Restarts a worker that the owner is about to send orders to."""
        if self.random.random() < 0.03:
            self.site.workers[f"w{self.random.randrange(4)}"].restart()

    def _submit(self) -> None:
        steps = [make_step(self.random.randint(1, 4))]
        if self.random.random() < 0.5:
            steps.append(make_step(2, after=(0,)))
        queue = make_queue(attempts_count=self.random.randint(1, 3))
        self.site.submit(f"j{self.jobs_count}", *steps, queue=queue)
        self.jobs_count += 1

    def _finish_runs(self) -> None:
        for worker in self.site.workers.values():
            for task in list(worker.running):
                if self.random.random() < 0.2:
                    is_failed = self.random.random() < 0.1
                    worker.finish(
                        task, RunOutcome.FAILED if is_failed else RunOutcome.DONE
                    )

    def check(self) -> None:
        running = [
            task for worker in self.site.workers.values() for task in worker.running
        ]
        assert len(running) == len(set(running)), (
            f"a task runs twice: {sorted(running)}"
        )
        assert not self.done_tasks & set(running), (
            f"run after they were done: {self.done_tasks & set(running)}"
        )
        self._record_done()
        for task in running:
            job_id, _, step, _ = task.split(".")
            if step == "1":
                open_tasks = self._open_first_tasks(job_id)
                assert not open_tasks, f"{task} runs before {open_tasks}"

    def _record_done(self) -> None:
        for number in range(self.jobs_count):
            for stored in self._stored(f"j{number}"):
                if stored.is_done:
                    name = f"j{number}.0.{stored.step}.{stored.index}"
                    self.done_tasks.add(name)

    def _stored(self, job_id: str):
        row = self.site.tables.row(PROGRESS, job_id, SERVICE)
        return decode_row(row.value, ProgressRow).tasks if row else ()

    def _open_first_tasks(self, job_id: str) -> list[int]:
        return [s.index for s in self._stored(job_id) if s.step == 0 and not s.is_done]


@pytest.mark.parametrize("seed", range(30))
def test_no_task_runs_twice_or_too_early(seed):
    """Guards against double or early runs when owners, workers or the store fail."""
    run = _ServiceRun(seed)
    for _ in range(STEPS_COUNT):
        run.step()
    assert run.jobs_count > 10
