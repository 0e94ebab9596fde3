"""Tasks of a job's occurrences in the memory of a service's owner."""

from collections.abc import ItemsView, Iterator
from itertools import chain
from typing import TYPE_CHECKING

from sycamorecroft.scheduling.model import StepSpec, TaskId
from sycamorecroft.scheduling.rows import ALL_STEPS, TaskProgress
from sycamorecroft.scheduling.tasks import Task

if TYPE_CHECKING:
    from sycamorecroft.scheduling.jobs import Job


class Occurrences:
    """Tasks of the occurrences of a job that have started.

    Once an occurrence is complete, its tasks may be discarded, so that a job with many
    occurrences takes no more memory than its open ones.

    :ivar tasks: tasks of the occurrences that aren't discarded.
    :ivar started_count: number of occurrences that have started.
    """

    def __init__(self, job: "Job") -> None:
        self._job = job
        self.tasks: dict[TaskId, Task] = {}
        self.started_count = 0
        # Tasks by step, of each occurrence that isn't discarded.
        self._open: dict[int, tuple[tuple[Task, ...], ...]] = {}

    @property
    def open_count(self) -> int:
        """Number of occurrences that have started and whose tasks aren't discarded."""
        return len(self._open)

    @property
    def open_numbers(self) -> frozenset[int]:
        """Occurrences that have started and whose tasks aren't discarded."""
        return frozenset(self._open)

    def items(self) -> ItemsView[int, tuple[tuple[Task, ...], ...]]:
        """
        :returns: the open occurrences with their tasks by step, in order.
        """
        return self._open.items()

    def start_next(self, now_s: float) -> None:
        """Adds the tasks of the next occurrence."""
        occurrence = self.started_count
        self.started_count += 1
        self._open[occurrence] = tuple(
            tuple(self._create_tasks(occurrence, number, step, now_s))
            for number, step in enumerate(self._job.spec.steps)
        )

    def _create_tasks(
        self, occurrence: int, number: int, step: StepSpec, now_s: float
    ) -> Iterator[Task]:
        for index in range(step.tasks_count):
            task_id = TaskId(self._job.id, occurrence, number, index)
            task = Task(self._job, task_id, step)
            task.waiting_since_s = now_s
            self.tasks[task_id] = task
            yield task

    def copy(self, job: "Job", copied_tasks: dict[Task, Task]) -> "Occurrences":
        """
        :param job: copy of the job.
        :param copied_tasks: receives the copy of each task.
        :returns: a copy with copies of the tasks.
        """
        twin = Occurrences(job)
        twin.started_count = self.started_count
        for occurrence, steps in self._open.items():
            copied_steps = []
            for tasks in steps:
                copied = tuple([task.copy(job) for task in tasks])
                copied_steps.append(copied)
                copied_tasks.update(zip(tasks, copied, strict=True))
                twin.tasks.update([(task.id, task) for task in copied])
            twin._open[occurrence] = tuple(copied_steps)
        return twin

    def step_tasks(self, occurrence: int, step: int) -> tuple[Task, ...]:
        """
        :returns: tasks of a step in one occurrence, in the order of their indexes;
            empty if the occurrence is complete and its tasks are discarded.
        """
        steps = self._open.get(occurrence)
        return steps[step] if steps else ()

    def discard_over(self) -> None:
        """Discards the tasks of the occurrences that are over."""
        for occurrence in list(self._open):
            if self._is_over(occurrence):
                self._discard(occurrence)

    def _is_over(self, occurrence: int) -> bool:
        """Returns whether all tasks of an occurrence are done and have no run.

        A gang is done when the first of its runs is, while others may still be listed.
        """
        tasks = chain.from_iterable(self._open[occurrence])
        return all(task.is_done and task.run is None for task in tasks)

    def _discard(self, occurrence: int) -> None:
        for task in chain.from_iterable(self._open.pop(occurrence)):
            del self.tasks[task.id]

    def restore(self, last: int, now_s: float, *, is_active: bool) -> None:
        """Starts the occurrences up to ``last`` that aren't listed as complete.

        None of their tasks has been started, so that no task is listed. Those of a job
        that has ended aren't needed.

        :param is_active: whether the job hasn't ended.
        """
        if not is_active:
            self.started_count = max(self.started_count, last)
        while self.started_count <= last:
            self.start_next(now_s)

    def restore_complete(
        self, first: int, last: int, now_s: float, *, is_active: bool
    ) -> None:
        """Restores a range of completed occurrences, which has no tasks.

        :param is_active: whether the job hasn't ended.
        """
        self.restore(first - 1, now_s, is_active=is_active)
        self.started_count = max(self.started_count, last + 1)
        for occurrence in list(self._open):
            if first <= occurrence <= last:
                self._discard(occurrence)

    def list_progress(self) -> Iterator[TaskProgress]:
        """Yields the tasks that have been started, and ranges of occurrences.

        The occurrences between those that aren't over are complete.
        """
        first = 0
        for occurrence, steps in self._open.items():
            if self._is_over(occurrence):
                continue
            if occurrence > first:
                yield _complete_range(first, occurrence - 1)
            for task in chain.from_iterable(steps):
                if task.attempt:
                    yield task.progress()
            first = occurrence + 1
        if first < self.started_count:
            yield _complete_range(first, self.started_count - 1)


def _complete_range(first: int, last: int) -> TaskProgress:
    return TaskProgress(last, ALL_STEPS, first, 1, 0, True)
