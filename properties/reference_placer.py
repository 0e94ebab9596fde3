"""Placement that examines every worker for every waiting task of every job."""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.kept_room import KeptRoom
from sycamorecroft.scheduling.placement import choose_worker
from sycamorecroft.scheduling.tasks import Run, RunPhase, Task
from sycamorecroft.scheduling.workers import Worker


class Assignment(NamedTuple):
    """A task and the worker that it was assigned to."""

    task: str
    attempt: int
    worker_id: str


def place_naively(
    jobs: Iterable[Job],
    workers: Iterable[Worker],
    now_s: float,
    kept_room: KeptRoom | None = None,
) -> list[Assignment]:
    """
    :param kept_room: that of the placements before.
    :returns: the assignments, in the order in which they were made.
    """
    usable = [worker for worker in workers if worker.accepts_tasks(now_s)]
    kept_room = kept_room or KeptRoom()
    kept_room.begin(usable, now_s)
    ranking = JobRanking()
    active = [job for job in jobs if job.is_active]
    active.sort(key=lambda job: ranking.rank(job, now_s))
    assignments: list[Assignment] = []
    for job in active:
        for tasks in list(_ready_steps(job)):
            assignments += _place_step(tasks, usable, kept_room, now_s)
    return assignments


def _ready_steps(job: Job) -> Iterator[Sequence[Task]]:
    for occurrence in range(job.occurrences_started_count):
        for number, step in enumerate(job.spec.steps):
            preceding = [
                task for other in step.after for task in _tasks(job, occurrence, other)
            ]
            tasks = _tasks(job, occurrence, number)
            is_waiting = any(task.run is None and not task.is_done for task in tasks)
            if is_waiting and all(task.is_done for task in preceding):
                yield tasks


def _tasks(job: Job, occurrence: int, step: int) -> list[Task]:
    return [
        task
        for task in job.tasks.values()
        if (task.id.occurrence, task.id.step) == (occurrence, step)
    ]


def _place_step(
    tasks: Sequence[Task],
    workers: Sequence[Worker],
    kept_room: KeptRoom,
    now_s: float,
) -> list[Assignment]:
    if not tasks[0].spec.is_long_running:
        workers = [w for w in workers if not w.is_evacuation_target]
    is_gang = tasks[0].spec.is_gang
    waiting = [task for task in tasks if task.run is None and not task.is_done]
    if is_gang and len(waiting) < len(tasks):
        return []
    assigned: list[tuple[Run, Worker]] = []
    attempts = {task.id: task.attempt for task in tasks}
    for task in waiting:
        worker = choose_worker(workers, task, now_s, kept_room.is_needed)
        if worker is None:
            kept_room.record_unplaced(task)
            break
        task.attempt = max(attempts.values()) if is_gang else task.attempt
        task.attempt += 1
        run = Run(
            task,
            worker.id,
            worker.incarnation_ms,
            RunPhase.COMMITTING,
            now_s,
            rack=worker.registration.rack,
        )
        task.run = run
        worker.add(run)
        assigned.append((run, worker))
    if is_gang and len(assigned) < len(tasks):
        for run, worker in assigned:
            worker.remove(run)
            run.task.run = None
            run.task.attempt -= 1
        return []
    return [Assignment(r.task.id.name, r.attempt, r.worker_id) for r, _ in assigned]
