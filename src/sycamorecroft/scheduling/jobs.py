"""State of jobs, tasks and runs in the memory of a service's owner."""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from itertools import chain
from typing import NamedTuple

from sycamorecroft.scheduling.critical_path import (
    CriticalPath,
    allowed_s,
    critical_path,
)
from sycamorecroft.scheduling.model import JobSpec, Queue, StepSpec, TaskId
from sycamorecroft.scheduling.rows import (
    ALL_STEPS,
    JobRow,
    JobState,
    ProgressRow,
    TaskProgress,
)

# Further occurrences that are due start once others are complete.
OPEN_TASKS_MAX_COUNT = 600


class RunPhase(StrEnum):
    """Phase of a run.

    ``COMMITTING``: the assignment isn't stored yet and no order was sent.
    ``STARTING``: the order to start is in flight. ``RUNNING``: the worker has confirmed
    the start. ``STOPPING``: an order to stop was given; the run may still be in
    progress.
    """

    COMMITTING = "committing"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """A run of a task that may be in progress on a worker.

    ``assigned_s``: monotonic time at which the task was assigned to the worker.
    ``incarnation_ms``: the worker's incarnation as it was known at that time; the order
    to start may reach a later one. ``listed_incarnation_ms``: incarnation whose run
    list has named the run, 0 if none has.
    ``confirmed_s``: monotonic time at which the last order to the worker was confirmed,
    ``None`` if it isn't. A run list that was requested later and doesn't contain the
    run proves that it isn't in progress. ``is_adopted``: a former owner started it.
    ``share_percent``: share of its worker's
    processors that the run may use, ``None`` if unknown.
    """

    __slots__ = (
        "assigned_s",
        "attempt",
        "incarnation_ms",
        "listed_incarnation_ms",
        "gauge",
        "share_percent",
        "phase",
        "progress_percent",
        "progressed_s",
        "rack",
        "confirmed_s",
        "is_adopted",
        "started_s",
        "task",
        "worker_id",
    )

    def __init__(
        self,
        task: "Task",
        worker_id: str,
        incarnation_ms: int,
        phase: RunPhase,
        now_s: float,
        confirmed_s: float | None = None,
        rack: str = "",
    ) -> None:
        self.task = task
        self.rack = rack
        self.attempt = task.attempt
        self.worker_id = worker_id
        self.incarnation_ms = incarnation_ms
        self.listed_incarnation_ms = 0
        self.phase = phase
        self.confirmed_s = confirmed_s
        self.is_adopted = False
        self.assigned_s = now_s
        self.started_s = now_s
        self.progressed_s = now_s
        self.progress_percent = 0
        self.gauge = 0
        self.share_percent: int | None = 100


class Task:
    """A task of a job.

    ``attempt`` is the number of its last start, 0 if there was none. ``failed_workers``
    are the workers on which it has failed under this owner. ``waiting_since_s`` is the
    monotonic time since which it could run and has had no run.
    """

    __slots__ = (
        "_is_done",
        "_run",
        "attempt",
        "checkpoint",
        "failed_workers",
        "failures_count",
        "id",
        "job",
        "spec",
        "waiting_since_s",
    )

    def __init__(self, job: "Job", task_id: TaskId, spec: StepSpec) -> None:
        self.job = job
        self.id = task_id
        self.spec = spec
        self.attempt = 0
        self.failures_count = 0
        self._is_done = False
        self._run: Run | None = None
        self.checkpoint = ""
        self.failed_workers: frozenset[str] = frozenset()
        self.waiting_since_s = 0.0

    @property
    def run(self) -> Run | None:
        """Run that may be in progress."""
        return self._run

    @run.setter
    def run(self, run: Run | None) -> None:
        self._run = run
        self.job.discard_waiting_steps()

    @property
    def is_done(self) -> bool:
        """Whether a run of the task has completed it."""
        return self._is_done

    @is_done.setter
    def is_done(self, is_done: bool) -> None:
        self._is_done = is_done
        self.job.discard_waiting_steps()
        self.job.discard_critical_path()

    @property
    def is_waiting(self) -> bool:
        """Whether the task isn't done and has no run."""
        return self._run is None and not self._is_done

    def progress(self) -> TaskProgress:
        """
        :returns: the progress of the task as it is stored.
        """
        run = self.run
        return TaskProgress(
            self.id.occurrence,
            self.id.step,
            self.id.index,
            self.attempt,
            self.failures_count,
            self.is_done,
            run.worker_id if run else "",
            run.incarnation_ms if run else 0,
            "" if self.is_done else self.checkpoint,
        )


