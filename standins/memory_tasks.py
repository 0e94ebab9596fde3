"""Stand-in of the platform's task service in memory."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from standins.faults import FaultInjector, Operation
from sycamorecroft.clock import Clock
from sycamorecroft.errors import NotLeaseHolderError, PlatformError
from sycamorecroft.store.interfaces import (
    ObjectStore,
    TaskService,
    TaskSize,
    TaskStart,
    TaskState,
    TaskStatus,
)

NO_USAGE = TaskSize(0.0, 0, 0)
_LIVE_STATES = (TaskState.RUNNING, TaskState.THROTTLED)


class TaskPlan(NamedTuple):
    """Behaviour of a task, given by options ``name=value`` in its command.

    ``duration_s`` is the run time at full speed; without it the task runs until
    :meth:`MemoryTasks.finish`. ``outcome`` is ``succeeded`` or ``failed``.
    ``processors`` and ``memory_bytes`` are the actual usage, by default the declared
    size.
    """

    duration_s: float | None
    outcome: TaskState
    usage: TaskSize


def parse_command(request: TaskStart) -> TaskPlan:
    """
    :returns: behaviour of the task.
    :raises PlatformError: when the value of a known option is malformed.
    """
    options = dict(
        word.split("=", 1) for word in request.command.split() if "=" in word
    )
    size = request.size
    try:
        duration = options.get("duration_s")
        return TaskPlan(
            None if duration is None else float(duration),
            TaskState(options.get("outcome", TaskState.SUCCEEDED)),
            TaskSize(
                float(options.get("processors", size.processors_count)),
                int(options.get("memory_bytes", size.memory_bytes)),
                size.accelerators_count,
            ),
        )
    except ValueError as error:
        message = f"command {request.command!r} of task {request.task_id!r}: {error}"
        raise PlatformError(message) from error


class _Task:
    """Task with its progress, which :meth:`advance` computes up to a given time."""

    def __init__(self, request: TaskStart, now_s: float, progress_s: float) -> None:
        self.request = request
        self.plan = parse_command(request)
        self.state = TaskState.RUNNING
        self.detail = ""
        self.checkpoint_key = request.checkpoint_key
        self.progress_s = progress_s
        self.ratio = 1.0
        self.advanced_s = now_s
        self.lease_end_s = now_s + request.lease_s
        self._usage: list[tuple[float, TaskSize]] = [(now_s, self.plan.usage)]

    @property
    def is_live(self) -> bool:
        return self.state in _LIVE_STATES

    def advance(self, now_s: float) -> None:
        if not self.is_live:
            return
        finish_s = self._finish_time_s()
        advance_end_s = min(now_s, finish_s, self.lease_end_s)
        self.progress_s += (advance_end_s - self.advanced_s) * self.ratio
        self.advanced_s = advance_end_s
        if finish_s <= min(now_s, self.lease_end_s):
            self.end(finish_s, self.plan.outcome, "ran to completion")
        elif self.lease_end_s <= now_s:
            self.end(self.lease_end_s, TaskState.LEASE_EXPIRED, "task lease expired")

    def end(self, time_s: float, state: TaskState, detail: str) -> None:
        self.state = state
        self.detail = detail
        self._usage.append((time_s, NO_USAGE))

    def throttle(self, now_s: float, ratio: float) -> None:
        self.ratio = ratio
        self.state = TaskState.THROTTLED if ratio < 1.0 else TaskState.RUNNING
        usage = self.plan.usage
        processors_count = usage.processors_count * ratio
        self._usage.append((now_s, usage._replace(processors_count=processors_count)))

    def status(self, usage_time_s: float) -> TaskStatus:
        past_usage = [usage for time_s, usage in self._usage if time_s <= usage_time_s]
        return TaskStatus(
            self.request.task_id,
            self.request.worker,
            self.state,
            past_usage[-1] if past_usage else NO_USAGE,
            self.checkpoint_key,
            self.detail,
        )

    def _finish_time_s(self) -> float:
        if self.plan.duration_s is None or self.ratio <= 0:
            return float("inf")
        remaining_s = max(0.0, self.plan.duration_s - self.progress_s)
        return self.advanced_s + remaining_s / self.ratio


class MemoryTasks(TaskService):
    """Task service whose tasks progress with a clock. Thread-safe.

    :param objects: object store for checkpoints.
    :param usage_lag_s: age of the usage in task statuses.
    :param is_worker: returns whether a name is that of a worker that accepts tasks.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        objects: ObjectStore,
        usage_lag_s: float = 0.0,
        faults: FaultInjector | None = None,
        is_worker: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self.faults = faults or FaultInjector(clock)
        self.usage_lag_s = usage_lag_s
        self._clock = clock
        self._objects = objects
        self._is_worker = is_worker
        self._lock = threading.RLock()
        self._tasks: dict[str, _Task] = {}
        self._epochs: dict[str, int] = {}
        self._failing_workers: set[str] = set()

    def start(self, request: TaskStart) -> None:
        self.faults.call(Operation.WRITE, lambda: self._start_task(request))

    def list_tasks(self, worker: str) -> tuple[TaskStatus, ...]:
        return self.faults.call(Operation.READ, lambda: self._list_statuses(worker))

    def list_usage(self) -> tuple[TaskStatus, ...]:
        """
        :returns: statuses of the tasks of all workers.
        """
        return self.faults.call(Operation.READ, lambda: self._list_statuses(None))

    def get(self, task_id: str) -> TaskStatus | None:
        def action() -> TaskStatus | None:
            found = [
                item for item in self._list_statuses(None) if item.task_id == task_id
            ]
            return found[0] if found else None

        return self.faults.call(Operation.READ, action)

    def renew(self, task_id: str, *, epoch: int, lease_s: float) -> None:
        def action(task: _Task, now_s: float) -> None:
            if not task.is_live:
                raise PlatformError(f"task {task_id!r} has ended: {task.state}")
            task.lease_end_s = now_s + lease_s

        self._update_task(task_id, epoch, action)

    def checkpoint(self, task_id: str, *, epoch: int) -> None:
        def action(task: _Task, now_s: float) -> None:
            if task.is_live:
                key = f"checkpoints/{task_id}"
                self._objects.put(key, repr(task.progress_s).encode())
                task.checkpoint_key = key

        self._update_task(task_id, epoch, action)

    def throttle(self, task_id: str, *, epoch: int, ratio: float) -> None:
        def action(task: _Task, now_s: float) -> None:
            if task.is_live:
                task.throttle(now_s, ratio)

        if not 0.0 <= ratio <= 1.0:
            raise PlatformError(f"throttle ratio must be from 0.0 to 1.0, got {ratio}")
        self._update_task(task_id, epoch, action)

    def stop(self, task_id: str, *, epoch: int) -> None:
        def action(task: _Task, now_s: float) -> None:
            if task.is_live:
                task.end(now_s, TaskState.STOPPED, "stopped")

        self._update_task(task_id, epoch, action)

    def finish(self, task_id: str, state: TaskState, detail: str = "") -> None:
        """Ends a live task, as if it had finished by itself."""
        with self._lock:
            now_s = self._advance()
            task = self._tasks[task_id]
            if task.is_live:
                task.end(now_s, state, detail)

    def set_failing(self, worker: str, is_failing: bool) -> None:
        """Sets whether tasks started on ``worker`` from now on fail at once."""
        with self._lock:
            update = self._failing_workers.add
            if not is_failing:
                update = self._failing_workers.discard
            update(worker)

    def lose_worker(self, worker: str) -> None:
        """Ends all tasks of a worker, as when its host reboots."""
        with self._lock:
            now_s = self._advance()
            for task in self._tasks.values():
                if task.is_live and task.request.worker == worker:
                    task.end(now_s, TaskState.STOPPED, "the worker was lost")

    def _advance(self) -> float:
        now_s = self._clock.monotonic_s()
        for task in self._tasks.values():
            task.advance(now_s)
        return now_s

    def _list_statuses(self, worker: str | None) -> tuple[TaskStatus, ...]:
        with self._lock:
            usage_time_s = self._advance() - self.usage_lag_s
            return tuple(
                task.status(usage_time_s)
                for task in self._tasks.values()
                if worker in (None, task.request.worker)
            )

    def _start_task(self, request: TaskStart) -> None:
        with self._lock:
            now_s = self._advance()
            self._require_epoch(request.fence, request.epoch)
            if request.task_id in self._tasks:
                return
            if not self._is_worker(request.worker):
                raise PlatformError(f"worker {request.worker!r} takes no tasks")
            task = _Task(request, now_s, self._load_progress_s(request))
            self._tasks[request.task_id] = task
            if request.worker in self._failing_workers:
                task.end(now_s, TaskState.FAILED, "the worker is set to fail all tasks")

    def _load_progress_s(self, request: TaskStart) -> float:
        if request.checkpoint_key is None:
            return 0.0
        body = self._objects.get(request.checkpoint_key)
        return 0.0 if body is None else float(body)

    def _update_task(
        self, task_id: str, epoch: int, action: Callable[[_Task, float], None]
    ) -> None:
        def checked_action() -> None:
            with self._lock:
                now_s = self._advance()
                task = self._tasks.get(task_id)
                if task is None:
                    raise PlatformError(f"task {task_id!r} does not exist")
                self._require_epoch(task.request.fence, epoch)
                action(task, now_s)

        self.faults.call(Operation.WRITE, checked_action)

    def _require_epoch(self, fence: str, epoch: int) -> None:
        highest_epoch = self._epochs.get(fence, epoch)
        if epoch < highest_epoch:
            message = (
                f"epoch {epoch} of fence {fence!r} is below the highest seen, "
                f"{highest_epoch}"
            )
            raise NotLeaseHolderError(message)
        self._epochs[fence] = epoch
