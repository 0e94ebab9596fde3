"""Measures the load of a service for the fleet controller and the log."""

import math
from collections import deque
from collections.abc import Callable, Container, Iterable, Sequence
from typing import NamedTuple

import structlog

from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot
from sycamorecroft.scheduling.tasks import WaitingStep
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

# The rate of arriving work is measured over each of these times. The short ones show a
# burst sooner, the long ones more precisely.
ARRIVAL_WINDOWS_S = (0.25, 0.5, 1.0)
WAITING_LOG_INTERVAL_S = 1.0


class Arrival(NamedTuple):
    """Estimated work of an accepted job of a client account, "" if it has none."""

    at_s: float
    millicore_s: float
    account: str = ""


class LoadMonitor:
    """Measures arriving, running and waiting work of a service. Not thread-safe."""

    def __init__(self, service: str, epoch: int) -> None:
        """
        :param epoch: epoch of the owner's claim, for log lines.
        """
        self._service = service
        self._epoch = epoch
        self._arrivals: deque[Arrival] = deque()
        self._waiting_logged_s = 0.0

    def record_arrival(self, job: Job, now_s: float) -> None:
        """Records a job's estimated work, unless it is scheduled or long-running."""
        if job.spec.is_scheduled or job.is_long_running:
            return
        work_ms = sum(
            step.tasks_count * step.allocation.cpu_millicores * step.estimate_ms
            for step in job.spec.steps
        )
        self._arrivals.append(Arrival(now_s, work_ms / 1000, job.account))

    def snapshot(
        self,
        steps: Iterable[WaitingStep],
        workers: Iterable[Worker],
        now_s: float,
        marks_version: int = 0,
        is_limited: Callable[[str], bool] | None = None,
    ) -> PoolSnapshot:
        """
        :param steps: all steps that have waiting tasks.
        :param marks_version: version of the marks that are applied to the workers.
        :param is_limited: returns whether an account's waiting tasks can't run because
            of its limit, so that they are no demand; ``None`` without limits.
        :returns: load of the service's workers.
        """
        workers = list(workers)
        waiting = list(steps)
        limited = self._limited_accounts(waiting, is_limited)
        demanding = [s for s in waiting if s.tasks[0].job.account not in limited]
        demand = Resources()
        for step in demanding:
            demand = demand.plus(_demand(step))
        registered = [worker for worker in workers if worker.is_registered]
        snapshot = PoolSnapshot(
            now_s,
            tuple(_worker_snapshot(worker, now_s) for worker in registered),
            demand,
            sum(len(step.waiting) for step in demanding if _is_long_running(step)),
            self._arriving_millicores(now_s, limited),
            marks_version,
        )
        if waiting:
            self._log_waiting(snapshot, waiting, workers)
        return snapshot

    def _limited_accounts(
        self,
        waiting: Iterable[WaitingStep],
        is_limited: Callable[[str], bool] | None,
    ) -> frozenset[str]:
        if is_limited is None:
            return frozenset()
        accounts = {step.tasks[0].job.account for step in waiting}
        accounts.update(arrival.account for arrival in self._arrivals)
        accounts.discard("")
        return frozenset(filter(is_limited, accounts))

    def _arriving_millicores(self, now_s: float, limited: Container[str]) -> int:
        longest_s = max(ARRIVAL_WINDOWS_S)
        while self._arrivals and now_s - self._arrivals[0].at_s > longest_s:
            self._arrivals.popleft()
        arrivals = [a for a in self._arrivals if a.account not in limited]
        rates = (_arrival_rate(arrivals, now_s, w) for w in ARRIVAL_WINDOWS_S)
        return int(max(rates))

    def _log_waiting(
        self,
        snapshot: PoolSnapshot,
        waiting: Sequence[WaitingStep],
        workers: Sequence[Worker],
    ) -> None:
        """Logs, once a second at most, how much waits and what capacity is free."""
        now_s = snapshot.taken_s
        if now_s - self._waiting_logged_s < WAITING_LOG_INTERVAL_S:
            return
        self._waiting_logged_s = now_s
        usable = [worker for worker in workers if worker.accepts_tasks(now_s)]
        oldest_s = min(
            task.waiting_since_s for step in waiting for task in step.waiting
        )
        _log.info(
            "tasks_wait",
            service=self._service,
            epoch=self._epoch,
            tasks_count=sum(len(step.waiting) for step in waiting),
            waiting_cpu_millicores=snapshot.waiting.cpu_millicores,
            workers_count=len(workers),
            usable_workers_count=len(usable),
            free_cpu_millicores=sum(w.free.cpu_millicores for w in usable),
            oldest_wait_s=round(now_s - oldest_s, 3),
        )


def _arrival_rate(arrivals: Iterable[Arrival], now_s: float, window_s: float) -> float:
    """Returns the rate of arriving work, less its standard error.

    Jobs of work w that arrive at random amount to the sum of w within the window,
    with a variance of the sum of their squares (compound Poisson process). So a few
    large jobs count as chance and many small ones as a rate.
    """
    works = [a.millicore_s for a in arrivals if now_s - a.at_s <= window_s]
    standard_error = math.sqrt(sum(work * work for work in works))
    return (sum(works) - standard_error) / window_s


def _demand(step: WaitingStep) -> Resources:
    """Returns the sum over the waiting tasks, which are of the same size."""
    allocation = step.waiting[0].spec.allocation
    return Resources(*(amount * len(step.waiting) for amount in allocation))


def _is_long_running(step: WaitingStep) -> bool:
    return step.waiting[0].spec.is_long_running


def _worker_snapshot(worker: Worker, now_s: float) -> WorkerSnapshot:
    return WorkerSnapshot(
        worker.id,
        worker.registration.host,
        worker.registration.capacity,
        worker.used,
        len(worker.runs),
        worker.long_running_count,
        worker.is_reserved,
        worker.is_in_contact(now_s),
        worker.is_presumed_reachable(now_s),
        worker.registration.is_draining,
    )
