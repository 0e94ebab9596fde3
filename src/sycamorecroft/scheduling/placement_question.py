"""Questions about the next placement of a job, which the owner of a service answers."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.clock import Clock
from sycamorecroft.errors import CopyLimitError
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.placement_copy import PlacementCopy
from sycamorecroft.scheduling.placement_explainer import PlacementExplainer
from sycamorecroft.scheduling.placement_explanation import (
    JobExplanation,
    PlacementExplanation,
    RunExplanation,
)
from sycamorecroft.scheduling.rows import JobRow
from sycamorecroft.scheduling.scheduler import Scheduler

# Longest time for which copying the state keeps the actor of a service from its
# decisions. On 150 workers, 600 waiting tasks take 3 ms and 3,000 take 16 ms
# (benchmarks/explanations.py).
COPY_LIMIT_S = 0.05
SHOWN_RUNS_COUNT = 8


class CopyPlacement(NamedTuple):
    """Question about a job, as a message to the actor of a service.

    ``row``: the job as it would be stored, ``None`` if it is known by its id only.
    ``expires_s``: monotonic time at which nobody waits for the answer any more.
    """

    job_id: str
    row: JobRow | None
    expires_s: float


class CopyRefusal(StrEnum):
    """Why the state of a service wasn't copied."""

    NO_SUCH_JOB = "no_such_job"
    EXPIRED = "expired"
    TOO_LARGE = "too_large"


class CopiedPlacement(NamedTuple):
    """What is needed to explain the next placement of a job.

    ``taken_s``: monotonic time of the copy. ``state`` is ``None`` if no task of the job
    could run now. ``given``: the job as it would be stored, if it isn't. ``is_excess``:
    it would be beyond its account's rate.
    """

    service: str
    epoch: int
    taken_s: float
    workers_count: int
    job: JobExplanation
    state: PlacementCopy | None
    given: JobRow | None = None
    is_excess: bool = False


def copy_placement(
    scheduler: Scheduler, question: CopyPlacement, clock: Clock
) -> CopiedPlacement | CopyRefusal:
    """Copies what is needed to answer a question; the scheduler doesn't change."""
    now_s = clock.monotonic_s()
    if now_s >= question.expires_s:
        return CopyRefusal.EXPIRED
    now_ms = int(clock.now().timestamp() * 1000)
    stored = scheduler.jobs.get(question.job_id)
    if stored is None and question.row is None:
        return CopyRefusal.NO_SUCH_JOB
    job = stored
    if job is None:
        assert question.row is not None
        job = _create_job(question.job_id, question.row, now_s, now_ms)
    state: PlacementCopy | None = None
    if job.waiting_steps():
        end_s = now_s + COPY_LIMIT_S
        try:
            state = scheduler.copy_placement(
                now_s, now_ms, lambda: clock.monotonic_s() >= end_s
            )
        except CopyLimitError:
            return CopyRefusal.TOO_LARGE
    is_excess = stored is None and scheduler.would_exceed_rate(job, now_ms)
    return CopiedPlacement(
        scheduler.service,
        scheduler.epoch,
        now_s,
        len(scheduler.workers),
        _describe(job, is_stored=stored is not None),
        state,
        question.row if stored is None else None,
        is_excess,
    )


def _create_job(job_id: str, row: JobRow, now_s: float, now_ms: int) -> Job:
    job = Job(job_id, row, now_s, now_ms)
    job.start_due_occurrences(now_s, now_ms)
    return job


def _describe(job: Job, *, is_stored: bool) -> JobExplanation:
    runs = job.runs()
    waiting_count = len(job.waiting_steps())
    steps = {(task.id.occurrence, task.id.step) for task in _waiting_tasks(job)}
    return JobExplanation(
        job.id,
        is_stored,
        job.state,
        job.account,
        job.queue.name,
        len(runs),
        tuple(
            RunExplanation(run.task.id.name, run.worker_id, run.phase, run.is_far)
            for run in runs[:SHOWN_RUNS_COUNT]
        ),
        waiting_count,
        len(steps) - waiting_count if job.is_active else 0,
        job.next_due_ms if job.is_active and job.spec.is_scheduled else None,
    )


def _waiting_tasks(job: Job):
    return (task for task in job.tasks.values() if task.is_waiting)


def explain(
    copied: CopiedPlacement, is_over: Callable[[], bool]
) -> PlacementExplanation:
    """Explains the next placement, on the copy, which is used up.

    :param is_over: returns whether the explanation has taken too long.
    """
    explanation = PlacementExplanation(
        copied.service, copied.epoch, copied.job, copied.workers_count
    )
    state = copied.state
    if state is None:
        return explanation
    job = state.jobs.get(copied.job.id)
    if job is None:
        assert copied.given is not None
        job = Job(
            copied.job.id,
            copied.given,
            state.taken_s,
            state.taken_ms,
            usage=state.usage,
        )
        job.start_due_occurrences(state.taken_s, state.taken_ms)
        job.is_excess = copied.is_excess
    explainer = PlacementExplainer(state, job, is_over)
    return PlacementExplanation(
        copied.service,
        copied.epoch,
        copied.job,
        copied.workers_count,
        explainer.rank,
        explainer.share,
        explainer.steps,
    )
