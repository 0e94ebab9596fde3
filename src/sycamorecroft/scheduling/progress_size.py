"""Size of a job's progress row, which the store limits."""

from collections.abc import Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.rows import ProgressRow, TaskProgress, encode_row

DEFAULT_ROW_LIMIT_BYTES = 65_536


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
    size_bytes = len(encode_row(progress._replace(tasks=tuple(tasks))))
    for position in _positions_by_need(progress.tasks):
        task = progress.tasks[position]
        added_bytes = _text_bytes(task.checkpoint)
        if size_bytes + added_bytes <= limit_bytes:
            tasks[position] = task
            size_bytes += added_bytes
    return SizedProgress(progress._replace(tasks=tuple(tasks)), size_bytes)


def _positions_by_need(tasks: Sequence[TaskProgress]) -> list[int]:
    def need(position: int) -> tuple[bool, int]:
        return bool(tasks[position].worker_id), len(tasks[position].checkpoint)

    return sorted(range(len(tasks)), key=need)


def _text_bytes(text: str) -> int:
    """Returns what a text adds to a row that holds an empty one in its place."""
    return len(encode_row((text,))) - len(encode_row(("",)))
