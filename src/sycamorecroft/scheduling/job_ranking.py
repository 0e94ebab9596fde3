"""Order in which waiting jobs are placed on workers."""

from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec


def critical_path_ms(spec: JobSpec, done_steps: frozenset[int] = frozenset()) -> float:
    """
    :param done_steps: numbers of completed steps, which count as 0 ms.
    :returns: estimated duration in ms of the critical path of the job's steps.
    """
    ends_ms: list[float] = []
    for number, step in enumerate(spec.steps):
        start_ms = max((ends_ms[other] for other in step.after), default=0.0)
        duration_ms = 0 if number in done_steps else step.estimate_ms
        ends_ms.append(start_ms + duration_ms)
    return max(ends_ms, default=0.0)


def _critical_path_left_s(job: Job) -> float:
    """Returns the estimated time left, which the job caches until a task is done."""
    if job.critical_path_left_s is None:
        job.critical_path_left_s = critical_path_ms(job.spec, job.done_steps()) / 1000
    return job.critical_path_left_s


def objective_end_s(job: Job) -> float:
    """
    :returns: monotonic time by which the job must complete to meet its objective.
    """
    allowed_ms = (
        job.queue.stretch_ratio * critical_path_ms(job.spec) + job.queue.objective_ms
    )
    return job.accepted_s + allowed_ms / 1000


def job_rank(job: Job, now_s: float) -> tuple[float, ...]:
    """Ranks waiting jobs; the lowest rank is placed first.

    Within a priority, long-running jobs come first, since others depend on them. Then
    come jobs that can still meet their objective, earliest deadline first. Jobs that
    will miss theirs come last, so that overload doesn't make every job late.

    :returns: key to sort by.
    """
    end_s = objective_end_s(job)
    is_late = now_s + _critical_path_left_s(job) > end_s
    return (job.queue.priority, not job.spec.is_long_running, is_late, end_s)
