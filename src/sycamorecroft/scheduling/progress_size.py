"""Size of a job's progress row, which the store limits."""

from collections.abc import Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.jobs import Job, Task
from sycamorecroft.scheduling.rows import ProgressRow, TaskProgress, encode_row

DEFAULT_ROW_LIMIT_BYTES = 65_536
# Without its checkpoint, a task with a run takes less than this: the id of a worker has
# at most 200 bytes, of which JSON may write each as six.
RUNNING_TASK_MAX_BYTES = 1400
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

    def __init__(self, job: Job, limit_bytes: int) -> None:
        """
        :param limit_bytes: largest row that the store accepts.
        """
        self._job = job
        self._limit_bytes = int(limit_bytes * (1 - RESERVED_RATIO))
        self._is_limited = len(job.tasks) * RUNNING_TASK_MAX_BYTES > self._limit_bytes
        self._left_bytes: int | None = None

    def take(self, task: Task, worker_id: str, incarnation_ms: int) -> bool:
        """Takes the room for a run of a waiting task, before the task is assigned.

        :returns: whether there is room for it.
        """
        if not self._is_limited:
            return True
        if self._left_bytes is None:
            size_bytes = _size_without_checkpoints(self._job.progress(0))
            self._left_bytes = self._limit_bytes - size_bytes
        added_bytes = _added_bytes(task, worker_id, incarnation_ms)
        if added_bytes > self._left_bytes:
            return False
        self._left_bytes -= added_bytes
        return True

    def measure_again(self) -> None:
        """Must be called when assignments for which room was taken are undone."""
        self._left_bytes = None


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
