"""Runs the scheduler of a service under a load, in virtual time and without network.

Commits, orders and run lists take the time that they take over a network, and workers
take as long for a task as the job says, which differs from its estimate. The pool grows
as the planner of the fleet controller asks.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from standins.service_driver import (
    JOBS,
    SERVICE,
    make_queue,
    make_registration,
    make_step,
)
from sycamorecroft.capacity.planning import DemandHistory, plan_pool
from sycamorecroft.quotas.messages import QuotaWriteResult
from sycamorecroft.scheduling.calls import (
    FinishedRun,
    OrderReply,
    OrderStatus,
    RenewalReply,
    RunningTask,
    RunOutcome,
)
from sycamorecroft.scheduling.commit import Commit
from sycamorecroft.scheduling.model import FleetSnapshot, JobSpec, WorkerRegistration
from sycamorecroft.scheduling.orders import StartTask, StopTask
from sycamorecroft.scheduling.rows import JobRow, encode_row
from sycamorecroft.scheduling.scheduler import Scheduler, SchedulerSettings
from sycamorecroft.scheduling.tasks import Run
from sycamorecroft.store.interfaces import Row

START_S = 100.0
STEP_S = 0.02
# Time after the last arrival for which jobs may still complete.
DRAIN_S = 6.0
COMMIT_S = 0.06
ORDER_S = 0.01
# From an order to stop until the run has ended.
STOP_S = 0.15
LIST_INTERVAL_S = 0.9
PLAN_INTERVAL_S = 0.2
# From the order to move a host until its worker is registered.
MOVE_S = 1.9
LEASE_S = 6.0
WORKER_MILLICORES = 64_000
WORKERS_PER_RACK_COUNT = 12
TASK_MILLICORES = 9000
TASK_S = 0.8


class ArrivalPhase(NamedTuple):
    """Jobs arrive at this rate until ``until_s``, counted from the first arrival."""

    until_s: float
    jobs_per_s: float


class ArrivalStream(NamedTuple):
    """Jobs of one client account; an empty name stands for none.

    ``tasks_count`` and ``cpu_millicores`` are those of each step, drawn at random if 0.
    ``priority`` is that of the queue, and ``task_s`` the mean duration of a task.
    """

    account: str
    phases: Sequence[ArrivalPhase]
    tasks_count: int = 0
    cpu_millicores: int = 0
    priority: int = 0
    task_s: float = TASK_S

    def rate(self, elapsed_s: float) -> float:
        """
        :returns: jobs per second at that time after the start.
        """
        rates = (p.jobs_per_s for p in self.phases if elapsed_s < p.until_s)
        return next(rates, 0.0)


class PoolSize(NamedTuple):
    """Number of workers at the start, and the most to which the pool may grow."""

    initial_count: int
    limit_count: int


class LoadResult(NamedTuple):
    """Jobs by outcome, and the share of all work whose jobs completed in time."""

    in_time_count: int
    late_count: int
    incomplete_count: int
    in_time_work_ratio: float


class _JobModel(NamedTuple):
    """A submitted job: actual durations of its steps, and its work."""

    account: str
    submitted_s: float
    durations_s: tuple[float, ...]
    work: float


class _WorkerModel:
    """Runs of one worker."""

    def __init__(self) -> None:
        self.running: dict[str, int] = {}
        self.finished: list[FinishedRun] = []
        self.finished_count = 0
        self.acknowledged = 0
        self.listed_s = 0.0

    def finish(self, task: str, attempt: int, outcome: RunOutcome) -> None:
        """Ends a run unless it has ended before."""
        if self.running.get(task) != attempt:
            return
        del self.running[task]
        self.finished_count += 1
        self.finished.append(
            FinishedRun(self.finished_count, task, attempt, outcome, "")
        )

    def list_runs(self) -> RenewalReply:
        """
        :returns: the run list, without acknowledged runs.
        """
        self.finished = [r for r in self.finished if r.number > self.acknowledged]
        running = tuple(RunningTask(*item, "", 50) for item in self.running.items())
        return RenewalReply(1000, 1, running, tuple(self.finished))


class ServiceLoad:
    """One run of a service under a load.

    :ivar scheduler: scheduler of the service.
    """

    def __init__(
        self,
        streams: Sequence[ArrivalStream],
        pool: PoolSize,
        seed: int,
        fleet: FleetSnapshot | None = None,
        settings: SchedulerSettings | None = None,
    ) -> None:
        """
        :param fleet: configuration at the start.
        :param settings: settings of the scheduler; the defaults if ``None``.
        """
        self.scheduler = Scheduler(SERVICE, settings or SchedulerSettings())
        if fleet is not None:
            self.scheduler.apply_fleet(fleet, START_S)
            self.scheduler.quotas.apply_rows((), START_S)
        self._streams = streams
        self._pool = pool
        self._random = random.Random(seed)
        self._now_s = START_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._jobs: dict[str, _JobModel] = {}
        self._completed_s: dict[str, float] = {}
        self._workers: dict[str, _WorkerModel] = {}
        self._registrations: list[WorkerRegistration] = []
        self._history = DemandHistory()
        self._ordered_count = pool.initial_count
        self._next_plan_s = START_S
        # Streams of equal rates would otherwise send their jobs at the same moments.
        self._arrivals_due = [n / len(streams) for n in range(len(streams))]
        self._is_committing = False
        self._quota_versions = itertools.count(1)

    def run(self) -> LoadResult:
        """
        :returns: the result, once all phases and :data:`DRAIN_S` have passed.
        """
        self._add_workers(self._pool.initial_count)
        last_s = max(stream.phases[-1].until_s for stream in self._streams)
        end_s = START_S + last_s + DRAIN_S
        while self._now_s < end_s:
            self._step()
            self._now_s += STEP_S
        return self.result()

    def at(self, elapsed_s: float, action: Callable[[], None]) -> None:
        """Has an action done at a time after the start."""
        event = (START_S + elapsed_s, next(self._event_numbers), action)
        heapq.heappush(self._events, event)

    def _step(self) -> None:
        now_s, scheduler = self._now_s, self.scheduler
        self._submit_due()
        while self._events and self._events[0][0] <= now_s:
            heapq.heappop(self._events)[2]()
        for worker_id, worker in self._workers.items():
            if now_s - worker.listed_s >= LIST_INTERVAL_S:
                self._apply_list(worker_id, now_s)
        scheduler.tick(now_s, self._now_ms)
        scheduler.place(now_s)
        self._write_quotas()
        self._commit()
        for order in scheduler.take_orders():
            if isinstance(order, StartTask):
                self._after(ORDER_S, lambda run=order.run: self._start(run))
            elif isinstance(order, StopTask):
                self._after(ORDER_S, lambda order=order: self._stop(order))
        self._plan_pool()

    def _write_quotas(self) -> None:
        """Stores grants; no other service has rows."""
        quotas = self.scheduler.quotas
        write = quotas.next_write(self._now_s)
        if write is None:
            return
        result = QuotaWriteResult(write, True, next(self._quota_versions))
        self._after(COMMIT_S, lambda: quotas.apply_result(result, self._now_s))

    @property
    def _now_ms(self) -> int:
        return int(self._now_s * 1000)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self._now_s + delay_s, next(self._event_numbers), action)
        heapq.heappush(self._events, event)

    def _submit_due(self) -> None:
        elapsed_s = self._now_s - START_S
        for number, stream in enumerate(self._streams):
            self._arrivals_due[number] += stream.rate(elapsed_s) * STEP_S
            while self._arrivals_due[number] >= 1:
                self._arrivals_due[number] -= 1
                self._submit(f"j{len(self._jobs):05}", stream)

    def _submit(self, job_id: str, stream: ArrivalStream) -> None:
        uniform = self._random.uniform
        cpu_millicores = int(TASK_MILLICORES * uniform(0.5, 1.5))
        tasks_count = self._random.randint(4, 12)
        cpu_millicores = stream.cpu_millicores or cpu_millicores
        tasks_count = stream.tasks_count or tasks_count
        steps = []
        durations_s = []
        for number in range(self._random.choice([1, 2, 2])):
            duration_s = stream.task_s * uniform(0.7, 1.3)
            step = make_step(
                tasks_count, cpu_millicores, after=(number - 1,) if number else ()
            )
            estimate_ms = int(duration_s * 1000 * uniform(0.7, 1.3))
            steps.append(step._replace(estimate_ms=estimate_ms))
            durations_s.append(duration_s)
        work = tasks_count * cpu_millicores * sum(durations_s)
        account = stream.account
        self._jobs[job_id] = _JobModel(account, self._now_s, tuple(durations_s), work)
        spec = JobSpec(job_id, tuple(steps))
        queue = make_queue(priority=stream.priority)
        row = JobRow(queue, spec, self._now_ms, account)
        rows = (Row(JOBS, job_id, encode_row(row), len(self._jobs), ""),)
        self.scheduler.apply_job_rows(rows, self._now_s, self._now_ms)

    def _add_workers(self, count: int) -> None:
        for _ in range(count):
            number = len(self._workers)
            rack = f"r{number // WORKERS_PER_RACK_COUNT}"
            registration = make_registration(
                f"w{number}", rack=rack, cpu_millicores=WORKER_MILLICORES
            )
            self._registrations.append(registration)
            self._workers[registration.worker_id] = _WorkerModel()
        reports = self.scheduler.reports
        reports.apply_registrations(self._registrations, self._now_s)

    def _start(self, run: Run) -> None:
        name, attempt = run.task.id.name, run.attempt
        worker = self._workers[run.worker_id]
        worker.running[name] = attempt
        duration_s = self._jobs[run.task.job.id].durations_s[run.task.id.step]
        self._after(duration_s, lambda: self._finish(run.worker_id, name, attempt))
        self._after(ORDER_S, lambda: self._confirm(run))

    def _confirm(self, run: Run) -> None:
        reply = OrderReply(OrderStatus.DONE)
        self.scheduler.outcomes.apply_start(run, reply, self._now_s)

    def _stop(self, order: StopTask) -> None:
        reply = OrderReply(OrderStatus.DONE)
        self.scheduler.outcomes.apply_stop(order, reply, self._now_s)
        outcome = RunOutcome.STOPPED
        self._after(
            STOP_S,
            lambda: self._finish(order.worker_id, order.task, order.attempt, outcome),
        )

    def _finish(
        self,
        worker_id: str,
        task: str,
        attempt: int,
        outcome: RunOutcome = RunOutcome.DONE,
    ) -> None:
        self._workers[worker_id].finish(task, attempt, outcome)
        requested_s = self._now_s
        self._after(ORDER_S, lambda: self._apply_list(worker_id, requested_s))

    def _apply_list(self, worker_id: str, requested_s: float) -> None:
        worker = self._workers[worker_id]
        worker.listed_s = self._now_s
        self.scheduler.reports.apply_renewal(
            worker_id,
            worker.list_runs(),
            sent_s=requested_s,
            now_s=self._now_s,
            lease_end_s=self._now_s + LEASE_S,
        )

    def _commit(self) -> None:
        if self._is_committing:
            return
        commit = self.scheduler.next_commit(self._now_s)
        if commit is not None:
            self._is_committing = True
            duration_s = COMMIT_S * self._random.uniform(0.7, 2.0)
            self._after(duration_s, lambda: self._apply_commit(commit))

    def _apply_commit(self, commit: Commit) -> None:
        self._is_committing = False
        self.scheduler.apply_commit(commit, self._now_s)
        for acknowledgement in commit.acknowledgements:
            worker = self._workers[acknowledgement.worker_id]
            worker.acknowledged = acknowledgement.number
        for job in commit.jobs:
            if job.progress is not None and job.progress.state.is_final:
                self._completed_s.setdefault(job.job_id, self._now_s)

    def _plan_pool(self) -> None:
        if self._now_s < self._next_plan_s:
            return
        self._next_plan_s = self._now_s + PLAN_INTERVAL_S
        snapshot = self.scheduler.snapshot(self._now_s)
        self._history.add(snapshot)
        demand = plan_pool(
            snapshot,
            self._history,
            incoming_count=self._ordered_count - len(self._workers),
            minimum_count=self._pool.initial_count,
        )
        available_count = self._pool.limit_count - self._ordered_count
        count = min(demand.grow_count, available_count)
        if count > 0:
            self._ordered_count += count
            self._after(MOVE_S, lambda: self._add_workers(count))

    def result(
        self, account: str | None = None, *, from_s: float = 0.0, to_s: float = math.inf
    ) -> LoadResult:
        """
        :param account: counts only jobs of this account.
        :param from_s: counts only jobs submitted from this time after the start.
        :param to_s: counts only jobs submitted before this time.
        :returns: the jobs by outcome up to now.
        """
        counts = {"in time": 0, "late": 0, "incomplete": 0}
        in_time_work = 0.0
        queue = make_queue()
        total_work = 0.0
        for job_id, job in self._jobs.items():
            if account is not None and job.account != account:
                continue
            if not from_s <= job.submitted_s - START_S < to_s:
                continue
            total_work += job.work
            allowed_s = queue.stretch_ratio * sum(job.durations_s)
            allowed_s += queue.objective_ms / 1000
            completed_s = self._completed_s.get(job_id)
            if completed_s is None:
                counts["incomplete"] += 1
            elif completed_s - job.submitted_s > allowed_s:
                counts["late"] += 1
            else:
                counts["in time"] += 1
                in_time_work += job.work
        return LoadResult(*counts.values(), in_time_work / total_work)
