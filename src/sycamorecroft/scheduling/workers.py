"""State of a service's workers in the memory of the service's owner."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources, WorkerRegistration
from sycamorecroft.scheduling.shallow_copy import shallow_copy
from sycamorecroft.scheduling.tasks import Run, RunPhase, Task

# A healthy worker answers a call to renew leases at least once in this time.
CONTACT_TIMEOUT_S = 2.5
# A worker is quarantined after consecutive failures of this many distinct jobs.
FAILED_JOBS_TO_QUARANTINE_COUNT = 3
# A worker is quarantined after this many consecutive failures of two jobs or more.
FAILURES_TO_QUARANTINE_COUNT = 4
QUARANTINE_S = 2.0
# A run whose progress hasn't changed for this long is stalled.
STALLED_S = 1.5
# Weight of the latest run in the moving average of actual to estimated duration.
RATIO_WEIGHT = 0.3
RATIO_SAMPLES_MIN_COUNT = 3
# A worker this many times slower than the median of its pool is ranked last.
SLOW_RATIO = 2.0
QUARANTINE_MAX_S = 8.0


class StepKey(NamedTuple):
    """Key of the number of tasks of a step on a worker."""

    job_id: str
    occurrence: int
    step: int


class Worker:
    """A worker of the service, with the runs assigned to it.

    All times are monotonic. ``lease_end_s`` is the time by which the worker has ended
    all runs unless their leases are renewed. ``unlisted_lease_end_s`` is that for runs
    that its latest incarnation hasn't listed: they may be in progress on a later one,
    on whose clock the deadlines given to it lie far in the future.
    ``first_contact_s`` and ``last_contact_s`` are the times of its first and its last
    run list under this owner, ``list_requested_s`` that at which the last one was
    requested, ``registered_s`` the time at which its registration was first seen, and
    ``throttled_s`` the time at which the shares of its runs last changed.
    ``incarnation_ms`` is that of its run lists, 0 before the first one, and
    ``incarnation_seen_s`` the time at which the first list of it was applied.
    ``is_evacuation_target``: its free capacity is kept for a long-running task that
    moves off another worker. ``is_reserved`` and ``is_due`` are marks of planned work.
    ``run_changes_count`` rises with each change of its runs.
    """

    def __init__(
        self,
        registration: WorkerRegistration,
        lease_end_s: float,
        registered_s: float = 0.0,
    ) -> None:
        self.registration = registration
        self.registered_s = registered_s
        self.is_registered = True
        self.is_reserved = False
        self.is_due = False
        self.is_evacuation_target = False
        self.lease_end_s = lease_end_s
        self.unlisted_lease_end_s = lease_end_s
        self.first_contact_s: float | None = None
        self.last_contact_s: float | None = None
        self.list_requested_s = 0.0
        self.is_contact_lost = False
        self.incarnation_ms = 0
        self.incarnation_seen_s = 0.0
        self.runs: dict[str, Run] = {}
        self.run_changes_count = 0
        self.used = Resources()
        self._used_by_long_running = Resources()
        self.long_running_count = 0
        self.last_processed_number = 0
        self._step_task_counts: dict[StepKey, int] = {}
        self._failed_jobs: set[str] = set()
        self._failures_count = 0
        self._quarantines_count = 0
        self.quarantined_until_s = 0.0
        self._time_ratio = 0.0
        self._time_samples_count = 0
        self.throttled_s = 0.0
        self.is_slow = False
        self.is_stalled = False

    def copy(self) -> "Worker":
        """
        :returns: a copy, to which runs can be added without changing this worker.
        """
        twin = shallow_copy(self)
        twin.runs = self.runs.copy()
        twin._step_task_counts = self._step_task_counts.copy()
        twin._failed_jobs = self._failed_jobs.copy()
        return twin

    @property
    def id(self) -> str:
        """Id of the worker's registration."""
        return self.registration.worker_id

    @property
    def labels(self) -> tuple[str, ...]:
        """Labels that the worker is known to have.

        A worker that starts again under its id may be of another kind. Until it has
        registered again only its rack is known, which stays.
        """
        registration = self.registration
        known_ms = self.incarnation_ms
        if known_ms and registration.incarnation_ms not in (0, known_ms):
            return registration.labels[-1:]
        return registration.labels

    @property
    def free(self) -> Resources:
        """Capacity that isn't allocated to a run."""
        return self.registration.capacity.minus(self.used)

    @property
    def free_without_short_tasks(self) -> Resources:
        """Capacity that is free once all but the long-running tasks have ended."""
        return self.registration.capacity.minus(self._used_by_long_running)

    @property
    def load_ratio(self) -> float:
        """Share of the CPU capacity that is allocated to runs."""
        capacity_millicores = self.registration.capacity.cpu_millicores
        return self.used.cpu_millicores / max(1, capacity_millicores)

    def is_in_contact(self, now_s: float) -> bool:
        """
        :returns: whether the worker answered within the last 2.5 s.
        """
        return (
            self.last_contact_s is not None
            and now_s - self.last_contact_s < CONTACT_TIMEOUT_S
        )

    def has_listed_runs_after(self, duration_s: float) -> bool:
        """
        :returns: whether the latest run list was requested at least ``duration_s``
            seconds after the first one arrived.
        """
        return (
            self.first_contact_s is not None
            and self.list_requested_s - self.first_contact_s >= duration_s
        )

    def is_presumed_reachable(self, now_s: float) -> bool:
        """
        :returns: whether the worker is in contact, or registered so recently that it
            may not have been called yet.
        """
        if self.last_contact_s is None:
            return now_s - self.registered_s < CONTACT_TIMEOUT_S
        return self.is_in_contact(now_s)

    def run_lease_end_s(self, run: Run) -> float:
        """
        :returns: monotonic time by which the worker has ended a run unless its lease is
            renewed.
        """
        if 0 < run.listed_incarnation_ms == self.incarnation_ms:
            return self.lease_end_s
        return max(self.lease_end_s, self.unlisted_lease_end_s)

    def accepts_tasks(self, now_s: float) -> bool:
        """
        :returns: whether new tasks may be placed on the worker.
        """
        return (
            self.is_registered
            and not self.registration.is_draining
            and not self.is_reserved
            and now_s >= self.quarantined_until_s
            and self.is_in_contact(now_s)
        )

    def add(self, run: Run) -> None:
        """Adds a run and allocates its resources."""
        task = run.task
        self.runs[task.id.name] = run
        self.run_changes_count += 1
        allocation = task.spec.allocation
        self.used = self.used.plus(allocation)
        if task.spec.is_long_running:
            self.long_running_count += 1
            self._used_by_long_running = self._used_by_long_running.plus(allocation)
        key = _step_key(task)
        self._step_task_counts[key] = self._step_task_counts.get(key, 0) + 1

    def remove(self, run: Run) -> None:
        """Removes a run and releases its resources."""
        task = run.task
        if self.runs.pop(task.id.name, None) is None:
            return
        self.run_changes_count += 1
        allocation = task.spec.allocation
        self.used = self.used.minus(allocation)
        if task.spec.is_long_running:
            self.long_running_count -= 1
            self._used_by_long_running = self._used_by_long_running.minus(allocation)
        key = _step_key(task)
        self._step_task_counts[key] -= 1
        if not self._step_task_counts[key]:
            del self._step_task_counts[key]

    def step_tasks_count(self, task: Task) -> int:
        """
        :returns: number of tasks of the task's step that are assigned to the worker.
        """
        return self._step_task_counts.get(_step_key(task), 0)

    @property
    def failed_jobs_count(self) -> int:
        """Number of jobs whose runs failed here since the last successful run."""
        return len(self._failed_jobs)

    @property
    def time_ratio(self) -> float | None:
        """Mean ratio of actual to estimated duration, ``None`` with too few samples."""
        if self._time_samples_count < RATIO_SAMPLES_MIN_COUNT:
            return None
        return self._time_ratio

    def record_duration(self, ratio: float) -> None:
        """Records the ratio of a run's actual to its estimated duration."""
        weight = RATIO_WEIGHT if self._time_samples_count else 1.0
        self._time_ratio += weight * (ratio - self._time_ratio)
        self._time_samples_count += 1

    def has_stalled_run(self, now_s: float) -> bool:
        """
        :returns: whether a run that should make progress makes none.
        """
        return any(
            run.progress_percent < 100 and now_s - run.progressed_s > STALLED_S
            for run in self.runs.values()
            if run.phase is RunPhase.RUNNING and not run.task.spec.is_long_running
        )

    def record_success(self) -> None:
        """Records a successful run, which resets the counts of failures."""
        self._failed_jobs.clear()
        self._failures_count = 0
        self._quarantines_count = 0

    def record_failure(self, job_id: str, now_s: float) -> bool:
        """Records a failed run.

        Failures of several jobs with no success in between indicate a fault of the
        worker rather than of the jobs.

        :returns: whether the worker was quarantined as a result.
        """
        self._failed_jobs.add(job_id)
        self._failures_count += 1
        jobs_count = len(self._failed_jobs)
        is_repeated = self._failures_count >= FAILURES_TO_QUARANTINE_COUNT
        if jobs_count < FAILED_JOBS_TO_QUARANTINE_COUNT and (
            jobs_count < 2 or not is_repeated
        ):
            return False
        self.quarantine(now_s)
        return True

    def quarantine(self, now_s: float) -> None:
        """Excludes the worker from placement: 2 s at first, then doubled up to 8 s."""
        duration_s = min(QUARANTINE_MAX_S, QUARANTINE_S * 2**self._quarantines_count)
        self._quarantines_count = min(8, self._quarantines_count + 1)
        self.quarantined_until_s = now_s + duration_s


def flag_slow_workers(workers: Iterable[Worker]) -> None:
    """Flags workers that take much longer than the median of the pool."""
    rated = [worker for worker in workers if worker.time_ratio is not None]
    if not rated:
        return
    median_ratio = median(worker.time_ratio for worker in rated)
    for worker in rated:
        worker.is_slow = worker.time_ratio > SLOW_RATIO * median_ratio


def _step_key(task: Task) -> StepKey:
    task_id = task.id
    return StepKey(task_id.job_id, task_id.occurrence, task_id.step)
