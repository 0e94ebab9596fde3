"""Chooses the rack for a step whose tasks should run on one rack."""

from collections.abc import Sequence

from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.placement import choose_worker
from sycamorecroft.scheduling.tasks import WaitingStep
from sycamorecroft.scheduling.workers import Worker


def may_choose_rack(step: WaitingStep) -> bool:
    """
    :returns: whether the step should run on one rack, which isn't determined yet.
    """
    spec = step.waiting[0].spec
    is_whole = len(step.waiting) == len(step.tasks) > 1
    has_advice = step.waiting[0].job.queue.advice is not None
    return spec.is_rack_local and is_whole and not has_advice


def workers_of_one_rack(
    step: WaitingStep, workers: Sequence[Worker], now_s: float
) -> list[Worker]:
    """
    :param workers: workers that accept the step's tasks.
    :returns: the workers of a rack on which all of the step fits now, that of the best
        worker for its first task; empty if there is none.
    """
    task = step.waiting[0]
    spec = task.spec
    rooms: dict[str, int] = {}
    for worker in workers:
        if _is_healthy(worker) and spec.required_label in ("", *worker.labels):
            rack = worker.registration.rack
            room = _room(worker.free, spec.allocation, len(step.waiting))
            room = min(room, spec.tasks_per_worker_limit or room)
            rooms[rack] = rooms.get(rack, 0) + room
    fitting = [
        worker
        for worker in workers
        if _is_healthy(worker)
        and rooms.get(worker.registration.rack, 0) >= len(step.waiting)
    ]
    best = choose_worker(fitting, task, now_s)
    if best is None:
        return []
    rack = best.registration.rack
    return [worker for worker in fitting if worker.registration.rack == rack]


def _is_healthy(worker: Worker) -> bool:
    """Returns whether no other worker comes before it for its failures or slowness."""
    return not (worker.failed_jobs_count or worker.is_slow or worker.is_stalled)


def _room(free: Resources, demand: Resources, limit_count: int) -> int:
    """Returns how many tasks fit, at most ``limit_count``."""
    counts = [
        available // needed
        for available, needed in zip(free, demand, strict=True)
        if needed
    ]
    return max(0, min([*counts, limit_count]))
