"""Task service of the platform in memory."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from standins.faults import FaultSwitch, Operation
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
    """What a task does, read from the words ``name=value`` of its command.

    ``duration_s`` is run time at full speed, ``None`` until :meth:`MemoryTasks.finish`.
    ``outcome`` is ``succeeded`` or ``failed``. ``processors`` and ``memory_bytes`` are
    the real usage; the declared size is used where they are absent.
    """

    duration_s: float | None
    outcome: TaskState
    usage: TaskSize


def parse_command(request: TaskStart) -> TaskPlan:
    """
    :raises PlatformError: when a value of a known name can't be read.
    """
    words = dict(word.split("=", 1) for word in request.command.split() if "=" in word)
    size = request.size
    try:
        duration = words.get("duration_s")
        return TaskPlan(
            None if duration is None else float(duration),
            TaskState(words.get("outcome", TaskState.SUCCEEDED)),
            TaskSize(
                float(words.get("processors", size.processors_count)),
                int(words.get("memory_bytes", size.memory_bytes)),
                size.accelerators_count,
            ),
        )
    except ValueError as error:
        message = f"command {request.command!r} of {request.task_id!r}: {error}"
        raise PlatformError(message) from error


class _Task:
    """A task and its progress, which is brought up to date by :meth:`advance`."""

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
        until_s = min(now_s, finish_s, self.lease_end_s)
        self.progress_s += (until_s - self.advanced_s) * self.ratio
        self.advanced_s = until_s
        if finish_s <= min(now_s, self.lease_end_s):
            self.end(finish_s, self.plan.outcome, "ran to its end")
        elif self.lease_end_s <= now_s:
            self.end(self.lease_end_s, TaskState.LEASE_EXPIRED, "lease lapsed")

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
        past = [usage for time_s, usage in self._usage if time_s <= usage_time_s]
        return TaskStatus(
            self.request.task_id,
            self.request.worker,
            self.state,
            past[-1] if past else NO_USAGE,
            self.checkpoint_key,
            self.detail,
        )

    def _finish_time_s(self) -> float:
        if self.plan.duration_s is None or self.ratio <= 0:
            return float("inf")
        remaining_s = max(0.0, self.plan.duration_s - self.progress_s)
        return self.advanced_s + remaining_s / self.ratio


class MemoryTasks(TaskService):
    """Runs tasks by the clock it is given. Thread-safe.

    :param usage_lag_s: age of the usage in a status.
    :param objects: where checkpoints are written and read.
    :param is_worker: whether a name is a worker that takes tasks.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        objects: ObjectStore,
        usage_lag_s: float = 0.0,
        faults: FaultSwitch | None = None,
        is_worker: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self.faults = faults or FaultSwitch(clock)
        self.usage_lag_s = usage_lag_s
        self._clock = clock
        self._objects = objects
        self._is_worker = is_worker
        self._lock = threading.RLock()
        self._tasks: dict[str, _Task] = {}
        self._epochs: dict[str, int] = {}
        self._failing_workers: set[str] = set()

    def start(self, request: TaskStart) -> None:
        self.faults.call(Operation.WRITE, lambda: self._start(request))

    def list_tasks(self, worker: str) -> tuple[TaskStatus, ...]:
        return self.faults.call(Operation.READ, lambda: self._list(worker))

    def list_usage(self) -> tuple[TaskStatus, ...]:
        """
        :returns: tasks of all workers.
        """
        return self.faults.call(Operation.READ, lambda: self._list(None))

    def get(self, task_id: str) -> TaskStatus | None:
        def action() -> TaskStatus | None:
            found = [item for item in self._list(None) if item.task_id == task_id]
            return found[0] if found else None

        return self.faults.call(Operation.READ, action)

    def renew(self, task_id: str, *, epoch: int, lease_s: float) -> None:
        def action(task: _Task, now_s: float) -> None:
            if not task.is_live:
                raise PlatformError(f"task {task_id!r} has ended: {task.state}")
            task.lease_end_s = now_s + lease_s

        self._change(task_id, epoch, action)

    def checkpoint(self, task_id: str, *, epoch: int) -> None:
        def action(task: _Task, now_s: float) -> None:
            if task.is_live:
                key = f"checkpoints/{task_id}"
                self._objects.put(key, repr(task.progress_s).encode())
                task.checkpoint_key = key

        self._change(task_id, epoch, action)

    def throttle(self, task_id: str, *, epoch: int, ratio: float) -> None:
        def action(task: _Task, now_s: float) -> None:
            if task.is_live:
                task.throttle(now_s, ratio)

        if not 0.0 <= ratio <= 1.0:
            raise PlatformError(f"ratio must be from 0.0 to 1.0, got {ratio}")
        self._change(task_id, epoch, action)

    def stop(self, task_id: str, *, epoch: int) -> None:
        def action(task: _Task, now_s: float) -> None:
            if task.is_live:
                task.end(now_s, TaskState.STOPPED, "stopped")

        self._change(task_id, epoch, action)

    def finish(self, task_id: str, state: TaskState, detail: str = "") -> None:
        """Ends a live task as the task itself would."""
        with self._lock:
            now_s = self._advance()
            task = self._tasks[task_id]
            if task.is_live:
                task.end(now_s, state, detail)

    def set_failing(self, worker: str, is_failing: bool) -> None:
        """Makes a worker fail each task that is started on it from now on."""
        with self._lock:
            change = self._failing_workers.add
            if not is_failing:
                change = self._failing_workers.discard
            change(worker)

    def lose_worker(self, worker: str) -> None:
        """Ends all tasks of a worker, as a reboot does."""
        with self._lock:
            now_s = self._advance()
            for task in self._tasks.values():
                if task.is_live and task.request.worker == worker:
                    task.end(now_s, TaskState.STOPPED, "the worker went away")

    def _advance(self) -> float:
        now_s = self._clock.monotonic_s()
        for task in self._tasks.values():
            task.advance(now_s)
        return now_s

    def _list(self, worker: str | None) -> tuple[TaskStatus, ...]:
        with self._lock:
            usage_time_s = self._advance() - self.usage_lag_s
            return tuple(
                task.status(usage_time_s)
                for task in self._tasks.values()
                if worker in (None, task.request.worker)
            )

    def _start(self, request: TaskStart) -> None:
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
                task.end(now_s, TaskState.FAILED, "the worker fails all tasks")

    def _load_progress_s(self, request: TaskStart) -> float:
        if request.checkpoint_key is None:
            return 0.0
        body = self._objects.get(request.checkpoint_key)
        return 0.0 if body is None else float(body)

    def _change(
        self, task_id: str, epoch: int, action: Callable[[_Task, float], None]
    ) -> None:
        def checked() -> None:
            with self._lock:
                now_s = self._advance()
                task = self._tasks.get(task_id)
                if task is None:
                    raise PlatformError(f"task {task_id!r} is not known")
                self._require_epoch(task.request.fence, epoch)
                action(task, now_s)

        self.faults.call(Operation.WRITE, checked)

    def _require_epoch(self, fence: str, epoch: int) -> None:
        highest = self._epochs.get(fence, epoch)
        if epoch < highest:
            message = f"epoch {epoch} of {fence!r} is below the highest seen, {highest}"
            raise NotLeaseHolderError(message)
        self._epochs[fence] = epoch
