"""Live attempts of a pool as seen and steered by its controller."""

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
from sycamorecroft.jobs.transitions import LIVE_TASK_STATES, is_over
from sycamorecroft.jobs.usage import largest
from sycamorecroft.store.interfaces import (
    TaskService,
    TaskSize,
    TaskStart,
    TaskState,
    TaskStatus,
)

NO_USAGE = TaskSize(0.0, 0, 0)


class StartOutcome(StrEnum):
    """What is known of the start of a task."""

    STARTED = "started"
    REFUSED = "refused"
    REFUSED_AFTER_UNKNOWN = "refused_after_unknown"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


class _Progress:
    """What the controller remembers of an attempt; a new controller starts afresh."""

    def __init__(self) -> None:
        self.peak = NO_USAGE
        self.renew_s = 0.0
        self.checkpoint_asked_s: float | None = None


class LiveTasks:
    """Calls to the task service on behalf of one lease epoch. Not thread-safe."""

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
        self._observe_s: dict[str, float] = {}
        self._progress: dict[str, _Progress] = {}
        self._unknown_starts: set[str] = set()

    def reset(self) -> None:
        """Forgets what an earlier epoch knew."""
        self._progress.clear()
        self._unknown_starts.clear()
        self._observe_s.clear()

    def keep_only(self, records: Iterable[JobRecord]) -> None:
        """Forgets all attempts but these."""
        kept = {task_id_of(record) for record in records}
        self._unknown_starts &= kept
        for task_id in self._progress.keys() - kept:
            del self._progress[task_id]

    def observe(
        self, busy: Iterable[str], urgent: Collection[str], now_s: float
    ) -> Mapping[str, TaskStatus]:
        """Lists the tasks of workers that are due.

        :param busy: workers with an attempt that may be running.
        :param urgent: workers that are due in each step.
        :returns: tasks by id; those of workers not due or without answer are absent.
        :raises InvariantError: if a job has several live attempts (I9).
        """
        found: dict[str, TaskStatus] = {}
        due_s: dict[str, float] = {}
        for worker in sorted(busy):
            due_s[worker] = self._observe_s.get(worker, now_s)
            if worker not in urgent and now_s < due_s[worker]:
                continue
            try:
                listed = self._tasks.list_tasks(worker)
            except PlatformError:
                continue
            due_s[worker] = now_s + self._observe_interval_s
            found.update((status.task_id, status) for status in listed)
        self._observe_s = due_s
        _check_single_attempts(found.values())
        return found

    def start(self, record: JobRecord, epoch: int) -> StartOutcome:
        """Starts the job's last attempt; repeating it has no further effect.

        :raises NotLeaseHolderError: when a higher epoch has been seen.
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

        :raises NotLeaseHolderError: when a higher epoch has been seen.
        """
        for record in records:
            progress = self._progress_of(record)
            if now_s < progress.renew_s:
                continue
            task_id = task_id_of(record)
            try:
                self._tasks.renew(task_id, epoch=epoch, lease_s=self._lease_s)
            except PlatformError:
                continue
            progress.renew_s = now_s + self._lease_s / 2

    def note_usage(self, record: JobRecord, status: TaskStatus) -> TaskSize:
        """
        :returns: the largest usage of the job in any attempt that is known of.
        """
        progress = self._progress_of(record)
        progress.peak = largest(progress.peak, status.usage)
        if record["peak"] is not None:
            progress.peak = largest(progress.peak, task_size(record["peak"]))
        return progress.peak

    def stop(self, record: JobRecord, epoch: int) -> None:
        """Asks for the end of the attempt; its status tells when it has ended.

        :raises NotLeaseHolderError: when a higher epoch has been seen.
        """
        with suppress(PlatformError):
            self._tasks.stop(task_id_of(record), epoch=epoch)

    def checkpoint_then_stop(
        self, record: JobRecord, status: TaskStatus, epoch: int, now_s: float
    ) -> None:
        """Moves one step on: asks for a checkpoint, or stops once there is one.

        :raises NotLeaseHolderError: when a higher epoch has been seen.
        """
        progress = self._progress_of(record)
        if progress.checkpoint_asked_s is None:
            with suppress(PlatformError):
                self._tasks.checkpoint(status.task_id, epoch=epoch)
                progress.checkpoint_asked_s = now_s
            return
        waited_s = now_s - progress.checkpoint_asked_s
        is_written = status.checkpoint_key not in (None, record["checkpoint_key"])
        if is_written or waited_s >= self._checkpoint_timeout_s:
            self.stop(record, epoch)

    def limit_size(
        self, record: JobRecord, status: TaskStatus, epoch: int, now_s: float
    ) -> None:
        """Throttles a task that is over its size, then has it restarted.

        :raises NotLeaseHolderError: when a higher epoch has been seen.
        """
        progress = self._progress_of(record)
        if status.state is TaskState.THROTTLED:
            self.checkpoint_then_stop(record, status, epoch, now_s)
            return
        assert record["granted"] is not None
        if is_over(status.usage, task_size(record["granted"])):
            progress.peak = largest(progress.peak, status.usage)
            with suppress(PlatformError):
                ratio = self._throttle_ratio
                self._tasks.throttle(status.task_id, epoch=epoch, ratio=ratio)

    def _progress_of(self, record: JobRecord) -> _Progress:
        return self._progress.setdefault(task_id_of(record), _Progress())


def _check_single_attempts(statuses: Iterable[TaskStatus]) -> None:
    live: dict[str, list[int]] = {}
    for status in statuses:
        if status.state in LIVE_TASK_STATES:
            job_id, _, attempt = status.task_id.rpartition(":")
            live.setdefault(job_id, []).append(int(attempt))
    for job_id, attempts in live.items():
        check_job_single_attempt(job_id, attempts)
