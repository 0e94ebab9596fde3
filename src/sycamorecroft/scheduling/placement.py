"""Chooses a worker for a task."""

from collections.abc import Collection, Iterable

from sycamorecroft.scheduling.model import StepSpec
from sycamorecroft.scheduling.tasks import Task
from sycamorecroft.scheduling.workers import Worker

# Time for which a task's last attempt waits for a worker on which it hasn't failed.
LAST_ATTEMPT_WAIT_S = 1.0


def is_far(spec: StepSpec, labels: Collection[str]) -> bool:
    """
    :returns: whether a worker with these labels isn't on the step's preferred rack.
    """
    return bool(spec.preferred_rack) and spec.preferred_rack not in labels


def fits_when_empty(worker: Worker, task: Task) -> bool:
    """
    :returns: whether the worker could run the task if it ran nothing else.
    """
    spec = task.spec
    has_label = not spec.required_label or spec.required_label in worker.labels
    return has_label and worker.registration.capacity.covers(spec.allocation)


def fits_without_short_tasks(worker: Worker, task: Task) -> bool:
    """
    :returns: whether the worker could run the task if its short tasks had ended.
    """
    spec = task.spec
    has_label = not spec.required_label or spec.required_label in worker.labels
    return has_label and worker.free_without_short_tasks.covers(spec.allocation)


def fits_when_freed(worker: Worker, task: Task) -> bool:
    """
    :returns: whether the worker could run the task once other tasks have ended, within
        the limit of the step's tasks on one worker.
    """
    return fits_when_empty(worker, task) and _is_below_limit(worker, task)


def choose_worker(
    workers: Iterable[Worker], task: Task, now_s: float, keeps_room: bool = False
) -> Worker | None:
    """Chooses a worker with enough free capacity, near the task's data if possible.

    Short tasks are spread by step: a step goes to the emptiest worker and its tasks
    stay together while they fit, so that the loss of a worker affects few jobs. They
    prefer workers that long-running tasks keep in the pool anyway. Long-running tasks
    go to the emptiest worker. They avoid workers that planned work will drain, and
    racks with other tasks of their step, so that one failure affects few of them.
    Workers on which this task or others have failed come last, since attempts are
    limited, as do slow workers and those with a stalled task.

    :param workers: workers that accept new tasks.
    :param keeps_room: whether steps are packed on the fullest worker instead, so that
        others become free for a larger task that waits.
    :returns: the best worker, ``None`` if the task fits on none.
    """
    best_worker: Worker | None = None
    best_rank: tuple[float, ...] = ()
    racks = _racks_of_step(task)
    for worker in workers:
        if not _has_free_capacity(worker, task) or _is_avoided_for_last_attempt(
            worker, task, now_s
        ):
            continue
        rank = _rank(worker, task, racks, keeps_room)
        if best_worker is None or rank < best_rank:
            best_worker, best_rank = worker, rank
    return best_worker


def _has_free_capacity(worker: Worker, task: Task) -> bool:
    spec = task.spec
    if spec.required_label and spec.required_label not in worker.labels:
        return False
    return worker.free.covers(spec.allocation) and _is_below_limit(worker, task)


def _is_below_limit(worker: Worker, task: Task) -> bool:
    limit = task.spec.tasks_per_worker_limit
    if not limit:
        return True
    return worker.step_tasks_count(task) < limit


def _is_avoided_for_last_attempt(worker: Worker, task: Task, now_s: float) -> bool:
    """Returns whether a task's last attempt must wait for another worker, up to 1 s."""
    if worker.id not in task.failed_workers:
        return False
    is_last = task.failures_count + 1 >= task.job.queue.attempts_count
    return is_last and now_s - task.waiting_since_s < LAST_ATTEMPT_WAIT_S


def _racks_of_step(task: Task) -> dict[str, int]:
    """Counts runs of the task's step by rack, if the task is placed by rack."""
    spec = task.spec
    if not (spec.is_rack_local or spec.is_long_running):
        return {}
    counts: dict[str, int] = {}
    for other in task.job.step_tasks(task.id.occurrence, task.id.step):
        if other.run is not None:
            rack = other.run.rack
            counts[rack] = counts.get(rack, 0) + 1
    return counts


def _rank(
    worker: Worker, task: Task, racks: dict[str, int], keeps_room: bool
) -> tuple[float, ...]:
    spec = task.spec
    same_rack_count = racks.get(worker.registration.rack, 0)
    if spec.is_rack_local:
        same_rack_count = -same_rack_count
    is_due = spec.is_long_running and worker.is_due
    load_ratio = worker.load_ratio
    if spec.is_long_running:
        spreading = (load_ratio,)
    else:
        spreading = (
            -worker.step_tasks_count(task),
            not worker.long_running_count,
            -load_ratio if keeps_room else load_ratio,
        )
    return (
        worker.id in task.failed_workers,
        worker.failed_jobs_count,
        worker.is_slow or worker.is_stalled,
        is_far(spec, worker.labels),
        is_due,
        same_rack_count,
        *spreading,
    )
