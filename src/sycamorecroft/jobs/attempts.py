"""Observes and controls the tasks that execute a pool's job attempts."""

from collections.abc import Collection, Iterable, Mapping
from contextlib import suppress
from enum import StrEnum

from sycamorecroft.errors import (
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.invariants import check_job_single_attempt
from sycamorecroft.jobs.records import JobRecord, task_id_of, task_size
from sycamorecroft.jobs.transitions import LIVE_TASK_STATES, exceeds_size
from sycamorecroft.jobs.usage import elementwise_max
from sycamorecroft.store.interfaces import (
    TaskService,
    TaskSize,
    TaskStart,
    TaskState,
    TaskStatus,
)

NO_USAGE = TaskSize(0.0, 0, 0)


class StartOutcome(StrEnum):
    """What is known about a requested start of a task."""

    STARTED = "started"
    REFUSED = "refused"
    REFUSED_AFTER_UNKNOWN = "refused_after_unknown"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


class _AttemptProgress:
    """In-memory progress of an attempt, lost when another controller takes over."""

    def __init__(self) -> None:
        self.peak = NO_USAGE
        self.next_renewal_s = 0.0
        self.checkpoint_requested_s: float | None = None


class AttemptManager:
    """Calls the task service on behalf of the lease holder. Not thread-safe."""

    def __init__(
        self,
        tasks: TaskService,
        *,
        fence: str,
        lease_s: float,
        checkpoint_timeout_s: float,
        throttle_ratio: float,
        observe_interval_s: float,
    ) -> None:
        self._tasks = tasks
        self._fence = fence
        self._lease_s = lease_s
        self._checkpoint_timeout_s = checkpoint_timeout_s
        self._throttle_ratio = throttle_ratio
        self._observe_interval_s = observe_interval_s
        self._next_listing_s: dict[str, float] = {}
        self._progress: dict[str, _AttemptProgress] = {}
        self._unknown_starts: set[str] = set()

    def reset(self) -> None:
        """Discards everything observed under an earlier lease epoch."""
        self._progress.clear()
        self._unknown_starts.clear()
        self._next_listing_s.clear()

    def retain(self, records: Iterable[JobRecord]) -> None:
        """Discards the progress of all attempts except these."""
        retained = {task_id_of(record) for record in records}
        self._unknown_starts &= retained
        for task_id in self._progress.keys() - retained:
            del self._progress[task_id]

    def observe(
        self, busy_workers: Iterable[str], always_listed: Collection[str], now_s: float
    ) -> Mapping[str, TaskStatus]:
        """Lists the tasks of the workers whose listing is due.

        :param busy_workers: workers with an attempt that may be running.
        :param always_listed: workers whose tasks are listed in each step.
        :param now_s: monotonic time.
        :returns: task statuses by task id, without those of workers that were not due
            or didn't respond.
        :raises InvariantError: if a job has several live attempts (I9).
        """
        statuses: dict[str, TaskStatus] = {}
        next_listing_s: dict[str, float] = {}
        for worker in sorted(busy_workers):
            next_listing_s[worker] = self._next_listing_s.get(worker, now_s)
            if worker not in always_listed and now_s < next_listing_s[worker]:
                continue
            try:
                worker_statuses = self._tasks.list_tasks(worker)
            except PlatformError:
                continue
            next_listing_s[worker] = now_s + self._observe_interval_s
            statuses.update((status.task_id, status) for status in worker_statuses)
        self._next_listing_s = next_listing_s
        _check_single_attempts(statuses.values())
        return statuses

    def start(self, record: JobRecord, epoch: int) -> StartOutcome:
        """Starts the task of the job's latest attempt. Idempotent.

        :raises NotLeaseHolderError: when the platform knows a higher lease epoch.
        """
        task_id = task_id_of(record)
        assert record["worker"] is not None
        assert record["granted"] is not None
        request = TaskStart(
            task_id=task_id,
            worker=record["worker"],
            fence=self._fence,
            epoch=epoch,
            lease_s=self._lease_s,
            size=task_size(record["granted"]),
            command=record["command"],
            checkpoint_key=record["checkpoint_key"],
        )
        try:
            self._tasks.start(request)
        except StoreOutcomeUnknownError:
            self._unknown_starts.add(task_id)
            return StartOutcome.UNKNOWN
        except StoreUnavailableError:
            return StartOutcome.NOT_SENT
        except PlatformError:
            if task_id in self._unknown_starts:
                return StartOutcome.REFUSED_AFTER_UNKNOWN
            return StartOutcome.REFUSED
        return StartOutcome.STARTED

    def renew_due(self, records: Iterable[JobRecord], epoch: int, now_s: float) -> None:
        """Renews leases that have used half of their term.

        :raises NotLeaseHolderError: when the platform knows a higher lease epoch.
        """
        for record in records:
            progress = self._progress_of(record)
            if now_s < progress.next_renewal_s:
                continue
            task_id = task_id_of(record)
            try:
                self._tasks.renew(task_id, epoch=epoch, lease_s=self._lease_s)
            except PlatformError:
                continue
            progress.next_renewal_s = now_s + self._lease_s / 2

    def update_peak(self, record: JobRecord, status: TaskStatus) -> TaskSize:
        """
        :returns: the largest usage of the job in all attempts observed so far.
        """
        progress = self._progress_of(record)
        progress.peak = elementwise_max(progress.peak, status.usage)
        if record["peak"] is not None:
            progress.peak = elementwise_max(progress.peak, task_size(record["peak"]))
        return progress.peak

    def stop(self, record: JobRecord, epoch: int) -> None:
        """Requests the end of the attempt; its status shows when it has ended.

        :raises NotLeaseHolderError: when the platform knows a higher lease epoch.
        """
        with suppress(PlatformError):
            self._tasks.stop(task_id_of(record), epoch=epoch)

    def checkpoint_then_stop(
        self, record: JobRecord, status: TaskStatus, epoch: int, now_s: float
    ) -> None:
        """Requests a checkpoint, or stops the task once the checkpoint is written.

        The task is also stopped if the checkpoint isn't written before its time-out.

        :raises NotLeaseHolderError: when the platform knows a higher lease epoch.
        """
        progress = self._progress_of(record)
        if progress.checkpoint_requested_s is None:
            with suppress(PlatformError):
                self._tasks.checkpoint(status.task_id, epoch=epoch)
                progress.checkpoint_requested_s = now_s
            return
        waited_s = now_s - progress.checkpoint_requested_s
        is_written = status.checkpoint_key not in (None, record["checkpoint_key"])
        if is_written or waited_s >= self._checkpoint_timeout_s:
            self.stop(record, epoch)

    def enforce_size(
        self, record: JobRecord, status: TaskStatus, epoch: int, now_s: float
    ) -> None:
        """Throttles a task that exceeds its size, then checkpoints and stops it.

        :raises NotLeaseHolderError: when the platform knows a higher lease epoch.
        """
        progress = self._progress_of(record)
        if status.state is TaskState.THROTTLED:
            self.checkpoint_then_stop(record, status, epoch, now_s)
            return
        assert record["granted"] is not None
        if exceeds_size(status.usage, task_size(record["granted"])):
            progress.peak = elementwise_max(progress.peak, status.usage)
            with suppress(PlatformError):
                ratio = self._throttle_ratio
                self._tasks.throttle(status.task_id, epoch=epoch, ratio=ratio)

    def _progress_of(self, record: JobRecord) -> _AttemptProgress:
        return self._progress.setdefault(task_id_of(record), _AttemptProgress())


def _check_single_attempts(statuses: Iterable[TaskStatus]) -> None:
    live: dict[str, list[int]] = {}
    for status in statuses:
        if status.state in LIVE_TASK_STATES:
            job_id, _, attempt = status.task_id.rpartition(":")
            live.setdefault(job_id, []).append(int(attempt))
    for job_id, attempts in live.items():
        check_job_single_attempt(job_id, attempts)