class WaitingStep(NamedTuple):
    """A step whose preceding steps are complete and that has waiting tasks.

    ``tasks``: all tasks of the step, in the order of their indexes. ``waiting``: those
    that aren't done and have no run, at least one.
    """

    tasks: tuple[Task, ...]
    waiting: tuple[Task, ...]


class Job:
    """An accepted job that hasn't ended, or that still has runs in progress.

    Once an occurrence is complete, its tasks are discarded when further occurrences are
    due, so that a job with many occurrences takes no more memory than its open ones.

    ``objective_end_s`` is the monotonic time by which the job must complete to meet its
    objective. ``is_long_running``: whether any step runs until the job is cancelled.
    ``row_version`` is the version of the job's row.
    """

    def __init__(
        self,
        job_id: str,
        row: JobRow,
        now_s: float,
        now_ms: int,
        row_version: int = 0,
    ) -> None:
        """
        :param now_s: monotonic time.
        :param now_ms: Unix time.
        """
        self.id = job_id
        self.row_version = row_version
        self.queue: Queue = row.queue
        self.spec: JobSpec = row.spec
        self.accepted_ms = row.accepted_ms
        self.accepted_s = now_s - max(0, now_ms - row.accepted_ms) / 1000
        self.state = JobState.QUEUED
        self.tasks: dict[TaskId, Task] = {}
        self.occurrences_started_count = 0
        self.objective_end_s = self.accepted_s + allowed_s(row.queue, row.spec)
        self.is_long_running = row.spec.is_long_running
        self._critical_path_left: CriticalPath | None = None
        # Tasks by step, of each occurrence that has started and isn't discarded.
        self._occurrences: dict[int, tuple[tuple[Task, ...], ...]] = {}
        self._waiting_steps: tuple[WaitingStep, ...] | None = None

    @property
    def is_active(self) -> bool:
        """Whether tasks of the job may still be started."""
        return not self.state.is_final

    def start_occurrence(self, now_s: float) -> None:
        """Adds the tasks of the next occurrence."""
        occurrence = self.occurrences_started_count
        self.occurrences_started_count += 1
        steps = tuple(
            tuple(self._create_tasks(occurrence, number, step, now_s))
            for number, step in enumerate(self.spec.steps)
        )
        self._occurrences[occurrence] = steps
        self.discard_waiting_steps()
        self.discard_critical_path()

    def _create_tasks(
        self, occurrence: int, number: int, step: StepSpec, now_s: float
    ) -> Iterator[Task]:
        for index in range(step.tasks_count):
            task_id = TaskId(self.id, occurrence, number, index)
            task = Task(self, task_id, step)
            task.waiting_since_s = now_s
            self.tasks[task_id] = task
            yield task

    def start_due_occurrences(self, now_s: float, now_ms: int) -> bool:
        """Starts the occurrences that are due, unless too many tasks are open.

        :param now_s: monotonic time.
        :param now_ms: Unix time.
        :returns: whether an occurrence was started.
        """
        if not self._is_occurrence_due(now_ms):
            return False
        self._discard_over(list(self._occurrences))
        has_started = False
        while self._is_occurrence_due(now_ms) and self._has_room_for_occurrence():
            self.start_occurrence(now_s)
            has_started = True
        return has_started

    def _is_occurrence_due(self, now_ms: int) -> bool:
        return self.has_next_occurrence and self._next_due_ms() <= now_ms

    def _has_room_for_occurrence(self) -> bool:
        """Returns whether the progress of another occurrence fits into a row."""
        tasks_count = sum(step.tasks_count for step in self.spec.steps)
        open_count = len(self._occurrences)
        return not open_count or (open_count + 1) * tasks_count <= OPEN_TASKS_MAX_COUNT

    def _discard_over(self, occurrences: Iterable[int]) -> None:
        """Discards the tasks of those occurrences that are over."""
        for occurrence in occurrences:
            if self._is_over(occurrence):
                self._discard(occurrence)

    def _is_over(self, occurrence: int) -> bool:
        """Returns whether all tasks of an occurrence are done and have no run.

        A gang is done when the first of its runs is, while others may still be listed.
        """
        tasks = chain.from_iterable(self._occurrences[occurrence])
        return all(task.is_done and task.run is None for task in tasks)

    def _discard(self, occurrence: int) -> None:
        for task in chain.from_iterable(self._occurrences.pop(occurrence)):
            del self.tasks[task.id]

    @property
    def open_occurrences(self) -> frozenset[int]:
        """Occurrences that have started and whose tasks aren't discarded."""
        return frozenset(self._occurrences)

    @property
    def has_next_occurrence(self) -> bool:
        """Whether occurrences are left that haven't started."""
        return self.occurrences_started_count < max(1, self.spec.occurrences_count)

    def _next_due_ms(self) -> int:
        if not self.spec.is_scheduled:
            return 0
        elapsed_ms = self.occurrences_started_count * self.spec.interval_ms
        return self.spec.start_at_ms + elapsed_ms

    def step_tasks(self, occurrence: int, step: int) -> tuple[Task, ...]:
        """
        :returns: tasks of a step in one occurrence, in the order of their indexes;
            empty if the occurrence is complete and its tasks are discarded.
        """
        steps = self._occurrences.get(occurrence)
        return steps[step] if steps else ()

    def done_steps(self) -> frozenset[int]:
        """
        :returns: numbers of the completed steps in the first occurrence that isn't
            complete.
        """
        count = len(self.spec.steps)
        done: frozenset[int] = frozenset()
        if self.occurrences_started_count:
            done = frozenset(range(count))
        for occurrence in self._occurrences:
            done = frozenset(
                number
                for number in range(count)
                if all(task.is_done for task in self.step_tasks(occurrence, number))
            )
            if len(done) < count:
                break
        return done

    @property
    def critical_path_left(self) -> CriticalPath:
        """Critical path of the steps that aren't completed yet."""
        if self._critical_path_left is None:
            self._critical_path_left = critical_path(self.spec, self.done_steps())
        return self._critical_path_left

    def waiting_steps(self) -> tuple[WaitingStep, ...]:
        """
        :returns: steps with tasks that could run now and have no worker, in the order
            of their occurrences and numbers; empty if the job has ended.
        """
        if not self.is_active:
            return ()
        if self._waiting_steps is None:
            self._waiting_steps = tuple(self._find_waiting_steps())
        return self._waiting_steps

    def discard_waiting_steps(self) -> None:
        """Called when a task has got a run, has lost it, or was completed."""
        self._waiting_steps = None

    def discard_critical_path(self) -> None:
        """Called when a task was completed."""
        self._critical_path_left = None

    def _find_waiting_steps(self) -> Iterator[WaitingStep]:
        for occurrence, steps in self._occurrences.items():
            for number, tasks in enumerate(steps):
                waiting = tuple(task for task in tasks if task.is_waiting)
                spec = self.spec.steps[number]
                if waiting and self._is_step_ready(occurrence, spec):
                    yield WaitingStep(tasks, waiting)

    def _is_step_ready(self, occurrence: int, step: StepSpec) -> bool:
        return all(
            task.is_done
            for other in step.after
            for task in self.step_tasks(occurrence, other)
        )

    def start_waiting(self, occurrence: int, done_step: int, now_s: float) -> None:
        """Records that the steps which the end of a step has made ready wait from now.

        :param done_step: number of a step of which a task is done.
        """
        for number, step in enumerate(self.spec.steps):
            if done_step not in step.after or not self._is_step_ready(occurrence, step):
                continue
            for task in self.step_tasks(occurrence, number):
                task.waiting_since_s = now_s

    def is_complete(self) -> bool:
        """
        :returns: whether all tasks of all occurrences are done.
        """
        if self.has_next_occurrence:
            return False
        return all(task.is_done for task in self.tasks.values())

    def runs(self) -> list[Run]:
        """
        :returns: runs that may be in progress.
        """
        return [task.run for task in self.tasks.values() if task.run is not None]

    def restore(self, progress: ProgressRow, now_s: float) -> None:
        """Restores the stored progress; stored runs are assumed to be in progress."""
        self.state = progress.state
        for stored in progress.tasks:
            if stored.step == ALL_STEPS:
                self._restore_complete(stored.index, stored.occurrence, now_s)
                continue
            self._restore_occurrences(stored.occurrence, now_s)
            task_id = TaskId(self.id, stored.occurrence, stored.step, stored.index)
            self._restore_task(self.tasks[task_id], stored, now_s)

    def _restore_occurrences(self, last: int, now_s: float) -> None:
        """Starts the occurrences up to ``last`` that aren't listed as complete.

        None of their tasks has been started, so that no task is listed. Those of a job
        that has ended aren't needed.
        """
        if not self.is_active:
            self.occurrences_started_count = max(self.occurrences_started_count, last)
        while self.occurrences_started_count <= last:
            self.start_occurrence(now_s)

    def _restore_complete(self, first: int, last: int, now_s: float) -> None:
        self._restore_occurrences(first - 1, now_s)
        self.occurrences_started_count = max(self.occurrences_started_count, last + 1)
        for occurrence in list(self._occurrences):
            if first <= occurrence <= last:
                self._discard(occurrence)

    def _restore_task(self, task: Task, stored: TaskProgress, now_s: float) -> None:
        task.attempt = stored.attempt
        task.failures_count = stored.failures_count
        task.is_done = stored.is_done
        task.checkpoint = stored.checkpoint
        if stored.worker_id:
            # A worker refuses orders of the former owner once it has answered a call
            # with the new epoch, so its first run list reflects all earlier orders.
            task.run = Run(
                task,
                stored.worker_id,
                stored.incarnation_ms,
                RunPhase.STARTING,
                now_s,
                confirmed_s=now_s,
            )
            task.run.share_percent = None

    def progress(self, now_ms: int) -> ProgressRow:
        """
        :param now_ms: Unix time.
        :returns: the progress of the job as it is stored.
        """
        if self.state.is_final:
            tasks = tuple(run.task.progress() for run in self.runs())
        else:
            tasks = tuple(self._list_progress())
        return ProgressRow(self.state, now_ms, tasks)

    def _list_progress(self) -> Iterator[TaskProgress]:
        """Yields the tasks that have been started, and ranges of occurrences.

        The occurrences between those that aren't over are complete.
        """
        first = 0
        for occurrence, steps in self._occurrences.items():
            if self._is_over(occurrence):
                continue
            if occurrence > first:
                yield _complete_range(first, occurrence - 1)
            for task in chain.from_iterable(steps):
                if task.attempt:
                    yield task.progress()
            first = occurrence + 1
        if first < self.occurrences_started_count:
            yield _complete_range(first, self.occurrences_started_count - 1)


def _complete_range(first: int, last: int) -> TaskProgress:
    return TaskProgress(last, ALL_STEPS, first, 1, 0, True)
