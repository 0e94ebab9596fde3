"""Order in which waiting jobs get room."""

from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec


def critical_path_ms(spec: JobSpec, done_steps: frozenset[int] = frozenset()) -> float:
    """
    :param done_steps: steps that take no more time.
    :returns: estimated time of the longest chain of steps.
    """
    ends_ms: list[float] = []
    for number, step in enumerate(spec.steps):
        start_ms = max((ends_ms[other] for other in step.after), default=0.0)
        duration_ms = 0 if number in done_steps else step.estimate_ms
        ends_ms.append(start_ms + duration_ms)
    return max(ends_ms, default=0.0)


def _critical_path_left_s(job: Job) -> float:
    """Estimates what the steps that haven't ended take; kept until a task ends."""
    if job.critical_path_left_s is None:
        job.critical_path_left_s = critical_path_ms(job.spec, job.done_steps()) / 1000
    return job.critical_path_left_s


def objective_end_s(job: Job) -> float:
    """
    :returns: monotonic time until which the job's result counts in full.
    """
    allowed_ms = job.queue.stretch_ratio * critical_path_ms(job.spec) + job.queue.objective_ms
    return job.accepted_s + allowed_ms / 1000


def job_rank(job: Job, now_s: float) -> tuple[float, ...]:
    """Ranks waiting jobs; the lowest gets room first.

    Within a priority, long-running jobs come first, since others depend on them. Then
    come jobs that can still meet their objective, by their end; jobs that will be late
    wait for the rest, so that overload doesn't make every job late.

    :returns: key to sort by.
    """
    end_s = objective_end_s(job)
    is_late = now_s + _critical_path_left_s(job) > end_s
    return (job.queue.priority, not job.spec.is_long_running, is_late, end_s)
