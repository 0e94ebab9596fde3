"""Choice of the long-running tasks that move off workers about to be emptied."""

from collections.abc import Iterable, Iterator, Mapping

from sycamorecroft.scheduling.jobs import Run, RunPhase, Task
from sycamorecroft.scheduling.placement import choose_worker, could_take
from sycamorecroft.scheduling.workers import Worker


def runs_to_move(workers: Mapping[str, Worker], now_s: float) -> Iterator[Run]:
    """Chooses runs that have another worker to go to and may be missed for a while.

    The caller stops each run before it asks for the next, so that the tasks of a step
    that are away at once stay within the step's limit.
    """
    targets = [worker for worker in workers.values() if worker.takes_tasks(now_s)]
    for target in targets:
        target.is_held_for_move = False
    for worker in workers.values():
        if not (worker.is_reserved or worker.entry.is_draining):
            continue
        for run in list(worker.runs.values()):
            if run.phase is not RunPhase.RUNNING:
                continue
            if not run.task.spec.is_long_running:
                continue
            if choose_worker(targets, run.task, now_s) is None:
                _hold_room(targets, run.task)
            elif _may_be_missed(run.task, workers, now_s):
                yield run


def _hold_room(targets: Iterable[Worker], task: Task) -> None:
    """Keeps a full worker's room, as it becomes free, for a task that must move.

    Short tasks that wait would otherwise take it each time.
    """
    fitting = [
        worker
        for worker in targets
        if could_take(worker, task) and not worker.is_held_for_move
    ]
    if fitting:
        emptiest = max(fitting, key=lambda worker: worker.free.cpu_millicores)
        emptiest.is_held_for_move = True


def _may_be_missed(task: Task, workers: Mapping[str, Worker], now_s: float) -> bool:
    away_count = sum(
        not _is_at_work(other, workers, now_s)
        for other in task.job.step_tasks(task.id.occurrence, task.id.step)
        if other is not task
    )
    return away_count < max(1, task.spec.may_miss_count)


def _is_at_work(task: Task, workers: Mapping[str, Worker], now_s: float) -> bool:
    run = task.run
    if run is None or run.phase is not RunPhase.RUNNING:
        return False
    worker = workers[run.worker_id]
    return run.progress_percent >= 100 and worker.is_in_contact(now_s)
