"""State of jobs in the memory of a service's owner."""

from collections.abc import Iterator

from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.critical_path import (
    CriticalPath,
    allowed_s,
    critical_path,
)
from sycamorecroft.scheduling.model import (
    JobSpec,
    Queue,
    Resources,
    StepSpec,
    TaskId,
)
from sycamorecroft.scheduling.occurrences import Occurrences
from sycamorecroft.scheduling.rows import (
    ALL_STEPS,
    JobRow,
    JobState,
    ProgressRow,
    StoredRow,
    jobs_part,
    location_key,
)
from sycamorecroft.scheduling.shallow_copy import shallow_copy
from sycamorecroft.scheduling.tasks import Run, Task, WaitingStep

# A job that has a worker isn't counted as pending for this long after its acceptance:
# usually its start is confirmed by then, and callers get counts of earlier moments.
START_CONFIRMATION_S = 1.0
# Further occurrences that are due start once others are complete.
OPEN_TASKS_MAX_COUNT = 600


class Job:
    """An accepted job that hasn't ended, or that still has runs in progress.

    ``objective_end_s`` is the monotonic time by which the job must complete to meet its
    objective. ``is_long_running``: whether any step runs until the job is cancelled.
    ``stored_row`` says where the job's row is. ``state`` is ``RUNNING`` once a run
    is known to have begun. ``begin_due_s``: monotonic time from which the job counts as
    pending while it is queued, even if it has a worker. ``account`` is the name of the
    client account that submitted it, empty if there is none. ``is_excess``: the account
    has sent it beyond its rate.
    """

    def __init__(
        self,
        job_id: str,
        row: JobRow,
        now_s: float,
        now_ms: int,
        row_version: int = 0,
        usage: AccountUsage | None = None,
        row_part: str = "",
    ) -> None:
        """
        :param now_s: monotonic time.
        :param now_ms: Unix time.
        :param row_version: version of the job's row.
        :param row_part: part of the job's row, empty for the one of new jobs.
        :param usage: usage of the service's accounts, which the job's runs are added
            to.
        """
        self.id = job_id
        self.account = row.account
        self.is_excess = False
        self._usage = usage
        self.stored_row = StoredRow(
            row_version, row_part or jobs_part(job_id), location_key(row.queue, job_id)
        )
        self.queue: Queue = row.queue
        self.spec: JobSpec = row.spec
        self.accepted_ms = row.accepted_ms
        self.accepted_s = now_s - max(0, now_ms - row.accepted_ms) / 1000
        self.state = JobState.QUEUED
        self.begin_due_s = self.accepted_s + START_CONFIRMATION_S
        self._is_assigned = False
        self._occurrences = Occurrences(self)
        self.objective_end_s = self.accepted_s + allowed_s(row.queue, row.spec)
        self.is_long_running = row.spec.is_long_running
        self._critical_path_left: CriticalPath | None = None
        self._waiting_steps: tuple[WaitingStep, ...] | None = None
        self._waiting_allocation: Resources | None = None

    def copy(self, usage: AccountUsage, copied_tasks: dict[Task, Task]) -> "Job":
        """
        :param usage: copy of the usage of the service's accounts.
        :param copied_tasks: receives the copy of each task.
        :returns: a copy whose tasks can be placed without changing this job.
        """
        twin = shallow_copy(self)
        twin._usage = usage
        twin._occurrences = self._occurrences.copy(twin, copied_tasks)
        if self._waiting_steps is not None:
            twin._waiting_steps = tuple(
                WaitingStep(
                    twin.step_tasks(step.tasks[0].id.occurrence, step.tasks[0].id.step),
                    tuple([copied_tasks[task] for task in step.waiting]),
                )
                for step in self._waiting_steps
            )
        return twin

    @property
    def is_active(self) -> bool:
        """Whether tasks of the job may still be started."""
        return not self.state.is_final

    def is_pending(self, now_s: float) -> bool:
        """
        :returns: whether the job waits for its first task to start.
        """
        if self.state is not JobState.QUEUED:
            return False
        return not self._is_assigned or now_s >= self.begin_due_s

    def record_run_change(self, spec: StepSpec, *, is_added: bool) -> None:
        """Records that a task has got a run, or that its run is over.

        :param spec: step of the task.
        """
        if self._usage is None:
            return
        if is_added:
            self._usage.add(self.account, spec)
        else:
            self._usage.remove(self.account, spec)

    def record_assignment(self) -> None:
        """Records that a task was assigned to a worker, which may never start it."""
        self._is_assigned = True

    def record_begun(self) -> bool:
        """Records that a run of the job is known to have begun.

        :returns: whether it is the first one.
        """
        is_first = self.state is JobState.QUEUED
        if is_first:
            self.state = JobState.RUNNING
        return is_first

    @property
    def tasks(self) -> dict[TaskId, Task]:
        """Tasks of the open occurrences."""
        return self._occurrences.tasks

    @property
    def occurrences_started_count(self) -> int:
        """Number of occurrences that have started."""
        return self._occurrences.started_count

    def start_occurrence(self, now_s: float) -> None:
        """Adds the tasks of the next occurrence."""
        self._occurrences.start_next(now_s)
        self.discard_waiting_steps()
        self.discard_critical_path()

    def start_due_occurrences(self, now_s: float, now_ms: int) -> bool:
        """Starts the occurrences that are due, unless too many tasks are open.

        :param now_s: monotonic time.
        :param now_ms: Unix time.
        :returns: whether an occurrence was started.
        """
        if not self._is_occurrence_due(now_ms):
            return False
        self._occurrences.discard_over()
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
        open_count = self._occurrences.open_count
        return not open_count or (open_count + 1) * tasks_count <= OPEN_TASKS_MAX_COUNT

    @property
    def open_occurrences(self) -> frozenset[int]:
        """Occurrences that have started and whose tasks aren't discarded."""
        return self._occurrences.open_numbers

    @property
    def has_next_occurrence(self) -> bool:
        """Whether occurrences are left that haven't started."""
        return self.occurrences_started_count < max(1, self.spec.occurrences_count)

    def _next_due_ms(self) -> int:
        if not self.spec.is_scheduled:
            return 0
        return self._due_ms(self.occurrences_started_count)

    @property
    def next_due_ms(self) -> int | None:
        """Unix time of the next occurrence, ``None`` if there is none."""
        return self._next_due_ms() if self.has_next_occurrence else None

    def _due_ms(self, occurrence: int) -> int:
        """Returns the Unix time from which an occurrence may start."""
        if not self.spec.is_scheduled:
            return self.accepted_ms
        return self.spec.start_at_ms + occurrence * self.spec.interval_ms

    def step_tasks(self, occurrence: int, step: int) -> tuple[Task, ...]:
        """
        :returns: tasks of a step in one occurrence, in the order of their indexes;
            empty if the occurrence is complete and its tasks are discarded.
        """
        return self._occurrences.step_tasks(occurrence, step)

    def done_steps(self) -> frozenset[int]:
        """
        :returns: numbers of the completed steps in the first occurrence that isn't
            complete.
        """
        count = len(self.spec.steps)
        done: frozenset[int] = frozenset()
        if self.occurrences_started_count:
            done = frozenset(range(count))
        for _, steps in self._occurrences.items():
            done = frozenset(
                number
                for number, tasks in enumerate(steps)
                if all(task.is_done for task in tasks)
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

    def waiting_allocation(self) -> Resources:
        """
        :returns: what the waiting tasks of the job need on their workers.
        """
        if self._waiting_allocation is None:
            total = Resources()
            for step in self.waiting_steps():
                allocation = step.waiting[0].spec.allocation
                total = total.plus(allocation.times(len(step.waiting)))
            self._waiting_allocation = total
        return self._waiting_allocation

    def discard_waiting_steps(self) -> None:
        """Called when a task has got a run, has lost it, or was completed."""
        self._waiting_steps = None
        self._waiting_allocation = None

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
        occurrences = self._occurrences
        is_active = self.is_active
        for stored in progress.tasks:
            number = stored.occurrence
            if stored.step == ALL_STEPS:
                occurrences.restore_complete(
                    stored.index, number, now_s, is_active=is_active
                )
                continue
            occurrences.restore(number, now_s, is_active=is_active)
            task_id = TaskId(self.id, number, stored.step, stored.index)
            self.tasks[task_id].restore(stored, now_s)
        self.discard_waiting_steps()
        self.discard_critical_path()

    def restore_waiting_times(
        self, now_s: float, now_ms: int, changed_ms: int | None
    ) -> None:
        """Sets since when the tasks wait, after a change of the service's owner.

        Tasks of first steps have waited since the job's acceptance or their
        occurrence's time, others since the end of a step or run, which the job's last
        progress shows.

        :param changed_ms: Unix time of the last stored progress; ``None`` if there is
            none.
        """
        for step in self.waiting_steps():
            for task in step.waiting:
                since_ms = changed_ms
                if changed_ms is None or not (task.attempt or task.spec.after):
                    since_ms = self._due_ms(task.id.occurrence)
                waited_s = max(0, now_ms - since_ms) / 1000
                task.waiting_since_s = max(self.accepted_s, now_s - waited_s)

    def progress(self, now_ms: int) -> ProgressRow:
        """
        :param now_ms: Unix time.
        :returns: the progress of the job as it is stored.
        """
        if self.state.is_final:
            tasks = tuple(run.task.progress() for run in self.runs())
        else:
            tasks = tuple(self._occurrences.list_progress())
        return ProgressRow(self.state, now_ms, tasks, self.account or None)
