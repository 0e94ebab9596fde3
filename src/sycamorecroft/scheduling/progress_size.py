"""Size of a job's progress row, which the store limits."""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.rows import ProgressRow, TaskProgress, encode_row
from sycamorecroft.scheduling.tasks import Task

DEFAULT_ROW_LIMIT_BYTES = 65_536
# Without its checkpoint, a task with a run takes less than this: the id of a worker has
# at most 200 bytes, of which JSON may write each as six.
RUNNING_TASK_MAX_BYTES = 1400
# Largest time of an incarnation.
NUMBER_MAX = 2**53
# Share of a row that is kept free of runs: the ranges of completed occurrences and the
# job's final state may take more bytes than what they replace.
RESERVED_RATIO = 1 / 16


class SizedProgress(NamedTuple):
    """Progress to be stored and the size of its row in bytes."""

    progress: ProgressRow
    size_bytes: int


def fit_into_row(progress: ProgressRow, limit_bytes: int) -> SizedProgress:
    """Leaves out the checkpoints for which a row has no room.

    A task whose checkpoint isn't stored resumes from an earlier point only if the owner
    changes before its worker has reported the checkpoint again. Those of tasks without
    a run are therefore kept first, and short ones before long ones.

    :param limit_bytes: largest row that the store accepts.
    :returns: the progress, with as many checkpoints as fit, and its size; the size
        exceeds the limit if the row is too large without any checkpoint.
    """
    size_bytes = len(encode_row(progress))
    if size_bytes <= limit_bytes:
        return SizedProgress(progress, size_bytes)
    tasks = [task._replace(checkpoint="") for task in progress.tasks]
    size_bytes = _size_without_checkpoints(progress)
    for position in _positions_by_need(progress.tasks):
        task = progress.tasks[position]
        added_bytes = _text_bytes(task.checkpoint)
        if size_bytes + added_bytes <= limit_bytes:
            tasks[position] = task
            size_bytes += added_bytes
    return SizedProgress(progress._replace(tasks=tuple(tasks)), size_bytes)


class RunRoom:
    """Room that the progress row of a job has for further runs.

    The worker of each run has to be stored before the run starts, so that a job of many
    tasks on workers with long ids can't have all of them running at a time.
    """

    def __init__(self, job: Job, limit_bytes: int, worker_ids: Iterable[str]) -> None:
        """
        :param limit_bytes: largest row that the store accepts.
        :param worker_ids: ids of all workers on which tasks of the job may run.
        """
        self._job = job
        self._limit_bytes = int(limit_bytes * (1 - RESERVED_RATIO))
        self._worker_ids = worker_ids
        self._left_bytes: float | None = None

    def take(self, task: Task, worker_id: str, incarnation_ms: int) -> bool:
        """Takes the room for a run of a waiting task, before the task is assigned.

        :returns: whether there is room for it.
        """
        if self._left_bytes is None:
            self._left_bytes = self._measure()
        if self._left_bytes == math.inf:
            return True
        added_bytes = _added_bytes(task, worker_id, incarnation_ms)
        if added_bytes > self._left_bytes:
            return False
        self._left_bytes -= added_bytes
        return True

    def _measure(self) -> float:
        """Returns the bytes left, infinite if all tasks have room on any workers.

        The row is encoded only if the cheaper upper bounds don't suffice.
        """
        if len(self._job.tasks) * RUNNING_TASK_MAX_BYTES <= self._limit_bytes:
            return math.inf
        if _upper_bound_bytes(self._job, self._worker_ids) <= self._limit_bytes:
            return math.inf
        return self._limit_bytes - _size_without_checkpoints(self._job.progress(0))

    def measure_again(self) -> None:
        """Must be called when assignments for which room was taken are undone."""
        self._left_bytes = None


def _upper_bound_bytes(job: Job, worker_ids: Iterable[str]) -> int:
    """Returns an upper bound of a job's row if all of its open tasks were running."""
    tasks = job.tasks.values()
    entry = TaskProgress(
        job.occurrences_started_count,
        len(job.spec.steps),
        max(step.tasks_count for step in job.spec.steps),
        1 + max(task.attempt for task in tasks),
        1 + max(task.failures_count for task in tasks),
        worker_id=max(worker_ids, key=_text_bytes, default=""),
        incarnation_ms=NUMBER_MAX,
    )
    # Each open occurrence may be followed by a range of completed ones.
    entries_count = len(tasks) + len(job.open_occurrences) + 1
    return entries_count * (len(encode_row(entry)) + 1)


def _added_bytes(task: Task, worker_id: str, incarnation_ms: int) -> int:
    """Returns what a run of the task adds to the row."""
    stored = task.progress()._replace(checkpoint="")
    running = stored._replace(
        attempt=task.attempt + 1, worker_id=worker_id, incarnation_ms=incarnation_ms
    )
    stored_bytes = len(encode_row(stored)) + 1 if task.attempt else 0
    return len(encode_row(running)) + 1 - stored_bytes


def _size_without_checkpoints(progress: ProgressRow) -> int:
    tasks = tuple(task._replace(checkpoint="") for task in progress.tasks)
    return len(encode_row(progress._replace(tasks=tasks)))


def _positions_by_need(tasks: Sequence[TaskProgress]) -> list[int]:
    def need(position: int) -> tuple[bool, int]:
        return bool(tasks[position].worker_id), len(tasks[position].checkpoint)

    return sorted(range(len(tasks)), key=need)


def _text_bytes(text: str) -> int:
    """Returns what a text adds to a row that holds an empty one in its place."""
    return len(encode_row((text,))) - len(encode_row(("",)))
