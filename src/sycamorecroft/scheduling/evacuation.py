"""Chooses long-running tasks to evacuate from workers that are being drained."""

from collections.abc import Iterable, Iterator, Mapping

from sycamorecroft.scheduling.placement import choose_worker, fits_when_freed
from sycamorecroft.scheduling.tasks import Run, RunPhase, Task
from sycamorecroft.scheduling.workers import Worker


def choose_runs_to_evacuate(
    workers: Mapping[str, Worker], now_s: float, stop_s: float
) -> Iterator[Run]:
    """Yields runs that fit on another worker and may be unavailable for a while.

    The caller must stop each run before it requests the next, so that the number of
    unavailable tasks of a step stays within the step's limit.

    :param stop_s: time in seconds that a worker may take to stop a run.
    """
    targets = [worker for worker in workers.values() if worker.accepts_tasks(now_s)]
    for target in targets:
        target.is_evacuation_target = False
    for worker in workers.values():
        if not (worker.is_reserved or worker.registration.is_draining):
            continue
        for run in list(worker.runs.values()):
            if run.phase is not RunPhase.RUNNING:
                continue
            if not run.task.spec.is_long_running:
                continue
            if choose_worker(targets, run.task, now_s) is None:
                _keep_capacity_for(targets, run.task)
            elif _may_be_unavailable(run.task, workers, now_s, stop_s):
                yield run


def _keep_capacity_for(targets: Iterable[Worker], task: Task) -> None:
    """Reserves capacity, as it is freed on a full worker, for a task to evacuate.

    Otherwise, waiting short tasks would take the capacity each time it is freed.
    """
    fitting = [
        worker
        for worker in targets
        if fits_when_freed(worker, task) and not worker.is_evacuation_target
    ]
    if fitting:
        emptiest = max(fitting, key=lambda worker: worker.free.cpu_millicores)
        emptiest.is_evacuation_target = True


def _may_be_unavailable(
    task: Task, workers: Mapping[str, Worker], now_s: float, stop_s: float
) -> bool:
    unavailable_count = sum(
        not _is_serving(other, workers, now_s, stop_s)
        for other in task.job.step_tasks(task.id.occurrence, task.id.step)
        if other is not task
    )
    return unavailable_count < max(1, task.spec.max_unavailable_count)


def _is_serving(
    task: Task, workers: Mapping[str, Worker], now_s: float, stop_s: float
) -> bool:
    run = task.run
    if run is None or run.phase is not RunPhase.RUNNING:
        return False
    worker = workers[run.worker_id]
    # A run that a former owner ordered to stop is listed as before until it has ended.
    # From the first contact on, the worker accepts no orders of that owner.
    if run.is_adopted and not worker.has_listed_runs_after(stop_s):
        return False
    return run.progress_percent >= 100 and worker.is_in_contact(now_s)
